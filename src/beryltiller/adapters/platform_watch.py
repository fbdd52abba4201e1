"""Watch the platform's services: counts, times, and whether they answer."""

import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from beryltiller.adapters.services import Platform
from beryltiller.core.ports import Host, PortError, RefusedError, Row, Scan, Write
from beryltiller.observability import logs
from beryltiller.observability.metrics import Counter, Metrics, Timer

_Value = TypeVar("_Value")

_CONFLICT = "conflict"


class PlatformWatch:
    """Pass every request on to the platform, and note how it went.

    Log once when the platform stops answering and once when it answers again. A
    conflict is an answer.
    """

    def __init__(
        self,
        platform: Platform,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        log: Callable[[logs.Event], None] = logs.log,
    ) -> None:
        """Take the platform to be reachable until a request fails."""
        self._platform = platform
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._failed_since: float | None = None

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None when there is none."""
        self._metrics.count(Counter.STORE_READS)
        return await self._noted(self._platform.read(table, key))

    async def scan(self, table: str, since: int = 0) -> Scan:
        """Return the rows whose last write is after revision `since`."""
        self._metrics.count(Counter.STORE_READS)
        return await self._noted(self._platform.scan(table, since))

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Commit all writes and return their new versions."""
        self._metrics.count(Counter.STORE_WRITES)
        return await self._noted(self._platform.commit(writes))

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None when there is none."""
        self._metrics.count(Counter.STORE_READS)
        return await self._noted(self._platform.get(name))

    async def put(self, name: str, data: bytes) -> None:
        """Replace the object."""
        self._metrics.count(Counter.STORE_WRITES)
        await self._noted(self._platform.put(name, data))

    async def hosts(self) -> tuple[Host, ...]:
        """Return the hosts in the platform's list, which lags."""
        self._metrics.count(Counter.STORE_READS)
        return await self._noted(self._platform.hosts())

    async def _noted(self, request: Awaitable[_Value]) -> _Value:
        started = self._clock()
        try:
            value = await request
        except PortError as error:
            self._note_error(error)
            raise
        self._note_answer()
        self._metrics.observe(Timer.STORE, self._clock() - started)
        return value

    def _note_error(self, error: PortError) -> None:
        if isinstance(error, RefusedError) and error.code == _CONFLICT:
            self._note_answer()
            return
        self._metrics.count(Counter.STORE_ERRORS)
        if self._failed_since is None:
            self._failed_since = self._clock()
            self._log(logs.StoreUnreachable(str(error)))

    def _note_answer(self) -> None:
        if self._failed_since is None:
            return
        self._log(logs.StoreReachable(self._clock() - self._failed_since))
        self._failed_since = None
