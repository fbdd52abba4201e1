"""The members that hold connections to each endpoint, updated incrementally.

Ranking all members for every endpoint takes time in proportion to the product of
their numbers, and forwarding a statement needs the result at once. So the holders are
cached: a member that joins is ranked against the last holder of each endpoint, and
all members are ranked again only for an endpoint that loses a holder.
"""

from collections.abc import Iterable, Mapping

from beryltiller.membership.shares import (
    EndpointCap,
    Member,
    SharePolicy,
    holders,
    max_holders,
    rank_key,
    share_among,
)


class HolderCache:
    """A cache of the holders of every endpoint, for the newest view of the members."""

    def __init__(self, policy: SharePolicy) -> None:
        """Create a cache without endpoints or members; `policy` divides the caps."""
        self._policy = policy
        self._caps: dict[str, EndpointCap] = {}
        self._members: dict[str, Member] = {}
        self._holders: dict[str, tuple[Member, ...]] = {}

    @property
    def caps(self) -> Mapping[str, EndpointCap]:
        """The configured endpoints with their connection caps, by name."""
        return self._caps

    def configure(self, caps: Iterable[EndpointCap]) -> None:
        """Replace the endpoints; only new or changed ones are ranked again."""
        new_caps = {cap.name: cap for cap in caps}
        self._holders = {
            name: (
                self._holders[name]
                if self._caps.get(name) == cap
                else self._rank_holders(cap)
            )
            for name, cap in new_caps.items()
        }
        self._caps = new_caps

    def update(self, members: Iterable[Member]) -> None:
        """Replace the view of the members, and update the holders where it changed."""
        before, self._members = self._members, {each.name: each for each in members}
        removed = {
            name for name, member in before.items() if self._members.get(name) != member
        }
        joined = [
            member
            for name, member in self._members.items()
            if before.get(name) != member
        ]
        for name, cap in self._caps.items():
            self._holders[name] = self._update_holders(cap, removed, joined)

    def holders(self, name: str) -> tuple[Member, ...]:
        """Return the holders of an endpoint in order of rank; none if it is unknown."""
        return self._holders.get(name, ())

    def share(self, endpoint: str, name: str) -> int:
        """Return how many connections to an endpoint the member `name` may hold.

        The result is 0 for an unknown endpoint and for a member that is no holder.
        """
        cap = self._caps.get(endpoint)
        if cap is None:
            return 0
        return share_among(cap, self.holders(endpoint), name, self._policy)

    def _update_holders(
        self, cap: EndpointCap, removed: set[str], joined: list[Member]
    ) -> tuple[Member, ...]:
        current = self._holders[cap.name]
        if any(member.name in removed for member in current):
            return self._rank_holders(cap)
        if len(current) < max_holders(cap, self._policy):
            return holders(cap, (*current, *joined), self._policy)
        last = rank_key(cap, current[-1]) if current else None
        better = [each for each in joined if last and rank_key(cap, each) < last]
        if not better:
            return current
        return holders(cap, (*current, *better), self._policy)

    def _rank_holders(self, cap: EndpointCap) -> tuple[Member, ...]:
        return holders(cap, self._members.values(), self._policy)
