"""Refresh of evidence from the store or from peers, with few reads of the store.

The first proxies of each availability zone read the store. The others form a tree
below them: each has one request open at its parent, which answers as soon as it has
newer evidence. Each proxy therefore sends and answers a constant number of messages,
and the load on the store grows with the number of zones, not of proxies.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from math import inf

from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_actions import (
    Action,
    RequestEvidence,
    ScanTerms,
    SendEvidence,
)
from beryltiller.primaries.term_events import (
    EvidenceReceived,
    EvidenceRequested,
    Member,
)


@dataclass(frozen=True, slots=True)
class RefreshSettings:
    """Intervals and limits of store reads and peer requests, and the tree's shape.

    The store counts as stable while no gap between its answers is longer than
    `store_stability_seconds`. A proxy that reads the store also asks peers once the
    store has been silent for `answer_timeout_seconds`. Any proxy asks the next peer if
    one does not answer in that time. `fan_out` is the number of children per proxy.
    """

    poll_seconds: float = 0.25
    scan_timeout_seconds: float = 2.0
    max_scans_in_flight: int = 4
    store_stability_seconds: float = 1.0
    answer_timeout_seconds: float = 0.4
    readers_per_zone: int = 2
    fan_out: int = 4
    max_held_requests: int = 64


@dataclass(frozen=True, slots=True)
class EvidenceSources:
    """The sources of a proxy's evidence: the store, and peers in order of use."""

    reads_store: bool = True
    peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class HeldRequest:
    """A peer's request, held for `poll_seconds` or until there is newer evidence."""

    request: EvidenceRequested
    received_at: float


@dataclass(frozen=True, slots=True)
class RefreshState:
    """The reads and requests in flight, and the requests of peers that are held.

    `scans` are the start times of the reads in flight. `own_requests` maps the time of
    each own request to the peer it was sent to. An answer that matches none of them is
    dropped, so that evidence is never dated by another host's clock. `peer_index` is
    the position in `sources.peers` of the peer used last.
    """

    settings: RefreshSettings = field(default_factory=RefreshSettings)
    sources: EvidenceSources = field(default_factory=EvidenceSources)
    scans: tuple[float, ...] = ()
    next_scan_at: float = -inf
    store_answered_at: float = -inf
    store_stable_since: float = -inf
    own_requests: Mapping[float, str] = field(default_factory=dict)
    next_request_at: float = -inf
    peer_index: int = 0
    held_requests: Mapping[str, HeldRequest] = field(default_factory=dict)


Decision = tuple[RefreshState, tuple[Action, ...]]


