"""Benchmark of the failover gap, with real processes.

Five proxies in four availability zones serve one group of three databases, and one
caller per proxy writes continuously. The primary is killed or frozen; the gap is the
longest time between two consecutive acknowledged writes, of which the first may be the
last one before the fault. A killed database is restarted empty and follows the new
primary before the next run.

The baseline is the same system with a longer lease: without fencing by term, a
promotion must wait longer than any pause of the primary, for which five seconds is a
usual allowance.
"""

import asyncio
import itertools
import statistics
import sys
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any

import aiohttp
import msgspec

from beryltiller.adapters.proxy_client import Request, send
from beryltiller.core.outcome import Outcome
from beryltiller.standins.cluster import Cluster, ClusterSizes, send_json, start_cluster
from beryltiller.standins.launcher import LaunchedProcess, Launcher

RUNS = 20
BASELINE_RUNS = 3
BASELINE_LEASE_SECONDS = 5.0
WRITE_PAUSE_SECONDS = 0.01
WRITE_TIMEOUT_MS = 500
SETTLE_SECONDS = 1.0
READY_TIMEOUT_SECONDS = 15.0
RECOVERY_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05

SIZES = ClusterSizes(zones=("zone-a", "zone-b", "zone-c", "zone-d"), proxies=5)
GROUP = "g1"


class BenchmarkError(Exception):
    """A system that did not reach an expected state in time."""


@unique
class Fault(Enum):
    """How the primary is lost."""

    KILL = "killed"
    FREEZE = "frozen"


@dataclass(slots=True)
class Writer:
    """A caller that writes through one proxy and records the acknowledgements.

    `acknowledged_at` are monotonic times in seconds.
    """

    address: str
    acknowledged_at: list[float] = field(default_factory=list)

    async def run(self) -> None:
        """Write with a pause of `WRITE_PAUSE_SECONDS` until cancelled."""
        async with aiohttp.ClientSession() as session:
            for number in itertools.count():
                body = f'{{"op": "put", "key": "bench", "value": "{number}"}}'.encode()
                write_request = Request("orders", body, timeout_ms=WRITE_TIMEOUT_MS)
                answer = await send(session, self.address, write_request)
                if answer.outcome is Outcome.DONE:
                    self.acknowledged_at.append(time.monotonic())
                await asyncio.sleep(WRITE_PAUSE_SECONDS)


