"""A database group in memory on a virtual clock, for benchmarks and tests.

It obeys what the endpoints promise: terms, positions, claimed keys, `at_least`, and
replication that lags. It keeps each entry's value, so that a checker can tell which
writes an answer holds.
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
    """Hold one log entry: the term that wrote it, its key, value and time."""

    term: int
    value: bytes
    key: str = ""
    written_at: float = 0.0


@dataclass(slots=True)
class Log:
    """Hold a database's entries; index 1 is the first."""

    entries: list[Entry] = field(default_factory=list)
    _keys: dict[str, int] = field(default_factory=dict)
    _starts: list[TermStart] = field(default_factory=list)

    @property
    def last(self) -> Position:
        """Return the position of the last entry."""
        if not self.entries:
            return ORIGIN
        return Position(self.entries[-1].term, len(self.entries))

    @property
    def history(self) -> History:
        """Return the terms in the log."""
        return History(tuple(self._starts))

    def holds(self, position: Position) -> bool:
        """Tell whether the log holds the entry at a position."""
        return self.history.contains(position, len(self.entries))

    def index_of(self, key: str) -> int:
        """Return the index at which a key is claimed, or 0."""
        return self._keys.get(key, 0)

    def append(self, entry: Entry) -> None:
        """Add an entry and claim its key."""
        self.entries.append(entry)
        index = len(self.entries)
        if not self._starts or self._starts[-1].term != entry.term:
            self._starts.append(TermStart(entry.term, index))
        if entry.key:
            self._keys[entry.key] = index

    def truncate(self, length: int) -> None:
        """Drop all entries after the first `length`, with the keys they claimed."""
        kept = self.entries[:length]
        self.entries, self._keys, self._starts = [], {}, []
        for entry in kept:
            self.append(entry)


@dataclass(slots=True)
class SimulatedDatabase:
    """Hold one database: its log, accepted term, role and replication lag."""

    name: str
    lag_seconds: float = 0.0
    log: Log = field(default_factory=Log)
    term: int = 1
    role: Role = Role.REPLICA

    def run(self, statement: Statement, now: float) -> EndpointAnswer:
        """Run a statement or raise `RefusedError`; a read returns no body."""
        self.check(statement)
        if statement.kind.is_write:
            return self._write(statement, now)
        return EndpointAnswer(b"", self.log.last)

    def check(self, statement: Statement) -> None:
        """Raise `RefusedError` when a statement may not run here."""
        if not statement.kind.is_write:
            if not self.log.holds(statement.at_least):
                raise RefusedError("behind")
            return
        if statement.term != self.term:
            raise RefusedError("term")
        if self.role is not Role.PRIMARY:
            raise RefusedError("fenced")

    def status(self) -> EndpointStatus:
        """Return the database's own view of itself."""
        return EndpointStatus(
            self.name, self.term, self.role, self.log.last, self.log.history
        )

    def fence(self, term: int) -> None:
        """Accept a higher term and refuse all work of lower ones."""
        if term < self.term:
            raise RefusedError("term")
        self.term = term
        self.role = Role.FENCED

    def open(self, term: int) -> None:
        """Become the primary of the term that the database is fenced at.

        The first entry of a term is the opening itself, as at the endpoints.
        """
        if self.role is not Role.FENCED or self.term != term:
            raise RefusedError("term")
        self.role = Role.PRIMARY
        self.log.append(Entry(term, f"open {term}".encode()))

    def copy_from(self, primary: "SimulatedDatabase", up_to: int) -> None:
        """Replicate the primary's first `up_to` entries, dropping a lost tail."""
        if self is primary:
            return
        if self.term > primary.term:
            raise RefusedError("term")
        self.term, self.role = primary.term, Role.REPLICA
        mine, theirs = self.log.entries, primary.log.entries
        if mine and (len(mine) > len(theirs) or mine[-1] != theirs[len(mine) - 1]):
            self.log.truncate(_common_length(mine, theirs))
        for entry in theirs[len(self.log.entries) : up_to]:
            self.log.append(entry)

    def _write(self, statement: Statement, now: float) -> EndpointAnswer:
        """Append a write, or return the first run's position for a claimed key."""
        if statement.key and (index := self.log.index_of(statement.key)):
            position = Position(self.log.entries[index - 1].term, index)
            return EndpointAnswer(b"", position, is_repeat=True)
        self.log.append(Entry(self.term, statement.body, statement.key, now))
        return EndpointAnswer(b"", self.log.last)


@dataclass(slots=True)
class SimulatedGroup:
    """Hold a group's databases and order its failovers, as a promoter would."""

    name: str
    databases: dict[str, SimulatedDatabase]
    primary: str
    term: int = 1

    @classmethod
    def start(cls, name: str, lags_seconds: Iterable[float]) -> "SimulatedGroup":
        """Return a group whose first database is the primary of term 1."""
        databases = {}
        for number, lag in enumerate(lags_seconds, start=1):
            database = SimulatedDatabase(f"{name}-{number}", lag)
            databases[database.name] = database
        first = next(iter(databases.values()))
        first.role = Role.PRIMARY
        return cls(name, databases, first.name)

    @property
    def primary_log(self) -> Log:
        """Return the log of the newest term's primary."""
        return self.databases[self.primary].log

    def replicate(self, now: float) -> None:
        """Let each replica apply what is older than its lag."""
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
        """Open the next term at the more advanced of two fenced databases."""
        self.term += 1
        for name in fenced:
            self.databases[name].fence(self.term)
        self.primary = max(fenced, key=lambda name: self.databases[name].log.last)
        self.databases[self.primary].open(self.term)


def _common_length(mine: list[Entry], theirs: list[Entry]) -> int:
    """Return how many first entries two logs share."""
    pairs = zip(mine, theirs, strict=False)
    for index, (one, other) in enumerate(pairs):
        if one != other:
            return index
    return min(len(mine), len(theirs))
