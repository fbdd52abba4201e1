"""Property tests of the codec against a reader that is written from the page."""

import unittest
from collections.abc import Sequence

from hypothesis import example, given, settings
from hypothesis import strategies as st

from beryltiller.core.decoding import MAX_NUMBER
from beryltiller.core.position import Position
from beryltiller.platform import wire, wire_replies
from beryltiller.platform.line_splitter import LineSplitter
from beryltiller.sessions.statements import (
    AskStatus,
    Begin,
    Code,
    Commit,
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
from tests.page_reader import (
    UnreadableError,
    read_position,
    read_query,
    read_reply,
    read_statement,
    read_status,
)

derandomized = settings(
    derandomize=True, deadline=None, database=None, max_examples=400
)

PIECES = (
    *(" ", "  ", "\r", "\n", "\r\n", "\t", "\0", "\x85", "\u2028", "\xa0", "\u0663"),
    *("READ", "WRITE", "SINCE", "SINCE 3.1 ", "QUERY", "-", "p1", "a", "\xe9", "1.5"),
    *("SET", "PREPARE", "EXECUTE", "DEALLOCATE", "BEGIN", "COMMIT", "ROLLBACK"),
    *("DATAROW", "COMPLETE", "ERROR", "READY", "I", "RESET", "PAUSE", "x" * 300_000),
)
hostile = st.lists(st.sampled_from(PIECES), max_size=5).map("".join)
# Texts of bytes that need not be UTF-8, in which a line end does not occur.
odd_bytes = st.lists(
    st.sampled_from(
        [each.encode() for each in PIECES] + [b"\xff", b"\xc3", b"\xed\xa0"]
    ),
    max_size=3,
).map(lambda parts: b"".join(parts).replace(b"\r\n", b""))
plain = st.sampled_from(("a", "s1", "1a4", "v"))
texts = hostile | plain
statements: st.SearchStrategy[Statement] = st.one_of(
    st.builds(Read, texts),
    st.builds(Write, texts, texts),
    st.builds(SetValue, texts, texts),
    st.builds(Prepare, texts, st.booleans(), texts),
    st.builds(Execute, texts, texts),
    st.builds(Deallocate, texts),
    st.builds(Begin, st.booleans()),
    st.sampled_from((Commit(), Rollback(), Reset(), AskStatus(), Unfence())),
    st.builds(Fence, st.integers(0, MAX_NUMBER)),
    st.builds(StepDown, st.integers(0, MAX_NUMBER)),
)
numbers = st.sampled_from((0, 1, 1207, MAX_NUMBER))
positions = st.builds(Position, numbers, numbers)
# Lines of callers, of a word and fields that often fit.
words = st.sampled_from(PIECES)
caller_texts = st.one_of(
    hostile,
    st.tuples(words, texts).map(" ".join),
    st.tuples(words, texts, texts).map(" ".join),
    st.tuples(words, texts, words, texts).map(" ".join),
)


def meaning(statement: Statement) -> tuple[str, tuple[str, ...]]:
    """Return the word and the fields that a statement has by the page."""
    match statement:
        case Read(item):
            return "READ", (item,)
        case Write(item, data):
            return "WRITE", (item, data)
        case SetValue(name, value):
            return "SET", (name, value)
        case Prepare(name, is_write, shape):
            return "PREPARE", (name, "WRITE" if is_write else "READ", shape)
        case Execute(name, arguments):
            return "EXECUTE", (name, *arguments.split(" ", 1))
        case Deallocate(name):
            return "DEALLOCATE", (name,)
        case _:
            return meaning_of_others(statement)


def meaning_of_others(statement: Statement) -> tuple[str, tuple[str, ...]]:
    """Return the word and the fields of a statement without a caller's text."""
    match statement:
        case Begin(is_read_only):
            return "BEGIN", ("READ",) if is_read_only else ()
        case Fence(term):
            return "PAUSE", (str(term),)
        case StepDown(term):
            return "STEPDOWN", (str(term),)
        case AskStatus():
            return "STATUS", ()
        case Unfence():
            return "RESUME", ()
    return type(statement).__name__.upper(), ()


class StatementPropertiesTest(unittest.TestCase):
    """Statements are read at both ends as they were meant."""

    @derandomized
    @given(statements)
    def test_written_statement_is_decoded_as_it_was(self, statement: Statement) -> None:
        try:
            line = wire.encode_request(Request(statement, "5"))
        except wire.WireError:
            return
        message = wire.decode_message(line.removesuffix(wire.LINE_END))
        assert isinstance(message, wire.Query)
        is_callers = not isinstance(
            statement, Reset | AskStatus | Unfence | Fence | StepDown
        )
        if len(line) < wire.MAX_LINE_BYTES - 100:
            self.assertEqual(message.statement, statement if is_callers else None)

    @derandomized
    @given(caller_texts)
    def test_text_is_refused_or_sent_on_unchanged(self, text: str) -> None:
        statement = wire.decode_statement(text)
        if statement is not None:
            self.assertEqual(wire.statement_text(statement), text)
            self.assertEqual(read_statement(text), meaning(statement))

    @derandomized
    @given(caller_texts)
    def test_only_unreadable_text_and_line_ends_are_refused(self, text: str) -> None:
        try:
            word, _ = read_statement(text)
        except UnreadableError:
            self.assertIsNone(wire.decode_statement(text))
            return
        is_refused = wire.decode_statement(text) is None
        is_command = word in ("RESET", "STATUS", "PAUSE", "RESUME", "STEPDOWN")
        has_line_end = "\r" in text or "\n" in text
        self.assertEqual(is_refused, is_command or has_line_end)

    @derandomized
    @given(texts, caller_texts, positions, numbers)
    def test_accepted_query_can_be_written_in_its_longest_form(
        self, identifier: str, text: str, since: Position, number: int
    ) -> None:
        line = f"QUERY {identifier} {text}".encode()
        if len(line) + 2 > wire.MAX_LINE_BYTES or wire.LINE_END in line:
            return
        message = wire.decode_message(line)
        assert isinstance(message, wire.Query)
        statement = message.statement
        if isinstance(statement, Execute):
            statement = Execute(f"p{number}", statement.arguments)
        if isinstance(statement, Prepare):
            named = Prepare(f"p{number}", statement.is_write, statement.shape)
            self.assertTrue(wire.encode_request(Request(named)))
        elif statement is not None:
            is_read = isinstance(statement, Read | Execute)
            request = Request(statement, message.identifier, since if is_read else None)
            self.assertTrue(wire.encode_request(request))


class RequestPropertiesTest(unittest.TestCase):
    """Each line that is written is read by the page as it was meant."""

    @derandomized
    @given(statements, texts, st.none() | positions)
    @example(Prepare("r-q READ x", False, "q READ x"), "5", None)
    @example(Read("a\nQUERY - PAUSE 9"), "5", None)
    def test_written_request_is_read_by_the_page(
        self, statement: Statement, identifier: str, since: Position | None
    ) -> None:
        try:
            line = wire.encode_request(Request(statement, identifier, since))
        except wire.WireError:
            return
        self.assertLessEqual(len(line), wire.MAX_LINE_BYTES)
        self.assertEqual(line.splitlines(keepends=True), [line])
        query = read_query(line.removesuffix(b"\r\n"))
        self.assertEqual(query.identifier, identifier or "-")
        self.assertEqual(query.since, wire.encode_position(since) if since else "")
        self.assertEqual((query.word, query.fields), meaning(statement))

    @derandomized
    @given(texts, texts)
    def test_written_startup_has_the_fields_that_were_given(
        self, service: str, identifier: str
    ) -> None:
        try:
            line = wire.encode_startup(service, identifier)
        except wire.WireError:
            return
        self.assertEqual(line.splitlines(keepends=True), [line])
        fields = line.removesuffix(b"\r\n").decode().split(" ", 3)
        expected = [identifier] if identifier else []
        self.assertEqual(fields, ["STARTUP", service, "beryltiller", *expected])


class ReplyPropertiesTest(unittest.TestCase):
    """A caller reads by the page what the database wrote, or an error."""

    @derandomized
    @given(st.lists(odd_bytes, max_size=3), odd_bytes, st.sampled_from("ITE"))
    def test_reply_reaches_the_caller_as_it_was_written(
        self, rows: list[bytes], signature: bytes, state: str
    ) -> None:
        if not signature:
            return
        lines = [b"DATAROW " + row for row in rows]
        lines += [b"COMPLETE " + signature, f"READY {state} 3.4".encode()]
        sent = b"".join(line + b"\r\n" for line in lines)
        # A line end can arise where two fields meet, as in a row that ends with a CR.
        if sent.count(b"\r\n") != len(lines):
            return
        self.assertEqual(self.forward(sent), sent)

    @derandomized
    @given(odd_bytes)
    def test_error_has_one_line_whatever_its_text_is(self, text: bytes) -> None:
        sent = b"ERROR BUSY " + text + b"\r\nREADY E -\r\n"
        if sent.count(b"\r\n") != 2:
            return
        found = read_reply(self.forward(sent))
        self.assertEqual((found.code, found.state), ("BUSY", "E"))
        self.assertTrue(found.text.isprintable())

    @derandomized
    @given(hostile, st.sampled_from(list(Code)))
    def test_error_of_the_proxy_has_one_line(self, text: str, code: Code) -> None:
        reply = Reply(SessionState.IDLE, code=code, text=text)
        found = read_reply(wire_replies.encode_reply(reply))
        self.assertEqual((found.rows, found.signature, found.state), ((), "", "I"))
        closing = wire_replies.encode_closing_error(code, text)
        self.assertEqual(closing.splitlines(keepends=True), [closing])

    @derandomized
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(("DATAROW", "COMPLETE", "ERROR", "READY", "")),
                st.sampled_from(("", " ", " a", " BUSY x", " I 1.5", " I -", " T 1.5")),
            ).map("".join),
            max_size=3,
        ),
        st.sampled_from(("READY I 1.5", "READY T -", "READY X -", "READY I", "")),
    )
    def test_only_replies_that_follow_the_page_are_taken(
        self, lines: list[str], last: str
    ) -> None:
        data = "".join(f"{line}\r\n" for line in (*lines, last)).encode()
        try:
            expected = read_reply(data)
        except UnreadableError:
            self.assertNotEqual(self.results(data), 1)
            return
        decoded = read_reply(self.forward(data))
        self.assertEqual(decoded.rows, expected.rows)
        self.assertEqual(decoded.signature, expected.signature)
        self.assertEqual(decoded.state, expected.state)

    @derandomized
    @given(st.lists(odd_bytes, min_size=2, max_size=4), st.integers(1, 7))
    def test_lines_are_the_same_in_pieces_of_any_size(
        self, parts: list[bytes], size: int
    ) -> None:
        data = b"\r\n".join(part[:2000] for part in parts) + b"\r\n"
        splitter = LineSplitter()
        found = [
            line
            for start in range(0, len(data), size)
            for line in splitter.feed(data[start : start + size])
        ]
        self.assertEqual(found, data.split(b"\r\n")[:-1])

    def forward(self, data: bytes) -> bytes:
        """Return what a caller receives of a reply on a started connection."""
        replies = self.decode(data)
        self.assertEqual(len(replies), 1)
        return wire_replies.encode_reply(replies[0])

    def results(self, data: bytes) -> int:
        """Return how many replies data consists of, or -1 if it is malformed."""
        try:
            replies = self.decode(data)
        except wire.WireError:
            return -1
        is_complete = data.rpartition(b"READY")[2].count(b"\r\n") == 1
        return len(replies) if is_complete else -1

    def decode(self, data: bytes) -> Sequence[Reply]:
        decoder = wire_replies.ReplyDecoder()
        decoder.feed(b"READY I -")
        replies = map(decoder.feed, LineSplitter().feed(data))
        return [reply for reply in replies if reply is not None]


