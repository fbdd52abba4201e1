"""Tests of replicas that start again while a promotion is under way."""

import asyncio
import random
import unittest
from functools import partial
from unittest import mock

from tests.simulated_checker import Findings
from tests.simulated_databases import SimulatedDatabase, SimulatedGroup
from tests.simulated_lifecycle import Lifecycle
from tests.simulated_sessions import Simulation

PROMOTE_SECONDS = 1.0
SEEDS = range(4)


async def refuse_last_and_cut_first(
    simulation: Simulation, has_just_started: bool = False
) -> None:
    """Let the store refuse one proxy, and cut the primary off from another one.

    With `has_just_started` the refused proxy starts half a second before.
    """
    primary = simulation.group.primary
    assert primary is not None
    refused, cut_off = simulation.proxies[-1], simulation.proxies[0]
    await asyncio.sleep(1.5)
    if has_just_started:
        refused.restart()
    await asyncio.sleep(0.5)
    refused.is_refused_by_store = True
    await asyncio.sleep(2.0)
    simulation.network.cut(primary.host, cut_off.name)
    await asyncio.sleep(5.0)
    simulation.network.mend(primary.host, cut_off.name)
    await asyncio.sleep(2.0)
    refused.is_refused_by_store = False


class RestartDuringPromotionTest(unittest.TestCase):
    """A replica restarts empty between a promotion's request and its effect."""

    def run_with_restart(
        self, seed: int, down_seconds: float, has_just_started: bool = False
    ) -> Findings:
        """Return what a run shows if the other replica restarts at each promotion."""
        simulation = Simulation(
            seed,
            (partial(refuse_last_and_cut_first, has_just_started=has_just_started),),
            seconds=13.0,
            sessions=12,
            promote_seconds=PROMOTE_SECONDS,
        )
        rng = random.Random(seed)
        promote = SimulatedGroup.promote

        async def restart(database: SimulatedDatabase) -> None:
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            if database.is_running:
                await Lifecycle(simulation).restart_without_log(database, down_seconds)

        async def promote_and_restart(group: SimulatedGroup, identifier: str) -> None:
            await promote(group, identifier)
            for each in group.databases:
                if not each.is_primary and each.identifier != identifier:
                    group.spawn(restart(each))

        with mock.patch.object(SimulatedGroup, "promote", promote_and_restart):
            return simulation.run()

    def test_receipt_of_a_restarted_replica_is_not_reported_without_the_store(
        self,
    ) -> None:
        """Guards against commits reported beyond a change that was not heard of."""
        for down_seconds in (0.1, 0.4):
            lost = {}
            for seed in SEEDS:
                findings = self.run_with_restart(seed, down_seconds)
                self.assertGreater(findings.promotions, 0)
                if findings.lost or findings.replaced_commits or findings.stale_answers:
                    lost[seed] = len(findings.lost)
            with self.subTest(down_seconds=down_seconds):
                self.assertEqual(lost, {})

    def test_proxy_that_has_just_started_reports_nothing_beyond_a_change(self) -> None:
        """Guards against commits of a proxy that started beside a cut-off primary."""
        lost = {}
        for seed in SEEDS:
            findings = self.run_with_restart(seed, 0.1, has_just_started=True)
            if not findings.is_clean:
                lost[seed] = len(findings.lost)
        self.assertEqual(lost, {})


if __name__ == "__main__":
    unittest.main()
