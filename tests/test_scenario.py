"""Tests of which lost writes a scenario counts as allowed by the guarantees."""

import unittest

from beryltiller.benchmarks.history import Record, Rule, Violation
from beryltiller.benchmarks.scenario import (
    FreezePrimary,
    KillPrimary,
    KillProxy,
    Scenario,
    is_allowed_loss,
)
from beryltiller.core.outcome import Outcome

FAULT_AT = 100.0
KILLED = Scenario("killed", KillPrimary(), lag_ms=200.0)


def lost_write(
    ended: float, route: str = "orders", rule: Rule = Rule.LOST
) -> Violation:
    """Return a violation by a write that was acknowledged at the time `ended`."""
    record = Record("c", 1, "t", "k", True, Outcome.DONE, ended=ended, route=route)
    return Violation(rule, record, "gone")


class AllowedLossTest(unittest.TestCase):
    """A scenario must report every lost write that the guarantees do not allow."""

    def test_only_writes_of_kind_write_within_the_lag_may_be_lost(self) -> None:
        cases = (
            (lost_write(99.9), KILLED, True),
            (lost_write(99.8), KILLED, True),
            (lost_write(99.7), KILLED, False),
            (lost_write(100.2), KILLED, False),
            (lost_write(99.9, route="checkout"), KILLED, False),
            (lost_write(99.9, rule=Rule.DUPLICATED), KILLED, False),
            (lost_write(99.9), Scenario("no lag", KillPrimary()), False),
            (lost_write(99.99), Scenario("frozen", FreezePrimary(4.0)), True),
            (lost_write(99.9), Scenario("proxy", KillProxy(), lag_ms=200.0), False),
        )
        for violation, scenario, expected in cases:
            with self.subTest(violation=violation, scenario=scenario.name):
                is_allowed = is_allowed_loss(violation, scenario, FAULT_AT)
                self.assertEqual(is_allowed, expected)
