"""State of one promotion, and the settings of its pace."""

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
    """Hold the pace of a promotion."""

    lease: LeaseSettings = field(default_factory=LeaseSettings)
    retry_seconds: float = 0.25
    fence_grace_seconds: float = 0.1
    store_retry_seconds: float = 0.5
    claim_patience_seconds: float = 5.0
    open_patience_seconds: float = 1.0
    catch_up_patience_seconds: float = 1.0


@unique
class Step(Enum):
    """Name the steps; the last two end a promotion."""

    CLAIM = "claim"
    FENCE = "fence"
    OPEN = "open"
    RECORD = "record"
    DONE = "done"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class Promotion:
    """Hold one promotion of one group.

    `claimed` is the pending row; until the claim is confirmed its version is the one
    to be replaced. `former` is the primary of the term before, when that term was
    open. `asked` tells when each database was first asked to fence.
    """

    group: DatabaseGroup
    claimed: TermRow
    settings: PromotionSettings
    started_at: float
    former: str = ""
    target: str = ""
    step: Step = Step.CLAIM
    step_since: float = 0.0
    wait_until: float = inf
    retry_at: float = -inf
    asked: Mapping[str, float] = field(default_factory=dict)
    fenced: Mapping[str, EndpointStatus] = field(default_factory=dict)
    is_caught_up: bool = False
    chosen: str = ""

    @property
    def has_ended(self) -> bool:
        """Tell whether nothing is left to do."""
        return self.step in (Step.DONE, Step.ABANDONED)

    def is_wait_over(self, now: float) -> bool:
        """Tell whether no write of an older term can be acknowledged and then lost."""
        return self.former in self.fenced or now >= self.wait_until
