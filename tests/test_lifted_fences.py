"""Tests of proofs by replicas whose fences a promotion has lifted."""

import unittest

from beryltiller.core.position import Position
from beryltiller.sessions.databases.catalog import RouteKind
from beryltiller.sessions.databases.evidence import (
    NO_PROOF_SECONDS,
    TERM_PROOF_SECONDS,
)
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.primary_change import PendingPromotion
from beryltiller.sessions.statements import AskStatus, Code, DatabaseStatus, Read
from tests.fake_group import GroupFixture
from tests.test_session_groups import make_group, status
from tests.virtual_loop import pass_time, run_virtual

# Longer than any evidence of the former primary's term lasts.
LAPSE_SECONDS = 1.0


class LiftedFenceTest(unittest.TestCase):
    """A replica that is not fenced any more, and has not heard of the new term yet."""

    def group_after(self, *answers: tuple[str, DatabaseStatus]) -> Group:
        """Return a group whose leader shows that it leads until 1.6."""
        group = make_group()
        leader = group.members["p"]
        group.record_status(leader, status(1, is_primary=True), 1.1)
        named = [(group.members[name], reported) for name, reported in answers]
        group.record_round(named, 1.1)
        return group

    def test_replica_proves_nothing_after_the_question_while_another_is_fenced(
        self,
    ) -> None:
        group = self.group_after(("r1", status(1)), ("r2", status(1, fenced_term=2)))
        self.assertTrue(group.is_term_proved(1.1))
        self.assertFalse(group.is_term_proved(1.11))

    def test_replica_proves_nothing_after_the_question_while_another_is_silent(
        self,
    ) -> None:
        group = self.group_after(("r1", status(1)))
        self.assertTrue(group.is_term_proved(1.1))
        self.assertFalse(group.is_term_proved(1.11))

    def test_nothing_is_proved_by_replicas_that_are_all_fenced_or_silent(self) -> None:
        for answers in ((), (("r1", status(1, fenced_term=2)),)):
            self.assertFalse(self.group_after(*answers).is_term_proved(1.0))

    def test_nothing_is_proved_if_another_one_leads_a_newer_term(self) -> None:
        group = self.group_after(("r1", status(1)), ("r2", status(2, is_primary=True)))
        self.assertFalse(group.is_term_proved(1.0))

    def test_replica_that_is_asked_alone_proves_no_term(self) -> None:
        group = self.group_after()
        group.record_status(group.members["r1"], status(1), 1.1, NO_PROOF_SECONDS)
        self.assertFalse(group.is_term_proved(1.0))

    def test_read_after_the_successors_first_commit_is_not_served(self) -> None:
        """Guards against a proof that outlasts a promotion; the successor is busy."""

        async def work() -> None:
            fixture = GroupFixture(RouteKind.PRIMARY)
            session, successor = fixture.session(), fixture.far
            before = await fixture.run(session, Read("i"))
            await pass_time(LAPSE_SECONDS)
            successor.is_primary, successor.term = True, 2
            successor.refuse[AskStatus] = Code.BUSY
            await fixture.run(session, Read("i"))
            successor.index = 11
            fixture.near.term, fixture.near.index = 2, 11
            await pass_time(0.2)
            after = await fixture.run(session, Read("i"))
            fixture.fleet.close()
            is_stale = after.is_success and after.position == before.position
            self.assertFalse(is_stale, after)

        run_virtual(work())

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
        group = self.group_after(("r1", status(1)), ("r2", status(1)))
        self.assertTrue(group.is_term_proved(1.1 + TERM_PROOF_SECONDS))


class LatePromotionTest(unittest.TestCase):
    """A promotion that was requested before, and may act any moment without a hold."""

    def pending_group(self) -> Group:
        """Return a group whose leader leads at 1.1, and `r1` may be promoted."""
        group = make_group()
        group.record_status(group.members["p"], status(1, is_primary=True), 1.1)
        group.changes.record_pending((PendingPromotion(7, "r1"),), now=0.0)
        return group

    def test_proof_does_not_outlast_the_question(self) -> None:
        """Guards against reads at the old primary after a promotion that acts late."""
        group = self.pending_group()
        answers = [(group.members[name], status(1)) for name in ("r1", "r2")]
        group.record_round(answers, 1.1)
        self.assertTrue(group.is_term_proved(1.1))
        self.assertFalse(group.is_term_proved(1.11))

    def test_nothing_is_proved_without_an_answer_of_the_database(self) -> None:
        group = self.pending_group()
        group.record_round([(group.members["r2"], status(1))], 1.1)
        self.assertFalse(group.is_term_proved(1.1))

    def test_commit_that_it_has_received_proves_no_more_than_when_it_was_sent(
        self,
    ) -> None:
        group = self.pending_group()
        group.record_commit(group.members["p"], 1.2, Position(1, 5))
        self.assertTrue(group.is_term_proved(1.2))
        self.assertFalse(group.is_term_proved(1.21))
