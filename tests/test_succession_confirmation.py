"""Tests of what precedes a promotion: the hold, its confirmation, the announcement."""

import unittest
from collections.abc import Mapping
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.evidence import (
    OBJECTION_WAIT_SECONDS,
    PROMOTION_HOLD_SECONDS,
)
from beryltiller.sessions.databases.primary_change import PrimaryChange
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession import times
from beryltiller.sessions.succession.actions import (
    Action,
    AnnounceChange,
    FenceReplicas,
    ObserveAfter,
    Promote,
    UnfenceReplicas,
    WithdrawChange,
)
from beryltiller.sessions.succession.commands import COMMAND_TIMEOUT_SECONDS
from beryltiller.sessions.succession.events import (
    ChangeAnnounced,
    FenceResults,
    PrimarySteppedDown,
)
from tests.succession_driver import FAILING, HEALTHY, Driver, status


class ConfirmationTest(unittest.TestCase):
    """The check right before a promotion that no replica has changed meanwhile."""

    ASKED = ("a", "b", "old")
    FENCED: Mapping[str, DatabaseStatus | None] = {"a": status(5), "b": status(6)}

    def driver_after_hold(self) -> Driver:
        driver = Driver()
        driver.claim()
        driver.report_fences(self.FENCED)
        (fence_action,) = driver.wait_out_hold()
        self.assertIsInstance(fence_action, FenceReplicas)
        return driver

    def test_hold_restarts_if_a_replica_lost_its_fence(self) -> None:
        """A restarted replica loses its fence, and may have received commits since."""
        driver = self.driver_after_hold()
        wait = driver.handle(FenceResults("s", self.FENCED, were_already_fenced=False))
        self.assertEqual(wait, (ObserveAfter(PROMOTION_HOLD_SECONDS),))

    def test_replica_with_a_longer_log_is_chosen_after_another_hold(self) -> None:
        driver = self.driver_after_hold()
        longer = {"a": status(9), "b": status(6)}
        actions = driver.handle(FenceResults("s", longer, were_already_fenced=True))
        announce = AnnounceChange(
            "s", PrimaryChange(1, Position(1, 9)), 7, self.ASKED, "a"
        )
        self.assertEqual(actions, (announce, ObserveAfter(PROMOTION_HOLD_SECONDS)))
        (promotion,) = driver.confirm(longer)
        assert isinstance(promotion, Promote)
        self.assertEqual(promotion.successor, "a")

    def test_hold_restarts_if_a_fence_of_an_earlier_claim_is_found_late(self) -> None:
        """Guards against a command to unfence that acts after the confirmation."""
        driver = self.driver_after_hold()
        found = FenceResults(
            "s",
            self.FENCED,
            were_already_fenced=True,
            found_fenced=frozenset("c"),
            fenced_at=driver.now,
            is_unopposed=True,
        )
        driver.handle(ChangeAnnounced("s", 1))
        (wait,) = driver.handle(found)
        assert isinstance(wait, ObserveAfter)
        settled_at = driver.state.successions["s"].accepted_at + times.SETTLING_SECONDS
        self.assertAlmostEqual(driver.now + wait.seconds, settled_at)

    def test_confirmation_after_commands_of_an_earlier_claim_fits_the_claim(
        self,
    ) -> None:
        deadline = times.DUTY_SECONDS - times.DUTY_MARGIN_SECONDS
        slowest = times.SETTLING_SECONDS + COMMAND_TIMEOUT_SECONDS
        self.assertLess(slowest + PROMOTION_HOLD_SECONDS, deadline)

    def test_late_confirmation_is_repeated(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences(self.FENCED)
        actions = driver.confirm(
            self.FENCED, confirm_after=times.CONFIRMATION_SECONDS + 0.01
        )
        again = FenceReplicas("s", 2, ("a", "b"), (), 0.0, "old", 1)
        self.assertEqual(actions, (again,))

    def test_promotion_is_not_requested_long_after_the_confirmation(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences(self.FENCED)
        (promotion,) = driver.confirm(self.FENCED, confirm_after=0.1)
        assert isinstance(promotion, Promote)
        confirmed_until = driver.now - 0.1 + times.CONFIRMATION_SECONDS
        self.assertAlmostEqual(promotion.deadline, confirmed_until)

    def test_replica_that_registered_during_the_hold_is_fenced(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences(self.FENCED)
        (fence_action,) = driver.wait_out_hold(
            replace(FAILING, replicas=("a", "b", "c"))
        )
        self.assertEqual(
            fence_action, FenceReplicas("s", 2, ("a", "b", "c"), (), 0.0, "old")
        )

    def test_succession_ends_if_a_primary_appears_during_the_hold(self) -> None:
        """Guards against losing commits of a primary that returned renamed.

        It returned under another name, and acknowledged commits that the
        successor's log lacked.
        """
        driver = Driver()
        driver.claim()
        driver.report_fences(self.FENCED)
        back = replace(HEALTHY, leader="new", replicas=("a", "b", "old"))
        (wait,) = driver.wait_out_hold(back)
        self.assertIsInstance(wait, ObserveAfter)
        withdraw, unfence = driver.observe(back, times.LIFT_SECONDS)
        self.assertIsInstance(withdraw, WithdrawChange)
        self.assertIsInstance(unfence, UnfenceReplicas)
        self.assertEqual(driver.state.successions, {})


class AnnouncementTest(unittest.TestCase):
    """The announcement of a change of primary, without which none is promoted."""

    STATUSES = {"a": status(5), "b": status(6)}

    def confirm(
        self,
        *events: ChangeAnnounced,
        is_unopposed: bool,
        former_log_end: Position | None = None,
    ) -> tuple[str, ...]:
        """Return the kinds of actions after a confirmation.

        `events` are handled before it. With `former_log_end` the former primary has
        stepped down, and its log ends there.
        """
        driver = Driver()
        driver.claim()
        if former_log_end is not None:
            driver.handle(PrimarySteppedDown("s", "old", 1, former_log_end))
        driver.report_fences(self.STATUSES)
        for event in events:
            driver.handle(event)
        driver.wait_out_hold()
        confirmed = FenceResults(
            "s",
            self.STATUSES,
            were_already_fenced=True,
            fenced_at=driver.now,
            is_unopposed=is_unopposed,
        )
        return self.names(driver.handle(confirmed))

    def names(self, actions: tuple[Action, ...]) -> tuple[str, ...]:
        """Return the kinds of actions."""
        return tuple(type(each).__name__ for each in actions)

    def test_promotion_waits_until_no_proxy_objects(self) -> None:
        """Guards against dropping commits that other proxies reported as done."""
        announced = ChangeAnnounced("s", 4)
        self.assertEqual(self.confirm(announced, is_unopposed=False), ("ObserveAfter",))
        self.assertEqual(self.confirm(announced, is_unopposed=True), ("Promote",))

    def test_change_after_a_step_down_is_announced_too(self) -> None:
        """Guards against dropping commits of a primary that replaced it before."""
        announced = ChangeAnnounced("s", 4)
        for is_unopposed, expected in ((False, "ObserveAfter"), (True, "Promote")):
            with self.subTest(is_unopposed=is_unopposed):
                found = self.confirm(
                    announced,
                    is_unopposed=is_unopposed,
                    former_log_end=Position(1, 6),
                )
                self.assertEqual(found, (expected,))
        not_announced = self.confirm(is_unopposed=False, former_log_end=Position(1, 6))
        self.assertEqual(not_announced, ("ObserveAfter",))

    def test_step_down_proves_nothing_of_a_term_that_may_have_begun(self) -> None:
        """Guards against leaving out a silent primary of a later term."""
        statuses = {"a": status(5), "b": None}
        for begun_term, is_promoted in ((1, True), (2, False)):
            with self.subTest(begun_term=begun_term):
                driver = Driver()
                driver.claim()
                driver.handle(PrimarySteppedDown("s", "old", 1, Position(1, 5)))
                announce, _ = driver.report_fences(statuses)
                self.assertIsInstance(announce, AnnounceChange)
                driver.handle(ChangeAnnounced("s", 4, begun_term))
                actions = driver.confirm(statuses)
                are = [isinstance(each, Promote) for each in actions]
                self.assertEqual(are == [True], is_promoted)

    def test_term_of_an_objection_is_announced_as_begun(self) -> None:
        """Guards against promoting beside a primary that only other proxies know."""
        opposed = replace(FAILING, opposing_term=2)
        driver = Driver()
        driver.claim()
        announce, _ = driver.report_fences(self.STATUSES)
        driver.handle(ChangeAnnounced("s", 4))
        driver.wait_out_hold(opposed)
        confirmed = FenceResults("s", self.STATUSES, were_already_fenced=True)
        actions = driver.handle(confirmed)
        self.assertEqual(actions[0], announce)
        driver.handle(ChangeAnnounced("s", 6, 2))
        (promotion,) = driver.confirm(self.STATUSES, view=opposed)
        self.assertIsInstance(promotion, Promote)

    def test_silent_database_is_waited_for_after_an_objection_of_a_later_term(
        self,
    ) -> None:
        """Guards against dropping what it acknowledged as primary of that term."""
        opposed = replace(FAILING, opposing_term=2)
        statuses = {"a": status(5), "b": None}
        driver = Driver()
        driver.claim()
        driver.handle(PrimarySteppedDown("s", "old", 1, Position(1, 5)))
        driver.report_fences(statuses)
        self.assertNotIn("Promote", self.names(driver.confirm(statuses, view=opposed)))

    def test_promotion_states_the_terms_that_it_is_based_on(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences(self.STATUSES)
        driver.handle(ChangeAnnounced("s", 4, 3))
        (promotion,) = driver.confirm(self.STATUSES)
        assert isinstance(promotion, Promote)
        basis = promotion.basis
        found = basis.newest_term, basis.begun_term, basis.announced_version
        self.assertEqual(found, (1, 3, 1))

    def test_failed_announcement_is_repeated(self) -> None:
        failed = ChangeAnnounced("s", 0)
        actions = self.confirm(failed, is_unopposed=False)
        self.assertEqual(actions, ("AnnounceChange", "ObserveAfter"))

    def test_late_announcement_is_waited_for(self) -> None:
        self.assertEqual(self.confirm(is_unopposed=False), ("ObserveAfter",))

    def test_log_of_a_former_leader_proves_nothing_of_a_term_that_may_have_begun(
        self,
    ) -> None:
        """Guards against dropping commits of a silent primary of a later term."""
        led = replace(
            HEALTHY,
            leader=None,
            primaryless_since=0.0,
            departed=("c",),
            former_leaders={"a": Position(1, 7)},
        )
        statuses = {"a": status(7), "b": status(6), "c": None}
        for begun_term, is_promoted in ((1, True), (2, False)):
            with self.subTest(begun_term=begun_term):
                driver = Driver()
                driver.claim(led)
                driver.report_fences(statuses)
                driver.handle(ChangeAnnounced("s", 4, begun_term))
                actions = driver.confirm(statuses, view=led)
                are = [isinstance(each, Promote) for each in actions]
                self.assertEqual(are == [True], is_promoted)

    def test_proxies_have_time_to_object(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences(self.STATUSES)
        late = PROMOTION_HOLD_SECONDS - 0.01
        (wait,) = driver.handle(ChangeAnnounced("s", 4), late)
        self.assertEqual(wait, ObserveAfter(OBJECTION_WAIT_SECONDS))
        self.assertEqual(driver.observe(FAILING, 0.02), ())
