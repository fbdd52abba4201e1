"""A group of databases with limited capacity, its proxies, and callers that load it.

All run in memory and on the virtual clock, so the same seed gives the same run.
"""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType

from beryltiller.core.ports import RefusedError
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
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.organisations import NO_ORGANISATION, Organisations
from beryltiller.sessions.serving.isolation import IsolationMonitor
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Commit,
    Read,
    Write,
)
from beryltiller.sessions.succession.runner import (
    DutyClaim,
    ObserveGroups,
    SuccessionRunner,
)
from tests.fake_announcements import FakeAnnouncements
from tests.fake_group import read_same_entries
from tests.loaded_database import HOP_SECONDS, LoadedConnection, LoadedDatabase
from tests.virtual_loop import virtual_now

SERVICE = "s"
ROUTE = "db"
HANDSHAKE_SECONDS = 0.012
PROMOTE_SECONDS = 0.3
MAX_STALENESS_SECONDS = 1.0
OBJECTIVE_SECONDS = 0.2
TIMEOUT_SECONDS = 0.8
# How many times a caller tries an operation, each time at another proxy.
CALLER_ATTEMPTS = 3
PAUSE_IN_TRANSACTION_SECONDS = 0.01


@dataclass(frozen=True)
class Operation:
    """An operation that a caller asked for at `asked_at`, and how it ended."""

    asked_at: float
    is_served: bool
    seconds: float
    callers: "Callers"


@dataclass(frozen=True)
class Callers:
    """Callers of one route, with the key of their organisation if they have one."""

    route: str = ROUTE
    key: str = ""


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

    def __init__(
        self,
        proxies: int,
        seed: int = 1,
        organisations: Organisations | None = None,
        priorities: Mapping[str, int] = MappingProxyType({ROUTE: 1}),
    ) -> None:
        """Start proxies that serve routes with `priorities`, by name."""
        self.rng = random.Random(seed)
        self.databases = {name: LoadedDatabase(name, name == "a") for name in "abc"}
        self.operations: list[Operation] = []
        self.asked = 0
        self.promotions = 0
        self.duty_holder: SharedDuty | None = None
        self.duty_until = 0.0
        self._announcements = FakeAnnouncements()
        self._tasks: set[asyncio.Task[None]] = set()
        self.fleets = [
            Fleet(self._connect, "zone", virtual_now) for _ in range(proxies)
        ]
        self._services = [
            SessionService(fleet, Placer("zone"), IsolationMonitor(), virtual_now)
            for fleet in self.fleets
        ]
        routes = {
            name: Route(
                name,
                SERVICE,
                RouteKind.READ_YOUR_WRITES,
                TIMEOUT_SECONDS,
                OBJECTIVE_SECONDS,
                priority,
                MAX_STALENESS_SECONDS,
            )
            for name, priority in priorities.items()
        }
        cap = self.primary.cap
        configuration = Configuration(
            1, routes, {SERVICE: Service(SERVICE, cap, 1)}, 3.0, organisations
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

    def served_share(
        self, since: float, until: float, callers: Callers | None = None
    ) -> float:
        """Return the share of the operations asked in a time that were served.

        Count those of some callers only, if they are given.
        """
        asked = [
            each
            for each in self.operations
            if since <= each.asked_at < until and callers in (None, each.callers)
        ]
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

    def load(
        self,
        rate: float,
        seconds: float,
        transactions: float = 0.2,
        reads: float = 0.85,
        callers: Callers = Callers(),
    ) -> None:
        """Start callers at a rate a second, with shares of transactions and reads."""
        until = virtual_now() + seconds
        self._spawn(self._load(rate, until, transactions, reads, callers))

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

    async def _connect(
        self, database: Database, organisation: str = NO_ORGANISATION
    ) -> LoadedConnection:
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
        return LoadedConnection(loaded, self.append)

    async def _run_succession(self, fleet: Fleet) -> None:
        runner = SuccessionRunner(
            fleet,
            SharedDuty(self),
            self._announcements.add_proxy(fleet),
            lambda: True,
            read_same_entries,
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

    async def _load(
        self,
        rate: float,
        until: float,
        transactions: float,
        reads: float,
        callers: Callers,
    ) -> None:
        while virtual_now() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            self._spawn(self._call(self._operation(transactions, reads), callers))

    def _operation(
        self, transactions: float, reads: float
    ) -> tuple[CallerStatement, ...]:
        item = Read("i") if self.rng.random() < reads else Write("i", "d")
        if self.rng.random() < transactions:
            return (Begin(), Read("i"), item, Commit())
        return (item,)

    async def _call(
        self, statements: tuple[CallerStatement, ...], callers: Callers
    ) -> None:
        asked_at = virtual_now()
        self.asked += 1
        services = self.rng.sample(
            self._services, min(CALLER_ATTEMPTS, len(self._services))
        )
        for service in services:
            if await self._attempt(service, statements, callers):
                break
        else:
            self._record(asked_at, callers, is_served=False)
            return
        self._record(asked_at, callers, is_served=True)

    def _record(self, asked_at: float, callers: Callers, is_served: bool) -> None:
        seconds = virtual_now() - asked_at
        self.operations.append(Operation(asked_at, is_served, seconds, callers))

    async def _attempt(
        self,
        service: SessionService,
        statements: tuple[CallerStatement, ...],
        callers: Callers,
    ) -> bool:
        session = service.open_session(callers.route, callers.key)
        assert isinstance(session, Session)
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
