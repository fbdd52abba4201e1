"""Tests of session tokens.

They guard against forged tokens, sessions that a change of keys invalidates, tokens
over the maximum length, and a dropped mark that is taken for an unused group.
"""

import doctest
import itertools
import unittest

from beryltiller.consistency import tokens
from beryltiller.consistency.tokens import (
    MAX_GROUPS,
    MAX_TOKEN_CHARACTERS,
    Mark,
    Session,
    TokenFault,
    TokenKeys,
    decode_token,
    encode_token,
)
from beryltiller.core.decoding import MAX_NUMBER
from beryltiller.core.position import Position

OLD = b"old key, old key"
NEW = b"new key, new key"


class TokenTest(unittest.TestCase):
    """A token decodes to the session it was encoded from, or to a fault."""

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(tokens).failed, 0)

    def test_every_changed_character_is_detected(self) -> None:
        keys = TokenKeys(OLD)
        session = Session("s1").after_write("g1", Position(1, 5))
        text = encode_token(session, keys)
        for index, old in enumerate(text):
            changed = text[:index] + ("A" if old != "A" else "B") + text[index + 1 :]
            with self.subTest(index=index):
                decoded = decode_token(changed, keys).value_or(None)
                # Unused bits of the last character are not part of the token.
                self.assertIn(
                    decoded, (None, session) if index == len(text) - 1 else (None,)
                )

    def test_invalid_token_returns_its_fault(self) -> None:
        keys = TokenKeys(OLD)
        text = encode_token(Session("s1"), keys)
        cases = (
            ("", TokenFault.MALFORMED),
            ("!", TokenFault.MALFORMED),
            ("AAAA", TokenFault.MALFORMED),
            ("é" * 40, TokenFault.MALFORMED),
            ("A" * (MAX_TOKEN_CHARACTERS + 1), TokenFault.OVERSIZE),
            ("A" * 60, TokenFault.UNKNOWN_KEY),
            (text[:-4], TokenFault.TAMPERED),
            (encode_token(Session("s1"), TokenKeys(NEW)), TokenFault.UNKNOWN_KEY),
        )
        for text, fault in cases:
            with self.subTest(text=text[:20]):
                self.assertEqual(decode_token(text, keys).failure(), fault)
                self.assertEqual(fault.as_refusal().field, "Beryl-Session")

    def test_key_change_keeps_sessions_valid(self) -> None:
        configurations = (TokenKeys(OLD), TokenKeys(OLD, NEW), TokenKeys(NEW, OLD))
        session = Session("s1").after_read("g1", Position(1, 5))
        for signer, reader in itertools.pairwise(configurations):
            for signing, reading in ((signer, reader), (reader, signer)):
                text = encode_token(session, signing)
                self.assertEqual(decode_token(text, reading).unwrap(), session)

    def test_short_keys_are_refused(self) -> None:
        for current, previous in ((b"", b""), (b"short", b""), (OLD, b"short")):
            with self.subTest(current=current), self.assertRaises(ValueError):
                TokenKeys(current, previous)


class SessionTest(unittest.TestCase):
    """Marks only rise, and a dropped mark is distinct from an unused group."""

    def test_marks_rise(self) -> None:
        session = Session("s").after_write("g", Position(2, 3))
        session = session.after_write("g", Position(1, 9)).after_read(
            "g", Position(2, 5)
        )
        self.assertEqual(session.mark("g"), Mark(Position(2, 3), Position(2, 5)))
        self.assertEqual(session.mark("other"), Mark())

    def test_full_token_drops_the_least_recent_group_and_is_incomplete(self) -> None:
        session = Session("s" * 16)
        for number in range(MAX_GROUPS):
            group = f"{number:064d}"
            session = session.after_write(group, Position(2**30, 2**40 + number))
        session = session.after_read(f"{0:064d}", Position(2**30, 2**41))
        self.assertTrue(session.is_complete)
        session = session.after_write("one more", Position(1, 1))
        self.assertIsNone(session.mark(f"{1:064d}"))
        self.assertIsNone(session.mark("never used"))
        self.assertIsNotNone(session.mark(f"{0:064d}"))
        keys = TokenKeys(OLD)
        text = encode_token(session, keys)
        self.assertEqual(decode_token(text, keys).unwrap(), session)

    def test_token_of_the_longest_marks_is_accepted(self) -> None:
        """Guards against a token that the proxy refuses in the next request."""
        session, keys = Session("s" * 16), TokenKeys(OLD)
        names = [f"{number:063d}" for number in range(MAX_GROUPS)]
        for name in names:
            session = session.after_write(name, Position(MAX_NUMBER, MAX_NUMBER))
            session = session.after_read(name, Position(MAX_NUMBER, MAX_NUMBER))
        text = encode_token(session, keys)
        self.assertLessEqual(len(text), MAX_TOKEN_CHARACTERS)
        found = decode_token(text, keys).unwrap()
        self.assertFalse(found.is_complete)
        self.assertIsNone(found.mark(names[0]))
        self.assertEqual(found.mark(names[-1]), session.mark(names[-1]))

    def test_mark_removed_after_a_reported_loss_is_unknown(self) -> None:
        session = Session("s").after_write("g", Position(1, 5)).without_group("g")
        self.assertIsNone(session.mark("g"))
