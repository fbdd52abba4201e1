"""What a log line says of a change of the leader, from what the group shows then."""

from beryltiller.observability import session_events
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member


def leader_change(group: Group, former: Member | None) -> session_events.LeaderChanged:
    """Return the event of a change from `former` to the group's present leader."""
    leader = group.leader
    return session_events.LeaderChanged(
        group.service,
        leader.database.identifier if leader else "",
        leader.reported_primary_term if leader else 0,
        group.term,
        _why_taken(leader) if leader else "",
        former.database.identifier if former else "",
        _why_lost(group, former) if former else "",
    )


def _why_taken(leader: Member) -> str:
    if not leader.reported_primary_term:
        return "entry"
    return "entry and answer" if leader.database.is_primary else "answer"


def _why_lost(group: Group, former: Member) -> str:
    """Return why a database does not lead any more; the first that applies.

    A claim by its entry that it is a replica comes after what it answered itself.
    """
    present = group.members.get(former.database.identifier)
    if present is None:
        return "entry gone"
    if present is not former:
        return "started anew"
    if former.has_denied_lead:
        return "denied by a status or refusal"
    if not former.claims_lead:
        return "entry of a replica"
    if 0 < former.reported_primary_term < group.term:
        return "newer term"
    return "another became primary later"
