"""Tests that no commit is lost while databases, entries and calls come late.

For a longer run by hand, give the first seed and the number of seeds, and optionally
the seconds that a promotion takes. `--no-fencing` lets the platform accept promotions
of earlier holders of the duty, and `--events` prints what happened:

    python -m tests.test_lost_commits 1000 50 1.0 --events
"""

import random
import sys
import unittest

from tests.simulated_checker import Findings
from tests.simulated_faults import Fault, FaultKind, draw_faults
from tests.simulated_sessions import Simulation

# When databases end and others start, after the beginning of a fault.
CHANGES = {
    FaultKind.RELEASE: (0.5, 7.0),
    FaultKind.DRAIN_REPLICA: (6.0, 9.0),
    FaultKind.DRAIN_PRIMARY: (0.0, 9.0),
    FaultKind.JOIN: (0.0, 9.0),
}
CUTS = (
    FaultKind.CUT_PROXIES,
    FaultKind.CUT_PROXIES,
    FaultKind.CUT_HALF,
    FaultKind.CUT_ALL,
    FaultKind.CUT_REPLICAS,
    FaultKind.LOSE_PRIMARY,
    FaultKind.CRASH_PRIMARY,
)
OTHERS = (
    FaultKind.CUT_PROXIES,
    FaultKind.RESTART_ALL,
    FaultKind.RESTART,
    FaultKind.STORE_REFUSES,
    FaultKind.STORE_DOWN,
    FaultKind.FREEZE,
    FaultKind.FREEZE_HOLDER,
    FaultKind.SLOW,
    FaultKind.CRASH_REPLICA,
)
LATE = (
    FaultKind.LATE_ENTRY,
    FaultKind.LATE_START,
    FaultKind.LATE_WRITES,
    FaultKind.LATE_PROMOTION,
)
# A replica ends, and what succeeds it starts late and enters the store late.
UNKNOWN_SUCCESSOR = (
    Fault(FaultKind.LATE_ENTRY, 2.0, 12.0, 0.8),
    Fault(FaultKind.LATE_START, 2.0, 10.0, 0.5),
    Fault(FaultKind.DRAIN_REPLICA, 3.0, 1.0, 0.1),
)
SECONDS = 18.0
SEEDS = range(1000, 1010)
PROMOTE_SECONDS = (0.3, 1.0)


def draw_late_faults(seed: int) -> tuple[Fault, ...]:
    """Draw a change of the databases, a cut during it, what is late, and others."""
    rng = random.Random(seed)
    kind = rng.choice(tuple(CHANGES))
    change = Fault(kind, rng.uniform(2.0, 4.0), rng.uniform(0.5, 2.0), rng.random())
    cut_at = change.at + rng.uniform(*CHANGES[kind])
    cut = Fault(rng.choice(CUTS), cut_at, rng.uniform(1.0, 5.0), rng.random())
    late = tuple(
        Fault(each, rng.uniform(2.0, 4.0), rng.uniform(4.0, 10.0), rng.random())
        for each in LATE
        if rng.random() < 0.6
    )
    others = draw_faults(seed, OTHERS, count=rng.randint(0, 3), until=13.0)
    return tuple(sorted((change, cut, *late, *others), key=lambda each: each.at))


def simulate(
    seed: int, promote_seconds: float, requires_fencing: bool = True
) -> Simulation:
    """Return a run with random faults."""
    simulation = Simulation(
        seed,
        draw_late_faults(seed),
        seconds=SECONDS,
        sessions=12,
        promote_seconds=promote_seconds,
        requires_fencing=requires_fencing,
    )
    simulation.run()
    return simulation


def run(seed: int, *faults: Fault, promote_seconds: float = 0.3) -> Findings:
    """Return what a run with given faults shows."""
    return Simulation(
        seed, faults, seconds=15.0, sessions=9, promote_seconds=promote_seconds
    ).run()


class LateFaultsTest(unittest.TestCase):
    """Random changes of the databases with what is late, and cuts during them."""

    def test_no_read_is_stale_and_no_commit_is_lost(self) -> None:
        broken = {}
        for seed in SEEDS:
            promote_seconds = PROMOTE_SECONDS[seed % len(PROMOTE_SECONDS)]
            findings = simulate(seed, promote_seconds).checker.findings
            self.assertGreater(findings.reads, 300)
            if not findings.is_clean:
                broken[seed] = findings
        self.assertEqual(broken, {})


