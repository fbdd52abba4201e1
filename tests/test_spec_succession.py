"""Exhaustive checks of the specification of succession, whole and with rules out."""

import unittest

from minicheck import check_safety

from tests.spec_succession import Bounds, Rule, World, model, violations

MAX_STATES = 100_000

LOST = "acknowledged write lost"
STALE = "read of a replaced primary handed out"

BROKEN = (
    (Rule.PAUSE_ALL, LOST),
    (Rule.NAME_LONGEST, LOST),
    (Rule.HOLD, STALE),
    (Rule.EVIDENCE_OF_UNPAUSED, STALE),
)


class SuccessionSpecificationTest(unittest.TestCase):
    """The protocol is safe while no paused replica restarts, and needs each rule."""

    def test_is_safe_within_bounds(self) -> None:
        result = check_safety(model(Bounds(writes=3)), max_states=MAX_STATES)
        self.assertTrue(result["exhaustive"])
        self.assertIs(result["properties"]["safe"]["holds"], True)

    def test_needs_each_rule(self) -> None:
        for rule, violation in BROKEN:
            with self.subTest(rule.name):
                result = check_safety(model(Bounds(), rule), max_states=MAX_STATES)
                trace = result["properties"]["safe"]["counterexample"]
                self.assertIsNotNone(trace)
                self.assertIn(violation, violations(World(**trace[-1]["state"])))

    def test_table_names_every_rule(self) -> None:
        self.assertEqual({rule for rule, _ in BROKEN}, set(Rule))

    def test_a_restart_between_pause_and_effect_loses_a_write(self) -> None:
        """The limit that docs/PLATFORM.md states."""
        bounds = Bounds(has_restart=True)
        result = check_safety(model(bounds), max_states=MAX_STATES)
        trace = result["properties"]["safe"]["counterexample"]
        self.assertIsNotNone(trace)
