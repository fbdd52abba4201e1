"""Tests of reads at a primary that stepped down, before the proxy learns of it."""

import unittest

from beryltiller.sessions.databases.catalog import RouteKind
from beryltiller.sessions.statements import Read
from tests.fake_group import GroupFixture
from tests.virtual_loop import pass_time, run_virtual

# Longer than any evidence of the former primary's term lasts.
LAPSE_SECONDS = 1.0


class SteppedDownPrimaryTest(unittest.TestCase):
    """A change of primary for which a silent replica was not fenced."""

    def test_unfenced_replica_does_not_prove_a_primary_that_stepped_down(self) -> None:
        async def work() -> None:
            fixture = GroupFixture(RouteKind.PRIMARY)
            session = fixture.session()
            before = await fixture.run(session, Read("i"))
            fixture.leader.is_primary = False
            fixture.far.is_primary, fixture.far.term, fixture.far.index = True, 2, 11
            await pass_time(LAPSE_SECONDS)
            after = await fixture.run(session, Read("i"))
            fixture.fleet.close()
            self.assertTrue(before.is_success)
            is_stale = after.is_success and after.position == before.position
            self.assertFalse(is_stale, after)

        run_virtual(work())
