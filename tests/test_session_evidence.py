"""Tests that evidence counts only for the database, term and process that gave it."""

import unittest
from dataclasses import replace
from functools import partial

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Departed, Directory, RouteKind
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.statements import Begin, DatabaseStatus, Read, Write
from tests.fake_group import GroupFixture
from tests.session_runs import run_with_fixture
from tests.test_session_groups import FAR, LEADER, NEAR, make_group, status
from tests.virtual_loop import pass_time, virtual_now


def primary_status(term: int, received: Position) -> DatabaseStatus:
    """Return the status of a primary whose log ends at `received`."""
    return DatabaseStatus(True, term, received, 0)


def group_with_successor() -> Group:
    """Return a group whose primary `p` of term 1 was replaced by `r1` in term 2.

    Term 2 is proved until 2.5, and its commit at entry 4 was acknowledged.
    """
    group = make_group(replace(LEADER, is_primary=False), NEAR, FAR)
    group.record_status(
        group.members["p"], primary_status(1, Position(1, 3)), asked_at=1.0
    )
    group.record_status(
        group.members["r1"], primary_status(2, Position(1, 3)), asked_at=1.9
    )
    group.record_position(group.members["r1"], Position(2, 4), asked_at=1.95)
    group.record_commit(group.members["r1"], 2.0, Position(2, 4))
    return group


class SampleTest(unittest.TestCase):
    """Whose positions cover acknowledged commits, and what they prove."""

    def test_answer_from_before_the_promotion_covers_nothing(self) -> None:
        """Guards against a lagging replica's position that counts as its lead's."""
        group = make_group()
        group.record_status(
            group.members["p"], primary_status(1, Position(1, 9)), asked_at=1.0
        )
        group.update((LEADER, replace(NEAR, is_primary=True), FAR), 1.9)
        successor = group.members["r1"]
        group.record_status(successor, primary_status(2, Position(1, 9)), asked_at=2.0)
        group.record_position(successor, Position(1, 3), asked_at=1.8)
        group.record_commit(successor, 2.1, Position(2, 10))
        self.assertIsNone(group.covering_position(1.7))

    def test_answer_of_a_replaced_primary_covers_nothing(self) -> None:
        """Guards against a primary whose entry is learned late, after its successor.

        The successor's proof counted for its positions.
        """
        group = group_with_successor()
        group.update((LEADER, NEAR, FAR), 2.1)
        group.record_position(group.members["p"], Position(1, 4), asked_at=2.2)
        self.assertIsNone(group.covering_position(2.1))

    def test_answer_of_a_replaced_primary_does_not_prove_its_successor(self) -> None:
        """Guards against a proof by an entry older than the moment that it proves."""
        group = group_with_successor()
        group.update((LEADER, NEAR, FAR), 2.1)
        group.record_position(group.members["p"], Position(1, 4), asked_at=2.45)
        successor = group.members["r1"]
        group.record_status(group.members["p"], status(1, is_primary=True), 2.46)
        group.record_status(successor, primary_status(2, Position(2, 4)), 2.47)
        self.assertIs(group.leader, successor)
        group.record_position(group.members["r2"], Position(2, 4), asked_at=2.48)
        self.assertFalse(group.is_term_proved(2.6))

    def test_answer_in_one_term_does_not_prove_another(self) -> None:
        """Guards against a late answer of a replaced primary as proof of the next."""
        group = make_group()
        group.record_status(
            group.members["p"], primary_status(1, Position(1, 5)), asked_at=1.0
        )
        group.record_position(group.members["p"], Position(1, 6), asked_at=5.0)
        group.record_status(
            group.members["r1"], primary_status(2, Position(2, 7)), asked_at=5.1
        )
        group.record_position(group.members["r2"], Position(2, 7), asked_at=5.2)
        self.assertFalse(group.is_term_proved(5.0))
        group.record_commit(group.members["r1"], 5.3, Position(2, 8))
        self.assertTrue(group.is_term_proved(5.0))
        self.assertIsNone(group.covering_position(4.9))

    def test_position_of_a_replica_proves_no_more_when_it_is_repeated(self) -> None:
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 0.5)
        group.record_position(group.members["p"], Position(1, 6), asked_at=1.0)
        for asked_at in (1.1, 2.0, 3.0):
            group.record_position(group.members["r1"], Position(1, 7), asked_at)
        self.assertTrue(group.is_term_proved(1.5))
        self.assertFalse(group.is_term_proved(1.51))


