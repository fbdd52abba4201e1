"""Proxies with their successions before a simulated group, callers and faults.

The proxies run the real decisions. What callers and databases see is checked: stale
reads, acknowledged commits that a promotion loses, and commits that a replaced primary
acknowledges. The same seed gives the same run.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, cast

import aiohttp

from beryltiller.core.ports import LostAnswerError, RefusedError, Row, Write
from beryltiller.platform.duty import DUTY_KEY, DUTY_TABLE, Duty
from beryltiller.platform.store import DatedRow, StoreClient
from beryltiller.sessions.databases.catalog import (
    Configuration,
    Database,
    Route,
    RouteKind,
    Service,
)
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.databases.registry import Registry
from beryltiller.sessions.isolation import IsolationMonitor
from beryltiller.sessions.session import Session
from beryltiller.sessions.session_service import SessionService
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Commit,
    Read,
    Reply,
    Rollback,
)
from beryltiller.sessions.statements import Write as WriteItem
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.runner import ObserveGroups, SuccessionRunner
from tests.simulated_announcements import AnnouncementRows, SimulatedAnnouncements
from tests.simulated_databases import (
    LATE_SHARE,
    SERVICE,
    STORE,
    LogEntry,
    Network,
    SimulatedConnection,
    SimulatedDatabase,
    SimulatedGroup,
    connect,
)
from tests.virtual_loop import run_virtual, virtual_now

HEARTBEAT_SECONDS = 1.0
SILENT_HEARTBEATS = 3
FREEZE_SECONDS = 4.0
STALENESS_SECONDS = {
    RouteKind.PRIMARY: 0.0,
    RouteKind.BOUNDED_STALENESS: 1.5,
    RouteKind.READ_YOUR_WRITES: 2.5,
}


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A commit that was acknowledged to a caller at a moment."""

    at: float
    index: int
    identifier: str
    session: int


@dataclass
class ReadCheck:
    """A read that a caller sent, and the databases on which it ran stale."""

    kind: RouteKind
    sent_at: float
    session: int
    last_run: str = ""
    is_stale: bool = False


@dataclass
class Findings:
    """What callers and databases saw that must not happen, one text each."""

    stale_answers: list[str] = field(default_factory=list)
    stale_runs: list[str] = field(default_factory=list)
    lost: list[str] = field(default_factory=list)
    replaced_commits: list[str] = field(default_factory=list)
    reads: int = 0
    writes: int = 0
    promotions: int = 0

    @property
    def is_clean(self) -> bool:
        """Return True if no caller saw a fault."""
        return not (self.stale_answers or self.lost or self.replaced_commits)


