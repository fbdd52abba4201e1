"""Model of one stand-in database: its log, its term and its data, without I/O.

The log is a list of committed transactions. A transaction is one or more
operations on a key-value store and may claim a request key, which lives in the
log entry itself and so survives a change of primary exactly when the entry does.
"""

from dataclasses import dataclass, field

import msgspec

from beryltiller.core.ports import RefusedError, Role
from beryltiller.core.position import History, Position, TermStart


class Operation(msgspec.Struct, frozen=True):
    """Hold one statement of the stand-in's small language.

    `op` is `get`, `put`, `append` or `add`; `tag` comes back in the answer.
    """

    op: str
    key: str = ""
    value: str = ""
    tag: str = ""


class Entry(msgspec.Struct, frozen=True):
    """Hold one committed transaction as it is replicated."""

    term: int
    operations: tuple[Operation, ...] = ()
    request_key: str = ""
    answer: bytes = b""
    committed_at: float = 0.0


class Result(msgspec.Struct, frozen=True):
    """Hold the answer to one operation."""

    op: str
    key: str
    value: str | None
    tag: str = ""


@dataclass(frozen=True, slots=True)
class Committed:
    """Hold the answer of a commit, its position, and whether its key had run."""

    answer: bytes
    position: Position
    is_repeat: bool = False


def parse_operation(body: bytes) -> Operation:
    """Return the operation, or raise `RefusedError` with code `statement`."""
    try:
        operation = msgspec.json.decode(body, type=Operation)
    except msgspec.MsgspecError as error:
        raise RefusedError("statement", str(error)) from error
    if operation.op not in {"get", "put", "append", "add"}:
        raise RefusedError("statement", f"no operation {operation.op!r}")
    return operation


def apply_operation(data: dict[str, str], operation: Operation) -> Result:
    """Apply an operation to `data` in place and return its result."""
    key = operation.key
    match operation.op:
        case "put":
            data[key] = operation.value
        case "append":
            data[key] = data.get(key, "") + operation.value
        case "add":
            data[key] = str(int(data.get(key, "0")) + int(operation.value or "1"))
    return Result(operation.op, key, data.get(key), operation.tag)


@dataclass(slots=True)
class DatabaseModel:
    """Keep one database's log and answer what the endpoint protocol asks."""

    name: str
    term: int = 0
    role: Role = Role.FENCED
    entries: list[Entry] = field(default_factory=list)
    data: dict[str, str] = field(default_factory=dict)
    claims: dict[str, int] = field(default_factory=dict)

    @property
    def last(self) -> Position:
        """Return the position of the last log entry."""
        index = len(self.entries)
        return Position(self.entries[-1].term if index else 0, index)

    @property
    def history(self) -> History:
        """Return the terms in the log and where each begins."""
        starts: list[TermStart] = []
        for index, entry in enumerate(self.entries, start=1):
            if not starts or starts[-1].term != entry.term:
                starts.append(TermStart(entry.term, index))
        return History(tuple(starts))

    def contains(self, position: Position) -> bool:
        """Tell whether the log holds the entry at `position`."""
        if position.index == 0:
            return True
        if position.index > len(self.entries):
            return False
        return self.entries[position.index - 1].term == position.term

    def read(self, operation: Operation, at_least: Position) -> bytes:
        """Answer a read, or refuse it as `behind` when the log lacks `at_least`."""
        if operation.op != "get":
            raise RefusedError("statement", f"{operation.op!r} is not a read")
        if not self.contains(at_least):
            raise RefusedError("behind", f"last entry {self.last}, asked {at_least}")
        return msgspec.json.encode(apply_operation(self.data, operation))

    def check_writable(self, term: int) -> None:
        """Raise `RefusedError` unless this is the open primary of `term`."""
        if term != self.term:
            raise RefusedError("term", f"in term {self.term}, asked {term}")
        if self.role is not Role.PRIMARY:
            raise RefusedError("fenced", f"{self.role.value} in term {self.term}")

    def commit(
        self,
        operations: tuple[Operation, ...],
        term: int,
        request_key: str = "",
        now: float = 0.0,
    ) -> Committed:
        """Append a transaction, or return the first run of its key."""
        self.check_writable(term)
        if request_key in self.claims:
            index = self.claims[request_key]
            first = self.entries[index - 1]
            return Committed(first.answer, Position(first.term, index), is_repeat=True)
        results = [apply_operation(self.data, each) for each in operations]
        encoded = [msgspec.json.encode(each) for each in results]
        answer = encoded[-1] if encoded else b""
        self._append(Entry(term, operations, request_key, answer, now))
        return Committed(answer, self.last)

    def check_log_readable(self, term: int) -> None:
        """Raise `RefusedError` unless this is fenced at `term` or its primary.

        A fenced former primary still passes its log on, so that the next primary
        can catch up with it before it is opened.
        """
        if term != self.term or self.role is Role.REPLICA:
            raise RefusedError("term", f"{self.role.value} in term {self.term}")

    def fence(self, term: int) -> None:
        """Refuse all work of lower terms from now on; a replica stops following."""
        if term < self.term:
            raise RefusedError("term", f"in term {self.term}, asked {term}")
        if term > self.term or self.role is Role.REPLICA:
            self.term = term
            self.role = Role.FENCED

    def open(self, term: int, now: float = 0.0) -> None:
        """Become the primary of a term in which this database is fenced.

        The first entry of a term is empty, so that a stale tail of an earlier
        term can never again look more advanced than this log.
        """
        if term != self.term:
            raise RefusedError("term", f"in term {self.term}, asked {term}")
        if self.role is Role.PRIMARY:
            return
        if self.role is not Role.FENCED:
            raise RefusedError("fenced", f"{self.role.value} in term {self.term}")
        self.role = Role.PRIMARY
        self._append(Entry(term, committed_at=now))

    def follow(self, term: int) -> None:
        """Become a replica in `term`."""
        if term < self.term:
            raise RefusedError("term", f"in term {self.term}, asked {term}")
        if term == self.term and self.role is Role.PRIMARY:
            raise RefusedError("term", f"primary of term {term}")
        self.term = term
        self.role = Role.REPLICA

    def shared_length(self, history: History, length: int) -> int:
        """Return how many entries a log of `length` and `history` shares with ours."""
        shared = 0
        ours = self.history
        for index in range(min(length, len(self.entries)), 0, -1):
            if ours.term_at(index) == history.term_at(index):
                shared = index
                break
        return shared

    def replicate(self, term: int, shared: int, entries: list[Entry]) -> None:
        """Take entries of the primary of `term`, dropping what follows `shared`."""
        if term != self.term or self.role is not Role.REPLICA:
            return
        if shared < len(self.entries):
            self._rebuild(self.entries[:shared])
        for entry in entries:
            for operation in entry.operations:
                apply_operation(self.data, operation)
            self._append(entry)

    def _append(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.request_key:
            self.claims[entry.request_key] = len(self.entries)

    def _rebuild(self, entries: list[Entry]) -> None:
        self.entries = []
        self.data = {}
        self.claims = {}
        for entry in entries:
            for operation in entry.operations:
                apply_operation(self.data, operation)
            self._append(entry)
