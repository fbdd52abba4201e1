"""Tests of the evidence that reads of `SessionService` need, with a fake group."""

import asyncio
import unittest
from dataclasses import replace

from beryltiller.sessions.databases.catalog import Departed, Directory, RouteKind
from beryltiller.sessions.statements import Code, Read, Write
from tests.fake_group import GroupFixture, call_after
from tests.session_runs import run_with_fixture
from tests.virtual_loop import virtual_now


class EvidenceTest(unittest.TestCase):
    """Reads at the primary are returned only if its term is proved current."""

    def test_read_is_proved_by_a_replica_that_is_not_fenced(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertTrue(reply.is_success)

        run_with_fixture(work, RouteKind.PRIMARY)

    def test_read_is_refused_when_all_replicas_are_fenced(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.near.fenced_term = fixture.far.fenced_term = 2
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertIs(reply.code, Code.ABORTED)

        run_with_fixture(work, RouteKind.PRIMARY)

    def test_evidence_of_a_later_leader_does_not_prove_an_earlier_read(self) -> None:
        """Guards against returning a read of a primary that was replaced.

        The proof of the new primary's term counted for the read as well.
        """

        async def work(fixture: GroupFixture) -> None:
            def replace_leader() -> None:
                fixture.near.is_primary = True
                fixture.far.fenced_term = 0
                for database in (fixture.near, fixture.far):
                    database.is_unreachable = False
                    database.term = 2
                fixture.register()

            fixture.near.is_unreachable = True
            fixture.far.fenced_term = 2
            call_after(0.035, replace_leader)
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertEqual(reply.position, fixture.near.position)

        run_with_fixture(work, RouteKind.PRIMARY)

    def test_an_acknowledged_write_proves_the_reads_after_it(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            await fixture.run(fixture.session(), Write("i", "d"))
            fixture.near.is_unreachable = fixture.far.is_unreachable = True
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertTrue(reply.is_success)

        run_with_fixture(work, RouteKind.PRIMARY)


class SurveyTest(unittest.TestCase):
    """Reads with a maximum age are served without a primary after a survey."""

    async def write_to_all(self, fixture: GroupFixture) -> None:
        """Write what all replicas receive, which any survey must then show."""
        await fixture.run(fixture.session(), Write("i", "d"))
        fixture.near.index = fixture.far.index = fixture.leader.index

    async def fail_leader(self, fixture: GroupFixture) -> None:
        """Make the leader fail, after positions that it answered with are too old."""
        await asyncio.sleep(6.0)
        fixture.leader.is_unreachable = True
        await fixture.run(fixture.session(), Read("i"))
        await asyncio.sleep(0.5)

    def register_departed(self, fixture: GroupFixture) -> None:
        """Register a database that has departed now."""
        gone = replace(fixture.far.entry(), identifier="gone")
        entries = fixture.fleet.directory.databases
        departed = (Departed(gone, virtual_now()),)
        fixture.fleet.register(Directory(entries, departed))

    def read_without_leader(
        self, *more_unreachable: str, has_departed: bool = False
    ) -> bool:
        results: list[bool] = []

        async def work(fixture: GroupFixture) -> None:
            await self.write_to_all(fixture)
            for name in more_unreachable:
                fixture.databases[name].is_unreachable = True
            if has_departed:
                call_after(5.9, lambda: self.register_departed(fixture))
            await self.fail_leader(fixture)
            reply = await fixture.run(fixture.session(), Read("i"))
            results.append(reply.is_success)

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)
        return results[0]

    def test_survey_needs_all_databases_but_one(self) -> None:
        self.assertTrue(self.read_without_leader())
        self.assertFalse(self.read_without_leader("far"))
        self.assertFalse(self.read_without_leader(has_departed=True))

    def test_survey_without_a_leaders_entry_proves_nothing(self) -> None:
        """Guards against a survey by a process that has just started.

        It did not know of two departed databases, which may hold commits.
        """

        async def work(fixture: GroupFixture) -> None:
            entries = dict(fixture.fleet.directory.databases)
            del entries["leader"]
            fixture.fleet.register(Directory(entries))
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertFalse(reply.is_success)

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)

    def test_unknown_end_of_a_log_is_no_evidence(self) -> None:
        """Guards against a stale read: that log may hold what the others lack."""

        async def work(fixture: GroupFixture) -> None:
            await self.write_to_all(fixture)
            fixture.far.term = fixture.far.index = fixture.far.received = 0
            await self.fail_leader(fixture)
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertFalse(reply.is_success)

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)

    def test_primary_route_is_refused_at_once(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.leader.is_unreachable = True
            await fixture.run(fixture.session(), Read("i"))
            began = virtual_now()
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertIs(reply.code, Code.BUSY)
            self.assertEqual(virtual_now(), began)

        run_with_fixture(work, RouteKind.PRIMARY)
