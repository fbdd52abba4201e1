"""Tests of a proxy's view of a group: leader, term proofs, and placement."""

import unittest
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Database, Route, RouteKind
from beryltiller.sessions.databases.evidence import (
    SAMPLE_RETENTION_SECONDS,
    TERM_PROOF_SECONDS,
)
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.placement import (
    DRAIN_SECONDS,
    Placer,
    ReadRequirement,
    read_requirement,
)
from beryltiller.sessions.statements import DatabaseStatus
from tests.fake_announcements import FakeAnnouncementFeed


def database(name: str, zone: str = "a", is_primary: bool = False) -> Database:
    """Return a registry entry of a database of service `s`."""
    return Database(name, "s", "127.0.0.1:1", zone, 3, is_primary, False)


LEADER = database("p", "a", is_primary=True)
NEAR = database("r1", "a")
FAR = database("r2", "b")


def make_group(*databases: Database) -> Group:
    """Return a group of `databases`, by default of a leader and two replicas."""
    group = Group("s")
    group.update(databases or (LEADER, NEAR, FAR), 0.0)
    return group


def status(term: int, fenced_term: int = 0, is_primary: bool = False) -> DatabaseStatus:
    """Return a status whose log ends at entry 5 of the term."""
    return DatabaseStatus(is_primary, term, Position(term, 5), fenced_term)


class LeaderTest(unittest.TestCase):
    """The choice of the database that is believed to be primary."""

    def test_last_database_to_become_primary_leads(self) -> None:
        """Guards against a dead primary's entry, which remains for some seconds."""
        group = make_group()
        group.update((LEADER, replace(NEAR, is_primary=True), FAR), 0.0)
        leader = group.leader
        assert leader is not None
        self.assertEqual(leader.database.identifier, "r1")

    def test_no_leader_after_the_leader_refused_a_write(self) -> None:
        group = make_group()
        group.record_lead_denied(group.members["p"])
        self.assertIsNone(group.leader)

    def test_primary_of_a_newer_term_becomes_leader(self) -> None:
        group = make_group()
        group.record_position(group.members["p"], Position(1, 4), 1.0)
        group.record_status(group.members["r2"], status(2, is_primary=True), 2.0)
        self.assertIs(group.leader, group.members["r2"])

    def test_replaced_primary_does_not_lead_when_its_successor_is_gone(self) -> None:
        """Guards against using a replaced primary that returns from a partition.

        Statements were sent to it, as its successor's entry was gone.
        """
        group = make_group()
        group.record_position(group.members["p"], Position(1, 4), 1.0)
        successor = replace(NEAR, is_primary=True)
        group.update((LEADER, successor, FAR), 2.0)
        group.record_position(group.members["r1"], Position(2, 5), 2.0)
        group.update((LEADER, FAR), 3.0)
        self.assertIsNone(group.leader)
        self.assertEqual(group.leaders_to_confirm(), (group.members["p"],))
        group.record_status(group.members["p"], status(1, is_primary=True), 3.0)
        self.assertIsNone(group.leader)

    def test_primary_that_registers_late_leads_once_confirmed(self) -> None:
        for term, leads in ((1, False), (2, True)):
            with self.subTest(term=term):
                group = make_group()
                group.record_position(group.members["r1"], Position(2, 4), 1.0)
                group.update((NEAR, FAR), 2.0)
                group.update((NEAR, FAR, database("q", is_primary=True)), 3.0)
                self.assertIsNone(group.leader)
                group.record_status(
                    group.members["q"], status(term, is_primary=True), 3.0
                )
                self.assertEqual(group.leader is group.members["q"], leads)

    def test_newer_term_ends_the_lead_of_an_older_one(self) -> None:
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 1.0)
        group.record_position(group.members["r1"], Position(2, 1), 2.0)
        self.assertIsNone(group.leader)

    def test_late_status_does_not_make_a_former_leader_lead(self) -> None:
        """Guards against a status that arrives in the middle of a change of primary.

        It comes after the successor's entry, but before the successor was asked.
        """
        group = make_group()
        group.record_position(group.members["p"], Position(1, 4), 1.0)
        group.update((LEADER, replace(NEAR, is_primary=True), FAR), 2.0)
        group.record_status(group.members["p"], status(1, is_primary=True), 2.0)
        self.assertIs(group.leader, group.members["r1"])
        group.record_status(group.members["r1"], status(2, is_primary=True), 2.1)
        group.record_status(group.members["p"], status(1, is_primary=True), 2.2)
        self.assertIs(group.leader, group.members["r1"])

    def test_leader_is_confirmed_once(self) -> None:
        group = make_group()
        self.assertEqual(group.leaders_to_confirm(), (group.members["p"],))
        group.record_status(group.members["p"], status(1, is_primary=True), 1.0)
        self.assertEqual(group.leaders_to_confirm(), ())

    def test_restarted_database_has_no_applied_position(self) -> None:
        group = make_group()
        group.members["r1"].record_answer(Position(1, 9))
        group.update((LEADER, replace(NEAR, incarnation=7), FAR), 0.0)
        self.assertIsNone(group.members["r1"].applied)


