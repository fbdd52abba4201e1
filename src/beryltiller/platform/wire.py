"""Codec of the platform's line protocol, which callers and databases use.

A line is a word, such as QUERY, and its fields, separated by blanks and ended by CR LF;
the last field extends to the end of the line. The protocol's words for fencing and
unfencing a database are PAUSE and RESUME, and INDOUBT is an unknown outcome.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from beryltiller.core.decoding import MAX_NUMBER, parse_count, shorten
from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import ANY_DATABASE
from beryltiller.sessions.statements import (
    NO_POSITION,
    AskStatus,
    Begin,
    CallerStatement,
    Code,
    Commit,
    DatabaseStatus,
    Deallocate,
    Execute,
    Fence,
    Prepare,
    Read,
    Reply,
    Request,
    Reset,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    StepDown,
    Unfence,
    Write,
)

MAX_LINE_BYTES = 1 << 20
LINE_END = b"\r\n"
NO_VALUE = "-"
# Bytes of databases that are not UTF-8 are kept as lone surrogates.
_ANY_BYTES = "surrogateescape"
# What the proxy adds to a statement is shorter than this.
_MAX_ADDED_BYTES = 128
_MAX_BYTES_PER_CHARACTER = 4
_CHECKED_CHARACTERS = (MAX_LINE_BYTES - _MAX_ADDED_BYTES) // _MAX_BYTES_PER_CHARACTER
_LONGEST_POSITION = Position(MAX_NUMBER, MAX_NUMBER)
# Names that the proxy gives to prepared statements are not longer.
_LONGEST_NAME = "p" + str(MAX_NUMBER)

_TRANSACTION_TEXTS: dict[str, CallerStatement] = {
    "BEGIN": Begin(),
    "BEGIN READ": Begin(is_read_only=True),
    "COMMIT": Commit(),
    "ROLLBACK": Rollback(),
}
_STATE_TO_WORD = {
    SessionState.IDLE: "I",
    SessionState.OPEN: "T",
    SessionState.FAILED: "E",
}
_WORD_TO_STATE = {word: state for state, word in _STATE_TO_WORD.items()}
_CODE_TO_WORD = {
    Code.BUSY: "BUSY",
    Code.ABORTED: "ABORTED",
    Code.LAGGING: "LAGGING",
    Code.READ_ONLY: "READONLY",
    Code.WRONG_DATABASE: "WRONGNODE",
    Code.CONNECTION_LIMIT: "CONNLIMIT",
    Code.UNKNOWN_OUTCOME: "INDOUBT",
    Code.TIMEOUT: "TIMEOUT",
    Code.FAILED: "FAILED",
    Code.MALFORMED: "MALFORMED",
    Code.NO_SUCH_STATEMENT: "NOSUCHSTMT",
    Code.NO_ROUTE: "NODATABASE",
}
_WORD_TO_CODE = {word: code for code, word in _CODE_TO_WORD.items()}


class WireError(Exception):
    """A message that violates the line protocol."""


@dataclass(frozen=True, slots=True)
class Startup:
    """A caller's first message, which opens a session on a database name."""

    database_name: str


@dataclass(frozen=True, slots=True)
class Query:
    """A caller's statement, with the identifier that the caller chose for it.

    `statement` is None if it cannot run: its text cannot be decoded, or its identifier
    is empty or the one of the proxy's own statements.
    """

    identifier: str
    statement: CallerStatement | None


@dataclass(frozen=True, slots=True)
class Terminate:
    """A caller's last message, which closes the session."""


@dataclass(frozen=True, slots=True)
class Malformed:
    """What a caller sent instead of a message, for which the session is closed."""

    reason: str


Message = Startup | Query | Terminate | Malformed


