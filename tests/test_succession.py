"""Tests of the decisions of a succession, step by step on a virtual clock."""

import random
import unittest
from collections.abc import Mapping
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions import succession
from beryltiller.sessions.groups import PROMOTION_HOLD_SECONDS
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession import SuccessionPolicy, cause_of
from beryltiller.sessions.succession_state import (
    Action,
    Cause,
    Claim,
    Claimed,
    ClaimLost,
    Event,
    FenceAll,
    FencesAnswered,
    GroupView,
    LookAfter,
    Promote,
    PromotionAnswered,
    Seen,
    State,
    StepDownOne,
    SteppedDown,
    UnfenceAll,
)

HEALTHY = GroupView("s", "old", False, 1, ("a", "b"))
FAILING = replace(HEALTHY, failing_since=0.0)


def status(
    index: int, fenced_term: int = 2, is_primary: bool = False
) -> DatabaseStatus:
    """Return a status in term 1."""
    return DatabaseStatus(is_primary, 1, Position(1, index), fenced_term, 0)


class Driver:
    """Feed events to the policy, and keep its state and actions."""

    def __init__(self) -> None:
        self.policy = SuccessionPolicy(random.Random(1))
        self.state = State()
        self.now = 10.0

    def tell(self, event: Event, after: float = 0.0) -> tuple[Action, ...]:
        self.now += after
        self.state, actions = self.policy.decide(self.state, event, self.now)
        return actions

    def see(
        self, view: GroupView, after: float = 0.0, is_store_reachable: bool = True
    ) -> tuple[Action, ...]:
        return self.tell(Seen((view,), is_store_reachable), after)

    def claim(self, view: GroupView = FAILING) -> tuple[Action, ...]:
        """Go on until the duty is claimed; return what follows."""
        self.see(view)
        claimed = self.see(view, 0.5)
        assert [type(action) for action in claimed] == [Claim], claimed
        return self.tell(Claimed("s", 7, self.now))

    def fence(
        self,
        statuses: Mapping[str, DatabaseStatus | None],
        gone: frozenset[str] = frozenset(),
    ) -> tuple[Action, ...]:
        return self.tell(FencesAnswered("s", statuses, gone))

    def hold(self, view: GroupView = FAILING) -> tuple[Action, ...]:
        """Let the hold pass."""
        return self.see(view, PROMOTION_HOLD_SECONDS + 0.01)

    def promote(
        self,
        statuses: Mapping[str, DatabaseStatus | None],
        gone: frozenset[str] = frozenset(),
    ) -> tuple[Action, ...]:
        """Let the hold pass, and confirm that the replicas are as before."""
        (fence,) = self.hold()
        assert isinstance(fence, FenceAll), fence
        return self.tell(FencesAnswered("s", statuses, gone, were_fenced=True))


class CauseTest(unittest.TestCase):
    """Why a primary is replaced."""

    def test_each_cause(self) -> None:
        leaving = replace(HEALTHY, is_leader_leaving=True)
        cases = (
            ("healthy", HEALTHY, None),
            ("failing", FAILING, Cause.FAILING),
            ("failing just now", replace(HEALTHY, failing_since=9.8), None),
            ("stalled", replace(HEALTHY, stalled_since=9.0), Cause.STALLED),
            ("leaving", leaving, Cause.LEAVING),
            ("all leave", replace(leaving, leaving=frozenset("ab")), None),
            (
                "headless",
                replace(HEALTHY, leader=None, headless_since=5.0),
                Cause.HEADLESS,
            ),
            (
                "headless just now",
                replace(HEALTHY, leader=None, headless_since=7.0),
                None,
            ),
            ("alone", replace(FAILING, replicas=()), None),
        )
        for name, view, cause in cases:
            with self.subTest(name):
                self.assertIs(cause_of(view, 10.0), cause)


