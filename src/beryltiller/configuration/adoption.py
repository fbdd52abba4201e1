"""Adoption: which configuration is in force at this proxy.

A sans-I/O core. Once a configuration is in force, only a higher version replaces
it, from the store or from any peer. A few proxies of each availability zone poll the
store; the others hear of new versions by gossip and ask the proxy that has them.

A process that has just started has nothing in force and is not ready. Its first
configuration must not be older than what was in force at the same host before, so
it is one of

- the store's row, read since the start;
- a peer's version that a store read begun since the start showed to be the newest;
- while the store does not answer, the newest among the answers of a majority of the
  entry hosts, if none of them has heard of a newer one.
"""

import math
from dataclasses import replace

from returns.result import Failure

from beryltiller.configuration.adoption_events import (
    Action,
    AskPeer,
    Confirm,
    Event,
    PeerAnswered,
    PeerDigest,
    PeerFailed,
    PeersChanged,
    PutInForce,
    ReadStore,
    RejectDocument,
    StoreAnswered,
    StoreFailed,
)
from beryltiller.configuration.adoption_state import (
    NO_VERSION,
    State,
    pack,
    unpack,
    with_known,
    without_question,
)
from beryltiller.configuration.tables import Configuration, from_row
from beryltiller.core.ports import HostKind, Row
from beryltiller.membership import probing
from beryltiller.membership.membership_events import HostsListed, Received, Reply, Tick
from beryltiller.membership.messages import (
    UNKNOWN_AGE_MS,
    ConfigurationReply,
    ConfigurationRequest,
    Message,
    Refused,
)

POLL_SECONDS = 1.0
UNRANKED_POLL_SECONDS = 30.0
STALE_CONFIRMATION_SECONDS = 5.0
STALE_POLL_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 2.0
ASK_TIMEOUT_SECONDS = 1.0
ASK_INTERVAL_SECONDS = 0.5
CONFIRM_INTERVAL_SECONDS = 0.5
FIRST_ASKED_PEERS = 3
OUTAGE_ASKED_PEERS = 20
MAX_ASKED_PEERS = 2
_STORE = "store"

Step = tuple[State, tuple[Action, ...]]


def decide(state: State, event: Event, now: float) -> Step:
    """Return the state after an event, and what has to be done about it."""
    match event:
        case Tick():
            return _tick(state, now)
        case StoreAnswered(row, asked_at):
            return _store_answered(state, row, asked_at, now)
        case StoreFailed():
            state = replace(state, read_until=None, is_store_down=True)
            return _adopt_by_majority(state)
        case Received(message, reply_to):
            return state, (Reply(reply_to, _answer(state, message, now)),)
        case PeerAnswered(address, reply, asked_at):
            return _peer_answered(state, address, reply, asked_at)
        case PeerFailed(address):
            return without_question(state, address), ()
        case PeerDigest():
            return _heard(state, event, now)
        case PeersChanged(addresses, is_polling):
            live = frozenset(addresses)
            return replace(state, live=live, is_polling=is_polling), ()
        case HostsListed(hosts):
            entries = (host for host in hosts if host.kind is HostKind.ENTRY)
            listed = frozenset(host.address for host in entries)
            return replace(state, listed=listed), ()


def _tick(state: State, now: float) -> Step:
    overdue = [address for address, until in state.asked.items() if until <= now]
    for address in overdue:
        state = without_question(state, address)
    state, actions = _read_when_due(state, now)
    if not state.is_ready and now >= state.ask_after:
        state, more = _ask_for_first(state, now)
        actions += more
    return state, actions


def _read_when_due(state: State, now: float) -> Step:
    if state.read_until is not None and state.read_until <= now:
        state = replace(state, read_until=None, is_store_down=True)
    is_due = state.read_at + _poll_seconds(state, now) <= now
    if state.read_until is not None or not is_due:
        return state, ()
    state = replace(state, read_until=now + READ_TIMEOUT_SECONDS, read_at=now)
    return state, (ReadStore(now),)


def _poll_seconds(state: State, now: float) -> float:
    if state.is_polling or not state.is_ready:
        return POLL_SECONDS
    confirmed_at = state.confirmed_at
    if confirmed_at is None or confirmed_at + STALE_CONFIRMATION_SECONDS <= now:
        # The proxies that poll for this zone may be cut from the store.
        return STALE_POLL_SECONDS
    return UNRANKED_POLL_SECONDS


def _ask_for_first(state: State, now: float) -> Step:
    count = OUTAGE_ASKED_PEERS if state.is_store_down else FIRST_ASKED_PEERS
    unanswered = sorted(state.peers - state.answers.keys() - state.asked.keys())
    # Peers that have answered are asked again only for a later confirmation.
    others = sorted(state.answers.keys() - state.asked.keys())
    chosen = probing.sample(unanswered, count, state.seed, state.turn, "first")
    chosen += probing.sample(others, 1, state.seed, state.turn, "again")
    above = NO_VERSION if state.newest is None else state.newest.version
    asked = {**state.asked, **dict.fromkeys(chosen, now + ASK_TIMEOUT_SECONDS)}
    state = replace(
        state,
        asked=asked,
        ask_after=now + ASK_INTERVAL_SECONDS,
        turn=state.turn + 1,
    )
    return state, tuple(AskPeer(address, above, now) for address in chosen)