class RestartTest(unittest.TestCase):
    """A database that restarted under its identifier, with less in its log."""

    async def restart_leader(self, fixture: GroupFixture) -> None:
        await fixture.run(fixture.session(), Write("i", "d"))
        await fixture.run(fixture.session(), Read("i"))
        await pass_time(0.3)
        fixture.near.is_unreachable = fixture.far.is_unreachable = True
        fixture.leader.is_primary = False
        fixture.leader.index = 2

    def test_read_at_a_leader_that_restarted_is_not_returned(self) -> None:
        """Guards against a read of a log that lacks its caller's own commit."""
        served: list[RouteKind] = []

        async def work(fixture: GroupFixture, kind: RouteKind) -> None:
            await self.restart_leader(fixture)
            reply = await fixture.run(fixture.session(), Read("i"))
            if reply.is_success:
                served.append(kind)

        for kind in RouteKind:
            run_with_fixture(partial(work, kind=kind), kind)
        self.assertEqual(served, [])

    def test_transaction_at_a_leader_that_restarted_is_not_begun(self) -> None:
        """Guards against a transaction on a log that lacks acknowledged commits."""

        async def work(fixture: GroupFixture) -> None:
            await self.restart_leader(fixture)
            session = fixture.session()
            await fixture.run(session, Begin(True), "b")
            reply = await fixture.run(session, Read("i"))
            self.assertFalse(reply.is_success)
            self.assertIsNone(fixture.fleet.group("s").leader)

        run_with_fixture(work)

    def test_answers_of_a_leader_that_restarted_cover_nothing(self) -> None:
        """Guards against accepting lagging replicas by the position of a new log."""
        group = make_group()
        leader = group.members["p"]
        group.record_status(leader, primary_status(1, Position(1, 8)), asked_at=1.0)
        group.record_position(leader, Position(1, 9), asked_at=1.1)
        group.record_commit(leader, 1.1, Position(1, 9))
        for position in (Position(0, 0), Position(1, 2)):
            group.record_position(leader, position, asked_at=1.5)
        self.assertIsNone(group.covering_position(1.2))


