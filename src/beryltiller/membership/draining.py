"""Draining: which endpoints are leaving and must get no new work.

A sans-I/O core that combines two sources about each endpoint. The first is the
endpoint itself, by its status and its refusals. The newest of these reports applies,
whichever proxy received it. The second is the platform's host list, which lags: a proxy
whose copy of the list shows that an endpoint is leaving notifies the others. They
accept this for `HOST_LIST_LAG_SECONDS`, by when their own copy must show it too. An
endpoint is leaving if either source says so.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from beryltiller.core.ports import Host, HostKind
from beryltiller.membership.membership_events import EndpointNote, HostsListed, Tick

HOST_LIST_LAG_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class LeavingReport:
    """An endpoint's own report of whether it is leaving, requested at `asked_at`.

    `is_leaving` is that of its status, or true when it refused with code `leaving`.
    Answers without this information, such as one to a statement, cause no event.
    """

    name: str
    is_leaving: bool
    asked_at: float


Event = Tick | HostsListed | LeavingReport | EndpointNote


@dataclass(frozen=True, slots=True)
class NotifyPeers:
    """A note to send to the other proxies by gossip."""

    note: EndpointNote


@dataclass(frozen=True, slots=True)
class PublishLeaving:
    """The new set of leaving endpoints, for the rest of the proxy to read."""

    endpoints: frozenset[str]


Action = NotifyPeers | PublishLeaving
Decision = tuple["State", tuple[Action, ...]]


@dataclass(frozen=True, slots=True)
class State:
    """The newest information from each source, by endpoint name.

    `own_reports` holds what the endpoints reported of themselves, `listed` the
    endpoints that this proxy's host list shows as leaving, and `listed_by_peers` those
    that a peer's host list shows as leaving, with the time until which that counts.
    """

    own_reports: Mapping[str, EndpointNote] = field(default_factory=dict)
    listed: frozenset[str] = frozenset()
    listed_by_peers: Mapping[str, float] = field(default_factory=dict)

    @property
    def leaving(self) -> frozenset[str]:
        """The endpoints that either source reports as leaving; they get no new work."""
        own_reports = (
            note.name for note in self.own_reports.values() if note.is_leaving
        )
        return self.listed | self.listed_by_peers.keys() | frozenset(own_reports)


def decide(state: State, event: Event, now: float) -> Decision:
    """Return the state after an event, and the actions to carry out."""
    match event:
        case Tick():
            return _publish(state, _without_expired(state, now), ())
        case HostsListed(hosts):
            return _process_host_list(state, hosts, now)
        case LeavingReport(name, is_leaving, asked_at):
            return _process_report(state, EndpointNote(name, is_leaving, asked_at))
        case EndpointNote(is_listed=True):
            until = {event.name: event.observed_at + HOST_LIST_LAG_SECONDS}
            listed_by_peers = {**state.listed_by_peers, **until}
            after = replace(state, listed_by_peers=listed_by_peers)
            return _publish(state, _without_expired(after, now), ())
        case EndpointNote():
            return _publish(state, _record_note(state, event), ())


def _process_host_list(state: State, hosts: tuple[Host, ...], now: float) -> Decision:
    endpoints = (host for host in hosts if host.kind is HostKind.ENDPOINT)
    listed = frozenset(host.name for host in endpoints if host.is_leaving)
    notes = (
        EndpointNote(name, is_leaving=True, observed_at=now, is_listed=True)
        for name in sorted(listed - state.listed)
    )
    after = replace(state, listed=listed)
    return _publish(state, after, tuple(NotifyPeers(note) for note in notes))


def _process_report(state: State, note: EndpointNote) -> Decision:
    known = state.own_reports.get(note.name)
    was_leaving = known is not None and known.is_leaving
    after = _record_note(state, note)
    if after is state or note.is_leaving == was_leaving:
        return _publish(state, after, ())
    return _publish(state, after, (NotifyPeers(note),))


def _record_note(state: State, note: EndpointNote) -> State:
    known = state.own_reports.get(note.name)
    if known is not None and known.observed_at >= note.observed_at:
        return state
    return replace(state, own_reports={**state.own_reports, note.name: note})


def _without_expired(state: State, now: float) -> State:
    if all(until > now for until in state.listed_by_peers.values()):
        return state
    valid = {
        name: until for name, until in state.listed_by_peers.items() if until > now
    }
    return replace(state, listed_by_peers=valid)


def _publish(before: State, after: State, actions: tuple[Action, ...]) -> Decision:
    if after.leaving == before.leaving:
        return after, actions
    return after, (PublishLeaving(after.leaving), *actions)
