"""Codec of replies in the platform's line protocol, of databases and to callers.

A reply consists of any number of rows, then a signature or an error, and ends with the
state of the session and the position of the database's log.
"""

from beryltiller.core.decoding import parse_count, shorten
from beryltiller.platform.wire import (
    NO_VALUE,
    WireError,
    decode_position,
    encode_position,
)
from beryltiller.sessions.statements import (
    NO_POSITION,
    Code,
    DatabaseStatus,
    Reply,
    SessionState,
)

# Bytes of databases that are not UTF-8 are kept as lone surrogates.
_ANY_BYTES = "surrogateescape"

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
    Code.DENIED: "DENIED",
}
_WORD_TO_CODE = {word: code for code, word in _CODE_TO_WORD.items()}


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
