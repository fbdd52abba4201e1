"""Faults of a simulated group, its proxies and the store, drawn from a seed."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique

from tests.simulated_databases import LAG_SECONDS, SimulatedDatabase
from tests.simulated_lifecycle import (
    DRAIN_SECONDS,
    RELEASE_DRAIN_SECONDS,
    Lifecycle,
)
from tests.simulated_network import STORE
from tests.simulated_proxy import SimulatedProxy
from tests.simulated_sessions import FREEZE_SECONDS, Simulation
from tests.simulated_store import LATE_SECONDS

LONG_LAG_SECONDS = 4.0
LATE_ENTRY_SECONDS = 8.0
MAX_COPY_SECONDS = 9.0


@unique
class FaultKind(Enum):
    """What goes wrong."""

    CUT_REPLICAS = "the primary is cut off from its replicas"
    CUT_PROXIES = "the primary is cut off from some proxies"
    CUT_ALL = "the primary is cut off from everything"
    CUT_HALF = "the primary, a replica and some proxies are cut off from the rest"
    CUT_STORE = "a database is cut off from the store"
    CRASH_PRIMARY = "the primary's process ends and comes back with its log"
    LOSE_PRIMARY = "the primary's host is off for a time"
    CRASH_REPLICA = "a replica's process ends and comes back with its log"
    EMPTY_RESTART = "a database comes back with an empty log"
    LAG = "a replica applies its log late"
    DEAF = "a replica receives nothing"
    DRAIN_PRIMARY = "the primary leaves, and another takes its place"
    DRAIN_REPLICA = "a replica leaves, and another takes its place"
    FREEZE = "a proxy stands still"
    FREEZE_HOLDER = "a proxy stands still during a succession"
    RESTART = "a proxy restarts"
    STORE_REFUSES = "the store refuses some proxies"
    STORE_DOWN = "the store is down"
    SLOW = "messages arrive late, and some are lost"
    OVERLOAD = "a database refuses most statements"
    LATE_ENTRY = "databases that start have no entry in the store for a time"
    LATE_START = "databases that take the place of others start late"
    LATE_WRITES = "writes to the store get no answer, and are done late"
    LATE_PROMOTION = "promotions get no answer, and are carried out late"
    LATE_COMMANDS = "commands get no answer, and are carried out late"
    JOIN = "a database joins at a new host, and another one leaves without a successor"
    RESTART_ALL = "all proxies restart"
    RELEASE = "the databases leave one after the other, and others take their places"
    RESTORE = "the store comes back from an older copy"


LATE_KINDS = (
    FaultKind.LATE_ENTRY,
    FaultKind.LATE_START,
    FaultKind.LATE_WRITES,
    FaultKind.LATE_PROMOTION,
    FaultKind.LATE_COMMANDS,
    FaultKind.JOIN,
    FaultKind.RESTART_ALL,
    FaultKind.RELEASE,
    FaultKind.RESTORE,
)
BASIC_KINDS = tuple(kind for kind in FaultKind if kind not in LATE_KINDS)


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a time for some seconds; `choice`, from 0 to 1, draws its subject."""

    kind: FaultKind
    at: float
    seconds: float
    choice: float

    async def __call__(self, simulation: Simulation) -> None:
        await asyncio.sleep(max(0.0, self.at - simulation.now()))
        simulation.checker.trace(f"FAULT {self.kind.name} for {self.seconds:.2f} s")
        await _Injection(simulation, self).run()
        simulation.checker.trace(f"END OF {self.kind.name}")


def draw_faults(
    seed: int,
    kinds: Iterable[FaultKind] = BASIC_KINDS,
    count: int = 10,
    until: float = 24.0,
) -> tuple[Fault, ...]:
    """Draw faults of some kinds, at any time between 2 s and `until`."""
    rng = random.Random(seed)
    choices = tuple(kinds)
    drawn = [
        Fault(
            rng.choice(choices),
            rng.uniform(2.0, until),
            rng.choice((rng.uniform(0.2, 1.5), rng.uniform(1.0, 6.0))),
            rng.random(),
        )
        for _ in range(count)
    ]
    return tuple(sorted(drawn, key=lambda each: each.at))


