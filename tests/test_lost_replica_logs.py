"""Tests of replicas that lose their logs while the primary works.

A database that starts again under its identifier holds nothing of before.
"""

import asyncio
import unittest
from collections.abc import Mapping
from dataclasses import replace
from unittest import mock

from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.statements import DatabaseStatus, Read
from beryltiller.sessions.succession import times
from beryltiller.sessions.succession.actions import (
    Action,
    AnnounceChange,
    FenceReplicas,
    Promote,
    StepDownPrimary,
)
from beryltiller.sessions.succession.events import (
    PrimarySteppedDown,
)
from tests.simulated_callers import CallerSession
from tests.simulated_checker import Findings
from tests.simulated_databases import SimulatedDatabase
from tests.simulated_lifecycle import Lifecycle
from tests.simulated_sessions import Simulation
from tests.succession_driver import FAILING, Driver, status
from tests.virtual_loop import virtual_now

Statuses = Mapping[str, DatabaseStatus | None]

REPORTED = replace(FAILING, reported=Position(1, 7))
EMPTY = DatabaseStatus(False, 0, ORIGIN, 2)
SHORT: Statuses = {"a": EMPTY, "b": status(3)}
CRASH_AT = 14.0


class FormerPrimaryTest(unittest.TestCase):
    """What becomes of a primary whose replicas do not reach what was reported."""

    def fence_after_retry(self, driver: Driver) -> FenceReplicas:
        """Return the next round of fences."""
        actions = driver.observe(REPORTED, times.RETRY_SECONDS)
        (fence,) = (each for each in actions if isinstance(each, FenceReplicas))
        return fence

    def test_replica_without_a_reported_commit_is_not_promoted(self) -> None:
        """Guards against dropping all commits for replicas that restarted empty."""
        driver = Driver()
        driver.claim(REPORTED)
        done: list[Action] = []
        while "s" in driver.state.successions:
            done += driver.report_fences(SHORT)
            done += driver.observe(REPORTED, 0.1)
        kinds = {type(each) for each in done}
        self.assertFalse({AnnounceChange, Promote} & kinds)

    def test_former_primary_leads_again_if_it_alone_has_a_reported_commit(
        self,
    ) -> None:
        driver = Driver()
        driver.claim(REPORTED)
        driver.handle(PrimarySteppedDown("s", "old", 1, Position(1, 8)))
        driver.report_fences(SHORT)
        fence = self.fence_after_retry(driver)
        self.assertEqual(fence.replicas, ("a", "b", "old"))
        statuses: Statuses = {**SHORT, "old": status(8)}
        announce, _ = driver.report_fences(statuses)
        assert isinstance(announce, AnnounceChange)
        (promotion,) = driver.confirm(statuses, view=REPORTED)
        assert isinstance(promotion, Promote)
        self.assertEqual(promotion.successor, "old")

    def test_promoter_that_knows_of_no_report_keeps_the_former_primarys_commits(
        self,
    ) -> None:
        """Guards against promoting an empty log once all proxies have restarted."""
        driver = Driver()
        driver.claim()
        driver.handle(PrimarySteppedDown("s", "old", 1, Position(1, 8)))
        found = driver.report_fences({"a": EMPTY, "b": EMPTY})
        announced = [each for each in found if isinstance(each, AnnounceChange)]
        self.assertEqual(announced, [])

    def test_former_primary_is_not_asked_beside_a_replica_with_all_commits(
        self,
    ) -> None:
        driver = Driver()
        driver.claim(REPORTED)
        driver.handle(PrimarySteppedDown("s", "old", 1, Position(1, 8)))
        announce, _ = driver.report_fences({"a": EMPTY, "b": status(7)})
        assert isinstance(announce, AnnounceChange)
        self.assertEqual(driver.state.successions["s"].successor, "b")

    def test_primary_steps_down_once_a_replica_may_succeed_it(self) -> None:
        """Guards against a group without a primary that no replica can replace."""
        without = replace(REPORTED, has_working_replica=False)
        driver = Driver()
        (fence,) = driver.claim(without)
        self.assertIsInstance(fence, FenceReplicas)
        for statuses, expected in (
            ({"a": None, "b": None}, []),
            (SHORT, []),
            ({"a": None, "b": status(7)}, [StepDownPrimary]),
        ):
            self.assertEqual(self.step_downs(driver.report_fences(statuses)), expected)
            driver.observe(without, times.RETRY_SECONDS)

    def test_primary_steps_down_also_if_the_first_round_is_conclusive(self) -> None:
        driver = Driver()
        driver.claim(replace(REPORTED, has_working_replica=False))
        found = driver.report_fences({"a": EMPTY, "b": status(7)})
        self.assertEqual(self.step_downs(found), [StepDownPrimary])

    def step_downs(self, actions: tuple[Action, ...]) -> list[type]:
        return [type(each) for each in actions if isinstance(each, StepDownPrimary)]


