"""Measure the share of reads that replicas serve, with real processes on loopback.

Callers roam between five proxies over three groups of three databases. Each writes a
rising number under a key of its own and reads it back, so that a stale read shows in
the value. The same processes serve two ways: sessions with their tokens, and a guess
that any replica will do a fixed time after the session's last write.
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
    Size,
    Way,
)
from beryltiller.core.outcome import Outcome
from beryltiller.standins.cluster import Cluster, ClusterSizes, send_json, start_cluster
from beryltiller.standins.launcher import Launcher

PROXIES = 5
CALLERS = 36
SECONDS = 8.0
LAGS_MS = (100.0, 1000.0)
CONNECTION_CAPS = {"akvatek": 20, "stitchwattle": 35}
START_TIMEOUT_SECONDS = 20.0
START_STEP_SECONDS = 0.1


@dataclass(slots=True)
class Tally:
    """Count what came of the statements of one way."""

    reads: int = 0
    by_replica: int = 0
    stale: int = 0
    older: int = 0
    failed: int = 0
    read_seconds: list[float] = field(default_factory=list)

    def row(self) -> str:
        """Return the counts as columns."""
        times = sorted(self.read_seconds)
        middle = times[len(times) // 2] * 1000
        late = times[len(times) * 99 // 100] * 1000
        share = 100 * self.by_replica / self.reads
        return (
            f"{self.reads:6} {share:8.1f} {self.stale:6} {self.older:6}"
            f" {self.failed:7} {middle:7.1f} {late:7.1f}"
        )


@dataclass(slots=True)
class Visitor:
    """Hold one caller: its token, what it wrote and what it last read."""

    name: str
    token: str = "new"
    primary: str = ""
    wrote: int = 0
    read: int = 0
    wrote_at: float = float("-inf")


class Load:
    """Send statements of all callers to a running system, by one way."""

    def __init__(self, cluster: Cluster, way: Way, seed: int) -> None:
        """Count from zero."""
        self.tally = Tally()
        self._addresses = [str(one.caller) for one in cluster.addresses.values()]
        self._way = way
        self._random = random.Random(seed)

    async def run(self, seconds: float) -> Tally:
        """Let all callers work for some seconds."""
        until = time.monotonic() + seconds
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            visitors = (Visitor(f"{self._way.value}-{one}") for one in range(CALLERS))
            await asyncio.gather(
                *(self._visit(session, visitor, until) for visitor in visitors)
            )
        return self.tally

    async def _visit(
        self, session: aiohttp.ClientSession, visitor: Visitor, until: float
    ) -> None:
        """Write first, and then what the mix says."""
        await self._write(session, visitor)
        while time.monotonic() < until:
            await asyncio.sleep(self._random.expovariate(1 / THINK_SECONDS))
            draw = self._random.random()
            if draw < WRITE_SHARE:
                await self._write(session, visitor)
            else:
                route = "stock" if draw < WRITE_SHARE + AGED_SHARE else "order-reads"
                await self._read(session, visitor, route)

    async def _write(self, session: aiohttp.ClientSession, visitor: Visitor) -> None:
        number = visitor.wrote + 1
        body = {"op": "put", "key": visitor.name, "value": str(number)}
        answer = await self._send(session, visitor, "orders", body)
        if answer.outcome is not Outcome.DONE:
            self.tally.failed += 1
            return
        visitor.wrote = number
        visitor.wrote_at = time.monotonic()
        visitor.token = answer.session
        visitor.primary = answer.served_by

    async def _read(
        self, session: aiohttp.ClientSession, visitor: Visitor, route: str
    ) -> None:
        started = time.monotonic()
        body = {"op": "get", "key": visitor.name}
        answer = await self._send(session, visitor, route, body)
        if answer.outcome is not Outcome.DONE:
            self.tally.failed += 1
            return
        tally = self.tally
        value = int(json.loads(answer.body)["value"] or 0)
        tally.reads += 1
        tally.read_seconds.append(time.monotonic() - started)
        tally.by_replica += answer.served_by != visitor.primary
        tally.stale += value < visitor.wrote
        tally.older += value < visitor.read
        visitor.read = value
        if self._way is Way.PLANNER:
            visitor.token = answer.session

    async def _send(
        self,
        session: aiohttp.ClientSession,
        visitor: Visitor,
        route: str,
        body: dict[str, str],
    ) -> Answer:
        """Send to a random proxy, with the token that this way carries."""
        token = visitor.token
        if self._way is Way.GUESS:
            is_recent = time.monotonic() - visitor.wrote_at < GUESS_SECONDS
            token = "" if is_recent else "new"
        address = self._random.choice(self._addresses)
        data = json.dumps(body).encode()
        return await send(session, address, Request(route, data, visitor.name, token))


async def _configure(cluster: Cluster) -> None:
    """Put the configuration into the table service and wait for a first write."""
    value = json.dumps(cluster.build_configuration()).encode()
    write = {
        "table": "configuration",
        "key": "current",
        "expected": 0,
        "value": base64.b64encode(value).decode(),
    }
    address = cluster.platform.address
    await send_json("POST", address, "/transactions", {"writes": [write]})
    body = b'{"op": "put", "key": "first", "value": "1"}'
    async with (
        aiohttp.ClientSession() as session,
        asyncio.timeout(START_TIMEOUT_SECONDS),
    ):
        for one in cluster.addresses.values():
            # Enough callers that each group is asked at least once.
            for number in range(CALLERS):
                order = Request("orders", body, f"first-{number}")
                while True:
                    answer = await send(session, str(one.caller), order)
                    if answer.outcome is Outcome.DONE:
                        break
                    await asyncio.sleep(START_STEP_SECONDS)


async def _measure(size: Size, lag_ms: float, seconds: float, seed: int) -> None:
    """Print a row for each way at one size and lag."""
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
        for way in (Way.PLANNER, Way.GUESS):
            tally = await Load(cluster, way, seed).run(seconds)
            print(
                f"{size.name:13}{lag_ms:<8.0f}{way.value:13}{tally.row()}", flush=True
            )


def main() -> None:
    """Measure with the sizes that the flags give."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=SECONDS, help="of each way")
    options = parser.parse_args()
    _measure_all(options.seed, options.seconds)


def run(seed: int) -> int:
    """Print the table with its usual sizes, and return an exit code."""
    _measure_all(seed, SECONDS)
    return 0


def _measure_all(seed: int, seconds: float) -> None:
    """Print a row for each size, lag and way."""
    print(
        f"{'size':13}{'lag ms':8}{'way':13} reads replica%  stale  older  failed"
        "  p50 ms  p99 ms"
    )
    for size in SIZES:
        for lag in LAGS_MS:
            asyncio.run(_measure(size, lag, seconds, seed))


if __name__ == "__main__":
    main()
