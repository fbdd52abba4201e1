"""Members: the proxies known to one proxy, and how they share out work.

A member is one process behind one peer address. Its own word is ordered by
`incarnation`, which rises with each start of a process at that address, and by
`revision`, which the member raises to refute a suspicion or to tell of a change.

>>> near = Member("10.0.0.2:7100", "b", "perth-a", incarnation=5)
>>> near.supersedes(Member("10.0.0.2:7100", "b", "perth-a", incarnation=4))
True
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum, unique

from xxhash import xxh64_intdigest


@unique
class MemberState(IntEnum):
    """Order what may be said of a member at one revision; the greater one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """Describe one proxy; `address` is its peer address as `ip:port`."""

    address: str
    name: str
    availability_zone: str
    incarnation: int
    revision: int = 0
    state: MemberState = MemberState.ALIVE
    is_draining: bool = False

    @property
    def is_live(self) -> bool:
        """Tell whether the member counts as running; a suspect one still does."""
        return self.state <= MemberState.SUSPECT

    @property
    def is_serving(self) -> bool:
        """Tell whether the member takes new work."""
        return self.is_live and not self.is_draining

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key by which the newest of two descriptions wins."""
        return (self.incarnation, self.revision, self.state)

    def supersedes(self, other: "Member") -> bool:
        """Tell whether this description is newer than another of the same address."""
        return self.order > other.order


@dataclass(frozen=True, slots=True)
class Members:
    """Hold an immutable view of the members, as seen by `me`.

    Ranks use rendezvous hashing: each key orders the members differently, and a
    member's death moves only the ranks behind it.
    """

    me: Member
    others: tuple[Member, ...] = ()

    def __iter__(self) -> Iterator[Member]:
        """Yield this proxy and the other members, the dead ones too."""
        yield self.me
        yield from self.others

    @property
    def live(self) -> tuple[Member, ...]:
        """Return the members that count as running."""
        return tuple(member for member in self if member.is_live)

    @property
    def serving(self) -> tuple[Member, ...]:
        """Return the members that take new work."""
        return tuple(member for member in self if member.is_serving)

    def in_zone(self, availability_zone: str) -> tuple[Member, ...]:
        """Return the members of an availability zone that take new work."""
        return tuple(
            member
            for member in self.serving
            if member.availability_zone == availability_zone
        )

    def ranked(self, key: str, availability_zone: str = "") -> tuple[Member, ...]:
        """Return the serving members, of one zone or of all, best for `key` first."""
        members = self.in_zone(availability_zone) if availability_zone else self.serving
        return rank_members(key, members)

    def rank(self, key: str, availability_zone: str = "") -> int | None:
        """Return this proxy's place for `key` from 0, or None when it has none.

        With `Members.rank("configuration", me.availability_zone) < 2`, the first
        two proxies of each availability zone poll the store.
        """
        for place, member in enumerate(self.ranked(key, availability_zone)):
            if member.address == self.me.address:
                return place
        return None


def rank_members(key: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members ordered by rendezvous hash for a key."""
    return tuple(
        sorted(members, key=lambda member: score(key, member.address), reverse=True)
    )


def score(key: str, address: str) -> int:
    """Return the hash of a key and an address."""
    return xxh64_intdigest(f"{key}\0{address}".encode())