class FieldPropertiesTest(unittest.TestCase):
    """Positions and status rows are read by the page, or refused."""

    ODD_NUMBERS = st.one_of(
        st.integers(0, MAX_NUMBER).map(str),
        st.sampled_from(("", "-", "-1", "+1", " 1", "1_0", "\u0663", "\xb2", "1.5")),
        st.sampled_from(("01", "9" * 19, "9" * 5000, "1\n", "1\0", "0x1")),
    )

    @derandomized
    @given(st.tuples(ODD_NUMBERS, ODD_NUMBERS).map(".".join) | hostile | ODD_NUMBERS)
    def test_position_is_read_as_by_the_page(self, text: str) -> None:
        try:
            expected = read_position(text)
        except UnreadableError:
            with self.assertRaises(wire.WireError):
                wire.decode_position(text)
            return
        found = wire.decode_position(text)
        self.assertEqual((found.term, found.index) if found else None, expected)

    @derandomized
    @given(
        st.tuples(
            st.sampled_from(("primary", "replica", "king", "", "Primary", "primary\0")),
            ODD_NUMBERS,
            st.sampled_from(("-", "3.1209", "3.\u0663", "3", "", "3.1.2")),
            ODD_NUMBERS,
            st.sampled_from(("12 2 17", "12 2", "12 2 17 9", "x y z", "12  17")),
        ).map(" ".join)
    )
    @example("primary 3 3.1209 - 12 2 17")
    @example("replica 3 3.1209 4 12 2 17")
    def test_status_is_read_as_by_the_page(self, row: str) -> None:
        try:
            expected = read_status(row)
        except UnreadableError:
            with self.assertRaises(wire.WireError):
                wire_replies.decode_status((row,))
            return
        found = wire_replies.decode_status((row,))
        received = (found.received.term, found.received.index)
        self.assertEqual(
            (found.is_primary, found.term, received, found.fenced_term), expected
        )
