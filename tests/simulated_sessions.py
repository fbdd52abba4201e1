"""Proxies with their successions before a simulated group, callers and faults.

The proxies run the real decisions. What callers and databases see is checked: stale
reads, acknowledged commits that a promotion loses, and commits that a replaced primary
acknowledges. The same seed gives the same run.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from beryltiller.sessions.databases.catalog import (
    Configuration,
    Route,
    RouteKind,
    Service,
)
from beryltiller.sessions.session import Session
from tests.simulated_callers import CallerSession
from tests.simulated_checker import STALENESS_SECONDS, Checker, Findings
from tests.simulated_databases import PROMOTE_SECONDS, SERVICE, SimulatedGroup
from tests.simulated_network import LATE_SHARE, STORE, Network
from tests.simulated_proxy import SimulatedProxy
from tests.simulated_store import ENTRY_SECONDS, Lateness, SimulatedStore
from tests.virtual_loop import run_virtual, virtual_now

FREEZE_SECONDS = 4.0
# A caller that finds no proxy process tries again after this time.
REFUSED_SECONDS = 0.05

Fault = Callable[["Simulation"], Coroutine[Any, Any, None]]


class Simulation:
    """One seeded run.

    A promotion takes effect after `promote_seconds`. Entries reach proxies after a time
    in the range `entries_delay`. With `requires_fencing` the platform refuses the
    promotions of earlier holders of the duty. Proxies take entries of ended processes
    to be gone after `entry_seconds`; with 0 they know at their start who answers.
    """

    def __init__(
        self,
        seed: int,
        faults: tuple[Fault, ...] = (),
        seconds: float = 30.0,
        sessions: int = 24,
        late_share: float = LATE_SHARE,
        promote_seconds: float = PROMOTE_SECONDS,
        entries_delay: tuple[float, float] = (0.1, 0.8),
        requires_fencing: bool = True,
        entry_seconds: float = ENTRY_SECONDS,
    ) -> None:
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.checker = Checker()
        self.network = Network(self.rng, late_share)
        self.store = SimulatedStore()
        self.group = SimulatedGroup(
            self.rng, self.network, self.checker, promote_seconds
        )
        self.lateness = Lateness()
        self.requires_fencing = requires_fencing
        self.entry_seconds = entry_seconds
        self.incarnations = 1
        self.freezes_holders = False
        self._entries_delay = entries_delay
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

    def record_claim(self, name: str) -> None:
        """Note a claim; its holder may soon stand still."""
        self.checker.trace(f"{name} holds the duty")
        if self.freezes_holders and self.rng.random() < 0.4:
            proxy = next(each for each in self.proxies if each.name == name)
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
            self.store.keep_copy()
            await asyncio.sleep(0.02)

    async def _vary_delays(self) -> None:
        while True:
            for proxy in self.proxies:
                proxy.entries_delay = self.rng.uniform(*self._entries_delay)
            await asyncio.sleep(1.0)

    async def _hold_session(self, number: int) -> None:
        kind = list(RouteKind)[number % 3]
        while virtual_now() < self.seconds:
            proxy = self.rng.choice(self.proxies)
            if not proxy.is_running:
                await asyncio.sleep(REFUSED_SECONDS)
                continue
            session = proxy.service.open_session(kind.name)
            assert isinstance(session, Session)
            caller = CallerSession(self, proxy, session, kind, number)
            await caller.use()

    def next_identifier(self) -> str:
        """Return the identifier of the next statement."""
        self.statements += 1
        return f"q{self.statements}"


def _configuration() -> Configuration:
    routes = {
        kind.name: Route(kind.name, SERVICE, kind, 1.0, 0.8, 1, staleness)
        for kind, staleness in STALENESS_SECONDS.items()
    }
    return Configuration(1, routes, {SERVICE: Service(SERVICE, 40, 1)}, 3.0)


def _raise_error(task: asyncio.Task[Any]) -> None:
    if not task.cancelled():
        task.result()
