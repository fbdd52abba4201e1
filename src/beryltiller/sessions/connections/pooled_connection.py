"""A connection to a database that sessions use one after the other.

The connection keeps the values of the session that used it last, and all statements
prepared on it. Before it serves another session, the proxy sends statements that set up
that session's state.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Protocol

from beryltiller.sessions.connections.prepared_names import PreparedNames
from beryltiller.sessions.errors import SetUpRefusedError, StatementLostError
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    DatabaseStatus,
    Deallocate,
    Execute,
    Prepare,
    ProxyCommand,
    Reply,
    Request,
    Reset,
    Rollback,
    SessionState,
    SetValue,
    Statement,
)

# The names and values that a connection keeps while no session uses it.
MAX_IDLE_VALUE_CHARACTERS = 64 * 1024


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

    async def is_primary(self) -> bool:
        """Return True if the database accepts transactions that write.

        It runs no statement and takes no slot. Raise `NotSentError` if the database
        refuses to answer and `BrokenError` if it does not answer.
        """
        ...

    def close(self) -> None:
        """Close the connection; the database rolls back its open transaction."""
        ...


class PooledConnection:
    """A pooled database connection with the session state last set on it.

    `values` are the session values set at the database, or None if they are unknown.
    `opened_at` is when it had been opened: the database's process has been the same
    since then.
    """

    def __init__(
        self, connection: DatabaseConnection, opened_at: float, serial: int = 0
    ) -> None:
        """Wrap a new connection; `serial` identifies it in the pool's ledger."""
        self._connection = connection
        self._values: dict[str, str] | None = {}
        self._names = PreparedNames()
        self._was_set_up_since_begin = False
        self._is_setting_up = False
        self.opened_at = opened_at
        self.serial = serial

    @property
    def is_open(self) -> bool:
        """Return True if statements can still be sent."""
        return self._connection.is_open

    @property
    def values(self) -> Mapping[str, str] | None:
        """Return the session values set at the database, or None if unknown."""
        return self._values

    @property
    def is_setting_up(self) -> bool:
        """Return True if a set-up was sent that is not answered.

        The statement behind it is not sent then, also if the connection breaks.
        """
        return self._is_setting_up

    @property
    def shape_bytes(self) -> int:
        """Return the size in bytes of the shapes that are known to be prepared."""
        return self._names.shape_bytes

    async def run(
        self,
        request: Request,
        values: Mapping[str, str],
        prepared: Mapping[str, Prepare],
    ) -> Reply:
        """Run a statement with the session's values and prepared statements.

        If the connection lacks any of these, they are set up first. If the database
        refuses that, `SetUpRefusedError` is raised: the statement has not run. The
        connection is closed then unless it is idle and a reset makes it usable. Nor has
        the statement run if the database has lost a prepared statement, for which
        `StatementLostError` is raised.
        """
        before = (len(self._values or ()), len(self._names))
        setup = self._setup_requests(values)
        statement, prepares = self._named(request.statement, prepared)
        setup += prepares
        last = Request(statement, request.identifier, request.since)
        known, self._values = self._values, None
        reply = await self._send_after(setup, last, before)
        self._values = dict(values) if setup or known is None else known
        self._record_reply(request.statement, bool(setup), reply)
        return reply

    async def roll_back(self) -> Reply:
        """Roll back the open transaction.

        A database may undo values and prepared statements with it, so those that were
        set up in the transaction are set up again.
        """
        (reply,) = await self._connection.send_requests((Request(Rollback()),))
        if self._was_set_up_since_begin:
            self._forget()
        return reply

    async def send_requests(self, requests: Sequence[Request]) -> list[Reply]:
        """Run statements that do not depend on session state."""
        return await self._connection.send_requests(requests)

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        """Run a status query, or a command that changes the database's role."""
        status = await self._connection.command(statement)
        return replace(status, connected_at=self.opened_at)

    async def is_primary(self) -> bool:
        """Return True if the database accepts transactions that write."""
        return await self._connection.is_primary()

    def close(self) -> None:
        """Close the connection; the database rolls back its open transaction."""
        self._connection.close()

    def forget_large_state(self) -> None:
        """Forget what the last session set if it takes much memory.

        The connection is reset before it is used with a session's state again. Call
        this when no transaction is open.
        """
        values = self._values or {}
        size = sum(len(name) + len(value) for name, value in values.items())
        if size > MAX_IDLE_VALUE_CHARACTERS or self._names.has_long_shape:
            self._forget()

    def _forget(self) -> None:
        self._values = None
        self._names.clear()

    def _record_reply(
        self, statement: Statement, was_set_up: bool, reply: Reply
    ) -> None:
        match statement:
            case Begin():
                self._was_set_up_since_begin = False
                return
            case Commit() if reply.code is not None:
                # A transaction that stays open is committed again or rolled back.
                if reply.state is SessionState.IDLE:
                    self._forget()
            case Execute() if reply.code is Code.NO_SUCH_STATEMENT:
                self._connection.close()
                raise StatementLostError
        self._was_set_up_since_begin |= was_set_up

    async def _send_after(
        self, setup: list[Request], request: Request, before: tuple[int, int]
    ) -> Reply:
        """Send a statement once its set-up has succeeded.

        Behind a set-up that is refused, it would run with the state of another session.
        A begin does no work and is sent at once; its transaction ends with the
        connection.
        """
        if not setup:
            (reply,) = await self._connection.send_requests((request,))
            return reply
        if isinstance(request.statement, Begin):
            *replies, reply = await self._connection.send_requests((*setup, request))
            self._check_setup(setup, replies, before, is_begin=True)
            return reply
        self._is_setting_up = True
        replies = await self._connection.send_requests(setup)
        self._is_setting_up = False
        self._check_setup(setup, replies, before)
        (reply,) = await self._connection.send_requests((request,))
        return reply

    def _check_setup(
        self,
        setup: list[Request],
        replies: list[Reply],
        before: tuple[int, int],
        is_begin: bool = False,
    ) -> None:
        for sent, reply in zip(setup, replies, strict=True):
            if reply.code is not None:
                self._keep_or_close(sent.statement, replies, is_begin)
                kind = type(sent.statement).__name__
                raise SetUpRefusedError(kind, reply.code, *before)

    def _keep_or_close(
        self, refused: Statement, replies: list[Reply], is_begin: bool
    ) -> None:
        """Keep a connection that a reset makes usable, or close it.

        One caller could otherwise end the connections that all share, with each
        statement.
        """
        is_idle = all(reply.state is SessionState.IDLE for reply in replies)
        if is_begin or not is_idle or not isinstance(refused, SetValue | Prepare):
            self._connection.close()
        self._forget()

    def _setup_requests(self, values: Mapping[str, str]) -> list[Request]:
        setup: list[Request] = []
        if self._values is None or self._values.keys() - values.keys():
            setup.append(Request(Reset()))
            self._names.clear()
            known: Mapping[str, str] = {}
        else:
            known = self._values
        for name, value in values.items():
            if known.get(name) != value:
                setup.append(Request(SetValue(name, value)))
        return setup

    def _named(
        self, statement: Statement, prepared: Mapping[str, Prepare]
    ) -> tuple[Statement, list[Request]]:
        """Return a statement as the database knows it, and what prepares it there."""
        if not isinstance(statement, Execute):
            return statement, []
        prepare = prepared[statement.name]
        use = self._names.use(prepare)
        requests = [Request(Deallocate(name)) for name in use.removed]
        if use.is_new:
            named = Prepare(use.name, prepare.is_write, prepare.shape)
            requests.append(Request(named))
        return Execute(use.name, statement.arguments), requests
