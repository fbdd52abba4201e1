"""The forwarding plan of one proxy: which services it forwards, and to whom.

It follows from the view of the members and the configuration, without any I/O. Times
are seconds on the caller's clock, passed in.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from beryltiller.membership.members import Member, Members
from beryltiller.sessions.databases.catalog import Configuration, Service
from beryltiller.sessions.databases.regions import Regions
from beryltiller.sessions.forwarding import holders

# For how long the highest number of proxies counts. Without it, the proxies on one side
# of a partition would see few others and all connect to the databases at once.
COUNT_MEMORY_SECONDS = 600.0


class ProxyCount:
    """The largest number of proxies seen within `COUNT_MEMORY_SECONDS`."""

    def __init__(self) -> None:
        """Start before any proxy was seen."""
        self._counts: deque[tuple[float, int]] = deque()

    def record(self, count: int, now: float) -> None:
        """Record how many proxies are seen at `now`."""
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))

    def largest(self, now: float) -> int:
        """Return the largest number of proxies seen lately, or 0."""
        while len(self._counts) > 1 and self._is_old(now):
            self._counts.popleft()
        return self._counts[0][1] if self._counts else 0

    def _is_old(self, now: float) -> bool:
        """Return True if the oldest count was replaced by a lower one long ago."""
        return self._counts[1][0] < now - COUNT_MEMORY_SECONDS


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """The holders of a service by region, and how many connections each may have.

    `share` is the number of connections to a database that each holder may have. With
    `is_forwarded` False, each proxy runs its statements itself.
    """

    is_forwarded: bool
    by_region: Mapping[str, tuple[Member, ...]] = field(default_factory=dict)
    share: int = 0

    def holds(self, member: Member) -> bool:
        """Return True if a member connects to the service's databases."""
        if not self.is_forwarded:
            return True
        return any(
            member.address == each.address
            for region in self.by_region.values()
            for each in region
        )


NOT_FORWARDED = ServicePlan(is_forwarded=False)


class ForwardingPlan:
    """The plan of one proxy, updated with each change of members or configuration."""

    def __init__(self, regions: Regions) -> None:
        """Create a plan that forwards nothing, as no member is known."""
        self._regions = regions
        self._members: Members | None = None
        self._count = ProxyCount()
        self._services: dict[str, ServicePlan] = {}

    @property
    def members(self) -> Members | None:
        """Return the newest view of the members, or None before the first."""
        return self._members

    @property
    def proxies(self) -> int:
        """Return how many proxies serve in the newest view, at least one."""
        return max(1, len(self._members.serving)) if self._members else 1

    @property
    def senders(self) -> int:
        """Return how many proxies send statements to the same databases as this one.

        Where statements are forwarded, they are the holders of a service in this
        proxy's region, of the service with the most.
        """
        region = ""
        if self._members is not None:
            region = self._regions.of(self._members.me.availability_zone)
        held = [
            len(plan.by_region.get(region, ()))
            for plan in self._services.values()
            if plan.is_forwarded
        ]
        return max(1, max(held)) if held else self.proxies

    def service(self, name: str) -> ServicePlan:
        """Return the plan for a service."""
        return self._services.get(name, NOT_FORWARDED)

    def is_connected(self, service: str) -> bool:
        """Return True if this proxy connects to a service's databases."""
        members = self._members
        return members is None or self.service(service).holds(members.me)

    def update(
        self, members: Members | None, configuration: Configuration | None, now: float
    ) -> None:
        """Compute the plan for a view of the members and a configuration."""
        self._members = members
        if members is None or configuration is None:
            self._services = {}
            return
        self._count.record(len(members.live), now)
        count = self._count.largest(now)
        organisations = len(configuration.organisations or ())
        self._services = {
            service.name: self._plan(service, members, count, organisations)
            for service in configuration.services.values()
        }

    def _plan(
        self, service: Service, members: Members, count: int, organisations: int
    ) -> ServicePlan:
        cap = service.max_connections
        if not holders.is_forwarded(cap, count, organisations):
            return NOT_FORWARDED
        by_region: dict[str, list[Member]] = {}
        for member in members.serving:
            region = self._regions.of(member.availability_zone)
            by_region.setdefault(region, []).append(member)
        held = {
            region: holders.holders(
                service.name,
                cap,
                found,
                self._regions.count_zones(found[0].availability_zone),
            )
            for region, found in by_region.items()
        }
        most = max((len(each) for each in held.values()), default=1)
        return ServicePlan(True, held, holders.share(cap, most))

    def candidates(
        self,
        service: str,
        region: str,
        organisation: str,
        in_flight: Callable[[str], int],
    ) -> tuple[Member, ...]:
        """Return the holders in a region to which to send a statement, best first.

        An organisation's statements go to one holder, so that its connections are
        opened at one proxy; the next in rank replaces it. Without an organisation,
        holders in this proxy's zone come first, the less loaded of the first two before
        the other; `in_flight` returns how many statements this proxy has sent to an
        address and has no reply to.
        """
        members = self._members
        found = self.service(service).by_region.get(region, ())
        if members is None or not found:
            return ()
        if organisation:
            return holders.rank(f"{service}\0{organisation}", found)
        zone = members.me.availability_zone
        near = [each for each in found if each.availability_zone == zone]
        far = [each for each in found if each.availability_zone != zone]
        # Each proxy has an order of its own, so that all holders get work.
        near = list(holders.rank(members.me.address, near))
        if len(near) > 1 and in_flight(near[1].address) < in_flight(near[0].address):
            near[0], near[1] = near[1], near[0]
        return (*near, *holders.rank(members.me.address, far))
