"""Tests of what a proxy knows of a group: leader, evidence, floors, placement."""

import unittest
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.catalog import Database, Departed, Route, RouteKind
from beryltiller.sessions.groups import (
    KEPT_SAMPLES_SECONDS,
    TERM_PROOF_SECONDS,
    Group,
)
from beryltiller.sessions.member import STALL_MEMORY_SECONDS
from beryltiller.sessions.placement import DRAIN_SECONDS, Need, Placer, read_need
from beryltiller.sessions.registry import LAPSE_GRACE_SECONDS, Registry
from beryltiller.sessions.statements import DatabaseStatus


def database(name: str, zone: str = "a", is_primary: bool = False) -> Database:
    """Return a database of service s."""
    return Database(name, "s", "127.0.0.1:1", zone, 3, is_primary, False)


LEADER = database("p", "a", is_primary=True)
NEAR = database("r1", "a")
FAR = database("r2", "b")


def group(*databases: Database) -> Group:
    """Return a group of the databases given, or of a leader and two replicas."""
    made = Group("s")
    made.update(databases or (LEADER, NEAR, FAR), 0.0)
    return made


def status(term: int, fenced_term: int = 0, is_primary: bool = False) -> DatabaseStatus:
    """Return a status that stands at entry 5 of the term."""
    return DatabaseStatus(is_primary, term, Position(term, 5), fenced_term, 0)


class LeaderTest(unittest.TestCase):
    """Which database is believed to lead."""

    def test_the_one_that_became_primary_last(self) -> None:
        """The entry of a dead primary stays for some seconds."""
        made = group()
        made.update((LEADER, replace(NEAR, is_primary=True), FAR), 0.0)
        leader = made.leader
        assert leader is not None
        self.assertEqual(leader.database.identifier, "r1")

    def test_none_after_the_leader_refused_to_write(self) -> None:
        made = group()
        made.lead_denied(made.members["p"])
        self.assertIsNone(made.leader)

    def test_one_that_says_so_in_a_newer_term(self) -> None:
        made = group()
        made.heard(made.members["p"], Position(1, 4), 1.0)
        made.status_heard(made.members["r2"], status(2, is_primary=True), 2.0)
        self.assertIs(made.leader, made.members["r2"])

    def test_replaced_primary_does_not_lead_when_its_successor_is_gone(self) -> None:
        """It came back from a cut, and was read and written."""
        made = group()
        made.heard(made.members["p"], Position(1, 4), 1.0)
        successor = replace(NEAR, is_primary=True)
        made.update((LEADER, successor, FAR), 2.0)
        made.heard(made.members["r1"], Position(2, 5), 2.0)
        made.update((LEADER, FAR), 3.0)
        self.assertIsNone(made.leader)
        self.assertEqual(made.unconfirmed(), (made.members["p"],))
        made.status_heard(made.members["p"], status(1, is_primary=True), 3.0)
        self.assertIsNone(made.leader)

    def test_primary_that_registers_late_is_asked_first(self) -> None:
        for term, leads in ((1, False), (2, True)):
            with self.subTest(term=term):
                made = group()
                made.heard(made.members["r1"], Position(2, 4), 1.0)
                made.update((NEAR, FAR), 2.0)
                made.update((NEAR, FAR, database("q", is_primary=True)), 3.0)
                self.assertIsNone(made.leader)
                made.status_heard(made.members["q"], status(term, is_primary=True), 3.0)
                self.assertEqual(made.leader is made.members["q"], leads)

    def test_leader_of_an_older_term_leads_no_more(self) -> None:
        made = group()
        made.status_heard(made.members["p"], status(1, is_primary=True), 1.0)
        made.heard(made.members["r1"], Position(2, 1), 2.0)
        self.assertIsNone(made.leader)

    def test_former_leader_that_is_heard_late_does_not_lead_again(self) -> None:
        """Its answer came after its successor's entry, and before that was asked."""
        made = group()
        made.heard(made.members["p"], Position(1, 4), 1.0)
        made.update((LEADER, replace(NEAR, is_primary=True), FAR), 2.0)
        made.status_heard(made.members["p"], status(1, is_primary=True), 2.0)
        self.assertIs(made.leader, made.members["r1"])
        made.status_heard(made.members["r1"], status(2, is_primary=True), 2.1)
        made.status_heard(made.members["p"], status(1, is_primary=True), 2.2)
        self.assertIs(made.leader, made.members["r1"])

    def test_leader_is_asked_once(self) -> None:
        made = group()
        self.assertEqual(made.unconfirmed(), (made.members["p"],))
        made.status_heard(made.members["p"], status(1, is_primary=True), 1.0)
        self.assertEqual(made.unconfirmed(), ())

    def test_database_that_started_anew_is_not_known(self) -> None:
        made = group()
        made.members["r1"].answered(Position(1, 9))
        made.update((LEADER, replace(NEAR, incarnation=7), FAR), 0.0)
        self.assertIsNone(made.members["r1"].applied)


