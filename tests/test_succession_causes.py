"""Tests of the reasons for which a primary is replaced."""

import unittest
from dataclasses import replace

from beryltiller.sessions.databases.catalog import Directory
from beryltiller.sessions.succession.causes import replacement_cause
from beryltiller.sessions.succession.events import (
    Cause,
)
from beryltiller.sessions.succession.observer import GroupObserver
from tests.fake_group import GroupFixture
from tests.succession_driver import FAILING, HEALTHY
from tests.virtual_loop import run_virtual


class CauseTest(unittest.TestCase):
    """The reasons for which a primary is replaced."""

    def test_each_cause(self) -> None:
        draining = replace(HEALTHY, is_leader_draining=True)
        cases = (
            ("healthy", HEALTHY, None),
            ("failing", FAILING, Cause.FAILING),
            ("failing just now", replace(HEALTHY, failing_since=9.8), None),
            ("stalled", replace(HEALTHY, stalled_since=9.0), Cause.STALLED),
            ("leaving", draining, Cause.LEAVING),
            ("lag", replace(HEALTHY, overloaded_alone_since=9.0), Cause.REPLICAS_LAG),
            ("all are leaving", replace(draining, draining=frozenset("ab")), None),
            (
                "lag of leaving replicas",
                replace(HEALTHY, overloaded_alone_since=9.0, draining=frozenset("ab")),
                None,
            ),
            (
                "no primary",
                replace(HEALTHY, leader=None, primaryless_since=5.0),
                Cause.NO_PRIMARY,
            ),
            (
                "one replica, no primary seen",
                replace(HEALTHY, leader=None, primaryless_since=5.0, replicas=("a",)),
                None,
            ),
            (
                "one replica for long",
                replace(HEALTHY, leader=None, primaryless_since=-11.0, replicas=("a",)),
                Cause.NO_PRIMARY,
            ),
            (
                "one replica, primary seen",
                replace(
                    HEALTHY,
                    leader=None,
                    primaryless_since=5.0,
                    replicas=("a",),
                    leader_healthy_until=4.0,
                ),
                Cause.NO_PRIMARY,
            ),
            (
                "no primary just now",
                replace(HEALTHY, leader=None, primaryless_since=7.0),
                None,
            ),
            ("no replicas", replace(FAILING, replicas=()), None),
        )
        for name, view, cause in cases:
            with self.subTest(name):
                self.assertIs(replacement_cause(view, 10.0), cause)


class ReturningEntriesTest(unittest.TestCase):
    """A process that starts while the databases' entries come back."""

    async def primaryless_since(self, has_seen_primary: bool) -> float | None:
        """Return since when a group has no primary whose second entry comes at 3.0."""
        fixture = GroupFixture()
        entries = dict(fixture.fleet.directory.databases)
        leader = entries.pop("leader")
        observer = GroupObserver(fixture.fleet, lambda: True)
        if has_seen_primary:
            observer.observe(0.5)
        far = entries.pop("far")
        for now, databases in ((1.0, entries), (3.0, {**entries, "far": far})):
            fixture.fleet.register(Directory(databases))
            (view,) = observer.observe(now).groups
        self.assertNotEqual(view.leader, leader.identifier)
        return view.primaryless_since

    def test_wait_for_the_primarys_entry_begins_anew_with_each_entry(self) -> None:
        """Guards against promoting the first database that is back."""
        for has_seen_primary, since in ((False, 3.0), (True, 1.0)):
            with self.subTest(has_seen_primary=has_seen_primary):
                found = run_virtual(self.primaryless_since(has_seen_primary))
                self.assertEqual(found, since)
