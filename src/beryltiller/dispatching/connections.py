"""Pool of connections to one database: the ledger's decisions over the port."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from types import TracebackType
from typing import Any

from beryltiller.admission.ledgers import ConnectionLedger, ConnectionLedgerPolicy
from beryltiller.core.ports import Connection, Endpoint, PortError


@dataclass(frozen=True, slots=True)
class Lease:
    """Hold a connection lent to one statement or transaction."""

    serial: int
    connection: Connection


class ConnectionPool:
    """Open, lend and close connections on the event loop.

    `on_change` is called when a connection has been opened, and with the error when
    an attempt to open one has failed. The pool is an async context manager; leaving
    it closes what is idle or opening, and what is in use when it is given back.
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
        """Start without connections; `prepare` opens them."""
        self._endpoint = endpoint
        self._policy = policy
        self._ledger = ConnectionLedger(policy, share)
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self._connections: dict[int, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closed = False

    async def __aenter__(self) -> "ConnectionPool":
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
        """Return the account of connections, for reading."""
        return self._ledger

    def prepare(self, demand: int) -> None:
        """Start opening connections for `demand` statements."""
        if self._is_closed:
            return
        for serial in self._ledger.begin_opening(self._clock(), demand):
            self._start(self._open(serial))

    def lend(self) -> Lease | None:
        """Return an idle connection for one user, or None."""
        serial = self._ledger.acquire()
        if serial is None:
            return None
        return Lease(serial, self._connections[serial])

    def give_back(self, lease: Lease, is_clean: bool) -> None:
        """Take a lent connection back, for reuse only if it is clean."""
        if not self._ledger.release(lease.serial, self._clock(), is_clean):
            self._close_later([lease.serial])

    def resize(self, share: int) -> None:
        """Change the share, closing idle connections beyond it."""
        self._close_later(self._ledger.resize(share))

    def evict(self) -> None:
        """Close connections that were idle for too long."""
        self._close_later(self._ledger.evict(self._clock()))

    async def close(self) -> None:
        """Close everything that is not in use, and wait until it is closed."""
        self._is_closed = True
        self.resize(0)
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _open(self, serial: int) -> None:
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
            self._start(self._close(serial))

    async def _close(self, serial: int) -> None:
        connection = self._connections.pop(serial)
        try:
            async with asyncio.timeout(self._policy.close_timeout_seconds):
                await connection.close()
        except (PortError, TimeoutError):
            # The adapter drops the socket, and the database the connection with it.
            pass
        finally:
            self._ledger.record_closed(serial)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
