"""Model checking of adoption's specification, with and without each of its rules."""

import unittest

from minicheck import check_safety

from tests.spec_adoption import Rule, adoption


class AdoptionSpecificationTest(unittest.TestCase):
    """No host goes back to an older version, and each rule is needed for that."""

    def test_never_reverts(self) -> None:
        result = check_safety(adoption())
        self.assertTrue(result["exhaustive"])
        self.assertEqual(result["reachable_states"], 72_685)
        for name, verdict in result["properties"].items():
            with self.subTest(invariant=name):
                self.assertTrue(verdict["holds"])

    def test_each_rule_is_needed(self) -> None:
        for rule in Rule:
            with self.subTest(without=rule.value):
                result = check_safety(adoption(without=rule))
                verdict = result["properties"]["never_reverts"]
                self.assertIs(verdict["holds"], False)
