"""Tests of what a proxy without news of the store must not report or answer."""

import asyncio
import unittest
from unittest import mock

from tests.simulated_checker import Findings
from tests.simulated_databases import SimulatedDatabase, SimulatedGroup
from tests.simulated_lifecycle import Lifecycle
from tests.simulated_network import STORE
from tests.simulated_proxy import SimulatedProxy
from tests.simulated_sessions import Simulation
from tests.turned_away_callers import Served, call

SEEDS = range(4)


async def until(simulation: Simulation, moment: float) -> None:
    """Wait until a moment of the run."""
    await asyncio.sleep(max(0.0, moment - simulation.now()))


def cut_all(simulation: Simulation, inside: list[str], outside: list[str]) -> None:
    """Cut the links between two sets of nodes."""
    simulation.checker.trace(f"cut {inside} from {outside}")
    for one in inside:
        for other in outside:
            simulation.network.cut(one, other)


def mend_all(simulation: Simulation, inside: list[str], outside: list[str]) -> None:
    """Mend the links between two sets of nodes."""
    for one in inside:
        for other in outside:
            simulation.network.mend(one, other)


class LiftedFenceTest(unittest.TestCase):
    """A replica whose fence ended with a promotion receives from the old primary again.

    The store turns a proxy away. Another one loses its path to the primary, and has a
    replica promoted. From the promotion call on that replica is cut off, so that the
    other one does not follow it.
    """

    def run_promotion(
        self,
        seed: int,
        calls_at: float,
        has_follower: bool = False,
        is_late: bool = False,
    ) -> tuple[Findings, list[Served]]:
        """Run with a caller of the refused proxy that begins at a moment.

        With `has_follower` a fourth database, which the refused proxy has not heard of,
        follows the promoted one. If it `is_late`, the refusal begins with the fences.
        """
        served = Served()
        promoted = asyncio.Event()
        promote = SimulatedGroup.promote

        async def promote_and_note(group: SimulatedGroup, identifier: str) -> None:
            await promote(group, identifier)
            leading.append(identifier)
            promoted.set()

        leading: list[str] = []

        async def fault(simulation: Simulation) -> None:
            primary = simulation.group.databases[0]
            refused, promoter = simulation.proxies[-1], simulation.proxies[0]
            await until(simulation, 6.0)
            refused.is_refused_by_store = not is_late
            if has_follower:
                await Lifecycle(simulation).join(3.0, 0.1)
            await until(simulation, 9.5)
            simulation.network.cut(primary.host, promoter.name)
            if is_late:
                await self._until_fenced(simulation)
                refused.is_refused_by_store = True
            await promoted.wait()
            await self._cut_promoted(simulation, refused, leading[0])
            simulation.network.mend(primary.host, promoter.name)
            await asyncio.sleep(2.0)
            refused.is_refused_by_store = False

        async def caller(simulation: Simulation) -> None:
            await until(simulation, calls_at)
            await call(simulation, simulation.proxies[-1], 20.0, served)

        simulation = Simulation(seed, (fault, caller), seconds=20.0, sessions=6)
        with mock.patch.object(SimulatedGroup, "promote", promote_and_note):
            findings = simulation.run()
        self.assertGreater(findings.promotions, 0)
        return findings, [served]

    async def _until_fenced(self, simulation: Simulation) -> None:
        """Wait until a replica is fenced, which is right before the announcement."""
        while not any(each.fenced_term for each in simulation.group.databases):
            await asyncio.sleep(0.002)

    async def _cut_promoted(
        self, simulation: Simulation, refused: SimulatedProxy, leading: str
    ) -> None:
        """Cut the promoted database, and who follows it, off from the others."""
        databases = simulation.group.databases
        inside = [
            each.host
            for each in databases
            if each.identifier == leading or each.identifier.startswith("j")
        ]
        outside = [each.host for each in databases if each.host not in inside]
        outside.append(refused.name)
        cut_all(simulation, inside, outside)
        await asyncio.sleep(5.0)
        mend_all(simulation, inside, outside)

    def test_no_commit_of_the_old_primary_is_reported(self) -> None:
        """Guards against receipts of a replica whose fence has come and gone."""
        for calls_at in (3.0, 8.0, 11.5):
            broken = {}
            for seed in SEEDS:
                findings, _ = self.run_promotion(seed, calls_at)
                if not findings.is_clean:
                    broken[seed] = (
                        len(findings.lost),
                        len(findings.replaced_commits),
                        len(findings.stale_answers),
                    )
            with self.subTest(calls_at=calls_at):
                self.assertEqual(broken, {})

    def test_no_commit_is_reported_while_news_is_only_believed_to_arrive(self) -> None:
        """Guards against news that ended right before an announcement."""
        broken = {}
        for seed in SEEDS:
            findings, _ = self.run_promotion(seed, 8.0, is_late=True)
            if not findings.is_clean:
                broken[seed] = (
                    len(findings.lost),
                    len(findings.replaced_commits),
                    len(findings.stale_answers),
                )
        self.assertEqual(broken, {})

    def test_no_read_at_the_old_primary_is_stale(self) -> None:
        """Guards against proofs of a term by a replica that no fence holds any more."""
        broken = {}
        for seed in SEEDS:
            findings, _ = self.run_promotion(seed, 3.0, has_follower=True)
            if not findings.is_clean:
                broken[seed] = (len(findings.lost), len(findings.stale_answers))
        self.assertEqual(broken, {})


