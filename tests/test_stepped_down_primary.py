"""Tests of reads at a primary that stepped down, before the proxy learns of it."""

import unittest

from beryltiller.sessions.databases.catalog import RouteKind
from beryltiller.sessions.statements import AskStatus, Begin, Code, Read, Reply
from tests.fake_group import GroupFixture
from tests.virtual_loop import pass_time, run_virtual

# Longer than any evidence of the former primary's term lasts.
LAPSE_SECONDS = 1.0


class SteppedDownPrimaryTest(unittest.TestCase):
    """A change of primary for which a silent replica was not fenced."""

    def reads_around_the_change(self, begin: Begin | None) -> tuple[Reply, Reply]:
        """Return a read's reply before the change, and one that follows `begin`."""

        async def work() -> tuple[Reply, Reply]:
            fixture = GroupFixture(RouteKind.PRIMARY)
            session = fixture.session()
            before = await fixture.run(session, Read("i"))
            fixture.leader.is_primary = False
            fixture.far.is_primary, fixture.far.term, fixture.far.index = True, 2, 11
            fixture.far.refuse[AskStatus] = Code.BUSY
            await pass_time(LAPSE_SECONDS)
            if begin is not None:
                await fixture.run(session, begin)
            after = await fixture.run(session, Read("i"))
            fixture.fleet.close()
            return before, after

        return run_virtual(work())

    def test_unfenced_replica_does_not_prove_a_primary_that_stepped_down(self) -> None:
        for begin in (None, Begin(), Begin(is_read_only=True)):
            with self.subTest(begin=begin):
                before, after = self.reads_around_the_change(begin)
                self.assertTrue(before.is_success)
                is_stale = after.is_success and after.position == before.position
                self.assertFalse(is_stale, after)
