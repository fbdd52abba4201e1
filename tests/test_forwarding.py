"""Tests of the messages that forward statements to a peer and return results."""

import unittest

from msgspec.structs import replace

from beryltiller.admission.tickets import Ticket
from beryltiller.consistency.attempts import Answered, Lost, Refused, Result
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import EndpointAnswer, Load, Statement
from beryltiller.core.position import Position
from beryltiller.dispatching.forwarding import (
    from_message,
    from_reply,
    refuse_malformed,
    to_message,
    to_reply,
)
from beryltiller.membership import messages

STATEMENT = Statement(
    Kind.UNSAFE_WRITE, b"\x00body", 3, Position(2, 7), "shop k1", "", 1.5
)
TICKET = Ticket("entry-1-1", "shop", Kind.UNSAFE_WRITE, deadline=11.5)


class ForwardTest(unittest.TestCase):
    """A statement and its result are encoded and decoded without change.

    A peer that lost a condition, such as the term or the deadline, would run the
    statement under weaker guarantees.
    """

    def test_statement_is_decoded_unchanged(self) -> None:
        sent = messages.encode(to_message("g1-d1", STATEMENT, TICKET))
        message = messages.decode(sent).unwrap()
        assert isinstance(message, messages.Forward)
        forwarded = from_message(message, now=10.0)
        self.assertEqual(forwarded.statement, STATEMENT)
        self.assertEqual(forwarded.ticket, TICKET)

    def test_results_are_decoded_unchanged(self) -> None:
        answer = EndpointAnswer(b"whole", Position(3, 9), Load(3, 1, 0, 7, 20), True)
        results: tuple[Result, ...] = (
            Answered(answer),
            Refused("term", "in term 4"),
            Lost("no complete answer"),
        )
        for result in results:
            with self.subTest(result=result):
                sent = messages.encode(to_reply(result))
                self.assertEqual(from_reply(messages.decode(sent).unwrap()), result)

    def test_unreadable_reply_is_lost_and_never_refused(self) -> None:
        replies = (
            messages.ForwardReply(200, {}, b"body"),
            messages.ForwardReply(200, {"position": "x"}, b"body"),
            messages.ForwardReply(500, {}, b""),
            messages.PositionReply("1:1", 0),
        )
        for reply in replies:
            with self.subTest(reply=reply):
                self.assertIsInstance(from_reply(reply), Lost)

    def test_refusal_of_a_long_malformed_statement_can_be_read(self) -> None:
        """Guards against a refusal that the sender takes for an unknown outcome."""
        valid = to_message("g1-d1", STATEMENT, TICKET)
        for name in ("kind", "term", "at-least"):
            headers = {**valid.headers, name: "\u00e9" * 600}
            with self.subTest(name), self.assertRaises(ValueError) as caught:
                from_message(replace(valid, headers=headers), now=10.0)
            sent = messages.encode(refuse_malformed(caught.exception))
            found = from_reply(messages.decode(sent).unwrap())
            assert isinstance(found, Refused)
            self.assertEqual(found.code, "malformed")

    def test_text_that_no_header_can_hold_is_malformed(self) -> None:
        """Guards against a statement that is never answered, as it cannot be sent."""
        valid = to_message("g1-d1", STATEMENT, TICKET)
        for name in ("key", "traceparent"):
            for text in ("a\r\nTerm: 9", "a\0", "a\n", "\u00e9", " a", "a "):
                headers = {**valid.headers, name: text}
                with self.subTest(name, text=text), self.assertRaises(ValueError):
                    from_message(replace(valid, headers=headers), now=10.0)

    def test_refusal_by_a_peer_is_refused(self) -> None:
        result = from_reply(messages.Refused("busy", "queue"))
        self.assertEqual(result, Refused("busy", "queue"))
