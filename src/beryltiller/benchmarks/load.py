"""A load generator process: callers that send statements for a limited time.

A benchmark starts several of these processes in parallel, since one event loop of
callers uses as much processor time as a proxy. The plan is given as JSON on the command
line, the report is written to a file. With a rate, callers send at random times whether
or not answers arrive (open loop); without one, each caller sends its next statement
after the answer to the last one (closed loop).
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
    """The instructions for the callers of one process.

    `addresses` are those of proxies, or of databases if `is_direct`. `rate` is in
    statements per second of all callers of the process together; 0 selects the closed
    loop. `start_at` is on the machine's monotonic clock. Callers are named `prefix` and
    a number. Each has `sessions` sessions, and uses a random one of them, and a random
    one of `keys` keys, for each statement.
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
    """The counts of statements by their results, and the latencies of completed ones.

    `done` counts completed statements per tenth of a second since the start. `refusals`
    counts the statements that were not run, with the refusal code as the key. `unsent`
    counts those that were skipped because `MAX_IN_FLIGHT` statements were in flight.
    """

    done: list[int]
    by_caller: dict[str, int] = {}
    outcomes: dict[str, int] = {}
    refusals: dict[str, int] = {}
    by_database: dict[str, int] = {}
    latencies_ms: list[float] = []
    unsent: int = 0


class _RefusalModel(msgspec.Struct, frozen=True):
    """The part of a refusal's body that is decoded."""

    reason: str


@dataclass(slots=True)
class _Caller:
    """A caller's name, random generator and session tokens."""

    name: str
    rng: random.Random
    tokens: list[str]

    def build_statement(self, is_write: bool, keys: int) -> tuple[str, bytes]:
        """Return a random key, and a statement that reads or writes it."""
        key = f"order-{self.rng.randrange(keys)}"
        if is_write:
            return key, f'{{"op":"put","key":"{key}","value":"v"}}'.encode()
        return key, f'{{"op":"get","key":"{key}"}}'.encode()


class ProxyTarget:
    """The proxies as the target of a load.

    A proxy that refused a connection is not used for `DOWN_SECONDS`.
    """

    def __init__(self, plan: LoadPlan) -> None:
        """Create a target of all addresses of the plan."""
        self._plan = plan
        self._down_until = dict.fromkeys(plan.addresses, 0.0)

    async def open(self, stack: AsyncExitStack) -> None:
        """Open the HTTP session, which the stack closes."""
        connector = aiohttp.TCPConnector(limit=0)
        jar = aiohttp.DummyCookieJar()
        session = aiohttp.ClientSession(connector=connector, cookie_jar=jar)
        self._session = await stack.enter_async_context(session)

    async def send(self, caller: _Caller, is_write: bool) -> Answer:
        """Send a statement; try again once if no connection could be made."""
        plan = self._plan
        key, statement = caller.build_statement(is_write, plan.keys)
        route = "orders" if is_write else "order-reads"
        session = caller.rng.randrange(plan.sessions)
        token = caller.tokens[session]
        request = Request(
            route, statement, caller.name, token, "", key, plan.timeout_ms
        )
        answer = await self._send_once(caller, request)
        if answer.outcome is Outcome.NOT_RUN and answer.status == 0:
            answer = await self._send_once(caller, request)
        if answer.status == _LOST_SESSION_STATUS:
            caller.tokens[session] = ""
        elif answer.session:
            caller.tokens[session] = answer.session
        return answer

    async def _send_once(self, caller: _Caller, request: Request) -> Answer:
        now = time.monotonic()
        available = [name for name, until in self._down_until.items() if until <= now]
        address = caller.rng.choice(available or list(self._down_until))
        answer = await send(self._session, address, request)
        if answer.status == 0 and answer.outcome is Outcome.NOT_RUN:
            self._down_until[address] = time.monotonic() + DOWN_SECONDS
        return answer


class DatabaseTarget:
    """The databases as the target of a load, with connections for each caller."""

    def __init__(self, plan: LoadPlan) -> None:
        """Create a target of the plan's addresses, without connections."""
        self._plan = plan
        self._readers: list[Connection] = []
        self._writers: dict[str, Connection] = {}
        self._term = 0

    async def open(self, stack: AsyncExitStack) -> None:
        """Open a read and a write connection per caller, which the stack closes."""
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
        self._reader_of = dict(zip(self._writers, self._readers, strict=True))

    async def send(self, caller: _Caller, is_write: bool) -> Answer:
        """Run a write on the caller's primary connection, a read on its other one."""
        _, statement = caller.build_statement(is_write, self._plan.keys)
        connection = (self._writers if is_write else self._reader_of)[caller.name]
        kind = Kind.WRITE if is_write else Kind.READ
        term = self._term if is_write else 0
        try:
            await connection.run(Statement(kind, statement, term))
        except RefusedError:
            return Answer(Outcome.NOT_RUN)
        except LostAnswerError:
            return Answer(Outcome.UNKNOWN)
        return Answer(Outcome.DONE)


