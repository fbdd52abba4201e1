"""Tests of log positions and histories."""

import doctest
import unittest

from beryltiller.core import position
from beryltiller.core.position import History, Position, TermStart


class PositionTest(unittest.TestCase):
    """Positions are parsed, printed and ordered by term first."""

    def test_printed_position_is_parsed_back(self) -> None:
        self.assertEqual(Position.parse(str(Position(3, 17))), Position(3, 17))

    def test_parse_rejects_invalid_text(self) -> None:
        for text in ("", "3", "3:", "a:b", "-1:2", "1:-2"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                Position.parse(text)

    def test_later_term_is_more_advanced(self) -> None:
        self.assertGreater(Position(2, 1), Position(1, 100))


class HistoryTest(unittest.TestCase):
    """A log's history decides which positions the log contains."""

    def test_log_contains_an_entry_only_in_the_term_that_wrote_it(self) -> None:
        history = History((TermStart(1, 1), TermStart(3, 8)))
        cases = (
            (Position(0, 0), True),
            (Position(1, 7), True),
            (Position(1, 8), False),
            (Position(3, 8), True),
            (Position(3, 10), False),
        )
        for wanted, is_contained in cases:
            with self.subTest(wanted=wanted):
                self.assertEqual(history.contains(wanted, last_index=9), is_contained)

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(position).failed, 0)