class LapsedDrainTest(unittest.TestCase):
    """A draining replica loses the store, and not its primary.

    The store turns a proxy away. Another one loses its paths to the primary and to that
    replica, and has another replica promoted.
    """

    def run_drain(self, seed: int, is_refusing: bool = False) -> Findings:
        """Run; with `is_refusing` the cuts refuse connections instead of dropping them.

        The replica then does not drain: its entry lapses.
        """

        async def fault(simulation: Simulation) -> None:
            primary, _, replica = simulation.group.databases
            refused, promoter = simulation.proxies[-1], simulation.proxies[0]
            await until(simulation, 3.0)
            await Lifecycle(simulation).join(4.0, 0.1)
            refused.is_refused_by_store = True
            simulation.network.refuses = is_refusing
            await asyncio.sleep(0.2)
            replica.is_draining = not is_refusing
            await asyncio.sleep(0.8)
            simulation.network.cut(replica.host, STORE)
            others = [each.name for each in simulation.proxies if each is not refused]
            if is_refusing:
                cut_all(simulation, [replica.host], others)
            await self._until_removed(simulation, replica)
            if not is_refusing:
                cut_all(simulation, [replica.host], [promoter.name])
            simulation.network.cut(primary.host, promoter.name)
            await asyncio.sleep(5.0)
            simulation.network.mend(primary.host, promoter.name)
            simulation.network.mend(replica.host, STORE)
            mended = others if is_refusing else [promoter.name]
            mend_all(simulation, [replica.host], mended)
            await asyncio.sleep(2.0)
            refused.is_refused_by_store = False

        async def caller(simulation: Simulation) -> None:
            await until(simulation, 5.0)
            refused = simulation.proxies[-1]
            await call(simulation, refused, 22.0, Served())

        simulation = Simulation(seed, (fault, caller), seconds=22.0, sessions=6)
        return simulation.run()

    async def _until_removed(
        self, simulation: Simulation, replica: SimulatedDatabase
    ) -> None:
        """Wait until a replica is not in sync any more, or for some seconds."""
        deadline = simulation.now() + 6.0
        while simulation.now() < deadline:
            row = simulation.store.announcements.get("s")
            names = {each.identifier for each in row.in_sync} if row else set()
            if replica.identifier not in names:
                return
            await asyncio.sleep(0.05)

    def check(self, is_refusing: bool) -> None:
        broken = {}
        for seed in SEEDS:
            findings = self.run_drain(seed, is_refusing)
            if not findings.is_clean:
                broken[seed] = (
                    len(findings.lost),
                    len(findings.replaced_commits),
                    len(findings.stale_answers),
                )
        self.assertEqual(broken, {})

    def test_draining_replica_without_an_entry_has_not_ended(self) -> None:
        """Guards against a set that drops a process which still counts elsewhere."""
        self.check(is_refusing=False)

    def test_refused_connection_does_not_show_an_end(self) -> None:
        """Guards against a cut that refuses connections taken for an ended process."""
        self.check(is_refusing=True)


if __name__ == "__main__":
    unittest.main()