def caller_names(plan: LoadPlan) -> tuple[str, ...]:
    """Return the callers' names: the plan's prefix, followed by a number from 0."""
    return tuple(f"{plan.prefix}{number}" for number in range(plan.callers))


@dataclass(slots=True)
class LoadGenerator:
    """The callers of one plan, and the report of their statements."""

    plan: LoadPlan
    target: ProxyTarget | DatabaseTarget
    report: LoadReport = field(init=False)
    _in_flight: int = 0

    def __post_init__(self) -> None:
        """Create an empty report."""
        buckets = round(self.plan.seconds / BUCKET_SECONDS)
        names = caller_names(self.plan)
        self.report = LoadReport([0] * buckets, dict.fromkeys(names, 0))

    async def run(self) -> LoadReport:
        """Run all callers from the plan's start to its end, and return the report."""
        plan = self.plan
        await asyncio.sleep(max(plan.start_at - time.monotonic(), 0.0))
        async with asyncio.TaskGroup() as tasks:
            for name in caller_names(plan):
                rng = random.Random(f"{plan.seed}/{name}")
                caller = _Caller(name, rng, [""] * plan.sessions)
                caller_loop = self._run_closed_loop(caller)
                if plan.rate:
                    caller_loop = self._run_open_loop(caller, tasks)
                tasks.create_task(caller_loop)
        return self.report

    async def _run_closed_loop(self, caller: _Caller) -> None:
        while time.monotonic() < self.plan.start_at + self.plan.seconds:
            await self._send(caller)

    async def _run_open_loop(self, caller: _Caller, tasks: asyncio.TaskGroup) -> None:
        """Send one caller's statements as a Poisson process."""
        plan = self.plan
        rate = plan.rate / plan.callers
        at = plan.start_at + caller.rng.expovariate(rate)
        while at < plan.start_at + plan.seconds:
            await asyncio.sleep(max(at - time.monotonic(), 0.0))
            if self._in_flight < MAX_IN_FLIGHT:
                tasks.create_task(self._send(caller))
            else:
                self.report.unsent += 1
            at += caller.rng.expovariate(rate)

    async def _send(self, caller: _Caller) -> None:
        started = time.monotonic()
        self._in_flight += 1
        is_write = caller.rng.random() < self.plan.write_share
        answer = await self.target.send(caller, is_write)
        self._in_flight -= 1
        self._record_answer(caller.name, answer, started, time.monotonic())

    def _record_answer(
        self, caller: str, answer: Answer, started: float, ended: float
    ) -> None:
        report = self.report
        _increment(report.outcomes, answer.outcome.value)
        if answer.outcome is Outcome.NOT_RUN:
            _increment(report.refusals, refusal_code(answer.body))
        if answer.outcome is not Outcome.DONE:
            return
        _increment(report.by_database, answer.served_by)
        bucket = int((ended - self.plan.start_at) / BUCKET_SECONDS)
        if bucket < len(report.done):
            report.done[bucket] += 1
            report.by_caller[caller] += 1
            report.latencies_ms.append((ended - started) * 1000)


def _increment(counts: dict[str, int], name: str, amount: int = 1) -> None:
    counts[name] = counts.get(name, 0) + amount


def refusal_code(body: bytes) -> str:
    """Return the part of a refusal's reason before its first colon.

    >>> refusal_code(b'{"reason": "queue-full: 64 are waiting"}')
    'queue-full'
    """
    try:
        model = msgspec.json.decode(body, type=_RefusalModel)
    except msgspec.MsgspecError:
        return "no answer"
    return model.reason.partition(":")[0]


async def run_plan(plan: LoadPlan) -> LoadReport:
    """Open the target, print the line that reports readiness, and run the plan."""
    target = DatabaseTarget(plan) if plan.is_direct else ProxyTarget(plan)
    async with AsyncExitStack() as stack:
        await target.open(stack)
        print('{"listening": ""}', flush=True)
        return await LoadGenerator(plan, target).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one plan, and write its report to a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", required=True, help="the plan as JSON")
    parser.add_argument("--report", type=Path, required=True)
    parsed = parser.parse_args(arguments)
    plan = msgspec.json.decode(parsed.plan, type=LoadPlan)
    if plan.seconds > MAX_SECONDS:
        parser.error(f"the plan takes {plan.seconds} s, the maximum is {MAX_SECONDS} s")
    report = asyncio.run(run_plan(plan))
    parsed.report.write_bytes(msgspec.json.encode(report))
    return 0


if __name__ == "__main__":
    sys.exit(main())
