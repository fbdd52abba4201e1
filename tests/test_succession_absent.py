"""Tests of fencing where databases departed, were replaced or were not asked."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Database, Departed
from beryltiller.sessions.errors import BrokenError, NoCapacityError
from beryltiller.sessions.statements import Code, DatabaseStatus
from beryltiller.sessions.succession.actions import FenceReplicas, StepDownPrimary
from beryltiller.sessions.succession.events import FenceResults
from tests.fake_group import FakeDatabase, GroupFixture
from tests.runner_fixture import fence_with_departed, make_runner
from tests.virtual_loop import run_virtual


class DepartedTest(unittest.TestCase):
    """Departed databases, which are gone if they departed before the primary failed."""

    def is_gone(
        self, missing_since: float, is_draining: bool, is_stopped: bool
    ) -> bool:
        """Return whether a departed database that does not answer counts as gone."""

        async def work() -> FenceResults:
            fixture = GroupFixture()
            fixture.databases["d"] = FakeDatabase(
                "d", is_stopped=is_stopped, is_unreachable=not is_stopped
            )
            entry = fixture.databases["d"].entry()
            departed = Departed(replace(entry, is_draining=is_draining), missing_since)
            return await fence_with_departed(fixture, departed)

        return "d" in run_virtual(work()).gone

    def test_database_that_may_be_partitioned_is_not_gone(self) -> None:
        for missing_since, is_gone in ((-30.0, True), (0.0, False)):
            for is_stopped in (False, True):
                with self.subTest(missing_since=missing_since, is_stopped=is_stopped):
                    found = self.is_gone(missing_since, True, is_stopped)
                    self.assertEqual(found, is_gone)

    def test_database_cut_off_from_the_store_before_the_trouble_is_not_gone(
        self,
    ) -> None:
        """Guards against commits that it still receives from a cut-off primary."""
        self.assertFalse(self.is_gone(-30.0, is_draining=False, is_stopped=False))
        with self.subTest("its host answers that it does not run"):
            self.assertTrue(self.is_gone(-30.0, is_draining=False, is_stopped=True))


class NotAskedTest(unittest.TestCase):
    """Commands that this proxy did not send: they show nothing of the database."""

    def test_primary_that_was_not_asked_is_not_stepped_down(self) -> None:
        """Guards against a command that arrives late at a primary that was silent."""

        async def work() -> FakeDatabase:
            fixture = GroupFixture()
            error = NoCapacityError(Code.BUSY, "the connection is closed")
            with mock.patch.object(fixture.fleet, "is_primary", side_effect=error):
                step_down = StepDownPrimary("s", 2, "leader")
                await make_runner(fixture).part().perform(step_down)
            return fixture.leader

        self.assertTrue(run_virtual(work()).is_primary)

    def test_departed_database_that_was_not_asked_is_not_gone(self) -> None:
        """Guards against commits that it holds, or still receives."""

        async def work(error: Exception) -> FenceResults:
            fixture = GroupFixture()
            fixture.near.fenced_term = fixture.far.fenced_term = 2
            fixture.databases["d"] = FakeDatabase("d")
            entry = replace(fixture.databases["d"].entry(), is_draining=True)
            command = fixture.fleet.command

            async def fail(database: Database, *rest: Any) -> DatabaseStatus:
                if database.identifier == "d":
                    raise error
                return await command(database, *rest)

            with mock.patch.object(fixture.fleet, "command", side_effect=fail):
                return await fence_with_departed(fixture, Departed(entry, -30.0))

        cases = (
            (NoCapacityError(Code.BUSY, "the connection is closed"), False),
            (BrokenError("no answer"), True),
        )
        for error, is_gone in cases:
            with self.subTest(error=error):
                results = run_virtual(work(error))
                self.assertEqual("d" in results.gone, is_gone)
                self.assertIsNone(results.statuses["d"])
                self.assertEqual(results.were_already_fenced, is_gone)


class ReplacedDatabaseTest(unittest.TestCase):
    """Databases that have ended and at whose address another one answers."""

    def fence(
        self, arrange: Callable[[GroupFixture], None], former_primary: str = "leader"
    ) -> FenceResults:
        """Return the results of fencing near and far, where far has ended."""

        async def work() -> FenceResults:
            fixture = GroupFixture()
            fixture.far.is_replaced = True
            arrange(fixture)
            fixture.register()
            names = ("near", "far")
            action = FenceReplicas("s", 2, names, (), 0.0, former_primary)
            results = await make_runner(fixture).part().perform(action)
            assert isinstance(results, FenceResults)
            self.assertIsNone(results.statuses["far"])
            return results

        return run_virtual(work())

    def test_unknown_replacement_is_fenced_before_a_promotion(self) -> None:
        """Guards against commits that it receives while another one is promoted."""
        unknown = FakeDatabase("unknown", index=12)

        def replace_far(fixture: GroupFixture) -> None:
            fixture.far.replacement = unknown

        results = self.fence(replace_far)
        self.assertEqual(unknown.fenced_term, 2)
        self.assertEqual(results.replacements["far"].received, Position(1, 12))
        self.assertEqual(results.replaced | results.ended | results.gone, frozenset())
        self.assertFalse(results.were_already_fenced)

    def test_database_of_another_service_is_no_replacement(self) -> None:
        results = self.fence(lambda fixture: None)
        self.assertEqual(results.ended, frozenset({"far"}))

    def test_known_replacement_is_asked_itself(self) -> None:
        def move_near(fixture: GroupFixture) -> None:
            fixture.near.address = "far:1"

        results = self.fence(move_near)
        self.assertEqual(results.replaced, frozenset({"far"}))
        self.assertEqual(results.replacements, {})

    def test_former_primary_at_the_address_is_not_fenced_as_a_replica(self) -> None:
        """Guards against taking it for another primary, which ends the succession."""

        def move_leader(fixture: GroupFixture) -> None:
            fixture.leader.address = "far:1"
            fixture.far.replacement = fixture.leader

        results = self.fence(move_leader)
        self.assertEqual(results.replaced, frozenset({"far"}))

    def test_silent_replacement_is_waited_for(self) -> None:
        def silence(fixture: GroupFixture) -> None:
            fixture.far.replacement = FakeDatabase("unknown", is_unreachable=True)

        results = self.fence(silence)
        self.assertEqual(
            (results.replaced, results.ended, results.replacements),
            (frozenset(), frozenset(), {}),
        )
