"""Changes of a group's in-sync set: which process joins it, and which one leaves.

A process joins once it has caught up with the primary. It leaves in two steps. First it
is marked as leaving: no receipt of it counts any more, and promoters still account for
it. It is removed once it has ended, or no proxy counts it any more, and two others hold
all that was acknowledged until then. Proxies that have not read the mark count receipts
on connections that were opened before it, which end with the process, and for no longer
than `SET_LEASE_SECONDS`.

The functions are pure.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from beryltiller.core.position import Position
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.in_sync_set import (
    COPIES,
    InSyncProcess,
    InSyncSet,
    process_key,
    process_of,
)
from beryltiller.sessions.databases.member import Member


@dataclass(frozen=True, slots=True)
class InSyncChange:
    """Processes that join a set, are marked as leaving, or are removed from it."""

    joining: tuple[InSyncProcess, ...] = ()
    leaving: tuple[InSyncProcess, ...] = ()
    removed: tuple[InSyncProcess, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Return True if nothing changes."""
        return not (self.joining or self.leaving or self.removed)

    @property
    def zones(self) -> set[str]:
        """Return the availability zones of the processes."""
        changed = (*self.joining, *self.leaving, *self.removed)
        return {each.availability_zone for each in changed}

    def apply(self, present: InSyncSet) -> InSyncSet:
        """Return a set with this change, whatever else has changed in it since.

        >>> old = InSyncProcess("d", 1, "h:1", "a", 2, is_leaving=True)
        >>> new = InSyncProcess("d", 2, "h:1", "a", 2)
        >>> change = InSyncChange(joining=(new,), removed=(old,))
        >>> [each.incarnation for each in change.apply(InSyncSet((old,))).processes]
        [2]
        """
        left = {process_key(each): each for each in present.processes}
        for each in self.leaving:
            if process_key(each) in left:
                left[process_key(each)] = each
        for each in self.removed:
            # One that is not marked any more has come back.
            if left.get(process_key(each)) == each:
                del left[process_key(each)]
        for each in self.joining:
            left[process_key(each)] = each
        in_order = sorted(left, key=lambda key: (left[key].has_lapsed, key))
        return InSyncSet(tuple(left[key] for key in in_order))


def is_settled(group: Group, lapsed: frozenset[str]) -> bool:
    """Return True if the set has exactly the processes that are registered now."""
    present, members = group.in_sync, group.members
    if present is None or len(present.processes) != len(members):
        return False
    return all(
        not each.is_leaving
        and (member := members.get(each.identifier)) is not None
        and each.is_of(member.database)
        and not member.database.is_draining
        and each.identifier not in lapsed
        for each in present.processes
    )


def due_change(group: Group, lapsed: frozenset[str] = frozenset()) -> InSyncChange:
    """Return which processes join a group's set now, and which are marked as leaving.

    One that drains, or whose entry has `lapsed` a moment ago, is marked early if enough
    others are left: it is then removed as soon as it has ended. Nothing changes without
    a primary that has shown that it leads.
    """
    present = group.in_sync
    leader = group.leader
    if present is None or leader is None or leader.lead is None:
        return InSyncChange()
    registered = [each.database for each in group.members.values()]
    lasting = [
        each
        for each in registered
        if each.identifier not in lapsed and not each.is_draining
    ]
    others = [each for each in lasting if present.counts(each)]
    is_early = leader.database in others and len(others) >= COPIES
    staying = lasting if is_early else registered
    joining = tuple(
        process_of(each.database)
        for each in group.members.values()
        if each.database in lasting
        and not present.counts(each.database)
        and is_caught_up(group, each)
    )
    draining = [each for each in registered if each.is_draining]
    reporting = [each for each in registered if each.identifier not in lapsed]
    leaving = []
    for each in present.processes:
        marked = replace(
            each,
            is_leaving=True,
            has_drained=any(map(each.is_of, draining)) or each.has_drained,
            has_lapsed=not any(map(each.is_of, reporting)),
        )
        if marked != each and not any(map(each.is_of, staying)):
            leaving.append(marked)
    return InSyncChange(joining, tuple(leaving))


def is_caught_up(group: Group, member: Member) -> bool:
    """Return True if a log reaches the primary's as of when its lead became known.

    One that drains does not join, as it is gone soon.
    """
    leader = group.leader
    if leader is None or leader.lead is None:
        return False
    if member is leader:
        return True
    shown = member.shown_before(float("inf"))
    is_reached = shown is not None and shown >= leader.lead.log_end
    return is_reached and not member.database.is_draining


def lagging_candidates(group: Group) -> tuple[Member, ...]:
    """Return the replicas that could join the set if they showed to have caught up."""
    present = group.in_sync
    if present is None:
        return ()
    return tuple(
        each
        for each in group.replicas
        if not each.database.is_draining
        and not present.counts(each.database)
        and not is_caught_up(group, each)
    )


def is_held_by_others(
    group: Group, leaving: Iterable[InSyncProcess], log_end: Position
) -> bool:
    """Return True if enough logs of the set reach the primary's, without those leaving.

    `log_end` is the end of the primary's log, which holds all that was acknowledged
    until it was asked for it.
    """
    present, leader = group.in_sync, group.leader
    if present is None or leader is None or not present.counts(leader.database):
        return False
    without = set(leaving)
    others = [
        each
        for each in group.replicas
        if present.counts(each.database) and present.find(each.database) not in without
    ]
    known_at = group.announced.at
    reached = [
        each
        for each in others
        if (shown := each.shown_before(known_at)) is not None and shown >= log_end
    ]
    return 1 + len(reached) >= COPIES
