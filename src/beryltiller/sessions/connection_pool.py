"""A pool of connections to one database, shared by the sessions of a proxy.

A session acquires a connection for one statement or one transaction. The connection
keeps the values of the session that used it last, and all statements prepared on it.
Before it serves another session, the proxy sends statements that set up that session's
state; they are sent in one batch with the caller's statement.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Protocol

from beryltiller.admission.ledgers import ConnectionLedger, ConnectionLedgerPolicy
from beryltiller.sessions.connection_limits import (
    ConnectionLimit,
    ConnectionPoolPolicy,
    ConnectionSupply,
)
from beryltiller.sessions.errors import BrokenError, NoCapacityError, NotSentError
from beryltiller.sessions.priority_semaphore import PrioritySemaphore
from beryltiller.sessions.statements import (
    Code,
    DatabaseStatus,
    Execute,
    Prepare,
    ProxyCommand,
    Reply,
    Request,
    Reset,
    SetValue,
    Statement,
)


class DatabaseConnection(Protocol):
    """An open network connection to one database."""

    @property
    def is_open(self) -> bool:
        """Return True if statements can still be sent."""
        ...

    async def send_requests(self, requests: Sequence[Request]) -> list[Reply]:
        """Send all requests in one batch and return their replies in order.

        Raise `BrokenError` if the connection breaks before the last reply.
        """
        ...

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        """Run a status query, or a command that changes the database's role.

        Raise `NotSentError` if the database refuses the statement and `BrokenError`
        if it does not answer.
        """
        ...

    def close(self) -> None:
        """Close the connection; the database rolls back its open transaction."""
        ...


Connect = Callable[[], Awaitable[DatabaseConnection]]


class PooledConnection:
    """A pooled database connection with the session state last set on it.

    `values` are the session values set at the database, or None if they are unknown.
    """

    def __init__(self, connection: DatabaseConnection, serial: int = 0) -> None:
        """Wrap a new connection; `serial` identifies it in the pool's ledger."""
        self._connection = connection
        self._values: dict[str, str] | None = {}
        self._prepared: set[str] = set()
        self.serial = serial

    @property
    def is_open(self) -> bool:
        """Return True if statements can still be sent."""
        return self._connection.is_open

    @property
    def values(self) -> Mapping[str, str] | None:
        """Return the session values set at the database, or None if unknown."""
        return self._values

    async def run(
        self,
        request: Request,
        values: Mapping[str, str],
        prepared: Mapping[str, Prepare],
    ) -> Reply:
        """Run a statement with the session's values and prepared statements.

        If the connection lacks any of these, the statements that set them up are sent
        before it in the same batch. If one of them fails, the connection is closed and
        `BrokenError` is raised.
        """
        setup = self._setup_requests(values, prepared, request.statement)
        known, self._values = self._values, None
        replies = await self._connection.send_requests(
            (*setup, self._with_shared_name(request, prepared))
        )
        if not all(reply.is_success for reply in replies[:-1]):
            self._connection.close()
            raise BrokenError("the session state could not be set up on the connection")
        self._values = dict(values) if setup or known is None else known
        return replies[-1]

    async def send_requests(self, requests: Sequence[Request]) -> list[Reply]:
        """Run statements that do not depend on session state."""
        return await self._connection.send_requests(requests)

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        """Run a status query, or a command that changes the database's role."""
        return await self._connection.command(statement)

    def close(self) -> None:
        """Close the connection; the database rolls back its open transaction."""
        self._connection.close()

    def _setup_requests(
        self,
        values: Mapping[str, str],
        prepared: Mapping[str, Prepare],
        statement: Statement,
    ) -> list[Request]:
        setup: list[Request] = []
        if self._values is None or self._values.keys() - values.keys():
            setup.append(Request(Reset()))
            self._prepared.clear()
            known: Mapping[str, str] = {}
        else:
            known = self._values
        for name, value in values.items():
            if known.get(name) != value:
                setup.append(Request(SetValue(name, value)))
        if isinstance(statement, Execute):
            setup += self._prepare_request(prepared[statement.name])
        return setup

    def _prepare_request(self, prepare: Prepare) -> list[Request]:
        name = shared_name(prepare)
        if name in self._prepared:
            return []
        self._prepared.add(name)
        return [Request(Prepare(name, prepare.is_write, prepare.shape))]

    def _with_shared_name(
        self, request: Request, prepared: Mapping[str, Prepare]
    ) -> Request:
        match request.statement:
            case Execute(name, arguments):
                shared = shared_name(prepared[name])
                statement = Execute(shared, arguments)
                return Request(statement, request.identifier, request.since)
            case _:
                return request


