"""Benchmark of the share of reads that replicas serve, with real processes on loopback.

Each caller sends its statements to random ones of five proxies, which serve three
groups of three databases. It writes an increasing number under its own key and reads it
back, so a stale read shows in the value. The same processes are measured with two read
strategies: sessions with their tokens, and the guess that any replica is fresh enough a
fixed time after the session's last write.
"""

import argparse
import asyncio
import base64
import json
import random
import time
from dataclasses import dataclass, field

import aiohttp

from beryltiller.adapters.proxy_client import Answer, Request, send
from beryltiller.benchmarks.bench_sessions import SIZES
from beryltiller.benchmarks.session_simulation import (
    AGED_SHARE,
    GROUPS,
    GUESS_SECONDS,
    THINK_SECONDS,
    WRITE_SHARE,
    DeploymentSize,
    ReadStrategy,
)
from beryltiller.core.outcome import Outcome
from beryltiller.standins.cluster import Cluster, ClusterSizes, send_json, start_cluster
from beryltiller.standins.launcher import Launcher

PROXIES = 5
CALLERS = 36
RUN_SECONDS = 8.0
LAGS_MS = (100.0, 1000.0)
CONNECTION_CAPS = {"akvatek": 20, "stitchwattle": 35}
START_TIMEOUT_SECONDS = 20.0
START_POLL_SECONDS = 0.1