def _store_answered(state: State, row: Row | None, asked_at: float, now: float) -> Step:
    state = replace(state, read_until=None, is_store_down=False)
    version = 0 if row is None else row.version
    state = with_known(state, version)
    if state.is_ready and version < state.version:
        return state, ()
    if state.is_ready and version == state.version:
        return _confirmed(state, asked_at, now)
    found = from_row(row)
    if isinstance(found, Failure):
        return state, (RejectDocument(_STORE, version, found.failure()),)
    return _put_in_force(state, found.unwrap(), asked_at)


def _peer_answered(
    state: State, address: str, reply: ConfigurationReply, asked_at: float
) -> Step:
    state = without_question(state, address)
    state = with_known(state, max(reply.version, reply.known_version))
    confirmed_at = _confirmed_at(reply, asked_at)
    if reply.version == NO_VERSION:
        return state, ()
    if state.is_ready:
        return _follow(state, address, reply, confirmed_at)
    state, actions = _take_newest(state, address, reply)
    if actions:
        return state, actions
    state = replace(state, answers={**state.answers, address: reply.version})
    newest = state.newest
    is_confirmed = confirmed_at is not None and confirmed_at >= state.started_at
    if is_confirmed and newest is not None and newest.version >= reply.version:
        return _put_in_force(state, newest, confirmed_at)
    return _adopt_by_majority(state)


def _follow(
    state: State, address: str, reply: ConfigurationReply, confirmed_at: float | None
) -> Step:
    if reply.version <= state.version or not reply.document:
        return state, ()
    found = unpack(reply.document, reply.version)
    if isinstance(found, Failure):
        return state, (RejectDocument(address, reply.version, found.failure()),)
    return _put_in_force(state, found.unwrap(), confirmed_at)


def _take_newest(state: State, address: str, reply: ConfigurationReply) -> Step:
    held = NO_VERSION if state.newest is None else state.newest.version
    if reply.version <= held:
        return state, ()
    found = unpack(reply.document, reply.version)
    if isinstance(found, Failure):
        return state, (RejectDocument(address, reply.version, found.failure()),)
    return replace(state, newest=found.unwrap()), ()


def _adopt_by_majority(state: State) -> Step:
    newest = state.newest
    if state.is_ready or newest is None or not state.is_store_down:
        return state, ()
    if len(state.answers.keys() & state.peers) < state.needed_answers:
        return state, ()
    if newest.version < state.known_version:
        return state, ()
    return _put_in_force(state, newest, None)


def _put_in_force(
    state: State, configuration: Configuration, confirmed_at: float | None
) -> Step:
    state = replace(
        state,
        in_force=configuration,
        document=pack(configuration),
        confirmed_at=confirmed_at,
        answers={},
        newest=None,
    )
    confirm = Confirm(configuration.version, confirmed_at)
    return state, (PutInForce(configuration), confirm)


def _heard(state: State, digest: PeerDigest, now: float) -> Step:
    state = with_known(state, digest.version)
    if not state.is_ready:
        return state, ()
    if digest.version == state.version and digest.confirmed_at is not None:
        return _confirmed(state, digest.confirmed_at, now)
    is_asked = digest.address in state.asked or len(state.asked) >= MAX_ASKED_PEERS
    if digest.version <= state.version or is_asked:
        return state, ()
    until = now + ASK_TIMEOUT_SECONDS
    state = replace(state, asked={**state.asked, digest.address: until})
    return state, (AskPeer(digest.address, state.version, now),)


def _confirmed(state: State, confirmed_at: float, now: float) -> Step:
    if state.confirmed_at is not None and state.confirmed_at >= confirmed_at:
        return state, ()
    state = replace(state, confirmed_at=confirmed_at)
    if now < state.told_at + CONFIRM_INTERVAL_SECONDS:
        return state, ()
    return replace(state, told_at=now), (Confirm(state.version, confirmed_at),)


def _answer(state: State, message: Message, now: float) -> Message:
    if not isinstance(message, ConfigurationRequest):
        return Refused("unexpected")
    age_ms = UNKNOWN_AGE_MS
    if state.confirmed_at is not None:
        age_ms = max(0, math.ceil((now - state.confirmed_at) * 1000))
    document = state.document if state.version > message.above else b""
    return ConfigurationReply(state.version, state.known_version, age_ms, document)


def _confirmed_at(reply: ConfigurationReply, asked_at: float) -> float | None:
    # The peer stated the age after it was asked, so its read began no earlier.
    if reply.age_ms == UNKNOWN_AGE_MS:
        return None
    return asked_at - reply.age_ms / 1000
