"""The state of membership, and how reports about members change it."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import TypeVar

from beryltiller.core.ports import Host, HostKind
from beryltiller.membership import dissemination, probing
from beryltiller.membership.dissemination import PendingUpdates, from_entry, to_entry
from beryltiller.membership.members import Member, Members, MemberState
from beryltiller.membership.membership_events import EndpointNote, LocalVersions
from beryltiller.membership.messages import (
    UNKNOWN_AGE_MS,
    Digest,
    EndpointEntry,
    Gossip,
    MemberEntry,
    ReplyTo,
)

SUSPICION_SECONDS = 0.8
LISTED_NOTE_INTERVAL_SECONDS = 15.0
GOSSIP_SUSPICION_SECONDS_PER_DOUBLING = 0.4

_Value = TypeVar("_Value")


@dataclass(frozen=True, slots=True)
class Probe:
    """A ping, direct or by other members, whose answer is awaited until `deadline`."""

    deadline: float
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspicion that the member can refute until `deadline`."""

    began_at: float
    deadline: float


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping to `target` for another member, whose answer goes to `reply_to`."""

    target: str
    reply_to: ReplyTo
    deadline: float


@dataclass(frozen=True, slots=True)
class State:
    """The state of membership; mappings of members are keyed by peer address.

    `seeds` are the addresses of the entry hosts on the platform's list, `watched`
    those of the members that this proxy probes in turn. `random_seed` and `turn`
    determine the pseudo-random choices; `turn` counts probes and urgent gossip,
    `watch_turn` the probes of watched members. `endpoints` is keyed by
    `EndpointNote.key`.

    The next probe, urgent gossip or request for all members is not sent before
    `probe_after`, `urgent_after` or `sync_after`. `is_urgent` is set when there is an
    update to send at once, `is_changed` when the members have to be published, and
    `is_synced` once a peer has answered with all the members that it knows.
    """

    me: Member
    random_seed: int
    others: Mapping[str, Member] = field(default_factory=dict)
    seeds: tuple[str, ...] = ()
    watched: tuple[str, ...] = ()
    probes: Mapping[str, Probe] = field(default_factory=dict)
    suspicions: Mapping[str, Suspicion] = field(default_factory=dict)
    dead_since: Mapping[str, float] = field(default_factory=dict)
    relayed_pings: tuple[RelayedPing, ...] = ()
    updates: PendingUpdates = field(default_factory=PendingUpdates)
    local_versions: LocalVersions = field(default_factory=LocalVersions)
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
        """The view of the members that the rest of the proxy reads."""
        return Members(self.me, tuple(self.others.values()))


def clear_suspicion(state: State, entry: MemberEntry) -> State:
    """End the suspicion of a member that has just answered.

    Its answer refutes the suspicion, so it need not raise its revision.
    """
    known = state.others.get(entry.address)
    if known is None or known.state is not MemberState.SUSPECT:
        return state
    if (entry.incarnation, entry.revision) < (known.incarnation, known.revision):
        return state
    others = {**state.others, known.address: replace(known, state=MemberState.ALIVE)}
    suspicions = without(state.suspicions, known.address)
    return replace(state, others=others, suspicions=suspicions, is_changed=True)


def merge_entries(state: State, entries: Iterable[MemberEntry], now: float) -> State:
    """Merge a peer's descriptions of members, which may include this proxy."""
    for entry in entries:
        if entry.address == state.me.address:
            state = _refute(state, from_entry(entry))
        else:
            state = _merge_other(state, from_entry(entry), now)
    return state


def _refute(state: State, reported: Member) -> State:
    me = state.me
    if me.state is MemberState.LEFT or reported.precedence <= me.precedence:
        return state
    if reported.incarnation > me.incarnation:
        # The incarnation comes from the clock, and the clock of the host that had
        # this address before was ahead of this one's.
        return update_me(state, replace(me, incarnation=reported.incarnation + 1))
    return update_me(state, replace(me, revision=reported.revision))


def _merge_other(state: State, reported: Member, now: float) -> State:
    known = state.others.get(reported.address)
    if known is None:
        return record_member(state, reported, now) if reported.is_live else state
    if not reported.supersedes(known):
        return state
    if reported.state is not MemberState.DEAD or not known.is_live:
        return record_member(state, reported, now)
    # After a partition the other side reports this side's members as dead. A member
    # gets time to refute that before it is declared dead here.
    suspicion = state.suspicions.get(reported.address)
    began_at = suspicion.began_at if suspicion else now
    suspect = replace(reported, state=MemberState.SUSPECT)
    return record_suspect(state, suspect, began_at, SUSPICION_SECONDS)


