"""Decisions about terms: evidence, failure detection and promotions of all groups.

`decide` takes each event with the current time, and returns the new state and the
actions to perform. It does no I/O.
"""

from dataclasses import replace

from beryltiller.core.ports import EndpointStatus, Role
from beryltiller.primaries import evidence_refresh, promotion, watching
from beryltiller.primaries.detection import Detection, SuspicionReport, select_watchers
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.evidence_refresh import select_sources
from beryltiller.primaries.term_actions import (
    Action,
    Follow,
    ProbeStatus,
    PublishTerms,
    SendSuspicionReport,
)
from beryltiller.primaries.term_events import (
    DatabaseGroup,
    DatabaseObserved,
    Event,
    EvidenceReceived,
    EvidenceRequested,
    GroupsChanged,
    MembersChanged,
    Observation,
    RowWritten,
    ScanFailed,
    StatusReceived,
    SuspicionReportReceived,
    SuspicionReportRequested,
    SwitchoverRequested,
    TermRefused,
    TermsRead,
    Tick,
    WriteUncertain,
)
from beryltiller.primaries.term_rows import TermRow
from beryltiller.primaries.terms_state import (
    Decision,
    ObservedVersion,
    TermsState,
    with_promotion,
)


def decide(state: TermsState, event: Event, now: float) -> Decision:
    """Return the state after an event, and the actions that the event requires."""
    match event:
        case Tick():
            return watching.tick(state, now)
        case TermsRead() | ScanFailed() | RowWritten() | WriteUncertain():
            return _handle_store_event(state, event, now)
        case StatusReceived():
            return _record_status(state, event, now)
        case DatabaseObserved():
            return _record_observation(state, event, now), ()
        case TermRefused():
            return _record_term_refusal(state, event, now)
        case (
            EvidenceRequested()
            | EvidenceReceived()
            | SuspicionReportRequested()
            | SuspicionReportReceived()
        ):
            return _handle_peer_event(state, event, now)
        case MembersChanged(members=members, listed=listed):
            state = replace(state, members=members, listed=listed)
            return _with_assignments(state), ()
        case GroupsChanged(groups=groups):
            by_name = {group.name: group for group in groups}
            return _with_assignments(replace(state, groups=by_name)), ()
        case SwitchoverRequested():
            return _start_switchover(state, event, now)


def _handle_store_event(
    state: TermsState,
    event: TermsRead | ScanFailed | RowWritten | WriteUncertain,
    now: float,
) -> Decision:
    refresh, evidence = state.refresh, state.evidence
    match event:
        case TermsRead(started_at=started_at, revision=revision, rows=rows):
            refresh = evidence_refresh.record_store_answer(refresh, now, started_at)
            evidence = evidence.with_read_rows(rows, revision, started_at)
            return _adopt_evidence(replace(state, refresh=refresh), evidence, now)
        case RowWritten(row=row):
            refresh = evidence_refresh.record_store_answer(refresh, now, now)
            return _adopt_evidence(
                replace(state, refresh=refresh), evidence.with_written_row(row), now
            )
        case ScanFailed(started_at=started_at):
            refresh = evidence_refresh.record_scan_failure(refresh, started_at)
            return replace(state, refresh=refresh), ()
        case WriteUncertain():
            refresh, scans = evidence_refresh.scan_now(refresh, evidence, now)
            return replace(state, refresh=refresh), scans


def _handle_peer_event(
    state: TermsState,
    event: (
        EvidenceRequested
        | EvidenceReceived
        | SuspicionReportRequested
        | SuspicionReportReceived
    ),
    now: float,
) -> Decision:
    match event:
        case EvidenceRequested():
            refresh, answers = evidence_refresh.handle_peer_request(
                state.refresh, state.evidence, event, now
            )
            return replace(state, refresh=refresh), answers
        case EvidenceReceived():
            refresh, evidence = evidence_refresh.handle_peer_answer(
                state.refresh, state.evidence, event, now
            )
            return _adopt_evidence(replace(state, refresh=refresh), evidence, now)
        case SuspicionReportRequested():
            return state, _answer_suspicion_request(state, event, now)
        case SuspicionReportReceived():
            return _record_suspicion(state, event), ()


def _adopt_evidence(state: TermsState, evidence: Evidence, now: float) -> Decision:
    """Adopt newer evidence: publish it, answer peers, and advance promotions."""
    if evidence == state.evidence:
        return state, ()
    observed_versions = dict(state.observed_versions)
    for name, known in evidence.known_rows.items():
        observed = observed_versions.get(name)
        if observed is None or observed.version != known.row.version:
            observed_versions[name] = ObservedVersion(known.row.version, now)
    refresh = state.refresh
    actions: tuple[Action, ...] = ()
    if evidence.dated_at > state.evidence.dated_at:
        refresh, actions = evidence_refresh.answer_held_requests(
            state.refresh, evidence
        )
    state = replace(
        state, evidence=evidence, refresh=refresh, observed_versions=observed_versions
    )
    actions += (PublishTerms(evidence),)
    for name, running in state.promotions.items():
        row = evidence.row(name)
        if row:
            result = promotion.observe_row(running, row, now)
            state, promotion_actions = with_promotion(state, result)
            actions += promotion_actions
    return state, actions


