"""Benchmark of the admission policy against simpler policies.

Run it as `python -m beryltiller.benchmarks.bench_admission --seed 7`.

Everything but the processor cost runs on a virtual clock, so a seed always gives the
same table. Each table compares the admission policy with a first-come, first-served
queue whose static window is the slots divided by the proxies, and with the admission
policy without one of its rules.
"""

import argparse
import math
import sys
from collections.abc import Callable, Sequence

from beryltiller.admission.queues import AdmissionQueue, QueuePolicy
from beryltiller.admission.windows import (
    AdaptiveLimit,
    LimitPolicy,
    Limits,
    LimitsPolicy,
    StaticLimit,
)
from beryltiller.benchmarks.admission_cost import processor_cost
from beryltiller.benchmarks.admission_model import (
    AdmissionModel,
    FirstComeQueue,
    PolicySetup,
)
from beryltiller.benchmarks.admission_traffic import (
    CAPACITY_PER_SECOND,
    PROXIES,
    RUN_SECONDS,
    SLOTS,
    Traffic,
)


def _limits_factory(policy: LimitPolicy) -> Callable[[], Limits]:
    return lambda: Limits(LimitsPolicy(all_work=policy))


ADMISSION = PolicySetup("admission, adaptive", AdmissionQueue, Limits)
SETUPS = (
    PolicySetup("first come, static", FirstComeQueue, _limits_factory(StaticLimit(1))),
    PolicySetup("first come, adaptive", FirstComeQueue, Limits),
    PolicySetup("first come, 30 queued", lambda: FirstComeQueue(30), Limits),
    PolicySetup("admission, static", AdmissionQueue, _limits_factory(StaticLimit(1))),
    ADMISSION,
)


def overload(seed: int) -> list[str]:
    """Return the table of goodput at twice the capacity against the peak goodput."""
    lines = [
        "Overload: 5 proxies, 3 slots of 5 ms, 10 equal callers, deadline 0.5 s",
        f"  {'':24}{'peak/s':>8}{'at 2x':>8}{'ratio':>8}{'worst caller':>14}",
    ]
    for setup in SETUPS:
        by_load = {load: _run_overload(setup, load, seed) for load in (0.9, 1.1, 2.0)}
        peak = max(traffic.goodput for traffic in by_load.values())
        at_twice = by_load[2.0]
        worst = min(t.good for t in at_twice.results_by_caller.values()) / RUN_SECONDS
        fair_share = at_twice.goodput / len(at_twice.results_by_caller)
        lines.append(
            f"  {setup.name:24}{peak:8.0f}{at_twice.goodput:8.0f}"
            f"{at_twice.goodput / peak:8.2f}{worst / max(fair_share, 1e-9):14.2f}"
        )
    return lines


def _run_overload(setup: PolicySetup, load: float, seed: int) -> Traffic:
    traffic = Traffic(AdmissionModel(setup, SLOTS, PROXIES, seed))
    for number in range(10):
        traffic.start_open_loop(f"c{number}", load * CAPACITY_PER_SECOND / 10)
    traffic.run()
    return traffic


def caller_over_share(seed: int) -> list[str]:
    """Return the table for a caller over its fair share.

    It offers 1.5 times the capacity, nine other callers 4 % of it each.
    """
    lines = [
        "Caller over its fair share (hog): it offers 1.5 x capacity, nine 0.04 x each",
        f"  {'':24}{'good/s':>8}{'worst small':>13}{'small p99 ms':>14}{'hog':>7}",
    ]
    for setup in SETUPS:
        traffic = Traffic(AdmissionModel(setup, SLOTS, PROXIES, seed))
        traffic.start_open_loop("hog", 1.5 * CAPACITY_PER_SECOND)
        for number in range(9):
            traffic.start_open_loop(f"small{number}", 0.04 * CAPACITY_PER_SECOND)
        traffic.run()
        small = [t for name, t in traffic.results_by_caller.items() if name != "hog"]
        worst = min(results.good / results.offered for results in small)
        slowest = max(results.percentile(0.99) for results in small)
        share = (
            traffic.results_by_caller["hog"].good / RUN_SECONDS / CAPACITY_PER_SECOND
        )
        lines.append(
            f"  {setup.name:24}{traffic.goodput:8.0f}{worst:13.2f}"
            f"{slowest:14.1f}{share:7.2f}"
        )
    return lines


