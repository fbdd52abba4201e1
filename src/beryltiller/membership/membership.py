"""Membership: which proxies are running, by probes and gossip.

A sans-I/O core in the manner of SWIM. Every `PROBE_INTERVAL_SECONDS` a proxy pings
one member; without an answer it asks two others to ping it, and then suspects it. A
suspect that does not refute in time is dead. News rides on the probes, and urgent
news is passed on at once to three members, once by each proxy, so the number of
messages of a proxy does not depend on the number of proxies.

Dead members are kept for a while and probed now and then, so both sides of a
partition go on by themselves and find each other again. Only a member refutes what
is said of it, by a higher revision; a process started later at the same address
wins by its incarnation.
"""

from collections.abc import Iterable
from dataclasses import replace

from beryltiller.membership import probing
from beryltiller.membership.members import MemberState
from beryltiller.membership.membership_events import (
    Action,
    Drain,
    EndpointNote,
    Event,
    Facts,
    HostsListed,
    Leave,
    PublishMembers,
    Received,
    Replied,
    Reply,
    ReportDigest,
    ReportEndpoint,
    Request,
    Tick,
)
from beryltiller.membership.membership_state import (
    Relay,
    State,
    Suspicion,
    is_news,
    merge,
    proved_alive,
    with_me,
    with_note,
    with_seeds,
    without,
    write_gossip,
)
from beryltiller.membership.messages import (
    Ack,
    Gossip,
    MemberEntry,
    MembersReply,
    MembersRequest,
    Message,
    Ping,
    PingReply,
    PingRequest,
    Refused,
    ReplyTo,
)
from beryltiller.membership.news import to_entry
from beryltiller.membership.probe_rounds import (
    INDIRECT_TIMEOUT_SECONDS,
    Step,
    expire_probes,
    expire_relays,
    expire_suspicions,
    probe_next,
    urgent_round,
)

TICK_SECONDS = 0.1
PAUSE_SECONDS = 1.0
SYNC_INTERVAL_SECONDS = 5.0
SYNC_RETRY_SECONDS = 2.0
MAX_RELAYS = 16
MAX_UNHEARD_SEEDS_RATIO = 0.02
PRODUCTIVE_SYNC_RATIO = 0.05
MAX_PAGE_MEMBERS = 4_000


def decide(state: State, event: Event, now: float) -> Step:
    """Return the state after an event, and what has to be done about it."""
    match event:
        case Tick():
            return _tick(state, now)
        case Received(message, reply_to):
            return _received(state, message, reply_to, now)
        case Replied(address, message, asked_at):
            return _replied(state, address, message, asked_at, now)
        case HostsListed(hosts):
            return with_seeds(state, hosts), ()
        case Facts():
            is_newer = event.configuration_version > state.facts.configuration_version
            is_urgent = state.is_urgent or is_newer
            return replace(state, facts=event, is_urgent=is_urgent), ()
        case EndpointNote():
            return with_note(state, event), ()
        case Drain():
            return with_me(state, replace(state.me, is_draining=True)), ()
        case Leave():
            left = replace(state.me, is_draining=True, state=MemberState.LEFT)
            return urgent_round(with_me(state, left), now)


def _tick(state: State, now: float) -> Step:
    if now - state.ticked_at > PAUSE_SECONDS:
        state = _after_pause(state, now)
    state = replace(state, ticked_at=now)
    actions: tuple[Action, ...] = ()
    for step in (expire_relays, expire_probes, expire_suspicions, probe_next):
        state, more = step(state, now)
        actions += more
    if state.is_urgent and now >= state.urgent_after:
        state, more = urgent_round(state, now)
        actions += more
    if state.is_changed:
        watched = probing.watched_members(state.me, state.others.values())
        state = replace(state, watched=watched, is_changed=False)
        actions += (PublishMembers(state.members),)
    return state, actions


def _after_pause(state: State, now: float) -> State:
    # Answers may have waited unread while this process was paused, so silence
    # during the pause says nothing about the others.
    suspicions = {
        address: Suspicion(now, now + suspicion.deadline - suspicion.began_at)
        for address, suspicion in state.suspicions.items()
    }
    return replace(state, probes={}, suspicions=suspicions)


