"""What a proxy knows of one database group: its leader, evidence and positions.

Times are seconds on a clock that also counts suspension; the caller passes them in.
Each fact is dated from before the request that brought it was sent.
"""

from collections import deque
from dataclasses import dataclass

from beryltiller.core.position import Position
from beryltiller.sessions.catalog import Database
from beryltiller.sessions.member import NEVER, Member
from beryltiller.sessions.statements import DatabaseStatus

# A promoter waits this long between fencing the replicas and naming a new primary.
PROMOTION_HOLD_SECONDS = 0.4
# A term proved in force at a moment stays so for this long: the hold, and the time
# that a database takes at the least to take over the lead.
TERM_PROOF_SECONDS = 0.5

# Lead serial of a database that registers as primary later than others: it is asked.
LATE = -1

KEPT_SAMPLES_SECONDS = 4.0
MIN_SAMPLE_SPACING_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class Sample:
    """A position that covers every commit acknowledged before `asked_at`."""

    asked_at: float
    position: Position


@dataclass(frozen=True, slots=True)
class Tenure:
    """Tell one reign from another by the leader changes seen and the leader's term."""

    leader_changes: int
    term: int


class Group:
    """One service's databases, who leads them, and since when that is proved.

    `proved_until` is the newest moment up to which no later term can have begun.
    Samples at or before it bound what has been acknowledged: a log that holds the
    sample's position holds every commit acknowledged before `asked_at`.
    """

    def __init__(self, service: str) -> None:
        """Start without databases."""
        self.service = service
        self.members: dict[str, Member] = {}
        self._leader: str | None = None
        self._term = 0
        self._last_acknowledged = Position(0, 0)
        self._newest_serial = 0
        self._leader_changes = 0
        self._proved_until = NEVER
        self._leader_proved_until = NEVER
        self._samples: deque[Sample] = deque()
        self._surveys: deque[Sample] = deque()

    @property
    def leader(self) -> Member | None:
        """Return the database that is believed to lead."""
        return self.members.get(self._leader) if self._leader else None

    @property
    def term(self) -> int:
        """Return the leader's term, as far as known."""
        return self._term

    @property
    def tenure(self) -> Tenure:
        """Return the present reign."""
        leader = self.leader
        return Tenure(self._leader_changes, leader.term if leader else 0)

    @property
    def leader_changes(self) -> int:
        """Return how often another database was believed to lead."""
        return self._leader_changes

    @property
    def proved_until(self) -> float:
        """Return up to when the leader's term is proved to be in force."""
        return self._proved_until

    @property
    def last_acknowledged(self) -> Position:
        """Return the newest position of a commit that was acknowledged here."""
        return self._last_acknowledged

    @property
    def replicas(self) -> tuple[Member, ...]:
        """Return the members that do not lead."""
        return tuple(
            member
            for identifier, member in self.members.items()
            if identifier != self._leader
        )

    def update(self, databases: tuple[Database, ...], now: float) -> None:
        """Take in the group's registered databases."""
        known = self.members
        self.members = {}
        for database in databases:
            member = known.get(database.identifier)
            is_same = (
                member is not None
                and member.database.address == database.address
                and member.database.incarnation == database.incarnation
            )
            if member is None or not is_same:
                member = Member(database)
                member.lead_serial = LATE if known else 0
            if database.is_primary != member.database.is_primary:
                member.is_lead_denied = False
                member.is_lead_heard = False
                member.lead_serial = self._next_serial() if database.is_primary else 0
                member.lead_term = 0
            member.database = database
            if not database.is_draining:
                member.drains_since = None
            elif member.drains_since is None:
                member.drains_since = now
            self.members[database.identifier] = member
        self._choose_leader()

    def lead_denied(self, member: Member) -> None:
        """Take in that a database refused work that only a primary does."""
        member.is_lead_denied = True
        member.is_lead_heard = False
        self._choose_leader()

    def heard(self, member: Member, position: Position | None, asked_at: float) -> None:
        """Take in the position that came with an answer."""
        member.answered(position)
        if position is None:
            return
        if position.term > self._term:
            self._enter_term(position.term)
        if member.database.identifier == self._leader:
            self._add_sample(Sample(asked_at, position))
        else:
            self._replicated(position)

    def acknowledged(
        self, member: Member, asked_at: float, position: Position | None = None
    ) -> None:
        """Take in a commit of the leader that a replica has received."""
        member.acknowledged()
        if position is not None and position > self._last_acknowledged:
            self._last_acknowledged = position
        if member.database.identifier == self._leader:
            self._prove(asked_at)

    def status_heard(
        self, member: Member, status: DatabaseStatus, asked_at: float
    ) -> None:
        """Take in what a database says of its term and fence.

        A replica that is not fenced, and follows in the term in which the leader says
        that it leads, proves that no later term had begun when it was asked. A leader
        that has not said so may follow in that term itself.
        """
        member.answered(None)
        member.term = max(member.term, status.term)
        is_newer = status.term > self._term
        if is_newer:
            self._enter_term(status.term)
        if status.is_primary:
            self._primary_heard(member, status.term, is_newer)
        leader = self.leader
        if leader is None or member is leader or status.is_primary:
            return
        if status.term == leader.lead_term and not status.fenced_term:
            self._prove(asked_at)

    def _primary_heard(self, member: Member, term: int, is_newer: bool) -> None:
        """Take in that a database leads, perhaps in a newer term than any known.

        One of an older term has been replaced and does not know it yet. One of the
        same term may have been, by a leader that was not asked yet.
        """
        leader = self.leader
        is_new = leader is None or (member is not leader and is_newer)
        member.lead_term = term
        if term >= self._term:
            member.is_lead_denied = False
            member.is_lead_heard = True
        if is_new and term >= self._term:
            member.lead_serial = self._next_serial()
        self._choose_leader()

    def unconfirmed(self) -> tuple[Member, ...]:
        """Return who should be asked whether it leads.

        That is the leader before it was asked, or all that claim to lead while none of
        them can be believed.
        """
        leader = self.leader
        if leader is not None:
            return () if leader.lead_term else (leader,)
        return tuple(each for each in self.members.values() if each.is_lead_claimed)

    def surveyed(self, positions: tuple[Position, ...], asked_at: float) -> None:
        """Take in the received positions of all databases but one.

        An acknowledged commit lies in two logs at least, so in one of these.
        """
        surveys = self._surveys
        surveys.append(Sample(asked_at, max(positions)))
        while surveys[0].asked_at < asked_at - KEPT_SAMPLES_SECONDS:
            surveys.popleft()

    def is_proved(self, moment: float) -> bool:
        """Tell whether no term later than the leader's can have begun by the moment."""
        return self._leader_proved_until >= moment

    def floor(self, moment: float) -> Position | None:
        """Return a position that covers all commits acknowledged before the moment.

        None when no proved position is new enough.
        """
        for sample in self._samples:
            if sample.asked_at > self._proved_until:
                break
            if sample.asked_at >= moment:
                return sample.position
        for sample in self._surveys:
            if sample.asked_at >= moment:
                return sample.position
        return None

    def forget_proofs(self) -> None:
        """Drop all evidence, as after the process stood still."""
        self._proved_until = NEVER
        self._leader_proved_until = NEVER
        self._samples.clear()
        self._surveys.clear()

    def _replicated(self, position: Position) -> None:
        """Take in how far a replica has applied.

        An entry beyond what the leader's log held when it answered was written after
        the leader was asked, and received by a replica that was not fenced then.
        """
        leader = self.leader
        if leader is None or position.term != leader.lead_term:
            return
        for sample in reversed(self._samples):
            if sample.asked_at + TERM_PROOF_SECONDS <= self._proved_until:
                return
            if sample.position < position:
                self._prove(sample.asked_at)
                return

    def _prove(self, asked_at: float) -> None:
        until = asked_at + TERM_PROOF_SECONDS
        self._proved_until = max(self._proved_until, until)
        self._leader_proved_until = max(self._leader_proved_until, until)

    def _add_sample(self, sample: Sample) -> None:
        samples = self._samples
        if samples:
            last = samples[-1]
            if sample.asked_at < last.asked_at + MIN_SAMPLE_SPACING_SECONDS:
                return
        samples.append(sample)
        while samples[0].asked_at < sample.asked_at - KEPT_SAMPLES_SECONDS:
            samples.popleft()

    def _enter_term(self, term: int) -> None:
        self._term = term
        self._drop_unproved()
        self._choose_leader()

    def _next_serial(self) -> int:
        self._newest_serial += 1
        return self._newest_serial

    def _may_lead(self, member: Member) -> bool:
        """Tell whether a database that claims to lead can be believed.

        One that was asked must lead in the newest term known. One that was not must
        have been seen to become primary after all others, or have led from the start.
        """
        if not member.is_lead_claimed or member.is_lead_denied:
            return False
        if member.lead_term:
            return member.lead_term >= self._term
        return member.lead_serial >= self._newest_serial

    def _drop_unproved(self) -> None:
        while self._samples and self._samples[-1].asked_at > self._proved_until:
            self._samples.pop()

    def _choose_leader(self) -> None:
        candidates = [each for each in self.members.values() if self._may_lead(each)]
        leader = max(candidates, key=_lead_rank, default=None)
        identifier = leader.database.identifier if leader else None
        if identifier != self._leader:
            self._leader = identifier
            self._leader_changes += 1
            self._leader_proved_until = NEVER
            self._drop_unproved()


def _lead_rank(member: Member) -> tuple[int, int, str]:
    """Prefer the database that became primary last, then that of the newest term."""
    return member.lead_serial, member.term, member.database.identifier
