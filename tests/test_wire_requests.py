"""Tests of the lines that are written to databases."""

import asyncio
import unittest
from typing import Any
from unittest.mock import patch

from beryltiller.core.position import Position
from beryltiller.platform import line_splitter, wire
from beryltiller.platform.databases import LineConnection
from beryltiller.platform.line_splitter import LineSplitter
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.statements import (
    Code,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Request,
    SetValue,
    Write,
)
from tests.ingress_caller import FakeTransport
from tests.page_reader import read_query

UNWRITABLE = (
    Request(Read("")),
    Request(Read("a\r\nQUERY - PAUSE 9")),
    Request(Read("a\nb")),
    Request(Read("a\rb")),
    Request(Read("\udcff")),
    Request(Read("a"), "5 READ b"),
    Request(Read("a"), "-"),
    Request(Write("a b", "d")),
    Request(Write("", "d")),
    Request(SetValue("a b", "v")),
    Request(SetValue("a", "")),
    Request(Prepare("r-q READ x", False, "q READ x")),
    Request(Prepare("p1", False, "")),
    Request(Execute("p 1", "i")),
    Request(Execute("p1", "")),
    Request(Execute("p1", " d")),
    Request(Deallocate("")),
    Request(Write("a", "x" * wire.MAX_LINE_BYTES)),
)


class UnwritableTest(unittest.IsolatedAsyncioTestCase):
    """A request that a database would read otherwise is not sent."""

    def test_request_that_would_be_read_otherwise_is_not_written(self) -> None:
        for request in UNWRITABLE:
            with self.subTest(repr(request)[:80]), self.assertRaises(wire.WireError):
                wire.encode_request(request)

    def test_startup_that_would_be_read_otherwise_is_not_written(self) -> None:
        for service, name in (("", "i"), ("a b", "i"), ("a\nb", "i"), ("a", "i\r\nb")):
            with self.subTest((service, name)), self.assertRaises(wire.WireError):
                wire.encode_startup(service, name)

    async def test_connection_remains_usable(self) -> None:
        connection, transport = LineConnection(), FakeTransport()
        connection.connection_made(transport)
        for request in UNWRITABLE:
            with self.assertRaises(NotSentError) as raised:
                async with asyncio.timeout(1.0):
                    await connection.send_requests((Request(Read("a"), "1"), request))
            self.assertIs(raised.exception.code, Code.MALFORMED)
        self.assertEqual(transport.written, b"")
        self.assertTrue(connection.is_open)


class WrittenTest(unittest.TestCase):
    """Lines that are written have the fields that were given."""

    def test_longest_message_is_written(self) -> None:
        rest = wire.MAX_LINE_BYTES - len(b"QUERY 5 WRITE a \r\n")
        line = wire.encode_request(Request(Write("a", "x" * rest), "5"))
        self.assertEqual(len(line), wire.MAX_LINE_BYTES)

    def test_data_may_be_empty(self) -> None:
        for statement, fields in (
            (Write("a", ""), ("a", "")),
            (Execute("p1", "a "), ("p1", "a", "")),
            (Execute("p1", "a  b"), ("p1", "a", " b")),
        ):
            request = Request(statement, "5", Position(3, 4))
            line = wire.encode_request(request).removesuffix(b"\r\n")
            query = read_query(line)
            self.assertEqual((query.since, query.fields), ("3.4", fields))


class SearchedBytes(bytearray):
    """A buffer that counts the bytes in which a line end was searched."""

    searched = 0

    def find(self, *arguments: Any) -> int:
        _, start = arguments
        SearchedBytes.searched += len(self) - start
        return super().find(*arguments)


class LineLengthTest(unittest.TestCase):
    """A message is at most 1 MiB, with its line end."""

    LONGEST = b"x" * (wire.MAX_LINE_BYTES - 2)

    def test_complete_line_that_is_too_long_is_an_error(self) -> None:
        for data in (self.LONGEST + b"x\r\n", b"a\r\n" + self.LONGEST + b"x\r\nb\r\n"):
            with self.assertRaises(wire.WireError):
                LineSplitter().feed(data)

    def test_longest_line_is_complete_in_any_pieces(self) -> None:
        for size in (1 << 12, wire.MAX_LINE_BYTES - 1):
            splitter = LineSplitter()
            data = self.LONGEST + b"\r\nb\r\n"
            pieces = [data[n : n + size] for n in range(0, len(data), size)]
            lines = [line for piece in pieces for line in splitter.feed(piece)]
            self.assertEqual(lines, [self.LONGEST, b"b"])

    def test_line_in_many_pieces_is_searched_once(self) -> None:
        """Guards against a caller that occupies the processor with one long line."""
        with patch.object(line_splitter, "bytearray", SearchedBytes, create=True):
            splitter = LineSplitter()
        SearchedBytes.searched = 0
        for _ in range(4096):
            splitter.feed(b"x" * 60)
        self.assertGreaterEqual(SearchedBytes.searched, 4096 * 60)
        self.assertLessEqual(SearchedBytes.searched, 2 * 4096 * 60)
