"""Tests of how actions of the succession policy are performed on databases."""

import asyncio
import contextlib
import random
import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Database, Departed, Directory
from beryltiller.sessions.databases.fleet import SILENCE_SECONDS
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.errors import BrokenError, NoCapacityError, NotSentError
from beryltiller.sessions.statements import AskStatus, Code, DatabaseStatus
from beryltiller.sessions.succession.actions import (
    ClaimDuty,
    FenceReplicas,
    ObserveAfter,
    StepDownPrimary,
    UnfenceReplicas,
)
from beryltiller.sessions.succession.causes import FAILING_SECONDS
from beryltiller.sessions.succession.events import (
    Cause,
    ClaimFailed,
    FenceResults,
    GroupsObserved,
    PrimarySteppedDown,
)
from beryltiller.sessions.succession.runner import (
    FENCE_CHECK_SECONDS,
    REMOTE_FENCE_CHECK_SECONDS,
    DutyClaim,
    SuccessionRunner,
)
from tests.fake_announcements import FakeAnnouncements
from tests.fake_group import (
    ROUND_TRIP_SECONDS,
    FakeDatabase,
    GroupFixture,
    read_same_entries,
)
from tests.virtual_loop import run_virtual, virtual_now


class IdleDuty:
    """A promotion duty that must not be used."""

    async def claim(self, service: str, seconds: float) -> DutyClaim:
        raise AssertionError("not to be claimed")

    async def promote(self, service: str, identifier: str, token: int) -> None:
        raise AssertionError("not to be promoted")


def make_runner(fixture: GroupFixture) -> SuccessionRunner:
    """Return a runner for the fixture's group, whose actor is not started."""
    announcer = FakeAnnouncements().add_proxy(fixture.fleet)
    return SuccessionRunner(
        fixture.fleet,
        IdleDuty(),
        announcer,
        lambda: True,
        read_same_entries,
        random.Random(1),
        virtual_now,
    )


async def fence_with_departed(
    fixture: GroupFixture, departed: Departed
) -> FenceResults:
    """Return the results of fencing the replicas and departed database `d`."""
    entries = fixture.fleet.directory.databases
    fixture.fleet.register(Directory(entries, (departed,)))
    action = FenceReplicas("s", 2, ("near", "far"), ("d",), virtual_now())
    results = await make_runner(fixture).part().perform(action)
    assert isinstance(results, FenceResults)
    return results


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


class SuccessionDelayTest(unittest.TestCase):
    """The waits of a succession, none longer than its next step needs."""

    def test_groups_are_observed_when_the_next_step_is_due(self) -> None:
        async def work() -> tuple[object, float]:
            fixture = GroupFixture()
            began = virtual_now()
            event = await make_runner(fixture).part().perform(ObserveAfter(0.4))
            return event, virtual_now() - began

        event, passed = run_virtual(work())
        self.assertIsInstance(event, GroupsObserved)
        self.assertAlmostEqual(passed, 0.4)

    def test_fence_does_not_wait_for_an_unreachable_former_primary(self) -> None:
        async def work() -> float:
            fixture = GroupFixture()
            fixture.leader.is_unreachable = True
            began = virtual_now()
            await make_runner(fixture).part().perform(
                FenceReplicas("s", 2, ("near", "far"), ())
            )
            return virtual_now() - began

        self.assertLess(run_virtual(work()), 0.1)

    def test_unresponsive_leader_is_failing_since_its_last_answer(self) -> None:
        async def work() -> tuple[float | None, float]:
            fixture = GroupFixture()
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            leader.record_sent(virtual_now())
            began = virtual_now()
            fixture.leader.is_unreachable = True
            runner = make_runner(fixture)
            while leader.failing_since is None and virtual_now() < began + 5.0:
                await asyncio.sleep(0.1)
                await runner.probe_unresponsive_leaders()
            return leader.failing_since, began

        failing_since, began = run_virtual(work())
        self.assertEqual(failing_since, began)

    def test_leader_that_answered_a_probe_is_not_probed_again_at_once(self) -> None:
        async def work() -> bool:
            fixture = GroupFixture()
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            leader.record_sent(virtual_now())
            await asyncio.sleep(SILENCE_SECONDS + 0.01)
            await make_runner(fixture).probe_unresponsive_leaders()
            unanswered_since = leader.unanswered_since
            assert unanswered_since is not None
            return virtual_now() - unanswered_since < SILENCE_SECONDS

        self.assertTrue(run_virtual(work()))

    def test_unresponsive_leader_causes_probes_of_all_leaders_in_its_zone(self) -> None:
        async def work() -> tuple[int, int]:
            fixture = GroupFixture()
            other = FakeDatabase("other", "a", is_primary=True)
            entry = replace(other.entry(), service="t")
            fixture.databases["other"] = other
            entries = dict(fixture.fleet.directory.databases)
            fixture.fleet.register(Directory({**entries, "other": entry}))
            fixture.fleet.group("t")
            runner = make_runner(fixture)
            await runner.probe_unresponsive_leaders()
            before = other.connections
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            leader.record_sent(virtual_now())
            await asyncio.sleep(SILENCE_SECONDS + 0.01)
            await runner.probe_unresponsive_leaders()
            return before, other.connections

        self.assertEqual(run_virtual(work()), (0, 1))


