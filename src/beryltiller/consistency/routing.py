"""Choose the database for a statement, or what to do until one can serve it.

The choice is only an estimate. Each read carries `at_least`, which the database itself
enforces, so a wrong estimate costs a refusal and never returns a stale answer.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from enum import Enum, auto, unique

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
from beryltiller.consistency.tokens import Mark
from beryltiller.core.outcome import Refusal
from beryltiller.core.position import Position


@unique
class PositionStatus(Enum):
    """The relation of a position to a group's log in its current term.

    `HELD` and `LOST` say whether the log contains the position. `UNDECIDED` means that
    the current term's log is not known yet, and `LATER_TERM` that the position is of a
    term of which this proxy does not know yet.
    """

    HELD = auto()
    LOST = auto()
    UNDECIDED = auto()
    LATER_TERM = auto()


def position_status(view: GroupView, position: Position) -> PositionStatus:
    """Return the relation of `position` to the log in the group's current term.

    >>> from beryltiller.core.position import History
    >>> view = GroupView("g", 2, "a", True, History(), Position(2, 4))
    >>> position_status(view, Position(1, 9)).name
    'LOST'
    """
    if position.index == 0 or position.term == view.term:
        return PositionStatus.HELD
    if position.term > view.term:
        return PositionStatus.LATER_TERM
    if view.history is None:
        return PositionStatus.UNDECIDED
    if view.history.contains(position, view.last.index):
        return PositionStatus.HELD
    return PositionStatus.LOST


def find_loss(view: GroupView, mark: Mark) -> SessionLost | None:
    """Return the loss of a position in a session's mark to a failover, or None.

    The session's own writes are checked before its reads.
    """
    for position, is_own in ((mark.written, True), (mark.read, False)):
        if position_status(view, position) is PositionStatus.LOST:
            return SessionLost(view.name, position, view.term, is_own)
    return None


def plan_write(
    view: GroupView, mark: Mark, progress: Progress, now: float, policy: RoutingPolicy
) -> Plan:
    """Return the plan for a write: run it at the primary, in its term, or wait.

    The session's mark is checked first. Otherwise the write would replace the lost
    position in the mark by its own later one, and the loss would never be reported.
    """
    if loss := find_loss(view, mark):
        return loss
    match position_status(view, mark.needed):
        case PositionStatus.LATER_TERM:
            return _await_term(view, mark.needed.term, progress, now, policy)
        case PositionStatus.UNDECIDED if view.is_open:
            return AskPrimaryPosition(view.name, view.primary, view.term)
        case PositionStatus.UNDECIDED:
            return _await_term(view, view.term, progress, now, policy)
    if not view.takes_writes:
        return _await_term(view, view.term, progress, now, policy)
    return RunAt(view.primary, term=view.term)


def plan_read(
    view: GroupView,
    need: Need,
    progress: Progress,
    now: float,
    policy: RoutingPolicy,
    primary_use: float,
    rng: random.Random,
) -> Plan:
    """Return the plan for a read that must see `need`.

    The preference is for replicas that hold the needed position, then those expected to
    hold it soon enough, then the primary, then any database that may still reach it
    before the deadline. `primary_use` is the part of the primary's spare reads that is
    used up, from 0 to 1.
    """
    usable = [one for one in view.databases if _is_usable(one, progress)]
    fresh = [one for one in usable if _is_fresh_replica(one, view, policy)]
    ready = [one for one in fresh if _holds(one, need, progress)]
    if ready:
        return RunAt(_pick(ready, policy, rng).name, need.at_least)
    waits = _waits(fresh, need, progress, policy, now)
    if due := [one for one in fresh if waits[one.name] == 0]:
        return RunAt(_pick(due, policy, rng).name, need.at_least)
    budget = _wait_budget(need, progress, policy, primary_use)
    soonest = _soonest(waits, need)
    if soonest and now + soonest.seconds <= progress.started_at + budget:
        return soonest
    has_primary = any(one.name == view.primary for one in usable)
    if has_primary and not _was_behind(view.primary, progress):
        return RunAt(view.primary, need.at_least)
    latest = _soonest(_waits(usable, need, progress, policy, now), need)
    if latest and now + latest.seconds < progress.deadline:
        return latest
    if not view.is_open:
        return _await_term(view, view.term, progress, now, policy)
    return Refuse(Refusal(f"no database of group {view.name} can serve this read now"))


def _await_term(
    view: GroupView, term: int, progress: Progress, now: float, policy: RoutingPolicy
) -> Plan:
    """Return a plan that waits for a term, or a refusal once the time for it is up."""
    until = min(progress.deadline, progress.started_at + policy.term_wait_seconds)
    if now >= until:
        return Refuse(Refusal(f"group {view.name} has no primary in force"))
    return WaitForTerm(view.name, term, until - now)


def _is_usable(database: DatabaseView, progress: Progress) -> bool:
    """Return True if a database is reachable, not draining, and has not failed."""
    if database.is_draining or not database.is_reachable:
        return False
    return database.name not in progress.failed


def _is_fresh_replica(
    database: DatabaseView, view: GroupView, policy: RoutingPolicy
) -> bool:
    """Return True if a database is a replica whose lag is unknown or within bounds."""
    if database.name == view.primary:
        return False
    lag = database.lag_seconds
    return lag is None or lag <= policy.max_lag_seconds


def _was_behind(name: str, progress: Progress) -> bool:
    """Return True if a database was behind when it was sent this statement."""
    return any(database == name for database, _ in progress.behind)


def _holds(database: DatabaseView, need: Need, progress: Progress) -> bool:
    """Return True if a database is known to hold the position that a read needs."""
    if _was_behind(database.name, progress):
        return False
    return database.applied >= need.at_least


def _wait_budget(
    need: Need, progress: Progress, policy: RoutingPolicy, primary_use: float
) -> float:
    """Return the seconds, from its start, for which a read may wait for a replica."""
    timeout_seconds = progress.deadline - progress.started_at
    longest = min(policy.long_wait_seconds, policy.wait_fraction * timeout_seconds)
    shortest = min(policy.short_wait_seconds, longest)
    budget = shortest + (longest - shortest) * primary_use
    return min(budget, need.max_wait_seconds)


def _waits(
    databases: Iterable[DatabaseView],
    need: Need,
    progress: Progress,
    policy: RoutingPolicy,
    now: float,
) -> dict[str, float]:
    """Return the estimated wait in seconds for each database, by name."""
    return {
        one.name: _estimated_wait(one, need, progress, policy, now) for one in databases
    }


def _soonest(waits: Mapping[str, float], need: Need) -> WaitThen | None:
    """Return the plan with the shortest wait, or None if there is no database."""
    if not waits:
        return None
    name = min(waits, key=waits.__getitem__)
    return WaitThen(waits[name], RunAt(name, need.at_least))


def _estimated_wait(
    database: DatabaseView,
    need: Need,
    progress: Progress,
    policy: RoutingPolicy,
    now: float,
) -> float:
    """Return the estimated seconds until a database holds what a read needs."""
    lag = database.lag_seconds
    if lag is None:
        lag = policy.unknown_lag_seconds
    due = need.reached_at + lag
    for name, refused_at in progress.behind:
        if name == database.name:
            # The estimate was too small. Retry in steps that grow with the wait.
            waited = refused_at - progress.started_at
            due = max(due, refused_at + max(policy.retry_step_seconds, waited / 4))
    return max(due - now, 0.0)


def _pick(
    ready: Sequence[DatabaseView], policy: RoutingPolicy, rng: random.Random
) -> DatabaseView:
    """Return the cheaper of two databases picked at random."""
    if len(ready) == 1:
        return ready[0]
    first, second = rng.sample(ready, 2)
    if _cost(second, policy) < _cost(first, policy):
        return second
    return first


def _cost(database: DatabaseView, policy: RoutingPolicy) -> float:
    """Return the statements in a database per slot, plus a cost for another zone."""
    load = database.load
    cost = (load.executing + load.waiting) / max(load.slots, 1)
    if database.availability_zone != policy.availability_zone:
        cost += policy.other_zone_cost
    return cost