def decode_message(line: bytes) -> Message:
    """Decode a caller's message, or raise `WireError`."""
    try:
        text = line.decode()
    except UnicodeDecodeError as error:
        raise WireError(f"not UTF-8: {error.reason}") from error
    word, _, rest = text.partition(" ")
    match word:
        case "QUERY":
            return _decode_query(rest)
        case "STARTUP":
            return Startup(rest.partition(" ")[0])
        case "TERMINATE":
            return Terminate()
    raise WireError(f"unknown word {word[:40]!r}")


def _decode_query(rest: str) -> Query:
    identifier, _, text = rest.partition(" ")
    # The proxy's own statements carry NO_VALUE. Another reader may split a line at a
    # line end of its own.
    is_valid = identifier not in ("", NO_VALUE) and _is_one_line(identifier)
    statement = decode_statement(text) if is_valid else None
    if len(rest) > _CHECKED_CHARACTERS and not _fits(identifier, statement):
        statement = None
    return Query(identifier, statement)


def _fits(identifier: str, statement: CallerStatement | None) -> bool:
    """Return True if the longest request for a statement fits in a message."""
    match statement:
        case Read():
            request = Request(statement, identifier, _LONGEST_POSITION)
        case Execute(_, arguments):
            named = Execute(_LONGEST_NAME, arguments)
            request = Request(named, identifier, _LONGEST_POSITION)
        case Prepare(_, is_write, shape):
            request = Request(Prepare(_LONGEST_NAME, is_write, shape))
        case _:
            # The request is not longer than the line that has arrived.
            return True
    try:
        encode_request(request)
    except WireError:
        return False
    return True


def decode_statement(text: str) -> CallerStatement | None:
    """Decode a caller's statement; return None if it cannot run at any database."""
    if not _is_one_line(text):
        return None
    word, blank, rest = text.partition(" ")
    if word in _TRANSACTION_TEXTS:
        return _TRANSACTION_TEXTS.get(text)
    if not blank or not rest:
        return None
    return _decode_fields(word, rest)


def _decode_fields(word: str, rest: str) -> CallerStatement | None:
    """Decode the fields of a statement; the last one extends to the end of `rest`."""
    match word:
        case "READ":
            return Read(rest)
        case "DEALLOCATE":
            return Deallocate(rest)
    first, blank, last = rest.partition(" ")
    if not first or not blank:
        return None
    match word:
        case "WRITE":
            return Write(first, last)
        case "SET" if last:
            return SetValue(first, last)
        case "EXECUTE" if last and not last.startswith(" "):
            return Execute(first, last)
        case "PREPARE":
            return _decode_prepare(first, last)
    return None


def _decode_prepare(name: str, rest: str) -> Prepare | None:
    mode, _, shape = rest.partition(" ")
    if mode not in ("READ", "WRITE") or not shape:
        return None
    return Prepare(name, mode == "WRITE", shape)


def _is_one_line(text: str) -> bool:
    return "\r" not in text and "\n" not in text


def statement_text(statement: Statement) -> str:
    """Return the text of a statement as it is sent to a database."""
    return " ".join(_statement_fields(statement))


def _statement_fields(statement: Statement) -> tuple[str, ...]:
    match statement:
        case Read(item):
            return ("READ", item)
        case Write(item, data):
            return ("WRITE", item, data)
        case Execute(name, arguments):
            return ("EXECUTE", name, *arguments.split(" ", 1))
        case Begin(is_read_only):
            return ("BEGIN", "READ") if is_read_only else ("BEGIN",)
        case Commit():
            return ("COMMIT",)
        case Rollback():
            return ("ROLLBACK",)
        case _:
            return _setup_fields(statement)


def _setup_fields(statement: Statement) -> tuple[str, ...]:
    match statement:
        case SetValue(name, value):
            return ("SET", name, value)
        case Prepare(name, is_write, shape):
            return ("PREPARE", name, "WRITE" if is_write else "READ", shape)
        case Deallocate(name):
            return ("DEALLOCATE", name)
        case Reset():
            return ("RESET",)
        case _:
            return _command_fields(statement)


