"""Announced changes of primary in the simulated store, as one proxy reaches them."""

from dataclasses import dataclass, field, replace
from typing import Protocol

from beryltiller.core.ports import LostAnswerError, RefusedError
from beryltiller.sessions.succession.announcer import Announcement

LOST_ANSWERS_SHARE = 0.05


@dataclass
class AnnouncementRows:
    """The rows of all services."""

    rows: dict[str, Announcement] = field(default_factory=dict)
    version: int = 0


class Proxy(Protocol):
    """A proxy that may stand still, or be cut off from the store."""

    async def call_store(self) -> bool:
        """Wait for a call to the store; return False if it does not answer."""
        ...

    def is_answer_lost(self, share: float) -> bool:
        """Return True if the answer to this call is lost."""
        ...


class SimulatedAnnouncements:
    """One proxy's access to the rows; implements `AnnouncementPort`."""

    def __init__(self, rows: AnnouncementRows, proxy: Proxy) -> None:
        self._rows = rows
        self._proxy = proxy

    async def read(self, service: str) -> Announcement | None:
        await self._call()
        return self._rows.rows.get(service)

    async def write(self, announcement: Announcement) -> int:
        await self._call()
        present = self._rows.rows.get(announcement.service)
        if announcement.version != (present.version if present else 0):
            raise RefusedError("conflict")
        self._rows.version += 1
        version = self._rows.version
        self._rows.rows[announcement.service] = replace(announcement, version=version)
        if self._proxy.is_answer_lost(LOST_ANSWERS_SHARE):
            raise LostAnswerError("lost")
        return version

    async def _call(self) -> None:
        if not await self._proxy.call_store():
            raise RefusedError("unreachable")
