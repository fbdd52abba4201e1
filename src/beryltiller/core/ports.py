"""Ports: the interfaces through which beryltiller uses the platform and the endpoints.

Each port is a protocol class that adapters implement over HTTP. Modules with a function
`decide` do no I/O and never call a port: other modules call it, and pass the results to
them as events. Every failure is a `PortError`: `RefusedError` proves that the request
had no effect, and `LostAnswerError` means that it may have had one. `HistoryLostError`
is raised only by reads of a `TableFeed`.

An endpoint is a database, and the port `Endpoint` a client of it.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Protocol

from beryltiller.core.decoding import Count
from beryltiller.core.outcome import Kind
from beryltiller.core.position import ORIGIN, History, Position


class PortError(Exception):
    """A failed request to an external system."""


class RefusedError(PortError):
    """A request that is proved to have had no effect.

    `code` is the external system's code for the cause, such as `conflict` (of a row's
    version), `term` (the database is not the primary of the term), `behind` (its log
    is), `full` (of connections), or `unreachable`, which the client itself sets.
    """

    def __init__(self, code: str, reason: str = "") -> None:
        """Create an error with the system's code and an optional readable reason."""
        super().__init__(f"{code}: {reason}" if reason else code)
        self.code = code
        self.reason = reason


class LostAnswerError(PortError):
    """A request that was sent, and whose answer was lost or could not be read."""


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; `version` rises with every write to the row."""

    key: str
    version: Count
    value: bytes


@dataclass(frozen=True, slots=True)
class TableRows:
    """The result of reading a table: all rows or those changed.

    `revision` numbers the state of the table service that was read. Later commits have
    higher numbers, so that a reader can ask for the changes after it. `now_ms` is the
    time of that state by the service's steady clock, if it tells.
    """

    revision: int
    rows: tuple[Row, ...]
    now_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Write:
    """A write that applies only if the row's version is `expected`.

    With `expected` 0 it applies only if there is no row.
    """

    table: str
    key: str
    expected: int
    value: bytes


class TableService(Protocol):
    """A store of versioned rows with atomic transactions."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        ...

    async def scan(self, table: str, since: int = 0) -> TableRows:
        """Return the rows whose last write is after revision `since`."""
        ...

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Commit all writes atomically and return their new versions.

        Raise `RefusedError` with code `conflict` if a row's version is not the expected
        one.
        """
        ...


class HistoryLostError(PortError):
    """A request for changes after a revision whose history is no longer kept."""


@dataclass(frozen=True, slots=True)
class Changes:
    """The changes of a table up to a revision; `removed` lists deleted keys.

    `now_ms` is the time of that state by the service's steady clock, if it tells.
    """

    revision: int
    rows: tuple[Row, ...]
    removed: tuple[str, ...] = ()
    now_ms: int | None = None


def ignore_large() -> None:
    """Do nothing when a large answer begins."""


class TableFeed(Protocol):
    """A source of a table's rows: all of them once, then the changes in order."""

    async def read_all(self, table: str) -> TableRows:
        """Return all rows of the table with the revision to follow changes from."""
        ...

    async def read_changes(
        self,
        table: str,
        after: int,
        wait_seconds: float,
        on_large: Callable[[], None] = ignore_large,
    ) -> Changes:
        """Return the changes after revision `after`.

        If there are none yet, wait up to `wait_seconds` for the first one. Call
        `on_large` when a large answer begins, which may take long to arrive. Raise
        `HistoryLostError` if the changes are no longer kept.
        """
        ...


class ObjectStore(Protocol):
    """A store of named objects that are read and replaced as a unit."""

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None if it does not exist."""
        ...

    async def put(self, name: str, data: bytes) -> None:
        """Create or replace the object."""
        ...


@unique
class HostKind(Enum):
    """The kind of a host: entry hosts run proxies, endpoint hosts run databases."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class Host:
    """A host in the platform's list, which may be some seconds out of date.

    `address` is `ip:port`: the peer port of an entry host, the HTTP port of an
    endpoint. `name` is unique in the list; for an endpoint it is the database's name.
    """

    name: str
    kind: HostKind
    address: str
    availability_zone: str
    is_leaving: bool = False


class HostList(Protocol):
    """The platform's list of live and leaving hosts; it lags behind the true state."""

    async def hosts(self) -> tuple[Host, ...]:
        """Return all hosts that the platform lists at present."""
        ...


@unique
class Role(Enum):
    """The role of a database in its term.

    A fenced database commits no writes and follows no primary, until it becomes the
    primary of its term by `Endpoint.open` or a replica by `Endpoint.follow`.
    """

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@dataclass(frozen=True, slots=True)
class Load:
    """A database's load.

    It executes at most `slots` statements at the same time, and allows at most
    `connection_cap` connections.
    """

    slots: Count = 0
    executing: Count = 0
    waiting: Count = 0
    connections: Count = 0
    connection_cap: Count = 0


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """A database's report of its own state.

    `term` is the highest term it has accepted, which may be above the term of its last
    log entry, whose position is `last`. `history` has the terms that wrote the log, and
    `following` the address from which it replicates.
    """

    database: str
    term: Count
    role: Role
    last: Position = ORIGIN
    history: History = field(default_factory=History)
    load: Load = field(default_factory=Load)
    following: str = ""
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Statement:
    """An opaque statement and the conditions under which it may run.

    A write runs only on the open primary of `term`. A read runs only on a database
    whose log contains `at_least`. `key` is recorded in the write's own log entry, so
    that a second run with the same key returns the first run's answer.
    """

    kind: Kind
    body: bytes
    term: int = 0
    at_least: Position = ORIGIN
    key: str = ""
    trace_parent: str = ""
    timeout_seconds: float = 5.0


@dataclass(frozen=True, slots=True)
class EndpointAnswer:
    """A complete answer, with the position of the database's log.

    `is_repeat` is True if a statement with the same key had already run; the body is
    then the answer to that one.
    """

    body: bytes
    position: Position
    load: Load = field(default_factory=Load)
    is_repeat: bool = False


class Connection(Protocol):
    """A connection to a database.

    It must be closed after a lost answer. It may be used again after a refusal, which
    is a complete answer.
    """

    @property
    def identifier(self) -> str:
        """Return the identifier that the database gave to this connection."""
        ...

    async def run(self, statement: Statement) -> EndpointAnswer:
        """Run a statement and return its complete answer."""
        ...

    async def begin(self, term: int) -> None:
        """Begin a transaction in `term` on this connection."""
        ...

    async def commit(self, key: str = "") -> EndpointAnswer:
        """Commit the transaction as one log entry and return its position."""
        ...

    async def rollback(self) -> None:
        """Roll back the open transaction."""
        ...

    async def close(self) -> None:
        """Close the connection, which rolls back an open transaction."""
        ...


class Endpoint(Protocol):
    """A client of a database that opens connections and changes its role."""

    async def connect(self) -> Connection:
        """Open a connection; raise `RefusedError` with code `full` if no more fit."""
        ...

    async def status(self) -> EndpointStatus:
        """Return the database's report of its own state."""
        ...

    async def fence(self, term: int) -> EndpointStatus:
        """Make the database refuse all work of terms below `term` from now on.

        Idempotent for the same term. Raise `RefusedError` with code `term` if the
        database has accepted a higher term.
        """
        ...

    async def open(self, term: int) -> EndpointStatus:
        """Make the database, which is fenced at `term`, the primary of that term."""
        ...

    async def follow(self, term: int, address: str) -> EndpointStatus:
        """Make the database replicate from the primary of `term` at `address`.

        Log entries that the primary's log does not contain are dropped.
        """
        ...
