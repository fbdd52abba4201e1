"""A platform client with metrics, and logs of when the platform is unreachable."""

import time
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from beryltiller.adapters.platform_client import PlatformClient
from beryltiller.core.ports import Host, PortError, RefusedError, Row, TableRows, Write
from beryltiller.observability import events, logs
from beryltiller.observability.metrics import Counter, Metrics, Timer

_Value = TypeVar("_Value")

_CONFLICT = "conflict"


class MonitoredPlatform:
    """A wrapper of `PlatformClient` that counts all requests and times successful ones.

    It logs once when the platform stops answering and once when it answers again. A
    refusal with code `conflict` counts as an answer, any other refusal as a failure.
    """

    def __init__(
        self,
        platform: PlatformClient,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
        log: Callable[[logs.Event], None] = logs.log,
    ) -> None:
        """Wrap `platform`, which counts as reachable until a request fails."""
        self._platform = platform
        self._metrics = metrics
        self._clock = clock
        self._log = log
        self._failed_since: float | None = None

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        self._metrics.count(Counter.STORE_READS)
        return await self._monitor(self._platform.read(table, key))

    async def scan(self, table: str, since: int = 0) -> TableRows:
        """Return the rows whose last write is after revision `since`."""
        self._metrics.count(Counter.STORE_READS)
        return await self._monitor(self._platform.scan(table, since))

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Commit all writes in one transaction and return the rows' new versions."""
        self._metrics.count(Counter.STORE_WRITES)
        return await self._monitor(self._platform.commit(writes))

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None if it does not exist."""
        self._metrics.count(Counter.STORE_READS)
        return await self._monitor(self._platform.get(name))

    async def put(self, name: str, data: bytes) -> None:
        """Create or replace the object."""
        self._metrics.count(Counter.STORE_WRITES)
        await self._monitor(self._platform.put(name, data))

    async def hosts(self) -> tuple[Host, ...]:
        """Return the hosts in the platform's list, which may be some seconds old."""
        self._metrics.count(Counter.STORE_READS)
        return await self._monitor(self._platform.hosts())

    async def _monitor(self, request: Awaitable[_Value]) -> _Value:
        started = self._clock()
        try:
            value = await request
        except PortError as error:
            self._record_error(error)
            raise
        self._record_answer()
        self._metrics.observe(Timer.STORE, self._clock() - started)
        return value

    def _record_error(self, error: PortError) -> None:
        if isinstance(error, RefusedError) and error.code == _CONFLICT:
            self._record_answer()
            return
        self._metrics.count(Counter.STORE_ERRORS)
        if self._failed_since is None:
            self._failed_since = self._clock()
            self._log(events.StoreUnreachable(str(error)))

    def _record_answer(self) -> None:
        if self._failed_since is None:
            return
        self._log(events.StoreReachable(self._clock() - self._failed_since))
        self._failed_since = None
