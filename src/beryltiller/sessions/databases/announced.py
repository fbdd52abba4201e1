"""Until when this proxy knows the announced changes of primary.

An announcement is made before the databases are fenced for the last time. So an answer
of a process that may have started later shows what a promoter will find only with the
announcements that were made until then.

Use this on a single event loop.
"""

import asyncio
import sys
from collections.abc import Callable
from typing import Protocol

# The least time between two requests for the newest announcements.
REQUEST_INTERVAL_SECONDS = 0.2
# A request without an answer for longer shows that announcements may not arrive.
ANSWER_SECONDS = 0.15


class AnnouncementFeed(Protocol):
    """The table of announcements, as this proxy follows it."""

    @property
    def known_until(self) -> int:
        """Return the revision of the store up to which all announcements are known."""
        ...

    @property
    def known_at(self) -> float:
        """Return the moment until which all announcements made are known."""
        ...

    @property
    def is_reachable(self) -> bool:
        """Return True if announcements arrive."""
        ...

    async def refresh(self) -> bool:
        """Learn of all announcements made until now; return False if that fails."""
        ...


class KnownAnnouncements:
    """What is known of announcements; without a feed nothing is announced."""

    def __init__(self) -> None:
        """Create knowledge of a proxy that `follow` gives a feed."""
        self._feed: AnnouncementFeed | None = None
        self._entries_at: Callable[[], float] = lambda: float("inf")
        self._requested_at = float("-inf")
        self._request: asyncio.Task[None] | None = None
        self._failed_at = float("-inf")

    @property
    def until(self) -> int:
        """Return the revision of the store up to which all are known."""
        return self._feed.known_until if self._feed else sys.maxsize

    @property
    def at(self) -> float:
        """Return the moment until which all that were made are known."""
        return self._feed.known_at if self._feed else float("inf")

    @property
    def entries_at(self) -> float:
        """Return the moment until which all databases' entries are known, too."""
        return min(self.at, self._entries_at())

    @property
    def is_arriving(self) -> bool:
        """Return True if new ones arrive, as far as is known by now."""
        if self._feed is None:
            return True
        is_failing = self.at <= self._failed_at or self._is_unanswered()
        return self._feed.is_reachable and not is_failing

    def _is_unanswered(self) -> bool:
        """Return True if the last request has had no answer for a while."""
        if self._request is None or self._request.done():
            return False
        now = asyncio.get_running_loop().time()
        return self.at < self._requested_at < now - ANSWER_SECONDS

    def follow_entries(self, known_at: Callable[[], float]) -> None:
        """Know the entries of databases until the moment that `known_at` returns."""
        self._entries_at = known_at

    def follow(self, feed: AnnouncementFeed) -> None:
        """Know what a feed knows."""
        self._feed = feed

    def request(self) -> None:
        """Learn of those made until now, unless that was requested a moment ago.

        While none arrive, the feed itself tries again until some do.
        """
        now = asyncio.get_running_loop().time()
        if self._feed is None or not self._feed.is_reachable:
            return
        if now < self._requested_at + REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at = now
        self._request = asyncio.create_task(self._refresh(self._feed))

    async def _refresh(self, feed: AnnouncementFeed) -> None:
        known_at = feed.known_at
        if not await feed.refresh():
            self._failed_at = known_at

    def close(self) -> None:
        """Cancel a request under way."""
        if self._request is not None:
            self._request.cancel()
