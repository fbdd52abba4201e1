"""Several promoting proxies over one fake group and one platform, on the virtual clock.

Each proxy has its own view of the group, and runs the policy and the runner unchanged.
Tests freeze a proxy, and see what the platform recorded about each promotion.
"""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from beryltiller.core.ports import RefusedError
from beryltiller.sessions.succession.runner import DutyClaim, SuccessionRunner
from tests.fake_announcements import FakeAnnouncements
from tests.fake_group import (
    FakeDatabase,
    GroupFixture,
    read_same_entries,
)
from tests.virtual_loop import virtual_now

EFFECT_SECONDS = 0.3


@dataclass
class FakePlatform:
    """Claims of the promotion duty, and promotions that take effect after a delay.

    `unfenced_meanwhile` names the replicas that were not fenced when a promotion took
    effect, though all had been confirmed before the request. `promoted` names the
    databases that were promoted.
    """

    databases: dict[str, FakeDatabase]
    holder: str = ""
    held_until: float = float("-inf")
    token: int = 0
    unfenced_meanwhile: list[str] = field(default_factory=list)
    promoted: list[str] = field(default_factory=list)
    announcements: FakeAnnouncements = field(default_factory=FakeAnnouncements)

    def take_effect(self, identifier: str) -> None:
        """Let a promotion take effect: it ends all fences."""
        for database in self.databases.values():
            if not database.is_primary and not database.fenced_term:
                self.unfenced_meanwhile.append(database.identifier)
        term = max(each.term for each in self.databases.values()) + 1
        for database in self.databases.values():
            if database.is_unreachable:
                continue
            database.term = term
            database.fenced_term = 0
            database.is_primary = database.identifier == identifier
        self.promoted.append(identifier)


class FakeDuty:
    """One proxy's access to the promotion duty."""

    def __init__(self, platform: FakePlatform, holder: str) -> None:
        self._platform = platform
        self._holder = holder

    async def claim(self, service: str, seconds: float) -> DutyClaim:
        asked_at = virtual_now()
        platform = self._platform
        if platform.holder != self._holder and asked_at < platform.held_until:
            raise RefusedError("held", platform.holder)
        platform.holder = self._holder
        platform.held_until = asked_at + seconds
        platform.token += 1
        return DutyClaim(platform.token, asked_at)

    async def promote(self, service: str, identifier: str, token: int) -> None:
        asyncio.get_running_loop().call_later(
            EFFECT_SECONDS, self._platform.take_effect, identifier
        )


class Promoter:
    """One proxy that observes the group and performs successions.

    While frozen it neither decides nor performs anything; what it would have done is
    done when it resumes.
    """

    def __init__(
        self, platform: FakePlatform, source: GroupFixture, name: str, seed: int
    ) -> None:
        self.fixture = GroupFixture()
        self.fixture.leader = source.leader
        self.fixture.near = source.near
        self.fixture.far = source.far
        self.fixture.databases = source.databases
        self.fixture.register()
        self.runner = SuccessionRunner(
            self.fixture.fleet,
            FakeDuty(platform, name),
            platform.announcements.add_proxy(self.fixture.fleet),
            lambda: True,
            read_same_entries,
            random.Random(seed),
            virtual_now,
        )
        self._part = self.runner.part()
        self._state = self._part.initial_state(0.0)
        self._running = asyncio.Event()
        self._running.set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def phase(self) -> str:
        """Return the phase of the succession under way, or an empty text."""
        succession = self._state.successions.get("s")
        return succession.phase.name if succession else ""

    def freeze(self) -> None:
        """Stop deciding and performing."""
        self._running.clear()

    def resume(self) -> None:
        """Continue with what was left."""
        self._running.set()

    def start(self) -> None:
        """Begin to observe the group, and to check its databases, at each tick."""
        self._spawn_tick()

    async def reach(self, phase: str) -> None:
        """Wait until the succession is in a phase; fail after ten seconds."""
        async with asyncio.timeout(10.0):
            while self.phase != phase:
                await asyncio.sleep(0.005)

    def _spawn_tick(self) -> None:
        self._spawn_handle(None)
        self._spawn(self._check())
        asyncio.get_running_loop().call_later(self._part.tick_seconds, self._spawn_tick)

    async def _check(self) -> None:
        await self._running.wait()
        await self.runner.probe_unresponsive_leaders()
        await self.fixture.fleet.confirm_leaders()
        await self.runner.check_fences()

    def _spawn_handle(self, event: Any) -> None:
        self._spawn(self._handle(event))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, event: Any) -> None:
        await self._running.wait()
        self._state, actions = self._part.decide(self._state, event, 0.0)
        await asyncio.gather(*map(self._perform, actions))

    async def _perform(self, action: Any) -> None:
        await self._running.wait()
        event = await self._part.perform(action)
        if event is not None:
            self._spawn_handle(event)
