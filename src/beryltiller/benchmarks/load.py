"""A process of load: callers that send statements for a bounded time and count.

A benchmark starts a few of these beside each other, since one event loop of callers
costs as much as a proxy. The plan comes as JSON on the command line, the report goes
to a file. Callers of a rate send at their moments whether or not answers arrive
(open loop); callers without one send again after each answer (closed loop).
"""

import argparse
import asyncio
import random
import sys
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec

from beryltiller.adapters.endpoints import HttpEndpoint
from beryltiller.adapters.proxy_client import Answer, Request, send
from beryltiller.core.outcome import Kind, Outcome
from beryltiller.core.ports import Connection, LostAnswerError, RefusedError, Statement

BUCKET_SECONDS = 0.1
MAX_SECONDS = 60.0
MAX_IN_FLIGHT = 2000
DOWN_SECONDS = 1.0
_SOURCE_IP = "127.0.0.1"
_LOST_SESSION_STATUS = 409


class LoadPlan(msgspec.Struct, frozen=True):
    """Say what the callers of one process do.

    `addresses` are proxies, or databases when `is_direct`. `rate` is in statements
    per second of all callers of the process together; 0 makes them wait for their
    answers. `start_at` is on the machine's monotonic clock. Each caller has some
    sessions, and takes one of them by chance for each statement.
    """

    addresses: tuple[str, ...]
    start_at: float
    seconds: float
    callers: int
    prefix: str
    seed: int
    is_direct: bool = False
    rate: float = 0.0
    write_share: float = 0.1
    keys: int = 500
    sessions: int = 8
    timeout_ms: int = 1000


class LoadReport(msgspec.Struct):
    """Count what came of the statements.

    `done` counts answered statements by tenths of a second from the start, and
    `refusals` those that were not run by the reason's first words.
    """

    done: list[int]
    by_caller: dict[str, int] = {}
    outcomes: dict[str, int] = {}
    refusals: dict[str, int] = {}
    by_database: dict[str, int] = {}
    latencies_ms: list[float] = []
    unsent: int = 0


class _RefusalModel(msgspec.Struct, frozen=True):
    """Hold what is read of a refusal."""

    reason: str


@dataclass(slots=True)
class _Caller:
    """Keep one caller's name, its choices and its sessions' tokens."""

    name: str
    source: random.Random
    tokens: list[str]

    def body(self, is_write: bool, keys: int) -> tuple[str, bytes]:
        """Return a key and a statement on it."""
        key = f"order-{self.source.randrange(keys)}"
        if is_write:
            return key, f'{{"op":"put","key":"{key}","value":"v"}}'.encode()
        return key, f'{{"op":"get","key":"{key}"}}'.encode()


class ProxyTarget:
    """Send callers' statements to proxies, and shun one that refuses connections."""

    def __init__(self, plan: LoadPlan) -> None:
        """Choose among the plan's addresses."""
        self._plan = plan
        self._down_until = dict.fromkeys(plan.addresses, 0.0)

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the connections' pool; the stack closes it."""
        connector = aiohttp.TCPConnector(limit=0)
        jar = aiohttp.DummyCookieJar()
        session = aiohttp.ClientSession(connector=connector, cookie_jar=jar)
        self._session = await stack.enter_async_context(session)

    async def send(self, caller: _Caller, is_write: bool) -> Answer:
        """Send a statement; try one more proxy if no connection could be made."""
        plan = self._plan
        key, body = caller.body(is_write, plan.keys)
        route = "orders" if is_write else "order-reads"
        session = caller.source.randrange(plan.sessions)
        token = caller.tokens[session]
        request = Request(route, body, caller.name, token, "", key, plan.timeout_ms)
        answer = await self._try(caller, request)
        if answer.outcome is Outcome.NOT_RUN and answer.status == 0:
            answer = await self._try(caller, request)
        if answer.status == _LOST_SESSION_STATUS:
            caller.tokens[session] = ""
        elif answer.session:
            caller.tokens[session] = answer.session
        return answer

    async def _try(self, caller: _Caller, request: Request) -> Answer:
        now = time.monotonic()
        up = [name for name, until in self._down_until.items() if until <= now]
        address = caller.source.choice(up or list(self._down_until))
        answer = await send(self._session, address, request)
        if answer.status == 0 and answer.outcome is Outcome.NOT_RUN:
            self._down_until[address] = time.monotonic() + DOWN_SECONDS
        return answer