def _command_fields(statement: Statement) -> tuple[str, ...]:
    match statement:
        case AskStatus():
            return ("STATUS",)
        case Fence(term):
            return ("PAUSE", str(term))
        case Unfence():
            return ("RESUME",)
        case StepDown(term):
            return ("STEPDOWN", str(term))
    raise WireError(f"statement has no text form: {statement!r}")


def encode_request(request: Request) -> bytes:
    """Return the line that sends a request to a database.

    The database refuses the statement if its log has not reached the position after
    `SINCE`. Raise `WireError` if the database would read other fields in the line.
    """
    if request.identifier == NO_VALUE:
        raise WireError("the identifier is the one of the proxy's own statements")
    words = ["QUERY", request.identifier or NO_VALUE]
    if request.since:
        words += ["SINCE", encode_position(request.since)]
    words += _statement_fields(request.statement)
    return _encode_line(words, _has_data(request.statement))


def _has_data(statement: Statement) -> bool:
    """Return True if the last field is data, which may be empty."""
    match statement:
        case Write():
            return True
        case Execute(_, arguments):
            return " " in arguments
    return False


def encode_startup(service: str, identifier: str) -> bytes:
    """Return the line that opens a session at a database.

    With `ANY_DATABASE` as identifier it is opened at any database of the service. Raise
    `WireError` if the database would read other fields in the line.
    """
    words = ["STARTUP", service, "beryltiller"]
    if identifier != ANY_DATABASE:
        words.append(identifier)
    return _encode_line(words)


def _encode_line(words: Sequence[str], can_end_empty: bool = False) -> bytes:
    """Return a line whose fields are read as they are given, or raise `WireError`.

    Only the last field may hold blanks, and be empty if `can_end_empty`.
    """
    *before, last = words
    if not all(before) or not (last or can_end_empty):
        raise WireError("a field is empty")
    if any(" " in word for word in before):
        raise WireError("a field other than the last one holds a blank")
    line = " ".join(words)
    if not _is_one_line(line):
        raise WireError("a field holds a line end")
    try:
        data = line.encode() + LINE_END
    except UnicodeEncodeError as error:
        raise WireError(f"not UTF-8: {error.reason}") from error
    if len(data) > MAX_LINE_BYTES:
        raise WireError(f"a message is longer than {MAX_LINE_BYTES} bytes")
    return data


def encode_reply(reply: Reply) -> bytes:
    """Return the lines of a reply to a caller.

    Rows and signatures are the bytes that the database has sent.
    """
    lines = [f"DATAROW {row}" for row in reply.rows]
    if reply.code is None:
        lines.append(f"COMPLETE {reply.signature}")
    else:
        lines.append(f"ERROR {_CODE_TO_WORD[reply.code]} {_printable(reply.text)}")
    position = encode_position(reply.position)
    lines.append(f"READY {_STATE_TO_WORD[reply.state]} {position}\r\n")
    return "\r\n".join(lines).encode(errors=_ANY_BYTES)


def encode_closing_error(code: Code, text: str) -> bytes:
    """Return an error line that refuses or ends a session, without a `READY` line.

    The connection is to be closed after it.
    """
    return f"ERROR {_CODE_TO_WORD[code]} {_printable(text)}\r\n".encode()


def _printable(text: str) -> str:
    """Return the text of an error as a short line of printable characters.

    It may quote what another program sent, and is read by people only.
    """
    text = shorten(text)
    if text.isprintable():
        return text
    return "".join(each if each.isprintable() else ascii(each)[1:-1] for each in text)


def encode_position(position: Position | None) -> str:
    """Return a position's text form, such as `3.1207`, or `-` for None."""
    return f"{position.term}.{position.index}" if position else NO_VALUE


def decode_position(text: str) -> Position | None:
    """Decode a position, or None from `-`; raise `WireError` if it is malformed."""
    if text == NO_VALUE:
        return None
    term, _, index = text.partition(".")
    try:
        return Position(parse_count(term), parse_count(index))
    except ValueError as error:
        raise WireError(f"malformed position: {text[:40]!r}") from error