class UnknownDatabaseTest(unittest.TestCase):
    """A promoting proxy that does not know a database that receives commits."""

    def test_promotion_keeps_commits_that_an_unknown_successor_at_an_address_received(
        self,
    ) -> None:
        findings = run(
            1,
            Fault(FaultKind.LATE_ENTRY, 2.0, 6.0, 0.8),
            Fault(FaultKind.DRAIN_REPLICA, 3.0, 1.0, 0.1),
            Fault(FaultKind.CUT_PROXIES, 9.2, 3.5, 0.4),
        )
        self.assertGreater(findings.writes, 300)
        self.assertEqual(findings.lost, [])

    def test_promotion_keeps_commits_that_a_successor_received_after_the_last_fence(
        self,
    ) -> None:
        findings = run(
            3,
            *UNKNOWN_SUCCESSOR,
            Fault(FaultKind.CUT_PROXIES, 11.1, 3.5, 0.4),
            promote_seconds=1.0,
        )
        self.assertEqual(findings.lost, [])

    def test_promotion_keeps_commits_that_an_unknown_joining_database_received(
        self,
    ) -> None:
        findings = run(
            0,
            Fault(FaultKind.JOIN, 3.0, 3.0, 0.9),
            Fault(FaultKind.CUT_PROXIES, 5.0, 3.5, 0.4),
        )
        self.assertEqual(findings.lost, [])

    def test_promotion_keeps_commits_that_a_successor_beyond_a_partition_received(
        self,
    ) -> None:
        findings = run(
            0,
            *UNKNOWN_SUCCESSOR,
            Fault(FaultKind.CUT_HALF, 12.2, 3.5, 0.4),
        )
        self.assertEqual(findings.lost, [])
        self.assertEqual(findings.replaced_commits, [])

    def test_commits_reported_beyond_a_cut_from_the_promoter_and_the_store_are_kept(
        self,
    ) -> None:
        broken = {}
        for seed, choice in ((0, 0.76), (23, 0.95), (104, 0.87)):
            findings = run(
                seed,
                Fault(FaultKind.LATE_ENTRY, 2.0, 8.0, 0.9),
                Fault(FaultKind.JOIN, 3.0, 3.0, 0.9),
                Fault(FaultKind.CUT_HALF, 5.5, 4.0, choice),
            )
            if findings.lost or findings.replaced_commits:
                broken[seed] = len(findings.lost), len(findings.replaced_commits)
        self.assertEqual(broken, {})

    def test_reads_include_commits_that_an_unknown_joining_database_received(
        self,
    ) -> None:
        findings = run(
            1,
            Fault(FaultKind.JOIN, 3.0, 3.0, 0.9),
            Fault(FaultKind.CUT_HALF, 4.5, 4.0, 0.8),
        )
        self.assertEqual(findings.stale_answers, [])

    def test_promoted_log_is_not_shorter_than_that_of_the_primary_that_stepped_down(
        self,
    ) -> None:
        findings = run(
            1,
            Fault(FaultKind.LATE_ENTRY, 2.0, 6.0, 0.8),
            Fault(FaultKind.DRAIN_REPLICA, 2.0, 1.0, 0.9),
            Fault(FaultKind.RESTART_ALL, 9.5, 1.0, 0.5),
            Fault(FaultKind.DEAF, 10.3, 3.0, 0.1),
            Fault(FaultKind.DRAIN_PRIMARY, 10.6, 1.0, 0.1),
        )
        self.assertEqual(findings.lost, [])


def main() -> None:
    """Run the given seeds, and print what they show."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    promote_seconds = float(sys.argv[3]) if len(sys.argv) > 3 else 0.3
    requires_fencing = "--no-fencing" not in sys.argv
    for seed in range(first, first + count):
        simulation = simulate(seed, promote_seconds, requires_fencing)
        findings = simulation.checker.findings
        print(
            f"seed {seed}: {findings.reads} reads, {findings.writes} writes,"
            f" {findings.promotions} promotions,"
            f" {len(findings.stale_answers)} stale answers,"
            f" {len(findings.stale_runs)} stale runs, {len(findings.lost)} lost,"
            f" {len(findings.replaced_commits)} at a replaced primary",
            flush=True,
        )
        if "--events" in sys.argv:
            print("\n".join(simulation.checker.events))


if __name__ == "__main__":
    main()