def shared_name(prepare: Prepare) -> str:
    """Return the name under which a statement is prepared at the database.

    The name depends only on the statement's kind and shape. All sessions that use a
    connection share it, so names chosen by callers cannot collide.

    >>> shared_name(Prepare("s1", True, "q2c"))
    'w-q2c'
    """
    return f"{'w' if prepare.is_write else 'r'}-{prepare.shape}"


class ConnectionPool:
    """One proxy's pool of connections to one database.

    Use it on a single event loop. A ledger tracks open, idle and acquired connections;
    a `ConnectionLimit` decides how many may be open.
    """

    def __init__(
        self,
        connect: Connect,
        semaphore: PrioritySemaphore,
        policy: ConnectionPoolPolicy,
    ) -> None:
        """Create an empty pool; connections are opened on demand."""
        self._connect = connect
        self._limit = ConnectionLimit(policy)
        ledger_policy = ConnectionLedgerPolicy(
            minimum=1, spare=0, idle_seconds=policy.idle_seconds
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

    def supply(self, now: float) -> ConnectionSupply:
        """Estimate how soon a connection can be acquired, without acquiring one."""
        if self._ledger.idle:
            return ConnectionSupply.IDLE
        return (
            ConnectionSupply.SCARCE
            if self._limit.is_scarce(now)
            else ConnectionSupply.OPENING
        )

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
            found = self._take_idle(values)
            if found is not None:
                return found
            is_paused = self._limit.is_paused(loop.time())
            serial = None if is_paused else self._reserve_serial(loop.time())
            if serial is not None:
                opened = await self._try_open(serial, deadline - loop.time())
                if opened is not None:
                    return opened
            if is_paused and not self.in_use:
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
        found = self._take_idle({})
        if found is not None:
            return found
        serial = self._ledger.begin_opening_one()
        if serial is None:
            return PooledConnection(await self._connect())
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
            self._notify_waiter(None)
            return
        if self._notify_waiter(pooled):
            return
        now = asyncio.get_running_loop().time()
        if not self._ledger.release(pooled.serial, now, is_clean=True):
            self._close_connections((pooled.serial,))

    def discard(self, pooled: PooledConnection) -> None:
        """Close an acquired connection whose state is unknown, and remove it."""
        pooled.close()
        self.release(pooled)

    def close_idle(self, now: float) -> None:
        """Close connections that exceeded the idle time, but keep at least one."""
        self._close_connections(self._ledger.evict(now))

    def close(self) -> None:
        """Close idle connections now, and acquired ones when they are released."""
        self._is_closed = True
        self._close_connections(self._ledger.resize(0))

    def _take_idle(self, values: Mapping[str, str]) -> PooledConnection | None:
        if not self._ledger.idle:
            return None
        same_values = {
            serial
            for serial, pooled in self._connections.items()
            if pooled.values == values
        }
        while (serial := self._ledger.acquire(same_values)) is not None:
            pooled = self._connections[serial]
            if pooled.is_open:
                return pooled
            self._remove(pooled)
        return None

    def _reserve_serial(self, now: float) -> int | None:
        """Reserve a serial number for a new connection; return None at the limit."""
        self._close_connections(self._ledger.resize(self._limit.max_open(now)))
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
            if not self.in_use:
                raise
            return None

    def _record_cap_reached(self, now: float) -> None:
        """Lower the limit, to leave connections to other proxies that share the cap."""
        self._limit.record_refusal(self.size, now)
        self._close_connections(self._ledger.resize(self._limit.max_open(now)))

    async def _open(self, serial: int, wait_seconds: float | None) -> PooledConnection:
        try:
            async with asyncio.timeout(wait_seconds):
                connection = await self._connect()
        except TimeoutError as error:
            self._ledger.cancel_opening(serial)
            raise NoCapacityError(
                Code.BUSY, "no connection became available in time"
            ) from error
        except BaseException:
            self._ledger.cancel_opening(serial)
            raise
        finally:
            self._notify_waiter(None)
        pooled = self._connections[serial] = PooledConnection(connection, serial)
        self._ledger.acquire_opened(serial)
        return pooled

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
        """Stop waiting, and release a connection that was handed over meanwhile."""
        pooled = handed_over.result() if handed_over.done() else None
        if not handed_over.done():
            handed_over.cancel()
        if pooled is not None:
            self.release(pooled)

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
