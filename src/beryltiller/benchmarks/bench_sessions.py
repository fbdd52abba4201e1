"""Benchmark of the share of reads that replicas serve, on a virtual clock.

Each session sends its statements to random ones of five proxies, which serve three
groups of three databases. The same seed is run with three read strategies: the planner,
the primary alone, and the guess that a replica is fresh enough a fixed time after the
session's last write. The two baselines use no position, so their stale answers are
counted.
"""

import argparse
from collections.abc import Mapping

from beryltiller.benchmarks.session_simulation import (
    TIMEOUT_SECONDS,
    DeploymentSize,
    ReadStrategy,
    SimulatedCounts,
    Simulation,
)

RUN_SECONDS = 120.0
SESSIONS = 60
# The systems of two users, each by its name.
SIZES = (DeploymentSize("akvatek", 4, 3), DeploymentSize("stitchwattle", 3, 2))
LAGS_SECONDS = ((0.1, 0.1), (0.5, 0.5), (0.1, 2.0), (2.0, 3.0))


def _ratios(counts: Mapping[ReadStrategy, SimulatedCounts]) -> str:
    """Return a text with the planner's ratios to the two baselines."""
    planner, primary, guess = (counts[strategy] for strategy in ReadStrategy)
    to_guess = planner.replica_share / guess.replica_share
    to_primary = (1 - planner.replica_share) / (1 - primary.replica_share)
    return (
        f"replica share x{to_guess:.2f} of fixed-guess, primary's part of the reads"
        f" x{to_primary:.3f} of primary-only,\n{'':22}stale {planner.stale} against"
        f" {guess.stale}, older {planner.non_monotonic} against {guess.non_monotonic}"
    )


def main() -> None:
    """Print the table with the seed, sizes and timeout in the flags."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seconds", type=float, default=RUN_SECONDS, help="virtual seconds"
    )
    parser.add_argument("--sessions", type=int, default=SESSIONS)
    parser.add_argument(
        "--timeout-seconds",
        type=float,
        default=TIMEOUT_SECONDS,
        help="timeout of each read",
    )
    options = parser.parse_args()
    _measure(options.seed, options.seconds, options.sessions, options.timeout_seconds)


def run(seed: int) -> int:
    """Print the table with the default sizes; return 0."""
    _measure(seed, RUN_SECONDS, SESSIONS, TIMEOUT_SECONDS)
    return 0


def _measure(seed: int, seconds: float, sessions: int, timeout_seconds: float) -> None:
    """Print the table, with a row for each size, pair of lags and read strategy.

    The column `way` names the strategy, `older` counts the non-monotonic reads.
    """
    print(
        f"{'size':13}{'lags s':9}{'way':13} reads replica% stale  older too-old"
        "  refused behind/read positions  p50 ms  p99 ms"
    )
    for size in SIZES:
        for lags in LAGS_SECONDS:
            counts = {}
            lags_text = "/".join(str(lag) for lag in lags)
            for strategy in ReadStrategy:
                simulation = Simulation(size, lags, strategy, seed, timeout_seconds)
                counts[strategy] = simulation.run(seconds, sessions)
                row = counts[strategy].row()
                print(
                    f"{size.name:13}{lags_text:9}{strategy.value:13}{row}", flush=True
                )
            print(f"{'':22}{_ratios(counts)}", flush=True)


if __name__ == "__main__":
    main()
