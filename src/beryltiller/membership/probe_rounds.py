"""Probe rounds: sending pings, and handling those that are not answered in time."""

from dataclasses import replace

from beryltiller.membership import probing
from beryltiller.membership.members import Member, MemberState
from beryltiller.membership.membership_events import Action, Reply, Request
from beryltiller.membership.membership_state import (
    SUSPICION_SECONDS,
    Probe,
    State,
    record_member,
    record_suspect,
    remove_member,
    without,
    write_gossip,
)
from beryltiller.membership.messages import Ping, PingRequest, Refused

PROBE_INTERVAL_SECONDS = 0.5
DIRECT_TIMEOUT_SECONDS = 0.3
INDIRECT_TIMEOUT_SECONDS = 0.3
URGENT_INTERVAL_SECONDS = 0.5
REMOVE_DEAD_SECONDS = 600.0
URGENT_FANOUT = 3
INDIRECT_HELPERS = 2

Decision = tuple[State, tuple[Action, ...]]


def expire_relayed_pings(state: State, now: float) -> Decision:
    """Refuse the ping requests of peers whose target did not answer in time."""
    if not state.relayed_pings:
        return state, ()
    overdue = (relayed for relayed in state.relayed_pings if relayed.deadline <= now)
    actions = tuple(Reply(relayed.reply_to, Refused("silent")) for relayed in overdue)
    left = tuple(relayed for relayed in state.relayed_pings if relayed.deadline > now)
    return replace(state, relayed_pings=left), actions


def expire_probes(state: State, now: float) -> Decision:
    """Handle the probes that were not answered in time.

    If it was a direct ping, other members are asked to ping the member. If their pings
    fail too, it is suspected.
    """
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
            state, more = _handle_failed_probe(state, member, now)
        actions += more
    return state, actions


def _probe_indirectly(state: State, address: str, now: float) -> Decision:
    probe = Probe(now + INDIRECT_TIMEOUT_SECONDS, is_indirect=True)
    state = replace(state, probes={**state.probes, address: probe})
    alive = [
        other.address
        for other in state.others.values()
        if other.state is MemberState.ALIVE and other.address != address
    ]
    helpers = probing.sample(
        alive, INDIRECT_HELPERS, state.random_seed, state.turn, f"help {address}"
    )
    actions = []
    for helper in helpers:
        state, gossip = write_gossip(state, helper, now)
        message = PingRequest(gossip, address)
        timeout = INDIRECT_TIMEOUT_SECONDS
        actions.append(Request(helper, message, timeout, now))
    return state, tuple(actions)


def _handle_failed_probe(state: State, member: Member, now: float) -> Decision:
    state = replace(state, probes=without(state.probes, member.address))
    if member.state is not MemberState.ALIVE:
        return state, ()
    suspect = replace(member, state=MemberState.SUSPECT)
    state = record_suspect(state, suspect, now, SUSPICION_SECONDS)
    # The gossip of another ping tells the suspect of the suspicion.
    return _probe(state, member.address, now)


def expire_suspicions(state: State, now: float) -> Decision:
    """Declare dead the suspects that did not refute in time.

    Members that have been dead for `REMOVE_DEAD_SECONDS` are removed.
    """
    for address, suspicion in tuple(state.suspicions.items()):
        if suspicion.deadline <= now:
            dead = replace(state.others[address], state=MemberState.DEAD)
            state = record_member(state, dead, now)
    for address, since in tuple(state.dead_since.items()):
        if since + REMOVE_DEAD_SECONDS <= now:
            state = remove_member(state, address)
    return state, ()


def probe_next(state: State, now: float) -> Decision:
    """Ping the next member if `PROBE_INTERVAL_SECONDS` have passed since the last."""
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
    lost = _lost_addresses(state)
    if lost and (probing.is_lost_slot(state.turn) or not state.watched):
        return probing.pick(lost, state.random_seed, state.turn, "lost")
    if not state.watched:
        return None
    if probing.is_remote_slot(state.turn):
        remote = probing.remote_members(state.me, state.others.values())
        return (
            probing.pick(remote, state.random_seed, state.turn, "far")
            if remote
            else None
        )
    return state.watched[state.watch_turn % len(state.watched)]


def _lost_addresses(state: State) -> list[str]:
    lost = [
        address
        for address in state.seeds
        if address not in state.others or not state.others[address].is_live
    ]
    dead = (address for address in state.dead_since if address not in state.seeds)
    return [*lost, *dead]


def _probe(state: State, address: str, now: float) -> Decision:
    if address in state.probes:
        return state, ()
    probe = Probe(now + DIRECT_TIMEOUT_SECONDS)
    state = replace(state, probes={**state.probes, address: probe})
    state, gossip = write_gossip(state, address, now)
    timeout = DIRECT_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS
    return state, (Request(address, Ping(gossip), timeout, now),)


def send_urgent_gossip(state: State, now: float) -> Decision:
    """Send gossip to `URGENT_FANOUT` members at once, rather than with a probe."""
    urgent_after = now + URGENT_INTERVAL_SECONDS
    state = replace(
        state, is_urgent=False, urgent_after=urgent_after, turn=state.turn + 1
    )
    remote = probing.remote_members(state.me, state.others.values())
    live = [member.address for member in state.members.live[1:]]
    targets = [
        *probing.sample(remote, 1, state.random_seed, state.turn, "urgent far"),
        *probing.sample(live, URGENT_FANOUT, state.random_seed, state.turn, "urgent"),
    ]
    actions = []
    for target in tuple(dict.fromkeys(targets))[:URGENT_FANOUT]:
        state, gossip = write_gossip(state, target, now)
        timeout = DIRECT_TIMEOUT_SECONDS + INDIRECT_TIMEOUT_SECONDS
        actions.append(Request(target, Ping(gossip), timeout, now))
    return state, tuple(actions)
