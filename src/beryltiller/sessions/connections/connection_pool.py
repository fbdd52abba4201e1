"""A pool of connections to one database, shared by the sessions of an organisation.

A session acquires a connection for one statement or one transaction.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Protocol

from beryltiller.admission.ledgers import ConnectionLedger, ConnectionLedgerPolicy
from beryltiller.sessions.connections.admission_semaphore import AdmissionSemaphore
from beryltiller.sessions.connections.connection_limits import (
    ConnectionLimit,
    ConnectionPoolPolicy,
    ConnectionSupply,
)
from beryltiller.sessions.connections.pooled_connection import (
    DatabaseConnection,
    PooledConnection,
)
from beryltiller.sessions.errors import NoCapacityError, NotSentError
from beryltiller.sessions.statements import Code

Connect = Callable[[], Awaitable[DatabaseConnection]]


class SharedLimit(Protocol):
    """The limit on connections to a database, which several pools share."""

    @property
    def limit(self) -> ConnectionLimit:
        """Return the limit of all pools together."""
        ...

    @property
    def in_use(self) -> int:
        """Return how many connections of all pools are acquired."""
        ...

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a connection of any pool."""
        ...

    @property
    def size(self) -> int:
        """Return how many connections of all pools are open or being opened."""
        ...

    def share_of(self, pool: "ConnectionPool", now: float) -> int:
        """Return how many connections a pool may have, beside those of the others."""
        ...

    def make_room(self, pool: "ConnectionPool", now: float) -> None:
        """Close an idle connection of another pool if the limit is reached."""
        ...

    def can_replace(self, pool: "ConnectionPool") -> bool:
        """Return True if an idle connection of another pool can be closed for one."""
        ...

    def shrink(self, now: float) -> None:
        """Close idle connections beyond the limit, also as they are released."""
        ...

    def pass_on_room(self, pool: "ConnectionPool") -> bool:
        """Let another pool that waits open a connection; return True if one does."""
        ...


