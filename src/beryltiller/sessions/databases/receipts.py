"""Whether a registered replica has received a commit, so that a promotion keeps it.

A primary acknowledges a commit once one replica has received it, and does not say
which. A database that is not registered yet may be that one. A promoter does not fence
it or compare its log, as it knows registered databases only. So a commit is reported to
its caller once a registered replica is shown to have it.

A promoter announces a change before it reads the entries for the last time. A proxy
that read a database's entry, but not the announcements made before it was written, may
count on a database that the promoter does not know. So a replica counts once this proxy
knows the announcements up to the revision of its entry.

A replica that starts again is no longer fenced, and its log may not be the one that the
promoter has compared. The promoter announced before it fenced the process that has
ended. So an answer counts once this proxy knows the announcements that were made until
the connection was opened on which it came.

Both processes must be in the group's in-sync set, if the store keeps one: a promoter
that started later accounts for those in it. The set must be known as of recently, as
others remove processes from it. Later one replica may have left it unseen, so that two
must have the commit.

The functions are pure.
"""

from beryltiller.core.position import Position
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync_set import COPIES
from beryltiller.sessions.databases.member import Member


def is_received(
    group: Group,
    source: Member,
    position: Position,
    announced_revision: int,
    announced_at: float = float("inf"),
    pending: frozenset[str] = frozenset(),
) -> bool:
    """Return True if a registered replica has a commit that `source` acknowledged.

    Announced changes of primary are known up to the revision `announced_revision`, and
    up to the moment `announced_at`. The databases in `pending` may still be promoted by
    a request of before, and must have the commit, too.
    A replica that follows a later primary may have rolled the commit back, and one that
    was primary in the commit's term itself does not hold a copy. The log of a draining
    replica is soon gone: it counts only if there is no other one.
    """
    if not (group.is_set_current and group.is_in_sync(source)):
        return False
    if not all(holds(group, name, source, position, announced_at) for name in pending):
        return False
    replicas = [
        replica
        for replica in group.replicas
        if replica.database.identifier != source.database.identifier
        and replica.led_term != position.term
        and group.is_in_sync(replica)
    ]
    lasting = [each for each in replicas if not each.database.is_draining]
    holders = [
        each
        for each in lasting or replicas
        if each.registered_revision <= announced_revision
        and _has_shown(each, position, announced_at)
    ]
    return len(holders) >= COPIES or any(map(group.counts_alone, holders))


def holds(
    group: Group,
    name: str,
    source: Member,
    position: Position,
    announced_at: float = float("inf"),
) -> bool:
    """Return True if a promotion of a database keeps a commit of `source`.

    It does if it is the source itself, or has received the commit. One without an entry
    may run, cut off from the store.
    """
    member = group.members.get(name)
    if member is None:
        return False
    return member is source or _has_shown(member, position, announced_at)


def _has_shown(member: Member, position: Position, announced_at: float) -> bool:
    """Return True if a replica has shown a commit, as a process that counts."""
    shown = member.shown_before(announced_at)
    return shown is not None and shown.term == position.term and shown >= position
