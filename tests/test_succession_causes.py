"""Tests of the reasons for which a primary is replaced."""

import unittest
from dataclasses import replace

from beryltiller.sessions.succession.causes import replacement_cause
from beryltiller.sessions.succession.state import (
    Cause,
)
from tests.succession_driver import FAILING, HEALTHY


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
