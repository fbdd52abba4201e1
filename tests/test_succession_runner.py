"""Tests of how actions of the succession policy are performed on databases."""

import unittest
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Departed, Directory
from beryltiller.sessions.succession.actions import (
    FenceReplicas,
    StepDownPrimary,
    UnfenceReplicas,
)
from beryltiller.sessions.succession.events import FenceResults, PrimarySteppedDown
from tests.fake_group import ROUND_TRIP_SECONDS, FakeDatabase, GroupFixture
from tests.runner_fixture import fence_with_departed, make_runner
from tests.virtual_loop import run_virtual, virtual_now


class FenceTest(unittest.TestCase):
    """The results reported for fenced databases."""

    def results(self, fenced_term: int) -> FenceResults:
        async def work() -> FenceResults:
            fixture = GroupFixture()
            fixture.near.fenced_term = 2
            fixture.far.fenced_term = fenced_term
            action = FenceReplicas("s", 2, ("near", "far"), ())
            results = await make_runner(fixture).part().perform(action)
            assert isinstance(results, FenceResults)
            return results

        return run_virtual(work())

    def test_reports_whether_all_were_already_fenced(self) -> None:
        self.assertTrue(self.results(2).were_already_fenced)
        self.assertFalse(self.results(0).were_already_fenced)

    def test_departed_database_need_not_have_been_fenced(self) -> None:
        async def work() -> FenceResults:
            fixture = GroupFixture()
            fixture.near.fenced_term = fixture.far.fenced_term = 2
            fixture.databases["d"] = FakeDatabase("d", is_unreachable=True)
            entry = replace(fixture.far.entry(), identifier="d", is_draining=True)
            departed = Departed(entry, -30.0)
            return await fence_with_departed(fixture, departed)

        results = run_virtual(work())
        self.assertTrue(results.were_already_fenced)
        self.assertEqual(results.gone, frozenset({"d"}))

    def test_unreachable_primary_is_not_asked_to_step_down(self) -> None:
        """Guards against a command that arrives after the succession was given up."""

        async def work() -> int:
            fixture = GroupFixture()
            fixture.leader.is_unreachable = True
            action = StepDownPrimary("s", 2, "leader")
            await make_runner(fixture).part().perform(action)
            return fixture.leader.attempts

        self.assertEqual(run_virtual(work()), 1)

    def test_primary_that_steps_down_is_fenced(self) -> None:
        """Guards against a former primary that follows a primary that comes back.

        Left unfenced, it could acknowledge commits together with that primary.
        """

        async def work() -> FakeDatabase:
            fixture = GroupFixture()
            await make_runner(fixture).part().perform(StepDownPrimary("s", 2, "leader"))
            return fixture.leader

        leader = run_virtual(work())
        self.assertEqual((leader.is_primary, leader.fenced_term), (False, 2))

    def test_unfence_is_not_sent_after_its_deadline(self) -> None:
        """Guards against a command that waits for its connection past the claim."""

        async def work(seconds: float) -> int:
            fixture = GroupFixture()
            fixture.near.fenced_term = 2
            deadline = virtual_now() + seconds
            action = UnfenceReplicas("s", ("near",), deadline)
            await make_runner(fixture).part().perform(action)
            return fixture.near.fenced_term

        for seconds, fenced_term in ((0.5, 2), (1.5, 2), (2.5, 0)):
            with self.subTest(seconds=seconds):
                waited = seconds * ROUND_TRIP_SECONDS
                self.assertEqual(run_virtual(work(waited)), fenced_term)

    def test_reports_the_log_end_of_a_stepped_down_primary(self) -> None:
        async def work(is_unreachable: bool, was_primary: bool = True) -> object:
            fixture = GroupFixture()
            await fixture.fleet.confirm_leaders()
            fixture.leader.is_unreachable = is_unreachable
            fixture.leader.is_primary = was_primary
            return (
                await make_runner(fixture)
                .part()
                .perform(StepDownPrimary("s", 2, "leader"))
            )

        stepped_down = PrimarySteppedDown("s", "leader", 1, Position(1, 10))
        self.assertEqual(run_virtual(work(False)), stepped_down)
        self.assertIsNone(run_virtual(work(True)))
        with self.subTest("a replica's log may end before others"):
            self.assertIsNone(run_virtual(work(False, was_primary=False)))

    def test_shorter_log_of_a_stepped_down_primary_is_not_its_end(self) -> None:
        """Guards against the log of a process that has started again with nothing."""

        async def work() -> object:
            fixture = GroupFixture()
            await fixture.fleet.confirm_leaders()
            leader = fixture.fleet.group("s").members["leader"]
            leader.record_answer(Position(1, 11))
            action = StepDownPrimary("s", 2, "leader")
            return await make_runner(fixture).part().perform(action)

        self.assertIsNone(run_virtual(work()))


class ConfirmTest(unittest.TestCase):
    """Databases that claim to lead, whose term is then confirmed."""

    def test_replaced_primary_that_registers_late_does_not_lead(self) -> None:
        for term, leads in ((1, False), (2, True)):
            with self.subTest(term=term):

                async def work(term: int = term) -> str | None:
                    fixture = GroupFixture()
                    group = fixture.fleet.group("s")
                    fixture.leader.term = term
                    group.record_position(
                        group.members["near"], Position(2, 1), virtual_now()
                    )
                    entries = dict(fixture.fleet.directory.databases)
                    claimant = entries.pop("leader")
                    fixture.fleet.register(Directory(entries))
                    fixture.fleet.register(Directory({**entries, "leader": claimant}))
                    await fixture.fleet.confirm_leaders()
                    leader = group.leader
                    return leader.database.identifier if leader else None

                expected = "leader" if leads else None
                self.assertEqual(run_virtual(work()), expected)
