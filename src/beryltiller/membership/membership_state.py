"""State of membership, and how it takes in what is said of members."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import TypeVar

from beryltiller.core.ports import Host, HostKind
from beryltiller.membership import news, probing
from beryltiller.membership.members import Member, Members, MemberState
from beryltiller.membership.membership_events import EndpointNote, Facts
from beryltiller.membership.messages import (
    UNKNOWN_AGE_MS,
    Digest,
    EndpointEntry,
    Gossip,
    MemberEntry,
    ReplyTo,
)
from beryltiller.membership.news import News, from_entry, to_entry

SUSPICION_SECONDS = 0.8
LISTED_NEWS_SECONDS = 15.0
GOSSIP_SUSPICION_SECONDS_PER_DOUBLING = 0.4

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True)
class Probe:
    """Await an answer until `deadline`, directly or through others."""

    deadline: float
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Await a refutation until `deadline`."""

    began_at: float
    deadline: float


@dataclass(frozen=True, slots=True)
class Relay:
    """Await the answer of `target` on behalf of another member."""

    target: str
    reply_to: ReplyTo
    deadline: float


@dataclass(frozen=True, slots=True)
class State:
    """Hold all that membership remembers; `others` is keyed by peer address."""

    me: Member
    seed: int
    others: Mapping[str, Member] = field(default_factory=dict)
    seeds: tuple[str, ...] = ()
    watched: tuple[str, ...] = ()
    probes: Mapping[str, Probe] = field(default_factory=dict)
    suspicions: Mapping[str, Suspicion] = field(default_factory=dict)
    dead_since: Mapping[str, float] = field(default_factory=dict)
    relays: tuple[Relay, ...] = ()
    news: News = field(default_factory=News)
    facts: Facts = field(default_factory=Facts)
    endpoints: Mapping[str, EndpointNote] = field(default_factory=dict)
    turn: int = 0
    watch_turn: int = 0
    ticked_at: float = -math.inf
    probe_after: float = -math.inf
    urgent_after: float = -math.inf
    sync_after: float = -math.inf
    is_urgent: bool = True
    is_changed: bool = True
    is_synced: bool = False

    @property
    def members(self) -> Members:
        """Return the view of the members that others read."""
        return Members(self.me, tuple(self.others.values()))


def proved_alive(state: State, entry: MemberEntry) -> State:
    """End a suspicion of a member that has just answered, before it refutes."""
    held = state.others.get(entry.address)
    if held is None or held.state is not MemberState.SUSPECT:
        return state
    if (entry.incarnation, entry.revision) < (held.incarnation, held.revision):
        return state
    others = {**state.others, held.address: replace(held, state=MemberState.ALIVE)}
    suspicions = without(state.suspicions, held.address)
    return replace(state, others=others, suspicions=suspicions, is_changed=True)


def merge(state: State, entries: Iterable[MemberEntry], now: float) -> State:
    """Take in what a peer says of members, this one included."""
    for entry in entries:
        if entry.address == state.me.address:
            state = _refute(state, from_entry(entry))
        else:
            state = _merge_other(state, from_entry(entry), now)
    return state


def _refute(state: State, said: Member) -> State:
    me = state.me
    if me.state is MemberState.LEFT or said.order <= me.order:
        return state
    if said.incarnation > me.incarnation:
        # The clock of the host that ran here before was ahead of this one's.
        return with_me(state, replace(me, incarnation=said.incarnation + 1))
    return with_me(state, replace(me, revision=said.revision))


def _merge_other(state: State, said: Member, now: float) -> State:
    held = state.others.get(said.address)
    if held is None:
        return with_other(state, said, now) if said.is_live else state
    if not said.supersedes(held):
        return state
    if said.state is not MemberState.DEAD or not held.is_live:
        return with_other(state, said, now)
    # After a partition the other side takes this side's members for dead. A member
    # gets the time to refute before it counts as dead here.
    suspicion = state.suspicions.get(said.address)
    began_at = suspicion.began_at if suspicion else now
    suspect = replace(said, state=MemberState.SUSPECT)
    return suspect_member(state, suspect, began_at, SUSPICION_SECONDS)