def mixed_load(seed: int) -> list[str]:
    """Return the table for interactive reads beside callers that write long batches."""
    no_reserve = QueuePolicy(long_seconds=math.inf)
    setups = (
        *SETUPS[:3],
        PolicySetup(
            "admission, no reserve", lambda: AdmissionQueue(no_reserve), Limits
        ),
        ADMISSION,
    )
    lines = [
        "Mixture: 60 reads/s of 5 ms beside 24 unsafe writes of 200 ms outstanding",
        f"  {'':24}{'proxies':>8}{'reads good':>12}{'p50 ms':>8}{'p99 ms':>8}"
        f"{'writes/s':>10}",
    ]
    for proxies in (1, PROXIES):
        for setup in setups:
            traffic = Traffic(AdmissionModel(setup, SLOTS, proxies, seed))
            traffic.start_open_loop("counter", 60.0)
            for number in range(3):
                traffic.start_write_batch(f"batch{number}", 8, 0.2)
            traffic.run()
            reads = traffic.results_by_caller["counter"]
            writes = (
                sum(t.good for t in traffic.results_by_caller.values()) - reads.good
            )
            lines.append(
                f"  {setup.name:24}{proxies:8}{reads.good / reads.offered:12.2f}"
                f"{reads.percentile(0.5):8.1f}{reads.percentile(0.99):8.1f}"
                f"{writes / RUN_SECONDS:10.1f}"
            )
    return lines


def lost_proxy(seed: int) -> list[str]:
    """Return the table for the loss of one of five proxies.

    The load balancer notices the loss after a second.
    """
    lines = [
        "Loss of one of five proxies at 0.9 x capacity; balancer notices after 1 s",
        f"  {'':24}{'before/s':>9}{'at loss':>9}{'after/s':>9}{'ratio':>7}"
        f"{'s to 90 %':>11}",
    ]
    for setup in SETUPS:
        traffic = Traffic(AdmissionModel(setup, SLOTS, PROXIES, seed))
        for number in range(10):
            traffic.start_open_loop(f"c{number}", 0.09 * CAPACITY_PER_SECOND)
        traffic.model.clock.run(10.0)
        traffic.model.proxies[0].is_alive = False
        traffic.loss_noticed_at = 11.0
        traffic.model.clock.run(20.0)
        by_second = traffic.good_by_second
        before = sum(by_second[second] for second in range(4, 10)) / 6
        after = sum(by_second[second] for second in range(14, 20)) / 6
        recovered = [s for s in range(10, 20) if by_second[s] >= 0.9 * before]
        seconds = f"{recovered[0] - 9}" if recovered else "never"
        lines.append(
            f"  {setup.name:24}{before:9.0f}{by_second[10]:9}{after:9.0f}"
            f"{after / before:7.2f}{seconds:>11}"
        )
    return lines


def windows(seed: int) -> list[str]:
    """Return the table of limits on executing statements, for one and five proxies."""
    setups = (
        PolicySetup("slots / proxies", AdmissionQueue, _limits_factory(StaticLimit(1))),
        PolicySetup(
            "all slots each", AdmissionQueue, _limits_factory(StaticLimit(SLOTS))
        ),
        PolicySetup(
            "adaptive, at least 0.5",
            AdmissionQueue,
            _limits_factory(AdaptiveLimit(minimum=0.5)),
        ),
        PolicySetup("adaptive, at least 1", AdmissionQueue, Limits),
    )
    lines = [
        "Windows: goodput as a fraction of capacity, and mean waiting, at 2 x capacity",
        f"  {'':24}{'one busy':>9}{'waiting':>9}{'five busy':>11}{'waiting':>9}",
    ]
    for setup in setups:
        cells = ""
        for proxies, widths in ((1, (9, 9)), (PROXIES, (11, 9))):
            traffic = Traffic(AdmissionModel(setup, SLOTS, proxies, seed))
            for number in range(10):
                traffic.start_open_loop(f"c{number}", 0.2 * CAPACITY_PER_SECOND)
            traffic.run()
            fraction = traffic.goodput / CAPACITY_PER_SECOND
            waiting = traffic.model.database.mean_waiting
            cells += f"{fraction:{widths[0]}.2f}{waiting:{widths[1]}.2f}"
        lines.append(f"  {setup.name:24}{cells}")
    return lines


_SECTIONS = (
    overload,
    caller_over_share,
    mixed_load,
    lost_proxy,
    windows,
    processor_cost,
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print all tables for the seed of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m beryltiller.benchmarks.bench_admission",
        description=main.__doc__,
    )
    parser.add_argument("--seed", type=int, default=7, help="random seed")
    seed = parser.parse_args(arguments).seed
    print(f"seed {seed}")
    return run(seed)


def run(seed: int) -> int:
    """Print all tables; return 0."""
    for section in _SECTIONS:
        print("\n".join(section(seed)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
