"""Measure the share of reads that replicas serve, on a virtual clock.

Sessions roam between five proxies over three groups of three databases. The same
seed drives three ways of serving reads: the planner, the primary alone, and a guess
that a replica is fresh enough a fixed time after the session's last write. The two
baselines carry no position, so their stale answers are counted.
"""

import argparse
from collections.abc import Mapping

from beryltiller.benchmarks.session_simulation import (
    TIMEOUT_SECONDS,
    Counts,
    Simulation,
    Size,
    Way,
)

SECONDS = 120.0
SESSIONS = 60
SIZES = (Size("akvatek", 4, 3), Size("stitchwattle", 3, 2))
LAGS_SECONDS = ((0.1, 0.1), (0.5, 0.5), (0.1, 2.0), (2.0, 3.0))


def _ratios(counts: Mapping[Way, Counts]) -> str:
    """Return the planner's ratios to the two baselines."""
    planner, primary, guess = (counts[way] for way in Way)
    to_guess = planner.replica_share / guess.replica_share
    to_primary = (1 - planner.replica_share) / (1 - primary.replica_share)
    return (
        f"replica share x{to_guess:.2f} of fixed-guess, primary's part of the reads"
        f" x{to_primary:.3f} of primary-only,\n{'':22}stale {planner.stale} against"
        f" {guess.stale}, older {planner.older} against {guess.older}"
    )


def main() -> None:
    """Measure with the sizes that the flags give."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seconds", type=float, default=SECONDS, help="virtual seconds"
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
    """Print the table with its usual sizes, and return an exit code."""
    _measure(seed, SECONDS, SESSIONS, TIMEOUT_SECONDS)
    return 0


def _measure(seed: int, seconds: float, sessions: int, timeout_seconds: float) -> None:
    """Print a row for each size, lag and way."""
    print(
        f"{'size':13}{'lags s':9}{'way':13} reads replica% stale  older too-old"
        "  refused behind/read questions  p50 ms  p99 ms"
    )
    for size in SIZES:
        for lags in LAGS_SECONDS:
            counts = {}
            text = "/".join(str(lag) for lag in lags)
            for way in Way:
                simulation = Simulation(size, lags, way, seed, timeout_seconds)
                counts[way] = simulation.run(seconds, sessions)
                row = counts[way].row()
                print(f"{size.name:13}{text:9}{way.value:13}{row}", flush=True)
            print(f"{'':22}{_ratios(counts)}", flush=True)


if __name__ == "__main__":
    main()
