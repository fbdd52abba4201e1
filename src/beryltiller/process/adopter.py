"""Application of adopted configurations, one at a time and never an older one."""

import asyncio
from collections.abc import Awaitable, Callable

from beryltiller.configuration.adoption_state import NO_VERSION
from beryltiller.configuration.tables import Configuration


class Adopter:
    """Puts adopted configurations in force, one at a time, and never an older one.

    Applying a configuration may take time, for instance to open connections. Without
    the lock, a slow older configuration could finish after a newer one and stay in
    force. An adoption part that restarts after an error may also decide on an older
    version than the one that this process already serves.
    """

    def __init__(self, apply: Callable[[Configuration], Awaitable[None]]) -> None:
        """Set `apply`, which puts a configuration in force; its calls never overlap."""
        self._apply = apply
        self._lock = asyncio.Lock()
        self._version = NO_VERSION

    async def adopt(self, configuration: Configuration) -> None:
        """Put a configuration in force unless its version or a newer one already is.

        Waits for the configuration that is being applied, if any.
        """
        async with self._lock:
            if configuration.version <= self._version:
                return
            await self._apply(configuration)
            self._version = configuration.version
