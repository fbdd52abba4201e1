"""Tests of what a scenario counts as a broken promise."""

import unittest

from beryltiller.benchmarks.history import Record, Rule, Violation
from beryltiller.benchmarks.scenario import (
    FreezePrimary,
    KillPrimary,
    KillProxy,
    Scenario,
    is_loss_in_lag,
)
from beryltiller.core.outcome import Outcome

FAULT_AT = 100.0
KILLED = Scenario("killed", KillPrimary(), lag_ms=200.0)


def lost(ended: float, route: str = "orders", rule: Rule = Rule.LOST) -> Violation:
    """Return a violation by a write that was acknowledged at `ended`."""
    record = Record("c", 1, "t", "k", True, Outcome.DONE, ended=ended, route=route)
    return Violation(rule, record, "gone")


class LossInLagTest(unittest.TestCase):
    """Only what the guarantees allow to be lost is not a broken promise."""

    def test_cases(self) -> None:
        cases = (
            (lost(99.9), KILLED, True),
            (lost(99.8), KILLED, True),
            (lost(99.7), KILLED, False),
            (lost(100.2), KILLED, False),
            (lost(99.9, route="checkout"), KILLED, False),
            (lost(99.9, rule=Rule.DOUBLED), KILLED, False),
            (lost(99.9), Scenario("no lag", KillPrimary()), False),
            (lost(99.99), Scenario("frozen", FreezePrimary(4.0)), True),
            (lost(99.9), Scenario("proxy", KillProxy(), lag_ms=200.0), False),
        )
        for violation, scenario, allowed in cases:
            with self.subTest(violation=violation, scenario=scenario.name):
                found = is_loss_in_lag(violation, scenario, FAULT_AT)
                self.assertEqual(found, allowed)
