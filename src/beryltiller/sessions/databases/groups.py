"""A proxy's knowledge of one database group: its leader, term proofs and positions.

The leader is the database that this proxy believes to be the primary. Each primary
leads in a term; a later primary has a higher term. A position in the replicated log is
a term and an index. A term is proved until a moment if no later term can have begun by
then. A sample is a position that the primary of a term answered with; a survey is a
position taken from all databases except at most one, for when the leader cannot be
reached.

An observation counts only for the database that made it and for its term, whichever
database is believed to be primary when the observation is recorded.

Times are seconds on a clock that also runs while the host is suspended; the caller
passes them in.
The time of an observation is the moment before its request was sent, as the answer may
describe any moment since then.
"""

from collections.abc import Sequence

from beryltiller.core.position import Position
from beryltiller.sessions.databases.announced import KnownAnnouncements
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.evidence import (
    NO_PROOF_SECONDS,
    SAMPLE_RETENTION_SECONDS,
    TERM_PROOF_SECONDS,
    CommitCovers,
    Cover,
    Evidence,
    EvidenceKind,
    PeerCover,
    Sample,
    TermProofs,
)
from beryltiller.sessions.databases.in_sync_set import InSyncSet
from beryltiller.sessions.databases.leadership import (
    UNCONFIRMED_SERIAL,
    Leadership,
)
from beryltiller.sessions.databases.member import NEVER, Lead, Member
from beryltiller.sessions.databases.primary_change import (
    ChangeTracker,
    PrimaryChange,
)
from beryltiller.sessions.statements import NO_POSITION, DatabaseStatus