class DatabaseTarget:
    """Send callers' statements straight to databases, each on its own connection."""

    def __init__(self, plan: LoadPlan) -> None:
        """Use the plan's addresses."""
        self._plan = plan
        self._readers: list[Connection] = []
        self._writers: dict[str, Connection] = {}
        self._term = 0

    async def open(self, stack: AsyncExitStack) -> None:
        """Open two connections for each caller; the stack closes them."""
        control = await stack.enter_async_context(aiohttp.ClientSession())
        endpoints = [
            HttpEndpoint(control, address, _SOURCE_IP)
            for address in self._plan.addresses
        ]
        statuses = [await endpoint.status() for endpoint in endpoints]
        self._term = max(status.term for status in statuses)
        primary = next(
            endpoint
            for endpoint, status in zip(endpoints, statuses, strict=True)
            if status.role.value == "primary"
        )
        for number, caller in enumerate(caller_names(self._plan)):
            reader = await endpoints[number % len(endpoints)].connect()
            writer = await primary.connect()
            stack.push_async_callback(reader.close)
            stack.push_async_callback(writer.close)
            self._readers.append(reader)
            self._writers[caller] = writer
        self._by_name = dict(zip(self._writers, self._readers, strict=True))

    async def send(self, caller: _Caller, is_write: bool) -> Answer:
        """Run a statement on the caller's connection to a reader or the primary."""
        _, body = caller.body(is_write, self._plan.keys)
        connection = (self._writers if is_write else self._by_name)[caller.name]
        kind = Kind.WRITE if is_write else Kind.READ
        term = self._term if is_write else 0
        try:
            await connection.run(Statement(kind, body, term))
        except RefusedError:
            return Answer(Outcome.NOT_RUN)
        except LostAnswerError:
            return Answer(Outcome.UNKNOWN)
        return Answer(Outcome.DONE)


def caller_names(plan: LoadPlan) -> tuple[str, ...]:
    """Return the names of the plan's callers."""
    return tuple(f"{plan.prefix}{number}" for number in range(plan.callers))


@dataclass(slots=True)
class Generator:
    """Run the callers of one plan."""

    plan: LoadPlan
    target: ProxyTarget | DatabaseTarget
    report: LoadReport = field(init=False)
    _in_flight: int = 0

    def __post_init__(self) -> None:
        """Start with nothing counted."""
        buckets = round(self.plan.seconds / BUCKET_SECONDS)
        names = caller_names(self.plan)
        self.report = LoadReport([0] * buckets, dict.fromkeys(names, 0))

    async def run(self) -> LoadReport:
        """Send from the start until the end, and return what came of it."""
        plan = self.plan
        await asyncio.sleep(max(plan.start_at - time.monotonic(), 0.0))
        async with asyncio.TaskGroup() as tasks:
            for name in caller_names(plan):
                source = random.Random(f"{plan.seed}/{name}")
                caller = _Caller(name, source, [""] * plan.sessions)
                work = self._closed(caller)
                if plan.rate:
                    work = self._paced(caller, tasks)
                tasks.create_task(work)
        return self.report

    async def _closed(self, caller: _Caller) -> None:
        while time.monotonic() < self.plan.start_at + self.plan.seconds:
            await self._send(caller)

    async def _paced(self, caller: _Caller, tasks: asyncio.TaskGroup) -> None:
        """Send at the moments of a Poisson process."""
        plan = self.plan
        rate = plan.rate / plan.callers
        at = plan.start_at + caller.source.expovariate(rate)
        while at < plan.start_at + plan.seconds:
            await asyncio.sleep(max(at - time.monotonic(), 0.0))
            if self._in_flight < MAX_IN_FLIGHT:
                tasks.create_task(self._send(caller))
            else:
                self.report.unsent += 1
            at += caller.source.expovariate(rate)

    async def _send(self, caller: _Caller) -> None:
        started = time.monotonic()
        self._in_flight += 1
        is_write = caller.source.random() < self.plan.write_share
        answer = await self.target.send(caller, is_write)
        self._in_flight -= 1
        self._count(caller.name, answer, started, time.monotonic())

    def _count(self, caller: str, answer: Answer, started: float, ended: float) -> None:
        report = self.report
        _add(report.outcomes, answer.outcome.value)
        if answer.outcome is Outcome.NOT_RUN:
            _add(report.refusals, refusal_code(answer.body))
        if answer.outcome is not Outcome.DONE:
            return
        _add(report.by_database, answer.served_by)
        bucket = int((ended - self.plan.start_at) / BUCKET_SECONDS)
        if bucket < len(report.done):
            report.done[bucket] += 1
            report.by_caller[caller] += 1
            report.latencies_ms.append((ended - started) * 1000)


def _add(counts: dict[str, int], name: str, amount: int = 1) -> None:
    counts[name] = counts.get(name, 0) + amount


def refusal_code(body: bytes) -> str:
    """Return the first words of the reason in a refusal.

    >>> refusal_code(b'{"reason": "queue-full: 64 are waiting"}')
    'queue-full'
    """
    try:
        model = msgspec.json.decode(body, type=_RefusalModel)
    except msgspec.MsgspecError:
        return "no answer"
    return model.reason.partition(":")[0]


async def generate(plan: LoadPlan) -> LoadReport:
    """Open the target, tell that the process is ready, and run the plan."""
    target = DatabaseTarget(plan) if plan.is_direct else ProxyTarget(plan)
    async with AsyncExitStack() as stack:
        await target.open(stack)
        print('{"listening": ""}', flush=True)
        return await Generator(plan, target).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one plan and write its report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", required=True, help="the plan as JSON")
    parser.add_argument("--report", type=Path, required=True)
    parsed = parser.parse_args(arguments)
    plan = msgspec.json.decode(parsed.plan, type=LoadPlan)
    if plan.seconds > MAX_SECONDS:
        parser.error(f"a plan lasts no longer than {MAX_SECONDS} s")
    report = asyncio.run(generate(plan))
    parsed.report.write_bytes(msgspec.json.encode(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
