"""Exhaustive checks of reports without news of the store, with and without rules."""

import unittest

from tests.spec_unseen_changes import Rule, is_kept


class UnseenChangesSpecificationTest(unittest.TestCase):
    """Reported commits are kept without news of the store, and each rule is needed."""

    def test_reported_commits_are_kept(self) -> None:
        self.assertTrue(is_kept())

    def test_each_rule_is_necessary(self) -> None:
        for rule in Rule:
            with self.subTest(rule.name):
                self.assertFalse(is_kept(rule))


if __name__ == "__main__":
    unittest.main()