class LostLogTest(unittest.TestCase):
    """Surveys after a database was lost whose log may have held commits."""

    async def fail_leader(self, fixture: GroupFixture) -> None:
        """Make the leader fail, after positions that it answered with are too old."""
        await pass_time(6.0)
        fixture.leader.is_unreachable = True
        await fixture.run(fixture.session(), Read("i"))
        await pass_time(0.5)

    def survey_after(
        self, is_replaced: bool, has_caught_up: bool, missing_seconds: float = 10.0
    ) -> bool:
        """Return whether a read is served after `far` was lost and the leader failed.

        Only `far` had received the leader's last commit, which is old enough to be
        visible. If `has_caught_up`, `near` has received a commit that came later. The
        entry of `far` has been missing for `missing_seconds`, unless it was replaced.
        """
        results: list[bool] = []

        async def work(fixture: GroupFixture) -> None:
            await fixture.run(fixture.session(), Write("i", "d"))
            entries = dict(fixture.fleet.directory.databases)
            far = entries.pop("far")
            if is_replaced:
                fixture.far.index = 5
                entries["far"] = replace(far, incarnation=7)
                fixture.fleet.register(Directory(entries))
            else:
                drained = replace(far, is_draining=True)
                missing_since = virtual_now() - missing_seconds
                departed = (Departed(drained, missing_since),)
                fixture.fleet.register(Directory(entries, departed))
            if has_caught_up:
                await fixture.run(fixture.session(), Write("i", "d"))
                await fixture.run(fixture.session(), Write("i", "d"))
                fixture.near.index = fixture.leader.index
            await self.fail_leader(fixture)
            reply = await fixture.run(fixture.session(), Read("i"))
            results.append(reply.is_success)

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)
        return results[0]

    def test_survey_does_not_miss_the_log_of_a_replica_that_left(self) -> None:
        """Guards against a stale read: only the replica that left had the commit."""
        self.assertFalse(self.survey_after(is_replaced=False, has_caught_up=False))

    def test_survey_does_not_miss_the_log_of_a_replica_that_restarted(self) -> None:
        """Guards against a stale read: only the replica's former log had the commit."""
        self.assertFalse(self.survey_after(is_replaced=True, has_caught_up=False))

    def test_survey_does_not_count_a_log_that_was_longer_before(self) -> None:
        """Guards against a replica's restart that its entry does not tell of yet."""

        async def work(fixture: GroupFixture) -> None:
            fixture.leader.zone = "b"
            fixture.near.zone, fixture.far.zone = "b", "a"
            fixture.register()
            await fixture.run(fixture.session(), Write("i", "d"))
            fixture.near.index = fixture.leader.index
            await fixture.run(fixture.session(), Write("i", "d"))
            fixture.far.index = fixture.leader.index
            await fixture.run(fixture.session(), Read("i"))
            self.assertEqual(fixture.far.statement_names(), ["Read"])
            fixture.far.index = 5
            await self.fail_leader(fixture)
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertFalse(reply.is_success)

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)

    def test_survey_by_a_process_that_has_just_started_does_not_count(self) -> None:
        """Guards against a stale read: it does not know which logs were lost before."""

        async def work(fixture: GroupFixture) -> None:
            fixture.leader.is_unreachable = True
            reply = await fixture.run(fixture.session(), Read("i"))
            self.assertFalse(reply.is_success)

        run_with_fixture(work, RouteKind.BOUNDED_STALENESS)

    def test_survey_counts_once_a_log_holds_what_came_after_the_loss(self) -> None:
        for is_replaced in (False, True):
            with self.subTest(is_replaced=is_replaced):
                self.assertTrue(self.survey_after(is_replaced, has_caught_up=True))

    def test_survey_does_not_miss_the_unknown_replacement_of_a_replica(self) -> None:
        """Guards against stale reads: it follows the primary before its entry comes."""
        self.assertFalse(self.survey_after(False, True, missing_seconds=0.0))

    def test_survey_during_which_a_database_was_lost_does_not_count(self) -> None:
        """Guards against counting answers of a set of databases that has changed."""
        group = make_group()
        leader = group.members["p"]
        group.record_status(leader, status(1, is_primary=True), 0.5)
        group.record_position(leader, Position(1, 6), asked_at=1.0)
        group.record_commit(leader, 1.0, Position(1, 6))
        group.update((LEADER, NEAR), 1.4)
        group.record_survey((Position(1, 6), Position(1, 6)), 1.3)
        self.assertIsNone(group.covering_position(1.2))


class OwnCommitTest(unittest.TestCase):
    """The session's own commits, whatever their answers say."""

    def test_read_sees_an_own_commit_that_was_answered_without_a_position(self) -> None:
        """Guards against a stale read: such a commit required nothing of the log."""

        async def work(fixture: GroupFixture) -> None:
            fixture.configure(sync_replicas=0)
            fixture.leader.zone = "b"
            fixture.register()
            await fixture.run(fixture.session(), Write("i", "d"))
            fixture.near.index = fixture.far.index = fixture.leader.index
            await fixture.run(fixture.session(), Read("i"))
            session = fixture.session()
            fixture.leader.hides_position = True
            await fixture.run(session, Write("i", "d"))
            fixture.leader.hides_position = False
            reply = await fixture.run(session, Read("i"))
            self.assertEqual(reply.position, fixture.leader.position)

        run_with_fixture(work, RouteKind.READ_YOUR_WRITES)
