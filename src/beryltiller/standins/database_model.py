"""A model of one database without I/O: its log, its term and its data.

The log is a list of committed transactions. A transaction is a list of operations on
a key-value store. It may claim a request key, which is stored in its log entry and
so survives a change of primary exactly if the entry does.
"""

from dataclasses import dataclass, field

import msgspec

from beryltiller.core.ports import RefusedError, Role
from beryltiller.core.position import History, Position, TermStart


class Operation(msgspec.Struct, frozen=True):
    """One statement for the stand-in database, sent as JSON.

    `op` is `get`, `put`, `append` or `add`; `tag` is returned in the answer.
    """

    op: str
    key: str = ""
    value: str = ""
    tag: str = ""


class Entry(msgspec.Struct, frozen=True):
    """A log entry: one committed transaction, in the form in which it is replicated.

    `committed_at` is the primary's wall-clock time in seconds.
    """

    term: int
    operations: tuple[Operation, ...] = ()
    request_key: str = ""
    answer: bytes = b""
    committed_at: float = 0.0


class OperationResult(msgspec.Struct, frozen=True):
    """The answer to one operation: the key's value after it, None if there is none."""

    op: str
    key: str
    value: str | None
    tag: str = ""


@dataclass(frozen=True, slots=True)
class CommitResult:
    """The answer to a commit and its position.

    `is_repeat` is True if a transaction with the same request key had already been
    committed; the answer and the position are then those of that transaction.
    """

    answer: bytes
    position: Position
    is_repeat: bool = False


def parse_operation(body: bytes) -> Operation:
    """Return the operation encoded in `body`.

    Raise `RefusedError` with code `statement` for an invalid or unknown one.
    """
    try:
        operation = msgspec.json.decode(body, type=Operation)
    except msgspec.MsgspecError as error:
        raise RefusedError("statement", str(error)) from error
    if operation.op not in {"get", "put", "append", "add"}:
        raise RefusedError("statement", f"unknown operation {operation.op!r}")
    return operation


def apply_operation(data: dict[str, str], operation: Operation) -> OperationResult:
    """Apply an operation to `data` in place and return its result."""
    key = operation.key
    match operation.op:
        case "put":
            data[key] = operation.value
        case "append":
            data[key] = data.get(key, "") + operation.value
        case "add":
            data[key] = str(int(data.get(key, "0")) + int(operation.value or "1"))
    return OperationResult(operation.op, key, data.get(key), operation.tag)


