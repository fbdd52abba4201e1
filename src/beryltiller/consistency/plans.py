"""What routing knows of a group, and the typed plans that it hands out."""

import math
from dataclasses import dataclass, field, replace

from beryltiller.core.outcome import Refusal
from beryltiller.core.ports import Load
from beryltiller.core.position import ORIGIN, History, Position


@dataclass(frozen=True, slots=True)
class RoutingPolicy:
    """Hold how long a read may wait for a replica, and what a choice costs.

    A read that no replica can serve yet waits for one up to a budget, else it goes to
    the primary. The budget is `short_wait_seconds` while the primary has all of its
    spare reads, and grows as they are used up towards `long_wait_seconds`, but never
    beyond `wait_fraction` of the read's timeout: urgent reads never wait long.
    Databases in `availability_zone`, the
    proxy's own, are preferred: another zone costs as much as `other_zone_cost`
    statements waiting per slot. The primary gains `primary_read_share` spare reads
    with each read that anyone serves, and keeps `primary_read_burst` at most.
    Aged reads aim below the stated age by `age_margin_fraction` of it, so that the
    answer is not too old by the time it is here.
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
    """Hold what this proxy knows of one database of a group.

    `applied` is the greatest position it was seen to hold; `lag_seconds` estimates
    how long after the primary it applies an entry, None while unknown.
    """

    name: str
    availability_zone: str = ""
    applied: Position = ORIGIN
    lag_seconds: float | None = None
    lag_seen_at: float = 0.0
    load: Load = field(default_factory=Load)
    is_draining: bool = False
    is_reachable: bool = True


@dataclass(frozen=True, slots=True)
class GroupView:
    """Hold a database group's term as this proxy knows it now.

    `is_open` demands that the term is open in the table and that evidence for it is
    in force. `history` and `last` are the primary's log as it stood at some moment
    after it opened `term`, or None before such a moment was seen. `has_lapsed` tells
    that the term is open in the table as last read, but the evidence is too old: a
    write may be sent, and needs other proof to be acknowledged.
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
        """Tell whether a write may be sent to the primary."""
        return self.is_open or self.has_lapsed


@dataclass(frozen=True, slots=True)
class PrimaryShare:
    """Count the reads that the primary has to spare."""

    credit: float

    def used(self, policy: RoutingPolicy) -> float:
        """Return which part of the spare reads is used up, from 0 to 1."""
        return 1.0 - self.credit / policy.primary_read_burst

    def after_read(self, by_primary: bool, policy: RoutingPolicy) -> "PrimaryShare":
        """Return the share after one more read was served."""
        credit = self.credit + policy.primary_read_share - by_primary
        return PrimaryShare(max(0.0, min(credit, policy.primary_read_burst)))


@dataclass(frozen=True, slots=True)
class Need:
    """Hold the position that a read must see.

    `reached_at` is when the primary had it, as far as is known: it dates the wait
    for a replica, and the position alone decides what may be answered.
    `max_wait_seconds` bounds that wait where a longer one is of no use.
    """

    at_least: Position = ORIGIN
    reached_at: float = 0.0
    max_wait_seconds: float = math.inf


@dataclass(frozen=True, slots=True)
class Progress:
    """Hold what has happened to one statement so far."""

    started_at: float
    deadline: float
    failed: tuple[str, ...] = ()
    behind: tuple[tuple[str, float], ...] = ()

    def refused_behind(self, database: str, now: float) -> "Progress":
        """Return the progress after a database was not far enough yet."""
        others = tuple(item for item in self.behind if item[0] != database)
        return replace(self, behind=(*others, (database, now)))

    def without(self, database: str) -> "Progress":
        """Return the progress after a database could not serve at all."""
        return replace(self, failed=(*self.failed, database))


@dataclass(frozen=True, slots=True)
class RunAt:
    """Run the statement at a database: reads with `at_least`, writes in `term`."""

    database: str
    at_least: Position = ORIGIN
    term: int = 0


@dataclass(frozen=True, slots=True)
class WaitThen:
    """Wait, then run the statement without a new choice."""

    seconds: float
    then: RunAt


@dataclass(frozen=True, slots=True)
class AskPrimaryPosition:
    """Ask the primary for its status; one question serves all who wait for it."""

    group: str
    database: str
    term: int


@dataclass(frozen=True, slots=True)
class WaitForTerm:
    """Wait until the group is open in `term` or a later one, then plan again."""

    group: str
    term: int
    seconds: float


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer that the statement was not run."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class SessionLost:
    """Answer that a failover dropped what the session wrote or read, and run nothing.

    `is_own_write` tells a lost write of the session from lost data that it saw.
    """

    group: str
    position: Position
    term: int
    is_own_write: bool

    def as_refusal(self) -> Refusal:
        """Return the reason as the caller is told it."""
        what = "a write of this session" if self.is_own_write else "data it read"
        return Refusal(
            f"{what} at {self.position} in group {self.group} was lost in the"
            f" failover to term {self.term}",
            "Beryl-Session",
        )


Plan = RunAt | WaitThen | AskPrimaryPosition | WaitForTerm | Refuse | SessionLost
