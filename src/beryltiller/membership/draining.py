"""Draining: which endpoints are leaving and must get no new work.

A sans-I/O core that joins two words about each endpoint. The endpoint's own word, in
its status and its refusals, is ordered by when it was given, so that the newest
wins, whichever proxy heard it. The platform's word comes from a lagging list: one
proxy that reads of a leaving endpoint tells the others, who believe it until their
own list must show it too. An endpoint is leaving if either word says so.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from beryltiller.core.ports import Host, HostKind
from beryltiller.membership.membership_events import EndpointNote, HostsListed, Tick

HOST_LIST_LAG_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class EndpointAnswered:
    """Hold what an endpoint said of itself when asked at `asked_at`.

    `is_leaving` is that of its status, or true when it refused with code `leaving`.
    An answer that tells nothing of it, such as one to a statement, is not reported.
    """

    name: str
    is_leaving: bool
    asked_at: float


Event = Tick | HostsListed | EndpointAnswered | EndpointNote


@dataclass(frozen=True, slots=True)
class TellPeers:
    """Pass a note on to the other proxies."""

    note: EndpointNote


@dataclass(frozen=True, slots=True)
class PublishLeaving:
    """Replace the set of leaving endpoints that others read."""

    endpoints: frozenset[str]


Action = TellPeers | PublishLeaving
Step = tuple["State", tuple[Action, ...]]


@dataclass(frozen=True, slots=True)
class State:
    """Hold the newest word of each kind about each endpoint, by its name."""

    said: Mapping[str, EndpointNote] = field(default_factory=dict)
    listed: frozenset[str] = frozenset()
    listed_by_peers: Mapping[str, float] = field(default_factory=dict)

    @property
    def leaving(self) -> frozenset[str]:
        """Return the endpoints that must get no new work."""
        said = (note.name for note in self.said.values() if note.is_leaving)
        return self.listed | self.listed_by_peers.keys() | frozenset(said)


def decide(state: State, event: Event, now: float) -> Step:
    """Return the state after an event, and what has to be done about it."""
    match event:
        case Tick():
            return _publish(state, _without_old(state, now), ())
        case HostsListed(hosts):
            return _listed(state, hosts, now)
        case EndpointAnswered(name, is_leaving, asked_at):
            return _answered(state, EndpointNote(name, is_leaving, asked_at))
        case EndpointNote(is_listed=True):
            until = {event.name: event.observed_at + HOST_LIST_LAG_SECONDS}
            listed_by_peers = {**state.listed_by_peers, **until}
            after = replace(state, listed_by_peers=listed_by_peers)
            return _publish(state, _without_old(after, now), ())
        case EndpointNote():
            return _publish(state, _with_note(state, event), ())


def _listed(state: State, hosts: tuple[Host, ...], now: float) -> Step:
    endpoints = (host for host in hosts if host.kind is HostKind.ENDPOINT)
    listed = frozenset(host.name for host in endpoints if host.is_leaving)
    notes = (
        EndpointNote(name, is_leaving=True, observed_at=now, is_listed=True)
        for name in sorted(listed - state.listed)
    )
    after = replace(state, listed=listed)
    return _publish(state, after, tuple(TellPeers(note) for note in notes))


def _answered(state: State, note: EndpointNote) -> Step:
    held = state.said.get(note.name)
    was_leaving = held is not None and held.is_leaving
    after = _with_note(state, note)
    if after is state or note.is_leaving == was_leaving:
        return _publish(state, after, ())
    return _publish(state, after, (TellPeers(note),))


def _with_note(state: State, note: EndpointNote) -> State:
    held = state.said.get(note.name)
    if held is not None and held.observed_at >= note.observed_at:
        return state
    return replace(state, said={**state.said, note.name: note})


def _without_old(state: State, now: float) -> State:
    if all(until > now for until in state.listed_by_peers.values()):
        return state
    kept = {name: until for name, until in state.listed_by_peers.items() if until > now}
    return replace(state, listed_by_peers=kept)


def _publish(before: State, after: State, actions: tuple[Action, ...]) -> Step:
    if after.leaving == before.leaving:
        return after, actions
    return after, (PublishLeaving(after.leaving), *actions)
