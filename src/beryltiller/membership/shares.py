"""Shares: who holds connections to an endpoint, how many, and who forwards to whom.

Each function is pure in the endpoint and the membership view, so that proxies with
the same view agree without a message. Every member of the view is ranked by
rendezvous hashing, those of the endpoint's availability zone before others, and the
first in rank hold connections.

Each holder's share is the cap divided by one holder more than there are. What is left
over is the reserve: while some proxies have seen a member come or go and others have
not, h - 1 of them hold at most cap / h each and the one in doubt cap / (h + 1), which
is less than the cap. Views that differ by more, as in a partition, may pass it; then
the database refuses, which proves that nothing ran.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from heapq import nsmallest
from typing import Protocol

from xxhash import xxh3_64_intdigest


class Member(Protocol):
    """Describe a proxy in the membership view; `name` is unique."""

    @property
    def name(self) -> str:
        """Return the proxy's name."""
        ...

    @property
    def availability_zone(self) -> str:
        """Return the proxy's availability zone."""
        ...

    @property
    def address(self) -> str:
        """Return where peers reach the proxy, as `ip:port`."""
        ...


@dataclass(frozen=True, slots=True)
class EndpointCap:
    """Name an endpoint, its availability zone and its cap on connections."""

    name: str
    availability_zone: str
    connection_cap: int


@dataclass(frozen=True, slots=True)
class SharePolicy:
    """Configure how a cap is divided.

    `spare_holders` is how many members two views may differ by. No more members hold
    connections than leave each `minimum_share`.
    """

    spare_holders: int = 1
    minimum_share: int = 3


_DEFAULT_POLICY = SharePolicy()


def holders(
    endpoint: EndpointCap,
    members: Iterable[Member],
    policy: SharePolicy = _DEFAULT_POLICY,
) -> tuple[Member, ...]:
    """Return the members that hold connections to an endpoint, first in rank first.

    When a member leaves the view, one other member at most becomes a holder.
    """
    most = max_holders(endpoint, policy)
    return tuple(nsmallest(most, members, key=partial(rank, endpoint)))


def max_holders(endpoint: EndpointCap, policy: SharePolicy = _DEFAULT_POLICY) -> int:
    """Return how many members may hold connections to an endpoint."""
    if endpoint.connection_cap < 1:
        return 0
    most = endpoint.connection_cap // policy.minimum_share - policy.spare_holders
    return max(most, 1)


def share(
    endpoint: EndpointCap,
    members: Iterable[Member],
    name: str,
    policy: SharePolicy = _DEFAULT_POLICY,
) -> int:
    """Return how many connections the member `name` may hold; 0 for most at size."""
    return share_among(endpoint, holders(endpoint, members, policy), name, policy)


def share_among(
    endpoint: EndpointCap,
    held_by: Sequence[Member],
    name: str,
    policy: SharePolicy = _DEFAULT_POLICY,
) -> int:
    """Return how many connections the member `name` may hold, given the holders.

    A holder always has one connection at least, also where the cap is too small to
    leave a reserve.
    """
    if all(member.name != name for member in held_by):
        return 0
    return max(1, endpoint.connection_cap // (len(held_by) + policy.spare_holders))


def forward_target(
    endpoint: EndpointCap,
    members: Iterable[Member],
    sender: Member,
    unreachable: Collection[str] = (),
    policy: SharePolicy = _DEFAULT_POLICY,
) -> Member | None:
    """Return the holder that a member without connections forwards to, or None."""
    return choose_holder(holders(endpoint, members, policy), sender, unreachable)


def choose_holder(
    held_by: Iterable[Member], sender: Member, unreachable: Collection[str] = ()
) -> Member | None:
    """Return the holder that `sender` forwards to, or None if there is no other.

    Holders in the sender's availability zone come first. Among those of one zone the
    sender's own hash decides, so that senders spread over them. `unreachable` names
    holders that the sender could not reach of late. One hop is enough: the target is
    a holder in the sender's view, and must not forward again.
    """
    choices = [
        member
        for member in held_by
        if member.name != sender.name and member.name not in unreachable
    ]
    if not choices:
        return None
    zone = sender.availability_zone
    return min(
        choices,
        key=lambda member: (
            member.availability_zone != zone,
            _hash(sender.name, member.name),
        ),
    )


def rank(endpoint: EndpointCap, member: Member) -> tuple[bool, int, str]:
    """Return the place of a member for an endpoint; the least holds connections."""
    is_remote = member.availability_zone != endpoint.availability_zone
    return is_remote, _hash(endpoint.name, member.name), member.name


def _hash(first: str, second: str) -> int:
    return xxh3_64_intdigest(f"{first}\0{second}".encode())
