"""Probing: which member a proxy probes next.

Each proxy watches `WATCHED_MEMBERS` members, those that follow it on a hash ring of
its availability zone. Each member is therefore watched by the same number of proxies,
and the number of open connections does not grow with the number of members. Of every
`CYCLE_SLOTS` probes, two go to other members. One goes to a random member of another
availability zone. The other goes to a lost member, that is, one that is dead, or listed
but not known yet, so that the end of a partition is detected.
"""

from collections.abc import Iterable, Sequence
from typing import TypeVar

from xxhash import xxh64_intdigest

from beryltiller.membership.members import Member, rendezvous_hash

WATCHED_MEMBERS = 4
CYCLE_SLOTS = 8
_REMOTE_SLOT = 3
_LOST_SLOT = 7
_RING = "ring"

_Item = TypeVar("_Item")


def watched_members(me: Member, others: Iterable[Member]) -> tuple[str, ...]:
    """Return the addresses of the members that `me` probes regularly.

    They are its successors on the ring of its zone, then on the ring of all members
    if the zone has fewer than `WATCHED_MEMBERS`.
    """
    live = [other for other in others if other.is_live]
    local = [other for other in live if other.availability_zone == me.availability_zone]
    chosen = _successors(me, local)[:WATCHED_MEMBERS]
    if len(chosen) < WATCHED_MEMBERS:
        rest = [address for address in _successors(me, live) if address not in chosen]
        chosen += rest[: WATCHED_MEMBERS - len(chosen)]
    return tuple(chosen)


def is_remote_slot(turn: int) -> bool:
    """Return True if this turn's probe goes to another availability zone."""
    return turn % CYCLE_SLOTS == _REMOTE_SLOT


def is_lost_slot(turn: int) -> bool:
    """Return True if this turn's probe goes to a dead or unknown member."""
    return turn % CYCLE_SLOTS == _LOST_SLOT


def remote_members(me: Member, others: Iterable[Member]) -> list[str]:
    """Return the addresses of the live members outside the zone of `me`.

    If there are none, return those of all live members.
    """
    live = [other for other in others if other.is_live]
    remote = [
        other for other in live if other.availability_zone != me.availability_zone
    ]
    return [other.address for other in remote or live]


def pick(items: Sequence[_Item], seed: int, turn: int, purpose: str) -> _Item:
    """Return a pseudo-random one of the items, always the same for equal arguments."""
    return items[xxh64_intdigest(f"{seed}:{turn}:{purpose}".encode()) % len(items)]


def sample(
    items: Sequence[_Item], count: int, seed: int, turn: int, purpose: str
) -> list[_Item]:
    """Return up to `count` different items, pseudo-randomly as in `pick`."""
    left = list(items)
    chosen: list[_Item] = []
    while left and len(chosen) < count:
        chosen.append(pick(left, seed, turn, f"{purpose}{len(chosen)}"))
        left.remove(chosen[-1])
    return chosen


def _successors(me: Member, others: Iterable[Member]) -> list[str]:
    origin = rendezvous_hash(_RING, me.address)
    places = sorted(
        (rendezvous_hash(_RING, other.address), other.address) for other in others
    )
    after = [address for place, address in places if place > origin]
    before = [address for place, address in places if place <= origin]
    return after + before