class Checker:
    """Checks reads, commits and promotions as callers and databases see them."""

    def __init__(self) -> None:
        self.findings = Findings()
        self.events: list[str] = []
        self.reads: dict[str, ReadCheck] = {}
        self._acknowledged: list[Acknowledged] = []
        self._committed: dict[str, tuple[float, int, int]] = {}
        self._newest_term = 1
        self._promoted_at = 0.0
        self._promoted_log: tuple[LogEntry, ...] = ()

    def trace(self, text: str) -> None:
        self.events.append(f"{virtual_now():8.3f} {text}")

    def required(self, check: ReadCheck) -> Acknowledged | None:
        """Return the newest commit that a read must see."""
        before = check.sent_at - STALENESS_SECONDS[check.kind]
        is_own = check.kind is RouteKind.READ_YOUR_WRITES
        newest: Acknowledged | None = None
        for each in reversed(self._acknowledged):
            if each.at < before:
                return max((newest, each), key=_index) if newest else each
            if is_own and each.session == check.session and each.at < check.sent_at:
                newest = newest or each
        return newest

    def record_read(self, identifier: str, database: SimulatedDatabase) -> None:
        check = self.reads[identifier]
        required = self.required(check)
        check.last_run = (
            f"{virtual_now():.3f} {check.kind.value} read {identifier} sent at"
            f" {check.sent_at:.3f} ran on {database.identifier} at {database.position}"
        )
        check.is_stale = required is not None and not database.holds(
            required.index, required.identifier
        )
        if check.is_stale:
            check.last_run += f", which lacks {required}"
            self.findings.stale_runs.append(check.last_run)
            self.trace(f"STALE RUN {check.last_run}")

    def record_read_answer(self, identifier: str) -> None:
        """Record that a caller received a read's result."""
        self.findings.reads += 1
        check = self.reads[identifier]
        if check.is_stale:
            self.findings.stale_answers.append(check.last_run)
            self.trace(f"STALE ANSWER {check.last_run}")

    def record_commit(self, entry: LogEntry, index: int, term: int) -> None:
        self._committed[entry.identifier] = (virtual_now(), index, term)

    def record_commit_answer(self, identifier: str, session: int) -> None:
        """Record that a caller received a commit's acknowledgement."""
        self.findings.writes += 1
        at, index, term = self._committed[identifier]
        if term < self._newest_term and at > self._promoted_at:
            text = f"{identifier} committed in term {term} at {at:.3f}"
            self.findings.replaced_commits.append(text)
            self.trace(f"COMMIT AT REPLACED PRIMARY {text}")
            return
        if not self._promoted_holds(index, identifier, term):
            text = f"{identifier} at {term}:{index} committed at {at:.3f}"
            self.findings.lost.append(text)
            self.trace(f"LOST {text}")
            return
        now = virtual_now()
        self._acknowledged.append(Acknowledged(now, index, identifier, session))

    def _promoted_holds(self, index: int, identifier: str, term: int) -> bool:
        if term >= self._newest_term:
            return True
        log = self._promoted_log
        return len(log) >= index and log[index - 1].identifier == identifier

    def record_promotion(self, database: SimulatedDatabase) -> None:
        self._newest_term = database.term
        self._promoted_at = virtual_now()
        self._promoted_log = tuple(database.log)
        self.findings.promotions += 1
        self.trace(f"{database.identifier} leads {database.term} {database.received}")
        kept = []
        for each in self._acknowledged:
            if database.holds(each.index, each.identifier):
                kept.append(each)
                continue
            self.findings.lost.append(f"{each} at promotion to {database.term}")
            self.trace(f"LOST {each} at promotion to {database.term}")
        self._acknowledged = kept

    def has_copies(self, group: SimulatedGroup, without: SimulatedDatabase) -> bool:
        """Return True if two other logs hold all acknowledged commits."""
        if not self._acknowledged:
            return True
        newest = max(self._acknowledged, key=lambda each: each.index)
        others = [each for each in group.databases if each is not without]
        holders = [
            each
            for each in others
            if len(each.log) >= newest.index
            and each.log[newest.index - 1].identifier == newest.identifier
        ]
        return len(holders) >= 2


def _index(acknowledged: Acknowledged) -> int:
    return acknowledged.index


class SimulatedStore:
    """The store: the databases' entries with their history, and the duty's row."""

    def __init__(self) -> None:
        self.is_down = False
        self.announcements = AnnouncementRows()
        self.entries: dict[str, Database] = {}
        self.history: list[tuple[float, dict[str, Database]]] = []
        self._written_at: dict[str, float] = {}
        self.duty: Row | None = None
        self.version = 0

    def heartbeat(self, database: SimulatedDatabase) -> None:
        """Write a database's entry if it changed or a heartbeat is due."""
        now, entry = virtual_now(), database.entry()
        written_at = self._written_at.get(entry.identifier, -10.0)
        is_changed = self.entries.get(entry.identifier) != entry
        if is_changed or now >= written_at + HEARTBEAT_SECONDS:
            self._written_at[entry.identifier] = now
        if is_changed:
            self._replace({**self.entries, entry.identifier: entry})

    def remove(self, identifier: str) -> None:
        """Remove a database's entry."""
        left = {key: each for key, each in self.entries.items() if key != identifier}
        self._replace(left)

    def expire(self) -> None:
        """Remove the entries of databases that have been silent for long."""
        silent_at = virtual_now() - HEARTBEAT_SECONDS * SILENT_HEARTBEATS
        for identifier in tuple(self.entries):
            if self._written_at[identifier] < silent_at:
                self.remove(identifier)

    def snapshot(self, index: int) -> dict[str, Database]:
        return self.history[index][1]

    def index_at(self, moment: float) -> int:
        """Return the index of the snapshot that was current at a moment, or -1."""
        index = len(self.history) - 1
        while index >= 0 and self.history[index][0] > moment:
            index -= 1
        return index

    def _replace(self, entries: dict[str, Database]) -> None:
        self.entries = entries
        self.history.append((virtual_now(), entries))


