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
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.continuity import RESTART_SECONDS, Unfenced
from beryltiller.sessions.databases.evidence import (
    NO_PROOF_SECONDS,
    TERM_PROOF_SECONDS,
    Evidence,
    EvidenceKind,
    PeerCover,
    Sample,
)
from beryltiller.sessions.databases.group_knowledge import GroupKnowledge
from beryltiller.sessions.databases.in_sync_set import InSyncSet
from beryltiller.sessions.databases.leadership import UNCONFIRMED_SERIAL
from beryltiller.sessions.databases.member import NEVER, Lead, Member
from beryltiller.sessions.statements import DatabaseStatus


class Group(GroupKnowledge):
    """One service's databases, whose observations are recorded as evidence."""

    def record_in_sync(self, in_sync: InSyncSet) -> None:
        """Record which processes are in sync; receipts of others do not count."""
        self._in_sync = in_sync
        self._leaving.record(in_sync, self._clock())

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
            self._continuity.keep_only(set(self.members.values()))
        self._choose_leader()

    def record_departed(self, has_departed: bool) -> None:
        """Record whether a database of the group may run without an entry."""
        self._has_departed = has_departed

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
            if connected_at < self.settled_at:
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
            # A database that may be promoted any moment had received it as a replica.
            lasting = 0.0 if self._pending_members() else TERM_PROOF_SECONDS
            kind, until = EvidenceKind.COMMIT, asked_at + lasting
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
        Databases that an earlier request may promote any moment must all have answered.
        """
        replicas = len(self.replicas)
        answered = [status for member, status in statuses if member is not self.leader]
        is_unfenced = not any(status.fenced_term for status in answered)
        is_known = all(status.connected_at < self.settled_at for status in answered)
        lasting = TERM_PROOF_SECONDS if is_unfenced and is_known else 0.0
        if self._pending_members():
            lasting = 0.0
        if len(answered) < replicas:
            lasting = 0.0 if len(answered) == replicas - 1 else NO_PROOF_SECONDS
        if self._pending_members() - {member for member, _ in statuses}:
            lasting = NO_PROOF_SECONDS
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
        self._record_continuity(member, status, asked_at)
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

    def record_survey(self, positions: tuple[Position, ...], asked_at: float) -> None:
        """Record the received positions of all databases except one.

        A commit acknowledged since the last loss of a log is in at least two logs, so
        in at least one of these. Earlier ones are if one of these logs reaches a
        position that covers them; the survey does not count otherwise.
        """
        self._covers.add_survey(max(positions), asked_at)

    def record_peer_cover(self, cover: PeerCover) -> None:
        """Record a position that a peer has proved."""
        self._covers.add_peer_cover(cover)

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
        if self._pending_members():
            return
        for sample in self._covers.newest_samples():
            until = sample.asked_at + TERM_PROOF_SECONDS
            if self._proofs.is_proved(position.term, until):
                return
            if sample.term == position.term and sample.position < position:
                kind = EvidenceKind.REPLICA_POSITION
                self._record_unfenced(member, sample.asked_at)
                self._extend_lead(position.term, sample.asked_at)
                self._extend_proof(position.term, member, kind, sample.asked_at, until)
                return

    def _record_continuity(
        self, member: Member, status: DatabaseStatus, asked_at: float
    ) -> None:
        """Record that a replica was not promoted, and perhaps not fenced either."""
        is_settled = status.connected_at < self.settled_at
        member.record_replica_shown(asked_at, is_settled and not status.fenced_term)
        if is_settled and not status.fenced_term:
            self._record_unfenced(member, asked_at)
        self._record_full_round()

    def _pending_members(self) -> set[Member]:
        """Return the databases that a promotion requested before may still promote.

        It holds no fence before that, so that proofs last no longer than a question.
        """
        names = self._changes.pending_names(self._clock())
        found = (self.members.get(name) for name in names)
        return {each for each in found if each and each is not self.leader}

    def _record_unfenced(self, member: Member, asked_at: float) -> None:
        if not (self.is_set_current and self.is_in_sync(member)):
            return
        self._continuity.record_news(self._announced.at)
        alone = self.counts_alone(member)
        answer = Unfenced(member, asked_at, self._clock(), alone)
        self._continuity.record_unfenced(answer)

    def _record_full_round(self) -> None:
        """Record until when all that may be promoted have shown to be replicas.

        One that has started a moment ago is not promoted (`succession.comparison`): so
        this proxy knows all of them for a while after its last news.
        """
        candidates = self._candidates()
        if not candidates:
            return
        known_until = self._announced.entries_at + RESTART_SECONDS
        asked_at = min(each.replica_shown_at for each in candidates)
        if asked_at <= known_until:
            self._continuity.record_round(asked_at, is_unfenced=False)
        asked_at = min(each.unfenced_shown_at for each in candidates)
        if asked_at <= known_until:
            self._continuity.record_round(asked_at, is_unfenced=True)

    def _candidates(self) -> tuple[Member, ...]:
        """Return all databases but the leader, or none if one cannot be asked.

        One whose entry has gone a while ago may run and be promoted, too.
        """
        if self._has_departed:
            return ()
        in_sync = self._in_sync.processes if self._in_sync else ()
        is_complete = all(
            (member := self.members.get(each.identifier)) is not None
            and each.is_of(member.database)
            for each in in_sync
        )
        return self.replicas if is_complete else ()

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
