"""Who holds connections to each endpoint, kept up to date as members come and go.

Ranking all members for every endpoint costs their product, and a statement that is
forwarded needs the answer at once. So the holders are kept: a member that joins is
ranked against the last holder of each endpoint, and only an endpoint that loses a
holder is ranked anew.
"""

from collections.abc import Iterable, Mapping

from beryltiller.membership.shares import (
    EndpointCap,
    Member,
    SharePolicy,
    holders,
    max_holders,
    rank,
    share_among,
)


class Holdings:
    """Keep the holders of every endpoint for the newest view of the members."""

    def __init__(self, policy: SharePolicy) -> None:
        """Start with no endpoint and no member."""
        self._policy = policy
        self._caps: dict[str, EndpointCap] = {}
        self._members: dict[str, Member] = {}
        self._holders: dict[str, tuple[Member, ...]] = {}

    @property
    def caps(self) -> Mapping[str, EndpointCap]:
        """Return the endpoints by name."""
        return self._caps

    def configure(self, caps: Iterable[EndpointCap]) -> None:
        """Keep the holders of these endpoints from now on."""
        wanted = {cap.name: cap for cap in caps}
        self._holders = {
            name: (
                self._holders[name]
                if self._caps.get(name) == cap
                else self._ranked(cap)
            )
            for name, cap in wanted.items()
        }
        self._caps = wanted

    def update(self, members: Iterable[Member]) -> None:
        """Adopt a view of the members."""
        before, self._members = self._members, {each.name: each for each in members}
        gone = {
            name for name, member in before.items() if self._members.get(name) != member
        }
        joined = [
            member
            for name, member in self._members.items()
            if before.get(name) != member
        ]
        for name, cap in self._caps.items():
            self._holders[name] = self._updated(cap, gone, joined)

    def holders(self, name: str) -> tuple[Member, ...]:
        """Return the holders of an endpoint, first in rank first."""
        return self._holders.get(name, ())

    def share(self, endpoint: str, name: str) -> int:
        """Return how many connections to an endpoint the member `name` may hold."""
        cap = self._caps.get(endpoint)
        if cap is None:
            return 0
        return share_among(cap, self.holders(endpoint), name, self._policy)

    def _updated(
        self, cap: EndpointCap, gone: set[str], joined: list[Member]
    ) -> tuple[Member, ...]:
        held = self._holders[cap.name]
        if any(member.name in gone for member in held):
            return self._ranked(cap)
        if len(held) < max_holders(cap, self._policy):
            return holders(cap, (*held, *joined), self._policy)
        last = rank(cap, held[-1]) if held else None
        better = [each for each in joined if last and rank(cap, each) < last]
        if not better:
            return held
        return holders(cap, (*held, *better), self._policy)

    def _ranked(self, cap: EndpointCap) -> tuple[Member, ...]:
        return holders(cap, self._members.values(), self._policy)
