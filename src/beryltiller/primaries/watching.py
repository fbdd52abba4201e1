"""Periodic work on terms: probes, requests to peers, claims and promotion steps."""

from dataclasses import replace
from math import inf

from beryltiller.primaries import evidence_refresh, promotion
from beryltiller.primaries.detection import Detection
from beryltiller.primaries.promotion_state import Promotion, Step
from beryltiller.primaries.term_actions import (
    Action,
    ProbeStatus,
    RequestSuspicionReport,
)
from beryltiller.primaries.term_rows import TermRow, TermState
from beryltiller.primaries.terms_state import (
    Decision,
    ObservedVersion,
    TermsState,
    with_promotion,
)


def tick(state: TermsState, now: float) -> Decision:
    """Do the due work: refresh evidence, watch groups and advance promotions."""
    refresh, actions = evidence_refresh.tick(state.refresh, state.evidence, now)
    state = replace(state, refresh=refresh)
    for name in state.detections:
        state, more = _watch_group(state, name, now)
        actions += more
    for running in state.promotions.values():
        state, more = with_promotion(state, _proceed_or_abandon(state, running, now))
        actions += more
    return state, actions


def _proceed_or_abandon(
    state: TermsState, running: Promotion, now: float
) -> promotion.Decision:
    """Advance a promotion, or abandon an unconfirmed claim that is not needed.

    It is not needed once the former primary is no longer suspected.
    """
    detection = state.detections.get(running.group.name)
    is_unneeded = (
        running.step is Step.CLAIM
        and running.former_primary != ""
        and running.target == ""
        and detection is not None
        and not detection.health(running.former_primary).is_suspected(
            now, state.settings.detection
        )
    )
    if is_unneeded:
        return promotion.abandon(running, now)
    return promotion.proceed(running, now)


def _watch_group(state: TermsState, name: str, now: float) -> Decision:
    """Probe a group's databases, request reports from peers, and claim if due."""
    settings = state.settings.detection
    primary = state.primary(name)
    detection = state.detections[name]
    actions: list[Action] = []
    for database in detection.probes_due(primary, now, settings):
        health = replace(detection.health(database), probed_at=now)
        detection = detection.with_health(database, health)
        actions.append(ProbeStatus(name, database, now))
    is_suspected = detection.health(primary).is_suspected(now, settings)
    if (
        is_suspected
        and now - detection.reports_requested_at >= settings.suspicion_poll_seconds
    ):
        detection = replace(detection, reports_requested_at=now)
        peers = (each for each in detection.watchers if each != state.name)
        actions += (RequestSuspicionReport(peer, name, primary, now) for peer in peers)
    is_store_reached = (
        now - state.refresh.store_answered_at < settings.reachability_window_seconds
    )
    detection = detection.with_confirmation(primary, is_store_reached, now, settings)
    state = replace(state, detections={**state.detections, name: detection})
    if name in state.promotions or not is_store_reached:
        return state, tuple(actions)
    state, claims = _claim_if_due(state, detection, now)
    return state, (*actions, *claims)


def _claim_if_due(state: TermsState, detection: Detection, now: float) -> Decision:
    group = detection.group
    row = state.evidence.row(group.name)
    observed = state.observed_versions.get(group.name)
    if observed is None:
        return _record_absent_row(state, group.name, now), ()
    if row is None:
        is_due = _is_bootstrap_due(state, detection, observed, now)
    elif row.state is TermState.PENDING:
        is_due = _is_takeover_due(state, detection, row, observed, now)
    else:
        is_due = row.is_open and detection.is_claim_due(now, state.settings.detection)
    if not is_due:
        return state, ()
    claim_result = promotion.claim(
        group,
        row,
        state.promoter,
        now,
        state.settings.promotion,
        pending_since=observed.since,
    )
    return with_promotion(state, claim_result)


def _record_absent_row(state: TermsState, name: str, now: float) -> TermsState:
    if state.evidence.dated_at == -inf:
        return state
    absent = ObservedVersion(version=0, since=now)
    return replace(state, observed_versions={**state.observed_versions, name: absent})


def _is_bootstrap_due(
    state: TermsState,
    detection: Detection,
    observed: ObservedVersion,
    now: float,
) -> bool:
    """Return True if this watcher may claim the first term of a group without a row."""
    settings = state.settings.detection
    if not detection.reaches_other_databases("", now, settings):
        return False
    return now >= observed.since + detection.claim_delay_seconds(settings)


def _is_takeover_due(
    state: TermsState,
    detection: Detection,
    row: TermRow,
    observed: ObservedVersion,
    now: float,
) -> bool:
    """Return True if this watcher may take over the promotion of a pending row.

    The row must have been pending for `takeover_seconds`. The store must also have been
    stable for `store_stability_seconds`, because its outage may have delayed the
    promoter. A row that this process has claimed itself is taken over without a wait,
    because its own promotion of it has ended.
    """
    settings = state.settings
    if not detection.reaches_other_databases("", now, settings.detection):
        return False
    if row.promoter == state.promoter:
        return True
    since = max(
        observed.since + settings.takeover_seconds,
        state.refresh.store_stable_since
        + state.refresh.settings.store_stability_seconds,
    )
    return now >= since + detection.claim_delay_seconds(settings.detection)
