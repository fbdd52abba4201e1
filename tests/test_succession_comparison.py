"""Tests of which databases a succession waits for, and which one it chooses."""

import unittest
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import Departed, Directory
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession import times
from beryltiller.sessions.succession.actions import (
    FenceReplicas,
    UnfenceReplicas,
)
from beryltiller.sessions.succession.comparison import compare
from beryltiller.sessions.succession.events import (
    Cause,
    FenceResults,
    GroupView,
    PrimarySteppedDown,
)
from beryltiller.sessions.succession.observer import GroupObserver
from beryltiller.sessions.succession.state import (
    Phase,
    Succession,
)
from tests.fake_group import GroupFixture
from tests.succession_driver import FAILING, HEALTHY, Driver, status
from tests.virtual_loop import run_virtual, virtual_now


class DispensableTest(unittest.TestCase):
    """Unresponsive databases that delay nothing, as other logs hold their commits."""

    def is_waited_for(
        self,
        driver: Driver,
        received: int,
        gone: frozenset[str] = frozenset(),
        ended: frozenset[str] = frozenset(),
    ) -> bool:
        """Return True if unresponsive database `b` delays the succession.

        `received` is the end of the log of `a`, which responds.
        """
        statuses = {"a": status(received), "b": None}
        driver.handle(FenceResults("s", statuses, gone, ended=ended))
        return not driver.state.successions["s"].successor

    def test_log_that_reaches_the_end_of_the_former_primarys_log(self) -> None:
        """Guards against a planned change that waits for a crashed database.

        One that had crashed before delayed it for a minute.
        """
        for received, expected in ((6, True), (7, False)):
            with self.subTest(received=received):
                driver = Driver()
                driver.claim()
                driver.handle(PrimarySteppedDown("s", "old", 1, Position(1, 7)))
                self.assertEqual(self.is_waited_for(driver, received), expected)

    def test_log_of_a_former_leader_that_answers_holds_all_commits(self) -> None:
        """Guards against waiting for departed databases once a primary stepped down."""
        led = replace(
            HEALTHY,
            leader=None,
            primaryless_since=0.0,
            departed=("b",),
            former_leaders={"a": Position(1, 7)},
        )
        newer = replace(led, term=2)
        cases = (
            ("departed", led, False),
            ("registered", replace(led, departed=()), True),
            ("of an older term", newer, True),
            ("not known to have led", replace(led, former_leaders={}), True),
            (
                "its process has lost the log",
                replace(led, former_leaders={"a": Position(1, 8)}),
                True,
            ),
        )
        for name, view, expected in cases:
            with self.subTest(name):
                driver = Driver()
                driver.claim(view)
                statuses = {"a": status(7, fenced_term=3), "b": None}
                driver.handle(FenceResults("s", statuses))
                chosen = driver.state.successions["s"].successor
                self.assertEqual(not chosen, expected)

    def test_end_of_another_primarys_log_is_ignored(self) -> None:
        driver = Driver()
        driver.claim()
        driver.handle(PrimarySteppedDown("s", "other", 1, Position(1, 5)))
        self.assertTrue(self.is_waited_for(driver, 6))

    def test_end_of_an_older_primarys_log_lacks_later_commits(self) -> None:
        """Guards against leaving out the replicas of a primary that replaced it."""
        driver = Driver()
        driver.claim()
        driver.handle(PrimarySteppedDown("s", "old", 1, Position(1, 5)))
        newer = DatabaseStatus(False, 2, Position(1, 6), 3)
        driver.handle(FenceResults("s", {"a": newer, "b": None}))
        self.assertEqual(driver.state.successions["s"].successor, "")

    def test_departed_database_may_have_had_the_only_copy_of_a_commit(self) -> None:
        """Guards against commits acknowledged to callers of other proxies."""
        covered = replace(FAILING, departed=("b",), lost_log_covered_by=Position(1, 7))
        b = frozenset("b")
        cases: tuple[tuple[str, GroupView, dict[str, frozenset[str]], int, bool], ...]
        cases = (
            ("gone, reaches", covered, {"gone": b}, 7, False),
            ("gone, too short", covered, {"gone": b}, 6, True),
            ("ended, reaches", covered, {"ended": b}, 7, False),
            ("ended, too short", covered, {"ended": b}, 6, True),
            ("neither gone nor ended", covered, {}, 7, True),
            ("registered", replace(covered, departed=()), {"ended": b}, 7, True),
            (
                "no cover",
                replace(covered, lost_log_covered_by=None),
                {"gone": b},
                7,
                True,
            ),
        )
        for name, view, reasons, received, expected in cases:
            with self.subTest(name):
                driver = Driver()
                driver.claim(view)
                waited = self.is_waited_for(driver, received, **reasons)
                self.assertEqual(waited, expected)

    def test_database_whose_known_replacement_answers(self) -> None:
        driver = Driver()
        driver.claim()
        statuses = {"a": status(7), "b": None}
        driver.handle(FenceResults("s", statuses, replaced=frozenset("b")))
        self.assertEqual(driver.state.successions["s"].successor, "a")


