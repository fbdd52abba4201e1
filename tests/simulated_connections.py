"""Connections of simulated proxies to simulated databases."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Protocol

from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.errors import (
    BrokenError,
    NoCapacityError,
    NotRunningError,
    NotSentError,
    ReplacedError,
    SessionError,
)
from beryltiller.sessions.statements import (
    AskStatus,
    Begin,
    Code,
    Commit,
    DatabaseStatus,
    Fence,
    ProxyCommand,
    Read,
    Reply,
    Request,
    Reset,
    Rollback,
    SessionState,
    StepDown,
    Unfence,
    Write,
)
from tests.simulated_databases import LogEntry, SimulatedDatabase, SimulatedGroup
from tests.virtual_loop import virtual_now

CONNECT_SECONDS = 0.6
# When a command that is held up is carried out, and how many are while some are.
HELD_UP_SECONDS = (0.1, 3.0)
HELD_UP_SHARE = 0.5


class Caller(Protocol):
    """A process that opens connections and may stand still."""

    name: str
    frozen_until: float

    async def pass_gate(self) -> None:
        """Wait while the process stands still."""
        ...


@dataclass
class _Transaction:
    is_plain: bool
    has_written: bool = False


class SimulatedConnection:
    """A connection of a proxy to a database."""

    def __init__(
        self, group: SimulatedGroup, caller: Caller, database: SimulatedDatabase
    ) -> None:
        self._group = group
        self._caller = caller
        self._database = database
        self._generation = database.generation
        self._transaction: _Transaction | None = None
        self._has_failed = False
        self._is_open = True
        self._last: asyncio.Task[Any] | None = None

    @property
    def is_open(self) -> bool:
        return self._is_open and self._generation == self._database.generation

    async def send_requests(self, requests: Sequence[Request]) -> list[Reply]:
        replies: list[Reply] = await self._exchange(lambda: self._run_all(requests))
        return replies

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        run = self._run_held_up if self._is_held_up(statement) else self._run_command
        status = await self._exchange(lambda: run(statement))
        assert isinstance(status, DatabaseStatus)
        return status

    async def is_primary(self) -> bool:
        is_primary = await self._exchange(self._answer_role)
        assert isinstance(is_primary, bool)
        return is_primary

    async def _answer_role(self) -> bool:
        return self._database.is_primary

    def close(self) -> None:
        """Close it; what is on its way may still arrive."""
        self._is_open = False
        self._transaction = None

    async def _exchange(self, run: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
        await self._caller.pass_gate()
        if not self.is_open:
            raise NoCapacityError(Code.BUSY, "the connection is closed")
        self._last = self._group.spawn(self._deliver(run, self._last))
        result = await asyncio.shield(self._last)
        await self._caller.pass_gate()
        if isinstance(result, SessionError):
            raise result
        return result

    async def _deliver(
        self,
        run: Callable[[], Coroutine[Any, Any, Any]],
        before: asyncio.Task[Any] | None,
    ) -> Any:
        """Run requests after earlier ones; return the replies or an error."""
        network, host = self._group.network, self._database.host
        if before is not None:
            await asyncio.wait((before,))
        if not await network.transfer(self._caller.name, host):
            return BrokenError("lost")
        if self._generation != self._database.generation:
            return BrokenError("the database has ended")
        try:
            result = await run()
        except SessionError as error:
            result = error
        if not await network.transfer(self._caller.name, host):
            await asyncio.sleep(2.0)
            return BrokenError("the answer was lost")
        return result

    async def _run_command(self, statement: ProxyCommand) -> DatabaseStatus:
        database = self._database
        if self._is_busy():
            raise NotSentError(Code.BUSY, database.identifier)
        match statement:
            case Fence(term) if not database.is_primary and term > database.term:
                database.fenced_term = max(database.fenced_term, term)
            case Unfence():
                database.fenced_term = 0
            case StepDown(term) if database.is_primary and database.term < term:
                self._group.step_down(database)
        text = "" if isinstance(statement, AskStatus) else " <-"
        self._group.observer.trace(
            f"{self._caller.name} {statement} {database.identifier}{text}"
            f" {database.status()}"
        )
        return database.status()

    def _is_held_up(self, statement: ProxyCommand) -> bool:
        if not self._group.network.holds_up_commands:
            return False
        is_change = not isinstance(statement, AskStatus)
        return is_change and self._group.rng.random() < HELD_UP_SHARE

    async def _run_held_up(self, statement: ProxyCommand) -> DatabaseStatus:
        """Carry out a command late, also if the connection was closed meanwhile."""
        _, longest = HELD_UP_SECONDS
        seconds = self._group.rng.uniform(*HELD_UP_SECONDS)
        self._group.observer.trace(
            f"{self._caller.name} {statement} {self._database.identifier} is held up"
            f" for {seconds:.2f} s"
        )
        await asyncio.sleep(seconds)
        if self._generation == self._database.generation:
            with suppress(SessionError):
                await self._run_command(statement)
        await asyncio.sleep(longest)
        raise BrokenError("no answer")

    def _is_busy(self) -> bool:
        database = self._database
        is_overloaded = database.is_overloaded and self._group.rng.random() < 0.6
        return is_overloaded or virtual_now() < database.busy_until

    async def _run_all(self, requests: Sequence[Request]) -> list[Reply]:
        return [await self._run(request) for request in requests]

    async def _run(self, request: Request) -> Reply:
        await asyncio.sleep(self._group.rng.uniform(0.001, 0.008))
        if self._generation != self._database.generation:
            raise BrokenError("the database has ended")
        match request.statement:
            case Reset():
                return self._reply()
            case Rollback():
                self._transaction = None
                self._has_failed = False
                return self._reply()
        code = self._refusal(request)
        if code is not None:
            if self._transaction is not None and code is not Code.BUSY:
                self._has_failed = True
            return self._reply(code)
        return await self._execute(request)

    def _refusal(self, request: Request) -> Code | None:
        database, transaction = self._database, self._transaction
        if self._has_failed:
            return Code.MALFORMED
        if self._is_busy():
            return Code.BUSY
        if request.since is not None and request.since > database.position:
            return Code.LAGGING
        if database.is_primary:
            return None
        match request.statement:
            case Write() | Begin(is_read_only=False):
                return Code.READ_ONLY
            case Commit() if transaction is not None and not transaction.has_written:
                return None
        is_plain = transaction is not None and transaction.is_plain
        return Code.READ_ONLY if is_plain else None

    async def _execute(self, request: Request) -> Reply:
        transaction = self._transaction
        match request.statement:
            case Begin(is_read_only):
                self._transaction = _Transaction(not is_read_only)
            case Read():
                self._group.observer.record_read(request.identifier, self._database)
            case Write() if transaction is not None:
                transaction.has_written = True
            case Write():
                await self._commit(request.identifier)
            case Commit():
                self._transaction = None
                if transaction is not None and transaction.has_written:
                    await self._commit(request.identifier)
        return self._reply()

    async def _commit(self, identifier: str) -> None:
        """Append a commit, and wait until a replica has received it."""
        database = self._database
        database.append(LogEntry(database.term, identifier), 0.0)
        received: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        database.waiting.append((len(database.log), received))
        await asyncio.wait((received,), timeout=5.0)
        if not received.done() or self._generation != database.generation:
            raise BrokenError("no answer")

    def _reply(self, code: Code | None = None) -> Reply:
        state = SessionState.IDLE if self._transaction is None else SessionState.OPEN
        if self._has_failed:
            state = SessionState.FAILED
        position = self._database.position
        if code is not None:
            return Reply(state, code=code, position=position)
        return Reply(state, ("row",), "signed", position=position)


async def connect(
    group: SimulatedGroup, caller: Caller, database: Database
) -> SimulatedConnection:
    """Connect a proxy to a database by its entry, or to any if it names none."""
    await caller.pass_gate()
    host = database.address
    if group.network.refuses and group.network.is_cut(caller.name, host):
        raise NotRunningError(Code.WRONG_DATABASE, "refused by a cut")
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            is_connected = await group.network.transfer(caller.name, host)
    except TimeoutError:
        is_connected = False
    await caller.pass_gate()
    found = group.hosts.get(host)
    if not is_connected or found is None or not found.is_running:
        raise NotSentError(Code.WRONG_DATABASE, "unreachable")
    if database.identifier and found.identifier != database.identifier:
        group.observer.trace(
            f"{caller.name} finds {found.identifier} at {host}, not"
            f" {database.identifier}"
        )
        raise ReplacedError(Code.WRONG_DATABASE, "another database answers")
    return SimulatedConnection(group, caller, found)
