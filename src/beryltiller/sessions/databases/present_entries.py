"""Until when the databases' entries in the store are known, and readings of them."""

import asyncio
from collections.abc import Awaitable, Callable

from beryltiller.sessions.clocks import loop_time

# A store that answers more slowly counts as unreachable.
READ_TIMEOUT_SECONDS = 0.6
# The least time between the begins of two readings.
READ_INTERVAL_SECONDS = 0.2

ReadEntries = Callable[[], Awaitable[bool]]
KnownAt = Callable[[], float]


def never() -> float:
    """Return a moment before all others."""
    return float("-inf")


class PresentEntries:
    """Reads the entries for callers that ask at the same time, one call at once.

    Use it on a single event loop.
    """

    def __init__(self, clock: Callable[[], float] = loop_time) -> None:
        """Create readings that fail until `read_with` is called."""
        self._clock = clock
        self._read_entries: ReadEntries | None = None
        self._followed_until: KnownAt = never
        self._read_until = never()
        self._next_reading_at = never()
        self._reading: asyncio.Task[bool] | None = None

    @property
    def known_at(self) -> float:
        """Return the moment until which all entries are known."""
        return max(self._read_until, self._followed_until())

    def read_with(self, read_entries: ReadEntries, known_at: KnownAt = never) -> None:
        """Read with a function that updates the entries, or returns False.

        `known_at` returns until when they are known without a reading.
        """
        self._read_entries = read_entries
        self._followed_until = known_at

    async def learn(self, moment: float) -> bool:
        """Learn all entries written before `moment`; return False if that fails.

        The store is asked only if they are not known yet, and not more often than each
        `READ_INTERVAL_SECONDS`.
        """
        if self.known_at >= moment:
            return True
        if self._reading is None and self._clock() < self._next_reading_at:
            return False
        await self.read()
        return self.known_at >= moment

    async def read(self) -> bool:
        """Learn all entries written before this call; return False if that fails.

        A reading that began earlier may miss some of them, so the next one is used.
        """
        earlier = self._reading
        if earlier is not None:
            await asyncio.wait((earlier,))
        if self._reading is None:
            self._reading = asyncio.create_task(self._read())
        return await asyncio.shield(self._reading)

    def close(self) -> None:
        """Cancel the reading under way."""
        if self._reading is not None:
            self._reading.cancel()

    async def _read(self) -> bool:
        began = self._clock()
        self._next_reading_at = began + READ_INTERVAL_SECONDS
        try:
            if self._read_entries is None:
                return False
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                is_read = await self._read_entries()
        except TimeoutError:
            return False
        finally:
            self._reading = None
        if is_read:
            self._read_until = max(self._read_until, began)
        return is_read
