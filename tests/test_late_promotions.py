"""Tests of promotions that a platform which checks no fences carries out late."""

import unittest

from tests.simulated_faults import Fault, FaultKind
from tests.simulated_sessions import Simulation

FAULTS = (
    Fault(FaultKind.LATE_PROMOTION, 2.0, 10.0, 0.684),
    Fault(FaultKind.CUT_PROXIES, 4.0, 3.0, 0.096),
    Fault(FaultKind.CRASH_PRIMARY, 8.167, 2.0, 0.684),
    Fault(FaultKind.CUT_PROXIES, 11.0, 4.0, 0.605),
)


class LatePromotionTest(unittest.TestCase):
    """A promotion without an answer takes effect up to 6 s after its request."""

    def test_commits_after_the_end_of_its_claim_are_kept(self) -> None:
        simulation = Simulation(
            69, FAULTS, seconds=17.0, sessions=12, requires_fencing=False
        )
        findings = simulation.run()
        self.assertEqual((findings.lost, findings.replaced_commits), ([], []))


if __name__ == "__main__":
    unittest.main()