class SuccessionTest(unittest.TestCase):
    """Claim, fence all, name the longest, hold, promote."""

    def test_whole_succession(self) -> None:
        driver = Driver()
        fence = FenceAll("s", 2, ("a", "b"), ())
        self.assertEqual(driver.claim(), (StepDownOne("s", 2, "old"), fence))
        held = driver.fence({"a": status(5), "b": status(6)})
        self.assertEqual(held, (LookAfter(PROMOTION_HOLD_SECONDS),))
        (promote,) = driver.promote({"a": status(5), "b": status(6)})
        assert isinstance(promote, Promote)
        self.assertEqual((promote.successor, promote.token), ("b", 7))
        driver.tell(PromotionAnswered("s", True, False))
        led = replace(HEALTHY, leader="b", replicas=("a", "old"))
        self.assertEqual(driver.see(led, 0.3), (UnfenceAll("s", ("a", "old")),))

    def test_each_wait_ends_with_a_look_when_it_is_due(self) -> None:
        """Waits that only ticks ended took up to a tick longer."""
        driver = Driver()
        driver.claim()
        (look,) = driver.fence({"a": status(5), "b": None})
        self.assertEqual(look, LookAfter(succession.RETRY_SECONDS))
        driver.see(FAILING, succession.RETRY_SECONDS)
        statuses = {"a": status(5), "b": status(6)}
        driver.fence(statuses)
        driver.promote(statuses)
        (look,) = driver.tell(PromotionAnswered("s", False, False))
        self.assertEqual(look, LookAfter(succession.RETRY_SECONDS))

    def test_group_without_a_former_primary_steps_nobody_down(self) -> None:
        driver = Driver()
        headless = replace(HEALTHY, leader=None, headless_since=0.0)
        (fence,) = driver.claim(headless)
        assert isinstance(fence, FenceAll)
        self.assertEqual((fence.replicas, fence.departed), (("a", "b"), ()))

    def test_nothing_without_the_store(self) -> None:
        driver = Driver()
        for _ in range(5):
            self.assertEqual(driver.see(FAILING, 1.0, is_store_reachable=False), ())

    def test_lost_claim_waits(self) -> None:
        driver = Driver()
        driver.see(FAILING)
        driver.see(FAILING, 0.5)
        driver.tell(ClaimLost("s"))
        self.assertEqual(driver.see(FAILING, 0.5), ())
        claims = driver.see(FAILING, succession.PAUSE_SECONDS)
        self.assertEqual(claims, (Claim("s", Cause.FAILING),))

    def test_no_promotion_before_the_hold_is_over(self) -> None:
        driver = Driver()
        driver.claim()
        driver.fence({"a": status(5), "b": status(6)})
        self.assertEqual(driver.see(FAILING, PROMOTION_HOLD_SECONDS - 0.01), ())

    def test_silent_or_unfenced_replica_holds_up(self) -> None:
        cases = (
            ("silent", {"a": status(5), "b": None}),
            ("not fenced", {"a": status(5), "b": status(5, fenced_term=0)}),
        )
        for name, statuses in cases:
            with self.subTest(name):
                driver = Driver()
                driver.claim()
                driver.fence(statuses)
                again = driver.hold()
                self.assertEqual(
                    [type(each) for each in again], [StepDownOne, FenceAll]
                )

    def test_database_that_is_gone_is_not_waited_for(self) -> None:
        driver = Driver()
        driver.claim()
        gone = frozenset({"b"})
        driver.fence({"a": status(5), "b": None}, gone=gone)
        (promote,) = driver.promote({"a": status(5), "b": None}, gone=gone)
        self.assertIsInstance(promote, Promote)

    def test_group_that_has_another_primary_is_left_alone(self) -> None:
        """A proxy that had been cut off fenced the followers of a new primary."""
        driver = Driver()
        driver.claim()
        statuses = {"a": status(5, is_primary=True), "b": status(6)}
        (unfence,) = driver.fence(statuses)
        self.assertIsInstance(unfence, UnfenceAll)
        self.assertEqual(driver.hold(), ())

    def test_replicas_stay_fenced_while_a_promotion_may_take_effect(self) -> None:
        driver = Driver()
        driver.claim()
        statuses = {"a": status(5), "b": status(6)}
        driver.fence(statuses)
        driver.promote(statuses)
        driver.tell(PromotionAnswered("s", False, False))
        actions = driver.see(FAILING, succession.DUTY_SECONDS)
        self.assertEqual(actions, ())
        self.assertEqual(driver.state.successions, {})

    def test_refused_successor_is_passed_over(self) -> None:
        driver = Driver()
        driver.claim()
        statuses = {"a": status(6), "b": status(6)}
        driver.fence(statuses)
        driver.promote(statuses)
        again = driver.tell(PromotionAnswered("s", False, True))
        self.assertEqual([type(each) for each in again], [StepDownOne, FenceAll])
        driver.fence(statuses)
        (promote,) = driver.promote(statuses)
        assert isinstance(promote, Promote)
        self.assertEqual(promote.successor, "b")

    def test_claim_is_not_used_after_its_time(self) -> None:
        driver = Driver()
        driver.claim()
        driver.fence({"a": status(5), "b": status(6)})
        (unfence,) = driver.see(FAILING, succession.DUTY_SECONDS)
        self.assertIsInstance(unfence, UnfenceAll)


