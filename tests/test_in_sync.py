"""Tests of which processes join a group's in-sync set, and which leave it."""

import unittest
from dataclasses import replace

from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.databases import in_sync, receipts
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync import InSyncChange
from beryltiller.sessions.databases.in_sync_set import (
    DRAIN_LEASE_SECONDS,
    LEASE_MARGIN_SECONDS,
    SET_LEASE_SECONDS,
    InSyncProcess,
    InSyncSet,
    LeavingProcesses,
    process_of,
)
from beryltiller.sessions.statements import DatabaseStatus

LOG_END = Position(2, 7)


def entry(name: str, incarnation: int = 1, is_draining: bool = False) -> Database:
    """Return the entry of a process."""
    address = f"{name}:1"
    return Database(name, "s", address, "a", 3, False, is_draining, incarnation)


PROCESSES = {name: process_of(entry(name)) for name in "pqr"}


def create_group(*in_sync_names: str) -> Group:
    """Return a group led by `p`, with replicas `q` and `r`, and its in-sync set."""
    group = Group("s")
    group.update(tuple(entry(name) for name in "pqr"), 0.0)
    report(group, "p", LOG_END, is_primary=True)
    group.record_in_sync(InSyncSet(tuple(PROCESSES[name] for name in in_sync_names)))
    return group


def report(
    group: Group, name: str, received: Position, is_primary: bool = False
) -> None:
    """Record a database's status in term 2."""
    status = DatabaseStatus(is_primary, 2, received, 0)
    group.record_status(group.members[name], status, 1.0)


class JoinTest(unittest.TestCase):
    """Processes that join."""

    def joining(self, group: Group) -> list[str]:
        return [each.identifier for each in in_sync.due_change(group).joining]

    def test_replica_joins_once_it_has_caught_up(self) -> None:
        cases: tuple[tuple[Position | None, list[str]], ...]
        cases = ((None, []), (ORIGIN, []), (Position(2, 6), []), (LOG_END, ["q"]))
        for received, expected in cases:
            with self.subTest(received=received):
                group = create_group("p", "r")
                if received is not None:
                    report(group, "q", received)
                self.assertEqual(self.joining(group), expected)

    def test_primary_joins_once_it_has_shown_that_it_leads(self) -> None:
        group = create_group("q", "r")
        self.assertEqual(self.joining(group), ["p"])
        group.record_lead_denied(group.members["p"])
        self.assertEqual(self.joining(group), [])

    def test_replica_that_drains_does_not_join(self) -> None:
        group = create_group("p", "r")
        databases = (entry("p"), entry("q", is_draining=True), entry("r"))
        group.update(databases, 1.0)
        report(group, "q", LOG_END)
        self.assertEqual(self.joining(group), [])

    def test_process_that_started_again_joins_anew(self) -> None:
        group = create_group("p", "q", "r")
        group.update((entry("p"), entry("q", incarnation=2), entry("r")), 1.0)
        self.assertEqual(self.joining(group), [])
        report(group, "q", LOG_END)
        (joining,) = in_sync.due_change(group).joining
        self.assertEqual((joining.identifier, joining.incarnation), ("q", 2))

    def test_process_whose_entry_is_back_does_not_leave_any_more(self) -> None:
        group = create_group("p", "q", "r")
        leaving = InSyncChange(leaving=(replace(PROCESSES["q"], is_leaving=True),))
        assert group.in_sync is not None
        group.record_in_sync(leaving.apply(group.in_sync))
        report(group, "q", LOG_END)
        change = in_sync.due_change(group)
        self.assertEqual(change, InSyncChange(joining=(PROCESSES["q"],)))
        group.record_in_sync(change.apply(group.in_sync))
        self.assertTrue(group.in_sync.counts(entry("q")))


class SettledTest(unittest.TestCase):
    """Groups whose sets need no further look."""

    def test_group_is_settled_while_nothing_is_due(self) -> None:
        leaving = replace(PROCESSES["q"], is_leaving=True)
        cases: tuple[
            tuple[str, str, tuple[InSyncProcess, ...], frozenset[str], bool], ...
        ] = (
            ("all in sync", "pqr", (), frozenset(), True),
            ("one lacks", "pq", (), frozenset(), False),
            ("one leaves", "pr", (leaving,), frozenset(), False),
            ("an entry lapsed", "pqr", (), frozenset("r"), False),
        )
        for name, names, others, lapsed, expected in cases:
            with self.subTest(name):
                group = create_group(*names)
                assert group.in_sync is not None
                group.record_in_sync(InSyncSet((*group.in_sync.processes, *others)))
                self.assertEqual(in_sync.is_settled(group, lapsed), expected)
        restarted = create_group("p", "q", "r")
        databases = (entry("p"), entry("q", incarnation=2), entry("r"))
        restarted.update(databases, 1.0)
        self.assertFalse(in_sync.is_settled(restarted, frozenset()))


