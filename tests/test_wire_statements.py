"""Tests of what callers' statements are read as, and of the text that is sent on."""

import unittest

from beryltiller.core.position import Position
from beryltiller.platform import wire
from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.statements import (
    CallerStatement,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Request,
    SetValue,
    Write,
)
from tests.fake_group import GroupFixture
from tests.ingress_caller import Caller, run_with_caller
from tests.page_reader import UnreadableError, read_statement

# Statements that no database can run.
INCOMPLETE = (
    *("READ", "READ ", "WRITE i", "WRITE  d", "WRITE ", "DEALLOCATE", "DEALLOCATE "),
    *("SET a", "SET a ", "SET  v", "SET ", "SET"),
    *("PREPARE  READ q", "PREPARE s READ", "PREPARE s READ ", "PREPARE s MAYBE q"),
    *("EXECUTE s", "EXECUTE s ", "EXECUTE  i", "EXECUTE s  d", "EXECUTE "),
    *("BEGIN ", "BEGIN READ ", "BEGIN  READ", "COMMIT ", "COMMIT x", "ROLLBACK "),
    *("", " READ i", "SINCE 3.1207 READ i", "RESET", "STATUS", "PAUSE 4"),
)
# Odd statements that a database can run, with what they mean by the page.
ODD: tuple[tuple[str, CallerStatement], ...] = (
    ("READ a b", Read("a b")),
    ("READ  a", Read(" a")),
    ("READ SINCE 3.1 READ a ", Read("SINCE 3.1 READ a ")),
    ("DEALLOCATE a b", Deallocate("a b")),
    ("WRITE i ", Write("i", "")),
    ("WRITE i  d ", Write("i", " d ")),
    ("SET a  ", SetValue("a", " ")),
    ("SET a v\tw\0\x85\u2028\xa0", SetValue("a", "v\tw\0\x85\u2028\xa0")),
    ("PREPARE s READ q READ x ", Prepare("s", False, "q READ x ")),
    ("EXECUTE s i ", Execute("s", "i ")),
    ("EXECUTE s i  d", Execute("s", "i  d")),
)


class StatementTest(unittest.TestCase):
    """A statement is sent on as it was sent, or refused where it arrives."""

    def test_incomplete_statements_are_refused(self) -> None:
        for text in INCOMPLETE:
            with self.subTest(text):
                self.assertIsNone(wire.decode_statement(text))

    def test_last_field_extends_to_the_end_of_the_line(self) -> None:
        for text, statement in ODD:
            with self.subTest(text):
                self.assertEqual(wire.decode_statement(text), statement)
                self.assertEqual(wire.statement_text(statement), text)
                self.assertEqual(" ".join(_flat(read_statement(text))), text)

    def test_line_ends_within_a_statement_are_refused(self) -> None:
        """Guards against a reader at the far end that splits on CR or on LF."""
        for text in ("READ a\nREAD b", "WRITE i d\r", "SET a \n", "EXECUTE s i\r\r"):
            with self.subTest(text):
                self.assertIsNone(wire.decode_statement(text))

    def test_incomplete_statements_are_unreadable_by_the_page(self) -> None:
        proxy_words = {"RESET", "STATUS", "PAUSE 4"}
        for text in set(INCOMPLETE) - proxy_words:
            with self.subTest(text), self.assertRaises(UnreadableError):
                read_statement(text)


class IdentifierTest(unittest.TestCase):
    """The identifier of the proxy's own statements is not taken by a caller's."""

    def test_caller_does_not_use_the_identifier_of_the_proxy(self) -> None:
        for line in (
            b"QUERY - READ i",
            b"QUERY  READ i",
            b"QUERY",
            b"QUERY a\nb READ i",
        ):
            with self.subTest(line):
                message = wire.decode_message(line)
                assert isinstance(message, wire.Query)
                self.assertIsNone(message.statement)


class LengthTest(unittest.TestCase):
    """A statement is refused if it does not fit in a message to a database.

    What is sent on may be longer than what arrived.
    """

    LONGEST_POSITION = Position(2**62, 2**62)

    def query(self, text: str, length: int) -> wire.Query:
        """Decode a line of a length with its end, padded with its last character."""
        line = f"QUERY 5 {text}"
        padding = line[-1] * (length - len(line) - len(wire.LINE_END))
        message = wire.decode_message(f"{line}{padding}".encode())
        assert isinstance(message, wire.Query)
        return message

    def test_statement_that_does_not_fit_is_refused_where_it_arrives(self) -> None:
        for text in ("READ x", "EXECUTE s i", "EXECUTE s i d", "PREPARE s READ q"):
            with self.subTest(text):
                query = self.query(text, wire.MAX_LINE_BYTES)
                self.assertIsNone(query.statement)

    def test_longest_statements_that_fit_are_written(self) -> None:
        read = self.query("READ x", wire.MAX_LINE_BYTES - 46).statement
        write = self.query("WRITE i d", wire.MAX_LINE_BYTES).statement
        assert read is not None and write is not None
        request = Request(read, "5", self.LONGEST_POSITION)
        self.assertEqual(len(wire.encode_request(request)), wire.MAX_LINE_BYTES)
        line = wire.encode_request(Request(write, "5"))
        self.assertEqual(len(line), wire.MAX_LINE_BYTES)

    def test_value_fits_in_the_message_that_sets_it(self) -> None:
        statement = self.query("SET a v", wire.MAX_LINE_BYTES).statement
        assert statement is not None
        self.assertTrue(wire.encode_request(Request(statement)))

    def test_prepared_name_has_room_for_any_number(self) -> None:
        statement = self.query("PREPARE s READ q", wire.MAX_LINE_BYTES - 19).statement
        assert isinstance(statement, Prepare)
        named = Prepare(f"p{10**18}", False, statement.shape)
        self.assertTrue(wire.encode_request(Request(named)))


class RefusedTest(unittest.TestCase):
    """A refused statement reaches no database and leaves the session usable."""

    def test_session_goes_on_after_statements_that_cannot_run(self) -> None:
        queries = [f"1 {text}" for text in INCOMPLETE]
        queries += [f"1 READ {'i' * (wire.MAX_LINE_BYTES - 15)}"]
        queries += ["- READ i", " READ i", "1 READ a\nb", "1 SET a \r"]

        async def work(fixture: GroupFixture, ingress: Ingress, caller: Caller) -> None:
            await caller.send_line("STARTUP db u1")
            for query in queries:
                answer = await caller.send_line(f"QUERY {query}")
                with self.subTest(query[:80]):
                    self.assertEqual(answer[0].split(" ")[:2], ["ERROR", "MALFORMED"])
                    self.assertEqual(answer[1:], ["READY I -"])
            answer = await caller.send_line("QUERY 2 READ i")
            self.assertEqual(answer[:2], ["DATAROW row", "COMPLETE signed"])

        fixture = run_with_caller(work)
        ran = [each for database in fixture.databases.values() for each in database.ran]
        found = [request.statement for _, request in ran if request.identifier]
        self.assertEqual(found, [Read("i")])


def _flat(found: tuple[str, tuple[str, ...]]) -> tuple[str, ...]:
    word, fields = found
    return (word, *fields)
