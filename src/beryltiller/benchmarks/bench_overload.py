"""Benchmark of goodput at twice the peak load, and after the loss of a proxy.

Five proxies serve three groups of three databases with three slots each. Equal callers
send as a Poisson process, whether or not answers arrive; a statement counts as goodput
if it is answered within its deadline. The peak is the best goodput at a few rates
around the nominal one, which is what all slots would serve if none were ever idle.
Reads are sent to replicas first, whose slots alone serve fewer statements than that.
Callers that cannot connect to a proxy try another one, as behind a load balancer.
"""

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass

from beryltiller.benchmarks.load import LoadPlan, LoadReport
from beryltiller.benchmarks.load_runs import (
    per_second,
    percentile,
    recovery_seconds,
    start_load,
    window_rates,
    worst_caller_share,
)
from beryltiller.core.outcome import Outcome
from beryltiller.core.text import columns
from beryltiller.standins.cluster import Cluster, ClusterSizes, start_cluster
from beryltiller.standins.cluster_setup import configure
from beryltiller.standins.launcher import Launcher

# At this service time, the databases are the bottleneck and not the machine.
SIZES = ClusterSizes(
    zones=("zone-a", "zone-b", "zone-c", "zone-d"),
    proxies=5,
    groups=3,
    databases_per_group=3,
    slots=3,
    connection_cap=20,
    service_ms=20.0,
)
PEAK_SHARES = (0.7, 1.0, 1.3)
OVERLOAD_FACTOR = 2.0
WRITE_SHARE = 0.1
CALLERS = 40
GENERATORS = 2
WARM_UP_SECONDS = 1.5
RUN_SECONDS = 6.5
KILL_AFTER_SECONDS = 5.0
KILL_RUN_SECONDS = 12.0
MIN_GOODPUT_SHARE = 0.9
MIN_FAIR_SHARE = 0.8
RECOVERY_WINDOW_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class OverloadRun:
    """A run of load: the offered rate in statements per second, and its report."""

    name: str
    offered: float
    report: LoadReport
    seconds: float = RUN_SECONDS

    @property
    def goodput(self) -> float:
        """The completed statements per second after the warm-up."""
        return per_second(self.report.done, WARM_UP_SECONDS, self.seconds)

    @property
    def worst_caller_share(self) -> float:
        """The goodput of the worst caller as a share of its fair share."""
        return worst_caller_share(tuple(self.report.by_caller.values()))

    def row(self, peak: float) -> tuple[str, ...]:
        """Return the run's row of the table; `peak` is the peak goodput."""
        latencies = self.report.latencies_ms
        counts = (
            str(self.report.outcomes.get(outcome.value, 0)) for outcome in Outcome
        )
        return (
            self.name,
            f"{self.offered:.0f}",
            f"{self.goodput:.0f}",
            f"{self.goodput / peak:.2f}",
            f"{self.worst_caller_share:.2f}",
            f"{percentile(latencies, 0.5):.0f}",
            f"{percentile(latencies, 0.99):.0f}",
            *counts,
            str(self.report.unsent),
        )


@dataclass(frozen=True, slots=True)
class ProxyLoss:
    """The goodput around the loss of a proxy, in statements per second.

    `seconds` is the time from the loss until goodput has recovered and no longer
    falls below `MIN_GOODPUT_SHARE` of `before`, None if it has not recovered.
    """

    before: float
    lowest: float
    after: float
    seconds: float | None


async def measure(seed: int) -> tuple[list[OverloadRun], OverloadRun, ProxyLoss]:
    """Run the rates around the nominal one, the overload, and the loss of a proxy."""
    async with Launcher() as launcher:
        cluster = await start_cluster(launcher, SIZES)
        await configure(cluster)
        nominal = nominal_rate(SIZES)
        runs = []
        for share in PEAK_SHARES:
            rate = share * nominal
            report = await _run_load(cluster, rate, RUN_SECONDS, seed)
            runs.append(OverloadRun(f"{share:.2f} of nominal", rate, report))
        best = max(runs, key=lambda each: each.goodput)
        rate = OVERLOAD_FACTOR * best.goodput
        report = await _run_load(cluster, rate, RUN_SECONDS, seed)
        overload = OverloadRun("2 x peak", rate, report)
        return runs, overload, await _kill_proxy_under_load(cluster, best.goodput, seed)


