"""Tests of a database as a proxy sees it: stalls, failures and lag."""

import unittest
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Route, RouteKind
from beryltiller.sessions.databases.evidence import SAMPLE_RETENTION_SECONDS
from beryltiller.sessions.databases.member import (
    MAX_RETRY_SECONDS,
    STALL_MEMORY_SECONDS,
)
from beryltiller.sessions.succession.lag_relief import (
    MIN_LEAD_SECONDS,
    min_staleness_seconds,
    needs_relief,
)
from tests.test_session_groups import make_group, status


class StallTest(unittest.TestCase):
    """Detection of a primary that acknowledges no write, and when it ends."""

    def test_stalled_until_a_write_is_acknowledged(self) -> None:
        group = make_group()
        leader = group.members["p"]
        leader.record_unacknowledged_write(1.0, 2.0)
        leader.record_unacknowledged_write(1.5, 2.5)
        self.assertEqual(leader.stalled_since(2.6), 1.0)
        group.record_commit(leader, 2.4)
        self.assertIsNone(leader.stalled_since(2.6))

    def test_old_unacknowledged_writes_are_ignored(self) -> None:
        """Guards against replacing a healthy primary after a partition.

        Writes that were lost in the partition made it look stalled.
        """
        leader = make_group().members["p"]
        leader.record_unacknowledged_write(1.0, 2.0)
        late = 2.1 + STALL_MEMORY_SECONDS
        self.assertIsNone(leader.stalled_since(late))
        leader.record_unacknowledged_write(late - 1.0, late)
        self.assertEqual(leader.stalled_since(late), late - 1.0)

    def test_write_before_an_acknowledged_one_is_ignored(self) -> None:
        """Guards against replacing a healthy primary that lost a single answer."""
        group = make_group()
        leader = group.members["p"]
        group.record_commit(leader, 1.5)
        leader.record_unacknowledged_write(1.0, 2.0)
        self.assertIsNone(leader.stalled_since(2.0))
        leader.record_unacknowledged_write(1.6, 2.1)
        self.assertEqual(leader.stalled_since(2.1), 1.6)


class FailureTest(unittest.TestCase):
    """Detection of a database that has failed."""

    def test_failure_is_recorded_however_many_came_before(self) -> None:
        """Guards against an entry whose database never answers.

        After 1,024 failures, about 17 minutes, each further one raised OverflowError.
        """
        member = make_group().members["p"]
        for number in range(2_000):
            member.record_failure(float(number))
        self.assertFalse(member.is_available(1_999.0 + MAX_RETRY_SECONDS / 2))
        self.assertTrue(member.is_available(1_999.0 + MAX_RETRY_SECONDS))

    def test_lost_answer_counts_unless_others_were_answered_since(self) -> None:
        for is_answered, failing_since in ((False, 1.0), (True, None)):
            with self.subTest(is_answered=is_answered):
                leader = make_group().members["p"]
                leader.record_sent(1.0)
                leader.record_sent(1.0)
                leader.record_end(1.1, is_answered)
                leader.record_lost_answer(1.0, 1.8)
                self.assertEqual(leader.failing_since, failing_since)
                self.assertEqual(leader.is_available(1.8), is_answered)


class LagTest(unittest.TestCase):
    """How far replicas lag, and when a change of primary helps against it."""

    def setUp(self) -> None:
        self.group = make_group()
        self.group.record_status(
            self.group.members["p"], status(1, is_primary=True), 0.0
        )
        for moment in (20.0, 21.0, 22.0, 23.0):
            position = Position(1, int(moment))
            self.group.record_position(self.group.members["p"], position, moment)
        self.group.members["p"].record_load_refusal(23.0)

    def record_replicas(self, near: int, far: int) -> None:
        for name, index in (("r1", near), ("r2", far)):
            member = self.group.members[name]
            self.group.record_position(member, Position(1, index), 23.0)

    def test_lag_is_measured_from_the_leaders_positions(self) -> None:
        near = self.group.members["r1"]
        self.assertEqual(self.group.lag_seconds(near, 23.0), 0.0)
        for index, lag in ((23, 0.0), (21, 1.0), (3, 3.0)):
            with self.subTest(index=index):
                near.applied = None
                self.group.record_position(near, Position(1, index), 23.0)
                self.assertEqual(self.group.lag_seconds(near, 23.0), lag)
        self.assertEqual(
            self.group.lag_seconds(near, 23.1 + SAMPLE_RETENTION_SECONDS), 0.0
        )

    def test_relief_is_needed_if_no_replica_can_help_an_overloaded_leader(self) -> None:
        for near, far, staleness, leader_since, is_needed in (
            (3, 3, 2.5, 0.0, True),
            (3, 23, 2.5, 0.0, False),
            (3, 3, 3.5, 0.0, False),
            (3, 3, None, 0.0, False),
            (22, 22, 0.1, 0.0, False),
            (3, 3, 2.5, 23.1 - MIN_LEAD_SECONDS, False),
        ):
            with self.subTest(near=near, far=far, staleness=staleness):
                self.setUp()
                self.record_replicas(near, far)
                self.assertEqual(
                    needs_relief(self.group, staleness, leader_since, 23.0), is_needed
                )
                self.assertFalse(
                    needs_relief(self.group, staleness, leader_since, 26.0),
                    "the leader has capacity again",
                )

    def test_least_staleness_of_the_services_routes(self) -> None:
        primary = Route("d", "s", RouteKind.PRIMARY, 1.0, 0.1, 1, 9.0)
        aged = Route("e", "s", RouteKind.BOUNDED_STALENESS, 1.0, 0.1, 1, 1.5)
        older = replace(aged, database_name="f", max_staleness_seconds=2.5)
        self.assertEqual(min_staleness_seconds((primary, older, aged), "s"), 1.5)
        self.assertIsNone(min_staleness_seconds((primary, aged), "t"))
