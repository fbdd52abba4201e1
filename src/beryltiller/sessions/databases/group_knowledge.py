"""What a proxy knows of one database group, and the questions that it answers.

The terms and the meaning of times are those of `groups`, which records observations.
"""

from collections.abc import Callable

from beryltiller.core.position import Position
from beryltiller.sessions.databases.announced import KnownAnnouncements
from beryltiller.sessions.databases.continuity import (
    NEWS_SECONDS,
    RESTART_SECONDS,
    Continuity,
)
from beryltiller.sessions.databases.evidence import (
    ANNOUNCEMENT_PROOF_SECONDS,
    SAMPLE_RETENTION_SECONDS,
    CommitCovers,
    Cover,
    Evidence,
    PeerCover,
    Sample,
    TermProofs,
)
from beryltiller.sessions.databases.in_sync_set import (
    DRAIN_LEASE_SECONDS,
    SET_LEASE_SECONDS,
    InSyncSet,
    LeavingProcesses,
)
from beryltiller.sessions.databases.leadership import Leadership
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.primary_change import ChangeTracker, PrimaryChange
from beryltiller.sessions.statements import NO_POSITION


def no_time() -> float:
    """Return 0 as the time of a group in which nothing grows old."""
    return 0.0


class GroupKnowledge:
    """One service's databases, their leader, and what the evidence shows of them."""

    def __init__(
        self,
        service: str,
        announced: KnownAnnouncements | None = None,
        clock: Callable[[], float] = no_time,
    ) -> None:
        """Create a group without databases.

        Answers of its replicas prove terms by what is `announced`. `clock` tells how
        old that is.
        """
        self.service = service
        self._clock = clock
        self._announced = announced or KnownAnnouncements()
        self.members: dict[str, Member] = {}
        self._leadership = Leadership()
        self._continuity = Continuity()
        self._proofs = TermProofs(self.is_unbroken)
        self._covers = CommitCovers(self._proofs)
        self._changes = ChangeTracker()
        self._in_sync: InSyncSet | None = None
        self._leaving = LeavingProcesses()
        self._has_departed = False

    @property
    def in_sync(self) -> InSyncSet | None:
        """Return the processes that are in sync, or None if no set is kept."""
        return self._in_sync

    def is_in_sync(self, member: Member | None) -> bool:
        """Return True if a database's process is in sync, or no set is kept.

        What it has received counts for reported commits, and every promoter has to
        account for it.
        """
        if self._in_sync is None:
            return True
        return member is not None and self._in_sync.counts(member.database)

    @property
    def leaving(self) -> LeavingProcesses:
        """Return since when processes in sync have been known to be leaving."""
        return self._leaving

    @property
    def is_set_current(self) -> bool:
        """Return True if the set is known as of recently, or none is kept.

        Otherwise others may have removed processes from it that run on.
        """
        return self._in_sync is None or self.is_known_within(SET_LEASE_SECONDS)

    def counts_alone(self, member: Member) -> bool:
        """Return True if a process in sync cannot have left the set unseen."""
        if self._in_sync is None:
            return True
        return self.is_in_sync(member) and self.is_known_within(DRAIN_LEASE_SECONDS)

    @property
    def has_news(self) -> bool:
        """Return True if announcements arrive, as far as can be known by now."""
        return self._announced.is_arriving and self.is_known_within(NEWS_SECONDS)

    def is_known_within(self, seconds: float) -> bool:
        """Return True if announcements are known until some seconds ago, or later."""
        return self._clock() <= self._announced.at + seconds

    @property
    def settled_at(self) -> float:
        """Return until when all changes of primary are known that still matter.

        A connection that was opened before leads to a process that the promoter of any
        other change has yet to ask.
        """
        return max(self._announced.at, self._continuity.settled_at)

    @property
    def unbroken_until(self) -> float:
        """Return until when no change of primary took effect unseen, for certain."""
        announced_until = self._announced.at + ANNOUNCEMENT_PROOF_SECONDS
        return max(announced_until, self._continuity.until)

    def is_unbroken(self, moment: float) -> bool:
        """Return True if no change of primary took effect unseen by a moment."""
        return self.unbroken_until >= moment

    @property
    def may_be_unbroken(self) -> bool:
        """Return True if what is sent now may be found to precede any unseen change.

        While announcements arrive, the next one shows it. A chain of answers that has
        ended begins again soon after the last news only.
        """
        now = self._clock()
        return (
            self.has_news
            or self.is_unbroken(now)
            or (now <= self._announced.entries_at + RESTART_SECONDS)
        )

    @property
    def announced(self) -> KnownAnnouncements:
        """Return what is known of the announcements that were made."""
        return self._announced

    @property
    def changes(self) -> ChangeTracker:
        """Return the tracker of announced changes of the primary."""
        return self._changes

    def change_under_way(self, now: float) -> PrimaryChange | None:
        """Return the announced change of the primary in force, or None."""
        return self._changes.under_way(
            self._leadership.term, now, self._leadership.identifier or ""
        )

    @property
    def leader(self) -> Member | None:
        """Return the database that is believed to be the primary, or None."""
        return self._leadership.leader_in(self.members)

    @property
    def term(self) -> int:
        """Return the newest term known, or 0."""
        return self._leadership.term

    @property
    def newest_proof(self) -> Evidence | None:
        """Return the newest proof of the leader's term, or None without any."""
        leader = self.leader
        return self._proofs.newest(leader.reported_primary_term) if leader else None

    @property
    def lost_log_covered_by(self) -> Position | None:
        """Return a position that covers what was acknowledged before a log was lost.

        This is the last loss of a log in the group. Return None while none is known.
        """
        return self._covers.lost_log_covered_by

    @property
    def replicas(self) -> tuple[Member, ...]:
        """Return all members except the leader."""
        return tuple(
            member
            for identifier, member in self.members.items()
            if identifier != self._leadership.identifier
        )

    @property
    def fenced_replicas(self) -> tuple[Member, ...]:
        """Return the replicas whose last status showed a fence."""
        return tuple(each for each in self.replicas if each.fenced_since is not None)

    def leaders_to_confirm(self) -> tuple[Member, ...]:
        """Return the databases to be asked whether they are primary.

        This is the leader until it has reported its term, or, without a credible
        leader, every database that claims to be primary.
        """
        leader = self.leader
        if leader is not None:
            return () if leader.reported_primary_term else (leader,)
        return tuple(each for each in self.members.values() if each.claims_lead)

    def is_term_proved(self, moment: float) -> bool:
        """Return True if no term later than the leader's can have begun by `moment`.

        The leader's log then holds every commit acknowledged before `moment`.
        """
        leader = self.leader
        if leader is None or leader.lead is None:
            return False
        return self._proofs.is_proved(leader.lead.term, moment)

    def is_lead_shown(self, moment: float) -> bool:
        """Return True if the leader has shown recently that it is still primary."""
        term = self.leader.reported_primary_term if self.leader else 0
        return self._proofs.is_led(term, moment)

    def is_answer_proved(
        self, member: Member, position: Position | None, moment: float
    ) -> bool:
        """Return True if the log that a database answered from is complete.

        It holds every commit acknowledged before `moment` if the database leads in a
        term proved until then, and answered with a position of that term's primary.
        """
        if member is not self.leader or not self.is_term_proved(moment):
            return False
        lead = member.lead
        return lead is not None and lead.includes(position or NO_POSITION)

    def covering_position(self, moment: float) -> Position | None:
        """Return a position that covers all commits acknowledged before `moment`.

        Return None if no proved position is new enough.
        """
        cover = self.cover(moment)
        return cover.position if cover else None

    def cover(self, moment: float) -> Cover | None:
        """Return what covers all commits acknowledged before `moment`, or None.

        A survey that does not reach a commit which some proxy has reported has missed a
        log that is not known here.
        """
        return self._covers.cover(moment, self._changes.reported_anywhere)

    @property
    def peer_cover(self) -> PeerCover | None:
        """Return the newest position that a peer has proved, or None."""
        return self._covers.peer_cover

    def newest_proved_sample(self) -> Sample | None:
        """Return the newest sample whose term is proved, or None."""
        return self._covers.newest_proved_sample()

    def lag_seconds(self, replica: Member, now: float) -> float:
        """Return by how much a replica lagged at least when last asked.

        Return 0 if that is not known, or longer ago than samples are kept.
        """
        asked_at = replica.position_asked_at
        if replica.applied is None or asked_at < now - SAMPLE_RETENTION_SECONDS:
            return 0.0
        missing = (
            sample.asked_at
            for sample in self._covers.samples()
            if sample.position > replica.applied
        )
        return max(0.0, asked_at - next(missing, asked_at))
