"""State and settings of the decisions about terms."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from beryltiller.primaries import promotion
from beryltiller.primaries.detection import Detection, DetectionSettings
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.evidence_refresh import RefreshState
from beryltiller.primaries.promotion_state import Promotion, PromotionSettings
from beryltiller.primaries.term_actions import Action, ReportPromotion
from beryltiller.primaries.term_events import DatabaseGroup, Member


@dataclass(frozen=True, slots=True)
class TermsSettings:
    """Settings of promotions, of failure detection, and of taking promotions over.

    Another watcher takes over a promotion whose row has been pending for
    `takeover_margin_seconds` longer than the promoter's wait.
    """

    promotion: PromotionSettings = field(default_factory=PromotionSettings)
    detection: DetectionSettings = field(default_factory=DetectionSettings)
    takeover_margin_seconds: float = 0.9

    @property
    def takeover_seconds(self) -> float:
        """Return how long a row may be pending before another watcher takes over.

        A promotion that is not delayed takes less time.
        """
        return self.promotion.lease.wait_seconds + self.takeover_margin_seconds


@dataclass(frozen=True, slots=True)
class ObservedVersion:
    """A row version (0: no row) and when this process first read it."""

    version: int
    since: float


@dataclass(frozen=True, slots=True)
class TermsState:
    """One proxy's knowledge of all groups' terms, and its promotions in progress.

    `members` are the live proxies, including this one, and `listed` those on the
    platform's list. `observed_versions` has the newest row version read of each group.
    `promoter` identifies this process in the rows that it claims. It must differ for
    each start of the process, because a process that finds its own `promoter` in a
    pending row treats that claim as its own.
    """

    name: str
    promoter: str
    settings: TermsSettings = field(default_factory=TermsSettings)
    evidence: Evidence = field(default_factory=Evidence)
    refresh: RefreshState = field(default_factory=RefreshState)
    members: tuple[Member, ...] = ()
    listed: tuple[Member, ...] = ()
    groups: Mapping[str, DatabaseGroup] = field(default_factory=dict)
    observed_versions: Mapping[str, ObservedVersion] = field(default_factory=dict)
    detections: Mapping[str, Detection] = field(default_factory=dict)
    promotions: Mapping[str, Promotion] = field(default_factory=dict)

    def primary(self, group: str) -> str:
        """Return the primary in a group's newest row, or an empty string."""
        row = self.evidence.row(group)
        return row.primary if row else ""


Decision = tuple[TermsState, tuple[Action, ...]]


def with_promotion(state: TermsState, result: promotion.Decision) -> Decision:
    """Return the state with an advanced promotion, or without it if it has ended."""
    updated, actions = result
    name = updated.group.name
    previous = state.promotions.get(name)
    promotions = {**state.promotions, name: updated}
    if updated.has_ended:
        del promotions[name]
    if previous is None or previous.step is not updated.step:
        actions += (
            ReportPromotion(name, updated.claimed_row.term, updated.step.value),
        )
    return replace(state, promotions=promotions), actions
