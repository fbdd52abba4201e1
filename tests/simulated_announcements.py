"""Announced changes of primary in the simulated store, as one proxy reaches them."""

import asyncio
import sys
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from beryltiller.core.ports import LostAnswerError, RefusedError
from beryltiller.sessions.succession.announcement import Announcement
from tests.simulated_connections import Caller
from tests.simulated_store import (
    LATE_SECONDS,
    UNANSWERED_SECONDS,
    UNANSWERED_SHARE,
    Surroundings,
    call_store,
)
from tests.virtual_loop import virtual_now

LOST_SHARE = 0.05


class SimulatedAnnouncements:
    """One proxy's access to the announcements; implements `AnnouncementPort`.

    It is the feed of announcements, too.
    """

    def __init__(self, simulation: Surroundings, proxy: Caller) -> None:
        self._simulation = simulation
        self._proxy = proxy
        self._apply: Callable[[], None] = lambda: None
        self.known_at = float("-inf")
        self.known_until = sys.maxsize

    @property
    def is_reachable(self) -> bool:
        return self._simulation.reaches_store(self._proxy.name)

    def apply_with(self, apply: Callable[[], None]) -> None:
        """Have the proxy apply the announcements of the store with a function."""
        self._apply = apply

    def record_known(self, asked_at: float) -> None:
        """Record that the proxy knows all announcements made until a moment."""
        self.known_at = max(self.known_at, asked_at)

    async def refresh(self) -> bool:
        asked_at = virtual_now()
        try:
            await call_store(self._simulation, self._proxy)
        except RefusedError:
            return False
        self._apply()
        self.record_known(asked_at)
        return True

    async def read(self, service: str) -> Announcement | None:
        await call_store(self._simulation, self._proxy)
        return self._simulation.store.announcements.get(service)

    async def write(self, announcement: Announcement) -> int:
        await call_store(self._simulation, self._proxy)
        simulation = self._simulation
        if simulation.lateness.writes and simulation.rng.random() < UNANSWERED_SHARE:
            simulation.group.spawn(self._write_late(announcement))
            await asyncio.sleep(UNANSWERED_SECONDS)
            raise LostAnswerError("no answer")
        version = self._write(announcement)
        if simulation.rng.random() < LOST_SHARE:
            raise LostAnswerError("lost")
        return version

    def _write(self, announcement: Announcement) -> int:
        store, service = self._simulation.store, announcement.service
        present = store.announcements.get(service)
        if announcement.version != (present.version if present else 0):
            raise RefusedError("conflict")
        store.version += 1
        store.announcements[service] = replace(announcement, version=store.version)
        return store.version

    async def _write_late(self, announcement: Announcement) -> None:
        await asyncio.sleep(self._simulation.rng.uniform(*LATE_SECONDS))
        with suppress(RefusedError):
            self._write(announcement)
