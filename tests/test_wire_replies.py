"""Tests of replies of databases on their way to callers."""

import unittest

from beryltiller.platform import wire
from beryltiller.sessions.statements import (
    Code,
    Reply,
    SessionState,
)

READY = b"READY I 1.5"
ODD_BYTES = (b"\xff\xfe", b"a\xc3", b"\0\t \xa0", b"a\r", b"\n", b" ", b"\xed\xb3\xbf")


def forward(lines: list[bytes]) -> bytes:
    """Return what a caller receives of the lines of a database's reply."""
    decoder = wire.ReplyDecoder()
    *_, reply = [decoder.feed(line) for line in lines]
    assert reply is not None
    return wire.encode_reply(reply)


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
            (wire.encode_reply(reply), 2),
            (wire.encode_closing_error(Code.NO_ROUTE, odd), 1),
        ):
            lines = data.decode().split("\r\n")
            self.assertEqual(len(lines), count + 1)
            self.assertTrue(all(map(str.isprintable, lines)))
