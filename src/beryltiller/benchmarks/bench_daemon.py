"""Measure the statements that one proxy serves on one core, and what a hop costs.

One proxy stands before one group of databases with no service time and many slots,
so that the proxy is the limit. The baseline is the same number of callers with the
same HTTP client straight to the databases. Reads and writes come at 9:1. The time
that a hop adds is measured with one caller, where nothing waits in a queue.
"""

import asyncio
import time
from dataclasses import dataclass

import msgspec

from beryltiller.benchmarks.load import LoadPlan, LoadReport
from beryltiller.benchmarks.load_runs import (
    cpu_seconds,
    per_second,
    percentile,
    start_load,
)
from beryltiller.core.outcome import Outcome
from beryltiller.core.text import columns
from beryltiller.standins.cluster import Cluster, ClusterSizes, start_cluster
from beryltiller.standins.cluster_setup import configure
from beryltiller.standins.launcher import Launcher

SIZES = ClusterSizes(
    zones=("zone-a",),
    proxies=1,
    slots=64,
    connection_cap=400,
    service_ms=0.0,
)
TARGET_PER_SECOND = 1880
CALLERS = 48
GENERATORS = 3
WARM_SECONDS = 2.0
SECONDS = 8.0
HOP_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Measured:
    """Hold one run's report, and the processor time used during it."""

    name: str
    report: LoadReport
    seconds: float
    proxy_cpu: float
    database_cpu: float

    @property
    def rate(self) -> float:
        """Return the statements per second after warming up."""
        return per_second(self.report.done, WARM_SECONDS, self.seconds)

    def row(self) -> tuple[str, ...]:
        """Return the run's line in the table."""
        latencies = self.report.latencies_ms
        bad = sum(self.report.outcomes.values()) - self.report.outcomes.get(
            Outcome.DONE.value, 0
        )
        served = f"{self.rate / self.proxy_cpu:.0f}" if self.proxy_cpu > 0.1 else "-"
        return (
            self.name,
            f"{self.rate:.0f}",
            served,
            f"{self.proxy_cpu:.2f}",
            f"{self.database_cpu:.2f}",
            f"{percentile(latencies, 0.5):.2f}",
            f"{percentile(latencies, 0.99):.2f}",
            str(bad),
        )


async def measure(seed: int) -> list[Measured]:
    """Return the runs: straight and through the proxy, with one and many callers."""
    async with Launcher() as launcher:
        cluster = await start_cluster(launcher, SIZES)
        await configure(cluster)
        proxies = tuple(str(each.caller) for each in cluster.addresses.values())
        databases = tuple(each.address for each in cluster.databases.values())
        straight = LoadPlan(
            databases, 0.0, HOP_SECONDS, 1, "straight", seed, is_direct=True
        )
        proxied = LoadPlan(proxies, 0.0, HOP_SECONDS, 1, "proxied", seed)
        many = {"seconds": SECONDS, "callers": CALLERS}
        runs = [
            ("straight, 1 caller", straight, 1),
            ("proxy, 1 caller", proxied, 1),
            (
                f"straight, {CALLERS} callers",
                msgspec.structs.replace(straight, **many),
                GENERATORS,
            ),
            (
                f"proxy, {CALLERS} callers",
                msgspec.structs.replace(proxied, **many),
                GENERATORS,
            ),
        ]
        return [await _measure(cluster, *each) for each in runs]


async def _measure(
    cluster: Cluster, name: str, plan: LoadPlan, generators: int
) -> Measured:
    load = await start_load(cluster.launcher, plan, generators)
    await asyncio.sleep(load.start_at + WARM_SECONDS - time.monotonic())
    before = _cpu(cluster)
    await asyncio.sleep(load.start_at + plan.seconds - time.monotonic())
    after = _cpu(cluster)
    report = await load.wait()
    seconds = plan.seconds - WARM_SECONDS
    proxy, databases = (
        (late - early) / seconds for early, late in zip(before, after, strict=True)
    )
    return Measured(name, report, plan.seconds, proxy, databases)


def _cpu(cluster: Cluster) -> tuple[float, float]:
    """Return the processor time of the proxy, and of the busiest database."""
    proxy = sum(cpu_seconds(each.pid) for each in cluster.proxies.values())
    return proxy, max(cpu_seconds(each.pid) for each in cluster.databases.values())


def run(seed: int) -> int:
    """Print the table and the time added by the proxy; return 0."""
    runs = asyncio.run(measure(seed))
    header = ("RUN", "PER S", "PER CPU S", "PROXY CPU", "DATABASE CPU")
    rows = [each.row() for each in runs]
    print(*columns((*header, "P50 MS", "P99 MS", "NOT DONE"), rows), sep="\n")
    straight, proxied = runs[0].report.latencies_ms, runs[1].report.latencies_ms
    for share in (0.5, 0.99):
        added = percentile(proxied, share) - percentile(straight, share)
        print(f"added by the proxy, p{share * 100:.0f}: {added:.2f} ms")
    many = runs[3]
    print(f"of the straight rate: {many.rate / runs[2].rate:.2f}")
    served = many.rate / max(many.proxy_cpu, 0.01)
    print(f"of the target of {TARGET_PER_SECOND}/s: {served / TARGET_PER_SECOND:.2f}")
    return 0
