"""Shares: which proxies hold connections to an endpoint, and how many.

Proxies without connections forward their statements to one of these holders.

Each function depends only on the endpoint and the membership view, so that proxies
with the same view agree without a message. The members of the view are ranked by
rendezvous hashing, those of the endpoint's availability zone before others, and the
first in rank hold connections.

Each holder's share is the cap divided by one more than the number of holders. The
remainder is a reserve. While some proxies have seen a member join or leave and others
have not, let h be the larger number of holders. Then h - 1 holders have at most cap / h
connections each, and the member on which the views differ has cap / (h + 1); the sum is
less than the cap. With views that differ by more members, as in a partition, the sum
may exceed the cap. The database then refuses the connection, which proves that nothing
ran.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from functools import partial
from heapq import nsmallest
from typing import Protocol

from xxhash import xxh3_64_intdigest


class Member(Protocol):
    """The attributes of a proxy that shares depend on, as `members.Member` has them.

    `name` is unique.
    """

    @property
    def name(self) -> str:
        """The proxy's host name."""
        ...

    @property
    def availability_zone(self) -> str:
        """The availability zone that the proxy runs in."""
        ...

    @property
    def address(self) -> str:
        """The proxy's peer address as `ip:port`."""
        ...


@dataclass(frozen=True, slots=True)
class EndpointCap:
    """An endpoint, with its availability zone and its limit on connections."""

    name: str
    availability_zone: str
    connection_cap: int


@dataclass(frozen=True, slots=True)
class SharePolicy:
    """Parameters of the division of an endpoint's cap among its holders.

    The cap is divided as if there were `spare_holders` more holders; that is the number
    of members by which two views may differ without exceeding the cap. The number of
    holders is limited so that each gets at least `minimum_share` connections.
    """

    spare_holders: int = 1
    minimum_share: int = 3


_DEFAULT_POLICY = SharePolicy()


def holders(
    endpoint: EndpointCap,
    members: Iterable[Member],
    policy: SharePolicy = _DEFAULT_POLICY,
) -> tuple[Member, ...]:
    """Return the members that hold connections to an endpoint, in order of rank.

    When a member leaves the view, at most one other member becomes a holder.
    """
    limit = max_holders(endpoint, policy)
    return tuple(nsmallest(limit, members, key=partial(rank_key, endpoint)))


def max_holders(endpoint: EndpointCap, policy: SharePolicy = _DEFAULT_POLICY) -> int:
    """Return how many members may hold connections; at least 1 unless the cap is 0."""
    if endpoint.connection_cap < 1:
        return 0
    limit = endpoint.connection_cap // policy.minimum_share - policy.spare_holders
    return max(limit, 1)


def share(
    endpoint: EndpointCap,
    members: Iterable[Member],
    name: str,
    policy: SharePolicy = _DEFAULT_POLICY,
) -> int:
    """Return how many connections the member `name` may hold.

    The result is 0 for a member that is no holder, as most are in a large view.
    """
    return share_among(endpoint, holders(endpoint, members, policy), name, policy)


def share_among(
    endpoint: EndpointCap,
    holding_members: Sequence[Member],
    name: str,
    policy: SharePolicy = _DEFAULT_POLICY,
) -> int:
    """Return how many connections the member `name` may hold, given the holders.

    A holder may always have at least one connection, even if the cap is too small to
    leave a reserve.
    """
    if all(member.name != name for member in holding_members):
        return 0
    return max(
        1, endpoint.connection_cap // (len(holding_members) + policy.spare_holders)
    )


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
    holding_members: Iterable[Member], sender: Member, unreachable: Collection[str] = ()
) -> Member | None:
    """Return the holder that `sender` forwards to, or None if there is no other.

    Holders in the sender's availability zone are preferred. Within a zone the hash of
    sender and holder decides, so that senders spread over the holders. `unreachable`
    names holders that the sender recently failed to reach. A statement is forwarded
    once only: the target, a holder in the sender's view, must not forward it again.
    """
    choices = [
        member
        for member in holding_members
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


def rank_key(endpoint: EndpointCap, member: Member) -> tuple[bool, int, str]:
    """Return the sort key of a member for an endpoint.

    The members with the least keys hold the connections.
    """
    is_remote = member.availability_zone != endpoint.availability_zone
    return is_remote, _hash(endpoint.name, member.name), member.name


def _hash(first: str, second: str) -> int:
    return xxh3_64_intdigest(f"{first}\0{second}".encode())
