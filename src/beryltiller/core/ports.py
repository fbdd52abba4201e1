"""Ports: what beryltiller needs of the platform and of the endpoints.

Each port is a protocol class with one adapter over HTTP. Decisions never call a
port; the daemon does, and hands the results to the decisions as events. Every
failure is one of two errors: `RefusedError` proves that the request had no
effect, `LostAnswerError` says that it may have had one.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Protocol

from beryltiller.core.outcome import Kind
from beryltiller.core.position import ORIGIN, History, Position


class PortError(Exception):
    """Report a failed request to an outside system."""


class RefusedError(PortError):
    """Report a request that is proved to have had no effect.

    `code` is the outside system's own word for the cause, such as `conflict`,
    `term`, `behind`, `full`, `unreachable` or `fault`.
    """

    def __init__(self, code: str, reason: str = "") -> None:
        """Keep the code beside the readable reason."""
        super().__init__(f"{code}: {reason}" if reason else code)
        self.code = code
        self.reason = reason


class LostAnswerError(PortError):
    """Report a request that was sent and whose answer did not arrive."""


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one row of the table service; `version` rises with every write to it."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class Scan:
    """Hold the rows of a table that changed after a revision, and the newest one."""

    revision: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Write:
    """Ask for a row to be written if its version is `expected` (0: no row)."""

    table: str
    key: str
    expected: int
    value: bytes


class TableService(Protocol):
    """Read and write versioned rows; a transaction commits whole or not at all."""

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None when there is none."""
        ...

    async def scan(self, table: str, since: int = 0) -> Scan:
        """Return the rows whose last write is after revision `since`."""
        ...

    async def commit(self, writes: Sequence[Write]) -> tuple[int, ...]:
        """Commit all writes and return their new versions.

        Raise `RefusedError` with code `conflict` when a version differs.
        """
        ...


class HistoryLostError(PortError):
    """Report that changes since the given revision are no longer kept."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold what changed in a table up to a revision; `removed` lists dropped keys."""

    revision: int
    rows: tuple[Row, ...]
    removed: tuple[str, ...] = ()


class TableFeed(Protocol):
    """Follow a table: read it whole once, then its changes in order."""

    async def whole(self, table: str) -> Scan:
        """Return every row of the table as of one moment."""
        ...

    async def changes(self, table: str, after: int, wait_seconds: float) -> Changes:
        """Return the changes after a revision, waiting for the first one.

        Raise `HistoryLostError` when they are no longer kept.
        """
        ...


class ObjectStore(Protocol):
    """Keep whole objects by name."""

    async def get(self, name: str) -> bytes | None:
        """Return the object, or None when there is none."""
        ...

    async def put(self, name: str, data: bytes) -> None:
        """Replace the object."""
        ...


@unique
class HostKind(Enum):
    """Tell entry hosts, which run proxies, from endpoint hosts."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclass(frozen=True, slots=True)
class Host:
    """Describe a host as the platform's list has it, possibly some seconds ago.

    `address` is `ip:port`: the peer port of an entry host, the HTTP port of an
    endpoint. `name` is unique in the list; for an endpoint it is the database's.
    """

    name: str
    kind: HostKind
    address: str
    availability_zone: str
    is_leaving: bool = False


class HostList(Protocol):
    """Tell which hosts are live or leaving, with a lag."""

    async def hosts(self) -> tuple[Host, ...]:
        """Return the hosts in the list."""
        ...


@unique
class Role(Enum):
    """Tell what a database does in its term."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


@dataclass(frozen=True, slots=True)
class Load:
    """Count a database's work: statements in execution and waiting, connections."""

    slots: int = 0
    executing: int = 0
    waiting: int = 0
    connections: int = 0
    connection_cap: int = 0


@dataclass(frozen=True, slots=True)
class EndpointStatus:
    """Hold what a database says of itself.

    `term` is the highest term it has accepted, which may be above the term of its
    last log entry. `following` names the address it replicates from.
    """

    database: str
    term: int
    role: Role
    last: Position = ORIGIN
    history: History = field(default_factory=History)
    load: Load = field(default_factory=Load)
    following: str = ""
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Statement:
    """Hold one opaque statement and the conditions under which it may run.

    A write runs only on the open primary of `term`. A read runs only where the
    log holds `at_least`. `key` is claimed in the write's own log entry, so that a
    second run with the same key returns the first run's answer.
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
    """Hold a whole answer, where the log stood, and whether a key was repeated."""

    body: bytes
    position: Position
    load: Load = field(default_factory=Load)
    is_repeat: bool = False


class Connection(Protocol):
    """Hold one connection to a database.

    After a lost answer it must be closed. After a refusal, which is a whole answer,
    it may be used again.
    """

    @property
    def identifier(self) -> str:
        """Return the database's name for this connection."""
        ...

    async def run(self, statement: Statement) -> EndpointAnswer:
        """Run a statement and return its whole answer."""
        ...

    async def begin(self, term: int) -> None:
        """Start a transaction on this connection."""
        ...

    async def commit(self, key: str = "") -> EndpointAnswer:
        """Commit the transaction as one log entry and return its position."""
        ...

    async def rollback(self) -> None:
        """Drop the transaction."""
        ...

    async def close(self) -> None:
        """Close the connection; an open transaction is dropped with it."""
        ...


class Endpoint(Protocol):
    """Speak to one database: its connections, and its place in the group."""

    async def connect(self) -> Connection:
        """Open a connection, or raise `RefusedError` with code `full`."""
        ...

    async def status(self) -> EndpointStatus:
        """Return the database's own view of itself."""
        ...

    async def fence(self, term: int) -> EndpointStatus:
        """Refuse all work of terms below `term` from now on.

        Idempotent at the same term. Raise `RefusedError` with code `term` when the
        database has accepted a higher one.
        """
        ...

    async def open(self, term: int) -> EndpointStatus:
        """Make a database fenced at `term` the primary of that term."""
        ...

    async def follow(self, term: int, address: str) -> EndpointStatus:
        """Replicate from the primary of `term` at `address`, dropping a lost tail."""
        ...