class RefusedForLoadTest(unittest.TestCase):
    """A primary at its connection or slot limit, which is not failing."""

    def test_primary_at_its_cap_is_not_failing(self) -> None:
        async def work(code: Code) -> bool:
            fixture = GroupFixture()
            fixture.leader.refuse_start = code
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            await fixture.fleet.probe(leader)
            return leader.failing_since is not None

        for code, is_failing in (
            (Code.CONNECTION_LIMIT, False),
            (Code.WRONG_DATABASE, True),
        ):
            with self.subTest(code):
                self.assertEqual(run_virtual(work(code)), is_failing)

    def test_refusal_for_load_ends_a_failure(self) -> None:
        async def work(refuse: Callable[[FakeDatabase], None]) -> float | None:
            fixture = GroupFixture()
            refuse(fixture.leader)
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            leader.record_failure(virtual_now())
            await fixture.fleet.probe(leader)
            return leader.failing_since

        def refuse_connections(database: FakeDatabase) -> None:
            database.refuse_start = Code.CONNECTION_LIMIT

        def refuse_queries(database: FakeDatabase) -> None:
            database.refuse[AskStatus] = Code.BUSY

        for refuse in (refuse_connections, refuse_queries):
            with self.subTest(refuse.__name__):
                self.assertIsNone(run_virtual(work(refuse)))

    def test_primary_whose_connections_are_all_in_use_keeps_its_lead(self) -> None:
        """Guards against replacing a primary that is only overloaded.

        The proxy had no connection left to probe it with, and took that for a failure.
        """

        async def work() -> object:
            fixture = GroupFixture()
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            pool = fixture.fleet.connection_pool(leader.database)
            with contextlib.suppress(NotSentError):
                while True:
                    await pool.acquire({}, 0.1)
            leader.record_failure(virtual_now())
            await asyncio.sleep(FAILING_SECONDS)
            claim = ClaimDuty("s", Cause.FAILING)
            return await make_runner(fixture).part().perform(claim)

        self.assertIsInstance(run_virtual(work()), ClaimFailed)

    def test_command_beyond_the_limit_closes_its_connection(self) -> None:
        async def work() -> tuple[int, int]:
            fixture = GroupFixture()
            member = fixture.fleet.group("s").members["leader"]
            pool = fixture.fleet.connection_pool(member.database)
            with contextlib.suppress(NotSentError):
                while True:
                    await pool.acquire({}, 0.1)
            before = pool.size
            await fixture.fleet.command(member.database, AskStatus(), 1.0)
            return pool.size - before, fixture.leader.closed

        self.assertEqual(run_virtual(work()), (0, 1))

    def test_failed_probe_is_not_repeated_before_the_claim(self) -> None:
        async def work() -> int:
            fixture = GroupFixture()
            fixture.leader.is_unreachable = True
            leader = fixture.fleet.group("s").leader
            assert leader is not None
            await fixture.fleet.probe(leader)
            before = fixture.leader.attempts
            with self.assertRaises(AssertionError):
                claim = ClaimDuty("s", Cause.FAILING)
                await make_runner(fixture).part().perform(claim)
            return fixture.leader.attempts - before

        self.assertEqual(run_virtual(work()), 0)


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


