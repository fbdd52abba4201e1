"""Benchmark: memory of what a proxy keeps, by kind.

Each kind is made many times in this process; the growth of traced Python memory
divided by their number is its slope. Buffers of the kernel and of C libraries are not
in it. The capacity page multiplies the slopes.
"""

import asyncio
import gc
import random
import tracemalloc
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from beryltiller.adapters.endpoints import HttpEndpoint
from beryltiller.admission.records import AdmissionRecords
from beryltiller.configuration.tables import Configuration, Database, Group
from beryltiller.consistency.plans import DatabaseView, RoutingPolicy
from beryltiller.consistency.session import Planner
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.dispatch import Dispatcher, DispatchPolicy
from beryltiller.membership.members import Member
from beryltiller.membership.shares import SharePolicy
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_rows import TermRow, TermState
from beryltiller.standins.database_standin import DatabaseCapacity, DatabaseStandin

MEMBERS = 5_000
GROUPS = 1_000
DISPATCHERS = 500
CONNECTIONS = 1_000
DATABASE_CONNECTIONS = 200
ZONES = ("a", "b", "c", "d", "e")

Keep = list[Any]


@dataclass(frozen=True, slots=True)
class Slope:
    """Hold how much memory one more of a kind takes."""

    kind: str
    number: int
    bytes_each: float


def _database(group: int, number: int) -> Database:
    name = f"g{group}-d{number}"
    return Database(name, f"127.0.9.9:{1 + group}", ZONES[number], 20, 3)


async def _members(keep: Keep, stack: AsyncExitStack) -> int:
    keep.extend(
        Member(f"10.0.{n // 250}.{n % 250}:7003", f"entry-{n}", ZONES[n % 5], n)
        for n in range(MEMBERS)
    )
    return MEMBERS


async def _configured(keep: Keep, stack: AsyncExitStack) -> int:
    """Configure databases without a share, with their planner's state."""
    records = AdmissionRecords(16)
    source = random.Random(1)
    policy = DispatchPolicy()
    databases = Databases(
        "p", lambda _: _endpoint(), records, policy, SharePolicy(), source
    )
    stack.push_async_callback(databases.close)
    groups = tuple(
        Group(f"g{group}", tuple(_database(group, number) for number in range(3)))
        for group in range(GROUPS)
    )
    await databases.configure(Configuration(1, (), (), groups))
    planner = Planner(RoutingPolicy(), source)
    for group in groups:
        views = (DatabaseView(each.name, "a") for each in group.databases)
        planner.configure(group.name, views)
    keep.extend((databases, planner))
    return 3 * GROUPS


async def _terms(keep: Keep, stack: AsyncExitStack) -> int:
    rows = [
        TermRow(f"g{n}", 1, TermState.OPEN, f"g{n}-d1", "entry-1", n)
        for n in range(GROUPS)
    ]
    keep.append(Evidence().with_read_rows(rows, 1, 0.0))
    return GROUPS


class _Unused:
    """Stand in for an HTTP session that is never used."""


def _endpoint() -> HttpEndpoint:
    return HttpEndpoint(_Unused(), "127.0.0.1:9", "127.0.0.1")  # type: ignore[arg-type]


async def _dispatchers(keep: Keep, stack: AsyncExitStack) -> int:
    records = AdmissionRecords(16)
    keep.extend(
        Dispatcher(f"d{n}", _endpoint(), 4, records) for n in range(DISPATCHERS)
    )
    return DISPATCHERS


async def _serve(stack: AsyncExitStack, runner: web.BaseRunner) -> str:
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


async def _callers(keep: Keep, stack: AsyncExitStack) -> int:
    """Open idle connections of callers, each after one request; both ends here."""

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=b"x")

    server = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
    host, _, port = (await _serve(stack, server)).rpartition(":")
    for _ in range(CONNECTIONS):
        reader, writer = await asyncio.open_connection(host, int(port))
        stack.callback(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\nx")
        keep.append((reader, writer))
    return CONNECTIONS


async def _database_connections(keep: Keep, stack: AsyncExitStack) -> int:
    """Open connections to a stand-in; both ends live in this process."""
    sizes = DatabaseCapacity(connection_cap=DATABASE_CONNECTIONS, connect_seconds=0.0)
    standin = DatabaseStandin("d1", sizes)
    runner = web.AppRunner(standin.app, shutdown_timeout=0.1)
    address = await _serve(stack, runner)
    endpoint = HttpEndpoint(_Unused(), address, "127.0.0.1")  # type: ignore[arg-type]
    for _ in range(DATABASE_CONNECTIONS):
        connection = await endpoint.connect()
        stack.push_async_callback(connection.close)
        keep.append(connection)
    return DATABASE_CONNECTIONS


KINDS: tuple[tuple[str, Callable[[Keep, AsyncExitStack], Awaitable[int]]], ...] = (
    ("member of the view", _members),
    ("database configured, no share", _configured),
    ("row of a term", _terms),
    ("dispatcher of a database", _dispatchers),
    ("caller's idle connection, both ends", _callers),
    ("database connection, both ends", _database_connections),
)


async def measure() -> list[Slope]:
    """Return the slope of each kind."""
    tracemalloc.start()
    slopes = [await _measure(kind, make) for kind, make in KINDS]
    tracemalloc.stop()
    return slopes


async def _measure(
    kind: str, make: Callable[[Keep, AsyncExitStack], Awaitable[int]]
) -> Slope:
    async with AsyncExitStack() as stack:
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        keep: Keep = []
        number = await make(keep, stack)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    return Slope(kind, number, (after - before) / number)


def run(seed: int) -> int:
    """Print the table; the seed has no influence."""
    print(f"{'kind':38} {'number':>7} {'bytes each':>11}")
    for slope in asyncio.run(measure()):
        print(f"{slope.kind:38} {slope.number:7} {slope.bytes_each:11.0f}")
    return 0
