"""Callers of an experiment: sessions that write and read, and record everything.

Writes append a unique tag to a key of the stand-in database; see `history` for
what that allows to check.
"""

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

import aiohttp
import msgspec

from beryltiller.adapters.proxy_client import Answer, Request, send
from beryltiller.benchmarks.history import Record
from beryltiller.core.outcome import Outcome

_SEPARATOR = ";"
_LOST_SESSION_STATUS = 409
_REPEATS_OF_UNKNOWN = 3
_REFUSED_PAUSE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class WorkloadSizes:
    """Say how many callers there are and what they do.

    Every other caller roams over all proxies, the rest keep to one each, so that a
    proxy that hangs holds up only those that come to it. Callers pause for
    `pause_seconds` on average between two requests.
    """

    callers: int = 12
    keys: int = 60
    write_share: float = 0.4
    unsafe_share: float = 0.5
    pause_seconds: float = 0.02
    timeout_ms: int = 2000


class _ResultModel(msgspec.Struct, frozen=True):
    """Hold the stand-in database's answer to one statement."""

    key: str
    value: str | None
    tag: str = ""


def split_value(value: str | None) -> tuple[str, ...]:
    """Return the tags that a key's value holds.

    >>> split_value("t1;t2;")
    ('t1', 't2')
    """
    return tuple(tag for tag in (value or "").split(_SEPARATOR) if tag)


@dataclass(slots=True)
class _Session:
    """Keep one caller's session: its name, its token, its count of requests."""

    caller: str
    proxies: tuple[str, ...]
    generation: int = 0
    token: str = ""
    number: int = 0

    @property
    def name(self) -> str:
        """Return the name under which the session is recorded."""
        return f"{self.caller}.{self.generation}"

    def restart(self) -> None:
        """Begin a new session after the old one was refused as lost."""
        self.generation += 1
        self.token = ""


@dataclass(frozen=True, slots=True)
class _Planned:
    """Hold a statement that a caller is about to make."""

    tag: str
    key: str
    route: str
    is_write: bool
    request_key: str = ""

    def body(self) -> bytes:
        """Return the statement in the stand-in's language."""
        operation = {"op": "get", "key": self.key, "tag": self.tag}
        if self.is_write:
            operation |= {"op": "append", "value": self.tag + _SEPARATOR}
        return msgspec.json.encode(operation)


@dataclass(slots=True)
class Workload:
    """Run callers against proxies until told to stop."""

    addresses: Sequence[str]
    sizes: WorkloadSizes
    seed: int
    records: list[Record] = field(default_factory=list)
    _is_stopping: bool = False

    async def run(self) -> None:
        """Run all callers; return once each has its last answer."""
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as connections,
            asyncio.TaskGroup() as tasks,
        ):
            for number in range(self.sizes.callers):
                tasks.create_task(self._caller(number, connections))

    def stop(self) -> None:
        """Let each caller end after the answer it waits for."""
        self._is_stopping = True

    async def _caller(self, number: int, connections: aiohttp.ClientSession) -> None:
        source = random.Random(f"{self.seed}/{number}")
        session = _Session(f"caller-{number}", self._proxies_of(number))
        while not self._is_stopping:
            session.number += 1
            planned = self._plan(session, source)
            await self._request(connections, session, planned, source)
            await asyncio.sleep(source.random() * 2 * self.sizes.pause_seconds)

    def _proxies_of(self, number: int) -> tuple[str, ...]:
        """Return the proxies that a caller may use: all, or one."""
        if number % 2 == 0:
            return tuple(self.addresses)
        return (self.addresses[number // 2 % len(self.addresses)],)

    def _plan(self, session: _Session, source: random.Random) -> _Planned:
        tag = f"{session.caller}-{session.number}"
        key = f"order-{source.randrange(self.sizes.keys)}"
        if source.random() >= self.sizes.write_share:
            return _Planned(tag, key, "order-reads", is_write=False)
        if source.random() < self.sizes.unsafe_share:
            return _Planned(tag, key, "checkout", is_write=True, request_key=tag)
        return _Planned(tag, key, "orders", is_write=True)

    async def _request(
        self,
        connections: aiohttp.ClientSession,
        session: _Session,
        planned: _Planned,
        source: random.Random,
    ) -> None:
        """Make a request; one with a request key is repeated while unknown."""
        started = time.monotonic()
        attempts = _REPEATS_OF_UNKNOWN if planned.request_key else 1
        outcome = Outcome.NOT_RUN
        for _ in range(attempts):
            address = source.choice(session.proxies)
            answer = await send(connections, address, self._made(session, planned))
            if answer.outcome is not Outcome.NOT_RUN or outcome is Outcome.NOT_RUN:
                outcome = answer.outcome
            if outcome is not Outcome.UNKNOWN:
                break
        self._record(session, planned, answer, outcome, started)
        if outcome is Outcome.NOT_RUN:
            await asyncio.sleep(_REFUSED_PAUSE_SECONDS)
        if answer.status == _LOST_SESSION_STATUS:
            session.restart()
        session.token = answer.session or session.token

    def _made(self, session: _Session, planned: _Planned) -> Request:
        return Request(
            planned.route,
            planned.body(),
            caller=session.caller,
            session=session.token,
            key=planned.request_key,
            partition=planned.key,
            timeout_ms=self.sizes.timeout_ms,
        )

    def _record(
        self,
        session: _Session,
        planned: _Planned,
        answer: Answer,
        outcome: Outcome,
        started: float,
    ) -> None:
        result = _result(answer) if outcome is Outcome.DONE else None
        self.records.append(
            Record(
                session.name,
                session.number,
                planned.tag,
                planned.key,
                planned.is_write,
                outcome,
                is_whole=outcome is not Outcome.DONE or result is not None,
                answered_tag=result.tag if result else None,
                answered_key=result.key if result else None,
                seen=split_value(result.value) if result else (),
                started=started,
                ended=time.monotonic(),
                route=planned.route,
                served_by=answer.served_by,
            )
        )


def _result(answer: Answer) -> _ResultModel | None:
    """Return the answer's content, or None when it is not whole."""
    try:
        return msgspec.json.decode(answer.body, type=_ResultModel)
    except msgspec.MsgspecError:
        return None