class Group:
    """One service's databases, their leader, and the evidence that they have given."""

    def __init__(
        self, service: str, announced: KnownAnnouncements | None = None
    ) -> None:
        """Create a group without databases.

        Answers of its replicas prove terms by what is `announced`.
        """
        self.service = service
        self._announced = announced or KnownAnnouncements()
        self.members: dict[str, Member] = {}
        self._leadership = Leadership()
        self._proofs = TermProofs()
        self._covers = CommitCovers(self._proofs)
        self._changes = ChangeTracker()
        self._in_sync: InSyncSet | None = None

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

    def record_in_sync(self, in_sync: InSyncSet) -> None:
        """Record which processes are in sync; receipts of others do not count."""
        self._in_sync = in_sync

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

    def update(self, databases: tuple[Database, ...], now: float) -> None:
        """Replace the group's databases by those that are registered now.

        A database that restarted or moved to another address starts with a new member.
        The log of one that restarted or is gone is lost.
        """
        previous = self.members
        self.members = {}
        for database in databases:
            member = previous.get(database.identifier)
            is_same = (
                member is not None
                and member.database.address == database.address
                and member.database.incarnation == database.incarnation
            )
            if member is None or not is_same:
                member = Member(database)
                member.primary_serial = UNCONFIRMED_SERIAL if previous else 0
            self._leadership.record_entry(member, database)
            member.database = database
            if not database.is_draining:
                member.draining_since = None
            elif member.draining_since is None:
                member.draining_since = now
            self.members[database.identifier] = member
        is_lost = (
            self.members.get(name) is not each for name, each in previous.items()
        )
        if any(is_lost):
            self._covers.record_lost_log(now)
        self._choose_leader()

    def record_lead_denied(self, member: Member) -> None:
        """Record that a database turned out not to be the primary.

        It refused a statement that only a primary runs, or its status says so.
        """
        member.has_denied_lead = True
        member.has_reported_lead = False
        self._choose_leader()

    def record_position(
        self,
        member: Member,
        position: Position | None,
        asked_at: float,
        connected_at: float = NEVER,
    ) -> None:
        """Record an answer, and the position in it if it has one.

        It came on a connection that had been opened at `connected_at`.
        """
        member.record_answer(position)
        member.record_process_answer(asked_at, connected_at)
        if position is None:
            return
        member.record_position_asked(asked_at)
        if member is not self.leader:
            member.record_applied(position, connected_at)
        if position.term > self._leadership.term:
            self._enter_term(position.term)
        if member is not self.leader:
            if connected_at < self.announced.at:
                self._record_replica_position(member, position)
        elif member.lead is not None and member.lead.includes(position):
            self._record_leader_position(member, member.lead, position, asked_at)

    def record_commit(
        self, member: Member, asked_at: float, position: Position | None = None
    ) -> None:
        """Record an acknowledged commit, which at least one replica has received.

        If the member is the leader, it was primary in the position's term, and that
        term was in force at `asked_at`. Without a position the term is not known.
        """
        member.record_acknowledged_write(asked_at)
        if position is None:
            return
        if member is self.leader:
            member.record_lead(position.term, position)
            self._extend_lead(position.term, asked_at)
            kind, until = EvidenceKind.COMMIT, asked_at + TERM_PROOF_SECONDS
            self._extend_proof(position.term, member, kind, asked_at, until)

    def record_round(
        self, statuses: Sequence[tuple[Member, DatabaseStatus]], asked_at: float
    ) -> None:
        """Record the statuses of databases that were all asked at the same time.

        They prove the leader's term beyond the moment of the question only if every
        replica answered that it is not fenced. A promote lifts all fences before each
        replica has heard of the new term: one that is silent or fenced may have become
        primary meanwhile. It has acknowledged nothing before the question, though, if
        it is the only silent one and none of the others has heard of it. Nor do they if
        a process may have started, unfenced, since announcements were last known.
        """
        replicas = len(self.replicas)
        answered = [status for member, status in statuses if member is not self.leader]
        is_unfenced = not any(status.fenced_term for status in answered)
        is_known = all(status.connected_at < self.announced.at for status in answered)
        lasting = TERM_PROOF_SECONDS if is_unfenced and is_known else 0.0
        if len(answered) < replicas:
            lasting = 0.0 if len(answered) == replicas - 1 else NO_PROOF_SECONDS
        for member, status in sorted(statuses, key=_newest_term_first):
            self.record_status(member, status, asked_at, lasting)

    def record_status(
        self,
        member: Member,
        status: DatabaseStatus,
        asked_at: float,
        proof_seconds: float = TERM_PROOF_SECONDS,
    ) -> None:
        """Record a database's status, which may change the leader or prove its term.

        An unfenced replica in the term in which the leader reported to be primary
        proves that no later term had begun, for `proof_seconds` from the question on. A
        leader that has not reported so yet proves nothing: it may be a replica in that
        term itself.
        """
        member.record_answer(None)
        member.record_process_answer(asked_at, status.connected_at)
        member.record_fence(bool(status.fenced_term), asked_at)
        member.term = max(member.term, status.term)
        is_newer = status.term > self._leadership.term
        if is_newer:
            self._enter_term(status.term)
        if status.is_primary:
            self._record_primary(member, status, is_newer)
            self.record_lead(member, asked_at)
        else:
            member.record_received(status.received, asked_at, status.connected_at)
        leader = self.leader
        if leader is None or member is leader or status.is_primary:
            return
        if status.term == leader.reported_primary_term and not status.fenced_term:
            kind, until = EvidenceKind.STATUS, asked_at + proof_seconds
            self._extend_proof(status.term, member, kind, asked_at, until)

    def _record_primary(
        self, member: Member, status: DatabaseStatus, is_newer: bool
    ) -> None:
        """Record that a database reports to be primary.

        A primary of an older term was replaced and has not noticed yet. One of the
        same term may have been replaced by a leader that was not asked yet, so it
        counts as newly promoted only if there is no leader.
        """
        leader = self.leader
        is_new = leader is None or (member is not leader and is_newer)
        member.record_lead(status.term, status.received)
        self._changes.record_lead(status.term, status.received)
        if status.term >= self._leadership.term:
            member.has_denied_lead = False
            member.has_reported_lead = True
        if is_new and status.term >= self._leadership.term:
            member.primary_serial = self._leadership.next_primary_serial()
        self._choose_leader()

    def record_lead(self, member: Member, asked_at: float) -> None:
        """Record that a database showed that it is primary when it was asked."""
        if member is self.leader and member.lead is not None:
            self._extend_lead(member.lead.term, asked_at)

    def leaders_to_confirm(self) -> tuple[Member, ...]:
        """Return the databases to be asked whether they are primary.

        This is the leader until it has reported its term, or, without a credible
        leader, every database that claims to be primary.
        """
        leader = self.leader
        if leader is not None:
            return () if leader.reported_primary_term else (leader,)
        return tuple(each for each in self.members.values() if each.claims_lead)

    def record_survey(self, positions: tuple[Position, ...], asked_at: float) -> None:
        """Record the received positions of all databases except one.

        A commit acknowledged since the last loss of a log is in at least two logs, so
        in at least one of these. Earlier ones are if one of these logs reaches a
        position that covers them; the survey does not count otherwise.
        """
        self._covers.add_survey(max(positions), asked_at)

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

    def record_peer_cover(self, cover: PeerCover) -> None:
        """Record a position that a peer has proved."""
        self._covers.add_peer_cover(cover)

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

    def _record_leader_position(
        self, member: Member, lead: Lead, position: Position, asked_at: float
    ) -> None:
        """Add a sample, unless the leader has answered with a later position before.

        Answers may be recorded in another order than they were given, or be those of a
        process that has restarted and lost its log.
        """
        if lead.answered is None or position >= lead.answered:
            member.record_lead_position(position)
            source = member.database.identifier
            self._covers.add_sample(Sample(asked_at, position, lead.term, source))

    def _record_replica_position(self, member: Member, position: Position) -> None:
        """Record how far a replica has applied, which may prove the leader's term.

        An entry beyond the position that the leader answered with in this term was
        written after the leader was asked, and received by a replica that was not
        fenced then.
        """
        leader = self.leader
        if leader is None or position.term != leader.reported_primary_term:
            return
        for sample in self._covers.newest_samples():
            until = sample.asked_at + TERM_PROOF_SECONDS
            if self._proofs.is_proved(position.term, until):
                return
            if sample.term == position.term and sample.position < position:
                kind = EvidenceKind.REPLICA_POSITION
                self._extend_lead(position.term, sample.asked_at)
                self._extend_proof(position.term, member, kind, sample.asked_at, until)
                return

    def _extend_proof(
        self,
        term: int,
        source: Member,
        kind: EvidenceKind,
        asked_at: float,
        until: float,
    ) -> None:
        if self.change_under_way(asked_at) is not None:
            # The successor may lead any moment, whatever an unknown replica shows.
            return
        if not (self.is_in_sync(source) and self.is_in_sync(self.leader)):
            # A promoter need not have fenced others.
            return
        evidence = Evidence(kind, source.database.identifier, asked_at)
        self._proofs.record_unfenced(term, evidence, until)
        self._covers.cover_lost_log()

    def _extend_lead(self, term: int, asked_at: float) -> None:
        self._proofs.record_led(term, asked_at)
        self._covers.cover_lost_log()

    def _enter_term(self, term: int) -> None:
        self._leadership.term = term
        self._choose_leader()

    def _choose_leader(self) -> None:
        self._leadership.choose(self.members.values())


def _newest_term_first(answer: tuple[Member, DatabaseStatus]) -> int:
    _, status = answer
    return -status.term