def nominal_rate(sizes: ClusterSizes) -> float:
    """Return the statements per second that all slots serve if none is ever idle.

    >>> nominal_rate(SIZES)
    1350.0
    """
    databases = sizes.groups * sizes.databases_per_group
    return databases * sizes.slots * 1000 / sizes.service_ms


def replica_rate(sizes: ClusterSizes, read_share: float) -> float:
    """Return the rate of statements at which reads fill the slots of all replicas.

    >>> replica_rate(SIZES, read_share=0.9)
    1000.0
    """
    replicas = sizes.groups * (sizes.databases_per_group - 1)
    return replicas * sizes.slots * 1000 / sizes.service_ms / read_share


async def _run_load(
    cluster: Cluster, rate: float, seconds: float, seed: int
) -> LoadReport:
    load = await start_load(
        cluster.launcher, _create_plan(cluster, rate, seconds, seed), GENERATORS
    )
    return await load.wait()


async def _kill_proxy_under_load(cluster: Cluster, rate: float, seed: int) -> ProxyLoss:
    """Kill one proxy while statements are offered at `rate` per second."""
    plan = _create_plan(cluster, rate, KILL_RUN_SECONDS, seed)
    load = await start_load(cluster.launcher, plan, GENERATORS)
    await asyncio.sleep(load.start_at + KILL_AFTER_SECONDS - time.monotonic())
    await next(iter(cluster.proxies.values())).kill()
    lost_at = time.monotonic() - load.start_at
    done = (await load.wait()).done
    before = per_second(done, WARM_UP_SECONDS, KILL_AFTER_SECONDS)
    after = per_second(done, KILL_RUN_SECONDS - 2.0, KILL_RUN_SECONDS)
    rates = window_rates(done, lost_at, RECOVERY_WINDOW_SECONDS)
    seconds = recovery_seconds(rates, MIN_GOODPUT_SHARE * before)
    return ProxyLoss(before, min(rates), after, seconds)


def _create_plan(cluster: Cluster, rate: float, seconds: float, seed: int) -> LoadPlan:
    addresses = tuple(str(each.caller) for each in cluster.addresses.values())
    return LoadPlan(
        addresses,
        start_at=0.0,
        seconds=seconds,
        callers=CALLERS,
        prefix="caller",
        seed=seed,
        rate=rate,
        write_share=WRITE_SHARE,
    )


def run(seed: int) -> int:
    """Print the table and the recovery time.

    Return 1 if a share is below its `MIN_` constant or the goodput has not recovered.
    """
    runs, overload, loss = asyncio.run(measure(seed))
    peak = max(each.goodput for each in runs)
    header = ("RUN", "OFFERED/S", "GOODPUT/S", "OF PEAK", "WORST CALLER")
    counts = (outcome.value.upper() for outcome in Outcome)
    rows = [each.row(peak) for each in (*runs, overload)]
    titles = (*header, "P50 MS", "P99 MS", *counts, "UNSENT")
    print(*columns(titles, rows), sep="\n")
    print(
        f"peak: {peak:.0f}/s; all slots: {nominal_rate(SIZES):.0f}/s; replicas' slots"
        f" at this share of reads: {replica_rate(SIZES, 1 - WRITE_SHARE):.0f}/s"
    )
    seconds = "not" if loss.seconds is None else f"{loss.seconds:.1f} s after it"
    for each in (*runs, overload):
        print(f"not run at {each.name}: {_format_counts(each.report.refusals)}")
    print(f"answers at 2 x peak by: {_format_counts(overload.report.by_database)}")
    seconds = "not reached" if loss.seconds is None else f"{loss.seconds:.1f} s"
    print(
        f"one of five proxies killed: {loss.before:.0f}/s before,"
        f" {loss.lowest:.0f}/s in the worst second, {loss.after:.0f}/s at the end"
    )
    print(
        f"time until goodput stays at {MIN_GOODPUT_SHARE:.0%} or more of the rate"
        f" before: {seconds}"
    )
    is_good = overload.goodput >= MIN_GOODPUT_SHARE * peak
    is_fair = overload.worst_caller_share >= MIN_FAIR_SHARE
    return 0 if is_good and is_fair and loss.seconds is not None else 1


def _format_counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
