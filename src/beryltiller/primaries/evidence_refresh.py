"""Keep evidence fresh from the store or from peers, with few reads of the store.

The first proxies of each availability zone read the store. The others form a tree
below them: each has one question open with its parent, which answers when it has
newer evidence. So every proxy sends and answers a constant number of messages, and
the store's load grows with the zones, not with the proxies.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from math import inf

from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.term_actions import (
    Action,
    AskEvidence,
    ScanTerms,
    TellEvidence,
)
from beryltiller.primaries.term_events import EvidenceAsked, EvidenceTold, Member


@dataclass(frozen=True, slots=True)
class RefreshSettings:
    """Hold the pace of reads and questions, and the shape of the tree."""

    poll_seconds: float = 0.25
    scan_timeout_seconds: float = 2.0
    scans_in_flight: int = 4
    steady_seconds: float = 1.0
    answer_timeout_seconds: float = 0.4
    readers_per_zone: int = 2
    fan_out: int = 4
    questions_held: int = 64


@dataclass(frozen=True, slots=True)
class EvidenceSources:
    """Tell whether a proxy reads the store, and which peers it asks, in order."""

    reads_store: bool = True
    peers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Question:
    """Hold a peer's question that waits for newer evidence."""

    asked: EvidenceAsked
    received_at: float


@dataclass(frozen=True, slots=True)
class Refresh:
    """Hold what is under way: own reads and questions, and the peers' questions.

    `questions` maps the moment of each own question to the peer asked; an answer to
    none of them is dropped, so that it cannot be dated by another host's clock.
    """

    settings: RefreshSettings = field(default_factory=RefreshSettings)
    sources: EvidenceSources = field(default_factory=EvidenceSources)
    scans: tuple[float, ...] = ()
    next_scan_at: float = -inf
    store_answered_at: float = -inf
    store_steady_since: float = -inf
    questions: Mapping[float, str] = field(default_factory=dict)
    next_question_at: float = -inf
    source: int = 0
    held: Mapping[str, Question] = field(default_factory=dict)


Result = tuple[Refresh, tuple[Action, ...]]


def evidence_sources(
    name: str,
    members: Sequence[Member],
    settings: RefreshSettings,
) -> EvidenceSources:
    """Return where a proxy gets evidence from.

    A reader whose store is out of reach asks the readers of other zones.
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


def tick(refresh: Refresh, evidence: Evidence, now: float) -> Result:
    """Start the reads and questions that are due, and answer those held too long."""
    settings = refresh.settings
    oldest = now - settings.scan_timeout_seconds
    scans = tuple(started for started in refresh.scans if started > oldest)
    refresh = replace(refresh, scans=scans)
    refresh, answers = _answer_overdue(refresh, evidence, now)
    if refresh.sources.reads_store and now >= refresh.next_scan_at:
        refresh, reads = _scan(refresh, evidence, now)
        answers += reads
    if _needs_peers(refresh, now) and now >= refresh.next_question_at:
        refresh, asks = _ask(refresh, evidence, now)
        answers += asks
    return refresh, answers


def read_back(refresh: Refresh, evidence: Evidence, now: float) -> Result:
    """Read the store at once, to learn whether a write took effect."""
    scan = ScanTerms(evidence.revision, now)
    return replace(refresh, scans=(*refresh.scans, now)), (scan,)


def store_answered(refresh: Refresh, now: float, started_at: float) -> Refresh:
    """Take in that the store answered a request."""
    scans = tuple(started for started in refresh.scans if started != started_at)
    silent_seconds = now - refresh.store_answered_at
    is_steady = silent_seconds <= refresh.settings.steady_seconds
    return replace(
        refresh,
        scans=scans,
        store_answered_at=now,
        store_steady_since=refresh.store_steady_since if is_steady else now,
    )


def scan_failed(refresh: Refresh, started_at: float) -> Refresh:
    """Take in that a read of the store came to nothing."""
    scans = tuple(started for started in refresh.scans if started != started_at)
    return replace(refresh, scans=scans)


def peer_asked(
    refresh: Refresh,
    evidence: Evidence,
    asked: EvidenceAsked,
    now: float,
) -> Result:
    """Answer a peer at once if there is something newer to tell, else later."""
    question = Question(asked, now)
    own_age_seconds = now - evidence.dated_at
    has_news = evidence.revision > asked.revision
    is_newer = own_age_seconds + refresh.settings.poll_seconds < asked.age_seconds
    if has_news or is_newer:
        return refresh, (_answer(question, evidence),)
    if len(refresh.held) >= refresh.settings.questions_held:
        return refresh, ()
    return replace(refresh, held={**refresh.held, asked.peer: question}), ()


def peer_told(
    refresh: Refresh,
    evidence: Evidence,
    told: EvidenceTold,
    now: float,
) -> tuple[Refresh, Evidence]:
    """Take in a peer's answer to one of the open questions."""
    if refresh.questions.get(told.asked_at) != told.peer:
        return refresh, evidence
    dated_at = min(told.asked_at - told.age_seconds, now)
    questions = {
        at: peer for at, peer in refresh.questions.items() if at > told.asked_at
    }
    refresh = replace(refresh, questions=questions, next_question_at=now)
    return refresh, evidence.merged(told.rows, told.revision, dated_at)


def answer_all(refresh: Refresh, evidence: Evidence) -> Result:
    """Answer every held question, now that there is newer evidence."""
    answers = tuple(_answer(question, evidence) for question in refresh.held.values())
    return replace(refresh, held={}), answers


def _scan(refresh: Refresh, evidence: Evidence, now: float) -> Result:
    settings = refresh.settings
    refresh = replace(refresh, next_scan_at=now + settings.poll_seconds)
    if len(refresh.scans) >= settings.scans_in_flight:
        return refresh, ()
    return read_back(refresh, evidence, now)


def _needs_peers(refresh: Refresh, now: float) -> bool:
    if not refresh.sources.peers:
        return False
    silent_seconds = now - refresh.store_answered_at
    is_store_silent = silent_seconds > refresh.settings.answer_timeout_seconds
    return not refresh.sources.reads_store or is_store_silent


def _ask(refresh: Refresh, evidence: Evidence, now: float) -> Result:
    settings = refresh.settings
    peers = refresh.sources.peers
    is_unanswered = bool(refresh.questions)
    source = (refresh.source + is_unanswered) % len(peers)
    peer = peers[source]
    ask = AskEvidence(peer, now, evidence.revision, now - evidence.dated_at)
    recent = now - settings.scan_timeout_seconds
    questions = {at: asked for at, asked in refresh.questions.items() if at > recent}
    questions[now] = peer
    refresh = replace(
        refresh,
        source=source,
        questions=questions,
        next_question_at=now + settings.answer_timeout_seconds,
    )
    return refresh, (ask,)


def _answer_overdue(refresh: Refresh, evidence: Evidence, now: float) -> Result:
    oldest = now - refresh.settings.poll_seconds
    overdue = [each for each in refresh.held.values() if each.received_at <= oldest]
    if not overdue:
        return refresh, ()
    answered = {question.asked.peer for question in overdue}
    held = {peer: each for peer, each in refresh.held.items() if peer not in answered}
    answers = tuple(_answer(question, evidence) for question in overdue)
    return replace(refresh, held=held), answers


def _answer(question: Question, evidence: Evidence) -> TellEvidence:
    asked = question.asked
    return TellEvidence(
        peer=asked.peer,
        asked_at=asked.asked_at,
        age_seconds=question.received_at - evidence.dated_at,
        revision=evidence.revision,
        rows=evidence.rows_after(asked.revision),
    )