class _Injection:
    """Carries out one fault."""

    def __init__(self, simulation: Simulation, fault: Fault) -> None:
        self._simulation = simulation
        self._group = simulation.group
        self._fault = fault
        self._lifecycle = Lifecycle(simulation)

    async def run(self) -> None:
        """Begin the fault, and end it after its time."""
        at_primary = {
            FaultKind.CUT_REPLICAS: self._cut_replicas,
            FaultKind.CUT_PROXIES: self._cut_proxies,
            FaultKind.CUT_ALL: self._cut_all,
            FaultKind.CUT_HALF: self._cut_half,
            FaultKind.CRASH_PRIMARY: self._crash,
            FaultKind.LOSE_PRIMARY: self._lose,
            FaultKind.DRAIN_PRIMARY: self._drain,
        }
        at_replica = {
            FaultKind.CRASH_REPLICA: self._crash,
            FaultKind.LAG: self._lag,
            FaultKind.DEAF: self._make_deaf,
            FaultKind.DRAIN_REPLICA: self._drain,
        }
        at_database = {
            FaultKind.CUT_STORE: self._cut_store,
            FaultKind.EMPTY_RESTART: self._restart_empty,
            FaultKind.OVERLOAD: self._overload,
        }
        elsewhere = {
            FaultKind.FREEZE: self._freeze,
            FaultKind.FREEZE_HOLDER: self._freeze_holders,
            FaultKind.RESTART: self._restart_proxy,
            FaultKind.STORE_REFUSES: self._refuse_some,
            FaultKind.STORE_DOWN: self._stop_store,
            FaultKind.SLOW: self._slow_network,
            FaultKind.LATE_ENTRY: self._delay_entries,
            FaultKind.LATE_START: self._delay_starts,
            FaultKind.LATE_WRITES: self._delay_writes,
            FaultKind.LATE_PROMOTION: self._delay_promotions,
            FaultKind.LATE_COMMANDS: self._hold_up_commands,
            FaultKind.JOIN: self._join,
            FaultKind.RESTART_ALL: self._restart_proxies,
            FaultKind.RELEASE: self._release,
            FaultKind.RESTORE: self._restore_store,
        }
        kind, primary = self._fault.kind, self._group.primary
        if kind in elsewhere:
            await elsewhere[kind]()
        elif kind in at_database:
            await at_database[kind](self._any_database())
        elif kind in at_replica:
            await at_replica[kind](self._replica())
        elif primary is not None:
            await at_primary[kind](primary)

    async def _cut_replicas(self, primary: SimulatedDatabase) -> None:
        await self._cut([primary.host], self._other_hosts(primary))

    async def _cut_proxies(self, primary: SimulatedDatabase) -> None:
        await self._cut([primary.host], self._some_proxies())

    async def _cut_all(self, primary: SimulatedDatabase) -> None:
        others = [*self._other_hosts(primary), *self._proxies(), STORE]
        await self._cut([primary.host], others)

    async def _cut_store(self, database: SimulatedDatabase) -> None:
        await self._cut([database.host], [STORE])

    async def _lag(self, replica: SimulatedDatabase) -> None:
        replica.lag_seconds = LONG_LAG_SECONDS
        await asyncio.sleep(self._fault.seconds)
        replica.lag_seconds = LAG_SECONDS

    async def _make_deaf(self, replica: SimulatedDatabase) -> None:
        replica.is_deaf = True
        await asyncio.sleep(self._fault.seconds)
        replica.is_deaf = False

    async def _overload(self, database: SimulatedDatabase) -> None:
        database.is_overloaded = True
        await asyncio.sleep(self._fault.seconds)
        database.is_overloaded = False

    async def _freeze(self) -> None:
        self._simulation.freeze(self._proxy())

    async def _freeze_holders(self) -> None:
        self._simulation.freezes_holders = True
        await asyncio.sleep(self._fault.seconds + FREEZE_SECONDS)
        self._simulation.freezes_holders = False

    async def _restart_proxy(self) -> None:
        self._proxy().restart()

    async def _delay_entries(self) -> None:
        lateness = self._simulation.lateness
        lateness.entry_seconds = self._lateness
        await asyncio.sleep(self._fault.seconds + LATE_ENTRY_SECONDS)
        lateness.entry_seconds = 0.0

    async def _delay_starts(self) -> None:
        lateness = self._simulation.lateness
        lateness.start_seconds = self._lateness
        await asyncio.sleep(self._fault.seconds + LATE_ENTRY_SECONDS)
        lateness.start_seconds = 0.0

    async def _delay_writes(self) -> None:
        self._simulation.lateness.writes = True
        await asyncio.sleep(self._fault.seconds)
        self._simulation.lateness.writes = False

    async def _delay_promotions(self) -> None:
        self._simulation.lateness.promotions = True
        await asyncio.sleep(self._fault.seconds)
        self._simulation.lateness.promotions = False

    async def _hold_up_commands(self) -> None:
        self._simulation.network.holds_up_commands = True
        await asyncio.sleep(self._fault.seconds)
        self._simulation.network.holds_up_commands = False

    async def _join(self) -> None:
        await self._lifecycle.join(self._fault.seconds, self._lateness)
        await self._lifecycle.leave(self._replica(), self._fault.choice)

    async def _restart_proxies(self) -> None:
        for proxy in self._simulation.proxies:
            proxy.restart()

    async def _release(self) -> None:
        hosts = tuple(self._group.hosts)
        first = int(self._fault.choice * len(hosts))
        for host in (*hosts[first:], *hosts[:first]):
            database = self._group.hosts.get(host)
            if database is not None:
                await self._lifecycle.replace(
                    database, RELEASE_DRAIN_SECONDS, self._fault.choice
                )

    async def _drain(self, database: SimulatedDatabase) -> None:
        await self._lifecycle.replace(database, DRAIN_SECONDS, self._fault.choice)

    async def _restart_empty(self, database: SimulatedDatabase) -> None:
        await self._lifecycle.restart_empty(database, self._fault.seconds)

    @property
    def _lateness(self) -> float:
        shortest, longest = LATE_SECONDS
        return shortest + (longest - shortest) * self._fault.choice

    async def _refuse_some(self) -> None:
        await self._refuse(self._some_proxies())

    async def _stop_store(self) -> None:
        self._simulation.store.is_down = True
        await asyncio.sleep(self._fault.seconds)
        self._simulation.store.is_down = False

    async def _restore_store(self) -> None:
        store = self._simulation.store
        store.is_down = True
        await asyncio.sleep(self._fault.seconds)
        store.restore(self._fault.seconds + MAX_COPY_SECONDS * self._fault.choice)
        store.is_down = False

    async def _slow_network(self) -> None:
        self._simulation.network.is_slow = True
        await asyncio.sleep(self._fault.seconds)
        self._simulation.network.is_slow = False

    def _other_hosts(self, database: SimulatedDatabase) -> list[str]:
        return [host for host in self._group.hosts if host != database.host]

    def _proxies(self) -> list[str]:
        return [proxy.name for proxy in self._simulation.proxies]

    def _some_proxies(self) -> list[str]:
        """Return some of the proxies, but not all."""
        names = self._proxies()
        mask = 1 + int(self._fault.choice * (2 ** len(names) - 2))
        return [name for bit, name in enumerate(names) if mask >> bit & 1]

    def _proxy(self) -> SimulatedProxy:
        proxies = self._simulation.proxies
        return proxies[int(self._fault.choice * len(proxies))]

    def _any_database(self) -> SimulatedDatabase:
        databases = self._group.databases
        return databases[int(self._fault.choice * len(databases))]

    def _replica(self) -> SimulatedDatabase:
        primary = self._group.primary
        replicas = [each for each in self._group.databases if each is not primary]
        return replicas[int(self._fault.choice * len(replicas))]

    async def _cut(self, side: list[str], other: list[str]) -> None:
        network = self._simulation.network
        pairs = [(one, each) for one in side for each in other]
        self._simulation.checker.trace(f"cut {side} from {other}")
        for pair in pairs:
            network.cut(*pair)
        await asyncio.sleep(self._fault.seconds)
        for pair in pairs:
            network.mend(*pair)

    async def _cut_half(self, primary: SimulatedDatabase) -> None:
        replica = self._replica()
        proxies = self._some_proxies()
        side = [primary.host, replica.host, *proxies]
        rest = [
            each
            for each in (*self._group.hosts, *self._proxies(), STORE)
            if each not in side
        ]
        await self._cut(side, rest)

    async def _crash(self, database: SimulatedDatabase) -> None:
        if not database.is_running:
            return
        self._lifecycle.stop(database)
        await asyncio.sleep(self._fault.seconds)
        if self._lifecycle.is_placed(database):
            self._lifecycle.start_again(database)

    async def _lose(self, database: SimulatedDatabase) -> None:
        if not database.is_running:
            return
        self._lifecycle.stop(database)
        others = [*self._other_hosts(database), *self._proxies(), STORE]
        await self._cut([database.host], others)
        if self._lifecycle.is_placed(database):
            self._lifecycle.start_again(database)

    async def _refuse(self, names: list[str]) -> None:
        refused = [each for each in self._simulation.proxies if each.name in names]
        self._simulation.checker.trace(f"the store refuses {names}")
        for proxy in refused:
            proxy.is_refused_by_store = True
        await asyncio.sleep(self._fault.seconds)
        for proxy in refused:
            proxy.is_refused_by_store = False
