"""Reads and writes of the rows that announce changes of primary.

A write is conditional on the version of the row that it replaces. It is sent again
while its answer is late, and tried anew over a row that has changed meanwhile.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from beryltiller.core.ports import PortError, RefusedError
from beryltiller.observability import logs, session_events
from beryltiller.sessions.succession.announcement import Announcement, AnnouncementPort

# A read that takes longer is given up.
CALL_SECONDS = 0.3
# How long a write is tried, and after which time it is sent once more.
WRITE_SECONDS = 1.0
HEDGE_SECONDS = 0.1


class AnnouncementRows:
    """The rows of all services in the store; use it on a single event loop."""

    def __init__(self, port: AnnouncementPort, clock: Callable[[], float]) -> None:
        """Read and write through `port`."""
        self._port = port
        self._clock = clock

    async def read(self, service: str) -> Announcement | None:
        """Return a service's newest announcement, or None also if that failed."""
        try:
            return await self.read_row(service)
        except (PortError, TimeoutError) as error:
            self.log_failure(service, error)
            return None

    async def read_row(self, service: str) -> Announcement | None:
        """Return a service's newest announcement, or None if there is no row."""
        async with asyncio.timeout(CALL_SECONDS):
            return await self._port.read(service)

    async def write(
        self,
        announcement: Announcement,
        instead_of: Callable[[Announcement | None], Announcement | None],
    ) -> Announcement | None:
        """Write an announcement until that is answered; return it as written, or None.

        A write whose answer is late is sent again meanwhile: all have the same
        condition, so that only one of them has an effect. If the row turns out to have
        another version, or to be missing in a restored store, what `instead_of` returns
        for that is written, if anything.
        """
        until = self._clock() + WRITE_SECONDS
        writes: set[asyncio.Task[Announcement | None]] = set()
        try:
            while self._clock() < until:
                writes.add(asyncio.create_task(self.write_once(announcement)))
                done, writes = await asyncio.wait(
                    writes, timeout=HEDGE_SECONDS, return_when=asyncio.FIRST_COMPLETED
                )
                for write in done:
                    if (written := write.result()) is not None:
                        return written
                if not done:
                    continue
                try:
                    present = await self.read_row(announcement.service)
                except (PortError, TimeoutError) as error:
                    self.log_failure(announcement.service, error)
                    continue
                following = instead_of(present)
                if following is None:
                    break
                if following == present:
                    # An earlier write had an effect, and its answer was lost.
                    return present
                announcement = following
            return None
        finally:
            for write in writes:
                write.cancel()

    async def write_once(self, announcement: Announcement) -> Announcement | None:
        """Write an announcement; return it as written, or None if that failed."""
        try:
            version = await self._port.write(announcement)
            return replace(announcement, version=version)
        except RefusedError as error:
            self.log_failure(announcement.service, error)
            if error.code != "conflict":
                # The store refuses all calls for now.
                await asyncio.sleep(HEDGE_SECONDS)
            return None
        except PortError as error:
            self.log_failure(announcement.service, error)
            return None

    def log_failure(self, service: str, error: Exception) -> None:
        """Log a call that has failed."""
        logs.log(session_events.AnnouncementFailed(service, f"{error!r}"))