class StallTest(unittest.TestCase):
    """A primary that acknowledges no write, and what is forgotten of it."""

    def test_stalled_until_a_write_is_acknowledged(self) -> None:
        made = group()
        leader = made.members["p"]
        leader.unacknowledged(1.0, 2.0)
        leader.unacknowledged(1.5, 2.5)
        self.assertEqual(leader.stalled_since(2.6), 1.0)
        made.acknowledged(leader, 2.4)
        self.assertIsNone(leader.stalled_since(2.6))

    def test_what_was_seen_long_ago_does_not_count(self) -> None:
        """After a cut, a healthy primary was replaced for writes lost in the cut."""
        leader = group().members["p"]
        leader.unacknowledged(1.0, 2.0)
        late = 2.1 + STALL_MEMORY_SECONDS
        self.assertIsNone(leader.stalled_since(late))
        leader.unacknowledged(late - 1.0, late)
        self.assertEqual(leader.stalled_since(late), late - 1.0)


class EvidenceTest(unittest.TestCase):
    """What proves that the leader's term is in force, and for how long."""

    def proved(self) -> Group:
        made = group()
        made.status_heard(made.members["p"], status(1, is_primary=True), 0.5)
        made.heard(made.members["p"], Position(1, 4), 1.0)
        return made

    def test_commit_and_unfenced_replica_prove(self) -> None:
        made = self.proved()
        self.assertFalse(made.is_proved(1.0))
        made.acknowledged(made.members["p"], 2.0)
        self.assertTrue(made.is_proved(2.0 + TERM_PROOF_SECONDS))
        self.assertFalse(made.is_proved(2.01 + TERM_PROOF_SECONDS))
        made.status_heard(made.members["r1"], status(1), 3.0)
        self.assertTrue(made.is_proved(3.0))

    def test_others_do_not(self) -> None:
        cases = (
            ("a fenced replica", "r1", status(1, fenced_term=2)),
            ("a replica of a newer term", "r1", status(2)),
            ("the leader itself", "p", status(1, is_primary=True)),
        )
        for name, member, heard in cases:
            with self.subTest(name):
                made = self.proved()
                made.status_heard(made.members[member], heard, 3.0)
                self.assertFalse(made.is_proved(3.0))
        made = self.proved()
        made.acknowledged(made.members["r1"], 3.0)
        self.assertFalse(made.is_proved(3.0))

    def test_replica_beyond_what_the_leader_held_proves(self) -> None:
        for index, expected in ((4, False), (5, True)):
            with self.subTest(index=index):
                made = self.proved()
                made.heard(made.members["r1"], Position(1, index), 2.0)
                self.assertEqual(made.is_proved(1.0), expected)

    def test_evidence_of_one_leader_does_not_prove_another(self) -> None:
        """A replaced primary was read with its successor's evidence."""
        made = self.proved()
        made.acknowledged(made.members["p"], 2.0)
        made.update((LEADER, replace(NEAR, is_primary=True), FAR), 2.1)
        self.assertFalse(made.is_proved(2.0))
        self.assertEqual(made.floor(1.0), Position(1, 4), "still covers commits")

    def test_leader_that_was_not_asked_is_proved_by_no_replica(self) -> None:
        """Replaced and stepped down, it followed in the replicas' term itself."""
        made = group()
        made.heard(made.members["p"], Position(2, 2), 1.0)
        made.heard(made.members["r1"], Position(2, 4), 1.1)
        made.status_heard(made.members["r2"], status(2), 1.2)
        self.assertFalse(made.is_proved(1.0))

    def test_tenure_tells_reigns_apart(self) -> None:
        made = self.proved()
        before = made.tenure
        made.update((LEADER, replace(NEAR, is_primary=True), FAR), 0.0)
        self.assertNotEqual(made.tenure, before)


class FloorTest(unittest.TestCase):
    """Positions that cover all commits acknowledged before a moment."""

    def test_earliest_proved_sample_that_is_new_enough(self) -> None:
        made = group()
        leader = made.members["p"]
        for asked_at, index in ((1.0, 4), (2.0, 6), (3.0, 8)):
            made.heard(leader, Position(1, index), asked_at)
        self.assertIsNone(made.floor(1.5))
        made.acknowledged(leader, 2.0)
        self.assertEqual(made.floor(0.5), Position(1, 4))
        self.assertEqual(made.floor(1.5), Position(1, 6))
        self.assertIsNone(made.floor(2.5), "the sample at 3 is not proved")

    def test_unproved_samples_go_with_the_term(self) -> None:
        made = group()
        leader = made.members["p"]
        made.heard(leader, Position(1, 4), 1.0)
        made.heard(made.members["r1"], Position(2, 1), 2.0)
        made.acknowledged(leader, 2.0)
        self.assertIsNone(made.floor(0.0))

    def test_survey_needs_no_proof_and_is_forgotten_in_time(self) -> None:
        made = group()
        made.surveyed((Position(1, 4), Position(1, 7)), 1.0)
        self.assertEqual(made.floor(1.0), Position(1, 7))
        made.surveyed((Position(1, 9),), 1.1 + KEPT_SAMPLES_SECONDS)
        self.assertEqual(made.floor(1.0), Position(1, 9))

    def test_forgotten_after_a_standstill(self) -> None:
        made = group()
        made.heard(made.members["p"], Position(1, 4), 1.0)
        made.acknowledged(made.members["p"], 1.0)
        made.forget_proofs()
        self.assertIsNone(made.floor(0.0))
        self.assertFalse(made.is_proved(0.0))