def record_member(state: State, member: Member, now: float) -> State:
    """Record a newer description of another member, and queue it for gossip.

    The time that a suspect has to refute the suspicion grows with the logarithm of
    the number of members.
    """
    if member.state is MemberState.SUSPECT:
        size = len(state.others) + 2
        extra_seconds = GOSSIP_SUSPICION_SECONDS_PER_DOUBLING * math.log2(size)
        return record_suspect(state, member, now, SUSPICION_SECONDS + extra_seconds)
    address = member.address
    dead_since = without(state.dead_since, address)
    if not member.is_live:
        dead_since[address] = now
    return replace(
        state,
        others={**state.others, address: member},
        suspicions=without(state.suspicions, address),
        dead_since=dead_since,
        updates=dissemination.add_member_update(state.updates, address),
        is_urgent=True,
        is_changed=True,
    )


def record_suspect(
    state: State, member: Member, began_at: float, seconds: float
) -> State:
    """Record a member as suspect; it may refute for `seconds` from `began_at`."""
    suspicion = Suspicion(began_at, began_at + seconds)
    address = member.address
    return replace(
        state,
        others={**state.others, address: member},
        suspicions={**state.suspicions, address: suspicion},
        dead_since=without(state.dead_since, address),
        updates=dissemination.add_member_update(state.updates, address),
        is_urgent=True,
        is_changed=True,
    )


def remove_member(state: State, address: str) -> State:
    """Remove a dead member, which is then no longer probed."""
    return replace(
        state,
        others=without(state.others, address),
        dead_since=without(state.dead_since, address),
        is_changed=True,
    )


def update_me(state: State, me: Member) -> State:
    """Record a change of this proxy's own description, at the next revision."""
    me = replace(me, revision=me.revision + 1)
    return replace(state, me=me, is_urgent=True, is_changed=True)


def replace_seeds(state: State, hosts: Iterable[Host]) -> State:
    """Replace the seeds by the entry hosts of the platform's list, without this one."""
    seeds = tuple(
        host.address
        for host in hosts
        if host.kind is HostKind.ENTRY and host.address != state.me.address
    )
    return replace(state, seeds=seeds)


def is_new_note(state: State, note: EndpointNote) -> bool:
    """Return True if a note changes what is recorded about its endpoint.

    A note from the host list is new only if it is more than
    `LISTED_NOTE_INTERVAL_SECONDS` later than the recorded one.
    """
    known = state.endpoints.get(note.key)
    if known is None:
        return note.is_leaving
    if note.is_listed:
        return note.observed_at > known.observed_at + LISTED_NOTE_INTERVAL_SECONDS
    is_newer = note.observed_at > known.observed_at
    return is_newer and note.is_leaving != known.is_leaving


def record_note(state: State, note: EndpointNote) -> State:
    """Record a note on an endpoint if it is new, and queue it for gossip."""
    if not is_new_note(state, note):
        return state
    return replace(
        state,
        endpoints={**state.endpoints, note.key: note},
        updates=dissemination.add_endpoint_update(state.updates, note.key),
        is_urgent=True,
    )


def write_gossip(state: State, to: str, now: float) -> tuple[State, Gossip]:
    """Return the gossip to send to the peer at address `to`.

    The returned state counts the updates in it as sent.
    """
    size = len(state.others) + 1
    left, selected, note_keys = dissemination.select_updates(
        state.updates, state.others, size
    )
    chosen = {member.address: member for member in selected}
    if state.others:
        # One more member, chosen pseudo-randomly, repairs what the limited number of
        # updates has missed.
        addresses = tuple(state.others)
        address = probing.pick(addresses, state.random_seed, state.turn, to)
        chosen[address] = state.others[address]
    # A peer that is suspected or declared dead is sent its own state to refute.
    known = state.others.get(to)
    if known is not None and known.state is not MemberState.ALIVE:
        chosen[to] = known
    gossip = Gossip(
        to_entry(state.me),
        _digest(state.local_versions, now),
        tuple(to_entry(member) for member in chosen.values()),
        tuple(_endpoint_entry(state.endpoints[key], now) for key in note_keys),
    )
    return replace(state, updates=left), gossip


def _endpoint_entry(note: EndpointNote, now: float) -> EndpointEntry:
    age_ms = max(0, math.ceil((now - note.observed_at) * 1000))
    return EndpointEntry(note.name, note.is_leaving, age_ms, note.is_listed)


def _digest(local_versions: LocalVersions, now: float) -> Digest:
    return Digest(
        local_versions.configuration_version,
        _age_ms(local_versions.configuration_confirmed_at, now),
        local_versions.terms_revision,
        _age_ms(local_versions.terms_confirmed_at, now),
    )


def _age_ms(observed_at: float | None, now: float) -> int:
    if observed_at is None:
        return UNKNOWN_AGE_MS
    return max(0, math.ceil((now - observed_at) * 1000))


def without(mapping: Mapping[str, _Value], key: str) -> dict[str, _Value]:
    """Return a copy of a mapping without one key, which it need not contain."""
    return {other: value for other, value in mapping.items() if other != key}
