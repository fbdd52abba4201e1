"""Members: the proxies known to one proxy, and their ranks for a given key.

A member is one process at one peer address. Its descriptions are ordered by
`incarnation`, which rises with each start of a process at that address, and by
`revision`, which the member raises to refute a suspicion or to announce a change.

>>> near = Member("10.0.0.2:7100", "b", "perth-a", incarnation=5)
>>> near.supersedes(Member("10.0.0.2:7100", "b", "perth-a", incarnation=4))
True
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum, unique

from xxhash import xxh64_intdigest

DEFAULT_WEIGHT = 100


@unique
class MemberState(IntEnum):
    """A member's reported state; at the same revision the greater value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A description of one proxy; `address` is its peer address as `ip:port`.

    `weight` is its capacity in hundredths of an ordinary host's.
    """

    address: str
    name: str
    availability_zone: str
    incarnation: int
    revision: int = 0
    state: MemberState = MemberState.ALIVE
    is_draining: bool = False
    weight: int = DEFAULT_WEIGHT

    @property
    def is_live(self) -> bool:
        """Return True if the member is alive, or suspected but not declared dead."""
        return self.state <= MemberState.SUSPECT

    @property
    def is_serving(self) -> bool:
        """Return True if the member accepts new work: it is live and not draining."""
        return self.is_live and not self.is_draining

    @property
    def precedence(self) -> tuple[int, int, int]:
        """The sort key by which the newer of two descriptions wins."""
        return (self.incarnation, self.revision, self.state)

    def supersedes(self, other: "Member") -> bool:
        """Return True if this description is newer than another of the same address."""
        return self.precedence > other.precedence


@dataclass(frozen=True, slots=True)
class Members:
    """An immutable view of the members, held by the proxy `me`.

    Ranks use rendezvous hashing: each key orders the members differently, and a member
    that dies changes only the ranks after its own.
    """

    me: Member
    others: tuple[Member, ...] = ()

    def __iter__(self) -> Iterator[Member]:
        """Yield this proxy, then the other members, including the dead ones."""
        yield self.me
        yield from self.others

    @property
    def live(self) -> tuple[Member, ...]:
        """The members that are alive or suspected, including draining ones."""
        return tuple(member for member in self if member.is_live)

    @property
    def serving(self) -> tuple[Member, ...]:
        """The live members that are not draining, which accept new work."""
        return tuple(member for member in self if member.is_serving)

    def in_zone(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the members of an availability zone that accept new work."""
        return tuple(
            member
            for member in self.serving
            if member.availability_zone == availability_zone
        )

    def ranked(self, key: str, availability_zone: str = "") -> tuple[Member, ...]:
        """Return the serving members of one zone, or of all, ranked for `key`."""
        members = self.in_zone(availability_zone) if availability_zone else self.serving
        return rank_members(key, members)

    def rank(self, key: str, availability_zone: str = "") -> int | None:
        """Return this proxy's rank for `key` from 0, or None if it is not serving.

        For example, the two proxies of each availability zone for which
        `Members.rank("configuration", me.availability_zone) < 2` poll the store.
        """
        for place, member in enumerate(self.ranked(key, availability_zone)):
            if member.address == self.me.address:
                return place
        return None


def rank_members(key: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members by descending rendezvous hash of `key` and their address."""
    return tuple(
        sorted(
            members,
            key=lambda member: rendezvous_hash(key, member.address),
            reverse=True,
        )
    )


def rendezvous_hash(key: str, address: str) -> int:
    """Return the rendezvous hash of a key and a member's address."""
    return xxh64_intdigest(f"{key}\0{address}".encode())
