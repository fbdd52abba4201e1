"""A group of databases with limited capacity, and callers that load it, in memory.

A database runs a limited number of statements at a time, queues a few more and refuses
the rest; it caps its connections, and opening one takes a slot. Replicas apply the log
late. All run on the virtual clock, so the same seed gives the same run.
"""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from beryltiller.core.ports import RefusedError
from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import (
    Configuration,
    Database,
    Directory,
    Route,
    RouteKind,
    Service,
)
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.errors import BrokenError, NotSentError
from beryltiller.sessions.isolation import IsolationMonitor
from beryltiller.sessions.session_service import SessionService
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Commit,
    DatabaseStatus,
    Fence,
    ProxyCommand,
    Read,
    Reply,
    Request,
    Rollback,
    SessionState,
    StepDown,
    Unfence,
    Write,
)
from beryltiller.sessions.succession.runner import (
    DutyClaim,
    ObserveGroups,
    SuccessionRunner,
)
from tests.virtual_loop import virtual_now

SERVICE = "s"
ROUTE = "db"
HANDSHAKE_SECONDS = 0.012
WORK_SECONDS = 0.009
HOP_SECONDS = 0.0005
PROMOTE_SECONDS = 0.3
MAX_STALENESS_SECONDS = 1.0
OBJECTIVE_SECONDS = 0.2
TIMEOUT_SECONDS = 0.8
# How many times a caller tries an operation, each time at another proxy.
CALLER_ATTEMPTS = 3
PAUSE_IN_TRANSACTION_SECONDS = 0.01


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

    def __init__(self, group: "LoadedGroup", database: LoadedDatabase) -> None:
        self._group = group
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
        if is_write and not await self._group.append(database):
            return self._reply(Code.FAILED)
        if isinstance(request.statement, Commit):
            self._state = SessionState.IDLE
        return self._reply()

    def _reply(self, code: Code | None = None) -> Reply:
        rows = ("row",) if code is None else ()
        signature = "" if code else "signed"
        position = self._database.applied
        return Reply(self._state, rows, signature, code, position=position)


@dataclass(frozen=True)
class Operation:
    """An operation that a caller asked for at `asked_at`, and how it ended."""

    asked_at: float
    is_served: bool
    seconds: float


class SharedDuty:
    """One proxy's access to the promotion duty, which one proxy holds at a time."""

    def __init__(self, group: "LoadedGroup") -> None:
        self._group = group

    async def claim(self, service: str, seconds: float) -> DutyClaim:
        group, now = self._group, virtual_now()
        if group.duty_holder is not self and now < group.duty_until:
            raise RefusedError("held", "by another proxy")
        group.duty_holder, group.duty_until = self, now + seconds
        return DutyClaim(group.promotions + 1, now)

    async def promote(self, service: str, identifier: str, token: int) -> None:
        await self._group.promote(identifier)


