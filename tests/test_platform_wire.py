"""Tests of the line protocol's codec and of decoding the store's rows."""

import json
import unittest

from beryltiller.core.ports import Row
from beryltiller.core.position import Position
from beryltiller.platform import records, wire, wire_replies
from beryltiller.platform.line_splitter import LineSplitter
from beryltiller.sessions.databases.catalog import ANY_DATABASE, RouteKind
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Reply,
    Request,
    Rollback,
    SessionState,
    SetValue,
    Write,
)

TEXTS: tuple[tuple[str, CallerStatement], ...] = (
    ("READ 1a4", Read("1a4")),
    ("WRITE 1a4 some data  kept", Write("1a4", "some data  kept")),
    ("BEGIN", Begin()),
    ("BEGIN READ", Begin(is_read_only=True)),
    ("COMMIT", Commit()),
    ("ROLLBACK", Rollback()),
    ("EXECUTE s1 1a4 data", Execute("s1", "1a4 data")),
    ("EXECUTE s1 1a4", Execute("s1", "1a4")),
    ("SET v a b", SetValue("v", "a b")),
    ("PREPARE s1 WRITE q2c", Prepare("s1", True, "q2c")),
    ("PREPARE s1 READ q2c", Prepare("s1", False, "q2c")),
    ("DEALLOCATE s1", Deallocate("s1")),
)


class StatementTextTest(unittest.TestCase):
    """Statements and messages are decoded, and encoded to the same text."""

    def test_each_statement_is_decoded_and_encoded_unchanged(self) -> None:
        for text, statement in TEXTS:
            with self.subTest(text):
                self.assertEqual(wire.decode_statement(text), statement)
                self.assertEqual(wire.statement_text(statement), text)

    def test_malformed_statements_are_decoded_as_none(self) -> None:
        for text in ("", "READ", "WRITE 1a4", "BEGIN WRITE", "PREPARE s MAYBE q"):
            with self.subTest(text):
                self.assertIsNone(wire.decode_statement(text))

    def test_messages_are_decoded(self) -> None:
        self.assertEqual(
            wire.decode_message(b"QUERY 5c READ 1a4"), wire.Query("5c", Read("1a4"))
        )
        self.assertEqual(
            wire.decode_message(b"STARTUP db u1"), wire.Startup("db", "u1")
        )
        self.assertEqual(wire.decode_message(b"TERMINATE"), wire.Terminate())
        for line in (b"HELLO", b"\xff"):
            with self.subTest(line), self.assertRaises(wire.WireError):
                wire.decode_message(line)

    def test_request_is_encoded_with_its_position(self) -> None:
        request = Request(Read("1a4"), "5c", Position(3, 1207))
        self.assertEqual(
            wire.encode_request(request), b"QUERY 5c SINCE 3.1207 READ 1a4\r\n"
        )


class StartupTest(unittest.TestCase):
    """The line that opens a session at a database."""

    def test_identifier_is_left_out_for_any_database(self) -> None:
        self.assertEqual(
            wire.encode_startup("s", ANY_DATABASE), b"STARTUP s beryltiller\r\n"
        )
        self.assertEqual(
            wire.encode_startup("s", "i-1"), b"STARTUP s beryltiller i-1\r\n"
        )

    def test_database_is_told_the_name_of_the_organisation(self) -> None:
        line = wire.encode_startup("s", "i-1", "acme")
        self.assertEqual(line, b"STARTUP s acme i-1\r\n")


class ReplyTest(unittest.TestCase):
    """Replies are encoded, and decoded to equal values."""

    def test_replies_are_encoded_and_decoded_unchanged(self) -> None:
        replies = (
            Reply(SessionState.IDLE, ("a", "b"), "sig", position=Position(3, 4)),
            Reply(SessionState.FAILED, code=Code.READ_ONLY, text="i-1"),
            Reply(SessionState.OPEN, signature="-"),
        )
        for reply in replies:
            with self.subTest(reply):
                decoder = wire_replies.ReplyDecoder()
                lines = LineSplitter().feed(wire_replies.encode_reply(reply))
                found = [decoder.feed(line) for line in lines]
                self.assertEqual(found[-1], reply)

    def test_lines_are_complete_across_chunks_of_bytes(self) -> None:
        splitter = LineSplitter()
        self.assertEqual(splitter.feed(b"RE"), [])
        self.assertEqual(splitter.feed(b"ADY I -\r"), [])
        self.assertEqual(splitter.feed(b"\nX"), [b"READY I -"])

    def test_line_that_is_too_long_is_an_error(self) -> None:
        with self.assertRaises(wire.WireError):
            LineSplitter().feed(b"x" * (wire.MAX_LINE_BYTES + 1))


CONFIGURATION: dict[str, object] = {
    "config_version": 7,
    "routes": [
        {
            "name": "r",
            "database_name": "db",
            "route_kind": "bounded_staleness",
            "timeout_ms": 2000,
            "target_latency_ms": 600,
            "priority": 2,
            "service": "s",
            "max_staleness_ms": 1500,
        }
    ],
    "services": [{"name": "s", "max_connections": 22, "sync_replicas": 1}],
    "limits": {"transaction_idle_ms": 3000},
}
ENTRY: dict[str, object] = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "a",
    "config_version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 0,
    "database_role": "replica",
    "sequence": 4,
}


def row(key: str, value: object) -> Row:
    """Return a row whose value is JSON."""
    return Row(key, 1, json.dumps(value).encode())


class RecordsTest(unittest.TestCase):
    """Rows are decoded; refusing a bad one names the field and affects no other."""

    def test_configuration_is_decoded(self) -> None:
        found = records.decode_configuration(row("config", CONFIGURATION))
        route = found.routes["db"]
        self.assertEqual((found.version, route.kind), (7, RouteKind.BOUNDED_STALENESS))
        self.assertEqual((route.timeout_seconds, route.max_staleness_seconds), (2, 1.5))
        self.assertEqual(found.services["s"].max_connections, 22)

    def test_refused_configuration_names_the_field(self) -> None:
        bad = {**CONFIGURATION, "config_version": "seven"}
        with self.assertRaisesRegex(records.RecordError, "config_version"):
            records.decode_configuration(row("config", bad))

    def test_entry_that_lacks_a_field_is_skipped(self) -> None:
        """Guard against using an incomplete entry of another program.

        It is skipped even if it has all fields that the proxy reads.
        """
        for field in ENTRY:
            with self.subTest(field):
                partial = {name: item for name, item in ENTRY.items() if name != field}
                self.assertEqual(records.decode_databases([row("i", partial)]), [])

    def test_invalid_entries_are_skipped(self) -> None:
        bad: tuple[dict[str, object], ...] = (
            {"slots": "many"},
            {"slots": 0},
            {"state": "asleep"},
            {"database_role": "king"},
            {"address": "somewhere"},
        )
        rows = [row(f"bad-{n}", {**ENTRY, **change}) for n, change in enumerate(bad)]
        rows += [Row("junk", 1, b"\xff\x00"), row("list", []), row("good", ENTRY)]
        found = records.decode_databases(rows)
        self.assertEqual([database.identifier for database in found], ["good"])
