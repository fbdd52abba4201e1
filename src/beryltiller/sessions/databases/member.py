"""One database as seen by a proxy: failures, load, role and applied position.

Times are seconds on a clock that also runs while the host is suspended; the caller
passes them in.
"""

from dataclasses import dataclass, replace

from beryltiller.core.position import ORIGIN, Position
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.databases.observed_load import (
    FIRST_LATENCY_SECONDS,
    ObservedLoad,
)
from beryltiller.sessions.databases.shown_log import Shown, ShownLog

NEVER = float("-inf")

# A write that went unanswered longer ago than this no longer counts as a stall: it may
# have been lost in a partition that has ended.
STALL_MEMORY_SECONDS = 1.0

# How long the result of a probe is valid.
PROBE_VALIDITY_SECONDS = 0.4

# A failed database gets no statements for this long; the time doubles with each further
# failure, up to the maximum.
FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.0
# The delay does not grow after this many failures, since 2**1024 overflows a float.
MAX_DOUBLINGS = 8
# How long a database counts as lagging after it refused a read for that reason.
LAG_REFUSAL_VALIDITY_SECONDS = 0.15
# A database counts as overloaded for this long after it refused a statement for lack of
# capacity. A proxy that sends it few statements hears of an overload only now and then.
OVERLOAD_MEMORY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Lead:
    """A term in which a database is known to be primary.

    `log_end` is the end of its log when this became known, and `answered` the newest
    position that it has answered with since. Its log never gets shorter in the term,
    unless its process ends.
    """

    term: int
    log_end: Position
    answered: Position | None = None

    def includes(self, position: Position) -> bool:
        """Return True if the primary of this term may have answered with `position`.

        Before its first commit in the term, its log ends with an entry of an earlier
        one. A shorter log is that of a replica, or of a process that lost its log. An
        empty one may be that of a process that lost what it wrote in the term.
        """
        if position.term == self.term:
            return True
        if position == ORIGIN:
            return False
        return position.term < self.term and position >= self.log_end


