"""A simulated proxy, which runs the real decisions before a simulated group."""

import asyncio
import random
from typing import Any

from beryltiller.core.ports import RefusedError
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.continuity_watch import CHECK_SECONDS
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.databases.registry import Registry
from beryltiller.sessions.organisations import NO_ORGANISATION
from beryltiller.sessions.serving.isolation import IsolationMonitor
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.succession.announcer import Announcer
from beryltiller.sessions.succession.in_sync_keeper import InSyncKeeper
from beryltiller.sessions.succession.runner import ObserveGroups, SuccessionRunner
from tests.simulated_announcements import SimulatedAnnouncements
from tests.simulated_connections import SimulatedConnection, connect
from tests.simulated_store import (
    SimulatedDuty,
    Surroundings,
    call_store,
)
from tests.virtual_loop import virtual_now


class SimulatedProxy:
    """One proxy; it may stand still, or restart and know nothing."""

    def __init__(self, simulation: Surroundings, name: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.frozen_until = 0.0
        self.is_refused_by_store = False
        self.is_running = False
        self.generation = 0
        self.entries_delay = 0.3
        self._simulation = simulation
        self._tasks: list[asyncio.Task[Any]] = []
        self._actions: set[asyncio.Task[Any]] = set()
        self.start()

    def start(self) -> None:
        """Start with nothing known."""
        simulation = self._simulation
        self.is_running = True
        self.generation += 1
        self._registry = Registry()
        self._index = -1
        self.fleet = Fleet(self._connect, self.zone, virtual_now)
        self.fleet.adopt(simulation.configuration)
        self._entries_known_at = float("-inf")
        self.fleet.read_entries_with(
            self._read_present_entries, lambda: self._entries_known_at
        )
        self.service = SessionService(
            self.fleet, Placer(self.zone), IsolationMonitor(), virtual_now
        )
        announcements = SimulatedAnnouncements(simulation, self)
        self._announcements = announcements
        announcements.apply_with(self._apply_announcements)
        self.fleet.follow_announcements(announcements)
        self._announcer = Announcer(self.fleet, announcements, virtual_now)
        self.fleet.keep_in_sync_sets(simulation.entry_seconds)
        self._in_sync_keeper = InSyncKeeper(
            self.fleet,
            self._announcer,
            lambda: simulation.reaches_store(self.name),
            random.Random(simulation.rng.random()),
            virtual_now,
        )
        self._duty = SimulatedDuty(simulation, self)
        self.runner = SuccessionRunner(
            self.fleet,
            self._duty,
            self._announcer,
            lambda: simulation.reaches_store(self.name),
            self._read_present_entries,
            random.Random(simulation.rng.random()),
            virtual_now,
        )
        self._part = self.runner.part()
        self._state = self._part.initial_state(virtual_now())
        loops = (
            self._follow_entries,
            self._succeed,
            self._check,
            self._maintain,
            self._keep_in_sync,
            self._watch_continuity,
        )
        self._tasks = [simulation.group.spawn(each()) for each in loops]

    def restart(self) -> None:
        """End all work, and start with nothing known."""
        self.stop()
        self.start()

    def stop(self) -> None:
        """End all work; callers hear no more of it."""
        self.is_running = False
        self.generation += 1
        for task in (*self._tasks, *self._actions):
            task.cancel()
        self.fleet.close()

    async def pass_gate(self) -> None:
        while virtual_now() < self.frozen_until:
            await asyncio.sleep(self.frozen_until - virtual_now())

    async def _connect(
        self, database: Database, organisation: str = NO_ORGANISATION
    ) -> SimulatedConnection:
        return await connect(self._simulation.group, self, database)

    async def _follow_entries(self) -> None:
        while True:
            await self.pass_gate()
            self._read_entries()
            self._read_announcements()
            await asyncio.sleep(0.05)

    def _read_announcements(self) -> None:
        if self._simulation.reaches_store(self.name):
            self._announcements.record_known(virtual_now())
            self._apply_announcements()

    def _apply_announcements(self) -> None:
        simulation = self._simulation
        self._announcer.record_rows(simulation.store.announcements.keys())
        for announcement in simulation.store.announcements.values():
            if self._announcer.apply(announcement):
                simulation.checker.trace(f"{self.name} objects to {announcement}")
                objection = self._announcer.object_to(announcement)
                self._actions.add(simulation.group.spawn(objection))

        if self._registry.remember_all(self.fleet.databases_in_sync()):
            self._register()

    def _read_entries(self) -> None:
        simulation = self._simulation
        is_reachable = simulation.reaches_store(self.name)
        self.fleet.set_follows_store(is_reachable)
        if is_reachable:
            self._duty.duty_store.observe_era()
            delay = self.entries_delay if self._index >= 0 else 0.0
            known_at = virtual_now() - delay
            self._entries_known_at = max(self._entries_known_at, known_at)
            index = simulation.store.index_at(known_at)
            if index > self._index:
                self._index = index
                entries = simulation.store.snapshot(index).values()
                self._registry.replace(entries, virtual_now())
                self._register()

    async def _read_present_entries(self) -> bool:
        simulation = self._simulation
        try:
            await call_store(simulation, self)
        except RefusedError:
            return False
        index = simulation.store.index_at(virtual_now())
        if index > self._index:
            self._index = index
            entries = simulation.store.snapshot(index).values()
            self._registry.replace(entries, virtual_now())
            self._register()
        return True

    def _register(self) -> None:
        self.fleet.register(self._registry.directory(virtual_now()))

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(0.3)
            await self.pass_gate()
            self.fleet.close_idle()
            expiry = self._registry.next_expiry()
            if expiry is not None and expiry <= virtual_now():
                self._register()

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self.pass_gate()
            await self.runner.probe_unresponsive_leaders()
            await self.runner.check_fences()
            await self.fleet.confirm_leaders()

    async def _watch_continuity(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            await self.pass_gate()
            await self.fleet.watch_continuity()

    async def _keep_in_sync(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self.pass_gate()
            await self._in_sync_keeper.check()

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
