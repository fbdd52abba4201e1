"""Tests that a commit is reported only if a registered replica has it."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable

from beryltiller.core.position import Position
from beryltiller.sessions.databases import receipts
from beryltiller.sessions.databases.catalog import Directory
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.receipt_queries import MAX_WAIT_SECONDS
from beryltiller.sessions.statements import AskStatus, Code, DatabaseStatus, Write
from tests.fake_group import FakeDatabase, GroupFixture
from tests.virtual_loop import run_virtual, virtual_now

SETTLED = receipts.SETTLING_SECONDS + 1.0


def create_group() -> Group:
    """Return a group of a primary in term 2 and two replicas, known since 0.0."""
    group = Group("s")
    databases = tuple(FakeDatabase(name).entry() for name in ("p", "q", "r"))
    group.update(databases, 0.0)
    report(group, "p", Position(2, 5), 0.0, is_primary=True)
    return group


def report(
    group: Group, name: str, received: Position, at: float, is_primary: bool = False
) -> None:
    """Record a database's status in term 2."""
    status = DatabaseStatus(is_primary, 2, received, 0)
    group.record_status(group.members[name], status, at)


def run_with_fixture(work: Callable[[GroupFixture], Awaitable[None]]) -> None:
    """Run a test with a fixture on a virtual clock."""

    async def run() -> None:
        fixture = GroupFixture()
        await work(fixture)
        fixture.fleet.close()

    run_virtual(run())


class IsReceivedTest(unittest.TestCase):
    """Which statuses of replicas show that they have a commit."""

    def test_only_a_registered_replica_in_the_commits_term_shows_it(self) -> None:
        cases = {
            "none": ((), False),
            "shorter": ((("q", Position(2, 6)),), False),
            "reached": ((("q", Position(2, 7)),), True),
            "beyond": ((("r", Position(2, 9)),), True),
            "later term": ((("q", Position(3, 9)),), False),
            "earlier term": ((("q", Position(1, 9)),), False),
        }
        for name, (reports, expected) in cases.items():
            with self.subTest(name):
                group = create_group()
                for replica, received in reports:
                    report(group, replica, received, 1.0)
                source = group.members["p"]
                found = receipts.is_received(group, source, Position(2, 7))
                self.assertEqual(found, expected)

    def test_primary_that_is_no_longer_taken_for_the_leader_shows_no_receipt(
        self,
    ) -> None:
        group = create_group()
        primary = group.members["p"]
        group.record_lead_denied(primary)
        group.record_position(primary, Position(2, 7), 1.0)
        for source in (primary, group.members["q"]):
            self.assertFalse(receipts.is_received(group, source, Position(2, 7)))


class NeedsReceiptTest(unittest.TestCase):
    """When a commit may be reported without having been shown at a replica."""

    def create_replicating(self, now: float) -> Group:
        """Return a group whose replica showed the leader's position just before."""
        group = create_group()
        group.record_position(group.members["p"], Position(2, 6), now - 0.4)
        group.record_position(group.members["q"], Position(2, 6), now - 0.2)
        return group

    def test_settled_group_with_a_replica_that_receives_needs_none(self) -> None:
        group = self.create_replicating(SETTLED)
        self.assertFalse(receipts.needs_receipt(group, True, SETTLED))

    def test_each_sign_that_an_unknown_database_may_acknowledge_demands_one(
        self,
    ) -> None:
        cases: dict[str, tuple[bool, float]] = {
            "store not followed": (False, SETTLED),
            "replica not heard of": (True, SETTLED + 1.0),
        }
        for name, (follows_store, now) in cases.items():
            with self.subTest(name):
                group = self.create_replicating(SETTLED)
                self.assertTrue(receipts.needs_receipt(group, follows_store, now))

    def test_change_of_the_registered_databases_demands_one_for_a_while(self) -> None:
        group = self.create_replicating(SETTLED)
        databases = [each.database for each in group.members.values()]
        joined = FakeDatabase("new").entry()
        group.update((*databases, joined), SETTLED)
        self.assertTrue(receipts.needs_receipt(group, True, SETTLED + 0.1))

    def test_answer_of_a_replica_that_lags_is_no_sign(self) -> None:
        group = self.create_replicating(SETTLED)
        now = SETTLED + 2.0
        group.record_position(group.members["p"], Position(2, 9), now - 0.5)
        group.record_position(group.members["q"], Position(2, 8), now - 0.1)
        self.assertTrue(receipts.needs_receipt(group, True, now))


class ReportTest(unittest.TestCase):
    """What callers are told of commits that a registered replica may not have."""

    def test_commit_that_only_an_unknown_database_received_is_not_reported(
        self,
    ) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.leader.followers = ()
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertIs(reply.code, Code.UNKNOWN_OUTCOME)
            self.assertEqual(fixture.leader.statement_names(), ["Write"])

        run_with_fixture(work)

    def test_commit_is_reported_once_the_second_replica_shows_it(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.leader.followers = (fixture.far,)
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertTrue(reply.is_success)
            self.assertLess(virtual_now(), 0.2)

        run_with_fixture(work)

    def test_commit_is_reported_although_one_replica_is_silent(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.near.hang.add(AskStatus)
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertTrue(reply.is_success)
            self.assertLess(virtual_now(), 0.2)

        run_with_fixture(work)

    def test_writes_are_refused_at_once_while_one_waits_for_long(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.leader.followers = ()
            first = asyncio.create_task(fixture.run(fixture.session(), Write("i", "d")))
            await asyncio.sleep(MAX_WAIT_SECONDS + 0.1)
            began = virtual_now()
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertIs(reply.code, Code.BUSY)
            self.assertEqual(virtual_now(), began)
            self.assertIs((await first).code, Code.UNKNOWN_OUTCOME)
            fixture.leader.followers = (fixture.near,)
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertTrue(reply.is_success)

        run_with_fixture(work)

    def test_write_is_not_sent_without_a_replica_that_could_show_it(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            fixture.fleet.register(
                Directory({"leader": fixture.leader.entry()}),
            )
            reply = await fixture.run(fixture.session(), Write("i", "d"))
            self.assertIs(reply.code, Code.BUSY)
            self.assertEqual(fixture.leader.statement_names(), [])

        run_with_fixture(work)


if __name__ == "__main__":
    unittest.main()
