"""Tests of replies of databases on their way to callers."""

import asyncio
import unittest

from beryltiller.platform import wire, wire_replies
from beryltiller.platform.databases import LineConnection
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.errors import BrokenError, NotSentError, SessionError
from beryltiller.sessions.statements import (
    Code,
    Read,
    Reply,
    Request,
    SessionState,
    Write,
)
from tests.ingress_caller import FakeTransport

READY = b"READY I 1.5"
ODD_BYTES = (b"\xff\xfe", b"a\xc3", b"\0\t \xa0", b"a\r", b"\n", b" ", b"\xed\xb3\xbf")


def forward(lines: list[bytes]) -> bytes:
    """Return what a caller receives of the lines of a database's reply."""
    decoder = wire_replies.ReplyDecoder()
    *_, reply = [decoder.feed(line) for line in lines]
    assert reply is not None
    return wire_replies.encode_reply(reply)


class ForwardedTest(unittest.TestCase):
    """What a database wrote reaches the caller unchanged."""

    def test_rows_and_signatures_are_forwarded_byte_for_byte(self) -> None:
        """Guards against rows that no database has written (MIXED)."""
        for odd in ODD_BYTES:
            with self.subTest(odd):
                lines = [b"DATAROW " + odd, b"DATAROW", b"COMPLETE s" + odd, READY]
                lines[1] += b" "
                sent = b"".join(line + b"\r\n" for line in lines)
                self.assertEqual(forward(lines), sent)

    def test_text_of_an_error_is_one_printable_line(self) -> None:
        for odd in (*ODD_BYTES, b"\x1b[2J", b"x" * wire.MAX_LINE_BYTES):
            with self.subTest(odd[:10]):
                found = forward([b"ERROR BUSY " + odd, READY])
                first, *rest = found.decode().split("\r\n")
                self.assertTrue(first.startswith("ERROR BUSY ") and first.isprintable())
                self.assertEqual(rest, ["READY I 1.5", ""])
                self.assertLess(len(found), 1000)

    def test_text_of_the_proxys_own_errors_is_one_printable_line(self) -> None:
        odd = "a\r\nREADY I -\r\n\udcff\x1b"
        reply = Reply(SessionState.IDLE, code=Code.BUSY, text=odd)
        for data, count in (
            (wire_replies.encode_reply(reply), 2),
            (wire_replies.encode_closing_error(Code.NO_ROUTE, odd), 1),
        ):
            lines = data.decode().split("\r\n")
            self.assertEqual(len(lines), count + 1)
            self.assertTrue(all(map(str.isprintable, lines)))


MALFORMED = (
    (READY,),
    (b"DATAROW a", READY),
    (b"COMPLETE ", READY),
    (b"COMPLETE", READY),
    (b"COMPLETE s", b"DATAROW a", READY),
    (b"COMPLETE s", b"COMPLETE t", READY),
    (b"COMPLETE s", b"ERROR BUSY full", READY),
    (b"ERROR BUSY full", b"COMPLETE s", READY),
    (b"ERROR BUSY full", b"DATAROW a", READY),
    (b"ERROR BUSY full", b"ERROR BUSY full", READY),
    (b"COMPLETE s", b"READY X 1.5"),
    (b"COMPLETE s", b"READY I"),
    (b"COMPLETE s", b"READY I 1.5 x"),
    (b"COMPLETE s", "READY I 1.\u0665".encode()),
    (b"COMPLETE s", b"READY I \xff"),
    (b"complete s", READY),
    (b"ERROR", READY),
    (b"ERROR ", READY),
    (b"ERROR  full", READY),
    (b"", READY),
)


class StatusTest(unittest.TestCase):
    """A status row that is not of the page's form tells nothing."""

    def test_database_of_an_unknown_role_is_not_taken_for_a_replica(self) -> None:
        for role in ("king", "", "Primary", "primary\0", "primary\xa0"):
            with self.subTest(role), self.assertRaises(wire.WireError):
                wire_replies.decode_status((f"{role} 3 3.1209 0 12 2 17",))


class MalformedTest(unittest.IsolatedAsyncioTestCase):
    """A malformed reply is nobody's success; the connection is not used again."""

    async def connect(self) -> tuple[LineConnection, FakeTransport]:
        """Return a connection whose session was accepted."""
        connection, transport = LineConnection(), FakeTransport()
        connection.connection_made(transport)
        database = Database("i-1", "s", "127.0.0.1:1", "a", 3, True, False)
        started = asyncio.create_task(connection.start(database))
        await asyncio.sleep(0)
        connection.data_received(READY + b"\r\n")
        await started
        return connection, transport

    async def ask(self, connection: LineConnection, data: bytes) -> list[Reply]:
        """Send a read, and return what `data` is taken for."""
        asked = asyncio.create_task(
            connection.send_requests((Request(Read("i"), "1"),))
        )
        await asyncio.sleep(0)
        connection.data_received(data)
        async with asyncio.timeout(1.0):
            return await asked

    async def test_malformed_reply_breaks_the_connection(self) -> None:
        for lines in MALFORMED:
            with self.subTest(lines):
                connection, transport = await self.connect()
                data = b"".join(line + b"\r\n" for line in lines)
                with self.assertRaises(BrokenError):
                    await self.ask(connection, data)
                self.assertTrue(transport.is_closed)

    async def test_lines_before_a_request_are_not_part_of_its_reply(self) -> None:
        """Guards against a row that another statement read (MIXED)."""
        for early in (b"DATAROW old", b"COMPLETE old", b"ERROR BUSY old"):
            with self.subTest(early):
                connection, transport = await self.connect()
                connection.data_received(early + b"\r\n")
                with self.assertRaises(SessionError):
                    await self.ask(connection, b"COMPLETE s\r\nREADY I 1.5\r\n")
                self.assertTrue(transport.is_closed)

    async def test_session_is_not_open_after_an_error(self) -> None:
        connection = LineConnection()
        connection.connection_made(FakeTransport())
        database = Database("i-1", "s", "127.0.0.1:1", "a", 3, True, False)
        started = asyncio.create_task(connection.start(database))
        await asyncio.sleep(0)
        connection.data_received(b"ERROR CONNLIMIT full\r\nREADY I -\r\n")
        with self.assertRaises(NotSentError) as raised:
            await started
        self.assertIs(raised.exception.code, Code.CONNECTION_LIMIT)

    async def test_error_without_the_end_of_its_reply_promises_what_it_says(
        self,
    ) -> None:
        """Guards against a write that runs twice, after an error that is cut off."""
        for word, has_run in (
            *(("FAILED", True), ("TIMEOUT", True), ("INDOUBT", True), ("ODD", True)),
            *(("BUSY", False), ("LAGGING", False), ("CONNLIMIT", False)),
        ):
            with self.subTest(word):
                connection, _ = await self.connect()
                request = Request(Write("i", "d"), "1")
                asked = asyncio.create_task(connection.send_requests((request,)))
                await asyncio.sleep(0)
                connection.data_received(f"ERROR {word} x\r\n".encode())
                connection.connection_lost(None)
                with self.assertRaises(SessionError) as raised:
                    await asked
                is_broken = isinstance(raised.exception, BrokenError)
                self.assertEqual(is_broken, has_run)
