"""Exhaustive checks of the succession protocol, with all rules and without each."""

import unittest

from minicheck import check_safety

from tests.spec_succession import LOST, STALE, Bounds, Restart, Rule, model

MAX_STATES = 100_000

BROKEN = (
    (Rule.FENCE_ALL, {LOST, STALE}),
    (Rule.CHOOSE_LONGEST, {LOST}),
    (Rule.HOLD, {STALE}),
    (Rule.CONFIRM, {LOST, STALE}),
    (Rule.EVIDENCE_OF_UNFENCED, {STALE}),
    (Rule.UNDER_CLAIM, {LOST, STALE}),
    (Rule.TO_FENCED, {LOST, STALE}),
    (Rule.AWAITED, {LOST, STALE}),
    (Rule.AFTER_PROMOTION, {LOST, STALE}),
)
REPLACEMENT = Bounds(restart=Restart.BEFORE_REQUEST, replacement=Restart.BEFORE_REQUEST)
UNANSWERED = Bounds(
    restart=Restart.BEFORE_REQUEST, other_promoters=True, unanswered_request=True
)
BROKEN_IN = (
    (Rule.AT_ADDRESS, REPLACEMENT, {LOST}),
    (Rule.EVIDENCE_OF_ALL, Bounds(), {STALE}),
    (Rule.SAME_SUCCESSOR, UNANSWERED, {LOST}),
    (Rule.AFTER_PROMOTION, UNANSWERED, {LOST, STALE}),
    (Rule.CONFIRM, REPLACEMENT, {LOST, STALE}),
)


def broken_by(bounds: Bounds, *without: Rule) -> set[str]:
    """Return the violations that an exhaustive check finds without some rules."""
    result = check_safety(model(bounds, *without), max_states=MAX_STATES)
    assert result["exhaustive"]
    properties = result["properties"]
    return {name for name in (LOST, STALE) if not properties[name]["holds"]}


class SuccessionSpecificationTest(unittest.TestCase):
    """The protocol is safe unless a fenced replica restarts after the request.

    Each rule is necessary: without it, a check finds a violation.
    """

    def test_is_safe_within_bounds(self) -> None:
        for bounds in (
            Bounds(writes=3),
            Bounds(writes=3, restart=Restart.BEFORE_REQUEST),
            Bounds(restart=Restart.BEFORE_REQUEST, other_promoters=True),
            REPLACEMENT,
            UNANSWERED,
        ):
            with self.subTest(bounds):
                self.assertEqual(broken_by(bounds), set())

    def test_each_rule_is_necessary(self) -> None:
        for rule, violations in BROKEN:
            with self.subTest(rule.name):
                bounds = Bounds(restart=Restart.BEFORE_REQUEST, other_promoters=True)
                self.assertEqual(broken_by(bounds, rule), violations)

    def test_each_rule_is_necessary_in_special_cases(self) -> None:
        for rule, bounds, violations in BROKEN_IN:
            with self.subTest(rule.name):
                self.assertEqual(broken_by(bounds, rule), violations)

    def test_every_rule_has_a_case(self) -> None:
        cases = {rule for rule, _ in BROKEN} | {rule for rule, _, _ in BROKEN_IN}
        self.assertEqual(cases, set(Rule))

    def test_restart_between_request_and_effect_loses_a_write(self) -> None:
        """Documents the known limitation that docs/PLATFORM.md describes."""
        bounds = Bounds(restart=Restart.ANY_TIME)
        self.assertEqual(broken_by(bounds), {LOST, STALE})

    def test_restart_before_an_unanswered_promotion_takes_effect_loses_a_write(
        self,
    ) -> None:
        """Documents a known limitation: the same, for the seconds that this takes."""
        bounds = Bounds(restart=Restart.ANY_TIME, unanswered_request=True)
        self.assertEqual(broken_by(bounds), {LOST, STALE})

    def test_successor_that_starts_between_request_and_effect_loses_a_write(
        self,
    ) -> None:
        """Documents a known limitation: nothing answers at the address before."""
        bounds = Bounds(replacement=Restart.ANY_TIME)
        self.assertEqual(broken_by(bounds), {LOST})

    def test_replica_that_follows_the_old_primary_after_the_promotion_loses_a_write(
        self,
    ) -> None:
        """Documents a known limitation: it cannot reach the new primary."""
        bounds = Bounds(cut_off_replica=True)
        self.assertEqual(broken_by(bounds), {LOST})
