"""One database as a proxy finds it: failures, load, lead and applied position.

Times are seconds on a clock that also counts suspension; the caller passes them in.
"""

from beryltiller.core.position import Position
from beryltiller.sessions.catalog import Database

NEVER = float("-inf")

# A write that went unanswered longer ago says nothing of now.
STALL_MEMORY_SECONDS = 1.0

# What was found out about a database's life counts for this long.
KNOWN_SECONDS = 0.4

FIRST_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 1.0
LAGGING_PENALTY_SECONDS = 0.15
LATENCY_WEIGHT = 0.2
FIRST_LATENCY_SECONDS = 0.03


class Member:
    """One database as this proxy finds it: failures, load and applied position.

    `term` is the newest term in which it is known to have led or followed;
    `lead_serial` grows with each database that was seen to become primary, and
    `lead_term` is the term in which it said it leads, or 0 when it was not asked.
    """

    def __init__(self, database: Database) -> None:
        """Start with no opinion."""
        self.database = database
        self._in_flight = 0
        self._silent_since: float | None = None
        self.latency_seconds = FIRST_LATENCY_SECONDS
        self.applied: Position | None = None
        self.is_lead_denied = False
        self.is_lead_heard = False
        self.lead_serial = 0
        self.lead_term = 0
        self.term = 0
        self._stalled_since: float | None = None
        self._unacknowledged_at = NEVER
        self.drains_since: float | None = None
        self._failures = 0
        self._retry_at = NEVER
        self._failing_since: float | None = None
        self._failed_at = NEVER
        self._lived_at = NEVER
        self._lagging_until = NEVER

    @property
    def in_flight(self) -> int:
        """Return how many statements are in execution."""
        return self._in_flight

    def stalled_since(self, now: float) -> float | None:
        """Return since when writes go unanswered, with none acknowledged.

        None when no write has gone unanswered of late: what was seen in a cut says
        nothing of the time after it.
        """
        if now > self._unacknowledged_at + STALL_MEMORY_SECONDS:
            return None
        return self._stalled_since

    def unacknowledged(self, asked_at: float, now: float) -> None:
        """Take in that a write was not answered in time."""
        if self.stalled_since(now) is None:
            self._stalled_since = asked_at
        self._unacknowledged_at = now

    def acknowledged(self) -> None:
        """Take in that a write was acknowledged."""
        self._stalled_since = None

    @property
    def silent_since(self) -> float | None:
        """Return since when statements are in execution without any answer."""
        return self._silent_since

    @property
    def is_lead_claimed(self) -> bool:
        """Tell whether the database says that it leads, in its entry or when asked."""
        return self.database.is_primary or self.is_lead_heard

    @property
    def failing_since(self) -> float | None:
        """Return when the present run of failures began."""
        return self._failing_since

    def is_available(self, now: float) -> bool:
        """Tell whether statements may be sent, or a failed database tried again."""
        return now >= self._retry_at

    def is_known(self, now: float) -> bool:
        """Tell whether it was found out just now whether the database lives."""
        return now < max(self._failed_at, self._lived_at) + KNOWN_SECONDS

    def is_lagging(self, now: float) -> bool:
        """Tell whether the database refused a read as too far behind just now."""
        return now < self._lagging_until

    def failed(self, now: float) -> None:
        """Take in that the database could not be reached or broke off.

        It has been failing since it last answered, if statements were in execution.
        """
        if self._failing_since is None:
            self._failing_since = (
                now if self._silent_since is None else self._silent_since
            )
        delay = min(FIRST_RETRY_SECONDS * 2**self._failures, MAX_RETRY_SECONDS)
        self._failures += 1
        self._retry_at = now + delay

    def answered(self, position: Position | None) -> None:
        """Take in an answer of any kind."""
        self._failures = 0
        self._failing_since = None
        self._retry_at = NEVER
        if position is None:
            return
        self.term = max(self.term, position.term)
        if self.applied is None or position > self.applied:
            self.applied = position

    def sent(self, now: float) -> None:
        """Take in that a statement goes out."""
        if not self._in_flight:
            self._silent_since = now
        self._in_flight += 1

    def ended(self, now: float, is_answered: bool) -> None:
        """Take in that a statement was answered, or given up."""
        self._in_flight -= 1
        if not self._in_flight:
            self._silent_since = None
        elif is_answered:
            self._silent_since = now

    def lives(self, now: float) -> None:
        """Take in that the database answered a question; statements may go on."""
        self.answered(None)
        self._lived_at = now
        if self._in_flight:
            self._silent_since = now

    def served(self, duration_seconds: float) -> None:
        """Take in how long a statement took."""
        change = duration_seconds - self.latency_seconds
        self.latency_seconds += LATENCY_WEIGHT * change

    def lagged(self, now: float) -> None:
        """Take in that a read was refused as too far behind."""
        self._lagging_until = now + LAGGING_PENALTY_SECONDS

    def expected_seconds(self) -> float:
        """Return how long a further statement would take."""
        slots = max(1, self.database.slots)
        return self.latency_seconds * (1 + self.in_flight / slots)