class DutyStore:
    """One proxy's calls to the store for the promotion duty."""

    def __init__(self, simulation: "Simulation", proxy: "SimulatedProxy") -> None:
        self._simulation = simulation
        self._proxy = proxy

    async def read(self, table: str, key: str) -> DatedRow:
        await self._call()
        return DatedRow(self._simulation.store.duty, round(virtual_now() * 1000))

    async def commit(self, writes: tuple[Write, ...]) -> int:
        await self._call()
        store, write = self._simulation.store, writes[0]
        held = store.duty.version if store.duty is not None else 0
        if held != write.expected:
            raise RefusedError("conflict")
        store.version += 1
        store.duty = Row(write.key, store.version, write.value)
        assert (write.table, write.key) == (DUTY_TABLE, DUTY_KEY)
        if self._simulation.rng.random() < 0.05:
            raise LostAnswerError("lost")
        await self._proxy.pass_gate()
        self._simulation.record_claim(self._proxy)
        return store.version

    async def _call(self) -> None:
        await self._proxy.pass_gate()
        await asyncio.sleep(self._simulation.rng.uniform(0.005, 0.04))
        await self._proxy.pass_gate()
        if not self._simulation.reaches_store(self._proxy.name):
            raise RefusedError("unreachable")


class SimulatedDuty(Duty):
    """The promotion duty with the real claim and a simulated promotion call."""

    def __init__(self, simulation: "Simulation", proxy: "SimulatedProxy") -> None:
        store = cast(StoreClient, DutyStore(simulation, proxy))
        session = cast(aiohttp.ClientSession, None)
        super().__init__(session, store, "", proxy.name, virtual_now)
        self._simulation = simulation
        self._proxy = proxy

    async def promote(self, service: str, identifier: str, token: int) -> None:
        simulation = self._simulation
        await self._proxy.pass_gate()
        await asyncio.sleep(simulation.rng.uniform(0.005, 0.05))
        if not simulation.reaches_store(self._proxy.name):
            raise RefusedError("unreachable")
        await simulation.group.promote(identifier)
        if simulation.rng.random() < 0.05:
            raise LostAnswerError("lost")


