"""Dissemination: which membership updates to send with each probe.

Each update is sent a number of times that grows with the logarithm of the number of
members, the least sent first, so that it reaches all of them with high probability.
The bytes of updates in one message are limited, so the size of a message does not
depend on the number of members.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from beryltiller.membership.members import Member, MemberState
from beryltiller.membership.messages import MemberEntry

MEMBER_UPDATE_BYTES = 280  # at most, for the updates selected for one message
MAX_ENDPOINT_UPDATES = 4
_ENTRY_OVERHEAD_BYTES = 25  # of an encoded entry, besides its three text fields
_SENDS_PER_DOUBLING = 3  # sends of an update, for each doubling of the members


@dataclass(frozen=True, slots=True)
class PendingUpdates:
    """The updates still to be sent, with how often each one was sent so far.

    `members` is keyed by peer address, `endpoints` by the key of the endpoint's note.
    """

    members: Mapping[str, int] = field(default_factory=dict)
    endpoints: Mapping[str, int] = field(default_factory=dict)


def add_member_update(pending: PendingUpdates, address: str) -> PendingUpdates:
    """Return the updates with one for a member, as not sent yet."""
    return replace(pending, members={**pending.members, address: 0})


def add_endpoint_update(pending: PendingUpdates, note_key: str) -> PendingUpdates:
    """Return the updates with one for an endpoint's note, as not sent yet."""
    return replace(pending, endpoints={**pending.endpoints, note_key: 0})


def select_updates(
    pending: PendingUpdates, members: Mapping[str, Member], size: int
) -> tuple[PendingUpdates, tuple[Member, ...], tuple[str, ...]]:
    """Return the updates still to be sent, and the members and note keys to send now.

    `size` is the number of members. Updates that have been sent often enough for that
    number are removed.
    """
    if not pending.members and not pending.endpoints:
        return pending, (), ()
    limit = _SENDS_PER_DOUBLING * math.ceil(math.log2(size + 1))
    selected = tuple(_within_budget(_least_sent(pending.members), members))
    note_keys = tuple(_least_sent(pending.endpoints)[:MAX_ENDPOINT_UPDATES])
    sent = (member.address for member in selected)
    left = PendingUpdates(
        _count_sent(pending.members, sent, limit),
        _count_sent(pending.endpoints, note_keys, limit),
    )
    return left, selected, note_keys


def to_entry(member: Member) -> MemberEntry:
    """Return the wire format of a member's description."""
    return MemberEntry(
        member.address,
        member.name,
        member.availability_zone,
        member.incarnation,
        member.revision,
        int(member.state),
        member.is_draining,
        member.weight,
    )


def from_entry(entry: MemberEntry) -> Member:
    """Return the member that an entry from a message describes."""
    return Member(
        entry.address,
        entry.name,
        entry.availability_zone,
        entry.incarnation,
        entry.revision,
        MemberState(entry.state),
        entry.is_draining,
        entry.weight,
    )


def _least_sent(counts: Mapping[str, int]) -> list[str]:
    return sorted(counts, key=counts.__getitem__)


def _within_budget(
    addresses: Iterable[str], members: Mapping[str, Member]
) -> Iterable[Member]:
    budget = MEMBER_UPDATE_BYTES
    for address in addresses:
        member = members.get(address)
        if member is None:
            continue
        budget -= _size(member)
        if budget < 0:
            return
        yield member


def _size(member: Member) -> int:
    text = len(member.address) + len(member.name) + len(member.availability_zone)
    return text + _ENTRY_OVERHEAD_BYTES


def _count_sent(
    counts: Mapping[str, int], sent: Iterable[str], limit: int
) -> Mapping[str, int]:
    left = dict(counts)
    for key in sent:
        left[key] += 1
        if left[key] >= limit:
            del left[key]
    return left
