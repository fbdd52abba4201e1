"""Exhaustive checks of the succession protocol, with all rules and without each."""

import unittest

from minicheck import check_safety

from tests.spec_succession import Bounds, Restart, Rule, World, model, violations

MAX_STATES = 100_000

LOST = "acknowledged write lost"
STALE = "read of a replaced primary returned"

BROKEN = (
    (Rule.FENCE_ALL, LOST),
    (Rule.CHOOSE_LONGEST, LOST),
    (Rule.HOLD, STALE),
    (Rule.CONFIRM, LOST),
    (Rule.EVIDENCE_OF_UNFENCED, STALE),
)


class SuccessionSpecificationTest(unittest.TestCase):
    """The protocol is safe unless a fenced replica restarts after the request.

    Each rule is necessary: without it, a check finds a violation.
    """

    def test_is_safe_within_bounds(self) -> None:
        for restart in (Restart.NEVER, Restart.BEFORE_REQUEST):
            with self.subTest(restart.name):
                bounds = Bounds(writes=3, restart=restart)
                result = check_safety(model(bounds), max_states=MAX_STATES)
                self.assertTrue(result["exhaustive"])
                self.assertIs(result["properties"]["safe"]["holds"], True)

    def test_each_rule_is_necessary(self) -> None:
        for rule, violation in BROKEN:
            with self.subTest(rule.name):
                bounds = Bounds(restart=Restart.BEFORE_REQUEST)
                result = check_safety(model(bounds, rule), max_states=MAX_STATES)
                trace = result["properties"]["safe"]["counterexample"]
                self.assertIsNotNone(trace)
                self.assertIn(violation, violations(World(**trace[-1]["state"])))

    def test_every_rule_has_a_case(self) -> None:
        self.assertEqual({rule for rule, _ in BROKEN}, set(Rule))

    def test_restart_between_request_and_effect_loses_a_write(self) -> None:
        """Documents the known limitation that docs/PLATFORM.md describes."""
        bounds = Bounds(restart=Restart.ANY_TIME)
        result = check_safety(model(bounds), max_states=MAX_STATES)
        trace = result["properties"]["safe"]["counterexample"]
        self.assertIsNotNone(trace)
