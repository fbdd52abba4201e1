"""Tests of how the succession policy lifts fences that a promoter left."""

import unittest
from dataclasses import replace

from beryltiller.sessions.succession import times
from beryltiller.sessions.succession.actions import (
    ClaimDuty,
    ObserveAfter,
    UnfenceReplicas,
    WithdrawChange,
)
from beryltiller.sessions.succession.causes import cause_of_claim
from beryltiller.sessions.succession.events import (
    Cause,
    ClaimAccepted,
)
from tests.succession_driver import HEALTHY, Driver


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
        self.assertEqual(actions, (WithdrawChange("s", 7), unfence))
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
