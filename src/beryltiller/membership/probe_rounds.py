"""Probe rounds: the pings of membership, and what follows from silence."""

from dataclasses import replace

from beryltiller.membership import probing
from beryltiller.membership.members import Member, MemberState
from beryltiller.membership.membership_events import Action, Reply, Request
from beryltiller.membership.membership_state import (
    SUSPICION_SECONDS,
    Probe,
    State,
    forget,
    suspect_member,
    with_other,
    without,
    write_gossip,
)
from beryltiller.membership.messages import Ping, PingRequest, Refused

PROBE_INTERVAL_SECONDS = 0.5
DIRECT_TIMEOUT_SECONDS = 0.3
INDIRECT_TIMEOUT_SECONDS = 0.3
URGENT_INTERVAL_SECONDS = 0.5
FORGET_DEAD_SECONDS = 600.0
URGENT_FANOUT = 3
INDIRECT_HELPERS = 2

Step = tuple[State, tuple[Action, ...]]


def expire_relays(state: State, now: float) -> Step:
    """Refuse the relayed pings whose target was silent."""
    if not state.relays:
        return state, ()
    overdue = (relay for relay in state.relays if relay.deadline <= now)
    actions = tuple(Reply(relay.reply_to, Refused("silent")) for relay in overdue)
    left = tuple(relay for relay in state.relays if relay.deadline > now)
    return replace(state, relays=left), actions


def expire_probes(state: State, now: float) -> Step:
    """Ask others about members that were silent, then suspect them."""
    actions: tuple[Action, ...] = ()
    overdue = [item for item in state.probes.items() if item[1].deadline <= now]
    for address, probe in overdue:
        member = state.others.get(address)
        if member is None or not member.is_live:
            state = replace(state, probes=without(state.probes, address))
            continue
        if not probe.is_indirect:
            state, more = _probe_indirectly(state, address, now)
        else:
            state, more = _probe_failed(state, member, now)
        actions += more
    return state, actions


def _probe_indirectly(state: State, address: str, now: float) -> Step:
    probe = Probe(now + INDIRECT_TIMEOUT_SECONDS, is_indirect=True)
    state = replace(state, probes={**state.probes, address: probe})
    alive = [
        other.address
        for other in state.others.values()
        if other.state is MemberState.ALIVE and other.address != address
    ]
    helpers = probing.sample(
        alive, INDIRECT_HELPERS, state.seed, state.turn, f"help {address}"
    )
    actions = []
    for helper in helpers:
        state, gossip = write_gossip(state, helper, now)
        message = PingRequest(gossip, address)
        timeout = INDIRECT_TIMEOUT_SECONDS
        actions.append(Request(helper, message, timeout, now))
    return state, tuple(actions)


def _probe_failed(state: State, member: Member, now: float) -> Step:
    state = replace(state, probes=without(state.probes, member.address))
    if member.state is not MemberState.ALIVE:
        return state, ()
    suspect = replace(member, state=MemberState.SUSPECT)
    state = suspect_member(state, suspect, now, SUSPICION_SECONDS)
    return _probe(state, member.address, now)


def expire_suspicions(state: State, now: float) -> Step:
    """Take for dead what did not refute, and forget what is long dead."""
    for address, suspicion in tuple(state.suspicions.items()):
        if suspicion.deadline <= now:
            dead = replace(state.others[address], state=MemberState.DEAD)
            state = with_other(state, dead, now)
    for address, since in tuple(state.dead_since.items()):
        if since + FORGET_DEAD_SECONDS <= now:
            state = forget(state, address)
    return state, ()


def probe_next(state: State, now: float) -> Step:
    """Ping the next member when it is due."""
    if now < state.probe_after or state.me.state is MemberState.LEFT:
        return state, ()
    state = replace(state, probe_after=now + PROBE_INTERVAL_SECONDS)
    target = _next_target(state)
    state = replace(state, turn=state.turn + 1)
    if target is None:
        return state, ()
    if target in state.watched:
        state = replace(state, watch_turn=state.watch_turn + 1)
    return _probe(state, target, now)


def _next_target(state: State) -> str | None:
    lost = _lost(state)
    if lost and (probing.is_lost_slot(state.turn) or not state.watched):
        return probing.pick(lost, state.seed, state.turn, "lost")
    if not state.watched:
        return None
    if probing.is_far_slot(state.turn):
        far = probing.far_members(state.me, state.others.values())
        return probing.pick(far, state.seed, state.turn, "far") if far else None
    return state.watched[state.watch_turn % len(state.watched)]


def _lost(state: State) -> list[str]:
    lost = [
        address
        for address in state.seeds
        if address not in state.others or not state.others[address].is_live
    ]
    dead = (address for address in state.dead_since if address not in state.seeds)
    return [*lost, *dead]


def _probe(state: State, address: str, now: float) -> Step:
    if address in state.probes:
        return state, ()
    probe = Probe(now + DIRECT_TIMEOUT_SECONDS)
    state = replace(state, probes={**state.probes, address: probe})
    state, gossip = write_gossip(state, address, now)
    timeout = DIRECT_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS
    return state, (Request(address, Ping(gossip), timeout, now),)


def urgent_round(state: State, now: float) -> Step:
    """Pass urgent news on to a few members at once."""
    after = now + URGENT_INTERVAL_SECONDS
    state = replace(state, is_urgent=False, urgent_after=after, turn=state.turn + 1)
    far = probing.far_members(state.me, state.others.values())
    near = [member.address for member in state.members.live[1:]]
    targets = [
        *probing.sample(far, 1, state.seed, state.turn, "urgent far"),
        *probing.sample(near, URGENT_FANOUT, state.seed, state.turn, "urgent"),
    ]
    actions = []
    for target in tuple(dict.fromkeys(targets))[:URGENT_FANOUT]:
        state, gossip = write_gossip(state, target, now)
        timeout = DIRECT_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS
        actions.append(Request(target, Ping(gossip), timeout, now))
    return state, tuple(actions)
