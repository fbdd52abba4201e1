"""Watch groups over time: probes, opinions, claims, and the steps of promotions."""

from dataclasses import replace
from math import inf

from beryltiller.primaries import evidence_refresh, promotion
from beryltiller.primaries.detection import Detection
from beryltiller.primaries.promotion_state import Promotion, Step
from beryltiller.primaries.term_actions import Action, AskOpinion, ProbeStatus
from beryltiller.primaries.term_rows import TermRow, TermState
from beryltiller.primaries.terms_state import (
    Result,
    Sighting,
    TermsState,
    with_promotion,
)


def tick(state: TermsState, now: float) -> Result:
    """Do what has become due: refresh evidence, watch groups, move promotions."""
    refresh, actions = evidence_refresh.tick(state.refresh, state.evidence, now)
    state = replace(state, refresh=refresh)
    for name in state.detections:
        state, more = _watch(state, name, now)
        actions += more
    for running in state.promotions.values():
        state, more = with_promotion(state, _proceed(state, running, now))
        actions += more
    return state, actions


def _proceed(state: TermsState, running: Promotion, now: float) -> promotion.Result:
    """Go on, unless the claim is still open and its cause has gone."""
    detection = state.detections.get(running.group.name)
    is_needless = (
        running.step is Step.CLAIM
        and running.former != ""
        and running.target == ""
        and detection is not None
        and not detection.health(running.former).is_suspected(
            now, state.settings.detection
        )
    )
    if is_needless:
        return promotion.abandon(running, now)
    return promotion.proceed(running, now)


def _watch(state: TermsState, name: str, now: float) -> Result:
    """Probe a group's databases, ask for opinions, and claim when it is time."""
    settings = state.settings.detection
    primary = state.primary(name)
    detection = state.detections[name]
    actions: list[Action] = []
    for database in detection.probes_due(primary, now, settings):
        health = replace(detection.health(database), probed_at=now)
        detection = detection.with_health(database, health)
        actions.append(ProbeStatus(name, database, now))
    is_suspected = detection.health(primary).is_suspected(now, settings)
    if is_suspected and now - detection.asked_at >= settings.opinion_period_seconds:
        detection = replace(detection, asked_at=now)
        peers = (each for each in detection.watchers if each != state.name)
        actions += (AskOpinion(peer, name, primary, now) for peer in peers)
    is_store_reached = now - state.refresh.store_answered_at < settings.reach_seconds
    detection = detection.judged(primary, is_store_reached, now, settings)
    state = replace(state, detections={**state.detections, name: detection})
    if name in state.promotions or not is_store_reached:
        return state, tuple(actions)
    state, claims = _claim_if_due(state, detection, now)
    return state, (*actions, *claims)


def _claim_if_due(state: TermsState, detection: Detection, now: float) -> Result:
    group = detection.group
    row = state.evidence.row(group.name)
    seen = state.sightings.get(group.name)
    if seen is None:
        return _see_absent_row(state, group.name, now), ()
    if row is None:
        is_due = _is_bootstrap_due(state, detection, seen, now)
    elif row.state is TermState.PENDING:
        is_due = _is_takeover_due(state, detection, row, seen, now)
    else:
        is_due = row.is_open and detection.may_claim(now, state.settings.detection)
    if not is_due:
        return state, ()
    claimed = promotion.claim(
        group,
        row,
        state.promoter,
        now,
        state.settings.promotion,
        pending_since=seen.since,
    )
    return with_promotion(state, claimed)


def _see_absent_row(state: TermsState, name: str, now: float) -> TermsState:
    if state.evidence.dated_at == -inf:
        return state
    absent = Sighting(version=0, since=now)
    return replace(state, sightings={**state.sightings, name: absent})


def _is_bootstrap_due(
    state: TermsState,
    detection: Detection,
    seen: Sighting,
    now: float,
) -> bool:
    settings = state.settings.detection
    if not detection.reaches_others("", now, settings):
        return False
    return now >= seen.since + detection.stagger_seconds(settings)


def _is_takeover_due(
    state: TermsState,
    detection: Detection,
    row: TermRow,
    seen: Sighting,
    now: float,
) -> bool:
    """Tell whether the promoter seems dead, and not merely cut off by an outage."""
    settings = state.settings
    if not detection.reaches_others("", now, settings.detection):
        return False
    if row.promoter == state.promoter:
        return True
    since = max(
        seen.since + settings.takeover_seconds,
        state.refresh.store_steady_since + state.refresh.settings.steady_seconds,
    )
    return now >= since + detection.stagger_seconds(settings.detection)
