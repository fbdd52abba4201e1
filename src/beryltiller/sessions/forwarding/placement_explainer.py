"""Explain where a statement would run now, without sending it.

The explanation comes from the same decisions as the placement of a statement: the
forwarding plan, the choice of the holder and the placement rules.
"""

from collections.abc import Callable, Iterator

from beryltiller.membership.messages import PlacementAnswer, PlacementQuestion
from beryltiller.sessions.databases.catalog import Configuration, Route, RouteKind
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.placement import (
    Placer,
    ReadCost,
    ReadExclusion,
    read_requirement,
)
from beryltiller.sessions.forwarding.forwarding_client import (
    ForwardingClient,
    HolderChoice,
)
from beryltiller.sessions.forwarding.forwarding_plan import ForwardingPlan


class PlacementExplainer:
    """Answers questions about placement for one proxy; it changes nothing."""

    def __init__(
        self,
        host_name: str,
        fleet: Fleet,
        placer: Placer,
        plan: ForwardingPlan,
        client: ForwardingClient,
        clock: Callable[[], float],
    ) -> None:
        """Explain the decisions of these parts."""
        self._host_name = host_name
        self._fleet = fleet
        self._placer = placer
        self._plan = plan
        self._client = client
        self._clock = clock

    def answer(self, question: PlacementQuestion) -> PlacementAnswer:
        """Return where a statement would run now, and why."""
        configuration = self._fleet.configuration
        if configuration is None:
            return self._answer("no configuration is in force")
        route = configuration.routes.get(question.database_name)
        if route is None:
            version = configuration.version
            return self._answer(f"no route has the name in version {version}")
        denial = _denial(configuration, route, question.organisation)
        if denial:
            return self._answer(denial)
        needs_primary = question.is_write or route.kind is RouteKind.PRIMARY
        reasons = [_route_text(route)]
        if not question.is_local:
            choice = self._client.choose(
                route.service, question.organisation, needs_primary
            )
            reasons += self._forwarding_reasons(route.service, choice, question)
            if choice.recipients:
                address = choice.recipients[0].address
                return PlacementAnswer(self._host_name, address, tuple(reasons))
        reasons += self._placement_reasons(route, question)
        return PlacementAnswer(self._host_name, "", tuple(reasons))

    def _answer(self, *reasons: str) -> PlacementAnswer:
        return PlacementAnswer(self._host_name, "", reasons)

    def _forwarding_reasons(
        self, service: str, choice: HolderChoice, question: PlacementQuestion
    ) -> Iterator[str]:
        if not self._plan.service(service).is_forwarded:
            yield "not forwarded: each proxy may connect to the databases"
            return
        share = self._plan.service(service).share
        yield (
            f"forwarded: {len(choice.candidates)} holders in region"
            f" {choice.region or '(unnamed)'} have {share} connections each"
        )
        if question.organisation:
            yield "the holders are ranked for the organisation"
        chosen = {each.address for each in choice.recipients}
        for holder in choice.candidates:
            note = "" if holder.address in chosen else "not used: avoided or this proxy"
            yield f"holder {holder.name} at {holder.address} {note}".rstrip()

    def _placement_reasons(
        self, route: Route, question: PlacementQuestion
    ) -> Iterator[str]:
        group = self._fleet.group(route.service)
        now = self._clock()
        if question.is_write:
            yield self._leader_reason(group, now)
            return
        requirement = read_requirement(route, now, None)
        costs = self._placer.explain_read(
            group,
            requirement,
            now,
            lambda member: self._fleet.supply(member, question.organisation),
        )
        usable = [each for each in costs if isinstance(each, ReadCost)]
        for cost in sorted(usable, key=lambda each: each.seconds):
            yield _cost_text(cost, group.leader)
        for each in costs:
            if isinstance(each, ReadExclusion):
                yield f"database {_name(each.member)} cannot serve it: {each.reason}"
        if not usable:
            yield "no database can serve the read now"

    def _leader_reason(self, group: Group, now: float) -> str:
        placement = self._placer.place_leader(group, now, frozenset())
        if placement is None:
            return "no primary is known that works"
        return f"database {_name(placement.member)} is the primary"


def _denial(configuration: Configuration, route: Route, organisation: str) -> str:
    """Return why an organisation is not served on a route, or empty text."""
    organisations = configuration.organisations
    if organisations is None:
        return ""
    if organisation and organisation not in organisations.by_name:
        return f"there is no organisation {organisation!r}"
    if not organisation and not route.is_public:
        return "the route is not public, and no organisation is given"
    return ""


def _route_text(route: Route) -> str:
    return (
        f"route to service {route.service}, {route.kind.value}, priority"
        f" {route.priority}, objective {route.objective_seconds:g} s"
    )


def _cost_text(cost: ReadCost, leader: Member | None) -> str:
    role = "primary" if cost.member is leader else "replica"
    parts = {
        "latency": cost.latency,
        "distance": cost.distance,
        "connection": cost.connection,
        "lag": cost.lag,
    }
    text = ", ".join(f"{name} {1000 * value:.0f}" for name, value in parts.items())
    total = 1000 * cost.seconds
    return f"database {_name(cost.member)}, {role}: {total:.0f} ms ({text})"


def _name(member: Member) -> str:
    database = member.database
    return f"{database.identifier} in {database.availability_zone}"
