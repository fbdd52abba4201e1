"""Evidence about a group's log: which terms are in force, and what a position covers.

A term is in force until a later one begins. A position covers the commits acknowledged
before a moment if every log that reaches it holds them. Evidence counts only for the
term that it was given in, whichever database leads when it is recorded.

Times are seconds on the caller's clock, passed in. The time of an answer is the moment
before it was asked for.
"""

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, unique

from beryltiller.core.position import Position
from beryltiller.sessions.databases.member import NEVER

# A promoting proxy waits this long between fencing the replicas and promoting one.
PROMOTION_HOLD_SECONDS = 0.4
# It waits this long at least after it has announced the change. Proxies have heard of
# it and objected to it by then.
OBJECTION_WAIT_SECONDS = 0.2
# A database takes this long at least to become primary.
PROMOTION_SECONDS = 0.1
# A term that is proved to be in force at a moment remains so for this long.
TERM_PROOF_SECONDS = PROMOTION_HOLD_SECONDS + PROMOTION_SECONDS
# A change that has not been announced by a moment takes no effect for this long.
ANNOUNCEMENT_PROOF_SECONDS = OBJECTION_WAIT_SECONDS + PROMOTION_SECONDS
# For how long an answer counts that proves nothing.
NO_PROOF_SECONDS = float("-inf")
# How long samples and surveys are kept, and the minimum time between two samples.
SAMPLE_RETENTION_SECONDS = 4.0
MIN_SAMPLE_SPACING_SECONDS = 0.02


@unique
class EvidenceKind(Enum):
    """What an answer showed: a log's position, or that a leader's term is in force."""

    SAMPLE = "sample"
    SURVEY = "survey"
    COMMIT = "commit"
    STATUS = "status"
    REPLICA_POSITION = "replica position"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Evidence:
    """The kind of an answer, the database that gave it, and when it was asked.

    `source` is empty for a survey.
    """

    kind: EvidenceKind
    source: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class Sample:
    """The position that the primary of `term`, database `source`, answered with.

    It covers every commit acknowledged before `asked_at` if `term` is proved until
    then: a later term could have acknowledged others.
    """

    asked_at: float
    position: Position
    term: int
    source: str


@dataclass(frozen=True, slots=True)
class Survey:
    """A log position that covers every commit acknowledged before `asked_at`."""

    asked_at: float
    position: Position


@dataclass(frozen=True, slots=True)
class PeerCover:
    """A position that, as a peer has proved, covers commits before `moment`."""

    moment: float
    position: Position


@dataclass(frozen=True, slots=True)
class Cover:
    """A position that covers what a read must see, and the evidence for it."""

    position: Position
    evidence: Evidence


class TermProofs:
    """Until when each term of a group is proved to be in force.

    That takes two kinds of answers: that no replica was fenced, which shows that no
    later term began unless the primary had stepped down, and that the primary still
    led, which shows that it had not.

    >>> proofs = TermProofs()
    >>> answer = Evidence(EvidenceKind.STATUS, "db2", asked_at=1.0)
    >>> proofs.record_unfenced(3, answer, until=1.5)
    >>> proofs.is_proved(3, moment=1.0)
    False
    >>> proofs.record_led(3, asked_at=1.2)
    >>> proofs.is_proved(3, moment=1.5)
    True
    """

    def __init__(
        self, is_unbroken: Callable[[float], bool] = lambda moment: True
    ) -> None:
        """Create proofs of no term.

        They count until a moment if `is_unbroken` shows that no change of primary took
        effect unseen by then.
        """
        self._is_unbroken = is_unbroken
        self._unfenced_until: dict[int, float] = {}
        self._led_until: dict[int, float] = {}
        self._newest: dict[int, Evidence] = {}

    def record_unfenced(self, term: int, evidence: Evidence, until: float) -> None:
        """Record an answer that shows until when replicas were not fenced in a term."""
        if _extend(self._unfenced_until, term, until):
            self._newest[term] = evidence
        for each in self._newest.keys() - self._unfenced_until.keys():
            del self._newest[each]

    def record_led(self, term: int, asked_at: float) -> None:
        """Record an answer by which the primary of a term still led."""
        _extend(self._led_until, term, asked_at + TERM_PROOF_SECONDS)

    def is_led(self, term: int, moment: float) -> bool:
        """Return True if the primary of a term showed that it led until `moment`."""
        return self._led_until.get(term, NEVER) >= moment

    def is_proved(self, term: int, moment: float) -> bool:
        """Return True if no later term can have begun by `moment`."""
        is_unfenced = self._unfenced_until.get(term, NEVER) >= moment
        is_led = is_unfenced and self.is_led(term, moment)
        return is_led and self._is_unbroken(moment)

    def newest(self, term: int) -> Evidence | None:
        """Return the newest answer by which a replica was not fenced in a term."""
        return self._newest.get(term)