def select_sources(
    name: str,
    members: Sequence[Member],
    settings: RefreshSettings,
) -> EvidenceSources:
    """Return the sources of a proxy, by its rank among the members of its zone.

    The first proxies of a zone read the store; if they cannot reach it, they send
    requests to the readers of other zones.
    """
    zones: dict[str, list[str]] = defaultdict(list)
    for member in sorted(members, key=lambda each: each.name):
        zones[member.availability_zone].append(member.name)
    own = next((names for names in zones.values() if name in names), [name])
    rank = own.index(name)
    readers = settings.readers_per_zone
    if rank >= readers:
        parent = own[(rank - readers) // settings.fan_out]
        others = tuple(each for each in own[:readers] if each != parent)
        return EvidenceSources(reads_store=False, peers=(parent, *others))
    elsewhere = (names[min(rank, len(names) - 1)] for names in zones.values())
    return EvidenceSources(peers=tuple(each for each in elsewhere if each != name))


def tick(refresh: RefreshState, evidence: Evidence, now: float) -> Decision:
    """Start the due reads and requests, and answer requests held for too long."""
    settings = refresh.settings
    oldest = now - settings.scan_timeout_seconds
    scans = tuple(started for started in refresh.scans if started > oldest)
    refresh = replace(refresh, scans=scans)
    refresh, actions = _answer_overdue(refresh, evidence, now)
    if refresh.sources.reads_store and now >= refresh.next_scan_at:
        refresh, reads = _start_scan(refresh, evidence, now)
        actions += reads
    if _needs_peers(refresh, now) and now >= refresh.next_request_at:
        refresh, requests = _request_evidence(refresh, evidence, now)
        actions += requests
    return refresh, actions


def scan_now(refresh: RefreshState, evidence: Evidence, now: float) -> Decision:
    """Start a read of the store, even if `max_scans_in_flight` are in flight.

    Used by itself to find out whether a write took effect.
    """
    scan = ScanTerms(evidence.revision, now)
    return replace(refresh, scans=(*refresh.scans, now)), (scan,)


def record_store_answer(
    refresh: RefreshState, now: float, started_at: float
) -> RefreshState:
    """Record that the store answered the request started at `started_at`."""
    scans = tuple(started for started in refresh.scans if started != started_at)
    silent_seconds = now - refresh.store_answered_at
    is_stable = silent_seconds <= refresh.settings.store_stability_seconds
    return replace(
        refresh,
        scans=scans,
        store_answered_at=now,
        store_stable_since=refresh.store_stable_since if is_stable else now,
    )


def record_scan_failure(refresh: RefreshState, started_at: float) -> RefreshState:
    """Record that the read of the store started at `started_at` failed."""
    scans = tuple(started for started in refresh.scans if started != started_at)
    return replace(refresh, scans=scans)


def handle_peer_request(
    refresh: RefreshState,
    evidence: Evidence,
    request: EvidenceRequested,
    now: float,
) -> Decision:
    """Answer a peer at once if this proxy has newer evidence, else hold the request.

    The request is dropped if `max_held_requests` are already held.
    """
    held = HeldRequest(request, now)
    own_age_seconds = now - evidence.dated_at
    has_newer_rows = evidence.revision > request.revision
    is_newer = own_age_seconds + refresh.settings.poll_seconds < request.age_seconds
    if has_newer_rows or is_newer:
        return refresh, (_build_answer(held, evidence),)
    if len(refresh.held_requests) >= refresh.settings.max_held_requests:
        return refresh, ()
    return (
        replace(refresh, held_requests={**refresh.held_requests, request.peer: held}),
        (),
    )


def handle_peer_answer(
    refresh: RefreshState,
    evidence: Evidence,
    answer: EvidenceReceived,
    now: float,
) -> tuple[RefreshState, Evidence]:
    """Return the evidence with a peer's answer, if it matches an open request."""
    if refresh.own_requests.get(answer.asked_at) != answer.peer:
        return refresh, evidence
    dated_at = min(answer.asked_at - answer.age_seconds, now)
    own_requests = {
        at: peer for at, peer in refresh.own_requests.items() if at > answer.asked_at
    }
    refresh = replace(refresh, own_requests=own_requests, next_request_at=now)
    return refresh, evidence.with_read_rows(answer.rows, answer.revision, dated_at)


def answer_held_requests(refresh: RefreshState, evidence: Evidence) -> Decision:
    """Answer every held request, after newer evidence has arrived."""
    answers = tuple(
        _build_answer(held, evidence) for held in refresh.held_requests.values()
    )
    return replace(refresh, held_requests={}), answers


def _start_scan(refresh: RefreshState, evidence: Evidence, now: float) -> Decision:
    settings = refresh.settings
    refresh = replace(refresh, next_scan_at=now + settings.poll_seconds)
    if len(refresh.scans) >= settings.max_scans_in_flight:
        return refresh, ()
    return scan_now(refresh, evidence, now)


def _needs_peers(refresh: RefreshState, now: float) -> bool:
    if not refresh.sources.peers:
        return False
    silent_seconds = now - refresh.store_answered_at
    is_store_silent = silent_seconds > refresh.settings.answer_timeout_seconds
    return not refresh.sources.reads_store or is_store_silent


def _request_evidence(
    refresh: RefreshState, evidence: Evidence, now: float
) -> Decision:
    settings = refresh.settings
    peers = refresh.sources.peers
    is_unanswered = bool(refresh.own_requests)
    peer_index = (refresh.peer_index + is_unanswered) % len(peers)
    peer = peers[peer_index]
    request = RequestEvidence(peer, now, evidence.revision, now - evidence.dated_at)
    oldest = now - settings.scan_timeout_seconds
    own_requests = {
        at: each for at, each in refresh.own_requests.items() if at > oldest
    }
    own_requests[now] = peer
    refresh = replace(
        refresh,
        peer_index=peer_index,
        own_requests=own_requests,
        next_request_at=now + settings.answer_timeout_seconds,
    )
    return refresh, (request,)


def _answer_overdue(refresh: RefreshState, evidence: Evidence, now: float) -> Decision:
    oldest = now - refresh.settings.poll_seconds
    overdue = [
        each for each in refresh.held_requests.values() if each.received_at <= oldest
    ]
    if not overdue:
        return refresh, ()
    answered = {held.request.peer for held in overdue}
    held_requests = {
        peer: each
        for peer, each in refresh.held_requests.items()
        if peer not in answered
    }
    answers = tuple(_build_answer(held, evidence) for held in overdue)
    return replace(refresh, held_requests=held_requests), answers


def _build_answer(held: HeldRequest, evidence: Evidence) -> SendEvidence:
    request = held.request
    return SendEvidence(
        peer=request.peer,
        asked_at=request.asked_at,
        age_seconds=held.received_at - evidence.dated_at,
        revision=evidence.revision,
        rows=evidence.rows_newer_than(request.revision),
    )
