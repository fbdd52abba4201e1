"""The inputs of routing, and the plans that it returns."""

import math
from dataclasses import dataclass, field, replace

from beryltiller.core.outcome import Refusal
from beryltiller.core.ports import Load
from beryltiller.core.position import ORIGIN, History, Position


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Limits on the waits for a replica or a term, and the costs of each choice.

    A read that no replica can serve yet waits for one up to a budget, else it goes to
    the primary. The budget is `short_wait_seconds` while the primary has all of its
    spare reads, and grows towards `long_wait_seconds` as they are used up. It never
    exceeds `wait_fraction` of the read's timeout, so urgent reads never wait long.
    Databases in `availability_zone`, the proxy's own, are preferred: another zone costs
    as much as `other_zone_cost` statements waiting per slot. The primary gains
    `primary_read_share` spare reads with each read that any database of the group
    serves, and keeps `primary_read_burst` at most. Aged reads aim below the requested
    age by `age_margin_fraction` of it, so that the answer is not too old when it
    arrives.

    A database that was behind is tried again after `retry_step_seconds` or more. The
    lag of a replica is taken as `unknown_lag_seconds` until it is measured, and above
    `max_lag_seconds` the primary is preferred to the replica. A statement waits for a
    primary in force for `term_wait_seconds` at most.
    """

    availability_zone: str = ""
    short_wait_seconds: float = 0.05
    long_wait_seconds: float = 10.0
    wait_fraction: float = 0.5
    retry_step_seconds: float = 0.02
    unknown_lag_seconds: float = 0.1
    max_lag_seconds: float = 10.0
    other_zone_cost: float = 0.5
    term_wait_seconds: float = 10.0
    primary_read_share: float = 0.05
    primary_read_burst: float = 5.0
    age_margin_fraction: float = 0.2


@dataclass(frozen=True, slots=True)
class DatabaseView:
    """One database of a group, as this proxy knows it.

    `applied` is the position in its last status, or a higher one in an answer since
    then. `lag_seconds` is the estimated time after the primary at which it applies an
    entry, None while unknown. A draining database is leaving and gets no new reads.
    """

    name: str
    availability_zone: str = ""
    applied: Position = ORIGIN
    lag_seconds: float | None = None
    lag_measured_at: float = 0.0
    load: Load = field(default_factory=Load)
    is_draining: bool = False
    is_reachable: bool = True


@dataclass(frozen=True, slots=True)
class GroupView:
    """A database group's term and databases, as this proxy knows them now.

    Evidence for a term is a recent read of the table of terms. For one lease period it
    proves that the term has not been replaced, and the term is then in force. `is_open`
    is True only if the term is open in the table and in force. `has_lapsed` is True if
    the term is open in the table as last read, but the evidence is too old: a write may
    be sent, and needs other proof to be acknowledged. `history` and `last` describe the
    primary's log at some moment after the primary opened `term`; `history` is None
    until such a report has arrived.
    """

    name: str
    term: int
    primary: str
    is_open: bool
    history: History | None = None
    last: Position = ORIGIN
    databases: tuple[DatabaseView, ...] = ()
    has_lapsed: bool = False

    @property
    def takes_writes(self) -> bool:
        """Return True if a write may be sent to the primary."""
        return self.is_open or self.has_lapsed


@dataclass(frozen=True, slots=True)
class PrimaryReadBucket:
    """A token bucket of the spare reads that the primary may serve.

    `credit` is the number of reads left. Each read of the group adds a small part of
    one, so that the primary serves only that part of the group's reads.
    """

    credit: float

    def used_fraction(self, policy: RoutingPolicy) -> float:
        """Return the part of the spare reads that is used up, from 0 to 1."""
        return 1.0 - self.credit / policy.primary_read_burst

    def after_read(
        self, by_primary: bool, policy: RoutingPolicy
    ) -> "PrimaryReadBucket":
        """Return the bucket after one more read of the group was served."""
        credit = self.credit + policy.primary_read_share - by_primary
        return PrimaryReadBucket(max(0.0, min(credit, policy.primary_read_burst)))


@dataclass(frozen=True, slots=True)
class Need:
    """The position that a read must see.

    `reached_at` is the estimated time at which the primary reached the position. It is
    used to estimate the wait for a replica; the position alone decides which answers
    are allowed. `max_wait_seconds` bounds the wait where a longer one is of no use.
    """

    at_least: Position = ORIGIN
    reached_at: float = 0.0
    max_wait_seconds: float = math.inf


@dataclass(frozen=True, slots=True)
class Progress:
    """The times and refusals of one statement that routing takes into account.

    `failed` names the databases that could not serve it. `behind` names those that were
    behind, by a refusal or by an answer that was too old, each with the time of the
    last such result.
    """

    started_at: float
    deadline: float
    failed: tuple[str, ...] = ()
    behind: tuple[tuple[str, float], ...] = ()

    def with_behind_refusal(self, database: str, now: float) -> "Progress":
        """Return the progress after a database was behind.

        It refused for that reason, or its answer to an aged read was too old.
        """
        others = tuple(item for item in self.behind if item[0] != database)
        return replace(self, behind=(*others, (database, now)))

    def with_failed_database(self, database: str) -> "Progress":
        """Return the progress after a database could not serve the statement at all."""
        return replace(self, failed=(*self.failed, database))


@dataclass(frozen=True, slots=True)
class RunAt:
    """A plan to run a statement at a database.

    `at_least` is the position that a read must see. `term` is the term in which a write
    is sent, and 0 for a read.
    """

    database: str
    at_least: Position = ORIGIN
    term: int = 0


@dataclass(frozen=True, slots=True)
class WaitThen:
    """A plan to wait, then run the statement without choosing a database again."""

    seconds: float
    then: RunAt


@dataclass(frozen=True, slots=True)
class AskPrimaryPosition:
    """A plan to ask the primary for its status.

    One request serves all statements that asked before it was sent.
    """

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class WaitForTerm:
    """A plan to wait until the group is open in `term` or later, then plan again.

    The wait ends after `seconds` at the latest.
    """

    group: str
    term: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """A plan to answer that the statement was not run."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class SessionLost:
    """A plan to run nothing, because a failover dropped what the session wrote or read.

    `is_own_write` is True if a write of the session was lost, and False if data that it
    read was lost.
    """

    group: str
    position: Position
    term: int
    is_own_write: bool

    def as_refusal(self) -> Refusal:
        """Return the refusal that reports the loss to the caller."""
        what = "a write of this session" if self.is_own_write else "data it read"
        return Refusal(
            f"{what} at {self.position} in group {self.group} was lost in the"
            f" failover to term {self.term}",
            "Beryl-Session",
        )


Plan = RunAt | WaitThen | AskPrimaryPosition | WaitForTerm | Refuse | SessionLost
