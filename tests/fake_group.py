"""An in-memory database group for session tests: a leader and replicas, no I/O."""

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import (
    ANY_DATABASE,
    Configuration,
    Database,
    Directory,
    Route,
    RouteKind,
    Service,
)
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.errors import (
    BrokenError,
    NotRunningError,
    NotSentError,
    ReplacedError,
)
from beryltiller.sessions.organisations import NO_ORGANISATION
from beryltiller.sessions.running.read_log import ReadLog
from beryltiller.sessions.serving.isolation import IsolationMonitor
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import (
    AskStatus,
    Begin,
    CallerStatement,
    Code,
    Commit,
    DatabaseStatus,
    Execute,
    Fence,
    Prepare,
    ProxyCommand,
    Read,
    Reply,
    Request,
    Reset,
    Rollback,
    SessionState,
    SetValue,
    StepDown,
    Unfence,
    Write,
)
from tests.virtual_loop import virtual_now

ROUND_TRIP_SECONDS = 0.01


@dataclass
class FakeDatabase:
    """A database with a log position, and faults that tests switch on.

    `hang` holds the statement types that are never answered, `cut` those after which
    the connection breaks. `refuse` maps a statement type to the code it is refused
    with, and `refuse_start` is the code for new connections. An `is_unreachable`
    database accepts no connections and answers nothing. The host of one that
    `is_stopped` refuses connections. If `is_replaced`, another database answers at its
    address: `replacement`, or one of another service. If it `hides_position`, its
    answers have none. A write is received at once by the `followers`, whose `received`
    is the end of their logs if that is beyond `index`. `late` maps a command's type to
    the seconds after which it is carried out, without an answer. `ran` lists the
    requests that ran, each with the number of its connection; `attempts` counts all
    connection attempts, `connections` those that succeeded and `closed` those of them
    that were closed. `asked` counts the status queries.
    """

    identifier: str
    zone: str = "a"
    is_primary: bool = False
    term: int = 1
    index: int = 10
    fenced_term: int = 0
    is_unreachable: bool = False
    hang: set[type] = field(default_factory=set)
    cut: set[type] = field(default_factory=set)
    refuse: dict[type, Code] = field(default_factory=dict)
    late: dict[type, float] = field(default_factory=dict)
    ran: list[tuple[int, Request]] = field(default_factory=list)
    refuse_start: Code | None = None
    is_stopped: bool = False
    is_replaced: bool = False
    address: str = ""
    replacement: "FakeDatabase | None" = None
    hides_position: bool = False
    received: int = 0
    followers: "tuple[FakeDatabase, ...]" = ()
    connections: int = 0
    closed: int = 0
    attempts: int = 0
    asked: int = 0

    @property
    def position(self) -> Position:
        return Position(self.term, self.index)

    @property
    def log_end(self) -> Position:
        return Position(self.term, max(self.index, self.received))

    def entry(self) -> Database:
        address = self.address or f"{self.identifier}:1"
        return Database(
            self.identifier, "s", address, self.zone, 3, self.is_primary, False
        )

    def statement_names(self) -> list[str]:
        """Return the type names of the statements that ran, in order."""
        return [type(request.statement).__name__ for _, request in self.ran]


class FakeConnection:
    """A connection that runs its statements on a fake database."""

    def __init__(self, database: FakeDatabase) -> None:
        database.connections += 1
        self.number = database.connections
        self.database = database
        self.state = SessionState.IDLE
        self._is_open = True

    @property
    def is_open(self) -> bool:
        return self._is_open

    async def send_requests(self, requests: Sequence[Request]) -> list[Reply]:
        replies = []
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        for request in requests:
            replies.append(await self._run(request))
        return replies

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        database = self.database
        database.asked += isinstance(statement, AskStatus)
        if database.is_unreachable or type(statement) in database.hang:
            await asyncio.Event().wait()
        code = database.refuse.get(type(statement))
        if code is not None:
            raise NotSentError(code, "refused")
        if type(statement) in database.late:
            call_after(
                database.late[type(statement)], lambda: self._carry_out(statement)
            )
            await asyncio.Event().wait()
        self._carry_out(statement)
        return DatabaseStatus(
            database.is_primary,
            database.term,
            database.log_end,
            database.fenced_term,
        )

    def _carry_out(self, statement: ProxyCommand) -> None:
        database = self.database
        match statement:
            case Fence(term):
                database.fenced_term = term
            case Unfence():
                database.fenced_term = 0
            case StepDown():
                database.is_primary = False
            case AskStatus() | Reset():
                pass

    async def is_primary(self) -> bool:
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        if self.database.is_unreachable:
            await asyncio.Event().wait()
        return self.database.is_primary

    def close(self) -> None:
        self.database.closed += self._is_open
        self._is_open = False

    async def _run(self, request: Request) -> Reply:
        database = self.database
        kind = type(request.statement)
        if database.is_unreachable or kind in database.hang:
            await asyncio.sleep(3600)
        database.ran.append((self.number, request))
        if kind in database.cut:
            self.close()
            raise BrokenError("cut")
        code = database.refuse.get(kind) or self._refusal(request)
        if code is not None:
            return Reply(self.state, code=code, position=database.position)
        self._advance(request)
        rows = ("row",) if kind in (Read, Execute) else ()
        position = None if database.hides_position else database.position
        return Reply(self.state, rows, signature="signed", position=position)

    def _refusal(self, request: Request) -> Code | None:
        database = self.database
        if request.since is not None and request.since > database.position:
            return Code.LAGGING
        match request.statement:
            case Write() if not database.is_primary:
                return Code.READ_ONLY
            case Begin(is_read_only=False) if not database.is_primary:
                return Code.READ_ONLY
        return None

    def _advance(self, request: Request) -> None:
        match request.statement:
            case Begin():
                self.state = SessionState.OPEN
            case Commit() | Rollback():
                self.state = SessionState.IDLE
            case Write():
                self._append()
            case SetValue() | Prepare():
                pass

    def _append(self) -> None:
        database = self.database
        database.index += 1
        for follower in database.followers:
            if follower.term == database.term and not follower.fenced_term:
                follower.received = database.index


