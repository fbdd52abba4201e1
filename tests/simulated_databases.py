"""A database group with a replicated log over a network with faults, in memory.

Commits reach replicas over the network and are applied later. A commit is acknowledged
once a replica has received it. All runs on the virtual clock.
"""

import asyncio
import random
from bisect import bisect_right
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from beryltiller.core.ports import RefusedError
from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.databases.catalog import ANY_DATABASE, Database
from beryltiller.sessions.errors import (
    BrokenError,
    NoCapacityError,
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
from tests.virtual_loop import virtual_now

SERVICE = "s"
STORE = "store"
REPLICATION_SECONDS = 0.005
# How many entries a replica receives at a time.
ENTRIES_PER_STEP = 20
LAG_SECONDS = 0.09
PROMOTE_SECONDS = 0.3
# A replaced primary becomes a replica this long after it can reach the new one.
REPLACED_SECONDS = 1.0
ROLLBACK_BUSY_SECONDS = 0.1
# What is sent over a link that is cut arrives if the link is back within this time.
UNACKNOWLEDGED_SECONDS = 0.9
CONNECT_SECONDS = 0.6
LATE_SHARE = 0.06
LOST_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One commit: the term that wrote it, and the identifier of its statement."""

    term: int
    identifier: str


@dataclass(eq=False)
class SimulatedDatabase:
    """A database with its log, of which a replica has applied a part.

    `applied_at` are the times at which the log's entries are applied. `host` is its
    place in the network. `generation` counts its starts.
    """

    identifier: str
    host: str
    zone: str
    is_primary: bool = False
    term: int = 1
    log: list[LogEntry] = field(default_factory=list)
    applied_at: list[float] = field(default_factory=list)
    lag_seconds: float = LAG_SECONDS
    fenced_term: int = 0
    fenced_at: float = 0.0
    leads_since: float = 0.0
    is_running: bool = True
    is_deaf: bool = False
    is_draining: bool = False
    is_overloaded: bool = False
    generation: int = 0
    incarnation: int = 1
    busy_until: float = 0.0
    replaced_since: float | None = None
    waiting: list[tuple[int, asyncio.Future[None]]] = field(default_factory=list)

    @property
    def applied(self) -> int:
        """Return how many entries are applied."""
        if self.is_primary:
            return len(self.log)
        return bisect_right(self.applied_at, virtual_now())

    @property
    def received(self) -> Position:
        """Return the position of the log's end."""
        return self._position(len(self.log))

    @property
    def position(self) -> Position:
        """Return the position of the last entry applied."""
        return self._position(self.applied)

    def holds(self, index: int, identifier: str) -> bool:
        """Return True if the applied log has the commit at the index."""
        if self.applied < index:
            return False
        return self.log[index - 1].identifier == identifier

    def append(self, entry: LogEntry, lag_seconds: float) -> None:
        """Append an entry that is applied after a time, and after earlier ones."""
        before = self.applied_at[-1] if self.applied_at else 0.0
        self.log.append(entry)
        self.applied_at.append(max(before, virtual_now() + lag_seconds))

    def truncate(self, length: int) -> None:
        """Roll back the entries after the first `length`."""
        del self.log[length:]
        del self.applied_at[length:]

    def apply_all(self) -> None:
        """Apply all that was received, as at a start or a promotion."""
        now = virtual_now()
        self.applied_at = [min(now, each) for each in self.applied_at]

    def stop(self) -> None:
        """End the process; its connections break."""
        self.is_running = False
        self.generation += 1
        self.waiting.clear()
        self.fenced_term = 0
        self.replaced_since = None

    def entry(self) -> Database:
        """Return the entry that it registers."""
        return Database(
            self.identifier,
            SERVICE,
            self.host,
            self.zone,
            8,
            self.is_primary,
            self.is_draining,
            self.incarnation,
        )

    def status(self) -> DatabaseStatus:
        """Return what it reports of itself."""
        return DatabaseStatus(
            self.is_primary, self.term, self.received, self.fenced_term
        )

    def _position(self, length: int) -> Position:
        return Position(self.log[length - 1].term, length) if length else ORIGIN


class Network:
    """Links between named nodes, which can be cut, lose answers and be slow."""

    def __init__(self, rng: random.Random, late_share: float) -> None:
        self._rng = rng
        self._late_share = late_share
        self._cuts: dict[frozenset[str], int] = {}
        self.is_slow = False

    def cut(self, one: str, other: str) -> None:
        """Cut a link; each cut must be mended."""
        pair = frozenset((one, other))
        self._cuts[pair] = self._cuts.get(pair, 0) + 1

    def mend(self, one: str, other: str) -> None:
        """Undo one cut of a link."""
        pair = frozenset((one, other))
        self._cuts[pair] -= 1
        if not self._cuts[pair]:
            del self._cuts[pair]

    def is_cut(self, one: str, other: str) -> bool:
        """Return True if nothing passes the link."""
        return frozenset((one, other)) in self._cuts

    async def transfer(self, one: str, other: str) -> bool:
        """Wait until something sent now arrives; return False if it is lost."""
        delay = self._rng.uniform(0.0005, 0.003)
        if self.is_slow and self._rng.random() < self._late_share:
            delay += self._rng.uniform(0.05, 1.0)
        if self.is_slow and self._rng.random() < LOST_SHARE:
            return False
        await asyncio.sleep(delay)
        lost_at = virtual_now() + UNACKNOWLEDGED_SECONDS
        while self.is_cut(one, other):
            await asyncio.sleep(0.02)
            if virtual_now() > lost_at:
                return False
        return True


class Observer(Protocol):
    """Receives what the databases see, to check it."""

    def record_read(self, identifier: str, database: SimulatedDatabase) -> None:
        """Record that a read runs now."""
        ...

    def record_commit(self, entry: LogEntry, index: int, term: int) -> None:
        """Record that a database acknowledges a commit in a term."""
        ...

    def record_promotion(self, database: SimulatedDatabase) -> None:
        """Record that a promotion takes effect."""
        ...

    def trace(self, text: str) -> None:
        """Record an event for a reader of a failed run."""
        ...


class SimulatedGroup:
    """The databases by host, their replication and promotions."""

    def __init__(self, rng: random.Random, network: Network, observer: Observer):
        self.rng = rng
        self.network = network
        self.observer = observer
        self.hosts: dict[str, SimulatedDatabase] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        for number, host in enumerate(("h1", "h2", "h3")):
            database = SimulatedDatabase(f"d{number + 1}", host, "abc"[number])
            database.is_primary = number == 0
            self.hosts[host] = database

    @property
    def databases(self) -> tuple[SimulatedDatabase, ...]:
        """Return the databases, also those that are down for now."""
        return tuple(self.hosts.values())

    @property
    def primary(self) -> SimulatedDatabase | None:
        """Return the primary of the newest term, or None."""
        primaries = [each for each in self.databases if each.is_primary]
        return max(primaries, key=lambda each: each.term, default=None)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run something that goes on if whoever asked for it gives up."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """End all work."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def replicate(self) -> None:
        """Replicate for ever."""
        while True:
            await asyncio.sleep(REPLICATION_SECONDS)
            for database in self.databases:
                if not database.is_running:
                    continue
                if database.is_primary:
                    self._notice_replacement(database)
                else:
                    self._receive(database)

    async def promote(self, identifier: str) -> None:
        """Have a database lead the next term in a moment."""
        database = next(
            (each for each in self.databases if each.identifier == identifier), None
        )
        if database is None or not database.is_running:
            raise RefusedError("not running", identifier)
        self.observer.trace(f"promotion of {identifier} asked")
        if database is not self.primary:
            self.spawn(self._take_over(database, database.generation))

    async def _take_over(self, database: SimulatedDatabase, generation: int) -> None:
        await asyncio.sleep(PROMOTE_SECONDS)
        if not database.is_running or database.generation != generation:
            return
        if database is self.primary:
            return
        database.term = max(each.term for each in self.databases) + 1
        database.is_primary = True
        database.leads_since = virtual_now()
        database.fenced_term = 0
        database.apply_all()
        self.observer.record_promotion(database)

    def _reachable_primaries(
        self, database: SimulatedDatabase
    ) -> list[SimulatedDatabase]:
        return [
            each
            for each in self.databases
            if each.is_primary
            and each.is_running
            and each is not database
            and not self.network.is_cut(each.host, database.host)
        ]

    def _notice_replacement(self, database: SimulatedDatabase) -> None:
        found = self._reachable_primaries(database)
        if not any(each.term > database.term for each in found):
            database.replaced_since = None
            return
        now = virtual_now()
        if database.replaced_since is None:
            database.replaced_since = now
        if now >= database.replaced_since + REPLACED_SECONDS:
            self.observer.trace(f"{database.identifier} notices that it was replaced")
            self.step_down(database)

    def step_down(self, database: SimulatedDatabase) -> None:
        """Make a primary a replica; commits that wait are never answered."""
        database.apply_all()
        database.is_primary = False
        database.replaced_since = None
        database.waiting.clear()

    def _receive(self, database: SimulatedDatabase) -> None:
        """Receive entries of the primary of the newest term that can be reached."""
        found = self._reachable_primaries(database)
        primary = max(found, key=lambda each: each.term, default=None)
        if primary is None or primary.term < database.term or database.is_deaf:
            return
        if database.fenced_term:
            if primary.leads_since <= database.fenced_at:
                return
            database.fenced_term = 0
        if primary.term > database.term:
            database.term = primary.term
        self._roll_back(database, primary)
        held = len(database.log)
        for entry in primary.log[held : held + ENTRIES_PER_STEP]:
            database.append(entry, database.lag_seconds)
        self._acknowledge(primary, len(database.log))

    def _roll_back(
        self, database: SimulatedDatabase, primary: SimulatedDatabase
    ) -> None:
        length = min(len(database.log), len(primary.log))
        while length and database.log[length - 1] != primary.log[length - 1]:
            length -= 1
        if length < len(database.log):
            database.truncate(length)
            database.busy_until = virtual_now() + ROLLBACK_BUSY_SECONDS

    def _acknowledge(self, primary: SimulatedDatabase, length: int) -> None:
        due = [each for each in primary.waiting if each[0] <= length]
        primary.waiting = [each for each in primary.waiting if each[0] > length]
        for index, received in due:
            entry = primary.log[index - 1]
            self.observer.record_commit(entry, index, primary.term)
            if not received.done():
                received.set_result(None)


class Caller(Protocol):
    """A process that opens connections and may stand still."""

    name: str

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
        status = await self._exchange(lambda: self._run_command(statement))
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
                database.fenced_at = virtual_now()
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
    """Connect a proxy to a database by its entry."""
    await caller.pass_gate()
    host = database.address
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            is_connected = await group.network.transfer(caller.name, host)
    except TimeoutError:
        is_connected = False
    await caller.pass_gate()
    found = group.hosts[host]
    if not is_connected or not found.is_running:
        raise NotSentError(Code.WRONG_DATABASE, "unreachable")
    if database.identifier not in (found.identifier, ANY_DATABASE):
        raise ReplacedError(Code.WRONG_DATABASE, "another database answers")
    return SimulatedConnection(group, caller, found)
