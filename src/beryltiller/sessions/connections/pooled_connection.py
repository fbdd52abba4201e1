"""A connection to a database that sessions use one after the other.

The connection keeps the values of the session that used it last, and all statements
prepared on it. Before it serves another session, the proxy sends statements that set up
that session's state; they are sent in one batch with the caller's statement.
"""

from collections.abc import Mapping, Sequence
from dataclasses import replace
from typing import Protocol

from beryltiller.sessions.errors import SetUpRefusedError
from beryltiller.sessions.statements import (
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
        self._prepared: set[str] = set()
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

    async def run(
        self,
        request: Request,
        values: Mapping[str, str],
        prepared: Mapping[str, Prepare],
    ) -> Reply:
        """Run a statement with the session's values and prepared statements.

        If the connection lacks any of these, the statements that set them up are sent
        before it in the same batch. If one of them fails, the connection is closed and
        `SetUpRefusedError` is raised.
        """
        prepared_before = len(self._prepared)
        setup = self._setup_requests(values, prepared, request.statement)
        known, self._values = self._values, None
        replies = await self._connection.send_requests(
            (*setup, self._with_shared_name(request, prepared))
        )
        for sent, reply in zip(setup, replies, strict=False):
            if not reply.is_success:
                self._connection.close()
                kind = type(sent.statement).__name__
                raise SetUpRefusedError(
                    kind, reply.code, len(known or ()), prepared_before
                )
        self._values = dict(values) if setup or known is None else known
        return replies[-1]

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
