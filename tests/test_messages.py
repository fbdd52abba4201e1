"""Tests of the messages between proxies and their codec."""

import doctest
import unittest

import msgspec

from beryltiller.membership import messages
from beryltiller.membership.messages import (
    MAX_MESSAGE_BYTES,
    Ack,
    BadMessage,
    ConfigurationReply,
    EndpointEntry,
    Forward,
    Gossip,
    MemberEntry,
    MessageError,
    Ping,
    decode,
    encode,
)

ENTRY = MemberEntry("127.0.0.1:7100", "a", "perth-a", 7, 1, 0, True)


class CodecTest(unittest.TestCase):
    """Messages decode to what was encoded, and other bytes are rejected."""

    def test_messages_decode_to_what_was_encoded(self) -> None:
        gossip = Gossip(
            ENTRY, members=(ENTRY,), endpoints=(EndpointEntry("d", True, 5),)
        )
        cases: tuple[messages.Message, ...] = (
            Ping(gossip),
            Ack(gossip),
            ConfigurationReply(3, 4, 200, b"\x00\xff"),
            Forward("d1", {"Term": "4"}, b"\x00statement", 900),
        )
        for message in cases:
            with self.subTest(message=message):
                self.assertEqual(decode(encode(message)).unwrap(), message)

    def test_invalid_bytes_are_rejected_with_a_reason(self) -> None:
        pack = msgspec.msgpack.encode
        cases = (
            (b"", "malformed"),
            (b"\xc1\xff", "malformed"),
            (pack({"type": "Ping"}), "malformed"),
            (pack(["Launch", 1]), "malformed"),
            (pack(["PositionRequest", 5]), "malformed"),
            (pack(["PositionRequest", "x" * 300]), "malformed"),
            (pack(["PingReply", ["a", "b", "c", 1, 1, 9]]), "malformed"),
            (b"\x91" * 100_000, "malformed"),
            (bytes(MAX_MESSAGE_BYTES + 1), "too-large"),
        )
        for data, reason in cases:
            with self.subTest(data=data[:9]):
                self.assertEqual(decode(data).failure(), BadMessage(reason))

    def test_message_over_the_limit_is_not_encoded(self) -> None:
        with self.assertRaises(MessageError):
            encode(Forward("d1", {}, bytes(MAX_MESSAGE_BYTES), 900))

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(messages).failed, 0)