class ConfirmationTest(unittest.TestCase):
    """Right before the call, all replicas are as they were when they were compared."""

    FENCED: Mapping[str, DatabaseStatus | None] = {"a": status(5), "b": status(6)}

    def held(self) -> Driver:
        driver = Driver()
        driver.claim()
        driver.fence(self.FENCED)
        (fence,) = driver.hold()
        self.assertIsInstance(fence, FenceAll)
        return driver

    def test_replica_that_lost_its_fence_is_held_anew(self) -> None:
        """A replica that restarts forgets its fence, and may have received since."""
        driver = self.held()
        held = driver.tell(FencesAnswered("s", self.FENCED, were_fenced=False))
        self.assertEqual(held, (LookAfter(PROMOTION_HOLD_SECONDS),))

    def test_log_that_is_longer_now_is_named_after_another_hold(self) -> None:
        driver = self.held()
        longer = {"a": status(9), "b": status(6)}
        held = driver.tell(FencesAnswered("s", longer, were_fenced=True))
        self.assertEqual(held, (LookAfter(PROMOTION_HOLD_SECONDS),))
        (promote,) = driver.promote(longer)
        assert isinstance(promote, Promote)
        self.assertEqual(promote.successor, "a")

    def test_replica_that_registered_meanwhile_is_fenced_too(self) -> None:
        driver = Driver()
        driver.claim()
        driver.fence(self.FENCED)
        (fence,) = driver.hold(replace(FAILING, replicas=("a", "b", "c")))
        self.assertEqual(fence, FenceAll("s", 2, ("a", "b", "c"), ()))

    def test_primary_that_came_back_meanwhile_is_left_alone(self) -> None:
        """A primary came back under another name; its new commits were lost."""
        driver = Driver()
        driver.claim()
        driver.fence(self.FENCED)
        back = replace(HEALTHY, leader="new", replicas=("a", "b", "old"))
        (unfence,) = driver.hold(back)
        self.assertIsInstance(unfence, UnfenceAll)


class ReplacedPrimaryTest(unittest.TestCase):
    """A primary of an older term that does not know yet that it was replaced."""

    def test_is_stepped_down_and_fenced(self) -> None:
        """It was taken for the group's primary, and the group was left alone."""
        driver = Driver()
        driver.claim(replace(FAILING, term=3))
        replaced = status(7, fenced_term=0, is_primary=True)
        follower = replace(status(6), term=3, fenced_term=4)
        actions = driver.fence({"a": replaced, "b": follower})
        look = LookAfter(succession.RETRY_SECONDS)
        self.assertEqual(actions, (StepDownOne("s", 4, "a"), look))


class NotNeededTest(unittest.TestCase):
    """Silent databases that hold no acknowledged commit alone are not waited for."""

    def is_waited_for(
        self, driver: Driver, received: int, replaced: frozenset[str] = frozenset()
    ) -> bool:
        """Tell whether a silent database holds up a log that ends at `received`."""
        statuses = {"a": status(received), "b": None}
        driver.tell(FencesAnswered("s", statuses, replaced=replaced))
        return not driver.state.successions["s"].successor

    def test_log_that_reaches_the_stepped_down_primarys_end(self) -> None:
        """A database that had crashed before held up a planned change for a minute."""
        for received, expected in ((6, True), (7, False)):
            with self.subTest(received=received):
                driver = Driver()
                driver.claim()
                driver.tell(SteppedDown("s", "old", Position(1, 7)))
                self.assertEqual(self.is_waited_for(driver, received), expected)

    def test_another_primarys_end_does_not_count(self) -> None:
        driver = Driver()
        driver.claim()
        driver.tell(SteppedDown("s", "other", Position(1, 5)))
        self.assertTrue(self.is_waited_for(driver, 6))

    def test_database_that_another_has_replaced(self) -> None:
        """It was waited for, though one that started anew answered in its place."""
        cases: tuple[tuple[str, int, frozenset[str], bool], ...] = (
            ("reaches", 7, frozenset("b"), False),
            ("too short", 6, frozenset("b"), True),
            ("not replaced", 7, frozenset(), True),
        )
        for name, received, replaced, expected in cases:
            with self.subTest(name):
                driver = Driver()
                driver.claim(replace(FAILING, acknowledged=Position(1, 7)))
                waited = self.is_waited_for(driver, received, replaced)
                self.assertEqual(waited, expected)

    def test_since_when_a_database_may_be_hidden(self) -> None:
        headless = replace(HEALTHY, leader=None, headless_since=4.0)
        silence = succession.ENTRY_SILENCE_SECONDS
        cases = (
            ("failing", replace(FAILING, led_until=0.0), 0.0),
            ("stalled", replace(HEALTHY, stalled_since=9.0, led_until=10.0), 9.0),
            ("no leader seen", headless, 4.0 - silence),
            ("leader was well", replace(headless, led_until=3.5), 3.5),
            ("leaving", replace(HEALTHY, is_leader_leaving=True, led_until=3.5), 10.5),
        )
        for name, view, expected in cases:
            with self.subTest(name):
                fence = Driver().claim(view)[-1]
                assert isinstance(fence, FenceAll)
                self.assertEqual(fence.trouble_since, expected)
