"""Tests of proofs by replicas whose fences a promotion has lifted."""

import unittest
from dataclasses import replace

from beryltiller.sessions.databases.catalog import RouteKind
from beryltiller.sessions.statements import Read
from tests.fake_group import GroupFixture
from tests.test_session_groups import make_group, status
from tests.virtual_loop import pass_time, run_virtual

# Longer than any evidence of the former primary's term lasts.
LAPSE_SECONDS = 1.0


class LiftedFenceTest(unittest.TestCase):
    """A replica that is not fenced any more, and has not heard of the new term yet."""

    def test_replica_does_not_prove_the_old_term_while_another_one_is_fenced(
        self,
    ) -> None:
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 1.0)
        answers = (
            (group.members["r1"], status(1)),
            (group.members["r2"], status(1, fenced_term=2)),
        )
        group.record_round(answers, 1.1)
        self.assertFalse(group.is_term_proved(1.1))

    def test_replica_that_is_asked_alone_proves_no_term(self) -> None:
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 1.0)
        group.record_status(group.members["r1"], status(1), 1.1, is_alone=True)
        self.assertFalse(group.is_term_proved(1.1))

    def test_read_is_not_served_by_a_primary_cut_off_from_its_successor(self) -> None:
        async def work() -> None:
            fixture = GroupFixture(RouteKind.PRIMARY)
            session = fixture.session()
            before = await fixture.run(session, Read("i"))
            successor = fixture.far
            successor.is_primary, successor.term, successor.index = True, 2, 11
            await pass_time(LAPSE_SECONDS)
            after = await fixture.run(session, Read("i"))
            fixture.fleet.close()
            self.assertTrue(before.is_success)
            is_stale = after.is_success and after.position == before.position
            self.assertFalse(is_stale, after)

        run_virtual(work())

    def test_group_whose_replicas_are_all_unfenced_is_proved(self) -> None:
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 1.0)
        unfenced = replace(status(1), fenced_term=0)
        members = (group.members["r1"], group.members["r2"])
        group.record_round(((member, unfenced) for member in members), 1.1)
        self.assertTrue(group.is_term_proved(1.1))
