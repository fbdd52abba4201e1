"""A database group in memory on a virtual clock, for benchmarks and tests.

It behaves towards a proxy as databases do: it has terms, positions, claimed request
keys, reads with `at_least`, and replication that lags. It keeps the value of each
entry, so that a checker can determine which writes an answer reflects.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from beryltiller.core.ports import (
    EndpointAnswer,
    EndpointStatus,
    RefusedError,
    Role,
    Statement,
)
from beryltiller.core.position import ORIGIN, History, Position, TermStart


@dataclass(frozen=True, slots=True)
class Entry:
    """A log entry: the term that wrote it, its request key, value and time."""

    term: int
    value: bytes
    key: str = ""
    written_at: float = 0.0


@dataclass(slots=True)
class Log:
    """The log of a database, whose first entry has index 1."""

    entries: list[Entry] = field(default_factory=list)
    _key_indexes: dict[str, int] = field(default_factory=dict)
    _term_starts: list[TermStart] = field(default_factory=list)

    @property
    def last_position(self) -> Position:
        """The position of the last entry, `ORIGIN` for an empty log."""
        if not self.entries:
            return ORIGIN
        return Position(self.entries[-1].term, len(self.entries))

    @property
    def history(self) -> History:
        """The terms in the log, each with the index of its first entry."""
        return History(tuple(self._term_starts))

    def contains(self, position: Position) -> bool:
        """Return True if the log has an entry of the same term and index.

        Every log contains a position of index 0, which precedes the first entry.
        """
        return self.history.contains(position, len(self.entries))

    def index_of_key(self, key: str) -> int:
        """Return the index of the entry that claimed a request key, or 0."""
        return self._key_indexes.get(key, 0)

    def append(self, entry: Entry) -> None:
        """Append an entry, which claims its request key if it has one."""
        self.entries.append(entry)
        index = len(self.entries)
        if not self._term_starts or self._term_starts[-1].term != entry.term:
            self._term_starts.append(TermStart(entry.term, index))
        if entry.key:
            self._key_indexes[entry.key] = index

    def truncate(self, length: int) -> None:
        """Drop all entries after the first `length` ones, with their claimed keys."""
        kept = self.entries[:length]
        self.entries, self._key_indexes, self._term_starts = [], {}, []
        for entry in kept:
            self.append(entry)


@dataclass(slots=True)
class SimulatedDatabase:
    """A database: its log, accepted term and role, and its replication lag."""

    name: str
    lag_seconds: float = 0.0
    log: Log = field(default_factory=Log)
    term: int = 1
    role: Role = Role.REPLICA

    def run(self, statement: Statement, now: float) -> EndpointAnswer:
        """Run a statement and return its position; the answer has no body.

        Raise `RefusedError` if the statement may not run here.
        """
        self.check_allowed(statement)
        if statement.kind.is_write:
            return self._write(statement, now)
        return EndpointAnswer(b"", self.log.last_position)

    def check_allowed(self, statement: Statement) -> None:
        """Raise `RefusedError` if a statement may not run here.

        The code is `behind` for a read that needs a missing entry, `term` for a write
        in another term, and `fenced` for a write to another role than the primary.
        """
        if not statement.kind.is_write:
            if not self.log.contains(statement.at_least):
                raise RefusedError("behind")
            return
        if statement.term != self.term:
            raise RefusedError("term")
        if self.role is not Role.PRIMARY:
            raise RefusedError("fenced")

    def status(self) -> EndpointStatus:
        """Return what the database reports of itself."""
        return EndpointStatus(
            self.name, self.term, self.role, self.log.last_position, self.log.history
        )

    def fence(self, term: int) -> None:
        """Accept a term that is at least the current one, and refuse all writes.

        Raise `RefusedError` with code `term` for a lower term.
        """
        if term < self.term:
            raise RefusedError("term")
        self.term = term
        self.role = Role.FENCED

    def open(self, term: int) -> None:
        """Become the primary of the term in which the database is fenced.

        Append an entry that marks the opening, as the endpoints do. Raise
        `RefusedError` with code `term` unless the database is fenced in `term`.
        """
        if self.role is not Role.FENCED or self.term != term:
            raise RefusedError("term")
        self.role = Role.PRIMARY
        self.log.append(Entry(term, f"open {term}".encode()))

    def copy_from(self, primary: "SimulatedDatabase", up_to: int) -> None:
        """Replicate the primary's first `up_to` entries.

        Entries that the primary's log lacks are dropped first. Raise `RefusedError`
        with code `term` if this database is in a higher term.
        """
        if self is primary:
            return
        if self.term > primary.term:
            raise RefusedError("term")
        self.term, self.role = primary.term, Role.REPLICA
        own_entries, primary_entries = self.log.entries, primary.log.entries
        if own_entries and (
            len(own_entries) > len(primary_entries)
            or own_entries[-1] != primary_entries[len(own_entries) - 1]
        ):
            self.log.truncate(_common_prefix_length(own_entries, primary_entries))
        for entry in primary_entries[len(self.log.entries) : up_to]:
            self.log.append(entry)

    def _write(self, statement: Statement, now: float) -> EndpointAnswer:
        """Append a write and return its position.

        If its request key is claimed, return the position of the first run instead.
        """
        if statement.key and (index := self.log.index_of_key(statement.key)):
            position = Position(self.log.entries[index - 1].term, index)
            return EndpointAnswer(b"", position, is_repeat=True)
        self.log.append(Entry(self.term, statement.body, statement.key, now))
        return EndpointAnswer(b"", self.log.last_position)


@dataclass(slots=True)
class SimulatedGroup:
    """A group of databases, with its current term and primary."""

    name: str
    databases: dict[str, SimulatedDatabase]
    primary: str
    term: int = 1

    @classmethod
    def create(cls, name: str, lags_seconds: Iterable[float]) -> "SimulatedGroup":
        """Return a group with a database for each lag.

        The first is the primary of term 1.
        """
        databases = {}
        for number, lag in enumerate(lags_seconds, start=1):
            database = SimulatedDatabase(f"{name}-{number}", lag)
            databases[database.name] = database
        first = next(iter(databases.values()))
        first.role = Role.PRIMARY
        return cls(name, databases, first.name)

    @property
    def primary_log(self) -> Log:
        """The log of the primary of the newest term."""
        return self.databases[self.primary].log

    def replicate(self, now: float) -> None:
        """Copy to each replica the entries that are older than its lag."""
        primary = self.databases[self.primary]
        entries = primary.log.entries
        for database in self.databases.values():
            if database is primary:
                continue
            length = len(database.log.entries)
            while (
                length < len(entries)
                and entries[length].written_at + database.lag_seconds <= now
            ):
                length += 1
            database.copy_from(primary, length)

    def fail_over(self, fenced: tuple[str, str]) -> None:
        """Fence two databases at the next term and open the more advanced one.

        It becomes the primary, as if a proxy had run a promotion.
        """
        self.term += 1
        for name in fenced:
            self.databases[name].fence(self.term)
        self.primary = max(
            fenced, key=lambda name: self.databases[name].log.last_position
        )
        self.databases[self.primary].open(self.term)


def _common_prefix_length(
    own_entries: list[Entry], primary_entries: list[Entry]
) -> int:
    """Return the length of the longest common prefix of two logs."""
    pairs = zip(own_entries, primary_entries, strict=False)
    for index, (own_entry, primary_entry) in enumerate(pairs):
        if own_entry != primary_entry:
            return index
    return min(len(own_entries), len(primary_entries))