class SimulatedProxy:
    """One proxy; it may stand still, or restart and know nothing."""

    def __init__(self, simulation: "Simulation", name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.frozen_until = 0.0
        self.is_refused_by_store = False
        self.generation = 0
        self.entries_delay = 0.3
        self._simulation = simulation
        self._tasks: list[asyncio.Task[Any]] = []
        self._actions: set[asyncio.Task[Any]] = set()
        self.start()

    def start(self) -> None:
        """Start with nothing known."""
        simulation = self._simulation
        self.generation += 1
        self._registry = Registry()
        self._index = -1
        self.fleet = Fleet(self._connect, self.zone, virtual_now)
        self.fleet.adopt(simulation.configuration)
        self.service = SessionService(
            self.fleet, Placer(self.zone), IsolationMonitor(), virtual_now
        )
        self._announcer = Announcer(
            self.fleet,
            SimulatedAnnouncements(simulation.store.announcements, self),
            virtual_now,
        )
        self.runner = SuccessionRunner(
            self.fleet,
            SimulatedDuty(simulation, self),
            self._announcer,
            lambda: simulation.reaches_store(self.name),
            random.Random(simulation.rng.random()),
            virtual_now,
        )
        self._part = self.runner.part()
        self._state = self._part.initial_state(virtual_now())
        loops = (self._follow_entries, self._succeed, self._check, self._maintain)
        self._tasks = [simulation.group.spawn(each()) for each in loops]

    def restart(self) -> None:
        """End all work, and start with nothing known."""
        self.stop()
        self.start()

    def stop(self) -> None:
        """End all work."""
        for task in (*self._tasks, *self._actions):
            task.cancel()
        self.fleet.close()

    async def pass_gate(self) -> None:
        while virtual_now() < self.frozen_until:
            await asyncio.sleep(self.frozen_until - virtual_now())

    async def call_store(self) -> bool:
        """Wait for a call to the store; return False if it does not answer."""
        await self.pass_gate()
        await asyncio.sleep(self._simulation.rng.uniform(0.005, 0.04))
        await self.pass_gate()
        return self._simulation.reaches_store(self.name)

    def is_answer_lost(self, share: float) -> bool:
        """Return True if the answer to this call is lost."""
        return self._simulation.rng.random() < share

    async def _connect(self, database: Database) -> SimulatedConnection:
        return await connect(self._simulation.group, self, database)

    async def _follow_entries(self) -> None:
        while True:
            await self.pass_gate()
            self._read_entries()
            self._read_announcements()
            await asyncio.sleep(0.05)

    def _read_announcements(self) -> None:
        if not self._simulation.reaches_store(self.name):
            return
        for announcement in self._simulation.store.announcements.rows.values():
            if self._announcer.apply(announcement):
                objection = self._announcer.object_to(announcement)
                self._actions.add(self._simulation.group.spawn(objection))

    def _read_entries(self) -> None:
        simulation = self._simulation
        is_reachable = simulation.reaches_store(self.name)
        self.fleet.set_follows_store(is_reachable)
        if is_reachable:
            delay = self.entries_delay if self._index >= 0 else 0.0
            index = simulation.store.index_at(virtual_now() - delay)
            if index > self._index:
                self._index = index
                entries = simulation.store.snapshot(index).values()
                self._registry.replace(entries, virtual_now())
                self._register()

    def _register(self) -> None:
        self.fleet.register(self._registry.directory(virtual_now()))

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(0.3)
            await self.pass_gate()
            self.fleet.close_idle()
            grace_end = self._registry.next_grace_end()
            if grace_end is not None and grace_end <= virtual_now():
                self._register()

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self.pass_gate()
            await self.runner.probe_unresponsive_leaders()
            await self.runner.check_fences()
            await self.fleet.confirm_leaders()

    async def _succeed(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self.pass_gate()
            self._perform_later(ObserveGroups())

    def _perform_later(self, action: Any) -> None:
        task = self._simulation.group.spawn(self._perform(action))
        self._actions.add(task)
        task.add_done_callback(self._actions.discard)

    async def _perform(self, action: Any) -> None:
        await self.pass_gate()
        if not isinstance(action, ObserveGroups):
            self._simulation.checker.trace(f"{self.name} performs {action}")
        event = await self._part.perform(action)
        await self.pass_gate()
        if event is None:
            return
        self._state, actions = self._part.decide(self._state, event, virtual_now())
        for each in actions:
            self._perform_later(each)


Fault = Callable[["Simulation"], Coroutine[Any, Any, None]]


class Simulation:
    """One seeded run."""

    def __init__(
        self,
        seed: int,
        faults: tuple[Fault, ...] = (),
        seconds: float = 30.0,
        sessions: int = 24,
        late_share: float = LATE_SHARE,
    ) -> None:
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.checker = Checker()
        self.network = Network(self.rng, late_share)
        self.store = SimulatedStore()
        self.group = SimulatedGroup(self.rng, self.network, self.checker)
        self.incarnations = 1
        self.freezes_holders = False
        self._faults = faults
        self._sessions = sessions
        self.statements = 0
        self.configuration = _configuration()
        self.proxies: list[SimulatedProxy] = []

    def run(self) -> Findings:
        """Run on a new virtual loop, and return what was found."""
        run_virtual(self._run())
        return self.checker.findings

    def now(self) -> float:
        """Return the virtual time."""
        return virtual_now()

    def reaches_store(self, name: str) -> bool:
        """Return True if the store answers a node."""
        is_refused = any(
            each.is_refused_by_store for each in self.proxies if each.name == name
        )
        return not (
            self.store.is_down or is_refused or self.network.is_cut(name, STORE)
        )

    def record_claim(self, proxy: SimulatedProxy) -> None:
        """Note a claim; its holder may soon stand still."""
        self.checker.trace(f"{proxy.name} holds the duty")
        if self.freezes_holders and self.rng.random() < 0.4:
            self.group.spawn(self._freeze_later(proxy))

    async def _freeze_later(self, proxy: SimulatedProxy) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, 1.3))
        self.freeze(proxy)

    def freeze(self, proxy: SimulatedProxy) -> None:
        """Let a proxy stand still for some seconds."""
        self.checker.trace(f"{proxy.name} stands still")
        proxy.frozen_until = virtual_now() + FREEZE_SECONDS

    async def _run(self) -> None:
        self.group.spawn(self.group.replicate())
        self.group.spawn(self._beat())
        await asyncio.sleep(0.2)
        for number in range(self.rng.randint(3, 6)):
            self.proxies.append(SimulatedProxy(self, f"p{number}", "abc"[number % 3]))
        self.group.spawn(self._vary_delays())
        work = [self._hold_session(number) for number in range(self._sessions)]
        faults = [self.group.spawn(each(self)) for each in self._faults]
        for task in faults:
            task.add_done_callback(_raise_error)
        await asyncio.gather(*work)
        for proxy in self.proxies:
            proxy.stop()
        await self.group.close()

    async def _beat(self) -> None:
        while True:
            for each in self.group.databases:
                is_cut = self.network.is_cut(each.host, STORE) or self.store.is_down
                if each.is_running and not is_cut:
                    self.store.heartbeat(each)
            self.store.expire()
            await asyncio.sleep(0.02)

    async def _vary_delays(self) -> None:
        while True:
            for proxy in self.proxies:
                proxy.entries_delay = self.rng.uniform(0.1, 0.8)
            await asyncio.sleep(1.0)

    async def _hold_session(self, number: int) -> None:
        kind = list(RouteKind)[number % 3]
        while virtual_now() < self.seconds:
            proxy = self.rng.choice(self.proxies)
            session = proxy.service.open_session(kind.name)
            assert session is not None
            caller = CallerSession(self, proxy, session, kind, number)
            await caller.use()

    def next_identifier(self) -> str:
        """Return the identifier of the next statement."""
        self.statements += 1
        return f"q{self.statements}"


