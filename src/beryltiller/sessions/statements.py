"""Statements of a session, and the replies of databases and proxies to them.

A session is one open connection of a caller. Each statement is a frozen data class,
dispatched by `match`.
"""

from dataclasses import dataclass, field
from enum import Enum, unique

from beryltiller.core.position import Position


@dataclass(frozen=True, slots=True)
class Begin:
    """The start of a transaction; a read-only one may run on a replica."""

    is_read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """A commit of the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """A rollback of the open transaction."""


@dataclass(frozen=True, slots=True)
class Read:
    """A read of one item."""

    item: str


@dataclass(frozen=True, slots=True)
class Write:
    """A write of one item."""

    item: str
    data: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """An assignment to a named value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """The preparation of a statement under a name local to the session.

    `shape` describes the statement; the proxy passes it on unchanged.
    """

    name: str
    is_write: bool
    shape: str


@dataclass(frozen=True, slots=True)
class Execute:
    """The execution of a prepared statement; `arguments` is passed on unchanged."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """The removal of a prepared statement."""

    name: str


@dataclass(frozen=True, slots=True)
class Reset:
    """The proxy's command to clear a connection's values and prepared statements."""


@dataclass(frozen=True, slots=True)
class AskStatus:
    """The proxy's request for a database's role, term, position and fence."""


@dataclass(frozen=True, slots=True)
class Fence:
    """The proxy's command to a replica to receive no entries of terms below `term`."""

    term: int


@dataclass(frozen=True, slots=True)
class Unfence:
    """The proxy's command to a fenced replica to receive entries again."""


@dataclass(frozen=True, slots=True)
class StepDown:
    """The proxy's command to a primary of a term below `term` to become a replica."""

    term: int


NO_POSITION = Position(0, 0)

CallerStatement = (
    Begin | Commit | Rollback | Read | Write | SetValue | Prepare | Execute | Deallocate
)
ProxyCommand = Reset | AskStatus | Fence | Unfence | StepDown
Statement = CallerStatement | ProxyCommand


@unique
class SessionState(Enum):
    """The transaction state of a session.

    FAILED means that its transaction failed and must be ended by the caller.
    """

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@unique
class Code(Enum):
    """The reason why a statement has no result.

    Codes with `promises_no_effect` assure the caller that no effect of the operation
    is kept.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    WRONG_DATABASE = "wrong database"
    CONNECTION_LIMIT = "connection limit"
    UNKNOWN_OUTCOME = "unknown outcome"
    TIMEOUT = "timeout"
    FAILED = "failed"
    MALFORMED = "malformed"
    NO_SUCH_STATEMENT = "no such statement"
    NO_ROUTE = "no route"
    DENIED = "denied"

    @property
    def promises_no_effect(self) -> bool:
        """Return True if no effect of the operation is kept."""
        return self in _NO_EFFECT_CODES

    @property
    def has_not_run(self) -> bool:
        """Return True if a database that replies so has not run the statement."""
        return self in _NOT_RUN_CODES


_NOT_RUN_CODES = frozenset(
    {
        Code.BUSY,
        Code.NO_SUCH_STATEMENT,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.MALFORMED,
        Code.WRONG_DATABASE,
        Code.CONNECTION_LIMIT,
    }
)
_NO_EFFECT_CODES = frozenset(
    {
        Code.BUSY,
        Code.ABORTED,
        Code.LAGGING,
        Code.READ_ONLY,
        Code.WRONG_DATABASE,
        Code.CONNECTION_LIMIT,
    }
)


@dataclass(frozen=True, slots=True)
class Request:
    """A statement to be sent to a database.

    `identifier` is the one that the caller chose, or empty for the proxy's commands.
    A database whose log does not reach `since` refuses with `LAGGING`.
    """

    statement: Statement
    identifier: str = ""
    since: Position | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """The reply of a database or of the proxy to one statement.

    Exactly one of `signature` and `code` is set: the signature of a success, or the
    reason of a failure. `position` is the end of the database's log, if known.
    """

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    code: Code | None = None
    text: str = ""
    position: Position | None = None

    @property
    def is_success(self) -> bool:
        """Return True if the statement succeeded."""
        return self.code is None


@dataclass(frozen=True, slots=True)
class DatabaseStatus:
    """A database's report of its state.

    `received` is the end of its log, or `NO_POSITION` if the log is empty or its end is
    not known. `fenced_term` is 0 if it is not fenced. `connected_at` is when the
    connection that it was answered on had been opened: it is of a process that ran
    then.
    """

    is_primary: bool
    term: int
    received: Position
    fenced_term: int
    connected_at: float = field(default=float("-inf"), compare=False)


# The signature of a success that the proxy replies without asking a database.
PROXY_SIGNATURE = "-"
