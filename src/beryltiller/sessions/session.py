"""The state of a caller's session: values, prepared statements, transaction."""

import asyncio
from dataclasses import dataclass, field

from beryltiller.core.position import Position
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import PooledConnection
from beryltiller.sessions.databases.catalog import Route
from beryltiller.sessions.databases.member import NEVER
from beryltiller.sessions.databases.placement import (
    Placement,
    ReadRequirement,
    read_requirement,
)
from beryltiller.sessions.organisations import NO_ORGANISATION, Credential
from beryltiller.sessions.serving.memory_budget import (
    Excess,
    MemoryAccount,
    MemoryBudget,
    text_bytes,
)
from beryltiller.sessions.statements import (
    PROXY_SIGNATURE,
    Code,
    Deallocate,
    Execute,
    Prepare,
    Reply,
    SessionState,
    SetValue,
    Statement,
    Write,
)

# The purpose of the memory that values and prepared statements take.
STATE_PURPOSE = "session state"
MAX_VALUES = 256
MAX_PREPARED = 1024
_TOO_MUCH_STATE = {
    Excess.ACCOUNT: (
        Code.FAILED,
        "the values and prepared statements of the session take too much memory",
    ),
    Excess.PROXY: (Code.BUSY, "the proxy has no memory left for sessions' state"),
}


@dataclass(slots=True)
class AcquiredConnection:
    """A connection acquired for a statement or a transaction, and its pool.

    `placement` names the database and the log position required of it. `asked_at` is
    when the last statement was sent.
    """

    connection: PooledConnection
    pool: ConnectionPool
    placement: Placement
    asked_at: float = NEVER


@dataclass(frozen=True, slots=True)
class RemoteTransaction:
    """A transaction that a peer runs: its address, and this proxy's number for it."""

    address: str
    number: int


@dataclass(slots=True)
class Transaction:
    """An open transaction; it acquires a connection with its first statement.

    `requirement` is what the route requires of the database's log. One that is
    `remote` has no connection here. It has held a connection to the database
    `held_database` since `held_since`, and has sent `statements` on it. `was_too_long`
    is True once it was rolled back for having held the connection for too long.
    `admitted_at` is when the quota of its organisation admitted it.
    """

    route: Route
    is_read_only: bool
    requirement: ReadRequirement
    begun_at: float
    organisation: str = NO_ORGANISATION
    has_written: bool = False
    acquired: AcquiredConnection | None = None
    remote: RemoteTransaction | None = None
    held_since: float = NEVER
    held_database: str = ""
    statements: int = 0
    is_running: bool = False
    was_too_long: bool = False
    admitted_at: float = NEVER

    @property
    def has_started(self) -> bool:
        """Return True if a statement of it was sent to a database or a peer."""
        is_open = self.acquired is not None or self.remote is not None
        return is_open or self.was_too_long


def _account_of_its_own() -> MemoryAccount:
    return MemoryAccount(MemoryBudget(STATE_PURPOSE))


@dataclass(slots=True)
class Session:
    """The session of one open caller connection.

    `organisation` names that of the caller, whose key `credential` was made from; both
    were checked against the configuration of `checked_version`.
    `account` counts the memory that its values and prepared statements take.
    `committed` maps a service to the log position of the session's last commit there,
    and `unplaced_commits` to when the last one without a position was acknowledged.
    `position` is the log position of the last reply that had one. `waiting` is the
    scope of a wait for admission, which ends if the session `is_abandoned`.
    """

    database_name: str
    organisation: str = NO_ORGANISATION
    credential: Credential | None = None
    checked_version: int | None = None
    state: SessionState = SessionState.IDLE
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Prepare] = field(default_factory=dict)
    committed: dict[str, Position] = field(default_factory=dict)
    unplaced_commits: dict[str, float] = field(default_factory=dict)
    transaction: Transaction | None = None
    position: Position | None = None
    account: MemoryAccount = field(default_factory=_account_of_its_own)
    is_abandoned: bool = False
    waiting: asyncio.Timeout | None = None

    def abandon(self) -> None:
        """Take a statement that was not sent yet out of the queue it waits in.

        Call it once the caller has disconnected; no further statement is sent.
        """
        if not self.is_abandoned and self.waiting is not None:
            self.waiting.reschedule(asyncio.get_running_loop().time())
        self.is_abandoned = True

    def refuse(self, code: Code, text: str) -> Reply:
        """Return a refusal that leaves the session's state as it is."""
        return Reply(self.state, code=code, text=text, position=self.position)

    def accept(self) -> Reply:
        """Return a success reply for a statement that needs no database."""
        return Reply(self.state, signature=PROXY_SIGNATURE, position=self.position)

    def apply_locally(self, statement: SetValue | Prepare | Deallocate) -> Reply:
        """Apply a statement that changes only the session, not a database."""
        match statement:
            case SetValue():
                return self._set_value(statement)
            case Prepare():
                return self._prepare(statement)
            case Deallocate(name):
                removed = self.prepared.pop(name, None)
                if removed is None:
                    return self.refuse(Code.NO_SUCH_STATEMENT, name)
                self.account.change(-_prepare_bytes(removed))
        return self.accept()

    def clear_state(self) -> None:
        """Forget values and prepared statements, as the session ends."""
        self.values.clear()
        self.prepared.clear()
        self.account.clear()

    def is_write(self, statement: Statement) -> bool:
        """Return True if a statement, prepared or not, writes."""
        match statement:
            case Write():
                return True
            case Execute(name):
                return self.prepared[name].is_write
            case _:
                return False

    def read_requirement(self, route: Route, arrived_at: float) -> ReadRequirement:
        """Return what a read of the session that arrived at `arrived_at` requires."""
        return read_requirement(
            route,
            arrived_at,
            self.committed.get(route.service),
            self.unplaced_commits.get(route.service, NEVER),
        )

    def record_commit(
        self, service: str, position: Position | None, now: float
    ) -> None:
        """Record the position of a commit, unless a later one is known.

        A commit that was answered without a position is recorded with the time `now`.
        """
        if position is None:
            self.unplaced_commits[service] = now
            return
        last = self.committed.get(service)
        if last is None or position > last:
            self.committed[service] = position

    def _set_value(self, statement: SetValue) -> Reply:
        name, value = statement.name, statement.value
        former = self.values.get(name)
        if former is None and len(self.values) >= MAX_VALUES:
            reason = f"a session has at most {MAX_VALUES} values"
            return self.refuse(Code.FAILED, reason)
        freed = 0 if former is None else text_bytes(name, former)
        excess = self.account.change(text_bytes(name, value) - freed)
        if excess is not None:
            return self.refuse(*_TOO_MUCH_STATE[excess])
        self.values[name] = value
        return self.accept()

    def _prepare(self, statement: Prepare) -> Reply:
        former = self.prepared.get(statement.name)
        if former is None and len(self.prepared) >= MAX_PREPARED:
            reason = f"a session has at most {MAX_PREPARED} prepared statements"
            return self.refuse(Code.FAILED, reason)
        freed = 0 if former is None else _prepare_bytes(former)
        excess = self.account.change(_prepare_bytes(statement) - freed)
        if excess is not None:
            return self.refuse(*_TOO_MUCH_STATE[excess])
        self.prepared[statement.name] = statement
        return self.accept()


def _prepare_bytes(prepare: Prepare) -> int:
    return text_bytes(prepare.name, prepare.shape)
