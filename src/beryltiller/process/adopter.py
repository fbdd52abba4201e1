"""Adopter: puts configurations in force one after the other, never an older one."""

import asyncio
from collections.abc import Awaitable, Callable

from beryltiller.configuration.adoption_state import NO_VERSION
from beryltiller.configuration.tables import Configuration


class Adopter:
    """Apply configurations in turn; one that is not newer than the last is dropped.

    Applying may wait in the middle, for instance to open connections. Without the
    turn a slow older one could end after a newer one and stay in force. An adoption
    that starts anew after an error may also decide on an older version than the one
    that this process still serves.
    """

    def __init__(self, apply: Callable[[Configuration], Awaitable[None]]) -> None:
        """Use `apply` to put one in force; it is never called twice at a time."""
        self._apply = apply
        self._turn = asyncio.Lock()
        self._version = NO_VERSION

    async def adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force unless a newer one is."""
        async with self._turn:
            if configuration.version <= self._version:
                return
            await self._apply(configuration)
            self._version = configuration.version
