"""State of one promotion, and the settings of its retries and timeouts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, unique
from math import inf

from beryltiller.core.ports import EndpointStatus
from beryltiller.primaries.evidence import LeaseSettings
from beryltiller.primaries.term_events import DatabaseGroup
from beryltiller.primaries.term_rows import TermRow


@dataclass(frozen=True, slots=True)
class PromotionSettings:
    """Lease, retry intervals and timeouts of a promotion.

    `store_retry_seconds` is the retry interval of writes to the store, `retry_seconds`
    that of requests to databases.
    `fence_grace_seconds` is how long after the first fence request the promoter waits
    for a database that has not been fenced yet, before it chooses without it. A
    switchover whose target is not ready within `catch_up_timeout_seconds` goes on as
    a promotion without a target.
    """

    lease: LeaseSettings = field(default_factory=LeaseSettings)
    retry_seconds: float = 0.25
    fence_grace_seconds: float = 0.1
    store_retry_seconds: float = 0.5
    claim_timeout_seconds: float = 5.0
    open_timeout_seconds: float = 1.0
    catch_up_timeout_seconds: float = 1.0


@unique
class Step(Enum):
    """Steps of a promotion; it has ended in the last two."""

    CLAIM = "claim"
    FENCE = "fence"
    OPEN = "open"
    RECORD = "record"
    DONE = "done"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class Promotion:
    """The progress of one promotion in one group.

    `claimed_row` is the pending row; until the claim is confirmed, its version is that
    of the row to be replaced. `former_primary` is the primary of the preceding term,
    if that term was open. `target` is the database that a switchover asks for, or
    empty, and `is_caught_up` is true once its log has all that the former primary's
    has. `wait_until` is when all evidence of older terms has lapsed, and `retry_at`
    when the step's requests are sent again. `fence_requested_at` holds the time of the
    first fence request to each database, `fenced` the status of each database fenced
    at the claimed term, and `chosen` the database to open.
    """

    group: DatabaseGroup
    claimed_row: TermRow
    settings: PromotionSettings
    started_at: float
    former_primary: str = ""
    target: str = ""
    step: Step = Step.CLAIM
    step_entered_at: float = 0.0
    wait_until: float = inf
    retry_at: float = -inf
    fence_requested_at: Mapping[str, float] = field(default_factory=dict)
    fenced: Mapping[str, EndpointStatus] = field(default_factory=dict)
    is_caught_up: bool = False
    chosen: str = ""

    @property
    def has_ended(self) -> bool:
        """Return True if the promotion is done or abandoned."""
        return self.step in (Step.DONE, Step.ABANDONED)

    def is_wait_over(self, now: float) -> bool:
        """Return True if no write of an older term can be acknowledged and then lost.

        That holds once the former primary is fenced or all older evidence has lapsed.
        """
        return self.former_primary in self.fenced or now >= self.wait_until
