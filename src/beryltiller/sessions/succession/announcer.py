"""Announcements of changes of primary, through rows that all proxies follow.

A promoter writes one row for its service. Each proxy that reads it applies it to its
group, and objects by writing the row again if it has reported a commit that the
promotion would drop. The promoter reads the row once more before it confirms.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from beryltiller.core.ports import PortError
from beryltiller.observability import logs
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.primary_change import PrimaryChange

# A read that takes longer is given up.
CALL_SECONDS = 0.3
# How long an announcement is tried, and after which time it is written once more.
ANNOUNCE_SECONDS = 1.0
HEDGE_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Announcement:
    """The announced change of a service's primary, as of row version `version`.

    `token` is the fencing token of the promoter's claim.
    """

    service: str
    change: PrimaryChange
    token: int
    is_withdrawn: bool = False
    is_opposed: bool = False
    version: int = 0


class AnnouncementPort(Protocol):
    """The rows of announcements, one for each service, which every proxy follows."""

    async def read(self, service: str) -> Announcement | None:
        """Return a service's newest announcement, or None."""
        ...

    async def write(self, announcement: Announcement) -> int:
        """Write an announcement if the row still has its version; return the new one.

        Raise `RefusedError` if it has another one.
        """
        ...


class Announcer:
    """One proxy's part in announced changes; use it on a single event loop."""

    def __init__(
        self, fleet: Fleet, port: AnnouncementPort, clock: Callable[[], float]
    ) -> None:
        """Apply announcements to the fleet's groups."""
        self._fleet = fleet
        self._port = port
        self._clock = clock
        self._applied: dict[str, int] = {}

    async def announce(self, service: str, change: PrimaryChange, token: int) -> int:
        """Announce a change; return the announcement's version, or 0 if that failed.

        A write whose answer is late is sent again meanwhile: all have the same
        condition, so that only one of them has an effect.
        """
        began = self._clock()
        self._fleet.group(service).changes.announce(change, began)
        announced = Announcement(
            service, change, token, version=self._applied.get(service, 0)
        )
        writes: set[asyncio.Task[int]] = set()
        try:
            while self._clock() < began + ANNOUNCE_SECONDS:
                writes.add(asyncio.create_task(self._write(announced)))
                done, writes = await asyncio.wait(
                    writes, timeout=HEDGE_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                version = max((write.result() for write in done), default=0)
                if done and not version:
                    # One had an effect before, or the row is not as expected.
                    present = await self._read(service)
                    found = present.version if present else announced.version
                    if present == replace(announced, version=found):
                        version = found
                    announced = replace(announced, version=found)
                if version:
                    return version
            return 0
        finally:
            for write in writes:
                write.cancel()

    async def is_unopposed(self, service: str, version: int) -> bool:
        """Return True if no proxy has objected to the announcement of that version."""
        present = await self._read(service)
        if present is None or present.version != version:
            return False
        changes = self._fleet.group(service).changes
        return not changes.objects_to(present.change, self._clock())

    async def withdraw(self, service: str) -> None:
        """Withdraw a service's announcement, if there is one."""
        self._fleet.group(service).changes.withdraw()
        present = await self._read(service)
        if present is not None and not present.is_withdrawn:
            await self._write(replace(present, is_withdrawn=True))

    def apply(self, announcement: Announcement) -> bool:
        """Apply an announcement that was read; return True to object to it.

        One that was applied before has no effect.
        """
        service, change = announcement.service, announcement.change
        if announcement.version <= self._applied.get(service, 0):
            return False
        self._applied[service] = announcement.version
        changes = self._fleet.group(service).changes
        if announcement.is_withdrawn:
            changes.withdraw()
            return False
        now = self._clock()
        changes.announce(change, now)
        return not announcement.is_opposed and changes.objects_to(change, now)

    async def object_to(self, announcement: Announcement) -> None:
        """Object to a change that drops a commit which this proxy has reported."""
        service = announcement.service
        reported = self._fleet.group(service).changes.reported
        end = str(announcement.change.log_end)
        logs.log(logs.PrimaryChangeOpposed(service, end, str(reported)))
        await self._write(replace(announcement, is_opposed=True))

    async def _read(self, service: str) -> Announcement | None:
        """Return a service's newest announcement, or None also if that failed."""
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return await self._port.read(service)
        except (PortError, TimeoutError) as error:
            logs.log(logs.AnnouncementFailed(service, f"{error!r}"))
            return None

    async def _write(self, announcement: Announcement) -> int:
        """Write an announcement; return its version, or 0 if that failed."""
        try:
            return await self._port.write(announcement)
        except PortError as error:
            logs.log(logs.AnnouncementFailed(announcement.service, f"{error!r}"))
            return 0