class EvidenceTest(unittest.TestCase):
    """Observations that prove the leader's term, and for how long."""

    def proved_group(self) -> Group:
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 0.5)
        group.record_position(group.members["p"], Position(1, 4), 1.0)
        return group

    def test_commit_and_unfenced_replica_prove_the_term(self) -> None:
        group = self.proved_group()
        self.assertFalse(group.is_term_proved(1.0))
        group.record_commit(group.members["p"], 2.0, Position(1, 5))
        self.assertTrue(group.is_term_proved(2.0 + TERM_PROOF_SECONDS))
        self.assertFalse(group.is_term_proved(2.01 + TERM_PROOF_SECONDS))
        group.record_status(group.members["r1"], status(1), 3.0)
        self.assertFalse(group.is_term_proved(3.0))
        group.record_lead(group.members["p"], 3.1)
        self.assertTrue(group.is_term_proved(3.0 + TERM_PROOF_SECONDS))
        self.assertFalse(group.is_term_proved(3.01 + TERM_PROOF_SECONDS))

    def test_lead_is_shown_by_the_leader_alone(self) -> None:
        """Guards against a replica's claim that proves the leader's term."""
        group = self.proved_group()
        group.record_status(group.members["r1"], status(1), 3.0)
        group.record_lead(group.members["r1"], 3.0)
        self.assertFalse(group.is_term_proved(3.0))

    def test_other_observations_do_not_prove_the_term(self) -> None:
        cases = (
            ("a fenced replica", "r1", status(1, fenced_term=2)),
            ("a replica of a newer term", "r1", status(2)),
            ("the leader itself", "p", status(1, is_primary=True)),
        )
        for name, member, reported in cases:
            with self.subTest(name):
                group = self.proved_group()
                group.record_status(group.members[member], reported, 3.0)
                self.assertFalse(group.is_term_proved(3.0))
        group = self.proved_group()
        group.record_commit(group.members["r1"], 3.0, Position(1, 5))
        self.assertFalse(group.is_term_proved(3.0))

    def test_replica_ahead_of_the_leaders_sample_proves_the_term(self) -> None:
        for index, expected in ((4, False), (5, True)):
            with self.subTest(index=index):
                group = self.proved_group()
                group.record_position(group.members["r1"], Position(1, index), 2.0)
                self.assertEqual(group.is_term_proved(1.0), expected)

    def test_replica_on_a_new_connection_proves_no_term_beyond_the_question(
        self,
    ) -> None:
        """Guards against proofs by a process that restarted without its fence."""
        cases = ((1.0, False), (1.5, True))
        for announced_at, expected in cases:
            with self.subTest(announced_at=announced_at):
                group = self.proved_group()
                group.announced.follow(FakeAnnouncementFeed(known_at=announced_at))
                ahead = Position(1, 5)
                group.record_position(group.members["r1"], ahead, 2.0, connected_at=1.2)
                self.assertEqual(group.is_term_proved(1.0), expected)
                group = self.proved_group()
                group.announced.follow(FakeAnnouncementFeed(known_at=announced_at))
                answers = [
                    (group.members[name], replace(status(1), connected_at=1.2))
                    for name in ("r1", "r2")
                ]
                group.record_lead(group.members["p"], 3.1)
                group.record_round(answers, 3.0)
                self.assertTrue(group.is_term_proved(3.0))
                self.assertEqual(group.is_term_proved(3.01), expected)

    def test_evidence_of_one_leader_does_not_prove_another(self) -> None:
        """Guards against reading a replaced primary with its successor's proof."""
        group = self.proved_group()
        group.record_commit(group.members["p"], 2.0, Position(1, 5))
        group.update((LEADER, replace(NEAR, is_primary=True), FAR), 2.1)
        self.assertFalse(group.is_term_proved(2.0))
        self.assertEqual(
            group.covering_position(1.0), Position(1, 4), "still covers commits"
        )

    def test_replica_does_not_prove_an_unconfirmed_leader(self) -> None:
        """Guards against proving the term of a leader that has become a replica.

        Replaced and stepped down, it is itself a replica in the same term.
        """
        group = make_group()
        group.record_position(group.members["p"], Position(2, 2), 1.0)
        group.record_position(group.members["r1"], Position(2, 4), 1.1)
        group.record_status(group.members["r2"], status(2), 1.2)
        self.assertFalse(group.is_term_proved(1.0))

    def test_commit_without_a_position_proves_no_term(self) -> None:
        """Guards against proving a term by a commit of a later one."""
        group = self.proved_group()
        group.record_commit(group.members["p"], 2.0)
        self.assertFalse(group.is_term_proved(2.0))

    def test_answer_counts_only_from_the_leader_in_its_own_term(self) -> None:
        """Guards against a read on the log of a replica or of an empty process."""
        group = self.proved_group()
        leader = group.members["p"]
        group.record_commit(leader, 2.0, Position(1, 5))
        for position, is_proved in (
            (Position(1, 5), True),
            (Position(2, 1), False),
            (Position(0, 4), False),
            (None, False),
        ):
            with self.subTest(position=position):
                self.assertEqual(
                    group.is_answer_proved(leader, position, 2.0), is_proved
                )
        replica = group.members["r1"]
        self.assertFalse(group.is_answer_proved(replica, Position(1, 5), 2.0))

    def test_answer_does_not_count_after_a_leader_change(self) -> None:
        group = self.proved_group()
        leader, successor = group.members["p"], group.members["r1"]
        group.record_commit(leader, 2.0, Position(1, 5))
        group.update((LEADER, replace(NEAR, is_primary=True), FAR), 2.1)
        group.record_commit(successor, 2.6, Position(2, 6))
        self.assertFalse(group.is_answer_proved(leader, Position(1, 5), 2.0))
        self.assertTrue(group.is_answer_proved(successor, Position(2, 6), 2.0))

    def test_answer_in_the_log_of_the_term_before_counts_until_the_first_commit(
        self,
    ) -> None:
        group = make_group()
        leader = group.members["p"]
        group.record_status(
            leader, DatabaseStatus(True, 2, Position(1, 5), 0), asked_at=1.0
        )
        group.record_status(group.members["r1"], status(2), 1.0)
        self.assertTrue(group.is_answer_proved(leader, Position(1, 5), 1.0))
        self.assertFalse(group.is_answer_proved(leader, Position(1, 4), 1.0))


