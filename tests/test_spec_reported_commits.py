"""Exhaustive checks that reported commits are kept, with all rules and without each."""

import unittest

from minicheck import check_safety

from tests.spec_reported_commits import (
    LOST,
    Bounds,
    LateCommandsBounds,
    LaterTermBounds,
    ReportingBounds,
    Rule,
    model,
)

MAX_STATES = 150_000

TERM_NOT_IN_ROW = LaterTermBounds(
    is_proxy_cut=False, is_proxy_ahead=True, is_row_lost=True
)
LIFTED_TWICE = LateCommandsBounds(commands=2)
RESTARTED = LateCommandsBounds(restarts=True)

SAFE = (
    ReportingBounds(cuts=2),
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
    (Rule.NAMES_NEWEST_TERM, LaterTermBounds()),
    (Rule.EVERY_CHANGE, LaterTermBounds()),
    (Rule.WITHDRAWN_COUNTS, LaterTermBounds()),
    (Rule.LATER_TERM_OBJECTS, TERM_NOT_IN_ROW),
    (Rule.CANNOT_ACT, LateCommandsBounds()),
    (Rule.ALSO_WITHOUT_FENCES, LIFTED_TWICE),
    (Rule.ALSO_WITHOUT_FENCES, RESTARTED),
)


def is_kept(bounds: Bounds, *without: Rule) -> bool:
    """Return True if an exhaustive check finds no reported commit that is lost."""
    result = check_safety(model(bounds, *without), max_states=MAX_STATES)
    assert result["exhaustive"]
    holds = result["properties"][LOST]["holds"]
    assert isinstance(holds, bool)
    return holds


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


class ReportsAtOnceSpecificationTest(unittest.TestCase):
    """Without a receipt, commits are kept if the proxy hears of all that happens."""

    def test_reported_commits_are_kept_if_each_proxy_hears_in_time(self) -> None:
        bounds = ReportingBounds(cuts=0, at_once=True, is_heard_in_time=True)
        self.assertTrue(is_kept(bounds))

    def test_announcement_that_is_heard_late_loses_a_commit(self) -> None:
        self.assertFalse(is_kept(ReportingBounds(cuts=0, at_once=True)))

    def test_cut_loses_a_commit_even_if_it_is_noticed(self) -> None:
        for is_noticed in (False, True):
            with self.subTest(is_noticed=is_noticed):
                bounds = ReportingBounds(
                    at_once=True, is_heard_in_time=True, is_cut_noticed=is_noticed
                )
                self.assertFalse(is_kept(bounds))

    def test_database_that_starts_behind_a_cut_loses_a_commit(self) -> None:
        bounds = ReportingBounds(
            at_once=True, is_heard_in_time=True, is_start_known=True
        )
        self.assertFalse(is_kept(bounds))

    def test_reported_commits_are_kept_if_starts_are_known(self) -> None:
        for bounds in (
            ReportingBounds(at_once=True, is_start_known=True, is_start_slow=True),
            ReportingBounds(at_once=True, is_start_known=True, is_cut_noticed=True),
        ):
            with self.subTest(bounds):
                self.assertTrue(is_kept(bounds))
