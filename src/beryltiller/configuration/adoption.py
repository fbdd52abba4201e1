"""Adoption: which version of the configuration is in force at this proxy.

A sans-I/O core. Once a configuration is in force, only a higher version replaces
it, from the store or from any peer. A few proxies of each availability zone poll the
store. The others learn of new versions by gossip and request them from the proxy that
announced them.

A process that has just started has no configuration in force and is not ready. Its
first configuration must not be older than the one that was in force at the same host
before, so it must be one of

- the store's row, from a read that began after the start;
- a peer's version, if a store read that began after the start showed it to be the
  newest;
- while the store does not answer, the newest version among the answers of at least
  half of the entry hosts (see `State.needed_answers`), if none of them knows of a newer
  one.
"""

import math
from dataclasses import replace

from returns.result import Failure

from beryltiller.configuration.adoption_events import (
    Action,
    AnnounceVersion,
    AskPeer,
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
    record_known_version,
    unpack,
    without_request,
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
SLOW_POLL_SECONDS = 30.0  # by proxies other than the two per zone that poll
STALE_CONFIRMATION_SECONDS = 5.0
STALE_POLL_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 2.0
ASK_TIMEOUT_SECONDS = 1.0
ASK_INTERVAL_SECONDS = 0.5
CONFIRM_INTERVAL_SECONDS = 0.5  # between announcements of a confirmation
# Before a first configuration: peers asked at a time, without and with a store outage.
FIRST_ASKED_PEERS = 3
OUTAGE_ASKED_PEERS = 20
MAX_ASKED_PEERS = 2  # open requests for a newer version, once ready
_STORE = "store"

Decision = tuple[State, tuple[Action, ...]]


def decide(state: State, event: Event, now: float) -> Decision:
    """Return the state after an event, and the actions to carry out."""
    match event:
        case Tick():
            return _tick(state, now)
        case StoreAnswered(row, asked_at):
            return _process_store_row(state, row, asked_at, now)
        case StoreFailed():
            state = replace(state, read_until=None, is_store_down=True)
            return _adopt_by_majority(state)
        case Received(message, reply_to):
            return state, (Reply(reply_to, _build_reply(state, message, now)),)
        case PeerAnswered(address, reply, asked_at):
            return _process_peer_reply(state, address, reply, asked_at)
        case PeerFailed(address):
            return without_request(state, address), ()
        case PeerDigest():
            return _process_digest(state, event, now)
        case PeersChanged(addresses, is_polling):
            live = frozenset(addresses)
            return replace(state, live=live, is_polling=is_polling), ()
        case HostsListed(hosts):
            entries = (host for host in hosts if host.kind is HostKind.ENTRY)
            listed = frozenset(host.address for host in entries)
            return replace(state, listed=listed), ()


def _tick(state: State, now: float) -> Decision:
    overdue = [
        address for address, until in state.pending_requests.items() if until <= now
    ]
    for address in overdue:
        state = without_request(state, address)
    state, actions = _read_when_due(state, now)
    if not state.is_ready and now >= state.next_ask_at:
        state, more = _ask_peers_for_first(state, now)
        actions += more
    return state, actions


def _read_when_due(state: State, now: float) -> Decision:
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
        # The proxies that poll for this zone may have lost contact with the store.
        return STALE_POLL_SECONDS
    return SLOW_POLL_SECONDS


def _ask_peers_for_first(state: State, now: float) -> Decision:
    peer_count = OUTAGE_ASKED_PEERS if state.is_store_down else FIRST_ASKED_PEERS
    unanswered = sorted(
        state.peers - state.answers.keys() - state.pending_requests.keys()
    )
    # A peer that has answered is asked again only because its version may have been
    # confirmed by the store since.
    answered = sorted(state.answers.keys() - state.pending_requests.keys())
    chosen = probing.sample(
        unanswered, peer_count, state.random_seed, state.turn, "first"
    )
    chosen += probing.sample(answered, 1, state.random_seed, state.turn, "again")
    above = NO_VERSION if state.newest is None else state.newest.version
    pending_requests = {
        **state.pending_requests,
        **dict.fromkeys(chosen, now + ASK_TIMEOUT_SECONDS),
    }
    state = replace(
        state,
        pending_requests=pending_requests,
        next_ask_at=now + ASK_INTERVAL_SECONDS,
        turn=state.turn + 1,
    )
    return state, tuple(AskPeer(address, above, now) for address in chosen)


def _process_store_row(
    state: State, row: Row | None, asked_at: float, now: float
) -> Decision:
    state = replace(state, read_until=None, is_store_down=False)
    version = 0 if row is None else row.version
    state = record_known_version(state, version)
    if state.is_ready and version < state.version:
        return state, ()
    if state.is_ready and version == state.version:
        return _record_confirmation(state, asked_at, now)
    decoded = from_row(row)
    if isinstance(decoded, Failure):
        return state, (RejectDocument(_STORE, version, decoded.failure()),)
    return _put_in_force(state, decoded.unwrap(), asked_at)


def _process_peer_reply(
    state: State, address: str, reply: ConfigurationReply, asked_at: float
) -> Decision:
    state = without_request(state, address)
    state = record_known_version(state, max(reply.version, reply.known_version))
    confirmed_at = _confirmation_time(reply, asked_at)
    if reply.version == NO_VERSION:
        return state, ()
    if state.is_ready:
        return _adopt_if_newer(state, address, reply, confirmed_at)
    state, actions = _record_newest(state, address, reply)
    if actions:
        return state, actions
    state = replace(state, answers={**state.answers, address: reply.version})
    newest = state.newest
    is_confirmed = confirmed_at is not None and confirmed_at >= state.started_at
    if is_confirmed and newest is not None and newest.version >= reply.version:
        return _put_in_force(state, newest, confirmed_at)
    return _adopt_by_majority(state)


def _adopt_if_newer(
    state: State, address: str, reply: ConfigurationReply, confirmed_at: float | None
) -> Decision:
    if reply.version <= state.version or not reply.document:
        return state, ()
    decoded = unpack(reply.document, reply.version)
    if isinstance(decoded, Failure):
        return state, (RejectDocument(address, reply.version, decoded.failure()),)
    return _put_in_force(state, decoded.unwrap(), confirmed_at)


def _record_newest(state: State, address: str, reply: ConfigurationReply) -> Decision:
    newest_version = NO_VERSION if state.newest is None else state.newest.version
    if reply.version <= newest_version:
        return state, ()
    decoded = unpack(reply.document, reply.version)
    if isinstance(decoded, Failure):
        return state, (RejectDocument(address, reply.version, decoded.failure()),)
    return replace(state, newest=decoded.unwrap()), ()


def _adopt_by_majority(state: State) -> Decision:
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
) -> Decision:
    state = replace(
        state,
        in_force=configuration,
        document=pack(configuration),
        confirmed_at=confirmed_at,
        answers={},
        newest=None,
    )
    announcement = AnnounceVersion(configuration.version, confirmed_at)
    return state, (PutInForce(configuration), announcement)


