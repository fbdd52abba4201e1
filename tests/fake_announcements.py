"""Announcements of changes of primary in memory, and how proxies hear of them."""

import asyncio
import sys
from dataclasses import dataclass, field, replace

from beryltiller.core.ports import LostAnswerError, RefusedError
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.succession.announcement import Announcement
from beryltiller.sessions.succession.announcer import Announcer
from tests.virtual_loop import pass_time, virtual_now

# How long after a write the proxies have read it.
FEED_SECONDS = 0.02
# How long the store takes to answer.
CALL_SECONDS = 0.005


@dataclass
class FakeAnnouncements:
    """The rows of announcements; implements `AnnouncementPort`.

    `lost_answers` is how many of the next writes are done and fail, `hanging_writes`
    how many are neither done nor answered. With `is_down` all calls are refused.
    """

    rows: dict[str, Announcement] = field(default_factory=dict)
    version: int = 0
    lost_answers: int = 0
    hanging_writes: int = 0
    is_down: bool = False
    announcers: list[Announcer] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    def add_proxy(self, fleet: Fleet) -> Announcer:
        """Return the announcer of a proxy that follows the rows."""
        announcer = Announcer(fleet, self, virtual_now)
        self.announcers.append(announcer)
        return announcer

    async def read(self, service: str) -> Announcement | None:
        await self._call()
        return self.rows.get(service)

    async def write(self, announcement: Announcement) -> int:
        await self._call()
        if self.hanging_writes:
            self.hanging_writes -= 1
            await asyncio.Event().wait()
        service = announcement.service
        present = self.rows.get(service)
        if announcement.version != (present.version if present else 0):
            raise RefusedError("conflict")
        self.version += 1
        self.rows[service] = replace(announcement, version=self.version)
        loop = asyncio.get_running_loop()
        for announcer in self.announcers:
            loop.call_later(FEED_SECONDS, self._deliver, announcer, service)
        if self.lost_answers:
            self.lost_answers -= 1
            raise LostAnswerError("lost")
        return self.version

    async def _call(self) -> None:
        await pass_time(CALL_SECONDS)
        if self.is_down:
            raise RefusedError("status 503")

    def _deliver(self, announcer: Announcer, service: str) -> None:
        announcement = self.rows[service]
        if announcer.apply(announcement):
            task = asyncio.create_task(announcer.object_to(announcement))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)


@dataclass
class FakeAnnouncementFeed:
    """A table of announcements that is known until the values set."""

    known_until: int = sys.maxsize
    known_at: float = float("inf")
    is_reachable: bool = True
    requests: int = 0
    answer_seconds: float = 0.005

    async def refresh(self) -> bool:
        self.requests += 1
        asked_at = virtual_now()
        await asyncio.sleep(self.answer_seconds)
        if self.is_reachable:
            self.known_at = asked_at
        return self.is_reachable