class FailoverExperiment:
    """Repeated faults of the primary of a running system."""

    def __init__(self, cluster: Cluster, writers: Sequence[Writer]) -> None:
        """Create an experiment on a cluster to which `writers` already write."""
        self._cluster = cluster
        self._writers = writers
        self._addresses = {
            name: process.address for name, process in cluster.databases.items()
        }

    async def measure_gap(self, fault: Fault) -> float:
        """Cause a fault, and return the longest time without an acknowledged write.

        The database has recovered on return.
        """
        await asyncio.sleep(SETTLE_SECONDS)
        name, _ = await self._wait_for_primary()
        process = self._cluster.databases[name]
        lost_at = time.monotonic()
        if fault is Fault.KILL:
            await process.kill()
        else:
            process.freeze()
        await self._wait_for_primary(excluded_name=name)
        await asyncio.sleep(SETTLE_SECONDS)
        gap_seconds = self._longest_gap(lost_at)
        await self._restore(name, process, fault)
        return gap_seconds

    async def _restore(self, name: str, process: LaunchedProcess, fault: Fault) -> None:
        if fault is Fault.FREEZE:
            process.resume()
        else:
            await self._restart(name)
        await self._wait_for_followers()

    async def _restart(self, name: str) -> None:
        command = (
            *(sys.executable, "-m", "beryltiller.standins.database_standin"),
            *("--listen", self._addresses[name], "--name", name, "--zone", "zone-a"),
        )
        launcher = self._cluster.launcher
        self._cluster.databases[name] = await launcher.start(name, command)

    def _longest_gap(self, since: float) -> float:
        acknowledgements = sorted(
            at for each in self._writers for at in each.acknowledged_at
        )
        before = [at for at in acknowledgements if at <= since]
        window = [*before[-1:], *(at for at in acknowledgements if at > since)]
        return max(later - earlier for earlier, later in itertools.pairwise(window))

    async def _wait_for_primary(self, excluded_name: str = "") -> tuple[str, int]:
        """Return the name and the term of a database whose status has the role primary.

        Raise `BenchmarkError` if there is none within `RECOVERY_TIMEOUT_SECONDS`.
        """
        for _ in _poll_attempts():
            for name, status in await self._statuses():
                if status["role"] == "primary" and name != excluded_name:
                    return name, status["term"]
            await asyncio.sleep(POLL_SECONDS)
        raise BenchmarkError(
            f"no database became the primary within {RECOVERY_TIMEOUT_SECONDS} s"
        )

    async def _wait_for_followers(self) -> None:
        for _ in _poll_attempts():
            statuses = [status for _, status in await self._statuses()]
            roles = sorted(status["role"] for status in statuses)
            # Callers write between the status requests, so lengths differ slightly.
            lengths = {status["last"]["index"] // 100 for status in statuses}
            if roles == ["primary", "replica", "replica"] and len(lengths) == 1:
                return
            await asyncio.sleep(POLL_SECONDS)
        raise BenchmarkError(
            "the lost database did not follow the primary within"
            f" {RECOVERY_TIMEOUT_SECONDS} s"
        )

    async def _statuses(self) -> list[tuple[str, Any]]:
        names = list(self._addresses)
        answers = await asyncio.gather(
            *(self._status(name) for name in names), return_exceptions=True
        )
        pairs = zip(names, answers, strict=True)
        return [(name, each) for name, each in pairs if isinstance(each, dict)]

    async def _status(self, name: str) -> Any:
        async with asyncio.timeout(POLL_SECONDS * 4):
            return await send_json("GET", self._addresses[name], "/status")


def _poll_attempts() -> range:
    return range(int(RECOVERY_TIMEOUT_SECONDS / POLL_SECONDS))


async def measure(lease_seconds: float, faults: Sequence[Fault]) -> list[float]:
    """Start a cluster, cause the faults one after another, and return their gaps.

    Gaps are in seconds.
    """
    async with Launcher() as launcher, AsyncExitStack() as stack:
        settings = {"lease_seconds": str(lease_seconds)}
        cluster = await start_cluster(launcher, SIZES, settings)
        document = cluster.build_configuration()
        await _apply_configuration(cluster, document)
        writers = [Writer(str(each.caller)) for each in cluster.addresses.values()]
        for writer in writers:
            task = asyncio.create_task(writer.run())
            stack.callback(task.cancel)
        await _wait_for_writes(writers)
        experiment = FailoverExperiment(cluster, writers)
        return [await experiment.measure_gap(fault) for fault in faults]


async def _apply_configuration(cluster: Cluster, document: dict[str, Any]) -> None:
    path = cluster.launcher.directory / "configuration.json"
    path.write_bytes(msgspec.json.encode(document))
    command = ("config", "apply", str(path), "--platform-address")
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "beryltiller", *command),
        *(cluster.platform.address, "--expect", "0"),
        stdout=asyncio.subprocess.DEVNULL,
    )
    if await process.wait() != 0:
        raise BenchmarkError("the configuration was not applied")


async def _wait_for_writes(writers: Sequence[Writer]) -> None:
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while not all(len(each.acknowledged_at) > 1 for each in writers):
            await asyncio.sleep(POLL_SECONDS)


def run(seed: int) -> int:
    """Print the gaps and their ratio to the baseline; return 0.

    The faults have a fixed order; `seed` does not change them.
    """
    rows = []
    for fault in Fault:
        gaps = asyncio.run(measure(1.0, [fault] * RUNS))
        baseline = asyncio.run(measure(BASELINE_LEASE_SECONDS, [fault] * BASELINE_RUNS))
        rows.append((fault, gaps, baseline))
    print(
        f"{'primary':10}{'runs':>6}{'median s':>10}{'worst s':>10}{'of baseline':>13}"
    )
    for fault, gaps, baseline in rows:
        median = statistics.median(gaps)
        ratio = median / statistics.median(baseline)
        figures = f"{len(gaps):>6}{median:>10.2f}{max(gaps):>10.2f}{ratio:>13.2f}"
        print(f"{fault.value:10}{figures}")
    return 0
