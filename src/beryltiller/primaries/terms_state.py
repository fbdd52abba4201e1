"""State of the decisions about terms, and the settings of all their parts."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from beryltiller.primaries import promotion
from beryltiller.primaries.detection import Detection, DetectionSettings
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.evidence_refresh import Refresh
from beryltiller.primaries.promotion_state import Promotion, PromotionSettings
from beryltiller.primaries.term_actions import Action, ReportPromotion
from beryltiller.primaries.term_events import DatabaseGroup, Member


@dataclass(frozen=True, slots=True)
class TermsSettings:
    """Hold the settings of all parts.

    `takeover_margin_seconds` is how much longer than a promoter's wait a pending row
    may stand before another watcher takes the promotion over.
    """

    promotion: PromotionSettings = field(default_factory=PromotionSettings)
    detection: DetectionSettings = field(default_factory=DetectionSettings)
    takeover_margin_seconds: float = 0.9

    @property
    def takeover_seconds(self) -> float:
        """Return how long a pending row may stand: more than a promotion takes."""
        return self.promotion.lease.wait_seconds + self.takeover_margin_seconds


@dataclass(frozen=True, slots=True)
class Sighting:
    """Hold when this process first saw a version of a row; 0 is the absent row."""

    version: int
    since: float


@dataclass(frozen=True, slots=True)
class TermsState:
    """Hold all that one proxy knows of terms.

    `promoter` must differ for each start of the process: whoever finds its own name
    in a pending row takes the claim for its own.
    """

    name: str
    promoter: str
    settings: TermsSettings = field(default_factory=TermsSettings)
    evidence: Evidence = field(default_factory=Evidence)
    refresh: Refresh = field(default_factory=Refresh)
    members: tuple[Member, ...] = ()
    listed: tuple[Member, ...] = ()
    groups: Mapping[str, DatabaseGroup] = field(default_factory=dict)
    sightings: Mapping[str, Sighting] = field(default_factory=dict)
    detections: Mapping[str, Detection] = field(default_factory=dict)
    promotions: Mapping[str, Promotion] = field(default_factory=dict)

    def primary(self, group: str) -> str:
        """Return the primary that a group's row names, or nothing."""
        row = self.evidence.row(group)
        return row.primary if row else ""


Result = tuple[TermsState, tuple[Action, ...]]


def with_promotion(state: TermsState, result: promotion.Result) -> Result:
    """Return the state with a promotion moved on, or gone when it has ended."""
    moved, actions = result
    name = moved.group.name
    before = state.promotions.get(name)
    promotions = {**state.promotions, name: moved}
    if moved.has_ended:
        del promotions[name]
    if before is None or before.step is not moved.step:
        actions += (ReportPromotion(name, moved.claimed.term, moved.step.value),)
    return replace(state, promotions=promotions), actions
