"""Tests that proxies before a simulated group serve no stale read and lose no commit.

For a longer run by hand, give the first seed and the number of seeds:

    python -m tests.test_stale_reads 1000 50
"""

import sys
import unittest

from tests.simulated_checker import Findings
from tests.simulated_faults import BASIC_KINDS, Fault, FaultKind, draw_faults
from tests.simulated_sessions import Simulation

# Faults that break a rule by themselves or with others have tests of their own below.
ALONE = frozenset(
    {FaultKind.EMPTY_RESTART, FaultKind.CUT_STORE, FaultKind.DRAIN_REPLICA}
)
SEEDS = range(100, 116)


def run(seed: int, *faults: Fault, sessions: int = 12) -> Findings:
    """Return what a run with given faults shows."""
    return Simulation(seed, faults, seconds=18.0, sessions=sessions).run()


class RandomFaultsTest(unittest.TestCase):
    """Random faults, several at a time."""

    def test_no_read_is_stale_and_no_commit_is_lost(self) -> None:
        kinds = tuple(kind for kind in BASIC_KINDS if kind not in ALONE)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                faults = draw_faults(seed, kinds, count=6, until=14.0)
                findings = run(seed, *faults)
                self.assertGreater(findings.reads, 500)
                self.assertTrue(findings.is_clean, findings)


class EmptyRestartTest(unittest.TestCase):
    """A primary that comes back under its identifier with an empty log."""

    def test_no_read_runs_on_it_before_its_entry_arrives(self) -> None:
        findings = run(3, Fault(FaultKind.EMPTY_RESTART, 4.0, 0.7, 0.0))
        self.assertEqual(findings.stale_answers, [])

    def test_no_read_runs_on_it_while_the_store_is_down(self) -> None:
        findings = run(
            0,
            Fault(FaultKind.STORE_DOWN, 3.5, 6.0, 0.0),
            Fault(FaultKind.EMPTY_RESTART, 4.0, 2.0, 0.0),
        )
        self.assertEqual(findings.stale_answers, [])


class LateAnswerTest(unittest.TestCase):
    """An answer of a replica that arrives after it was promoted."""

    def test_its_position_does_not_count_as_the_leaders(self) -> None:
        ends = (
            (2023, Fault(FaultKind.DRAIN_PRIMARY, 6.403, 2.786, 0.389)),
            (2022, Fault(FaultKind.CUT_ALL, 5.885, 2.24, 0.061)),
        )
        stale = []
        for seed, end in ends:
            lag = Fault(FaultKind.LAG, 2.0, 14.0, 0.1)
            other_lag = Fault(FaultKind.LAG, 2.01, 14.0, 0.9)
            slow = Fault(FaultKind.SLOW, 4.0, 10.0, 0.0)
            stale += run(seed, lag, other_lag, slow, end, sessions=9).stale_answers
        self.assertEqual(stale, [])


class DepartedDatabaseTest(unittest.TestCase):
    """A replica that cannot reach the store, or whose successor cannot."""

    def test_survey_does_not_leave_out_a_replica_that_follows_the_primary(
        self,
    ) -> None:
        findings = run(
            8,
            Fault(FaultKind.CUT_STORE, 3.0, 9.0, 0.5),
            Fault(FaultKind.CUT_HALF, 10.0, 3.0, 0.2),
        )
        self.assertEqual((findings.stale_answers, findings.lost), ([], []))

    def test_promotion_loses_no_commit_that_an_unknown_replica_received(self) -> None:
        lost = {}
        for seed in (5, 10, 12, 14):
            findings = run(
                seed,
                Fault(FaultKind.DRAIN_REPLICA, 3.142805, 1.0, 0.428889),
                Fault(FaultKind.CUT_PROXIES, 7.824393, 5.253285, 0.823589),
                Fault(FaultKind.STORE_REFUSES, 8.613890, 1.640918, 0.520669),
                Fault(FaultKind.CUT_HALF, 10.311091, 2.999987, 0.952817),
                sessions=15,
            )
            lost[seed] = findings.lost
        self.assertEqual(lost, {5: [], 10: [], 12: [], 14: []})


def main() -> None:
    """Run all kinds of faults with the given seeds, and print what they show."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    for seed in range(first, first + count):
        findings = Simulation(seed, draw_faults(seed)).run()
        print(
            f"seed {seed}: {findings.reads} reads, {findings.writes} writes,"
            f" {findings.promotions} promotions,"
            f" {len(findings.stale_answers)} stale answers,"
            f" {len(findings.stale_runs)} stale runs, {len(findings.lost)} lost,"
            f" {len(findings.replaced_commits)} at a replaced primary"
        )
        for text in (*findings.stale_answers[:1], *findings.lost[:1]):
            print(f"  {text}")


if __name__ == "__main__":
    main()
