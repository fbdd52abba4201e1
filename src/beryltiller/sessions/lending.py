"""Lend connections to one database, each for a statement or a transaction.

A connection carries the values and prepared statements of the session that used it
last. Before it serves another session, statements of the proxy's own bring it into
that session's state; they travel together with the caller's statement.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Protocol

from beryltiller.admission.ledgers import ConnectionLedger, PoolPolicy
from beryltiller.sessions.errors import BrokenError, NotSentError
from beryltiller.sessions.gates import Gate
from beryltiller.sessions.limits import ConnectionLimit, LendingPolicy, Supply
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
    """A connection to one database."""

    @property
    def is_open(self) -> bool:
        """Tell whether statements can be sent."""
        ...

    async def ask(self, requests: Sequence[Request]) -> list[Reply]:
        """Send all requests at once and return their replies in order.

        Raise `BrokenError` when the connection breaks before the last reply.
        """
        ...

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        """Ask for the database's status, or change its place in the group.

        Raise `NotSentError` when it refuses, `BrokenError` when it does not answer.
        """
        ...

    def close(self) -> None:
        """Close the connection, which rolls back what is open."""
        ...


Connect = Callable[[], Awaitable[DatabaseConnection]]


class Lent:
    """A connection lent to one session, with the state that it carries.

    `values` are those that the database holds, or None when that is unknown.
    """

    def __init__(self, connection: DatabaseConnection, serial: int = 0) -> None:
        """Wrap a new connection; `serial` is its number in the lender's ledger."""
        self._connection = connection
        self._values: dict[str, str] | None = {}
        self._prepared: set[str] = set()
        self.serial = serial

    @property
    def is_open(self) -> bool:
        """Tell whether statements can be sent."""
        return self._connection.is_open

    @property
    def values(self) -> Mapping[str, str] | None:
        """Return the session values that the database holds."""
        return self._values

    async def run(
        self,
        request: Request,
        values: Mapping[str, str],
        prepared: Mapping[str, Prepare],
    ) -> Reply:
        """Run a statement in the session's state.

        Statements of the proxy's own that bring the connection into the state go
        first. If one of them fails, the connection breaks.
        """
        setup = self._setup(values, prepared, request.statement)
        known, self._values = self._values, None
        replies = await self._connection.ask((*setup, self._renamed(request, prepared)))
        if not all(reply.is_success for reply in replies[:-1]):
            self._connection.close()
            raise BrokenError("the connection could not be set up")
        self._values = dict(values) if setup or known is None else known
        return replies[-1]

    async def ask(self, requests: Sequence[Request]) -> list[Reply]:
        """Run statements that need no session state."""
        return await self._connection.ask(requests)

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        """Ask for the database's status, or change its place in the group."""
        return await self._connection.command(statement)

    def close(self) -> None:
        """Close the connection, which rolls back what is open."""
        self._connection.close()

    def _setup(
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
            setup += self._prepare(prepared[statement.name])
        return setup

    def _prepare(self, prepare: Prepare) -> list[Request]:
        name = shared_name(prepare)
        if name in self._prepared:
            return []
        self._prepared.add(name)
        return [Request(Prepare(name, prepare.is_write, prepare.shape))]

    def _renamed(self, request: Request, prepared: Mapping[str, Prepare]) -> Request:
        match request.statement:
            case Execute(name, arguments):
                shared = shared_name(prepared[name])
                statement = Execute(shared, arguments)
                return Request(statement, request.identifier, request.since)
            case _:
                return request


def shared_name(prepare: Prepare) -> str:
    """Return a name that stands for the prepared statement's shape alone.

    All sessions on a connection share it, so callers' names cannot collide.

    >>> shared_name(Prepare("s1", True, "q2c"))
    'w-q2c'
    """
    return f"{'w' if prepare.is_write else 'r'}-{prepare.shape}"


class Lender:
    """Own one proxy's connections to one database; on one event loop.

    The ledger accounts for them, and the limit says how many there may be.
    """

    def __init__(self, connect: Connect, gate: Gate, policy: LendingPolicy) -> None:
        """Open nothing yet."""
        self._connect = connect
        self._limit = ConnectionLimit(policy)
        pool = PoolPolicy(minimum=1, spare=0, idle_seconds=policy.idle_seconds)
        self._ledger = ConnectionLedger(pool, policy.max_connections)
        self._connections: dict[int, Lent] = {}
        self._waiting: list[asyncio.Future[Lent | None]] = []
        self._is_closed = False
        self.gate = gate

    @property
    def held(self) -> int:
        """Return how many connections are open or opening."""
        return self._ledger.held

    @property
    def lent(self) -> int:
        """Return how many connections are lent."""
        return self._ledger.in_use

    def supply(self, now: float) -> Supply:
        """Tell how soon a connection can be lent."""
        if self._ledger.idle:
            return Supply.IDLE
        return Supply.SCARCE if self._limit.is_scarce(now) else Supply.OPENING

    async def lend(self, values: Mapping[str, str], wait_seconds: float) -> Lent:
        """Lend a connection, best one in the session's state; open one if need be.

        Raise `NotSentError` when none can be had in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        while True:
            found = self._take_idle(values)
            if found is not None:
                return found
            is_full = self._limit.is_full(loop.time())
            serial = None if is_full else self._may_open(loop.time())
            if serial is not None:
                opened = await self._try_open(serial, deadline - loop.time())
                if opened is not None:
                    return opened
            if is_full and not self.lent:
                reason = "the database's connections are all taken"
                raise NotSentError(Code.CONNECTION_LIMIT, reason)
            given = await self._wait(max(0.0, deadline - loop.time()))
            if given is not None:
                return given

    def give_back(self, lent: Lent) -> None:
        """Take a connection back; one that broke is forgotten."""
        if lent.serial not in self._connections:
            # It broke under a statement and was dropped then.
            return
        if self._is_closed:
            lent.close()
        if not lent.is_open:
            self._forget(lent)
            self._wake(None)
            return
        if self._wake(lent):
            return
        now = asyncio.get_running_loop().time()
        if not self._ledger.give_back(lent.serial, now, is_clean=True):
            self._close((lent.serial,))

    def drop(self, lent: Lent) -> None:
        """Close a connection whose state is not known."""
        lent.close()
        self.give_back(lent)

    def close_idle(self, now: float) -> None:
        """Close connections that have been idle for long, but for one."""
        self._close(self._ledger.evict(now))

    def close(self) -> None:
        """Close what is idle now, and what is lent when it comes back."""
        self._is_closed = True
        self._close(self._ledger.resize(0))

    def _take_idle(self, values: Mapping[str, str]) -> Lent | None:
        if not self._ledger.idle:
            return None
        alike = {
            serial
            for serial, lent in self._connections.items()
            if lent.values == values
        }
        while (serial := self._ledger.lend(alike)) is not None:
            lent = self._connections[serial]
            if lent.is_open:
                return lent
            self._forget(lent)
        return None

    def _may_open(self, now: float) -> int | None:
        """Return the serial number of a connection that may be opened, or None."""
        self._close(self._ledger.resize(self._limit.at(now)))
        return self._ledger.open_one()

    async def _try_open(self, serial: int, wait_seconds: float) -> Lent | None:
        """Open a connection, or return None when one of those lent must be awaited."""
        try:
            return await self._open(serial, wait_seconds)
        except NotSentError as error:
            if error.code is not Code.CONNECTION_LIMIT:
                raise
            self._reached_cap(asyncio.get_running_loop().time())
            if not self.lent:
                raise
            return None

    def _reached_cap(self, now: float) -> None:
        """Leave room for proxies that have fewer, as the cap is shared by all."""
        self._limit.refused(self.held, now)
        self._close(self._ledger.resize(self._limit.at(now)))

    async def _open(self, serial: int, wait_seconds: float) -> Lent:
        try:
            async with asyncio.timeout(wait_seconds):
                connection = await self._connect()
        except TimeoutError as error:
            self._ledger.not_opened(serial)
            raise NotSentError(Code.BUSY, "no connection in time") from error
        except BaseException:
            self._ledger.not_opened(serial)
            raise
        finally:
            self._wake(None)
        lent = self._connections[serial] = Lent(connection, serial)
        self._ledger.lend_opened(serial)
        return lent

    async def _wait(self, wait_seconds: float) -> Lent | None:
        loop = asyncio.get_running_loop()
        given: asyncio.Future[Lent | None] = loop.create_future()
        self._waiting.append(given)
        try:
            await asyncio.wait((given,), timeout=wait_seconds)
        except asyncio.CancelledError:
            self._decline(given)
            raise
        if not given.done():
            self._decline(given)
            raise NotSentError(Code.BUSY, "no connection in time")
        return given.result()

    def _decline(self, given: asyncio.Future[Lent | None]) -> None:
        """Stop waiting; a connection that was given meanwhile goes back."""
        lent = given.result() if given.done() else None
        if not given.done():
            given.cancel()
        if lent is not None:
            self.give_back(lent)

    def _wake(self, lent: Lent | None) -> bool:
        """Give a connection to whoever waits first, or let it look again."""
        while self._waiting:
            waiter = self._waiting.pop(0)
            if not waiter.done():
                waiter.set_result(lent)
                return True
        return False

    def _forget(self, lent: Lent) -> None:
        """Strike a connection that is closed from the ledger."""
        now = asyncio.get_running_loop().time()
        self._ledger.give_back(lent.serial, now, is_clean=False)
        self._ledger.closed(lent.serial)
        del self._connections[lent.serial]

    def _close(self, serials: Iterable[int]) -> None:
        """Close connections that the ledger has given up."""
        for serial in serials:
            self._connections.pop(serial).close()
            self._ledger.closed(serial)