class LoadedGroup:
    """Databases, proxies with their successions, and callers."""

    def __init__(self, proxies: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.databases = {name: LoadedDatabase(name, name == "a") for name in "abc"}
        self.operations: list[Operation] = []
        self.asked = 0
        self.promotions = 0
        self.duty_holder: SharedDuty | None = None
        self.duty_until = 0.0
        self._tasks: set[asyncio.Task[None]] = set()
        self.fleets = [
            Fleet(self._connect, "zone", virtual_now) for _ in range(proxies)
        ]
        self._services = [
            SessionService(fleet, Placer("zone"), IsolationMonitor(), virtual_now)
            for fleet in self.fleets
        ]
        route = Route(
            ROUTE,
            SERVICE,
            RouteKind.READ_YOUR_WRITES,
            TIMEOUT_SECONDS,
            OBJECTIVE_SECONDS,
            1,
            MAX_STALENESS_SECONDS,
        )
        cap = self.primary.cap
        configuration = Configuration(
            1, {ROUTE: route}, {SERVICE: Service(SERVICE, cap, 1)}, 3.0
        )
        for fleet in self.fleets:
            fleet.adopt(configuration)
            fleet.set_follows_store(True)
        self._register()

    @property
    def primary(self) -> LoadedDatabase:
        return next(each for each in self.databases.values() if each.is_primary)

    @property
    def replicas(self) -> list[LoadedDatabase]:
        return [each for each in self.databases.values() if not each.is_primary]

    def served_share(self, since: float, until: float) -> float:
        """Return the share of the operations asked in a time that were served."""
        asked = [each for each in self.operations if since <= each.asked_at < until]
        return sum(each.is_served for each in asked) / len(asked)

    async def append(self, database: LoadedDatabase) -> bool:
        """Append an entry at the primary; return False if no replica receives it."""
        if all(each.fenced_term > database.term for each in self.replicas):
            return False
        now = virtual_now()
        for each in self.databases.values():
            lag = 0.0 if each.is_primary else each.lag_seconds
            applied_before = each.applied_at[-1] if each.applied_at else now
            each.applied_at.append(max(applied_before, now + lag))
        return True

    def start(self) -> None:
        """Start the proxies' checks and successions."""
        for fleet in self.fleets:
            self._spawn(self._run_succession(fleet))

    def load(self, rate: float, seconds: float, transactions: float = 0.2) -> None:
        """Start callers at a rate a second, with a share of transactions."""
        self._spawn(self._load(rate, virtual_now() + seconds, transactions))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for fleet in self.fleets:
            fleet.close()

    async def promote(self, identifier: str) -> None:
        """Make a database the primary, with all that it received applied."""
        self.promotions += 1
        await asyncio.sleep(PROMOTE_SECONDS)
        successor = self.databases[identifier]
        term = max(each.term for each in self.databases.values()) + 1
        for each in self.databases.values():
            each.is_primary = each is successor
            each.term = term
        successor.fenced_term = 0
        self._register()

    def _register(self) -> None:
        entries = {
            name: Database(
                name,
                SERVICE,
                "127.0.0.1:1",
                "zone",
                each.slots,
                each.is_primary,
                is_draining=False,
            )
            for name, each in self.databases.items()
        }
        for fleet in self.fleets:
            fleet.register(Directory(entries))

    async def _connect(self, database: Database) -> LoadedConnection:
        loaded = self.databases[database.identifier]
        await asyncio.sleep(HOP_SECONDS)
        if loaded.connections >= loaded.cap:
            raise NotSentError(Code.CONNECTION_LIMIT, "full")
        loaded.connections += 1
        try:
            await loaded.work(HANDSHAKE_SECONDS)
        except BaseException:
            loaded.connections -= 1
            raise
        return LoadedConnection(self, loaded)

    async def _run_succession(self, fleet: Fleet) -> None:
        runner = SuccessionRunner(
            fleet,
            SharedDuty(self),
            lambda: True,
            random.Random(self.rng.random()),
            virtual_now,
        )
        part = runner.part()
        state = part.initial_state(virtual_now())

        async def perform(action: object) -> None:
            nonlocal state
            event = await part.perform(action)  # type: ignore[arg-type]
            if event is None:
                return
            state, actions = part.decide(state, event, virtual_now())
            for each in actions:
                self._spawn(perform(each))

        await asyncio.sleep(self.rng.uniform(0.0, 0.1))
        while True:
            await asyncio.gather(
                perform(ObserveGroups()),
                runner.probe_unresponsive_leaders(),
                fleet.confirm_leaders(),
            )
            fleet.close_idle()
            await asyncio.sleep(0.1)

    async def _load(self, rate: float, until: float, transactions: float) -> None:
        while virtual_now() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            self._spawn(self._call(self._operation(transactions)))

    def _operation(self, transactions: float) -> tuple[CallerStatement, ...]:
        item = Read("i") if self.rng.random() < 0.85 else Write("i", "d")
        if self.rng.random() < transactions:
            return (Begin(), Read("i"), item, Commit())
        return (item,)

    async def _call(self, statements: tuple[CallerStatement, ...]) -> None:
        asked_at = virtual_now()
        self.asked += 1
        services = self.rng.sample(
            self._services, min(CALLER_ATTEMPTS, len(self._services))
        )
        for service in services:
            if await self._attempt(service, statements):
                break
        else:
            self._record(asked_at, is_served=False)
            return
        self._record(asked_at, is_served=True)

    def _record(self, asked_at: float, is_served: bool) -> None:
        seconds = virtual_now() - asked_at
        self.operations.append(Operation(asked_at, is_served, seconds))

    async def _attempt(
        self, service: SessionService, statements: tuple[CallerStatement, ...]
    ) -> bool:
        session = service.open_session(ROUTE)
        assert session is not None
        for statement in statements:
            reply = await service.answer(session, "q", statement, virtual_now())
            if not reply.is_success:
                await service.end_session(session)
                return False
            if session.transaction is not None:
                await asyncio.sleep(PAUSE_IN_TRANSACTION_SECONDS)
        return True

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
