"""Exhaustive checks that reported commits are kept, with all rules and without each."""

import unittest

from tests.spec_late_commands import LateCommandsBounds
from tests.spec_later_terms import LaterTermBounds
from tests.spec_parts import Rule
from tests.spec_reported_commits import Bounds, ReportingBounds, is_kept

TERM_NOT_IN_ROW = LaterTermBounds(
    is_proxy_cut=False, is_proxy_ahead=True, is_row_lost=True
)
LIFTED_TWICE = LateCommandsBounds(commands=2)
RESTARTED = LateCommandsBounds(restarts=True)

SAFE = (
    ReportingBounds(cuts=2),
    ReportingBounds(restarts=1),
    LaterTermBounds(),
    LaterTermBounds(is_proxy_cut=False),
    TERM_NOT_IN_ROW,
    LateCommandsBounds(),
    LateCommandsBounds(commands=2, restarts=True),
)
BROKEN_IN: tuple[tuple[Rule, Bounds], ...] = (
    (Rule.RECEIPT, ReportingBounds()),
    (Rule.ANNOUNCED, ReportingBounds()),
    (Rule.OUTLASTING, ReportingBounds()),
    (Rule.ENTRIES_AS_OF_CONFIRMATION, ReportingBounds()),
    (Rule.IN_ORDER, ReportingBounds()),
    (Rule.AFTER_EARLIER, ReportingBounds()),
    (Rule.SAME_PROCESS, ReportingBounds(restarts=1)),
    (Rule.NAMES_NEWEST_TERM, LaterTermBounds()),
    (Rule.EVERY_CHANGE, LaterTermBounds()),
    (Rule.WITHDRAWN_COUNTS, LaterTermBounds()),
    (Rule.LATER_TERM_OBJECTS, TERM_NOT_IN_ROW),
    (Rule.CANNOT_ACT, LateCommandsBounds()),
    (Rule.ALSO_WITHOUT_FENCES, LIFTED_TWICE),
    (Rule.ALSO_WITHOUT_FENCES, RESTARTED),
)


class ReportedCommitsSpecificationTest(unittest.TestCase):
    """Reported commits are kept, and each rule is necessary for this."""

    def test_reported_commits_are_kept_within_bounds(self) -> None:
        for bounds in SAFE:
            with self.subTest(bounds):
                self.assertTrue(is_kept(bounds))

    def test_each_rule_is_necessary(self) -> None:
        for rule, bounds in BROKEN_IN:
            with self.subTest(rule.name):
                self.assertFalse(is_kept(bounds, rule))

    def test_every_rule_has_a_case(self) -> None:
        self.assertEqual({rule for rule, _ in BROKEN_IN}, set(Rule))

    def test_row_that_the_store_has_lost_loses_a_commit(self) -> None:
        """Documents a known limitation: the proxy does not hear of the change."""
        self.assertFalse(is_kept(LaterTermBounds(is_row_lost=True)))
