"""Callers of a scenario: sessions that write and read, and record every request.

Each write appends a unique tag to a key of the stand-in database; `history` describes
the checks that this allows.
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
_MAX_KEYED_ATTEMPTS = 3
_REFUSED_PAUSE_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class WorkloadSizes:
    """The number of callers and the mix of their requests.

    Half of the callers use all proxies in random order. Each of the others uses a
    single proxy, so that a proxy that hangs delays only the callers that use it.
    Callers pause for `pause_seconds` on average between two requests. `write_share` of
    the requests are writes, and `unsafe_share` of the writes are unsafe to repeat and
    have a request key.
    """

    callers: int = 12
    keys: int = 60
    write_share: float = 0.4
    unsafe_share: float = 0.5
    pause_seconds: float = 0.02
    timeout_ms: int = 2000


class _ResultModel(msgspec.Struct, frozen=True):
    """The stand-in database's answer to one statement."""

    key: str
    value: str | None
    tag: str = ""


def split_value(value: str | None) -> tuple[str, ...]:
    """Return the tags in a key's value, in order.

    >>> split_value("t1;t2;")
    ('t1', 't2')
    """
    return tuple(tag for tag in (value or "").split(_SEPARATOR) if tag)


@dataclass(slots=True)
class _Session:
    """A caller's session: its token, and the number of the caller's last request.

    `generation` counts the caller's earlier sessions, which were lost. `number` counts
    on over all of them, so that the tags of the caller's requests are unique.
    """

    caller: str
    proxies: tuple[str, ...]
    generation: int = 0
    token: str = ""
    number: int = 0

    @property
    def name(self) -> str:
        """The session's name in the records of its requests."""
        return f"{self.caller}.{self.generation}"

    def restart(self) -> None:
        """Start a new session after a proxy refused the old one as lost."""
        self.generation += 1
        self.token = ""


@dataclass(frozen=True, slots=True)
class _PlannedStatement:
    """A statement that a caller is about to send."""

    tag: str
    key: str
    route: str
    is_write: bool
    request_key: str = ""

    def body(self) -> bytes:
        """Return the statement as the stand-in database expects it."""
        operation = {"op": "get", "key": self.key, "tag": self.tag}
        if self.is_write:
            operation |= {"op": "append", "value": self.tag + _SEPARATOR}
        return msgspec.json.encode(operation)


@dataclass(slots=True)
class Workload:
    """The callers of a scenario and the records of their requests."""

    addresses: Sequence[str]
    sizes: WorkloadSizes
    seed: int
    records: list[Record] = field(default_factory=list)
    _is_stopping: bool = False

    async def run(self) -> None:
        """Run all callers until `stop` was called and their last answers arrived."""
        async with (
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            ) as connections,
            asyncio.TaskGroup() as tasks,
        ):
            for number in range(self.sizes.callers):
                tasks.create_task(self._run_caller(number, connections))

    def stop(self) -> None:
        """Make each caller end after the answer that it waits for."""
        self._is_stopping = True

    async def _run_caller(
        self, number: int, connections: aiohttp.ClientSession
    ) -> None:
        rng = random.Random(f"{self.seed}/{number}")
        session = _Session(f"caller-{number}", self._proxies_of(number))
        while not self._is_stopping:
            session.number += 1
            planned = self._plan_statement(session, rng)
            await self._send_statement(connections, session, planned, rng)
            await asyncio.sleep(rng.random() * 2 * self.sizes.pause_seconds)

    def _proxies_of(self, number: int) -> tuple[str, ...]:
        """Return the proxies that a caller uses: all, or a single one."""
        if number % 2 == 0:
            return tuple(self.addresses)
        return (self.addresses[number // 2 % len(self.addresses)],)

    def _plan_statement(
        self, session: _Session, rng: random.Random
    ) -> _PlannedStatement:
        tag = f"{session.caller}-{session.number}"
        key = f"order-{rng.randrange(self.sizes.keys)}"
        if rng.random() >= self.sizes.write_share:
            return _PlannedStatement(tag, key, "order-reads", is_write=False)
        if rng.random() < self.sizes.unsafe_share:
            return _PlannedStatement(
                tag, key, "checkout", is_write=True, request_key=tag
            )
        return _PlannedStatement(tag, key, "orders", is_write=True)

    async def _send_statement(
        self,
        connections: aiohttp.ClientSession,
        session: _Session,
        planned: _PlannedStatement,
        rng: random.Random,
    ) -> None:
        """Send a request; repeat one with a key while its outcome is unknown."""
        started = time.monotonic()
        attempts = _MAX_KEYED_ATTEMPTS if planned.request_key else 1
        outcome = Outcome.NOT_RUN
        for _ in range(attempts):
            address = rng.choice(session.proxies)
            answer = await send(
                connections, address, self._build_request(session, planned)
            )
            if answer.outcome is not Outcome.NOT_RUN or outcome is Outcome.NOT_RUN:
                outcome = answer.outcome
            if outcome is not Outcome.UNKNOWN:
                break
        self._add_record(session, planned, answer, outcome, started)
        if outcome is Outcome.NOT_RUN:
            await asyncio.sleep(_REFUSED_PAUSE_SECONDS)
        if answer.status == _LOST_SESSION_STATUS:
            session.restart()
        session.token = answer.session or session.token

    def _build_request(self, session: _Session, planned: _PlannedStatement) -> Request:
        return Request(
            planned.route,
            planned.body(),
            caller=session.caller,
            session=session.token,
            key=planned.request_key,
            partition=planned.key,
            timeout_ms=self.sizes.timeout_ms,
        )

    def _add_record(
        self,
        session: _Session,
        planned: _PlannedStatement,
        answer: Answer,
        outcome: Outcome,
        started: float,
    ) -> None:
        result = _decode_result(answer) if outcome is Outcome.DONE else None
        self.records.append(
            Record(
                session.name,
                session.number,
                planned.tag,
                planned.key,
                planned.is_write,
                outcome,
                is_complete=outcome is not Outcome.DONE or result is not None,
                answered_tag=result.tag if result else None,
                answered_key=result.key if result else None,
                returned_tags=split_value(result.value) if result else (),
                started=started,
                ended=time.monotonic(),
                route=planned.route,
                served_by=answer.served_by,
            )
        )


def _decode_result(answer: Answer) -> _ResultModel | None:
    """Return the decoded answer, or None if it is incomplete."""
    try:
        return msgspec.json.decode(answer.body, type=_ResultModel)
    except msgspec.MsgspecError:
        return None