class CallerSession:
    """A caller's session at one proxy."""

    def __init__(
        self,
        simulation: Simulation,
        proxy: SimulatedProxy,
        session: Session,
        kind: RouteKind,
        number: int,
    ) -> None:
        self._simulation = simulation
        self._proxy = proxy
        self._generation = proxy.generation
        self._service = proxy.service
        self._session = session
        self._kind = kind
        # Each connection is a session of its own.
        self._number = number * 100_000 + simulation.statements
        self._rng = simulation.rng

    async def use(self) -> None:
        """Run operations until one fails or the session ends."""
        for _ in range(self._rng.randint(1, 30)):
            await asyncio.sleep(self._rng.uniform(0.02, 0.12))
            if self._generation != self._proxy.generation:
                break
            if not await self._operate():
                break
        await self._service.end_session(self._session)

    async def _operate(self) -> bool:
        draw = self._rng.random()
        if draw < 0.55:
            return await self._send(Read("i"), virtual_now())
        if draw < 0.75:
            return await self._send(WriteItem("i", "d"), virtual_now())
        if draw < 0.87:
            return await self._transact(Begin(True), (Read("i"), Read("i")))
        return await self._transact(Begin(), (Read("i"), WriteItem("i", "d")))

    async def _transact(
        self, begin: Begin, statements: tuple[CallerStatement, ...]
    ) -> bool:
        began = virtual_now()
        has_written = not begin.is_read_only
        for each in (begin, *statements, Commit()):
            if not await self._send(each, began, has_written):
                await self._send(Rollback(), began)
                return False
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        return True

    async def _send(
        self, statement: CallerStatement, sent_at: float, is_in_writing: bool = False
    ) -> bool:
        checker, identifier = (
            self._simulation.checker,
            self._simulation.next_identifier(),
        )
        is_read = isinstance(statement, Read)
        if is_read:
            checker.reads[identifier] = ReadCheck(self._kind, sent_at, self._number)
        await asyncio.sleep(self._rng.uniform(0.0005, 0.002))
        await self._proxy.pass_gate()
        was_open = self._session.transaction is not None
        reply = await self._service.answer(
            self._session, identifier, statement, virtual_now()
        )
        await self._proxy.pass_gate()
        if not reply.is_success or self._generation != self._proxy.generation:
            return False
        self._record(statement, identifier, reply, was_open, is_in_writing)
        return True

    def _record(
        self,
        statement: CallerStatement,
        identifier: str,
        reply: Reply,
        was_open: bool,
        is_in_writing: bool,
    ) -> None:
        checker = self._simulation.checker
        match statement:
            case Read():
                checker.record_read_answer(identifier)
            case WriteItem() if not was_open:
                checker.record_commit_answer(identifier, self._number)
            case Commit() if is_in_writing:
                checker.record_commit_answer(identifier, self._number)


def _configuration() -> Configuration:
    routes = {
        kind.name: Route(kind.name, SERVICE, kind, 1.0, 0.8, 1, staleness)
        for kind, staleness in STALENESS_SECONDS.items()
    }
    return Configuration(1, routes, {SERVICE: Service(SERVICE, 40, 1)}, 3.0)


def _raise_error(task: asyncio.Task[Any]) -> None:
    if not task.cancelled():
        task.result()
