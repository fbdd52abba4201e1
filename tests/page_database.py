"""A database that reads lines by the page, and records what it runs."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from beryltiller.platform import wire, wire_replies
from beryltiller.sessions.errors import BrokenError
from beryltiller.sessions.statements import DatabaseStatus, ProxyCommand, Reply, Request
from tests.page_reader import (
    Query,
    SessionState,
    UnreadableError,
    read_query,
    split_lines,
)

POSITION = "1.5"


@dataclass(frozen=True, slots=True)
class Ran:
    """A read, write or executed statement that ran, and what the connection had set.

    `shape` is that of the executed statement, and `arguments` what follows its name.
    """

    identifier: str
    text: str
    is_write: bool
    shape: str = ""
    arguments: str = ""
    values: tuple[tuple[str, str], ...] = ()


def never_refuse(_: Query) -> str:
    """Refuse no statement."""
    return ""


@dataclass
class PageDatabase:
    """One connection's end at a database.

    `refuse` returns the code with which a statement is refused without an effect, or
    empty text. If it `undoes_set_up`, a rollback also undoes the values and prepared
    statements of its transaction; the page leaves that open.
    """

    refuse: Callable[[Query], str] = never_refuse
    ran: list[Ran] = field(default_factory=list)
    state: SessionState = field(default_factory=SessionState)
    transaction: str = "I"
    lines: int = 0
    undoes_set_up: bool = False
    before_begin: SessionState = field(default_factory=SessionState)

    def receive(self, data: bytes) -> bytes:
        """Return the replies to complete lines."""
        lines, rest = split_lines(data)
        if rest:
            raise UnreadableError(f"incomplete line: {rest[:80]!r}")
        return b"".join(self._reply_to(line) for line in lines)

    def _reply_to(self, line: bytes) -> bytes:
        self.lines += 1
        try:
            query = read_query(line)
        except UnreadableError as error:
            answer = f"ERROR MALFORMED {error}"
        else:
            answer = self._answer(query)
        return f"{answer}\r\nREADY {self.transaction} {POSITION}\r\n".encode(
            errors="surrogateescape"
        )

    def _answer(self, query: Query) -> str:
        if self.transaction == "E" and query.word != "ROLLBACK":
            return "ERROR MALFORMED the transaction has failed"
        code = self.refuse(query)
        if code:
            return f"ERROR {code} refused"
        match query.word:
            case "BEGIN":
                self.transaction = "T"
                self.before_begin = self.state.copy()
            case "ROLLBACK":
                self.transaction = "I"
                if self.undoes_set_up:
                    self.state = self.before_begin.copy()
            case "COMMIT":
                self.transaction = "I"
            case "READ" | "WRITE" | "EXECUTE":
                return self._run(query)
            case _:
                code = self.state.apply(query)
        return f"ERROR {code} refused" if code else "COMPLETE -"

    def _run(self, query: Query) -> str:
        values = tuple(sorted(self.state.values.items()))
        is_write, shape, arguments = query.word == "WRITE", "", ""
        if query.word == "EXECUTE":
            name, *rest = query.fields
            prepared = self.state.prepared.get(name)
            if prepared is None:
                return f"ERROR NOSUCHSTMT {name}"
            is_write, shape, arguments = (
                prepared.is_write,
                prepared.shape,
                " ".join(rest),
            )
        ran = Ran(query.identifier, query.text, is_write, shape, arguments, values)
        self.ran.append(ran)
        rows = "" if is_write else f"DATAROW {query.text}\r\n"
        return f"{rows}COMPLETE {len(self.ran)}"


class PageConnection:
    """A connection that sends what the codec writes to a `PageDatabase`."""

    def __init__(self, database: PageDatabase) -> None:
        self.database = database
        self._is_open = True

    @property
    def is_open(self) -> bool:
        return self._is_open

    async def send_requests(self, requests: Sequence[Request]) -> list[Reply]:
        data = b"".join(map(wire.encode_request, requests))
        lines = self.database.receive(data).split(b"\r\n")[:-1]
        decoder = wire_replies.ReplyDecoder()
        replies = [reply for line in lines if (reply := decoder.feed(line))]
        if len(replies) != len(requests):
            raise BrokenError(f"{len(replies)} replies to {len(requests)} requests")
        return replies

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        raise NotImplementedError

    async def is_primary(self) -> bool:
        raise NotImplementedError

    def close(self) -> None:
        self._is_open = False