class LeaveTest(unittest.TestCase):
    """Processes that are marked as leaving, and removed."""

    def test_process_without_an_entry_of_its_own_is_marked(self) -> None:
        cases = (
            ("entry gone", (entry("p"), entry("r"))),
            ("started again", (entry("p"), entry("q", incarnation=2), entry("r"))),
        )
        for name, databases in cases:
            with self.subTest(name):
                group = create_group("p", "q", "r")
                group.update(databases, 1.0)
                marked = replace(PROCESSES["q"], is_leaving=True, has_lapsed=True)
                self.assertEqual(in_sync.due_change(group).leaving, (marked,))

    def test_process_that_drains_is_marked_beside_enough_others(self) -> None:
        for names, is_marked in ((("p", "q", "r"), True), (("p", "q"), False)):
            with self.subTest(names=names):
                group = create_group(*names)
                group.update(
                    (entry("p"), entry("q", is_draining=True), entry("r")), 1.0
                )
                marked = replace(PROCESSES["q"], is_leaving=True, has_drained=True)
                expected = (marked,) if is_marked else ()
                self.assertEqual(in_sync.due_change(group).leaving, expected)

    def test_process_whose_entry_lapsed_is_marked_beside_enough_others(self) -> None:
        """Guards against writes refused for entries that all lapse by mistake."""
        for lapsed, is_marked in (("q", True), ("qr", False), ("pq", False)):
            with self.subTest(lapsed=lapsed):
                change = in_sync.due_change(create_group(*"pqr"), frozenset(lapsed))
                self.assertEqual(bool(change.leaving), is_marked)

    def test_mark_tells_once_the_process_drains(self) -> None:
        group = create_group("p", "q", "r")
        marked = replace(PROCESSES["q"], is_leaving=True)
        group.record_in_sync(InSyncSet((PROCESSES["p"], marked, PROCESSES["r"])))
        group.update((entry("p"), entry("q", is_draining=True), entry("r")), 1.0)
        (again,) = in_sync.due_change(group).leaving
        self.assertTrue(again.has_drained)
        group.record_in_sync(InSyncSet((PROCESSES["p"], again, PROCESSES["r"])))
        self.assertTrue(in_sync.due_change(group).is_empty)

    def test_mark_tells_once_the_entry_has_gone(self) -> None:
        group = create_group("p", "q", "r")
        marked = replace(PROCESSES["q"], is_leaving=True, has_drained=True)
        group.record_in_sync(InSyncSet((PROCESSES["p"], marked, PROCESSES["r"])))
        group.update((entry("p"), entry("r")), 1.0)
        (again,) = in_sync.due_change(group).leaving
        self.assertEqual(again, replace(marked, has_lapsed=True))

    def test_nothing_changes_without_a_primary(self) -> None:
        """Guards against forgetting a process that alone has commits."""
        group = create_group("p", "q", "r")
        group.update((entry("r"),), 1.0)
        self.assertTrue(in_sync.due_change(group).is_empty)

    def test_process_leaves_once_two_others_have_all_commits(self) -> None:
        cases = (
            ("the other replica lags", ("p", "q", "r"), Position(2, 6), False),
            ("it has all", ("p", "q", "r"), LOG_END, True),
            ("it is not in sync", ("p", "q"), LOG_END, False),
            ("the primary is not in sync", ("q", "r"), LOG_END, False),
        )
        for name, names, received, expected in cases:
            with self.subTest(name):
                group = create_group(*names)
                report(group, "r", received)
                found = in_sync.is_held_by_others(group, [PROCESSES["q"]], LOG_END)
                self.assertEqual(found, expected)

    def test_log_of_one_that_leaves_too_does_not_count(self) -> None:
        group = create_group("p", "q", "r")
        report(group, "r", LOG_END)
        leaving = [PROCESSES["q"], PROCESSES["r"]]
        self.assertFalse(in_sync.is_held_by_others(group, leaving, LOG_END))

    def test_process_that_is_not_marked_any_more_is_not_removed(self) -> None:
        """Guards against removing one whose entry came back meanwhile."""
        present = InSyncSet((PROCESSES["q"],))
        removal = InSyncChange(removed=(replace(PROCESSES["q"], is_leaving=True),))
        self.assertEqual(removal.apply(present), present)


