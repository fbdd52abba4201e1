"""Tests of the succession policy, step by step on a virtual clock."""

import random
import unittest
from collections.abc import Mapping
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.evidence import PROMOTION_HOLD_SECONDS
from beryltiller.sessions.databases.primary_change import PrimaryChange
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession import times
from beryltiller.sessions.succession.causes import cause_of_claim, replacement_cause
from beryltiller.sessions.succession.commands import COMMAND_TIMEOUT_SECONDS
from beryltiller.sessions.succession.policy import SuccessionPolicy
from beryltiller.sessions.succession.state import (
    Action,
    AnnounceChange,
    Cause,
    ChangeAnnounced,
    ClaimAccepted,
    ClaimDuty,
    ClaimFailed,
    Event,
    FenceReplicas,
    FenceResults,
    GroupsObserved,
    GroupView,
    ObserveAfter,
    PrimarySteppedDown,
    Promote,
    PromotionResult,
    State,
    StepDownPrimary,
    UnfenceReplicas,
    WithdrawChange,
)

HEALTHY = GroupView("s", "old", False, 1, ("a", "b"))
FAILING = replace(HEALTHY, failing_since=0.0)


def status(
    index: int, fenced_term: int = 2, is_primary: bool = False
) -> DatabaseStatus:
    """Return a status in term 1."""
    return DatabaseStatus(is_primary, 1, Position(1, index), fenced_term)


class Driver:
    """A succession policy with its state and clock, to which tests pass events."""

    def __init__(self) -> None:
        self.policy = SuccessionPolicy(random.Random(1))
        self.state = State()
        self.now = 10.0

    def handle(self, event: Event, after: float = 0.0) -> tuple[Action, ...]:
        self.now += after
        self.state, actions = self.policy.decide(self.state, event, self.now)
        return actions

    def observe(
        self, view: GroupView, after: float = 0.0, is_store_reachable: bool = True
    ) -> tuple[Action, ...]:
        return self.handle(GroupsObserved((view,), is_store_reachable), after)

    def claim(self, view: GroupView = FAILING) -> tuple[Action, ...]:
        """Observe until the duty is claimed; return the actions that follow."""
        self.observe(view)
        claimed = self.observe(view, 0.5)
        assert [type(action) for action in claimed] == [ClaimDuty], claimed
        return self.handle(ClaimAccepted("s", 7, self.now))

    def report_fences(
        self,
        statuses: Mapping[str, DatabaseStatus | None],
        gone: frozenset[str] = frozenset(),
    ) -> tuple[Action, ...]:
        return self.handle(FenceResults("s", statuses, gone))

    def wait_out_hold(self, view: GroupView = FAILING) -> tuple[Action, ...]:
        """Observe the group once the hold time has passed."""
        return self.observe(view, PROMOTION_HOLD_SECONDS + 0.01)

    def confirm(
        self,
        statuses: Mapping[str, DatabaseStatus | None],
        gone: frozenset[str] = frozenset(),
        confirm_after: float = 0.0,
        view: GroupView = FAILING,
    ) -> tuple[Action, ...]:
        """Wait out the hold time, then report that all replicas are still fenced.

        The policy learns of it `confirm_after` seconds after the commands were sent.
        """
        self.handle(ChangeAnnounced("s", 1))
        (fence_action,) = self.wait_out_hold(view)
        assert isinstance(fence_action, FenceReplicas), fence_action
        results = FenceResults(
            "s",
            statuses,
            gone,
            were_already_fenced=True,
            fenced_at=self.now,
            is_unopposed=True,
        )
        return self.handle(results, confirm_after)


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
                "no primary just now",
                replace(HEALTHY, leader=None, primaryless_since=7.0),
                None,
            ),
            ("no replicas", replace(FAILING, replicas=()), None),
        )
        for name, view, cause in cases:
            with self.subTest(name):
                self.assertIs(replacement_cause(view, 10.0), cause)


