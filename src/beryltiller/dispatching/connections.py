"""A pool of connections to one database.

The pool does the I/O. Its ledger decides which connections to open, reuse and close.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from types import TracebackType
from typing import Any

from beryltiller.admission.ledgers import ConnectionLedger, ConnectionLedgerPolicy
from beryltiller.core.ports import Connection, Endpoint, PortError


@dataclass(frozen=True, slots=True)
class AcquiredConnection:
    """A connection in use by one statement or transaction.

    `serial` is its number in the ledger.
    """

    serial: int
    connection: Connection


class EndpointConnectionPool:
    """One proxy's pool of connections to one database; used on the event loop only.

    `on_change` is called with None when a connection has been opened, and with the
    error when an attempt to open one has failed. The pool is an async context manager.
    On exit, it closes idle connections and those being opened; connections in use are
    closed when they are released.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        policy: ConnectionLedgerPolicy,
        share: int,
        clock: Callable[[], float],
        rng: random.Random,
        on_change: Callable[[PortError | None], None],
    ) -> None:
        """Create an empty pool; `start_opening` opens connections.

        `share` is the maximum number of connections.
        """
        self._endpoint = endpoint
        self._policy = policy
        self._ledger = ConnectionLedger(policy, share)
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._connections: dict[int, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    async def __aenter__(self) -> "EndpointConnectionPool":
        """Return the pool."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the pool."""
        await self.close()

    @property
    def ledger(self) -> ConnectionLedger:
        """Return the ledger of the connections' states; callers must not change it."""
        return self._ledger

    def start_opening(self, demand: int) -> None:
        """Start opening connections for `demand` statements, without waiting.

        `demand` also counts the statements that already have a connection.
        """
        if self._is_closed:
            return
        for serial in self._ledger.begin_opening(self._clock(), demand):
            self._start_task(self._open_connection(serial))

    def acquire(self) -> AcquiredConnection | None:
        """Acquire an idle connection, or return None if there is none."""
        serial = self._ledger.acquire()
        if serial is None:
            return None
        return AcquiredConnection(serial, self._connections[serial])

    def release(self, acquired: AcquiredConnection, is_clean: bool) -> None:
        """Release a connection; it is reused only if clean, and closed otherwise."""
        if not self._ledger.release(acquired.serial, self._clock(), is_clean):
            self._close_later([acquired.serial])

    def resize(self, share: int) -> None:
        """Set the maximum number of connections; close idle ones beyond it."""
        self._close_later(self._ledger.resize(share))

    def evict(self) -> None:
        """Close connections idle for too long, down to the policy's minimum."""
        self._close_later(self._ledger.evict(self._clock()))

    async def close(self) -> None:
        """Close all connections that are not in use, and wait until they are closed."""
        self._is_closed = True
        self.resize(0)
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _open_connection(self, serial: int) -> None:
        try:
            async with asyncio.timeout(self._policy.connect_timeout_seconds):
                connection = await self._endpoint.connect()
        except (PortError, TimeoutError) as error:
            self._ledger.record_open_failure(serial, self._clock(), self._rng)
            cause = error if isinstance(error, PortError) else PortError("timeout")
            self._on_change(cause)
            return
        self._connections[serial] = connection
        if self._ledger.record_opened(serial, self._clock()):
            self._on_change(None)
        else:
            self._close_later([serial])

    def _close_later(self, serials: list[int]) -> None:
        for serial in serials:
            self._start_task(self._close_connection(serial))

    async def _close_connection(self, serial: int) -> None:
        connection = self._connections.pop(serial)
        try:
            async with asyncio.timeout(self._policy.close_timeout_seconds):
                await connection.close()
        except (PortError, TimeoutError):
            # The adapter drops the socket, so the database ends the connection.
            pass
        finally:
            self._ledger.record_closed(serial)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