class UncountedTest(unittest.TestCase):
    """Whether proxies without news may count a process that leaves."""

    ALONE_SECONDS = DRAIN_LEASE_SECONDS + LEASE_MARGIN_SECONDS
    AT_ALL_SECONDS = SET_LEASE_SECONDS + LEASE_MARGIN_SECONDS
    LAPSED = replace(PROCESSES["q"], is_leaving=True, has_lapsed=True)
    DRAINED = replace(PROCESSES["r"], is_leaving=True, has_drained=True)

    def setUp(self) -> None:
        self.leaving = LeavingProcesses()

    def record(self, now: float, *processes: InSyncProcess) -> None:
        self.leaving.record(InSyncSet(processes), now)

    def assert_uncounted_alone_from(self, process: InSyncProcess, at: float) -> None:
        self.assertFalse(self.leaving.is_uncounted_alone(process, at - 0.1))
        self.assertTrue(self.leaving.is_uncounted_alone(process, at + 0.1))

    def test_drained_process_is_counted_alone_for_the_shorter_time(self) -> None:
        self.record(0.0)
        self.record(100.0, self.DRAINED)
        self.assert_uncounted_alone_from(self.DRAINED, 100.0 + self.ALONE_SECONDS)
        self.assertFalse(self.leaving.is_uncounted(self.DRAINED, 111.0))

    def test_process_that_did_not_drain_may_be_counted_for_the_longer_time(
        self,
    ) -> None:
        self.record(0.0)
        self.record(100.0, self.LAPSED)
        self.assert_uncounted_alone_from(self.LAPSED, 100.0 + self.AT_ALL_SECONDS)

    def test_time_is_shorter_only_from_when_the_process_drains(self) -> None:
        drained_late = replace(self.LAPSED, has_drained=True)
        self.record(0.0)
        self.record(100.0, self.LAPSED)
        self.record(103.0, drained_late)
        self.assert_uncounted_alone_from(drained_late, 103.0 + self.ALONE_SECONDS)

    def test_second_one_waits_until_no_proxy_counts_both_together(self) -> None:
        self.record(0.0)
        self.record(100.0, self.LAPSED, self.DRAINED)
        self.record(105.0, self.DRAINED)
        self.assert_uncounted_alone_from(self.DRAINED, 100.0 + self.AT_ALL_SECONDS)
        self.record(116.0)
        self.record(130.0, self.DRAINED)
        self.assert_uncounted_alone_from(self.DRAINED, 130.0 + self.ALONE_SECONDS)

    def test_others_may_have_left_before_a_proxy_started(self) -> None:
        self.record(100.0, self.DRAINED)
        self.assert_uncounted_alone_from(self.DRAINED, 100.0 + self.AT_ALL_SECONDS)


class ReceiptTest(unittest.TestCase):
    """Receipts count for processes in the set."""

    def is_received(self, group: Group) -> bool:
        report(group, "q", LOG_END)
        return receipts.is_received(group, group.members["p"], LOG_END, 0)

    def test_receipt_counts_if_both_processes_are_in_sync(self) -> None:
        """Guards against promoters that do not know who has reported commits."""
        cases = ((("p", "q"), True), (("p", "r"), False), (("q", "r"), False))
        for names, expected in cases:
            with self.subTest(names=names):
                self.assertEqual(self.is_received(create_group(*names)), expected)

    def test_receipt_of_one_that_leaves_does_not_count(self) -> None:
        group = create_group("p", "q", "r")
        leaving = replace(PROCESSES["q"], is_leaving=True)
        group.record_in_sync(InSyncSet((PROCESSES["p"], leaving)))
        self.assertFalse(self.is_received(group))

    def test_receipt_of_a_process_that_started_again_does_not_count(self) -> None:
        group = create_group("p", "q", "r")
        group.update((entry("p"), entry("q", incarnation=2), entry("r")), 1.0)
        self.assertFalse(self.is_received(group))

    def test_all_replicas_count_where_no_set_is_kept(self) -> None:
        group = Group("s")
        group.update(tuple(entry(name) for name in "pqr"), 0.0)
        report(group, "p", LOG_END, is_primary=True)
        self.assertTrue(self.is_received(group))

    def test_commit_must_reach_a_database_that_may_be_promoted_late(self) -> None:
        """Guards against a promotion that acts after its claim has ended."""
        for name, expected in (("q", True), ("p", True), ("r", False), ("gone", False)):
            with self.subTest(name):
                group = create_group("p", "q", "r")
                report(group, "q", LOG_END)
                found = receipts.is_received(
                    group, group.members["p"], LOG_END, 0, pending=frozenset({name})
                )
                self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()
