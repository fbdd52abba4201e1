"""The four parts of a proxy's control: their names, periods and initial states."""

import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from beryltiller.configuration import adoption, adoption_state
from beryltiller.dispatching.database_observer import DRAINING_PART, TERMS_PART
from beryltiller.membership import draining, membership, membership_state
from beryltiller.membership.members import Member
from beryltiller.membership.membership_events import Tick
from beryltiller.primaries import terms
from beryltiller.primaries.detection import DetectionSettings
from beryltiller.primaries.evidence import Evidence, LeaseSettings
from beryltiller.primaries.evidence_refresh import RefreshSettings, RefreshState
from beryltiller.primaries.promotion_state import PromotionSettings
from beryltiller.primaries.term_events import Tick as TermsTick
from beryltiller.primaries.terms_state import TermsSettings, TermsState
from beryltiller.process.actors import Part
from beryltiller.process.settings import Settings

MEMBERSHIP = "membership"
ADOPTION = "adoption"
MEMBERSHIP_TICK_SECONDS = 0.1
ADOPTION_TICK_SECONDS = 0.25
DRAINING_TICK_SECONDS = 1.0
TERMS_TICK_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Performers:
    """What performs the actions of each part."""

    membership: Callable[[Any], Coroutine[Any, Any, Any]]
    adoption: Callable[[Any], Coroutine[Any, Any, Any]]
    draining: Callable[[Any], Coroutine[Any, Any, Any]]
    terms: Callable[[Any], Coroutine[Any, Any, Any]]


class InitialStates:
    """The states that the parts of one proxy start with, also after an error."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Create the states of a new process; `rng` gives the parts their seeds."""
        self._settings = settings
        self._rng = rng
        self._incarnation = time.time_ns()
        self._promoter_count = 0

    def membership(self, now: float) -> membership_state.State:
        """Return the state of membership, with this process as the member."""
        settings = self._settings
        me = Member(
            str(settings.peer_address),
            settings.host_name,
            settings.availability_zone,
            self._incarnation,
        )
        return membership_state.State(me, self._rng.getrandbits(32))

    def adoption(self, now: float) -> adoption_state.State:
        """Return the state of the adoption of configurations."""
        address = str(self._settings.peer_address)
        return adoption_state.State(address, self._rng.getrandbits(32), now)

    def terms(self, now: float) -> TermsState:
        """Return the state of terms, with a new promoter name for each start."""
        settings = self._settings
        lease = LeaseSettings(settings.lease_seconds)
        refresh = RefreshSettings(poll_seconds=settings.evidence_interval_seconds)
        detection = DetectionSettings(
            silence_seconds=settings.detection_timeout_seconds
        )
        # A restarted part must not mistake the claims of its earlier run for its own.
        self._promoter_count += 1
        return TermsState(
            str(settings.peer_address),
            f"{settings.host_name}/{self._incarnation}/{self._promoter_count}",
            TermsSettings(PromotionSettings(lease=lease), detection),
            Evidence(lease=lease),
            RefreshState(refresh),
        )


def control_parts(
    states: InitialStates, performers: Performers
) -> tuple[Part[Any, Any, Any], ...]:
    """Return the four parts whose actors a supervisor runs."""
    return (
        Part(
            MEMBERSHIP,
            MEMBERSHIP_TICK_SECONDS,
            Tick(),
            states.membership,
            membership.decide,
            performers.membership,
        ),
        Part(
            ADOPTION,
            ADOPTION_TICK_SECONDS,
            Tick(),
            states.adoption,
            adoption.decide,
            performers.adoption,
        ),
        Part(
            DRAINING_PART,
            DRAINING_TICK_SECONDS,
            Tick(),
            lambda now: draining.State(),
            draining.decide,
            performers.draining,
        ),
        Part(
            TERMS_PART,
            TERMS_TICK_SECONDS,
            TermsTick(),
            states.terms,
            terms.decide,
            performers.terms,
        ),
    )
