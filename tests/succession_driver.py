"""A driver of the succession policy for tests, with its state, clock and views."""

import random
from collections.abc import Mapping
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.evidence import PROMOTION_HOLD_SECONDS
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession.actions import (
    Action,
    ClaimDuty,
    FenceReplicas,
)
from beryltiller.sessions.succession.events import (
    ChangeAnnounced,
    ClaimAccepted,
    Event,
    FenceResults,
    GroupsObserved,
    GroupView,
)
from beryltiller.sessions.succession.policy import SuccessionPolicy
from beryltiller.sessions.succession.state import (
    State,
)

HEALTHY = GroupView("s", "old", False, 1, ("a", "b"))
FAILING = replace(HEALTHY, failing_since=0.0)


def status(
    index: int, fenced_term: int = 2, is_primary: bool = False
) -> DatabaseStatus:
    """Return a status in term 1."""
    return DatabaseStatus(is_primary, 1, Position(1, index), fenced_term)


class Driver:
    """A succession policy with its state and clock, to which tests pass events."""

    def __init__(self) -> None:
        self.policy = SuccessionPolicy(random.Random(1))
        self.state = State()
        self.now = 10.0

    def handle(self, event: Event, after: float = 0.0) -> tuple[Action, ...]:
        self.now += after
        self.state, actions = self.policy.decide(self.state, event, self.now)
        return actions

    def observe(
        self, view: GroupView, after: float = 0.0, is_store_reachable: bool = True
    ) -> tuple[Action, ...]:
        return self.handle(GroupsObserved((view,), is_store_reachable), after)

    def claim(self, view: GroupView = FAILING) -> tuple[Action, ...]:
        """Observe until the duty is claimed; return the actions that follow."""
        self.observe(view)
        claimed = self.observe(view, 0.5)
        assert [type(action) for action in claimed] == [ClaimDuty], claimed
        return self.handle(ClaimAccepted("s", 7, self.now))

    def report_fences(
        self,
        statuses: Mapping[str, DatabaseStatus | None],
        gone: frozenset[str] = frozenset(),
    ) -> tuple[Action, ...]:
        return self.handle(FenceResults("s", statuses, gone))

    def wait_out_hold(self, view: GroupView = FAILING) -> tuple[Action, ...]:
        """Observe the group once the hold time has passed."""
        return self.observe(view, PROMOTION_HOLD_SECONDS + 0.01)

    def confirm(
        self,
        statuses: Mapping[str, DatabaseStatus | None],
        gone: frozenset[str] = frozenset(),
        confirm_after: float = 0.0,
        view: GroupView = FAILING,
    ) -> tuple[Action, ...]:
        """Wait out the hold time, then report that all replicas are still fenced.

        The policy learns of it `confirm_after` seconds after the commands were sent.
        """
        self.handle(ChangeAnnounced("s", 1))
        (fence_action,) = self.wait_out_hold(view)
        assert isinstance(fence_action, FenceReplicas), fence_action
        results = FenceResults(
            "s",
            statuses,
            gone,
            were_already_fenced=True,
            fenced_at=self.now,
            is_unopposed=True,
        )
        return self.handle(results, confirm_after)
