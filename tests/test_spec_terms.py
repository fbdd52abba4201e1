"""Exhaustive checks of the model of terms, complete and with rules removed.

A rule whose removal went unnoticed would be either unnecessary or not modelled, so
the removal of each must violate an invariant.
"""

import unittest

from minicheck import check_safety

from tests.spec_terms import Bounds, Rule, World, model, violations

MAX_STATES = 300_000

EVIDENCE = Bounds(2, 2, 2, has_evidence=True, has_two_logs=True)
THREE_TERMS = Bounds(3, 1, 1, True, False, has_switchover=False, has_lost_answers=False)
TWO_PROMOTERS = Bounds(
    3, 1, 2, False, True, has_switchover=False, has_lost_answers=False
)
# Two writes in three terms, so that two logs may each end in entries of their own.
UNREPLICATED_TAILS = Bounds(
    3, 2, 1, False, True, has_switchover=False, has_lost_answers=False
)

REPLACED_ACKNOWLEDGED = "write of a replaced primary acknowledged on evidence"
SAFE_WRITE_LOST = "write in two logs lost"
TERM_OPENED_TWICE = "term opened twice"

RULE_REMOVALS = (
    (Rule.CLAIM_BY_COMPARE_AND_SET, EVIDENCE, TERM_OPENED_TWICE),
    (Rule.CLAIM_OWN_TERM, EVIDENCE, TERM_OPENED_TWICE),
    (Rule.FENCE_TWO, EVIDENCE, SAFE_WRITE_LOST),
    (Rule.CHOOSE_MOST_ADVANCED, TWO_PROMOTERS, SAFE_WRITE_LOST),
    (Rule.COMPARE_TERM_FIRST, UNREPLICATED_TAILS, SAFE_WRITE_LOST),
    (Rule.KEEP_CHOICE, EVIDENCE, TERM_OPENED_TWICE),
    (Rule.WAIT_FOR_LAPSE, EVIDENCE, REPLACED_ACKNOWLEDGED),
    (Rule.COUNT_FORMER_PRIMARY, EVIDENCE, REPLACED_ACKNOWLEDGED),
    (Rule.DATE_FROM_START, EVIDENCE, REPLACED_ACKNOWLEDGED),
    (Rule.PENDING_IS_NO_EVIDENCE, EVIDENCE, REPLACED_ACKNOWLEDGED),
    (Rule.COUNT_LOGS_IN_TERM, UNREPLICATED_TAILS, SAFE_WRITE_LOST),
)


class SpecificationTest(unittest.TestCase):
    """Tests that the protocol is safe within bounds and that it needs every rule."""

    def test_protocol_is_safe_within_bounds(self) -> None:
        cases = (
            ("evidence", EVIDENCE, 87_372),
            ("three terms", THREE_TERMS, 30_887),
            ("two promoters", TWO_PROMOTERS, 143_014),
            ("unreplicated tails", UNREPLICATED_TAILS, 131_524),
        )
        for name, bounds, states in cases:
            with self.subTest(name):
                result = check_safety(model(bounds), max_states=MAX_STATES)
                self.assertTrue(result["exhaustive"])
                self.assertIs(result["properties"]["safe"]["holds"], True)
                self.assertEqual(result["reachable_states"], states)

    def test_removal_of_each_rule_violates_an_invariant(self) -> None:
        for rule, bounds, violation in RULE_REMOVALS:
            with self.subTest(rule.name):
                result = check_safety(model(bounds, rule), max_states=MAX_STATES)
                trace = result["properties"]["safe"]["counterexample"]
                self.assertIsNotNone(trace)
                self.assertIn(violation, violations(World(**trace[-1]["state"])))

    def test_every_rule_has_a_removal(self) -> None:
        self.assertEqual({rule for rule, _, _ in RULE_REMOVALS}, set(Rule))


if __name__ == "__main__":
    unittest.main()
