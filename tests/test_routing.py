"""Tests of the plans for reads and writes, and of shared position requests.

They guard against reads at unusable databases, waits longer than the policy allows,
lost positions that are not reported, and positions requested too early for a read.
"""

import doctest
import random
import unittest
from dataclasses import replace

from beryltiller.consistency import routing
from beryltiller.consistency.plans import (
    AskPrimaryPosition,
    DatabaseView,
    GroupView,
    Need,
    Plan,
    Progress,
    Refuse,
    RoutingPolicy,
    RunAt,
    SessionLost,
    WaitForTerm,
    WaitThen,
)
from beryltiller.consistency.routing import (
    PositionStatus,
    find_loss,
    plan_read,
    plan_write,
    position_status,
)
from beryltiller.consistency.tokens import Mark
from beryltiller.core.ports import Load
from beryltiller.core.position import ORIGIN, History, Position, TermStart
from beryltiller.dispatching import shared_position_requests
from beryltiller.dispatching.shared_position_requests import (
    DeliverPosition,
    SendRequest,
    SharedPositionRequest,
)

NOW = 100.0
POLICY = RoutingPolicy("zone-a", short_wait_seconds=0.05, long_wait_seconds=1.0)
PRIMARY = DatabaseView("p", "zone-a", Position(2, 9))
NEAR = DatabaseView("near", "zone-a", Position(2, 5), 0.2)
FAR = DatabaseView("far", "zone-b", Position(2, 7), 0.3)
HISTORY = History((TermStart(1, 1), TermStart(2, 4)))
VIEW = GroupView("g", 2, "p", True, HISTORY, Position(2, 9), (PRIMARY, NEAR, FAR))
START = Progress(NOW, NOW + 5)


def read_plan(
    view: GroupView = VIEW,
    at_least: Position = ORIGIN,
    reached_at: float = NOW,
    progress: Progress = START,
    now: float = NOW,
    primary_use: float = 0.0,
    seed: int = 1,
) -> Plan:
    """Return the plan for a read, with defaults for what a case does not set."""
    need = Need(at_least, reached_at)
    rng = random.Random(seed)
    return plan_read(view, need, progress, now, POLICY, primary_use, rng)


class PlanReadTest(unittest.TestCase):
    """Reads run at a replica that holds the position, wait for one, or use the primary.

    Databases that are unreachable, draining or have failed are not used.
    """

    def test_plan_by_position_and_wait(self) -> None:
        newest = Position(2, 9)
        late = NOW - 0.25
        no_replicas = replace(VIEW, databases=(PRIMARY,))
        tried = START.with_behind_refusal("near", NOW).with_behind_refusal("far", NOW)
        cases: tuple[tuple[str, Plan, Plan], ...] = (
            (
                "holder in own zone",
                read_plan(at_least=Position(2, 5)),
                RunAt("near", Position(2, 5)),
            ),
            (
                "only holder",
                read_plan(at_least=Position(2, 7)),
                RunAt("far", Position(2, 7)),
            ),
            (
                "wait already over",
                read_plan(at_least=newest, reached_at=late),
                RunAt("near", newest),
            ),
            ("spare read", read_plan(at_least=newest), RunAt("p", newest)),
            (
                "short wait",
                read_plan(at_least=newest, reached_at=NOW - 0.1875, primary_use=1.0),
                WaitThen(0.0125, RunAt("near", newest)),
            ),
            ("refused as behind", read_plan(progress=tried), RunAt("p")),
            (
                "refused, next step",
                read_plan(progress=tried, reached_at=late - 1),
                WaitThen(0.02, RunAt("near")),
            ),
            ("no replica", read_plan(no_replicas), RunAt("p")),
        )
        for name, plan, wanted in cases:
            with self.subTest(name):
                if isinstance(plan, WaitThen) and isinstance(wanted, WaitThen):
                    self.assertAlmostEqual(plan.seconds, wanted.seconds)
                    self.assertEqual(plan.then, wanted.then)
                else:
                    self.assertEqual(plan, wanted)

    def test_unusable_databases_are_not_chosen(self) -> None:
        draining = tuple(replace(one, is_draining=True) for one in VIEW.databases)
        unreachable = tuple(replace(one, is_reachable=False) for one in VIEW.databases)
        for databases in (draining, unreachable):
            with self.subTest(databases=databases):
                view = replace(VIEW, databases=databases)
                self.assertIsInstance(read_plan(view), Refuse)
        progress = START.with_failed_database("near").with_failed_database("far")
        self.assertEqual(read_plan(progress=progress), RunAt("p"))

    def test_primary_is_preferred_to_a_replica_far_behind(self) -> None:
        slow = replace(NEAR, lag_seconds=POLICY.max_lag_seconds + 1)
        view = replace(VIEW, databases=(PRIMARY, slow))
        self.assertEqual(read_plan(view), RunAt("p"))

    def test_read_waits_for_a_replica_or_term_without_a_primary(self) -> None:
        view = replace(VIEW, is_open=False, databases=(NEAR, FAR))
        plan = read_plan(view, at_least=Position(2, 9))
        self.assertIsInstance(plan, WaitThen)
        plan = read_plan(replace(view, databases=()), at_least=Position(2, 9))
        self.assertEqual(plan, WaitForTerm("g", 2, 5.0))

    def test_busy_replica_is_not_chosen(self) -> None:
        busy = replace(NEAR, load=Load(slots=3, executing=3, waiting=2))
        view = replace(VIEW, databases=(PRIMARY, busy, FAR))
        for seed in range(20):
            self.assertEqual(read_plan(view, seed=seed), RunAt("far"))

    def test_reads_spread_over_equal_replicas(self) -> None:
        view = replace(VIEW, databases=(NEAR, replace(FAR, availability_zone="zone-a")))
        plans = [read_plan(view, seed=seed) for seed in range(100)]
        self.assertGreater(plans.count(RunAt("near")), 25)
        self.assertGreater(plans.count(RunAt("far")), 25)


