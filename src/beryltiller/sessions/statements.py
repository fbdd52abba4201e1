"""Statements of a session, and what a database or a proxy answers to them.

A session is one open connection of a caller. Each statement is a frozen data class;
`match` tells them apart.
"""

from dataclasses import dataclass
from enum import Enum, unique

from beryltiller.core.position import Position


@dataclass(frozen=True, slots=True)
class Begin:
    """Begin a transaction; a read-only one may run on a replica."""

    is_read_only: bool = False


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit the open transaction."""


@dataclass(frozen=True, slots=True)
class Rollback:
    """Undo the open transaction."""


@dataclass(frozen=True, slots=True)
class Read:
    """Read one item."""

    item: str


@dataclass(frozen=True, slots=True)
class Write:
    """Write one item."""

    item: str
    data: str


@dataclass(frozen=True, slots=True)
class SetValue:
    """Set a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class Prepare:
    """Prepare a statement of a shape under a name of the session."""

    name: str
    is_write: bool
    shape: str


@dataclass(frozen=True, slots=True)
class Execute:
    """Run a prepared statement; `arguments` is passed on as it came."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True)
class Deallocate:
    """Forget a prepared statement."""

    name: str


@dataclass(frozen=True, slots=True)
class Reset:
    """Clear a connection's values and prepared statements; never a caller's."""


@dataclass(frozen=True, slots=True)
class AskStatus:
    """Ask a database for its place in the group; never a caller's."""


@dataclass(frozen=True, slots=True)
class Fence:
    """Stop a replica from receiving in terms below `term`."""

    term: int


@dataclass(frozen=True, slots=True)
class Unfence:
    """Let a fenced replica receive again."""


@dataclass(frozen=True, slots=True)
class StepDown:
    """Make a primary of a term below `term` a replica."""

    term: int


CallerStatement = (
    Begin | Commit | Rollback | Read | Write | SetValue | Prepare | Execute | Deallocate
)
OwnStatement = Reset | AskStatus | Fence | Unfence | StepDown
Statement = CallerStatement | OwnStatement


@unique
class SessionState(Enum):
    """Tell whether a session is in a transaction, and whether that has failed."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@unique
class Code(Enum):
    """Tell why a statement has no result.

    `is_promise` codes tell the caller that nothing of the operation is kept.
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

    @property
    def is_promise(self) -> bool:
        """Tell whether the code promises that nothing is kept."""
        return self in _PROMISES

    @property
    def has_not_run(self) -> bool:
        """Tell whether a database that answers so has not run the statement."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
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
_PROMISES = frozenset(
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
    """Ask one statement of a database.

    `identifier` is the caller's own, and empty for statements of the proxy's own.
    A database whose log lacks `since` refuses with `LAGGING`.
    """

    statement: Statement
    identifier: str = ""
    since: Position | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer one statement, by a database or by the proxy.

    Exactly one of `signature` and `code` is given: the database's signature of a
    success, or why there is none. `position` is how far the database's log reached.
    """

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    code: Code | None = None
    text: str = ""
    position: Position | None = None

    @property
    def is_success(self) -> bool:
        """Tell whether the statement succeeded."""
        return self.code is None


@dataclass(frozen=True, slots=True)
class DatabaseStatus:
    """What a database says of itself; `fenced_term` is 0 when it is not fenced."""

    is_primary: bool
    term: int
    received: Position
    fenced_term: int
    lag_ms: int


OWN_SIGNATURE = "-"