class CommitCovers:
    """The samples and surveys of a group, and what they cover.

    A survey holds a commit that is in two logs. After a log was lost, or when the
    process has just started, commits acknowledged before may be in one log only: a
    survey then counts once it reaches a sample taken since.
    """

    def __init__(self, proofs: TermProofs) -> None:
        """Create covers of which a sample counts if `proofs` prove its term."""
        self._proofs = proofs
        self._samples: deque[Sample] = deque()
        self._surveys: deque[Survey] = deque()
        self._peer_cover: PeerCover | None = None
        self._log_lost_at = NEVER
        self._lost_log_covered_by: Position | None = None

    @property
    def lost_log_covered_by(self) -> Position | None:
        """Return a position that covers what lost logs may have held, or None."""
        return self._lost_log_covered_by

    @property
    def peer_cover(self) -> PeerCover | None:
        """Return the newest position that a peer has proved, or None."""
        return self._peer_cover

    def add_peer_cover(self, cover: PeerCover) -> None:
        """Add a position that a peer has proved by a sample of its own.

        It holds whatever is known here of databases, as a later primary's log holds
        what the primary of a proved term had acknowledged.
        """
        if self._peer_cover is None or cover.moment > self._peer_cover.moment:
            self._peer_cover = cover

    def newest_proved_sample(self) -> Sample | None:
        """Return the newest sample whose term is proved, or None."""
        return next(
            (
                each
                for each in reversed(self._samples)
                if self._proofs.is_proved(each.term, each.asked_at)
            ),
            None,
        )

    def newest_samples(self) -> Iterator[Sample]:
        """Yield the samples, the newest first."""
        yield from reversed(self._samples)

    def samples(self) -> Iterator[Sample]:
        """Yield the samples, the oldest first."""
        yield from self._samples

    def add_sample(self, sample: Sample) -> None:
        """Add a sample unless a newer one, or one shortly before it, is there."""
        samples = self._samples
        if samples:
            last = samples[-1]
            if sample.asked_at < last.asked_at + MIN_SAMPLE_SPACING_SECONDS:
                return
        samples.append(sample)
        while samples[0].asked_at < sample.asked_at - SAMPLE_RETENTION_SECONDS:
            samples.popleft()
        self.cover_lost_log()

    def record_lost_log(self, now: float) -> None:
        """Record that a log that may have held acknowledged commits is lost."""
        self._log_lost_at = now
        self._lost_log_covered_by = None

    def cover_lost_log(self) -> None:
        """Look for a sample since the last loss of a log; call it after each proof."""
        if self._lost_log_covered_by is None:
            sample = self._proved_sample(self._log_lost_at)
            self._lost_log_covered_by = sample.position if sample else None

    def add_survey(self, position: Position, asked_at: float) -> None:
        """Add a survey unless it may miss what a lost log held."""
        covered_by = self._lost_log_covered_by
        if covered_by is None or position < covered_by:
            return
        surveys = self._surveys
        surveys.append(Survey(asked_at, position))
        while surveys[0].asked_at < asked_at - SAMPLE_RETENTION_SECONDS:
            surveys.popleft()

    def cover(self, moment: float, surveyed_from: Position) -> Cover | None:
        """Return what covers all commits acknowledged before `moment`, or None.

        Surveys count if they reach `surveyed_from`.
        """
        sample = self._proved_sample(moment)
        if sample is not None:
            evidence = Evidence(EvidenceKind.SAMPLE, sample.source, sample.asked_at)
            return Cover(sample.position, evidence)
        peers = self._peer_cover
        if peers is not None and peers.moment >= moment:
            return Cover(peers.position, Evidence(EvidenceKind.PEER, "", peers.moment))
        for survey in self._surveys:
            if survey.asked_at >= moment and survey.position >= surveyed_from:
                evidence = Evidence(EvidenceKind.SURVEY, "", survey.asked_at)
                return Cover(survey.position, evidence)
        return None

    def _proved_sample(self, moment: float) -> Sample | None:
        """Return the first proved sample since `moment`, or None."""
        for sample in self._samples:
            if sample.asked_at < moment:
                continue
            if self._proofs.is_proved(sample.term, sample.asked_at):
                return sample
        return None


def _extend(until_of: dict[int, float], term: int, until: float) -> bool:
    """Extend until when evidence for a term counts, and drop what is of no use.

    Return True if this evidence counts for the longest.
    """
    is_longest = until > until_of.get(term, NEVER)
    if is_longest:
        until_of[term] = until
    for each in tuple(until_of):
        if until_of[each] < until - SAMPLE_RETENTION_SECONDS - TERM_PROOF_SECONDS:
            del until_of[each]
    return is_longest