def _record_status(state: TermsState, event: StatusReceived, now: float) -> Decision:
    actions: tuple[Action, ...] = ()
    detection = state.detections.get(event.group)
    if detection:
        observation = _classify_status(state, event)
        detection = detection.with_observation(event.database, observation, now)
        detections = {**state.detections, event.group: detection}
        state = replace(state, detections=detections)
        actions = _follow_primary(state, event)
    running = state.promotions.get(event.group)
    if running:
        result = promotion.observe_status(running, event.status, now)
        state, promotion_actions = with_promotion(state, result)
        actions += promotion_actions
    return state, actions


def _classify_status(state: TermsState, event: StatusReceived) -> Observation:
    """Return `UNREACHABLE` for a primary that no longer acts as one, else `ANSWERED`.

    The database that the row names as primary may answer with another role, in the
    row's term or a lower one, because it has lost the record of its term. It is then
    treated as failed although it answers. Answers to requests sent before this process
    first read the row's current version are not checked, because the row did not apply
    to them.
    """
    row = state.evidence.row(event.group)
    observed = state.observed_versions.get(event.group)
    if row is None or observed is None or event.database != row.primary:
        return Observation.ANSWERED
    is_current = row.is_open and event.asked_at >= observed.since
    has_other_role = (
        event.status.term <= row.term and event.status.role is not Role.PRIMARY
    )
    is_failed = is_current and has_other_role
    return Observation.UNREACHABLE if is_failed else Observation.ANSWERED


def _follow_primary(state: TermsState, event: StatusReceived) -> tuple[Action, ...]:
    """Return a `Follow` for a database that missed a promotion, else nothing."""
    row = state.evidence.row(event.group)
    group = state.groups.get(event.group)
    if row is None or group is None or not row.is_open:
        return ()
    if event.database == row.primary or _is_following(row, group, event.status):
        return ()
    return (Follow(row.group, event.database, row.term, row.primary),)


def _is_following(row: TermRow, group: DatabaseGroup, status: EndpointStatus) -> bool:
    if status.term > row.term:
        return True
    follows = status.role is Role.REPLICA and status.term == row.term
    return follows and status.following == group.address(row.primary)


def _record_observation(
    state: TermsState, event: DatabaseObserved, now: float
) -> TermsState:
    detection = state.detections.get(event.group)
    if detection is None:
        return state
    detection = detection.with_observation(event.database, event.observation, now)
    return replace(state, detections={**state.detections, event.group: detection})


def _record_term_refusal(state: TermsState, event: TermRefused, now: float) -> Decision:
    state = _record_observation(
        state,
        DatabaseObserved(event.group, event.database, Observation.ANSWERED),
        now,
    )
    running = state.promotions.get(event.group)
    if running is None or running.claimed_row.term != event.term:
        return state, ()
    return with_promotion(state, promotion.abandon(running, now))


def _answer_suspicion_request(
    state: TermsState, event: SuspicionReportRequested, now: float
) -> tuple[Action, ...]:
    detection = state.detections.get(event.group)
    settings = state.settings.detection
    health = detection.health(event.database) if detection else None
    is_suspected = health is not None and health.is_suspected(now, settings)
    answer = SendSuspicionReport(
        event.peer, event.group, event.database, event.asked_at, is_suspected
    )
    if detection is None or is_suspected:
        return (answer,)
    return answer, ProbeStatus(event.group, event.database, now)


def _record_suspicion(state: TermsState, event: SuspicionReportReceived) -> TermsState:
    detection = state.detections.get(event.group)
    if detection is None or event.asked_at != detection.reports_requested_at:
        return state
    report = SuspicionReport(event.database, event.is_suspected, event.asked_at)
    detection = detection.with_suspicion_report(event.peer, report)
    return replace(state, detections={**state.detections, event.group: detection})


def _with_assignments(state: TermsState) -> TermsState:
    """Return a copy with the evidence sources and watched groups selected anew.

    Watchers are selected among the listed and the live proxies, so that a proxy that
    is cut off cannot be a majority by itself.
    """
    settings = state.settings.detection
    sources = select_sources(state.name, state.members, state.refresh.settings)
    voters_by_name = {each.name: each for each in (*state.listed, *state.members)}
    voters = tuple(voters_by_name.values())
    detections = {}
    for name, group in state.groups.items():
        watchers = select_watchers(name, voters, settings.watchers_per_group)
        if state.name not in watchers:
            continue
        previous = state.detections.get(name) or Detection(group, watchers, state.name)
        detections[name] = replace(previous, group=group, watchers=watchers)
    refresh = replace(state.refresh, sources=sources, peer_index=0)
    return replace(state, refresh=refresh, detections=detections)


def _start_switchover(
    state: TermsState, event: SwitchoverRequested, now: float
) -> Decision:
    group = state.groups.get(event.group)
    row = state.evidence.row(event.group)
    if group is None or row is None or not row.is_open:
        return state, ()
    others = [name for name in group.names if name != row.primary]
    target = event.target or next(iter(others), "")
    if target not in others or event.group in state.promotions:
        return state, ()
    claim_result = promotion.claim(
        group, row, state.promoter, now, state.settings.promotion, target=target
    )
    return with_promotion(state, claim_result)