@dataclass(slots=True)
class DatabaseModel:
    """The state of one database, which runs or refuses the requests of proxies.

    `claims` maps each request key to the index of the log entry that claimed it.
    """

    name: str
    term: int = 0
    role: Role = Role.FENCED
    entries: list[Entry] = field(default_factory=list)
    data: dict[str, str] = field(default_factory=dict)
    claims: dict[str, int] = field(default_factory=dict)

    @property
    def last_position(self) -> Position:
        """The position of the last log entry; term and index are 0 in an empty log."""
        index = len(self.entries)
        return Position(self.entries[-1].term if index else 0, index)

    @property
    def history(self) -> History:
        """The terms in the log, each with the index of its first entry."""
        starts: list[TermStart] = []
        for index, entry in enumerate(self.entries, start=1):
            if not starts or starts[-1].term != entry.term:
                starts.append(TermStart(entry.term, index))
        return History(tuple(starts))

    def contains(self, position: Position) -> bool:
        """Return True if the log has an entry of the same term and index.

        Every log contains a position of index 0, which precedes the first entry.
        """
        if position.index == 0:
            return True
        if position.index > len(self.entries):
            return False
        return self.entries[position.index - 1].term == position.term

    def read(self, operation: Operation, at_least: Position) -> bytes:
        """Return the encoded answer to a read.

        Raise `RefusedError` with code `behind` if the log lacks the entry at
        `at_least`, and with code `statement` for another operation than `get`.
        """
        if operation.op != "get":
            raise RefusedError("statement", f"{operation.op!r} is not a read")
        if not self.contains(at_least):
            raise RefusedError(
                "behind", f"last entry is {self.last_position}, read needs {at_least}"
            )
        return msgspec.json.encode(apply_operation(self.data, operation))

    def check_writable(self, term: int) -> None:
        """Raise `RefusedError` unless this database is the primary of `term`.

        The code is `term` in another term and `fenced` in another role.
        """
        if term != self.term:
            raise RefusedError(
                "term", f"database is in term {self.term}, request in {term}"
            )
        if self.role is not Role.PRIMARY:
            raise RefusedError(
                "fenced", f"database is {self.role.value} in term {self.term}"
            )

    def commit(
        self,
        operations: tuple[Operation, ...],
        term: int,
        request_key: str = "",
        now: float = 0.0,
    ) -> CommitResult:
        """Apply and append a transaction, unless its request key has already run.

        Raise `RefusedError` unless this database is the primary of `term`.
        """
        self.check_writable(term)
        if request_key in self.claims:
            index = self.claims[request_key]
            first = self.entries[index - 1]
            return CommitResult(
                first.answer, Position(first.term, index), is_repeat=True
            )
        results = [apply_operation(self.data, each) for each in operations]
        encoded = [msgspec.json.encode(each) for each in results]
        answer = encoded[-1] if encoded else b""
        self._append(Entry(term, operations, request_key, answer, now))
        return CommitResult(answer, self.last_position)

    def check_log_readable(self, term: int) -> None:
        """Raise `RefusedError` unless this is the primary of `term` or fenced in it.

        A fenced former primary still serves its log, so that the next primary can
        catch up with it before it is opened.
        """
        if term != self.term or self.role is Role.REPLICA:
            raise RefusedError(
                "term", f"database is {self.role.value} in term {self.term}"
            )

    def fence(self, term: int) -> None:
        """Accept `term` and refuse all requests of lower terms from now on.

        A replica stops following; a primary of the same term stays primary. Raise
        `RefusedError` with code `term` if this database is in a higher term.
        """
        if term < self.term:
            raise RefusedError(
                "term", f"database is in term {self.term}, request in {term}"
            )
        if term > self.term or self.role is Role.REPLICA:
            self.term = term
            self.role = Role.FENCED

    def open(self, term: int, now: float = 0.0) -> None:
        """Become the primary of a term in which this database is fenced.

        The first entry of a term is empty. It makes this log more advanced than any
        log that ends in an earlier term, however long that log is. Nothing changes if
        this database is already the primary of `term`. Raise `RefusedError` with code
        `term` in another term, and with code `fenced` if this is a replica.
        """
        if term != self.term:
            raise RefusedError(
                "term", f"database is in term {self.term}, request in {term}"
            )
        if self.role is Role.PRIMARY:
            return
        if self.role is not Role.FENCED:
            raise RefusedError(
                "fenced", f"database is {self.role.value} in term {self.term}"
            )
        self.role = Role.PRIMARY
        self._append(Entry(term, committed_at=now))

    def follow(self, term: int) -> None:
        """Become a replica in `term`.

        Raise `RefusedError` with code `term` if this database is in a higher term or
        is the primary of `term`.
        """
        if term < self.term:
            raise RefusedError(
                "term", f"database is in term {self.term}, request in {term}"
            )
        if term == self.term and self.role is Role.PRIMARY:
            raise RefusedError("term", f"database is the primary of term {term}")
        self.term = term
        self.role = Role.REPLICA

    def shared_length(self, history: History, length: int) -> int:
        """Return the number of leading entries that this log shares with another one.

        `history` and `length` are those of the other log.
        """
        shared = 0
        own_history = self.history
        for index in range(min(length, len(self.entries)), 0, -1):
            if own_history.term_at(index) == history.term_at(index):
                shared = index
                break
        return shared

    def replicate(self, term: int, shared: int, entries: list[Entry]) -> None:
        """Drop all entries after the first `shared` ones and append `entries`.

        They come from the primary of `term`. Nothing changes if this database is
        no longer a replica in that term.
        """
        if term != self.term or self.role is not Role.REPLICA:
            return
        if shared < len(self.entries):
            self._rebuild_from(self.entries[:shared])
        for entry in entries:
            for operation in entry.operations:
                apply_operation(self.data, operation)
            self._append(entry)

    def _append(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.request_key:
            self.claims[entry.request_key] = len(self.entries)

    def _rebuild_from(self, entries: list[Entry]) -> None:
        self.entries = []
        self.data = {}
        self.claims = {}
        for entry in entries:
            for operation in entry.operations:
                apply_operation(self.data, operation)
            self._append(entry)
