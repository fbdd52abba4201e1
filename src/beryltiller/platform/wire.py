"""Codec of the platform's line protocol, which callers and databases use.

A line is a word, such as QUERY, and its fields, separated by blanks and ended by CR LF;
the last field extends to the end of the line. The protocol's words for fencing and
unfencing a database are PAUSE and RESUME, and INDOUBT is an unknown outcome.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from beryltiller.core.decoding import MAX_NUMBER, parse_count
from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import ANY_DATABASE
from beryltiller.sessions.statements import (
    AskStatus,
    Begin,
    CallerStatement,
    Commit,
    Deallocate,
    Execute,
    Fence,
    Prepare,
    Read,
    Request,
    Reset,
    Rollback,
    SetValue,
    Statement,
    StepDown,
    Unfence,
    Write,
)

MAX_LINE_BYTES = 1 << 20
LINE_END = b"\r\n"
NO_VALUE = "-"
# The longest first word of a caller's line that an error quotes.
MAX_SHOWN_WORD = 10
# Who connects to a database for callers of no organisation, or for the proxy itself.
PROXY_USER = "beryltiller"
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


class WireError(Exception):
    """A message that violates the line protocol."""


@dataclass(frozen=True, slots=True)
class Startup:
    """A caller's first message, which opens a session on a database name.

    `key` identifies the caller's organisation, and stands in no log or error.
    """

    database_name: str
    key: str = field(default="", repr=False)


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
            database_name, _, key = rest.partition(" ")
            return Startup(database_name, key)
        case "TERMINATE":
            return Terminate()
    # A malformed startup may have the caller's key in its first word.
    shown = f" {word!r}" if word.isalpha() and len(word) <= MAX_SHOWN_WORD else ""
    raise WireError(f"unknown word{shown}")


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


def encode_startup(service: str, identifier: str, user: str = PROXY_USER) -> bytes:
    """Return the line that opens a session at a database, in the name of `user`.

    With `ANY_DATABASE` as identifier it is opened at any database of the service. Raise
    `WireError` if the database would read other fields in the line.
    """
    words = ["STARTUP", service, user]
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