class PlanWriteTest(unittest.TestCase):
    """Writes run at the primary of an open term, unless the session lost a position."""

    def test_plan_by_mark_and_term(self) -> None:
        unread = replace(VIEW, history=None)
        closed = replace(VIEW, is_open=False)
        old = Mark(written=Position(1, 3))
        lost = Mark(written=Position(1, 6))
        seen = Mark(written=Position(1, 2), read=Position(1, 6))
        cases: tuple[tuple[str, GroupView, Mark, Plan], ...] = (
            ("new", VIEW, Mark(), RunAt("p", term=2)),
            ("held", VIEW, old, RunAt("p", term=2)),
            ("lost write", VIEW, lost, SessionLost("g", Position(1, 6), 2, True)),
            ("lost read", VIEW, seen, SessionLost("g", Position(1, 6), 2, False)),
            ("undecided", unread, old, AskPrimaryPosition("g", "p", 2)),
            ("closed", closed, Mark(), WaitForTerm("g", 2, 5.0)),
            ("later", VIEW, Mark(Position(3, 1)), WaitForTerm("g", 3, 5.0)),
        )
        for name, view, mark, wanted in cases:
            with self.subTest(name):
                self.assertEqual(plan_write(view, mark, START, NOW, POLICY), wanted)

    def test_write_is_refused_at_its_deadline(self) -> None:
        closed = replace(VIEW, is_open=False)
        plan = plan_write(closed, Mark(), START, START.deadline, POLICY)
        self.assertIsInstance(plan, Refuse)


class PositionStatusTest(unittest.TestCase):
    """A position is held or lost only once the current term's log is known."""

    def test_status_by_term_and_history(self) -> None:
        cases = (
            (ORIGIN, HISTORY, PositionStatus.HELD),
            (Position(2, 50), HISTORY, PositionStatus.HELD),
            (Position(1, 3), HISTORY, PositionStatus.HELD),
            (Position(1, 4), HISTORY, PositionStatus.LOST),
            (Position(1, 50), HISTORY, PositionStatus.LOST),
            (Position(1, 3), None, PositionStatus.UNDECIDED),
            (Position(3, 1), HISTORY, PositionStatus.LATER_TERM),
        )
        for position, history, wanted in cases:
            with self.subTest(position=position, history=history):
                view = replace(VIEW, history=history)
                self.assertEqual(position_status(view, position), wanted)

    def test_refusal_names_the_lost_write(self) -> None:
        loss = find_loss(VIEW, Mark(written=Position(1, 4)))
        assert loss is not None
        refusal = loss.as_refusal()
        self.assertEqual(refusal.field, "Beryl-Session")
        self.assertIn("a write of this session at 1:4", refusal.reason)

    def test_examples(self) -> None:
        for module in (routing, shared_position_requests):
            self.assertEqual(doctest.testmod(module).failed, 0)


class SharedPositionRequestTest(unittest.TestCase):
    """One request serves only the reads that were added before it was sent."""

    def test_later_reads_wait_for_the_next_request(self) -> None:
        request, sent = SharedPositionRequest().add_read(1, 1.0)
        self.assertEqual(sent, (SendRequest(1.0),))
        for read in (2, 3, 4):
            request, sent = request.add_read(read, 1.5)
            self.assertEqual(sent, ())
        request, actions = request.remove_read(3).record_answer(2.0)
        self.assertEqual(actions, (DeliverPosition((1,)), SendRequest(2.0)))
        request, actions = request.record_answer(3.0)
        self.assertEqual(actions, (DeliverPosition((2, 4)),))
        self.assertEqual(request, SharedPositionRequest())