def _received(state: State, message: Message, reply_to: ReplyTo, now: float) -> Step:
    match message:
        case Ping(gossip):
            state, actions = _hear(state, gossip, None, now)
            state, answer = write_gossip(state, gossip.sender.address, now)
            return state, (*actions, Reply(reply_to, Ack(answer)))
        case PingRequest(gossip, target):
            state, actions = _hear(state, gossip, None, now)
            state, more = _relay(state, target, reply_to, now)
            return state, actions + more
        case MembersRequest():
            entries = tuple(to_entry(member) for member in state.members)
            return state, (Reply(reply_to, MembersReply(entries[:MAX_PAGE_MEMBERS])),)
        case _:
            return state, (Reply(reply_to, Refused("unexpected")),)


def _relay(state: State, target: str, reply_to: ReplyTo, now: float) -> Step:
    if len(state.relays) >= MAX_RELAYS:
        return state, (Reply(reply_to, Refused("busy")),)
    relay = Relay(target, reply_to, now + INDIRECT_TIMEOUT_SECONDS)
    state = replace(state, relays=(*state.relays, relay))
    state, gossip = write_gossip(state, target, now)
    ping = Request(target, Ping(gossip), INDIRECT_TIMEOUT_SECONDS, now)
    return state, (ping,)


def _replied(
    state: State, address: str, message: Message, asked_at: float, now: float
) -> Step:
    match message:
        case Ack(gossip) if gossip.sender.address == address:
            return _acknowledged(state, gossip, asked_at, now)
        case PingReply(target):
            state = replace(state, probes=without(state.probes, target.address))
            return merge(proved_alive(state, target), (target,), now), ()
        case MembersReply(members):
            return _synced(state, members, now), ()
        case _:
            return state, ()


def _synced(state: State, members: Iterable[MemberEntry], now: float) -> State:
    known = len(state.others)
    state = merge(state, members, now)
    # While many start at once, each answer holds many that the last one lacked.
    is_productive = len(state.others) > (1 + PRODUCTIVE_SYNC_RATIO) * known
    seconds = SYNC_RETRY_SECONDS if is_productive else SYNC_INTERVAL_SECONDS
    return replace(state, is_synced=True, sync_after=now + seconds)


def _acknowledged(state: State, gossip: Gossip, asked_at: float, now: float) -> Step:
    address = gossip.sender.address
    state = replace(state, probes=without(state.probes, address))
    state = proved_alive(state, gossip.sender)
    state, actions = _hear(state, gossip, asked_at, now)
    relays = (relay for relay in state.relays if relay.target == address)
    reply = PingReply(gossip.sender)
    actions += tuple(Reply(relay.reply_to, reply) for relay in relays)
    left = tuple(relay for relay in state.relays if relay.target != address)
    return replace(state, relays=left), actions


def _hear(state: State, gossip: Gossip, asked_at: float | None, now: float) -> Step:
    sender = gossip.sender
    if _is_back(state, gossip):
        state = replace(state, is_synced=False)
    state = merge(state, (sender, *gossip.members), now)
    actions: tuple[Action, ...] = (
        ReportDigest(sender.address, gossip.digest, asked_at),
    )
    for entry in gossip.endpoints:
        observed_at = now - entry.age_ms / 1000
        note = EndpointNote(entry.name, entry.is_leaving, observed_at, entry.is_listed)
        if is_news(state, note):
            state = with_note(state, note)
            actions += (ReportEndpoint(note),)
    if now >= state.sync_after and (not state.is_synced or _is_new_here(state)):
        state = replace(state, sync_after=now + SYNC_RETRY_SECONDS)
        request = Request(sender.address, MembersRequest(), SYNC_RETRY_SECONDS, now)
        actions += (request,)
    return state, actions


def _is_new_here(state: State) -> bool:
    """Tell whether many listed proxies have not been heard of yet."""
    unheard = sum(address not in state.others for address in state.seeds)
    return unheard > MAX_UNHEARD_SEEDS_RATIO * len(state.seeds)


def _is_back(state: State, gossip: Gossip) -> bool:
    """Tell whether the sender is a process that counted as dead here."""
    held = state.others.get(gossip.sender.address)
    if held is None or held.state is not MemberState.DEAD:
        return False
    return held.incarnation == gossip.sender.incarnation
