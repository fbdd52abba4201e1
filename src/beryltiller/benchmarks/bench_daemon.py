"""Benchmark of one proxy's throughput on one core and of the latency that it adds.

One proxy serves one group of databases that have no service time and many slots, so the
proxy is the bottleneck. The baseline, named straight in the table, is the same number
of callers that send directly to the databases with the same HTTP client. The ratio of
reads to writes is 9:1. The added latency is measured with one caller, so that nothing
waits in a queue.
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
# The target for one fully used core, and so for statements per processor second.
TARGET_PER_SECOND = 1880
CALLERS = 48
GENERATORS = 3
WARM_UP_SECONDS = 2.0
RUN_SECONDS = 8.0
ONE_CALLER_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class DaemonRun:
    """The report of one run, and the mean numbers of processor cores used in it.

    `proxy_cpu` is that of the proxy, `database_cpu` that of the busiest database.
    """

    name: str
    report: LoadReport
    seconds: float
    proxy_cpu: float
    database_cpu: float

    @property
    def rate(self) -> float:
        """The completed statements per second after the warm-up."""
        return per_second(self.report.done, WARM_UP_SECONDS, self.seconds)

    def row(self) -> tuple[str, ...]:
        """Return the run's row of the table."""
        latencies = self.report.latencies_ms
        not_done = sum(self.report.outcomes.values()) - self.report.outcomes.get(
            Outcome.DONE.value, 0
        )
        cpu_rate = f"{self.rate / self.proxy_cpu:.0f}" if self.proxy_cpu > 0.1 else "-"
        return (
            self.name,
            f"{self.rate:.0f}",
            cpu_rate,
            f"{self.proxy_cpu:.2f}",
            f"{self.database_cpu:.2f}",
            f"{percentile(latencies, 0.5):.2f}",
            f"{percentile(latencies, 0.99):.2f}",
            str(not_done),
        )


async def measure(seed: int) -> list[DaemonRun]:
    """Run one and many callers, each directly and through the proxy."""
    async with Launcher() as launcher:
        cluster = await start_cluster(launcher, SIZES)
        await configure(cluster)
        proxies = tuple(str(each.caller) for each in cluster.addresses.values())
        databases = tuple(each.address for each in cluster.databases.values())
        direct = LoadPlan(
            databases, 0.0, ONE_CALLER_SECONDS, 1, "straight", seed, is_direct=True
        )
        proxied = LoadPlan(proxies, 0.0, ONE_CALLER_SECONDS, 1, "proxied", seed)
        many = {"seconds": RUN_SECONDS, "callers": CALLERS}
        runs = [
            ("straight, 1 caller", direct, 1),
            ("proxy, 1 caller", proxied, 1),
            (
                f"straight, {CALLERS} callers",
                msgspec.structs.replace(direct, **many),
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
) -> DaemonRun:
    load = await start_load(cluster.launcher, plan, generators)
    await asyncio.sleep(load.start_at + WARM_UP_SECONDS - time.monotonic())
    before = _read_cpu_seconds(cluster)
    await asyncio.sleep(load.start_at + plan.seconds - time.monotonic())
    after = _read_cpu_seconds(cluster)
    report = await load.wait()
    seconds = plan.seconds - WARM_UP_SECONDS
    proxy, databases = (
        (end - start) / seconds for start, end in zip(before, after, strict=True)
    )
    return DaemonRun(name, report, plan.seconds, proxy, databases)


def _read_cpu_seconds(cluster: Cluster) -> tuple[float, float]:
    """Return the processor seconds of the proxy and of the busiest database."""
    proxy = sum(cpu_seconds(each.pid) for each in cluster.proxies.values())
    return proxy, max(cpu_seconds(each.pid) for each in cluster.databases.values())


def run(seed: int) -> int:
    """Print the table and the latency that the proxy adds; return 0."""
    runs = asyncio.run(measure(seed))
    header = ("RUN", "PER S", "PER CPU S", "PROXY CPU", "DATABASE CPU")
    rows = [each.row() for each in runs]
    print(*columns((*header, "P50 MS", "P99 MS", "NOT DONE"), rows), sep="\n")
    direct, proxied = runs[0].report.latencies_ms, runs[1].report.latencies_ms
    for share in (0.5, 0.99):
        added = percentile(proxied, share) - percentile(direct, share)
        print(f"added by the proxy, p{share * 100:.0f}: {added:.2f} ms")
    many = runs[3]
    print(f"of the straight rate: {many.rate / runs[2].rate:.2f}")
    cpu_rate = many.rate / max(many.proxy_cpu, 0.01)
    print(f"of the target of {TARGET_PER_SECOND}/s: {cpu_rate / TARGET_PER_SECOND:.2f}")
    return 0