def _process_digest(state: State, digest: PeerDigest, now: float) -> Decision:
    state = record_known_version(state, digest.version)
    if not state.is_ready:
        return state, ()
    if digest.version == state.version and digest.confirmed_at is not None:
        return _record_confirmation(state, digest.confirmed_at, now)
    cannot_ask = (
        digest.address in state.pending_requests
        or len(state.pending_requests) >= MAX_ASKED_PEERS
    )
    if digest.version <= state.version or cannot_ask:
        return state, ()
    until = now + ASK_TIMEOUT_SECONDS
    state = replace(
        state, pending_requests={**state.pending_requests, digest.address: until}
    )
    return state, (AskPeer(digest.address, state.version, now),)


def _record_confirmation(state: State, confirmed_at: float, now: float) -> Decision:
    if state.confirmed_at is not None and state.confirmed_at >= confirmed_at:
        return state, ()
    state = replace(state, confirmed_at=confirmed_at)
    if now < state.announced_at + CONFIRM_INTERVAL_SECONDS:
        return state, ()
    return replace(state, announced_at=now), (
        AnnounceVersion(state.version, confirmed_at),
    )


def _build_reply(state: State, message: Message, now: float) -> Message:
    if not isinstance(message, ConfigurationRequest):
        return Refused("unexpected")
    age_ms = UNKNOWN_AGE_MS
    if state.confirmed_at is not None:
        age_ms = max(0, math.ceil((now - state.confirmed_at) * 1000))
    document = state.document if state.version > message.above else b""
    return ConfigurationReply(state.version, state.known_version, age_ms, document)


def _confirmation_time(reply: ConfigurationReply, asked_at: float) -> float | None:
    # The peer computed the age after it received the request, so its store read began
    # no earlier than this.
    if reply.age_ms == UNKNOWN_AGE_MS:
        return None
    return asked_at - reply.age_ms / 1000
