"""A second reader of the line protocol, written from its page and not from the codec.

A line consists of a word and fields, separated by blanks and ended by CR LF; the last
field extends to the end of the line. Test databases that read lines with it notice a
text that the proxy's codec writes but others read differently.
"""

from dataclasses import dataclass, field

# The least and the greatest number of fields after each word.
FIELD_COUNTS = {
    "BEGIN": (0, 1),
    "COMMIT": (0, 0),
    "ROLLBACK": (0, 0),
    "RESET": (0, 0),
    "READ": (1, 1),
    "WRITE": (2, 2),
    "SET": (2, 2),
    "PREPARE": (3, 3),
    "EXECUTE": (2, 3),
    "DEALLOCATE": (1, 1),
    "STATUS": (0, 0),
    "PAUSE": (1, 1),
    "RESUME": (0, 0),
    "STEPDOWN": (1, 1),
}
MAX_MESSAGE_BYTES = 1 << 20


class UnreadableError(Exception):
    """A line that does not follow the page."""


@dataclass(frozen=True, slots=True)
class Query:
    """A `QUERY` line: its identifier, the position after `SINCE`, word and fields.

    `text` is the statement without the prefix, as it stands in the line.
    """

    identifier: str
    since: str
    text: str
    word: str
    fields: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Prepared:
    """A prepared statement as a database knows it."""

    is_write: bool
    shape: str


@dataclass
class SessionState:
    """What a database keeps of a connection: values and prepared statements."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Prepared] = field(default_factory=dict)

    def copy(self) -> "SessionState":
        """Return a copy that later statements don't change."""
        return SessionState(dict(self.values), dict(self.prepared))

    def apply(self, query: Query) -> str:
        """Apply a statement that changes the state; return an error's code or ''."""
        match query.word, query.fields:
            case "RESET", _:
                self.values.clear()
                self.prepared.clear()
            case "SET", (name, value):
                self.values[name] = value
            case "PREPARE", (name, kind, shape):
                self.prepared[name] = Prepared(kind == "WRITE", shape)
            case "DEALLOCATE", (name,):
                if self.prepared.pop(name, None) is None:
                    return "NOSUCHSTMT"
        return ""


def split_lines(data: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete lines, and the bytes of the incomplete one after them."""
    *lines, rest = data.split(b"\r\n")
    if any(len(line) + 2 > MAX_MESSAGE_BYTES for line in lines):
        raise UnreadableError("a message is at most 1 MiB")
    return lines, rest


def read_query(line: bytes) -> Query:
    """Read a `QUERY` line, or raise `UnreadableError`."""
    word, _, rest = line.decode(errors="surrogateescape").partition(" ")
    identifier, _, text = rest.partition(" ")
    if word != "QUERY" or not identifier:
        raise UnreadableError(f"no query: {line[:80]!r}")
    since = ""
    if text.startswith("SINCE "):
        _, since, text = text.split(" ", 2)
    word, fields = read_statement(text)
    return Query(identifier, since, text, word, fields)


def read_statement(text: str) -> tuple[str, tuple[str, ...]]:
    """Return the word and the fields of a statement, or raise `UnreadableError`."""
    word, blank, rest = text.partition(" ")
    least, most = FIELD_COUNTS.get(word, (-1, -1))
    fields = tuple(rest.split(" ", most - 1)) if blank and most > 0 else ()
    # Only the data of a write may be empty.
    required = fields[: 1 if word == "WRITE" else max(least, 1)]
    is_complete = least <= len(fields) <= most and all(required)
    if not is_complete or (blank and not fields):
        raise UnreadableError(f"no statement: {text[:80]!r}")
    if word == "BEGIN" and fields not in ((), ("READ",)):
        raise UnreadableError(f"no begin: {text[:80]!r}")
    if word == "PREPARE" and fields[1] not in ("READ", "WRITE"):
        raise UnreadableError(f"no kind of statement: {text[:80]!r}")
    return word, fields


@dataclass(frozen=True, slots=True)
class Answer:
    """A reply to a `QUERY`; `code` or `signature` is empty."""

    rows: tuple[str, ...]
    signature: str
    code: str
    text: str
    state: str
    position: str


def read_reply(data: bytes) -> Answer:
    """Read the lines of one reply, or raise `UnreadableError`."""
    lines, rest = split_lines(data)
    texts = [line.decode(errors="surrogateescape") for line in lines]
    if rest or len(texts) < 2:
        raise UnreadableError(f"incomplete reply: {data[:80]!r}")
    *rows, result, ready = texts
    if not all(row.split(" ")[0] == "DATAROW" for row in rows):
        raise UnreadableError(f"no row: {data[:80]!r}")
    word, _, fields = result.partition(" ")
    if word not in ("COMPLETE", "ERROR") or not fields:
        raise UnreadableError(f"no result: {result[:80]!r}")
    is_error = word == "ERROR"
    code, _, text = fields.partition(" ") if is_error else ("", "", "")
    if is_error and not code:
        raise UnreadableError(f"no code: {result[:80]!r}")
    match ready.split(" ", 2):
        case ["READY", "I" | "T" | "E" as state, position]:
            read_position(position)
        case _:
            raise UnreadableError(f"no state: {ready[:80]!r}")
    found = tuple(row.partition(" ")[2] for row in rows)
    return Answer(found, "" if is_error else fields, code, text, state, position)


def read_position(text: str) -> tuple[int, int] | None:
    """Read TERM.NUMBER, or return None for `-`; else raise `UnreadableError`."""
    if text == "-":
        return None
    match text.split("."):
        case [term, number]:
            return read_number(term), read_number(number)
    raise UnreadableError(f"no position: {text[:80]!r}")


def read_number(text: str) -> int:
    """Read a number of ASCII digits that fits in 62 bits and a bit."""
    if not text or len(text) > 19 or any(each not in "0123456789" for each in text):
        raise UnreadableError(f"no number: {text[:80]!r}")
    if int(text) > 1 << 62:
        raise UnreadableError(f"too large a number: {text}")
    return int(text)


def read_status(row: str) -> tuple[bool, int, tuple[int, int], int]:
    """Read role, term, position received and term held of a `STATUS` row.

    Other fields are not looked at, and further ones may follow.
    """
    fields = row.split(" ")
    if len(fields) < 7 or fields[0] not in ("primary", "replica"):
        raise UnreadableError(f"no status: {row[:80]!r}")
    role, term, received, held = fields[:4]
    position = read_position(received) or (0, 0)
    held_term = 0 if held == "-" else read_number(held)
    return role == "primary", read_number(term), position, held_term
