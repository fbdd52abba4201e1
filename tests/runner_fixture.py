"""A succession runner for a fake group of databases, on a virtual clock."""

import random

from beryltiller.sessions.databases.catalog import Departed, Directory
from beryltiller.sessions.succession.actions import FenceReplicas
from beryltiller.sessions.succession.events import FenceResults
from beryltiller.sessions.succession.runner import DutyClaim, SuccessionRunner
from tests.fake_announcements import FakeAnnouncements
from tests.fake_group import GroupFixture, read_same_entries
from tests.virtual_loop import virtual_now


class IdleDuty:
    """A promotion duty that must not be used."""

    async def claim(self, service: str, seconds: float) -> DutyClaim:
        raise AssertionError("not to be claimed")

    async def promote(self, service: str, identifier: str, token: int) -> None:
        raise AssertionError("not to be promoted")


def make_runner(fixture: GroupFixture) -> SuccessionRunner:
    """Return a runner for the fixture's group, whose actor is not started."""
    announcer = FakeAnnouncements().add_proxy(fixture.fleet)
    return SuccessionRunner(
        fixture.fleet,
        IdleDuty(),
        announcer,
        lambda: True,
        read_same_entries,
        random.Random(1),
        virtual_now,
    )


async def fence_with_departed(
    fixture: GroupFixture, departed: Departed
) -> FenceResults:
    """Return the results of fencing the replicas and departed database `d`."""
    entries = fixture.fleet.directory.databases
    fixture.fleet.register(Directory(entries, (departed,)))
    action = FenceReplicas("s", 2, ("near", "far"), ("d",), virtual_now())
    results = await make_runner(fixture).part().perform(action)
    assert isinstance(results, FenceResults)
    return results
