"""News: what rides on each probe, within a bound of bytes.

Each piece is sent a number of times that grows with the logarithm of the number of
members, the least sent first, so that it reaches all of them with high probability
while the size of a message stays the same for any number of members.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from beryltiller.membership.members import Member, MemberState
from beryltiller.membership.messages import MemberEntry

MEMBER_NEWS_BYTES = 280
MAX_ENDPOINT_NEWS = 4
_ENTRY_OVERHEAD_BYTES = 22
_SENDS_PER_DOUBLING = 3


@dataclass(frozen=True, slots=True)
class News:
    """Count how often each piece was sent, by member address and endpoint name."""

    members: Mapping[str, int] = field(default_factory=dict)
    endpoints: Mapping[str, int] = field(default_factory=dict)


def add_member(news: News, address: str) -> News:
    """Return the news with a member's change as its newest piece."""
    return replace(news, members={**news.members, address: 0})


def add_endpoint(news: News, name: str) -> News:
    """Return the news with an endpoint's change as its newest piece."""
    return replace(news, endpoints={**news.endpoints, name: 0})


def take(
    news: News, members: Mapping[str, Member], size: int
) -> tuple[News, tuple[Member, ...], tuple[str, ...]]:
    """Return the members and endpoints to send now, and the news left over."""
    if not news.members and not news.endpoints:
        return news, (), ()
    limit = _SENDS_PER_DOUBLING * math.ceil(math.log2(size + 1))
    picked = tuple(_within_budget(_least_sent(news.members), members))
    names = tuple(_least_sent(news.endpoints)[:MAX_ENDPOINT_NEWS])
    sent = (member.address for member in picked)
    left = News(_count(news.members, sent, limit), _count(news.endpoints, names, limit))
    return left, picked, names


def to_entry(member: Member) -> MemberEntry:
    """Return a member's description as it travels."""
    return MemberEntry(
        member.address,
        member.name,
        member.availability_zone,
        member.incarnation,
        member.revision,
        int(member.state),
        member.is_draining,
    )


def from_entry(entry: MemberEntry) -> Member:
    """Return the member that an entry describes."""
    return Member(
        entry.address,
        entry.name,
        entry.availability_zone,
        entry.incarnation,
        entry.revision,
        MemberState(entry.state),
        entry.is_draining,
    )


def _least_sent(counts: Mapping[str, int]) -> list[str]:
    return sorted(counts, key=counts.__getitem__)


def _within_budget(
    addresses: Iterable[str], members: Mapping[str, Member]
) -> Iterable[Member]:
    budget = MEMBER_NEWS_BYTES
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


def _count(
    counts: Mapping[str, int], sent: Iterable[str], limit: int
) -> Mapping[str, int]:
    left = dict(counts)
    for key in sent:
        left[key] += 1
        if left[key] >= limit:
            del left[key]
    return left
