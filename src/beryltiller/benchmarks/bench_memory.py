"""Benchmark of the memory per object that a proxy keeps, by kind.

Many objects of each kind are created in this process; the growth of traced Python
memory divided by their number is the kind's memory per object. Buffers of the kernel
and of C libraries are not included. The capacity page multiplies these figures.
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
from beryltiller.standins.database_connections import DatabaseCapacity
from beryltiller.standins.database_standin import DatabaseStandin

MEMBERS = 5_000
GROUPS = 1_000
DISPATCHERS = 500
CONNECTIONS = 1_000
DATABASE_CONNECTIONS = 200
ZONES = ("a", "b", "c", "d", "e")

KeptObjects = list[Any]


@dataclass(frozen=True, slots=True)
class ObjectSize:
    """The memory of one more object of a kind, measured over `number` objects."""

    kind: str
    number: int
    bytes_each: float


def _database(group: int, number: int) -> Database:
    name = f"g{group}-d{number}"
    return Database(name, f"127.0.9.9:{1 + group}", ZONES[number], 20, 3)


async def _create_members(kept: KeptObjects, stack: AsyncExitStack) -> int:
    kept.extend(
        Member(f"10.0.{n // 250}.{n % 250}:7003", f"entry-{n}", ZONES[n % 5], n)
        for n in range(MEMBERS)
    )
    return MEMBERS


async def _create_databases(kept: KeptObjects, stack: AsyncExitStack) -> int:
    """Create databases and a planner; the proxy has no share of the connections."""
    records = AdmissionRecords(16)
    rng = random.Random(1)
    policy = DispatchPolicy()
    databases = Databases(
        "p", lambda _: _endpoint(), records, policy, SharePolicy(), rng
    )
    stack.push_async_callback(databases.close)
    groups = tuple(
        Group(f"g{group}", tuple(_database(group, number) for number in range(3)))
        for group in range(GROUPS)
    )
    await databases.configure(Configuration(1, (), (), groups))
    planner = Planner(RoutingPolicy(), rng)
    for group in groups:
        views = (DatabaseView(each.name, "a") for each in group.databases)
        planner.configure(group.name, views)
    kept.extend((databases, planner))
    return 3 * GROUPS


async def _create_terms(kept: KeptObjects, stack: AsyncExitStack) -> int:
    rows = [
        TermRow(f"g{n}", 1, TermState.OPEN, f"g{n}-d1", "entry-1", n)
        for n in range(GROUPS)
    ]
    kept.append(Evidence().with_read_rows(rows, 1, 0.0))
    return GROUPS


class _UnusedSession:
    """A placeholder for an HTTP session that is never used."""


def _endpoint() -> HttpEndpoint:
    return HttpEndpoint(_UnusedSession(), "127.0.0.1:9", "127.0.0.1")  # type: ignore[arg-type]


async def _create_dispatchers(kept: KeptObjects, stack: AsyncExitStack) -> int:
    records = AdmissionRecords(16)
    kept.extend(
        Dispatcher(f"d{n}", _endpoint(), 4, records) for n in range(DISPATCHERS)
    )
    return DISPATCHERS


async def _serve(stack: AsyncExitStack, runner: web.BaseRunner) -> str:
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


async def _open_caller_connections(kept: KeptObjects, stack: AsyncExitStack) -> int:
    """Open idle callers' connections, each after one request.

    Both ends are in this process.
    """

    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=b"x")

    server = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
    host, _, port = (await _serve(stack, server)).rpartition(":")
    for _ in range(CONNECTIONS):
        reader, writer = await asyncio.open_connection(host, int(port))
        stack.callback(writer.close)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\nx")
        kept.append((reader, writer))
    return CONNECTIONS


async def _open_database_connections(kept: KeptObjects, stack: AsyncExitStack) -> int:
    """Open connections to a stand-in database; both ends are in this process."""
    capacity = DatabaseCapacity(
        connection_cap=DATABASE_CONNECTIONS, connect_seconds=0.0
    )
    standin = DatabaseStandin("d1", capacity)
    runner = web.AppRunner(standin.app, shutdown_timeout=0.1)
    address = await _serve(stack, runner)
    endpoint = HttpEndpoint(_UnusedSession(), address, "127.0.0.1")  # type: ignore[arg-type]
    for _ in range(DATABASE_CONNECTIONS):
        connection = await endpoint.connect()
        stack.push_async_callback(connection.close)
        kept.append(connection)
    return DATABASE_CONNECTIONS


KINDS: tuple[
    tuple[str, Callable[[KeptObjects, AsyncExitStack], Awaitable[int]]], ...
] = (
    ("member of the view", _create_members),
    ("database configured, no share", _create_databases),
    ("row of a term", _create_terms),
    ("dispatcher of a database", _create_dispatchers),
    ("caller's idle connection, both ends", _open_caller_connections),
    ("database connection, both ends", _open_database_connections),
)


async def measure() -> list[ObjectSize]:
    """Measure the memory per object of each kind."""
    tracemalloc.start()
    object_sizes = [await _measure(kind, create) for kind, create in KINDS]
    tracemalloc.stop()
    return object_sizes


async def _measure(
    kind: str, create: Callable[[KeptObjects, AsyncExitStack], Awaitable[int]]
) -> ObjectSize:
    async with AsyncExitStack() as stack:
        gc.collect()
        before, _ = tracemalloc.get_traced_memory()
        kept: KeptObjects = []
        number = await create(kept, stack)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    return ObjectSize(kind, number, (after - before) / number)


def run(seed: int) -> int:
    """Print the table and return 0; the seed has no influence."""
    print(f"{'kind':38} {'number':>7} {'bytes each':>11}")
    for size in asyncio.run(measure()):
        print(f"{size.kind:38} {size.number:7} {size.bytes_each:11.0f}")
    return 0
