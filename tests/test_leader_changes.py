"""Tests of what is logged of a change of the leader."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

from beryltiller.observability import logs
from beryltiller.observability.session_events import LeaderChanged
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.succession.leader_changes import leader_change
from beryltiller.sessions.succession.observer import GroupObserver
from tests.fake_group import GroupFixture
from tests.test_session_groups import FAR, LEADER, NEAR, make_group, status
from tests.virtual_loop import run_virtual


class LeaderChangeTest(unittest.TestCase):
    """The terms and reasons of a change."""

    def test_leader_whose_term_is_not_known_is_not_logged_with_the_newest(self) -> None:
        """Guards against a line that states another database's term."""
        group = make_group()
        group.record_status(group.members["r1"], status(5), 1.0)
        change = leader_change(group, None)
        expected = LeaderChanged("s", "p", 0, 5, "entry", "", "")
        self.assertEqual(change, expected)

    def test_leader_that_was_asked_is_logged_with_its_term(self) -> None:
        group = make_group()
        former = group.members["p"]
        group.record_status(group.members["r1"], status(6, is_primary=True), 1.0)
        expected = LeaderChanged(
            "s", "r1", 6, 6, "answer", "p", "another became primary later"
        )
        self.assertEqual(leader_change(group, former), expected)

    def test_reason_of_a_loss(self) -> None:
        def deny(group: Group) -> None:
            group.record_lead_denied(group.members["p"])

        def learn_of_newer_term(group: Group) -> None:
            group.record_status(group.members["p"], status(1, is_primary=True), 1.0)
            group.record_status(group.members["r1"], status(2), 1.0)

        replica = replace(LEADER, is_primary=False)
        anew = replace(LEADER, incarnation=7)
        cases: tuple[tuple[str, Callable[[Group], None]], ...] = (
            ("denied by a status or refusal", deny),
            ("newer term", learn_of_newer_term),
            ("entry gone", lambda group: group.update((NEAR, FAR), 1.0)),
            ("started anew", lambda group: group.update((anew, NEAR, FAR), 1.0)),
            ("entry of a replica", lambda group: group.update((replica, NEAR), 1.0)),
        )
        for reason, lose in cases:
            with self.subTest(reason):
                group = make_group()
                former = group.members["p"]
                lose(group)
                self.assertEqual(leader_change(group, former).lost_by, reason)

    def test_each_change_is_logged_once(self) -> None:
        async def work() -> list[LeaderChanged]:
            fixture = GroupFixture()
            group = fixture.fleet.group("s")
            observer = GroupObserver(fixture.fleet, lambda: True)
            with mock.patch.object(logs, "log") as log:
                observer.observe(1.0)
                observer.observe(1.1)
                group.record_lead_denied(group.members["leader"])
                observer.observe(1.2)
                observer.observe(1.3)
            return [call.args[0] for call in log.call_args_list]

        taken, lost = run_virtual(work())
        self.assertEqual((taken.leader, taken.former), ("leader", ""))
        self.assertEqual((lost.leader, lost.former), ("", "leader"))


if __name__ == "__main__":
    unittest.main()