class PlacementTest(unittest.TestCase):
    """The nearest log that is proved to hold what a read demands."""

    def place(self, made: Group, tried: frozenset[str] = frozenset()) -> str | None:
        placement = Placer("b").place_read(made, Need(0.5), 2.0, tried)
        return placement.member.database.identifier if placement else None

    def with_floor(self) -> Group:
        made = group()
        made.heard(made.members["p"], Position(1, 4), 1.0)
        made.acknowledged(made.members["p"], 1.0)
        return made

    def test_prefers_the_own_zone_and_passes_over_what_fails(self) -> None:
        made = self.with_floor()
        self.assertEqual(self.place(made), "r2")
        made.members["r2"].failed(2.0)
        self.assertNotEqual(self.place(made), "r2")
        self.assertIsNone(self.place(made, frozenset({"p", "r1"})))

    def test_without_a_floor_only_the_leader_serves(self) -> None:
        self.assertEqual(self.place(group()), "p")

    def test_draining_database_gets_no_reads(self) -> None:
        made = self.with_floor()
        made.update((LEADER, NEAR, replace(FAR, is_draining=True)), 0.0)
        self.assertNotEqual(self.place(made), "r2")

    def test_draining_leader_without_successor_gets_no_work_in_the_end(self) -> None:
        made = group()
        made.update((replace(LEADER, is_draining=True), NEAR, FAR), 1.0)
        for now, is_placed in (
            (1.0 + DRAIN_SECONDS, True),
            (1.1 + DRAIN_SECONDS, False),
        ):
            with self.subTest(now=now):
                placement = Placer("b").place_leader(made, now, frozenset())
                self.assertEqual(placement is not None, is_placed)

    def test_need_of_each_kind(self) -> None:
        own = Position(1, 3)
        cases = (
            (RouteKind.PRIMARY, Need(10.0)),
            (RouteKind.BOUNDED_STALENESS, Need(8.5)),
            (RouteKind.READ_YOUR_WRITES, Need(8.5, own)),
        )
        for kind, expected in cases:
            with self.subTest(kind):
                route = Route("d", "s", kind, 1.0, 0.4, 1, 1.5)
                self.assertEqual(read_need(route, 10.0, own), expected)


class RegistryTest(unittest.TestCase):
    """Entries that lapse by mistake, and databases that are gone."""

    def test_missing_entry_is_used_for_a_while_then_departed(self) -> None:
        registry = Registry()
        registry.replace((LEADER, NEAR), 1.0)
        registry.replace((LEADER,), 2.0)
        self.assertIn("r1", registry.directory(2.0).databases)
        self.assertEqual(registry.next_lapse(), 2.0 + LAPSE_GRACE_SECONDS)
        directory = registry.directory(2.0 + LAPSE_GRACE_SECONDS)
        self.assertNotIn("r1", directory.databases)
        self.assertEqual(directory.departed_of("s"), (Departed(NEAR, 2.0),))

    def test_entry_that_is_back_is_as_before(self) -> None:
        registry = Registry()
        registry.replace((LEADER, NEAR), 1.0)
        registry.replace((LEADER,), 2.0)
        registry.directory(2.0 + LAPSE_GRACE_SECONDS)
        registry.replace((LEADER, NEAR), 6.0)
        directory = registry.directory(6.0)
        self.assertIn("r1", directory.databases)
        self.assertEqual(directory.departed, ())

    def test_one_that_went_after_the_trouble_began_may_be_hidden(self) -> None:
        """A draining replica, cut off with the primary, went on receiving."""
        registry = Registry()
        registry.replace((LEADER, replace(NEAR, is_draining=True)), 1.0)
        registry.replace((LEADER,), 20.0)
        directory = registry.directory(20.0 + LAPSE_GRACE_SECONDS)
        for trouble_since, is_hidden in ((17.0, True), (20.5, True), (30.0, False)):
            with self.subTest(trouble_since=trouble_since):
                hidden = directory.hidden_of("s", trouble_since)
                self.assertEqual(bool(hidden), is_hidden)
