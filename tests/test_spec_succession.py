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
    (Rule.OUTLASTING, {LOST, STALE}),
    (Rule.AFTER_PROMOTION, {LOST, STALE}),
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
        ):
            with self.subTest(bounds):
                self.assertEqual(broken_by(bounds), set())

    def test_each_rule_is_necessary(self) -> None:
        for rule, violations in BROKEN:
            with self.subTest(rule.name):
                bounds = Bounds(restart=Restart.BEFORE_REQUEST, other_promoters=True)
                self.assertEqual(broken_by(bounds, rule), violations)

    def test_every_rule_has_a_case(self) -> None:
        self.assertEqual({rule for rule, _ in BROKEN}, set(Rule))

    def test_restart_between_request_and_effect_loses_a_write(self) -> None:
        """Documents the known limitation that docs/PLATFORM.md describes."""
        bounds = Bounds(restart=Restart.ANY_TIME)
        self.assertEqual(broken_by(bounds), {LOST, STALE})