class CoveringPositionTest(unittest.TestCase):
    """The positions that cover all commits acknowledged before a moment."""

    def test_earliest_proved_sample_that_is_new_enough(self) -> None:
        group = make_group()
        leader = group.members["p"]
        group.record_status(leader, status(1, is_primary=True), 0.5)
        for asked_at, index in ((1.0, 4), (2.0, 6), (3.0, 8)):
            group.record_position(leader, Position(1, index), asked_at)
        self.assertIsNone(group.covering_position(1.5))
        group.record_commit(leader, 2.0, Position(1, 6))
        self.assertEqual(group.covering_position(0.5), Position(1, 4))
        self.assertEqual(group.covering_position(1.5), Position(1, 6))
        self.assertIsNone(group.covering_position(2.5), "the sample at 3 is not proved")

    def test_new_term_discards_unproved_samples(self) -> None:
        group = make_group()
        leader = group.members["p"]
        group.record_status(leader, status(1, is_primary=True), 0.5)
        group.record_position(leader, Position(1, 4), 1.0)
        group.record_position(group.members["r1"], Position(2, 1), 2.0)
        group.record_commit(leader, 2.0, Position(1, 6))
        self.assertIsNone(group.covering_position(0.0))

    def test_survey_needs_no_proof_and_expires(self) -> None:
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 0.5)
        group.record_commit(group.members["p"], 0.5, Position(1, 7))
        group.record_position(group.members["p"], Position(1, 7), 0.5)
        group.record_survey((Position(1, 4), Position(1, 6)), 1.0)
        self.assertIsNone(group.covering_position(1.0), "misses the commit at 7")
        group.record_survey((Position(1, 4), Position(1, 7)), 1.0)
        self.assertEqual(group.covering_position(1.0), Position(1, 7))
        group.record_survey((Position(1, 9),), 1.1 + SAMPLE_RETENTION_SECONDS)
        self.assertEqual(group.covering_position(1.0), Position(1, 9))

    def test_evidence_from_before_a_suspension_proves_nothing_after_it(self) -> None:
        """The clock runs while the host is suspended, so nothing has to be cleared."""
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 0.5)
        group.record_position(group.members["p"], Position(1, 4), 1.0)
        group.record_commit(group.members["p"], 1.0, Position(1, 4))
        self.assertTrue(group.is_term_proved(1.0))
        woken_at = 31.0
        self.assertIsNone(group.covering_position(woken_at))
        self.assertFalse(group.is_term_proved(woken_at))
        group.record_position(group.members["p"], Position(1, 4), 1.0)
        group.record_commit(group.members["p"], 1.0, Position(1, 4))
        self.assertIsNone(group.covering_position(woken_at), "asked before it")
        self.assertFalse(group.is_term_proved(woken_at))


