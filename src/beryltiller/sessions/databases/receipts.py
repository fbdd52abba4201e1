"""Which commits a registered replica has received, so that a promotion keeps them.

A primary acknowledges a commit once one replica has received it, and does not say
which. A database that is not registered yet may be that one. A promoter does not fence
it or compare its log, as it knows registered databases only. So a commit is reported to
its caller once a registered replica is shown to have it, or while registered replicas
are known to receive all commits.

The functions are pure. Times are seconds on the proxy's clock.
"""

from beryltiller.core.position import Position
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import NEVER, Member

# A replica that showed this long ago to have all commits still receives them.
REPLICATION_MEMORY_SECONDS = 1.0
# After a change of the registered databases, others may be starting or ending for this
# long.
SETTLING_SECONDS = 10.0


def is_received(group: Group, source: Member, position: Position) -> bool:
    """Return True if a registered replica has a commit that `source` acknowledged.

    A replica that follows a later primary may have rolled the commit back, and one that
    was primary in the commit's term itself does not hold a copy.
    """
    return any(
        replica.shown.term == position.term and replica.shown >= position
        for replica in group.replicas
        if replica.shown is not None
        and replica is not source
        and replica.led_term != position.term
    )


def replicated_at(group: Group) -> float:
    """Return when last a registered replica had all commits of the leader.

    That is known of the time of a sample of the leader's log which the replica has
    reached, and until the replica was asked.
    """
    replicas = (each for each in group.replicas if not each.database.is_draining)
    return max((_replicated_at(group, each) for each in replicas), default=NEVER)


def needs_receipt(group: Group, follows_store: bool, now: float) -> bool:
    """Return True if a commit may be reported only once its receipt is shown.

    It need not be while the registered databases have not changed for a while, as
    known from the store, and one of them was shown to receive the leader's commits.
    """
    if not follows_store or now < group.changed_at + SETTLING_SECONDS:
        return True
    return replicated_at(group) < now - REPLICATION_MEMORY_SECONDS


def _replicated_at(group: Group, replica: Member) -> float:
    shown = replica.shown
    if shown is None or replica.led_term == shown.term:
        return NEVER
    sampled_at = (
        sample.asked_at
        for sample in group.newest_samples()
        if sample.term >= shown.term and sample.position <= shown
    )
    return min(next(sampled_at, NEVER), replica.shown_at)
