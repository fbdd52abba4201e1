"""Readings of the databases' entries that the store has at present."""

import asyncio
from collections.abc import Awaitable, Callable

# A store that answers more slowly counts as unreachable.
READ_TIMEOUT_SECONDS = 0.6

ReadEntries = Callable[[], Awaitable[bool]]


class PresentEntries:
    """Reads the entries for callers that ask at the same time, one call at once.

    Use it on a single event loop.
    """

    def __init__(self) -> None:
        """Create readings that fail until `read_with` is called."""
        self._read_entries: ReadEntries | None = None
        self._reading: asyncio.Task[bool] | None = None

    def read_with(self, read_entries: ReadEntries) -> None:
        """Read with a function that updates the entries, or returns False."""
        self._read_entries = read_entries

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
        try:
            if self._read_entries is None:
                return False
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                return await self._read_entries()
        except TimeoutError:
            return False
        finally:
            self._reading = None
