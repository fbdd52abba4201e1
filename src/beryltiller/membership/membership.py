"""Membership: which proxies are running, by probes and gossip.

A sans-I/O core modelled on the SWIM protocol. Every `PROBE_INTERVAL_SECONDS` a proxy
pings one member. If no answer comes, it asks two other members to ping it, and then
suspects it. A suspect that does not refute the suspicion in time is declared dead.
Membership updates are sent with the probes. When a proxy learns of a change, it also
sends gossip at once to three members, once for each change and at most once in
`URGENT_INTERVAL_SECONDS`, so that the number of messages of a proxy does not depend on
the number of proxies.

A sync is a request to a peer for all members that it knows. A proxy sends one when it
has just started, lacks many of the proxies on the platform's list, or receives a
message from a member that it had declared dead.

Dead members are kept for a while and probed occasionally, so that both sides of a
partition continue on their own and find each other again. Only the member itself can
refute a report about it, by a higher revision. A process that started later at the
same address replaces the earlier one, by its higher incarnation.
"""

from collections.abc import Iterable
from dataclasses import replace

from beryltiller.membership import probing
from beryltiller.membership.dissemination import to_entry
from beryltiller.membership.members import MemberState
from beryltiller.membership.membership_events import (
    Action,
    Drain,
    EndpointNote,
    Event,
    HostsListed,
    Leave,
    LocalVersions,
    PublishMembers,
    Received,
    Replied,
    Reply,
    ReportDigest,
    ReportEndpointNote,
    Request,
    Tick,
)
from beryltiller.membership.membership_state import (
    RelayedPing,
    State,
    Suspicion,
    clear_suspicion,
    is_new_note,
    merge_entries,
    record_note,
    replace_seeds,
    update_me,
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
from beryltiller.membership.probe_rounds import (
    INDIRECT_TIMEOUT_SECONDS,
    Decision,
    expire_probes,
    expire_relayed_pings,
    expire_suspicions,
    probe_next,
    send_urgent_gossip,
)

TICK_SECONDS = 0.1
PAUSE_SECONDS = 1.0  # a longer gap between ticks is a pause of this process
SYNC_INTERVAL_SECONDS = 5.0
SYNC_RETRY_SECONDS = 2.0
MAX_RELAYED_PINGS = 16
MAX_UNKNOWN_SEEDS_RATIO = 0.02
PRODUCTIVE_SYNC_RATIO = 0.05
MAX_REPLY_MEMBERS = 4_000  # peers reject more than MAX_MEMBERS_IN_MESSAGE


def decide(state: State, event: Event, now: float) -> Decision:
    """Return the state after an event, and the actions to carry out."""
    match event:
        case Tick():
            return _tick(state, now)
        case Received(message, reply_to):
            return _handle_request(state, message, reply_to, now)
        case Replied(address, message, asked_at):
            return _handle_reply(state, address, message, asked_at, now)
        case HostsListed(hosts):
            return replace_seeds(state, hosts), ()
        case LocalVersions():
            is_newer = (
                event.configuration_version > state.local_versions.configuration_version
            )
            is_urgent = state.is_urgent or is_newer
            return replace(state, local_versions=event, is_urgent=is_urgent), ()
        case EndpointNote():
            return record_note(state, event), ()
        case Drain():
            return update_me(state, replace(state.me, is_draining=True)), ()
        case Leave():
            left = replace(state.me, is_draining=True, state=MemberState.LEFT)
            return send_urgent_gossip(update_me(state, left), now)


def _tick(state: State, now: float) -> Decision:
    if now - state.ticked_at > PAUSE_SECONDS:
        state = _restart_timers(state, now)
    state = replace(state, ticked_at=now)
    actions: tuple[Action, ...] = ()
    for step in (expire_relayed_pings, expire_probes, expire_suspicions, probe_next):
        state, more = step(state, now)
        actions += more
    if state.is_urgent and now >= state.urgent_after:
        state, more = send_urgent_gossip(state, now)
        actions += more
    if state.is_changed:
        watched = probing.watched_members(state.me, state.others.values())
        state = replace(state, watched=watched, is_changed=False)
        actions += (PublishMembers(state.members),)
    return state, actions


def _restart_timers(state: State, now: float) -> State:
    # Answers may have arrived unread while this process was paused, so missing
    # answers during the pause are no evidence against the other members.
    suspicions = {
        address: Suspicion(now, now + suspicion.deadline - suspicion.began_at)
        for address, suspicion in state.suspicions.items()
    }
    return replace(state, probes={}, suspicions=suspicions)


def _handle_request(
    state: State, message: Message, reply_to: ReplyTo, now: float
) -> Decision:
    match message:
        case Ping(gossip):
            state, actions = _process_gossip(state, gossip, None, now)
            state, answer = write_gossip(state, gossip.sender.address, now)
            return state, (*actions, Reply(reply_to, Ack(answer)))
        case PingRequest(gossip, target):
            state, actions = _process_gossip(state, gossip, None, now)
            state, more = _relay_ping(state, target, reply_to, now)
            return state, actions + more
        case MembersRequest():
            entries = tuple(to_entry(member) for member in state.members)
            return state, (Reply(reply_to, MembersReply(entries[:MAX_REPLY_MEMBERS])),)
        case _:
            return state, (Reply(reply_to, Refused("unexpected")),)


def _relay_ping(state: State, target: str, reply_to: ReplyTo, now: float) -> Decision:
    if len(state.relayed_pings) >= MAX_RELAYED_PINGS:
        return state, (Reply(reply_to, Refused("busy")),)
    relayed = RelayedPing(target, reply_to, now + INDIRECT_TIMEOUT_SECONDS)
    state = replace(state, relayed_pings=(*state.relayed_pings, relayed))
    state, gossip = write_gossip(state, target, now)
    ping = Request(target, Ping(gossip), INDIRECT_TIMEOUT_SECONDS, now)
    return state, (ping,)


def _handle_reply(
    state: State, address: str, message: Message, asked_at: float, now: float
) -> Decision:
    match message:
        case Ack(gossip) if gossip.sender.address == address:
            return _handle_ack(state, gossip, asked_at, now)
        case PingReply(target):
            state = replace(state, probes=without(state.probes, target.address))
            return merge_entries(clear_suspicion(state, target), (target,), now), ()
        case MembersReply(members):
            return _merge_member_list(state, members, now), ()
        case _:
            return state, ()


def _merge_member_list(
    state: State, members: Iterable[MemberEntry], now: float
) -> State:
    known = len(state.others)
    state = merge_entries(state, members, now)
    # While many proxies start at once, each answer lists many members that the last
    # answer did not, so the next request is sent sooner.
    is_productive = len(state.others) > (1 + PRODUCTIVE_SYNC_RATIO) * known
    seconds = SYNC_RETRY_SECONDS if is_productive else SYNC_INTERVAL_SECONDS
    return replace(state, is_synced=True, sync_after=now + seconds)


def _handle_ack(state: State, gossip: Gossip, asked_at: float, now: float) -> Decision:
    address = gossip.sender.address
    state = replace(state, probes=without(state.probes, address))
    state = clear_suspicion(state, gossip.sender)
    state, actions = _process_gossip(state, gossip, asked_at, now)
    relayed_pings = (
        relayed for relayed in state.relayed_pings if relayed.target == address
    )
    reply = PingReply(gossip.sender)
    actions += tuple(Reply(relayed.reply_to, reply) for relayed in relayed_pings)
    left = tuple(
        relayed for relayed in state.relayed_pings if relayed.target != address
    )
    return replace(state, relayed_pings=left), actions


def _process_gossip(
    state: State, gossip: Gossip, asked_at: float | None, now: float
) -> Decision:
    sender = gossip.sender
    if _has_returned(state, gossip):
        state = replace(state, is_synced=False)
    state = merge_entries(state, (sender, *gossip.members), now)
    actions: tuple[Action, ...] = (
        ReportDigest(sender.address, gossip.digest, asked_at),
    )
    for entry in gossip.endpoints:
        observed_at = now - entry.age_ms / 1000
        note = EndpointNote(entry.name, entry.is_leaving, observed_at, entry.is_listed)
        if is_new_note(state, note):
            state = record_note(state, note)
            actions += (ReportEndpointNote(note),)
    if now >= state.sync_after and (not state.is_synced or _lacks_seeds(state)):
        state = replace(state, sync_after=now + SYNC_RETRY_SECONDS)
        request = Request(sender.address, MembersRequest(), SYNC_RETRY_SECONDS, now)
        actions += (request,)
    return state, actions


def _lacks_seeds(state: State) -> bool:
    """Return True if too many of the listed proxies are not known as members yet."""
    unknown = sum(address not in state.others for address in state.seeds)
    return unknown > MAX_UNKNOWN_SEEDS_RATIO * len(state.seeds)


def _has_returned(state: State, gossip: Gossip) -> bool:
    """Return True if the sender is a process that was declared dead but still runs.

    That happens after a partition; all members are then requested again.
    """
    known = state.others.get(gossip.sender.address)
    if known is None or known.state is not MemberState.DEAD:
        return False
    return known.incarnation == gossip.sender.incarnation
