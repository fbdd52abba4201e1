"""Review: ways by which a reported commit can still be lost. These tests fail."""

import asyncio
import unittest

from beryltiller.core.position import Position
from beryltiller.sessions.databases import receipts
from beryltiller.sessions.statements import DatabaseStatus
from tests.fake_group import FakeDatabase
from tests.simulated_checker import Findings
from tests.simulated_databases import SimulatedDatabase
from tests.simulated_network import STORE
from tests.simulated_sessions import Simulation
from tests.test_receipts import create_group

CUT_AT = 3.0


class SourceTest(unittest.TestCase):
    """A database is no copy of its own commits, whichever member stands for it."""

    def test_primary_whose_entry_lapsed_and_returned_shows_no_receipt(self) -> None:
        group = create_group()
        source = group.members["p"]
        others = tuple(FakeDatabase(name).entry() for name in ("q", "r"))
        group.update(others, 1.0)
        group.update((*others, FakeDatabase("p").entry()), 2.0)
        status = DatabaseStatus(False, 2, Position(2, 7), 3)
        group.record_status(group.members["p"], status, 2.1)
        self.assertFalse(receipts.is_received(group, source, Position(2, 7), 0))


def run_cut_zone(seed: int, restart_after: float, cut_seconds: float) -> Findings:
    """Cut off the primary, a replica and a proxy; restart a proxy of the other side.

    Two of the four databases are on the other side, so that the lone replica's longer
    wait does not apply.
    """

    async def cut(simulation: Simulation) -> None:
        await asyncio.sleep(CUT_AT)
        first, *others = simulation.proxies
        side = ["h1", "h2", first.name]
        rest = ["h3", "h4", STORE, *(each.name for each in others)]
        pairs = [(one, other) for one in side for other in rest]
        for pair in pairs:
            simulation.network.cut(*pair)
        await asyncio.sleep(cut_seconds)
        for pair in pairs:
            simulation.network.mend(*pair)

    async def restart(simulation: Simulation) -> None:
        await asyncio.sleep(CUT_AT + restart_after)
        simulation.checker.trace(f"{simulation.proxies[-1].name} restarts")
        if restart_after:
            simulation.proxies[-1].restart()

    simulation = Simulation(seed, (cut, restart), seconds=20.0, sessions=12)
    simulation.group.hosts["h4"] = SimulatedDatabase("d4", "h4", "a")
    return simulation.run()


class RestartedPromoterTest(unittest.TestCase):
    """A promoter that started after the entries of databases had lapsed."""

    def test_commits_that_a_replica_with_a_lapsed_entry_received_are_kept(self) -> None:
        broken = {}
        for seed in range(4):
            findings = run_cut_zone(seed, restart_after=4.0, cut_seconds=12.0)
            if findings.lost or findings.replaced_commits:
                broken[seed] = len(findings.lost), len(findings.replaced_commits)
        self.assertEqual(broken, {})

    def test_without_a_restart_commits_are_kept(self) -> None:
        for seed in range(4):
            findings = run_cut_zone(seed, restart_after=0.0, cut_seconds=12.0)
            self.assertEqual((findings.lost, findings.replaced_commits), ([], []))


if __name__ == "__main__":
    unittest.main()
