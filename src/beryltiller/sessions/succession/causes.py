"""The reasons to claim the promotion duty, and how long each must have lasted.

Each also tells since when the primary may have been cut off.
"""

from beryltiller.sessions.succession.events import (
    Cause,
    GroupView,
)
from beryltiller.sessions.succession.times import MAX_ENTRY_SILENCE_SECONDS

# A primary is replaced once it has been failing for this long.
FAILING_SECONDS = 0.3
# A primary that answers but acknowledges no write is replaced after this time.
STALLED_SECONDS = 0.5
# A primary whose replicas all lag too far to serve reads is replaced by one of them
# after it has been overloaded for this long.
OVERLOADED_ALONE_SECONDS = 0.5
# A replica is promoted in a service without a primary after this time. Registry entries
# that lapsed by mistake have returned by then, also for a process that just started.
PRIMARYLESS_SECONDS = 4.0
# A single replica is promoted after this time by a process that has seen no primary of
# its group: the primary and another replica may have lost no more than their entries.
LONE_REPLICA_SECONDS = 20.0
# Fences of a primary that works are lifted once they have been seen for this long. That
# is more than a succession takes.
FENCED_SECONDS = 2.0


def cause_of_claim(view: GroupView, now: float) -> Cause | None:
    """Return why the promotion duty must be claimed, or None if it need not be."""
    cause = replacement_cause(view, now)
    if cause is not None:
        return cause
    is_left = view.leader and _has_lasted(view.fenced_since, now, FENCED_SECONDS)
    return Cause.FENCES_LEFT if is_left else None


def replacement_cause(view: GroupView, now: float) -> Cause | None:
    """Return why a group's primary must be replaced, or None if it need not be."""
    if not view.replicas:
        return None
    if view.leader is None:
        is_lone = view.leader_healthy_until is None and len(view.replicas) == 1
        seconds = LONE_REPLICA_SECONDS if is_lone else PRIMARYLESS_SECONDS
        is_due = _has_lasted(view.primaryless_since, now, seconds)
        return Cause.NO_PRIMARY if is_due else None
    if _has_lasted(view.failing_since, now, FAILING_SECONDS):
        return Cause.FAILING
    if _has_lasted(view.stalled_since, now, STALLED_SECONDS):
        return Cause.STALLED
    if all(replica in view.draining for replica in view.replicas):
        return None
    if view.is_leader_draining:
        return Cause.LEAVING
    if _has_lasted(view.overloaded_alone_since, now, OVERLOADED_ALONE_SECONDS):
        return Cause.REPLICAS_LAG
    return None


def possible_partition_start(view: GroupView, cause: Cause, now: float) -> float:
    """Return the earliest time at which a partition may have cut off the primary."""
    match cause:
        case Cause.LEAVING | Cause.REPLICAS_LAG:
            return now
        case Cause.NO_PRIMARY if view.leader_healthy_until is None:
            since = now if view.primaryless_since is None else view.primaryless_since
            return since - MAX_ENTRY_SILENCE_SECONDS
    times = (view.failing_since, view.stalled_since, view.leader_healthy_until)
    return min((since for since in times if since is not None), default=now)


def _has_lasted(since: float | None, now: float, seconds: float) -> bool:
    return since is not None and now - since >= seconds