class LostReplicasTest(unittest.TestCase):
    """Both replicas end together and start again empty; the primary works."""

    def run_with_crash(
        self, seed: int, quiet_seconds: float, restarts_proxies: bool = False
    ) -> Findings:
        """Return what a run shows with callers that only read before the crash.

        With `restarts_proxies` all proxies restart after the last write.
        """

        async def crash(simulation: Simulation) -> None:
            await asyncio.sleep(CRASH_AT - 2.0 - simulation.now())
            for proxy in simulation.proxies if restarts_proxies else ():
                proxy.restart()
            await asyncio.sleep(2.0)
            lifecycle = Lifecycle(simulation)
            await asyncio.gather(
                *(
                    lifecycle.restart_without_log(each, 2.0)
                    for each in simulation.group.databases
                    if not each.is_primary
                )
            )

        operate = CallerSession._operate

        async def operate_quietly(session: CallerSession) -> bool:
            if CRASH_AT - quiet_seconds < virtual_now() < CRASH_AT:
                return await session._send(Read("i"), virtual_now())
            return await operate(session)

        with mock.patch.object(CallerSession, "_operate", operate_quietly):
            return Simulation(seed, (crash,), seconds=24.0, sessions=9).run()

    def test_commits_are_kept_although_all_replicas_lost_their_logs(self) -> None:
        for quiet_seconds in (0.0, 9.0):
            broken = {}
            for seed in range(4):
                findings = self.run_with_crash(seed, quiet_seconds)
                self.assertGreater(findings.writes, 100)
                if not findings.is_clean:
                    broken[seed] = len(findings.lost)
            with self.subTest(quiet_seconds=quiet_seconds):
                self.assertEqual(broken, {})

    def test_commits_are_kept_if_all_proxies_that_reported_them_restarted(
        self,
    ) -> None:
        broken = {}
        for seed in range(4):
            findings = self.run_with_crash(seed, 9.0, restarts_proxies=True)
            if not findings.is_clean:
                broken[seed] = len(findings.lost)
        self.assertEqual(broken, {})


class AnyRestartTest(unittest.TestCase):
    """Databases that start again empty at any moment, whatever else they held."""

    def run_with_restarts(self, seed: int) -> Findings:
        """Return what a run shows in which replicas restart empty now and then."""

        async def restart(simulation: Simulation) -> None:
            lifecycle = Lifecycle(simulation)

            async def keep_restarting(database: SimulatedDatabase) -> None:
                while simulation.now() < 16.0:
                    await asyncio.sleep(simulation.rng.uniform(0.5, 5.0))
                    if database.is_running and not database.is_primary:
                        down = simulation.rng.uniform(0.1, 2.0)
                        await lifecycle.restart_without_log(database, down)

            await asyncio.sleep(2.0)
            await asyncio.gather(*map(keep_restarting, simulation.group.databases))

        return Simulation(seed, (restart,), seconds=20.0, sessions=9).run()

    def test_commits_that_the_primary_has_are_kept(self) -> None:
        broken = {}
        for seed in range(6):
            findings = self.run_with_restarts(seed)
            if not findings.is_clean:
                broken[seed] = len(findings.lost), len(findings.stale_answers)
        self.assertEqual(broken, {})


if __name__ == "__main__":
    unittest.main()