class PlacementTest(unittest.TestCase):
    """The choice of the nearest database that is proved to satisfy a read."""

    def place(self, group: Group, tried: frozenset[str] = frozenset()) -> str | None:
        placement = Placer("b").place_read(group, ReadRequirement(0.5), 2.0, tried)
        return placement.member.database.identifier if placement else None

    def group_with_covering_position(self) -> Group:
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 0.5)
        group.record_position(group.members["p"], Position(1, 4), 1.0)
        group.record_commit(group.members["p"], 1.0, Position(1, 4))
        return group

    def test_own_zone_is_preferred_and_failing_databases_skipped(self) -> None:
        group = self.group_with_covering_position()
        self.assertEqual(self.place(group), "r2")
        group.members["r2"].record_failure(2.0)
        self.assertNotEqual(self.place(group), "r2")
        self.assertIsNone(self.place(group, frozenset({"p", "r1"})))

    def test_without_covering_position_only_the_leader_serves(self) -> None:
        self.assertEqual(self.place(make_group()), "p")

    def test_draining_database_gets_no_reads(self) -> None:
        group = self.group_with_covering_position()
        group.update((LEADER, NEAR, replace(FAR, is_draining=True)), 0.0)
        self.assertNotEqual(self.place(group), "r2")

    def test_draining_leader_gets_no_work_after_its_drain_time(self) -> None:
        group = make_group()
        group.update((replace(LEADER, is_draining=True), NEAR, FAR), 1.0)
        for now, is_placed in (
            (1.0 + DRAIN_SECONDS, True),
            (1.1 + DRAIN_SECONDS, False),
        ):
            with self.subTest(now=now):
                placement = Placer("b").place_leader(group, now, frozenset())
                self.assertEqual(placement is not None, is_placed)

    def test_requirement_of_each_route_kind(self) -> None:
        own = Position(1, 3)
        cases = (
            (RouteKind.PRIMARY, ReadRequirement(10.0)),
            (RouteKind.BOUNDED_STALENESS, ReadRequirement(8.5)),
            (RouteKind.READ_YOUR_WRITES, ReadRequirement(8.5, own)),
        )
        for kind, expected in cases:
            with self.subTest(kind):
                route = Route("d", "s", kind, 1.0, 0.4, 1, 1.5)
                self.assertEqual(read_requirement(route, 10.0, own), expected)

    def test_only_read_your_writes_requires_an_own_commit_without_a_position(
        self,
    ) -> None:
        for kind, acknowledged_before in (
            (RouteKind.PRIMARY, 10.0),
            (RouteKind.BOUNDED_STALENESS, 8.5),
            (RouteKind.READ_YOUR_WRITES, 9.5),
        ):
            with self.subTest(kind):
                route = Route("d", "s", kind, 1.0, 0.4, 1, 1.5)
                requirement = read_requirement(route, 10.0, None, 9.5)
                self.assertEqual(requirement.acknowledged_before, acknowledged_before)