@dataclass(slots=True)
class SessionCounts:
    """The counts of one read strategy's statements.

    `stale` counts reads that missed the caller's own last write, `non_monotonic` those
    that returned an older value than the caller's previous read.
    """

    reads: int = 0
    by_replica: int = 0
    stale: int = 0
    non_monotonic: int = 0
    failed: int = 0
    read_seconds: list[float] = field(default_factory=list)

    def row(self) -> str:
        """Return the counts as the columns of a table's row."""
        times = sorted(self.read_seconds)
        median = times[len(times) // 2] * 1000
        p99 = times[len(times) * 99 // 100] * 1000
        share = 100 * self.by_replica / self.reads
        return (
            f"{self.reads:6} {share:8.1f} {self.stale:6} {self.non_monotonic:6}"
            f" {self.failed:7} {median:7.1f} {p99:7.1f}"
        )


@dataclass(slots=True)
class SessionCaller:
    """A caller's session token, last written value and last read value.

    `primary` is the database that served the last write.
    """

    name: str
    token: str = "new"
    primary: str = ""
    written_value: int = 0
    read_value: int = 0
    written_at: float = float("-inf")


class SessionLoad:
    """The load of all callers on a running system with one read strategy."""

    def __init__(self, cluster: Cluster, strategy: ReadStrategy, seed: int) -> None:
        """Create a load on the proxies of `cluster`, with all counts at 0."""
        self.counts = SessionCounts()
        self._addresses = [str(one.caller) for one in cluster.addresses.values()]
        self._strategy = strategy
        self._rng = random.Random(seed)

    async def run(self, seconds: float) -> SessionCounts:
        """Run all callers for some seconds, and return the counts."""
        until = time.monotonic() + seconds
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            session_callers = (
                SessionCaller(f"{self._strategy.value}-{one}") for one in range(CALLERS)
            )
            await asyncio.gather(
                *(
                    self._run_caller(session, session_caller, until)
                    for session_caller in session_callers
                )
            )
        return self.counts

    async def _run_caller(
        self,
        session: aiohttp.ClientSession,
        session_caller: SessionCaller,
        until: float,
    ) -> None:
        """Write once, then write or read at random until the time `until`."""
        await self._write(session, session_caller)
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.expovariate(1 / THINK_SECONDS))
            draw = self._rng.random()
            if draw < WRITE_SHARE:
                await self._write(session, session_caller)
            else:
                route = "stock" if draw < WRITE_SHARE + AGED_SHARE else "order-reads"
                await self._read(session, session_caller, route)

    async def _write(
        self, session: aiohttp.ClientSession, session_caller: SessionCaller
    ) -> None:
        number = session_caller.written_value + 1
        statement = {"op": "put", "key": session_caller.name, "value": str(number)}
        answer = await self._send(session, session_caller, "orders", statement)
        if answer.outcome is not Outcome.DONE:
            self.counts.failed += 1
            return
        session_caller.written_value = number
        session_caller.written_at = time.monotonic()
        session_caller.token = answer.session
        session_caller.primary = answer.served_by

    async def _read(
        self, session: aiohttp.ClientSession, session_caller: SessionCaller, route: str
    ) -> None:
        started = time.monotonic()
        statement = {"op": "get", "key": session_caller.name}
        answer = await self._send(session, session_caller, route, statement)
        if answer.outcome is not Outcome.DONE:
            self.counts.failed += 1
            return
        counts = self.counts
        value = int(json.loads(answer.body)["value"] or 0)
        counts.reads += 1
        counts.read_seconds.append(time.monotonic() - started)
        counts.by_replica += answer.served_by != session_caller.primary
        counts.stale += value < session_caller.written_value
        counts.non_monotonic += value < session_caller.read_value
        session_caller.read_value = value
        if self._strategy is ReadStrategy.PLANNER:
            session_caller.token = answer.session

    async def _send(
        self,
        session: aiohttp.ClientSession,
        session_caller: SessionCaller,
        route: str,
        statement: dict[str, str],
    ) -> Answer:
        """Send to a random proxy with the token that the read strategy requires."""
        token = session_caller.token
        if self._strategy is ReadStrategy.GUESS:
            is_recent = time.monotonic() - session_caller.written_at < GUESS_SECONDS
            token = "" if is_recent else "new"
        address = self._rng.choice(self._addresses)
        data = json.dumps(statement).encode()
        return await send(
            session, address, Request(route, data, session_caller.name, token)
        )


async def _configure(cluster: Cluster) -> None:
    """Commit the configuration, and wait until every proxy serves writes."""
    value = json.dumps(cluster.build_configuration()).encode()
    write = {
        "table": "configuration",
        "key": "current",
        "expected": 0,
        "value": base64.b64encode(value).decode(),
    }
    address = cluster.platform.address
    await send_json("POST", address, "/transactions", {"writes": [write]})
    statement = b'{"op": "put", "key": "first", "value": "1"}'
    async with (
        aiohttp.ClientSession() as session,
        asyncio.timeout(START_TIMEOUT_SECONDS),
    ):
        for one in cluster.addresses.values():
            # With this many callers, each group receives at least one write.
            for number in range(CALLERS):
                order = Request("orders", statement, f"first-{number}")
                while True:
                    answer = await send(session, str(one.caller), order)
                    if answer.outcome is Outcome.DONE:
                        break
                    await asyncio.sleep(START_POLL_SECONDS)


async def _measure(
    size: DeploymentSize, lag_ms: float, seconds: float, seed: int
) -> None:
    """Print a row for each read strategy at one size and lag."""
    sizes = ClusterSizes(
        proxies=PROXIES,
        groups=GROUPS,
        slots=size.slots,
        connection_cap=CONNECTION_CAPS[size.name],
        service_ms=3.0,
        lag_ms=lag_ms,
    )
    async with Launcher() as launcher:
        cluster = await start_cluster(launcher, sizes)
        await _configure(cluster)
        for strategy in (ReadStrategy.PLANNER, ReadStrategy.GUESS):
            counts = await SessionLoad(cluster, strategy, seed).run(seconds)
            print(
                f"{size.name:13}{lag_ms:<8.0f}{strategy.value:13}{counts.row()}",
                flush=True,
            )


def main() -> None:
    """Print the table with the seed and duration of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seconds",
        type=float,
        default=RUN_SECONDS,
        help="duration of each read strategy",
    )
    options = parser.parse_args()
    _measure_all(options.seed, options.seconds)


def run(seed: int) -> int:
    """Print the table with the default duration; return 0."""
    _measure_all(seed, RUN_SECONDS)
    return 0


def _measure_all(seed: int, seconds: float) -> None:
    """Print the table, with a row for each size, lag and read strategy.

    The column `way` names the strategy, `older` counts the non-monotonic reads.
    """
    print(
        f"{'size':13}{'lag ms':8}{'way':13} reads replica%  stale  older  failed"
        "  p50 ms  p99 ms"
    )
    for size in SIZES:
        for lag in LAGS_MS:
            asyncio.run(_measure(size, lag, seconds, seed))


if __name__ == "__main__":
    main()