class FormerLeaderTest(unittest.TestCase):
    """A former leader whose log is taken to hold all commits of its term."""

    def left_out(self, received: Position) -> set[str]:
        """Return who is left out once the leader has become a replica.

        Its log now ends at `received`; `far` has departed and is silent.
        """

        async def work() -> set[str]:
            fixture = GroupFixture()
            group = fixture.fleet.group("s")
            await fixture.fleet.confirm_leaders()
            leader = group.members["leader"]
            group.record_position(leader, Position(1, 12), virtual_now())
            fixture.leader.is_primary = False
            entries = {
                each.identifier: each.entry() for each in (fixture.leader, fixture.near)
            }
            departed = Departed(fixture.far.entry(), virtual_now())
            fixture.fleet.register(Directory(entries, (departed,)))
            observer = GroupObserver(fixture.fleet, lambda: True)
            (view,) = observer.observe(virtual_now()).groups
            answers = {
                "leader": DatabaseStatus(False, 1, received, 2),
                "near": DatabaseStatus(False, 1, Position(1, 9), 2),
                "far": None,
            }
            succession = Succession(
                "s", Cause.NO_PRIMARY, Phase.FENCING, None, 0.0, term=2
            )
            found = compare(view, succession, FenceResults("s", answers))
            return set(found.left_out)

        return run_virtual(work())

    def test_process_that_started_again_without_its_log_proves_nothing(self) -> None:
        """Guards against leaving out databases with what its former process wrote."""
        self.assertEqual(self.left_out(Position(1, 12)), {"far"})
        self.assertEqual(self.left_out(Position(1, 9)), set())


class UnknownReplacementTest(unittest.TestCase):
    """An unknown database that has the address and log of one that has ended."""

    def successor(self, replacement: DatabaseStatus) -> str:
        """Return which database is chosen if one answers at the address of `b`."""
        driver = Driver()
        driver.claim()
        statuses = {"a": status(7), "b": None}
        driver.handle(FenceResults("s", statuses, replacements={"b": replacement}))
        return driver.state.successions["s"].successor

    def test_commits_that_only_it_received_are_not_lost(self) -> None:
        self.assertEqual(self.successor(status(8)), "")

    def test_it_must_be_fenced(self) -> None:
        self.assertEqual(self.successor(status(7, fenced_term=0)), "")

    def test_a_log_that_reaches_its_log_can_succeed(self) -> None:
        self.assertEqual(self.successor(status(7)), "a")

    def test_its_fence_is_lifted(self) -> None:
        driver = Driver()
        driver.claim()
        statuses = {"a": status(7), "d": None}
        driver.handle(FenceResults("s", statuses, replacements={"d": status(8)}))
        actions = driver.observe(FAILING, 2.7)
        assert isinstance(actions[-1], UnfenceReplicas), actions
        self.assertEqual(actions[-1].replicas, ("a", "b", "d"))

    def test_start_of_a_possible_partition(self) -> None:
        primaryless = replace(HEALTHY, leader=None, primaryless_since=4.0)
        silence = times.MAX_ENTRY_SILENCE_SECONDS
        cases = (
            ("failing", replace(FAILING, leader_healthy_until=0.0), 0.0),
            (
                "stalled",
                replace(HEALTHY, stalled_since=9.0, leader_healthy_until=10.0),
                9.0,
            ),
            ("no leader seen", primaryless, 4.0 - silence),
            ("leader was healthy", replace(primaryless, leader_healthy_until=3.5), 3.5),
            (
                "leaving",
                replace(HEALTHY, is_leader_draining=True, leader_healthy_until=3.5),
                10.5,
            ),
        )
        for name, view, expected in cases:
            with self.subTest(name):
                fence_action = Driver().claim(view)[-1]
                assert isinstance(fence_action, FenceReplicas)
                self.assertEqual(fence_action.possible_partition_since, expected)
