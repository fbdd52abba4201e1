"""Tests of what a steward reports of the databases that it fences."""

import random
import unittest
from dataclasses import replace

from beryltiller.sessions.catalog import Departed, Directory
from beryltiller.sessions.steward import HeldDuty, Steward
from beryltiller.sessions.succession_state import FenceAll, FencesAnswered
from tests.fake_group import FakeDatabase, Rig
from tests.virtual_loop import run_virtual, virtual_now


class IdleDuty:
    """A duty that nobody calls."""

    async def claim(self, service: str, seconds: float) -> HeldDuty:
        raise AssertionError("not to be claimed")

    async def promote(self, service: str, identifier: str, token: int) -> None:
        raise AssertionError("not to be promoted")


class DepartedTest(unittest.TestCase):
    """A silent database is gone only if it went before the primary began to fail."""

    def test_one_that_may_be_hidden_is_not_gone(self) -> None:
        for missing_since, is_gone in ((-30.0, True), (0.0, False)):
            with self.subTest(missing_since=missing_since):

                async def work(since: float = missing_since) -> FencesAnswered:
                    rig = Rig()
                    rig.databases["d"] = FakeDatabase("d", is_dark=True)
                    departed = replace(rig.far.entry(), identifier="d")
                    entries = rig.fleet.directory.databases
                    rig.fleet.register(Directory(entries, (Departed(departed, since),)))
                    leader = rig.fleet.group("s").leader
                    assert leader is not None
                    leader.failed(virtual_now())
                    steward = Steward(
                        rig.fleet,
                        IdleDuty(),
                        lambda: True,
                        random.Random(1),
                        virtual_now,
                    )
                    action = FenceAll("s", 2, None, ("near", "far"), ("d",))
                    answered = await steward.part().perform(action)
                    assert isinstance(answered, FencesAnswered)
                    return answered

                self.assertEqual("d" in run_virtual(work()).gone, is_gone)