def with_other(state: State, member: Member, now: float) -> State:
    """Hold a newer description of another member, and pass it on."""
    if member.state is MemberState.SUSPECT:
        size = len(state.others) + 2
        patience = GOSSIP_SUSPICION_SECONDS_PER_DOUBLING * math.log2(size)
        return suspect_member(state, member, now, SUSPICION_SECONDS + patience)
    address = member.address
    dead_since = without(state.dead_since, address)
    if not member.is_live:
        dead_since[address] = now
    return replace(
        state,
        others={**state.others, address: member},
        suspicions=without(state.suspicions, address),
        dead_since=dead_since,
        news=news.add_member(state.news, address),
        is_urgent=True,
        is_changed=True,
    )


def suspect_member(
    state: State, member: Member, began_at: float, seconds: float
) -> State:
    """Hold a member as suspect until it refutes or the time is up."""
    suspicion = Suspicion(began_at, began_at + seconds)
    address = member.address
    return replace(
        state,
        others={**state.others, address: member},
        suspicions={**state.suspicions, address: suspicion},
        dead_since=without(state.dead_since, address),
        news=news.add_member(state.news, address),
        is_urgent=True,
        is_changed=True,
    )


def forget(state: State, address: str) -> State:
    """Drop a member that has been dead for long."""
    return replace(
        state,
        others=without(state.others, address),
        dead_since=without(state.dead_since, address),
        is_changed=True,
    )


def with_me(state: State, me: Member) -> State:
    """Hold a change of this member's own word, at a new revision."""
    me = replace(me, revision=me.revision + 1)
    return replace(state, me=me, is_urgent=True, is_changed=True)


def with_seeds(state: State, hosts: Iterable[Host]) -> State:
    """Hold the entry hosts of the platform's list as seeds."""
    seeds = tuple(
        host.address
        for host in hosts
        if host.kind is HostKind.ENTRY and host.address != state.me.address
    )
    return replace(state, seeds=seeds)


def is_news(state: State, note: EndpointNote) -> bool:
    """Tell whether a note of an endpoint says something new."""
    held = state.endpoints.get(note.key)
    if held is None:
        return note.is_leaving
    if note.is_listed:
        return note.observed_at > held.observed_at + LISTED_NEWS_SECONDS
    is_newer = note.observed_at > held.observed_at
    return is_newer and note.is_leaving != held.is_leaving


def with_note(state: State, note: EndpointNote) -> State:
    """Hold a note of an endpoint, and pass it on."""
    if not is_news(state, note):
        return state
    return replace(
        state,
        endpoints={**state.endpoints, note.key: note},
        news=news.add_endpoint(state.news, note.key),
        is_urgent=True,
    )


def write_gossip(state: State, to: str, now: float) -> tuple[State, Gossip]:
    """Return what to tell a peer now; the news sent is counted."""
    size = len(state.others) + 1
    left, picked, names = news.take(state.news, state.others, size)
    chosen = {member.address: member for member in picked}
    if state.others:
        # One more member by turns mends what the bounded news has missed.
        addresses = tuple(state.others)
        address = probing.pick(addresses, state.seed, state.turn, to)
        chosen[address] = state.others[address]
    held = state.others.get(to)
    if held is not None and held.state is not MemberState.ALIVE:
        chosen[to] = held
    gossip = Gossip(
        to_entry(state.me),
        _digest(state.facts, now),
        tuple(to_entry(member) for member in chosen.values()),
        tuple(_endpoint_entry(state.endpoints[name], now) for name in names),
    )
    return replace(state, news=left), gossip


def _endpoint_entry(note: EndpointNote, now: float) -> EndpointEntry:
    age_ms = max(0, math.ceil((now - note.observed_at) * 1000))
    return EndpointEntry(note.name, note.is_leaving, age_ms, note.is_listed)


def _digest(facts: Facts, now: float) -> Digest:
    return Digest(
        facts.configuration_version,
        _age_ms(facts.configuration_confirmed_at, now),
        facts.terms_revision,
        _age_ms(facts.terms_confirmed_at, now),
    )


def _age_ms(then: float | None, now: float) -> int:
    if then is None:
        return UNKNOWN_AGE_MS
    return max(0, math.ceil((now - then) * 1000))


def without(mapping: Mapping[str, _Value], key: str) -> dict[str, _Value]:
    """Return a mapping less one key."""
    return {other: value for other, value in mapping.items() if other != key}