class FenceCheckTest(unittest.TestCase):
    """Status queries that find fences which a promoter left."""

    def test_replicas_are_asked_now_and_then_those_of_the_own_zone_more_often(
        self,
    ) -> None:
        async def work() -> tuple[int, int, bool]:
            fixture = GroupFixture()
            fixture.near.fenced_term = fixture.far.fenced_term = 2
            runner = make_runner(fixture)
            group = fixture.fleet.group("s")
            asked: list[str] = []
            record_status = group.record_status

            def record(
                member: Member, status: DatabaseStatus, at: float, seconds: float
            ) -> None:
                asked.append(member.database.identifier)
                record_status(member, status, at, seconds)

            with mock.patch.object(group, "record_status", record):
                for _ in range(round(2 * REMOTE_FENCE_CHECK_SECONDS / 0.1)):
                    await runner.check_fences()
                    await asyncio.sleep(0.1)
            are_known = len(group.fenced_replicas) == 2
            return asked.count("near"), asked.count("far"), are_known

        near, far, are_known = run_virtual(work())
        expected = 2 * REMOTE_FENCE_CHECK_SECONDS / FENCE_CHECK_SECONDS
        self.assertIn(near, range(round(expected * 0.6), round(expected * 1.5)))
        self.assertIn(far, range(1, 4))
        self.assertTrue(are_known)

    def test_replica_that_shows_receipts_of_commits_is_not_asked_besides(self) -> None:
        async def work() -> tuple[int, int]:
            fixture = GroupFixture()
            runner = make_runner(fixture)
            group = fixture.fleet.group("s")
            near = group.members["near"]
            checked = []
            for _ in range(round(REMOTE_FENCE_CHECK_SECONDS / 0.1)):
                group.record_status(
                    near, DatabaseStatus(False, 1, Position(1, 10), 0), virtual_now()
                )
                asked_at = near.status_asked_at
                await runner.check_fences()
                checked.append(near.status_asked_at > asked_at)
                await asyncio.sleep(0.1)
            return sum(checked), len(checked)

        checked, rounds = run_virtual(work())
        self.assertEqual((checked, rounds), (0, 300))

    def test_duty_is_not_claimed_for_a_fence_that_has_ended(self) -> None:
        async def work() -> object:
            fixture = GroupFixture()
            group = fixture.fleet.group("s")
            group.members["near"].record_fence(True, virtual_now())
            claim = ClaimDuty("s", Cause.FENCES_LEFT)
            return await make_runner(fixture).part().perform(claim)

        self.assertIsInstance(run_virtual(work()), ClaimFailed)

    def test_duty_is_claimed_for_a_fence_that_lasts(self) -> None:
        async def work() -> None:
            fixture = GroupFixture()
            fixture.near.fenced_term = 2
            group = fixture.fleet.group("s")
            group.members["near"].record_fence(True, virtual_now())
            claim = ClaimDuty("s", Cause.FENCES_LEFT)
            with self.assertRaisesRegex(AssertionError, "not to be claimed"):
                await make_runner(fixture).part().perform(claim)

        run_virtual(work())


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
