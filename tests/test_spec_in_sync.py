"""Exhaustive checks of the in-sync set, with all rules and without each."""

import unittest

from tests.spec_in_sync import is_kept
from tests.spec_in_sync_world import PRIMARY, InSyncBounds, Rule

REPLICA_RESTARTS = InSyncBounds()
PRIMARY_RESTARTS = InSyncBounds(mobile=PRIMARY)
REPLICA_JOINS = InSyncBounds(is_joining=True)

# Once the replica has joined, its model is that of the replica that restarts.
SAFE = (PRIMARY_RESTARTS, REPLICA_JOINS)
BROKEN_IN: tuple[tuple[Rule, InSyncBounds], ...] = (
    (Rule.KEPT_IN_STORE, REPLICA_RESTARTS),
    (Rule.SAME_ROW, REPLICA_JOINS),
    (Rule.RECEIPT_OF_MEMBER, REPLICA_JOINS),
    (Rule.SOURCE_IS_MEMBER, PRIMARY_RESTARTS),
    (Rule.LEAVING_MEMBER_SHOWS_NOTHING, REPLICA_RESTARTS),
    (Rule.CONNECTION_BEFORE_ROW, REPLICA_RESTARTS),
    (Rule.ALL_BUT_ONE, REPLICA_RESTARTS),
    (Rule.STILL_REQUIRED, REPLICA_RESTARTS),
    (Rule.SAME_INCARNATION, REPLICA_RESTARTS),
    (Rule.FORMER_LOG_IS_REACHED, REPLICA_RESTARTS),
    (Rule.UNDER_ROW_VERSION, REPLICA_JOINS),
    (Rule.MARKED_BEFORE_REMOVED, REPLICA_RESTARTS),
    (Rule.END_SHOWN, REPLICA_RESTARTS),
    (Rule.ASKED_AFTER_END, REPLICA_RESTARTS),
    (Rule.TWO_COPIES_LEFT, REPLICA_RESTARTS),
    (Rule.REPLACED_BY_MEMBER, REPLICA_RESTARTS),
    (Rule.COVERED_ONCE_MARKED, REPLICA_RESTARTS),
    (Rule.COVERED_BESIDE_SUCCESSOR, REPLICA_RESTARTS),
)


class InSyncSpecificationTest(unittest.TestCase):
    """Reported commits are kept whichever proxy restarts, and each rule is needed."""

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


if __name__ == "__main__":
    unittest.main()