class Member:
    """One database as seen by this proxy: failures, load and applied position.

    `applied` is the newest log position that it answered with. `term` is the newest
    term in which it is known to have been primary or replica. `has_reported_lead` is
    True once it reported to be primary, `has_denied_lead` once it turned out not to
    be the primary. `primary_serial` is higher the later this proxy observed that it
    became primary. `lead` is the newest term in which it is known to be primary, or
    None if it was not asked and has acknowledged no commit. `registered_revision` is
    the revision of the store at which this proxy first read its entry. `watched_at` is
    when it was asked last because there is no news of the store.
    """

    def __init__(self, database: Database) -> None:
        """Create a member about which nothing is known yet."""
        self.database = database
        self._in_flight = 0
        self._unanswered_since: float | None = None
        self.observed = ObservedLoad()
        self.applied: Position | None = None
        self.has_denied_lead = False
        self.has_reported_lead = False
        self.primary_serial = 0
        self.lead: Lead | None = None
        self._led_term = 0
        self.term = 0
        self._stalled_since: float | None = None
        self._unacknowledged_at = NEVER
        self.draining_since: float | None = None
        self._failures = 0
        self._retry_at = NEVER
        self._failing_since: float | None = None
        self._answered_at = NEVER
        self._probe_failed_at = NEVER
        self._probe_answered_at = NEVER
        self._acknowledged_sent_at = NEVER
        self._lagging_until = NEVER
        self._refused_for_load_at = NEVER
        self._position_asked_at = NEVER
        self._shown = ShownLog()
        self.registered_revision = database.revision
        self._status_asked_at = NEVER
        self._process_known_until = NEVER
        self.watched_at = NEVER
        self._replica_shown_at = NEVER
        self._unfenced_shown_at = NEVER
        self._fenced_since: float | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of statements in execution."""
        return self._in_flight

    def stalled_since(self, now: float) -> float | None:
        """Return since when writes have been sent but none was acknowledged.

        Return None if no write was unanswered recently: failures during a network
        partition say nothing about the time after it.
        """
        if now > self._unacknowledged_at + STALL_MEMORY_SECONDS:
            return None
        return self._stalled_since

    def record_unacknowledged_write(self, asked_at: float, now: float) -> None:
        """Record that a write sent at `asked_at` was not answered in time.

        It shows nothing if a write that was sent later has been acknowledged.
        """
        if asked_at <= self._acknowledged_sent_at:
            return
        if self.stalled_since(now) is None:
            self._stalled_since = asked_at
        self._unacknowledged_at = now

    def record_acknowledged_write(self, asked_at: float) -> None:
        """Record that a write sent at `asked_at` was acknowledged; it ends a stall."""
        self._stalled_since = None
        self._acknowledged_sent_at = max(self._acknowledged_sent_at, asked_at)

    @property
    def unanswered_since(self) -> float | None:
        """Return since when statements are in execution without any answer, or None."""
        return self._unanswered_since

    @property
    def claims_lead(self) -> bool:
        """Return True if its registry entry or its status says that it is primary."""
        return self.database.is_primary or self.has_reported_lead

    @property
    def reported_primary_term(self) -> int:
        """Return the newest term in which it is known to be primary, or 0."""
        return self.lead.term if self.lead else 0

    @property
    def led_term(self) -> int:
        """Return the newest term in which it was ever known to be primary, or 0."""
        return self._led_term

    def record_lead(self, term: int, log_end: Position) -> None:
        """Record that the database is primary in `term` and its log reaches `log_end`.

        The earliest such observation of the newest term is kept.
        """
        self._led_term = max(self._led_term, term)
        if term > self.reported_primary_term:
            self.lead = Lead(term, log_end)

    @property
    def failing_since(self) -> float | None:
        """Return when the current run of failures began, or None."""
        return self._failing_since

    def is_available(self, now: float) -> bool:
        """Return True if statements may be sent: it works, or a retry is due."""
        return now >= self._retry_at

    def was_probed_recently(self, now: float) -> bool:
        """Return True if a recent probe shows whether the database is running."""
        probed_at = max(self._probe_failed_at, self._probe_answered_at)
        return now < probed_at + PROBE_VALIDITY_SECONDS

    def failed_probe_recently(self, now: float) -> bool:
        """Return True if a recent probe was not answered, and none later was."""
        if self._probe_failed_at < max(self._probe_answered_at, self._answered_at):
            return False
        return now < self._probe_failed_at + PROBE_VALIDITY_SECONDS

    def is_lagging(self, now: float) -> bool:
        """Return True if the database recently refused a read as too far behind."""
        return now < self._lagging_until

    def is_overloaded(self, now: float) -> bool:
        """Return True if a statement was recently refused for the database's load."""
        return now < self._refused_for_load_at + OVERLOAD_MEMORY_SECONDS

    @property
    def fenced_since(self) -> float | None:
        """Return since when every status of it has shown a fence, or None."""
        return self._fenced_since

    def record_fence(self, is_fenced: bool, asked_at: float) -> None:
        """Record whether it answered to be fenced when asked at `asked_at`."""
        if not is_fenced:
            self._fenced_since = None
        elif self._fenced_since is None:
            self._fenced_since = asked_at

    @property
    def position_asked_at(self) -> float:
        """Return when the database was last asked for the position it answered with."""
        return self._position_asked_at

    def record_load_refusal(self, now: float) -> None:
        """Record a refusal for lack of capacity, by the database or this proxy."""
        self._refused_for_load_at = now

    def record_position_asked(self, asked_at: float) -> None:
        """Record that a position was answered to a statement sent at `asked_at`."""
        self._position_asked_at = max(self._position_asked_at, asked_at)

    @property
    def status_asked_at(self) -> float:
        """Return when it was asked for its newest status as a replica."""
        return self._status_asked_at

    @property
    def replica_shown_at(self) -> float:
        """Return when it was asked last of those times that it was not primary."""
        return self._replica_shown_at

    @property
    def unfenced_shown_at(self) -> float:
        """Return when it was asked last of those times that no fence held it."""
        return self._unfenced_shown_at

    def record_replica_shown(self, asked_at: float, is_unfenced: bool) -> None:
        """Record that it was not primary at some moment since it was asked."""
        self._replica_shown_at = max(self._replica_shown_at, asked_at)
        if is_unfenced:
            self._unfenced_shown_at = max(self._unfenced_shown_at, asked_at)

    def record_process_known(self, moment: float) -> None:
        """Record that the process of the entry ran at some time since `moment`.

        So connections that were opened before then lead to it.
        """
        self._process_known_until = max(self._process_known_until, moment)

    def record_process_answer(self, asked_at: float, connected_at: float) -> None:
        """Record an answer on a connection that was opened at `connected_at`.

        If that leads to the process of the entry, so do those opened before `asked_at`.
        """
        if self.is_known_process(connected_at):
            self.record_process_known(asked_at)

    def is_known_process(self, connected_at: float) -> bool:
        """Return True if a connection leads to the process of the entry.

        Otherwise it may lead to one that has started since, whose entry is not known.
        So may a connection of which it is not known when it was opened.
        """
        return NEVER < connected_at < self._process_known_until

    def shown_before(self, moment: float) -> Position | None:
        """Return where its log was shown to reach on connections opened before then.

        Its process has been the same since; return None without such an answer.
        """
        return self._shown.before(moment)

    def answer_before(self, moment: float) -> Shown | None:
        """Return the answer that `shown_before` is taken from, or None."""
        return self._shown.answer_before(moment)

    def record_applied(self, position: Position, connected_at: float) -> None:
        """Record that it answered as a replica from a log that reaches a position.

        The connection had been opened at `connected_at`.
        """
        self._shown.record(position, connected_at)

    def record_received(
        self, log_end: Position, asked_at: float, connected_at: float
    ) -> None:
        """Record the end of its log as a replica, by the status asked for last.

        It is lower than before if its process has started again without its log.
        """
        if asked_at >= self._status_asked_at:
            self._status_asked_at = asked_at
            self._shown.cut(log_end)
            self._shown.record(log_end, connected_at)

    def record_failure(self, now: float) -> None:
        """Record that the database could not be reached or that a connection broke.

        If statements were in execution, it counts as failing since its last answer.
        """
        if self._failing_since is None:
            self._failing_since = (
                now if self._unanswered_since is None else self._unanswered_since
            )
        doublings = min(self._failures, MAX_DOUBLINGS)
        delay = min(FIRST_RETRY_SECONDS * 2**doublings, MAX_RETRY_SECONDS)
        self._failures += 1
        self._retry_at = now + delay

    def record_lost_answer(self, asked_at: float, now: float) -> None:
        """Record that a statement sent at `asked_at` ended without an answer.

        The database counts as failing only if it has answered nothing since then: the
        loss of a single answer says nothing about the database.
        """
        if self._answered_at < asked_at:
            self.record_failure(now)

    def record_lead_position(self, position: Position) -> None:
        """Record a position that the database answered with in its present term."""
        lead = self.lead
        if lead is not None and (lead.answered is None or position > lead.answered):
            self.lead = replace(lead, answered=position)

    def record_answer(self, position: Position | None) -> None:
        """Record an answer of any kind, which ends a run of failures."""
        self._failures = 0
        self._failing_since = None
        self._retry_at = NEVER
        if position is None:
            return
        self.term = max(self.term, position.term)
        if self.applied is None or position > self.applied:
            self.applied = position

    def record_sent(self, now: float) -> None:
        """Record that a statement is being sent."""
        if not self._in_flight:
            self._unanswered_since = now
        self._in_flight += 1

    def record_end(self, now: float, is_answered: bool) -> None:
        """Record that a statement was answered or abandoned."""
        self._in_flight -= 1
        if not self._in_flight:
            self._unanswered_since = None
        elif is_answered:
            self._unanswered_since = now
        if is_answered:
            self._answered_at = now

    def record_probe_failure(self, now: float) -> None:
        """Record that a probe could not be sent, or was not answered in time."""
        self.record_failure(now)
        self._probe_failed_at = now

    def record_probe_answer(self, now: float) -> None:
        """Record the answer to a probe; statements may still be in execution."""
        self.record_answer(None)
        self._probe_answered_at = self._answered_at = now
        if self._in_flight:
            self._unanswered_since = now

    def record_lag_refusal(self, now: float) -> None:
        """Record that a read was refused as the log is too far behind."""
        self._lagging_until = now + LAG_REFUSAL_VALIDITY_SECONDS

    def expected_latency_seconds(
        self,
        now: float,
        proxies: float = 1.0,
        neutral_seconds: float = FIRST_LATENCY_SECONDS,
    ) -> float:
        """Return the expected duration of one more statement under the current load.

        As many `proxies` are taken to have as many statements here as this one.
        Without recent observations, the latency is taken to be `neutral_seconds`. A
        proxy without known peers makes all the load itself, so that its observations
        are valid until it sends more.
        """
        slots = max(1, self.database.slots)
        latency = self.observed.latency_seconds
        if proxies > 1:
            latency = self.observed.expected_seconds(now, neutral_seconds)
        return latency * (1 + self.in_flight * proxies / slots)