class SuccessionTest(unittest.TestCase):
    """The steps of a succession: claim, fence, choose, hold, confirm, promote."""

    def test_complete_succession(self) -> None:
        driver = Driver()
        fence_action = FenceReplicas("s", 2, ("a", "b"), (), 0.0, "old")
        self.assertEqual(driver.claim(), (StepDownPrimary("s", 2, "old"), fence_action))
        actions = driver.report_fences({"a": status(5), "b": status(6)})
        announce = AnnounceChange("s", PrimaryChange(1, Position(1, 6)), 7)
        self.assertEqual(actions, (announce, ObserveAfter(PROMOTION_HOLD_SECONDS)))
        (promotion,) = driver.confirm({"a": status(5), "b": status(6)})
        assert isinstance(promotion, Promote)
        self.assertEqual((promotion.successor, promotion.token), ("b", 7))
        driver.handle(PromotionResult("s", True, False))
        led = replace(HEALTHY, leader="b", replicas=("a", "old"))
        deadline = driver.state.successions["s"].deadline
        unfence = UnfenceReplicas("s", ("a", "old"), deadline)
        self.assertEqual(driver.observe(led, 0.3), (unfence,))

    def test_group_is_observed_when_the_next_step_is_due(self) -> None:
        """Guards against steps that only ticks trigger, up to one tick late."""
        driver = Driver()
        driver.claim()
        (wait,) = driver.report_fences({"a": status(5), "b": None})
        self.assertEqual(wait, ObserveAfter(times.RETRY_SECONDS))
        driver.observe(FAILING, times.RETRY_SECONDS)
        statuses = {"a": status(5), "b": status(6)}
        driver.report_fences(statuses)
        driver.confirm(statuses)
        (wait,) = driver.handle(PromotionResult("s", False, False))
        self.assertEqual(wait, ObserveAfter(times.RETRY_SECONDS))

    def test_no_database_is_stepped_down_without_a_former_primary(self) -> None:
        driver = Driver()
        primaryless = replace(HEALTHY, leader=None, primaryless_since=0.0)
        (fence_action,) = driver.claim(primaryless)
        assert isinstance(fence_action, FenceReplicas)
        self.assertEqual(
            (fence_action.replicas, fence_action.departed), (("a", "b"), ())
        )

    def test_no_succession_starts_without_the_store(self) -> None:
        driver = Driver()
        for _ in range(5):
            self.assertEqual(driver.observe(FAILING, 1.0, is_store_reachable=False), ())

    def test_failed_claim_is_retried_after_the_cooldown(self) -> None:
        driver = Driver()
        driver.observe(FAILING)
        driver.observe(FAILING, 0.5)
        driver.handle(ClaimFailed("s"))
        self.assertEqual(driver.observe(FAILING, 0.5), ())
        claims = driver.observe(FAILING, times.COOLDOWN_SECONDS)
        self.assertEqual(claims, (ClaimDuty("s", Cause.FAILING),))

    def test_no_promotion_before_the_hold_is_over(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences({"a": status(5), "b": status(6)})
        self.assertEqual(driver.observe(FAILING, PROMOTION_HOLD_SECONDS - 0.01), ())

    def test_unresponsive_or_unfenced_replica_delays_the_succession(self) -> None:
        cases = (
            ("unresponsive", {"a": status(5), "b": None}),
            ("not fenced", {"a": status(5), "b": status(5, fenced_term=0)}),
        )
        for name, statuses in cases:
            with self.subTest(name):
                driver = Driver()
                driver.claim()
                driver.report_fences(statuses)
                again = driver.wait_out_hold()
                self.assertEqual(
                    [type(each) for each in again], [StepDownPrimary, FenceReplicas]
                )

    def test_database_that_is_gone_is_not_waited_for(self) -> None:
        driver = Driver()
        view = replace(FAILING, departed=("b",), lost_log_covered_by=Position(1, 5))
        driver.claim(view)
        gone = frozenset({"b"})
        statuses = {"a": status(5), "b": None}
        driver.report_fences(statuses, gone=gone)
        (promotion,) = driver.confirm(statuses, gone=gone, view=view)
        self.assertIsInstance(promotion, Promote)

    def test_succession_ends_if_the_group_has_another_primary(self) -> None:
        """Guards against fencing the replicas of a primary promoted meanwhile.

        A proxy that was partitioned away does not know of the new primary.
        """
        driver = Driver()
        driver.claim()
        statuses = {"a": status(5, is_primary=True), "b": status(6)}
        self.assertEqual(
            driver.report_fences(statuses), (ObserveAfter(times.LIFT_SECONDS),)
        )
        self.assertEqual(driver.wait_out_hold(), ())
        (unfence,) = driver.observe(FAILING, times.LIFT_SECONDS)
        self.assertIsInstance(unfence, UnfenceReplicas)
        self.assertEqual(driver.state.successions, {})

    def test_replicas_stay_fenced_while_a_promotion_may_take_effect(self) -> None:
        driver = Driver()
        driver.claim()
        statuses = {"a": status(5), "b": status(6)}
        driver.report_fences(statuses)
        driver.confirm(statuses)
        driver.handle(PromotionResult("s", False, False))
        actions = driver.observe(FAILING, times.DUTY_SECONDS)
        self.assertEqual(actions, ())
        self.assertEqual(driver.state.successions, {})

    def test_refusal_does_not_answer_for_an_earlier_promotion(self) -> None:
        """Guards against unfencing while an unanswered request may take effect."""
        driver = Driver()
        driver.claim()
        statuses = {"a": status(5), "b": status(6)}
        driver.report_fences(statuses)
        driver.confirm(statuses)
        driver.handle(PromotionResult("s", False, False))
        driver.observe(FAILING, times.RETRY_SECONDS)
        confirmed = FenceResults(
            "s",
            statuses,
            were_already_fenced=True,
            fenced_at=driver.now,
            is_unopposed=True,
        )
        (promotion,) = driver.handle(confirmed)
        self.assertIsInstance(promotion, Promote)
        driver.handle(PromotionResult("s", False, True))
        actions: tuple[Action, ...] = ()
        while driver.state.successions:
            actions = driver.report_fences({"a": status(5), "b": None})
            driver.observe(FAILING, times.RETRY_SECONDS)
        self.assertEqual(actions, ())

    def test_no_other_database_is_promoted_while_one_may_take_over(self) -> None:
        """Guards against commits of a database whose promotion was not answered."""
        driver = Driver()
        driver.claim()
        statuses = {"a": status(5), "b": status(6)}
        driver.report_fences(statuses)
        driver.confirm(statuses)
        driver.handle(PromotionResult("s", False, False))
        driver.observe(FAILING, times.RETRY_SECONDS)
        longer = {"a": status(7), "b": status(6)}
        actions = driver.handle(FenceResults("s", longer, were_already_fenced=True))
        self.assertEqual((actions, driver.state.successions), ((), {}))

    def test_confirmation_waits_for_the_promotion_of_an_earlier_claim(self) -> None:
        """Guards against two promotions, of which the first acknowledges commits."""
        statuses = {"a": status(5), "b": status(6)}
        for was_any_fenced, wait in (
            (True, times.LIFT_SECONDS),
            (False, PROMOTION_HOLD_SECONDS),
        ):
            with self.subTest(was_any_fenced=was_any_fenced):
                driver = Driver()
                driver.claim()
                first = FenceResults("s", statuses, was_any_fenced=was_any_fenced)
                actions = driver.handle(first)
                self.assertEqual(actions[-1], ObserveAfter(wait))

    def test_refused_successor_is_not_chosen_again(self) -> None:
        driver = Driver()
        driver.claim()
        statuses = {"a": status(6), "b": status(6)}
        driver.report_fences(statuses)
        driver.confirm(statuses)
        again = driver.handle(PromotionResult("s", False, True))
        self.assertEqual(
            [type(each) for each in again], [StepDownPrimary, FenceReplicas]
        )
        driver.report_fences(statuses)
        (promotion,) = driver.confirm(statuses)
        assert isinstance(promotion, Promote)
        self.assertEqual(promotion.successor, "b")

    def test_claim_is_not_used_after_its_deadline(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences({"a": status(5), "b": status(6)})
        self.assertEqual(driver.observe(FAILING, times.DUTY_SECONDS), ())
        self.assertEqual(driver.state.successions, {})

    def test_replicas_are_unfenced_before_the_claim_ends(self) -> None:
        """Guards against leaving a primary that works without replicas."""
        driver = Driver()
        driver.claim()
        claimed_at = driver.now
        actions: tuple[Action, ...] = ()
        while driver.state.successions:
            actions = driver.observe(FAILING, times.RETRY_SECONDS)
            if any(isinstance(each, FenceReplicas) for each in actions):
                driver.now += 2 * COMMAND_TIMEOUT_SECONDS
            if driver.state.successions:
                actions = driver.report_fences({"a": status(5), "b": None})
        deadline = claimed_at + times.DUTY_SECONDS - times.DUTY_MARGIN_SECONDS
        self.assertEqual(actions, (UnfenceReplicas("s", ("a", "b"), deadline),))
        self.assertLessEqual(driver.now, deadline)

    def test_other_primary_found_after_the_deadline_unfences_nothing(self) -> None:
        driver = Driver()
        driver.claim()
        driver.now += times.DUTY_SECONDS
        statuses = {"a": status(5, is_primary=True), "b": status(6)}
        self.assertEqual(driver.report_fences(statuses), ())
        self.assertEqual(driver.state.successions, {})


class ConfirmationTest(unittest.TestCase):
    """The check right before a promotion that no replica has changed meanwhile."""

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
        announce = AnnounceChange("s", PrimaryChange(1, Position(1, 9)), 7)
        self.assertEqual(actions, (announce, ObserveAfter(PROMOTION_HOLD_SECONDS)))
        (promotion,) = driver.confirm(longer)
        assert isinstance(promotion, Promote)
        self.assertEqual(promotion.successor, "a")

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

    def confirm(self, *events: ChangeAnnounced, is_unopposed: bool) -> tuple[str, ...]:
        """Return the kinds of actions after a confirmation.

        `events` are handled before it.
        """
        driver = Driver()
        driver.claim()
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
        return tuple(type(each).__name__ for each in driver.handle(confirmed))

    def test_promotion_waits_until_no_proxy_objects(self) -> None:
        """Guards against dropping commits that other proxies reported as done."""
        announced = ChangeAnnounced("s", 4)
        self.assertEqual(self.confirm(announced, is_unopposed=False), ("ObserveAfter",))
        self.assertEqual(self.confirm(announced, is_unopposed=True), ("Promote",))

    def test_failed_announcement_is_repeated(self) -> None:
        failed = ChangeAnnounced("s", 0)
        actions = self.confirm(failed, is_unopposed=False)
        self.assertEqual(actions, ("AnnounceChange", "ObserveAfter"))

    def test_late_announcement_is_waited_for(self) -> None:
        self.assertEqual(self.confirm(is_unopposed=False), ("ObserveAfter",))

    def test_proxies_have_time_to_object(self) -> None:
        driver = Driver()
        driver.claim()
        driver.report_fences(self.STATUSES)
        late = PROMOTION_HOLD_SECONDS - 0.01
        (wait,) = driver.handle(ChangeAnnounced("s", 4), late)
        self.assertEqual(wait, ObserveAfter(times.OBJECTION_WAIT_SECONDS))
        self.assertEqual(driver.observe(FAILING, 0.02), ())


class LiftTest(unittest.TestCase):
    """The lifting of fences that a promoter left, under a primary that works."""

    LEFT = replace(HEALTHY, fenced_since=0.0)

    def claimed(self) -> Driver:
        driver = Driver()
        driver.observe(self.LEFT)
        claimed = driver.observe(self.LEFT, times.MAX_LIFT_DELAY_SECONDS)
        self.assertEqual(claimed, (ClaimDuty("s", Cause.FENCES_LEFT),))
        return driver

    def test_cause_of_claim(self) -> None:
        cases = (
            ("left", self.LEFT, Cause.FENCES_LEFT),
            ("just now", replace(HEALTHY, fenced_since=8.5), None),
            ("no primary", replace(self.LEFT, leader=None), None),
            ("failing too", replace(self.LEFT, failing_since=0.0), Cause.FAILING),
            ("not fenced", HEALTHY, None),
        )
        for name, view, cause in cases:
            with self.subTest(name):
                self.assertIs(cause_of_claim(view, 10.0), cause)

    def test_fences_are_lifted_while_the_primary_stays(self) -> None:
        driver = self.claimed()
        wait = driver.handle(ClaimAccepted("s", 7, driver.now))
        self.assertEqual(wait, (ObserveAfter(times.LIFT_SECONDS),))
        deadline = driver.state.successions["s"].deadline
        actions = driver.observe(self.LEFT, times.LIFT_SECONDS + 0.01)
        unfence = UnfenceReplicas("s", ("a", "b"), deadline)
        self.assertEqual(actions, (WithdrawChange("s"), unfence))
        self.assertEqual(driver.state.successions, {})

    def test_no_fence_is_lifted_while_an_earlier_promotion_may_take_effect(
        self,
    ) -> None:
        """Guards against commits that the promoted database lacks."""
        driver = self.claimed()
        driver.handle(ClaimAccepted("s", 7, driver.now))
        actions = driver.observe(self.LEFT, times.LIFT_SECONDS - 0.01)
        self.assertEqual(actions, ())

    def test_no_fence_is_lifted_after_the_deadline(self) -> None:
        driver = self.claimed()
        driver.handle(ClaimAccepted("s", 7, driver.now))
        self.assertEqual(driver.observe(self.LEFT, times.DUTY_SECONDS), ())
        self.assertEqual(driver.state.successions, {})


class ReplacedPrimaryTest(unittest.TestCase):
    """A primary of an older term that has not noticed that it was replaced."""

    def test_is_stepped_down_and_fenced(self) -> None:
        """Guards against ending the succession as if it were the group's primary."""
        driver = Driver()
        driver.claim(replace(FAILING, term=3))
        replaced = status(7, fenced_term=0, is_primary=True)
        follower = replace(status(6), term=3, fenced_term=4)
        actions = driver.report_fences({"a": replaced, "b": follower})
        wait = ObserveAfter(times.RETRY_SECONDS)
        self.assertEqual(actions, (StepDownPrimary("s", 4, "a"), wait))


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
            former_leaders=frozenset("a"),
        )
        newer = replace(led, term=2)
        cases = (
            ("departed", led, False),
            ("registered", replace(led, departed=()), True),
            ("of an older term", newer, True),
            ("not known to have led", replace(led, former_leaders=frozenset()), True),
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