class GroupFixture:
    """A session service over one fake group of a leader and two replicas."""

    def __init__(
        self,
        kind: RouteKind = RouteKind.READ_YOUR_WRITES,
        read_log: ReadLog | None = None,
        zone: str = "a",
    ) -> None:
        self.leader = FakeDatabase("leader", "a", is_primary=True)
        self.near = FakeDatabase("near", "a")
        self.far = FakeDatabase("far", "b")
        self.leader.followers = (self.near, self.far)
        self.databases = {each.identifier: each for each in self._all()}
        self.fleet = Fleet(self._connect, zone, virtual_now)
        self.fleet.read_entries_with(read_same_entries)
        self.service = SessionService(
            self.fleet, Placer(zone), IsolationMonitor(), virtual_now, read_log
        )
        self._route = Route("db", "s", kind, 1.0, 0.4, 1, 1.5)
        self.configure(sync_replicas=1)
        self.register()

    @property
    def group(self) -> object:
        return self.fleet.group("s")

    def configure(self, sync_replicas: int) -> None:
        """Adopt a configuration in which a commit awaits that many replicas."""
        present = self.fleet.configuration
        version = present.version + 1 if present else 1
        services = {"s": Service("s", 20, sync_replicas)}
        self.fleet.adopt(Configuration(version, {"db": self._route}, services, 3.0))

    def share_databases(self, other: "GroupFixture") -> None:
        """Use the databases of another proxy's fixture."""
        self.leader, self.near, self.far = other.leader, other.near, other.far
        self.databases = other.databases
        self.register()

    def limit_connections(self, connections: int) -> None:
        """Adopt a configuration that caps each database's connections."""
        present = self.fleet.configuration
        assert present is not None
        services = {"s": Service("s", connections, 1)}
        version = present.version + 1
        self.fleet.adopt(replace(present, version=version, services=services))

    def register(self) -> None:
        """Pass the databases' current entries to the proxy."""
        entries = {each.identifier: each.entry() for each in self._all()}
        self.fleet.register(Directory(entries))

    def session(self) -> Session:
        session = self.service.open_session("db")
        assert isinstance(session, Session)
        return session

    async def run(
        self, session: Session, statement: CallerStatement, name: str = "q"
    ) -> Reply:
        """Return the service's reply to a caller's statement that arrives now."""
        return await self.service.answer(session, name, statement, virtual_now())

    def _all(self) -> tuple[FakeDatabase, ...]:
        return self.leader, self.near, self.far

    def _find(self, database: Database) -> FakeDatabase:
        """Return the database of an entry, or whichever of its service is there."""
        if database.identifier != ANY_DATABASE:
            return self.databases[database.identifier]
        at_address = (
            each
            for each in self.databases.values()
            if each.entry().address == database.address
        )
        found = next(at_address)
        return found.replacement or found

    async def _connect(
        self, database: Database, organisation: str = NO_ORGANISATION
    ) -> FakeConnection:
        await asyncio.sleep(ROUND_TRIP_SECONDS)
        fake = self._find(database)
        fake.attempts += 1
        if fake.is_unreachable:
            raise NotSentError(Code.WRONG_DATABASE, "unreachable")
        if fake.is_stopped:
            raise NotRunningError(Code.WRONG_DATABASE, "refused")
        if fake.is_replaced:
            raise ReplacedError(Code.WRONG_DATABASE, "another database answers")
        if fake.refuse_start is not None:
            raise NotSentError(fake.refuse_start, "refused")
        return FakeConnection(fake)


async def read_same_entries() -> bool:
    """Stand for a reading of the store's entries that finds those known."""
    return True


def call_after(seconds: float, function: Callable[[], object]) -> None:
    """Call a function after some virtual time."""
    asyncio.get_running_loop().call_later(seconds, function)