class ConnectionPool:
    """One proxy's pool of connections to one database, for one organisation.

    Use it on a single event loop. A ledger tracks open, idle and acquired connections;
    a limit that is shared with the pools of other organisations decides how many may
    be open.
    """

    def __init__(
        self,
        connect: Connect,
        semaphore: AdmissionSemaphore,
        policy: ConnectionPoolPolicy,
        clock: Callable[[], float],
        shared: SharedLimit,
    ) -> None:
        """Create an empty pool; connections are opened on demand, as `shared` allows.

        `clock` dates their openings.
        """
        self._connect = connect
        self._clock = clock
        self._shared = shared
        self._limit = shared.limit
        ledger_policy = ConnectionLedgerPolicy(
            minimum=policy.min_idle, spare=0, idle_seconds=policy.idle_seconds
        )
        self._ledger = ConnectionLedger(ledger_policy, policy.max_connections)
        self._connections: dict[int, PooledConnection] = {}
        self._waiting: list[asyncio.Future[PooledConnection | None]] = []
        self._is_closed = False
        self.semaphore = semaphore

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return self._ledger.held

    @property
    def in_use(self) -> int:
        """Return the number of connections that are acquired."""
        return self._ledger.in_use

    @property
    def has_idle(self) -> bool:
        """Return True if a connection can be acquired at once."""
        return self._ledger.idle > 0

    @property
    def idle_since(self) -> float | None:
        """Return since when the connection that is idle for longest is, or None."""
        return self._ledger.idle_since

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a connection of this pool."""
        return sum(not each.done() for each in self._waiting)

    @property
    def all_waiting(self) -> int:
        """Return how many statements wait, of all pools that share the limit."""
        return self._shared.waiting

    @property
    def is_unused(self) -> bool:
        """Return True if there is no connection and nobody waits for one."""
        return not self._ledger.held and not self._waiting

    def supply(self, now: float) -> ConnectionSupply:
        """Estimate how soon a connection can be acquired, without acquiring one."""
        if self._ledger.idle:
            return ConnectionSupply.IDLE
        return (
            ConnectionSupply.SCARCE
            if self._limit.is_scarce(now)
            else ConnectionSupply.OPENING
        )

    def acquire_idle(self, values: Mapping[str, str]) -> PooledConnection | None:
        """Acquire an idle connection, preferring one that has `values`, or None."""
        while (serial := self._ledger.acquire(self._preferred(values))) is not None:
            pooled = self._connections[serial]
            if pooled.is_open:
                return pooled
            self._remove(pooled)
        return None

    async def acquire(
        self, values: Mapping[str, str], wait_seconds: float
    ) -> PooledConnection:
        """Acquire a connection, preferring an idle one that already has `values` set.

        Open a connection if none is idle and the limit allows it; otherwise wait for
        one to be released. Raise `NotSentError` if none is available within
        `wait_seconds`, or at once if opening one fails or is paused. If the reason is
        the database's connection cap, a release is awaited instead while connections
        of this pool are acquired.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while True:
            found = self.acquire_idle(values)
            if found is not None:
                return found
            is_paused = self._limit.is_paused(loop.time()) and (
                not self._shared.can_replace(self)
            )
            serial = None if is_paused else self._reserve_serial(loop.time())
            if serial is not None:
                opened = await self._try_open(serial, deadline - loop.time())
                if opened is not None:
                    return opened
            if is_paused and not self._shared.in_use:
                reason = "all connections of the database are in use"
                raise NoCapacityError(Code.CONNECTION_LIMIT, reason)
            handed_over = await self._wait(max(0.0, deadline - loop.time()))
            if handed_over is not None:
                return handed_over

    async def acquire_for_command(self) -> PooledConnection:
        """Acquire an idle connection, or open one at once, also beyond the limit.

        Status queries and commands must not wait for callers' statements. A connection
        beyond the limit is closed when it is released. Raise `NotSentError` if the
        database cannot be reached or refuses the connection.
        """
        found = self.acquire_idle({})
        if found is not None:
            return found
        serial = self._ledger.begin_opening_one()
        if serial is None:
            return PooledConnection(await self._connect(), self._clock())
        return await self._open(serial, None)

    def release(self, pooled: PooledConnection) -> None:
        """Return a connection to the pool, or remove it if it has broken.

        Releasing a connection that was removed before has no effect.
        """
        if pooled.serial not in self._connections:
            # It was opened beyond the limit, or it broke and was discarded.
            pooled.close()
            return
        if self._is_closed:
            pooled.close()
        if not pooled.is_open:
            self._remove(pooled)
            self._pass_on_room()
            return
        pooled.forget_large_state()
        if self._notify_waiter(pooled):
            return
        now = asyncio.get_running_loop().time()
        is_wanted = self._shared.size >= self._limit.max_open(now) and (
            self._shared.pass_on_room(self)
        )
        if not self._ledger.release(pooled.serial, now, is_clean=not is_wanted):
            self._close_connections((pooled.serial,))

    def discard(self, pooled: PooledConnection) -> None:
        """Close an acquired connection whose state is unknown, and remove it."""
        pooled.close()
        self.release(pooled)

    def close_idle(self, now: float, keeps_minimum: bool = True) -> None:
        """Close connections that exceeded the idle time.

        As many as the policy's minimum stay open, unless `keeps_minimum` is False.
        """
        self._close_connections(self._ledger.evict(now, keeps_minimum))

    def close_longest_idle(self) -> None:
        """Close the connection that has been idle for longest, if there is one."""
        self._close_connections(self._ledger.evict_longest_idle())

    def fit_share(self, now: float) -> None:
        """Close connections beyond this pool's share, those in use when released."""
        self._close_connections(self._ledger.resize(self._shared.share_of(self, now)))

    def notify_room(self) -> bool:
        """Let the first waiter open a connection; return False if nobody waits."""
        return self._notify_waiter(None)

    def close(self) -> None:
        """Close idle connections now, and acquired ones when they are released."""
        self._is_closed = True
        self._close_connections(self._ledger.resize(0))

    def _preferred(self, values: Mapping[str, str]) -> tuple[int, ...]:
        """Return the idle connection with `values` that was opened first.

        Those opened later then stay idle and are closed: the longer a connection has
        stood, the more an answer on it shows.
        """
        same_values = (
            serial
            for serial in self._ledger.idle_serials
            if self._connections[serial].values == values
        )
        first = min(same_values, default=None)
        return () if first is None else (first,)

    def _reserve_serial(self, now: float) -> int | None:
        """Reserve a serial number for a new connection; return None at the limit."""
        self._shared.make_room(self, now)
        self.fit_share(now)
        return self._ledger.begin_opening_one()

    async def _try_open(
        self, serial: int, wait_seconds: float
    ) -> PooledConnection | None:
        """Open a connection; return None if the caller must wait for a release.

        A release is awaited if the database's cap is reached while connections of this
        pool are in use. If none is in use, the refusal is raised instead.
        """
        try:
            return await self._open(serial, wait_seconds)
        except NotSentError as error:
            if error.code is not Code.CONNECTION_LIMIT:
                raise
            self._record_cap_reached(asyncio.get_running_loop().time())
            if not self._shared.in_use:
                raise
            return None

    def _record_cap_reached(self, now: float) -> None:
        """Lower the limit, to leave connections to other proxies that share the cap."""
        self._limit.record_refusal(self._shared.size, now)
        self._shared.shrink(now)

    async def _open(self, serial: int, wait_seconds: float | None) -> PooledConnection:
        try:
            async with asyncio.timeout(wait_seconds):
                connection = await self._connect()
        except TimeoutError as error:
            self._cancel_opening(serial)
            raise NoCapacityError(
                Code.BUSY, "no connection became available in time"
            ) from error
        except BaseException:
            self._cancel_opening(serial)
            raise
        self._notify_waiter(None)
        pooled = PooledConnection(connection, self._clock(), serial)
        self._connections[serial] = pooled
        self._ledger.acquire_opened(serial)
        return pooled

    def _cancel_opening(self, serial: int) -> None:
        self._ledger.cancel_opening(serial)
        self._pass_on_room()

    async def _wait(self, wait_seconds: float) -> PooledConnection | None:
        loop = asyncio.get_running_loop()
        handed_over: asyncio.Future[PooledConnection | None] = loop.create_future()
        self._waiting.append(handed_over)
        try:
            await asyncio.wait((handed_over,), timeout=wait_seconds)
        except asyncio.CancelledError:
            self._stop_waiting(handed_over)
            raise
        if not handed_over.done():
            self._stop_waiting(handed_over)
            raise NoCapacityError(Code.BUSY, "no connection became available in time")
        return handed_over.result()

    def _stop_waiting(
        self, handed_over: asyncio.Future[PooledConnection | None]
    ) -> None:
        """Stop waiting, and pass on a connection or room that was given meanwhile."""
        if not handed_over.done():
            handed_over.cancel()
            return
        pooled = handed_over.result()
        if pooled is not None:
            self.release(pooled)
        else:
            self._pass_on_room()

    def _notify_waiter(self, pooled: PooledConnection | None) -> bool:
        """Hand a connection to the first waiter; with None, make it try again.

        Return False if nobody waits.
        """
        while self._waiting:
            waiter = self._waiting.pop(0)
            if not waiter.done():
                waiter.set_result(pooled)
                return True
        return False

    def _pass_on_room(self) -> None:
        """Let a waiter of this pool, or else of another one, open a connection."""
        if not self._notify_waiter(None):
            self._shared.pass_on_room(self)

    def _remove(self, pooled: PooledConnection) -> None:
        """Remove a closed connection from the ledger and the pool."""
        now = asyncio.get_running_loop().time()
        self._ledger.release(pooled.serial, now, is_clean=False)
        self._ledger.record_closed(pooled.serial)
        del self._connections[pooled.serial]

    def _close_connections(self, serials: Iterable[int]) -> None:
        """Close idle connections that the ledger selected for closing."""
        for serial in serials:
            self._connections.pop(serial).close()
            self._ledger.record_closed(serial)
