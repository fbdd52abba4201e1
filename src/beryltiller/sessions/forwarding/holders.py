"""Holders: the proxies that connect to a service's databases, for all others.

Where a database accepts fewer connections than there are proxies, or pairs of proxy
and organisation, only some proxies of each availability zone connect to it. Proxies
with the same view of the members choose the same ones without a message. Where views
differ, a proxy that is no holder in its own view still runs what it is sent, and the
database's own cap limits the connections.

Holders are ranked by weighted rendezvous hashing: a member that joins or leaves moves
only its own part, and a host of twice the weight is chosen twice as often.
"""

import math
from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from beryltiller.membership.members import Member

# Each holder may have at least this many connections to a database. Transactions keep
# connections between their statements, and a few large pools run out less often than
# many small ones.
MIN_CONNECTIONS = 10
# The fraction of a database's connection limit that its holders use. The rest is for
# status queries and commands, and for proxies with another view of the members.
HELD_SHARE = 0.9
_HASH_RANGE = 1 << 64


def is_forwarded(max_connections: int, proxies: int, organisations: int) -> bool:
    """Return True if a database accepts too few connections for all proxies.

    Connections are not shared between organisations, so each proxy needs one for each.

    >>> is_forwarded(46, proxies=83, organisations=0)
    True
    >>> is_forwarded(46, proxies=5, organisations=0)
    False
    """
    return max_connections < proxies * max(1, organisations)


def holders(
    service: str, max_connections: int, members: Iterable[Member], zones: int
) -> tuple[Member, ...]:
    """Return the members of one region that hold connections, in order of rank.

    `members` are those of the region that serve, and `zones` is the number of its
    availability zones. Each zone has holders of its own, so that it is still served
    when it is cut off from the others.
    """
    per_zone = max(1, max_connections // MIN_CONNECTIONS // zones)
    by_zone: dict[str, list[Member]] = {}
    for member in rank(service, members):
        chosen = by_zone.setdefault(member.availability_zone, [])
        if len(chosen) < per_zone:
            chosen.append(member)
    found = [member for chosen in by_zone.values() for member in chosen]
    return rank(service, found)


def share(max_connections: int, holding: int) -> int:
    """Return how many connections to a database each of the holders may have.

    >>> share(46, holding=3)
    13
    """
    return max(1, int(max_connections * HELD_SHARE) // max(1, holding))


def rank(key: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members ranked for a key by weighted rendezvous hashing."""
    return tuple(sorted(members, key=lambda member: _cost(key, member)))


def _cost(key: str, member: Member) -> float:
    """Return a value that is lowest with a probability in proportion to the weight."""
    digest = xxh3_64_intdigest(f"{key}\0{member.address}".encode())
    return -math.log((digest + 1) / _HASH_RANGE) / member.weight
