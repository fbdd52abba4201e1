"""A database with limited capacity, and connections to it, in memory.

It runs a limited number of statements at a time, queues a few more and refuses the
rest; it caps its connections. A replica applies the log late. All run on the virtual
clock.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from beryltiller.core.position import Position
from beryltiller.sessions.errors import BrokenError, NotSentError
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    DatabaseStatus,
    Fence,
    ProxyCommand,
    Reply,
    Request,
    Rollback,
    SessionState,
    StepDown,
    Unfence,
    Write,
)
from tests.virtual_loop import virtual_now

WORK_SECONDS = 0.009
HOP_SECONDS = 0.0005
# Appends an entry to the log; returns False if no replica receives it.
Append = Callable[["LoadedDatabase"], Awaitable[bool]]


@dataclass
class LoadedDatabase:
    """A database with slots, a queue, a connection cap and a log.

    `commits` are the indexes of its log with the times at which they are applied.
    """

    identifier: str
    is_primary: bool = False
    slots: int = 2
    queue: int = 16
    cap: int = 28
    lag_seconds: float = 0.05
    term: int = 1
    fenced_term: int = 0
    applied_at: list[float] = field(default_factory=list)
    connections: int = 0
    busy: int = 0
    waiting: list[asyncio.Future[None]] = field(default_factory=list)
    arrivals: int = 0
    rejected: int = 0

    @property
    def applied(self) -> Position:
        """Return the last position that reads at this database see."""
        now = virtual_now()
        log = self.applied_at
        index = next((n for n, at in enumerate(log) if at > now), len(log))
        return Position(self.term, len(log) if self.is_primary else index)

    async def take_slot(self) -> None:
        """Wait for a slot, or raise `NotSentError` if the queue is full."""
        self.arrivals += 1
        if self.busy < self.slots:
            self.busy += 1
            return
        if len(self.waiting) >= self.queue:
            self.rejected += 1
            raise NotSentError(Code.BUSY, self.identifier)
        place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(place)
        await place

    def free_slot(self) -> None:
        """Free a slot, which the first in the queue takes over."""
        while self.waiting:
            place = self.waiting.pop(0)
            if not place.done():
                place.set_result(None)
                return
        self.busy -= 1

    async def work(self, seconds: float) -> None:
        """Run something for a time, in a slot; the work goes on if it is cancelled."""
        await asyncio.shield(asyncio.ensure_future(self._work(seconds)))

    async def _work(self, seconds: float) -> None:
        await self.take_slot()
        try:
            await asyncio.sleep(seconds)
        finally:
            self.free_slot()


class LoadedConnection:
    """A connection to a loaded database."""

    def __init__(self, database: LoadedDatabase, append: Append) -> None:
        self._append = append
        self._database = database
        self._state = SessionState.IDLE
        self._is_open = True

    @property
    def is_open(self) -> bool:
        return self._is_open

    async def send_requests(self, requests: Sequence[Request]) -> list[Reply]:
        await asyncio.sleep(HOP_SECONDS)
        replies = [await self._run(request) for request in requests]
        await asyncio.sleep(HOP_SECONDS)
        if not self._is_open:
            raise BrokenError("closed")
        return replies

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        database = self._database
        await database.work(HOP_SECONDS)
        match statement:
            case Fence(term):
                database.fenced_term = term
            case Unfence():
                database.fenced_term = 0
            case StepDown():
                database.is_primary = False
        received = Position(database.term, len(database.applied_at))
        return DatabaseStatus(
            database.is_primary, database.term, received, database.fenced_term
        )

    async def is_primary(self) -> bool:
        await asyncio.sleep(2 * HOP_SECONDS)
        return self._database.is_primary

    def close(self) -> None:
        if self._is_open:
            self._is_open = False
            self._database.connections -= 1

    async def _run(self, request: Request) -> Reply:
        database = self._database
        match request.statement:
            case Begin(is_read_only):
                if not is_read_only and not database.is_primary:
                    return self._reply(Code.READ_ONLY)
                self._state = SessionState.OPEN
                return self._reply()
            case Rollback():
                self._state = SessionState.IDLE
                return self._reply()
        if request.since is not None and request.since > database.applied:
            return self._reply(Code.LAGGING)
        try:
            await database.work(WORK_SECONDS)
        except NotSentError:
            return self._reply(Code.BUSY)
        is_write = isinstance(request.statement, Write)
        if is_write and not database.is_primary:
            return self._reply(Code.READ_ONLY)
        if is_write and not await self._append(database):
            return self._reply(Code.FAILED)
        if isinstance(request.statement, Commit):
            self._state = SessionState.IDLE
        return self._reply()

    def _reply(self, code: Code | None = None) -> Reply:
        rows = ("row",) if code is None else ()
        signature = "" if code else "signed"
        position = self._database.applied
        return Reply(self._state, rows, signature, code, position=position)
