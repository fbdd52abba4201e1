"""Announced changes of primary in the simulated store, as one proxy reaches them."""

import asyncio
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

LOST_SHARE = 0.05


class SimulatedAnnouncements:
    """One proxy's access to the announcements; implements `AnnouncementPort`."""

    def __init__(self, simulation: Surroundings, proxy: Caller) -> None:
        self._simulation = simulation
        self._proxy = proxy

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