def decode_status(rows: tuple[str, ...]) -> DatabaseStatus:
    """Decode a database's status from its row, or raise `WireError`.

    The row's fields are role, term, position received, term that it is fenced at, lag
    in ms, busy slots and connections. The last three are not used.
    """
    fields = rows[0].split(" ") if rows else []
    match fields:
        case ["primary" | "replica" as role, term, received, fenced_term, _, _, _, *_]:
            position = decode_position(received) or NO_POSITION
            try:
                return DatabaseStatus(
                    role == "primary",
                    parse_count(term),
                    position,
                    parse_count(fenced_term) if fenced_term != NO_VALUE else 0,
                )
            except ValueError as error:
                raise WireError(f"malformed status row: {rows[0][:80]!r}") from error
    raise WireError(f"malformed status row: {shorten(repr(rows[:1]))}")


class ReplyDecoder:
    """A decoder of a database's replies, which consist of several lines each.

    Rows come first, then one signature or error, then the state. Only the first reply
    may be a state alone, as the one to a startup is.
    """

    def __init__(self) -> None:
        """Create a decoder that expects the first line of a reply."""
        self._is_first = True
        self._rows: list[str] = []
        self._signature = ""
        self._code: Code | None = None
        self._text = ""

    @property
    def _has_result(self) -> bool:
        return self._signature != "" or self._code is not None

    def feed(self, line: bytes) -> Reply | None:
        """Decode one line; return the reply if this line completes it, else None."""
        word, _, rest = line.decode(errors=_ANY_BYTES).partition(" ")
        match word:
            case "DATAROW" if not self._has_result:
                self._rows.append(rest)
            case "COMPLETE" if rest and not self._has_result:
                self._signature = rest
            case "ERROR" if rest.partition(" ")[0] and not self._has_result:
                code, _, text = rest.partition(" ")
                self._text = _printable(text)
                self._code = _WORD_TO_CODE.get(code, Code.FAILED)
            case "READY" if self._has_result or (self._is_first and not self._rows):
                return self._complete(rest)
            case _:
                raise WireError(f"unexpected word {word[:40]!r}")
        return None

    def pending_error(self) -> Code | None:
        """Return the code of an `ERROR` line that no `READY` line has followed.

        If the connection ends after it, the database has refused the session.
        """
        return self._code

    def _complete(self, rest: str) -> Reply:
        state, _, position = rest.partition(" ")
        if state not in _WORD_TO_STATE:
            raise WireError(f"unknown state {state[:40]!r}")
        reply = Reply(
            _WORD_TO_STATE[state],
            tuple(self._rows),
            self._signature,
            self._code,
            self._text,
            decode_position(position),
        )
        self._is_first = False
        self._rows = []
        self._signature, self._code, self._text = "", None, ""
        return reply


class LineSplitter:
    """A splitter of a byte stream into lines, which limits their length."""

    def __init__(self) -> None:
        """Create a splitter that is at the beginning of a line."""
        self._rest = bytearray()

    @property
    def incomplete_bytes(self) -> int:
        """Return the size of the incomplete line."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that `data` completes.

        Raise `WireError` if one of them, or the incomplete line after them, is longer
        than `MAX_LINE_BYTES` with its end; what has arrived is dropped then.
        """
        # What was searched before is not searched again, but for half a line end.
        start = max(0, len(self._rest) - 1)
        self._rest += data
        lines: list[bytes] = []
        if self._rest.find(LINE_END, start) >= 0:
            *lines, rest = bytes(self._rest).split(LINE_END)
            self._rest = bytearray(rest)
        longest = max(map(len, lines), default=0) + len(LINE_END)
        if max(longest, len(self._rest) + 1) > MAX_LINE_BYTES:
            self._rest.clear()
            raise WireError(f"a line is longer than {MAX_LINE_BYTES} bytes")
        return lines
