"""Tests of when the succession runner asks databases, and what failures it sees."""

import asyncio
import contextlib
import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Directory
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.unresponsive_leaders import SILENCE_SECONDS
from beryltiller.sessions.errors import NotSentError
from beryltiller.sessions.statements import AskStatus, Code, DatabaseStatus
from beryltiller.sessions.succession.actions import (
    ClaimDuty,
    FenceReplicas,
    ObserveAfter,
)
from beryltiller.sessions.succession.causes import FAILING_SECONDS
from beryltiller.sessions.succession.events import Cause, ClaimFailed, GroupsObserved
from beryltiller.sessions.succession.runner import (
    FENCE_CHECK_SECONDS,
    REMOTE_FENCE_CHECK_SECONDS,
)
from tests.fake_group import FakeDatabase, GroupFixture
from tests.runner_fixture import make_runner
from tests.virtual_loop import run_virtual, virtual_now


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
