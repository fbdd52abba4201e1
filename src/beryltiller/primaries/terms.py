"""Decide who may write: evidence, detection and promotions of all groups.

`decide` is given each event with the clock's reading and returns the new state and
the actions to perform. It does no I/O.
"""

from dataclasses import replace

from beryltiller.core.ports import EndpointStatus, Role
from beryltiller.primaries import evidence_refresh, promotion, watching
from beryltiller.primaries.detection import Detection, Opinion, watchers_of
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.evidence_refresh import evidence_sources
from beryltiller.primaries.term_actions import (
    Action,
    Follow,
    ProbeStatus,
    PublishTerms,
    TellOpinion,
)
from beryltiller.primaries.term_events import (
    DatabaseGroup,
    DatabaseObserved,
    Event,
    EvidenceAsked,
    EvidenceTold,
    GroupsChanged,
    MembersChanged,
    Observation,
    OpinionAsked,
    OpinionTold,
    RowWritten,
    ScanFailed,
    StatusReceived,
    SwitchoverAsked,
    TermRefused,
    TermsRead,
    Tick,
    WriteUncertain,
)
from beryltiller.primaries.term_rows import TermRow
from beryltiller.primaries.terms_state import (
    Result,
    Sighting,
    TermsState,
    with_promotion,
)


def decide(state: TermsState, event: Event, now: float) -> Result:
    """Return the state after an event, and what to do about it."""
    match event:
        case Tick():
            return watching.tick(state, now)
        case TermsRead() | ScanFailed() | RowWritten() | WriteUncertain():
            return _store_event(state, event, now)
        case StatusReceived():
            return _status_received(state, event, now)
        case DatabaseObserved():
            return _observed(state, event, now), ()
        case TermRefused():
            return _term_refused(state, event, now)
        case EvidenceAsked() | EvidenceTold() | OpinionAsked() | OpinionTold():
            return _peer_event(state, event, now)
        case MembersChanged(members=members, listed=listed):
            state = replace(state, members=members, listed=listed)
            return _with_duties(state), ()
        case GroupsChanged(groups=groups):
            by_name = {group.name: group for group in groups}
            return _with_duties(replace(state, groups=by_name)), ()
        case SwitchoverAsked():
            return _switchover(state, event, now)


def _store_event(
    state: TermsState,
    event: TermsRead | ScanFailed | RowWritten | WriteUncertain,
    now: float,
) -> Result:
    refresh, evidence = state.refresh, state.evidence
    match event:
        case TermsRead(started_at=started_at, revision=revision, rows=rows):
            refresh = evidence_refresh.store_answered(refresh, now, started_at)
            evidence = evidence.merged(rows, revision, started_at)
            return _adopt(replace(state, refresh=refresh), evidence, now)
        case RowWritten(row=row):
            refresh = evidence_refresh.store_answered(refresh, now, now)
            return _adopt(replace(state, refresh=refresh), evidence.with_row(row), now)
        case ScanFailed(started_at=started_at):
            refresh = evidence_refresh.scan_failed(refresh, started_at)
            return replace(state, refresh=refresh), ()
        case WriteUncertain():
            refresh, scans = evidence_refresh.read_back(refresh, evidence, now)
            return replace(state, refresh=refresh), scans


def _peer_event(
    state: TermsState,
    event: EvidenceAsked | EvidenceTold | OpinionAsked | OpinionTold,
    now: float,
) -> Result:
    match event:
        case EvidenceAsked():
            refresh, answers = evidence_refresh.peer_asked(
                state.refresh, state.evidence, event, now
            )
            return replace(state, refresh=refresh), answers
        case EvidenceTold():
            refresh, evidence = evidence_refresh.peer_told(
                state.refresh, state.evidence, event, now
            )
            return _adopt(replace(state, refresh=refresh), evidence, now)
        case OpinionAsked():
            return state, _opinion(state, event, now)
        case OpinionTold():
            return _with_opinion(state, event), ()


def _adopt(state: TermsState, evidence: Evidence, now: float) -> Result:
    """Take in newer evidence: publish it, pass it on, and move promotions by it."""
    if evidence == state.evidence:
        return state, ()
    sightings = dict(state.sightings)
    for name, known in evidence.known.items():
        seen = sightings.get(name)
        if seen is None or seen.version != known.row.version:
            sightings[name] = Sighting(known.row.version, now)
    refresh = state.refresh
    actions: tuple[Action, ...] = ()
    if evidence.dated_at > state.evidence.dated_at:
        refresh, actions = evidence_refresh.answer_all(state.refresh, evidence)
    state = replace(state, evidence=evidence, refresh=refresh, sightings=sightings)
    actions += (PublishTerms(evidence),)
    for name, running in state.promotions.items():
        row = evidence.row(name)
        if row:
            result = promotion.observe_row(running, row, now)
            state, moves = with_promotion(state, result)
            actions += moves
    return state, actions


def _status_received(state: TermsState, event: StatusReceived, now: float) -> Result:
    actions: tuple[Action, ...] = ()
    detection = state.detections.get(event.group)
    if detection:
        observation = _observation(state, event)
        detection = detection.observed(event.database, observation, now)
        detections = {**state.detections, event.group: detection}
        state = replace(state, detections=detections)
        actions = _follow_primary(state, event)
    running = state.promotions.get(event.group)
    if running:
        result = promotion.observe_status(running, event.status, now)
        state, moves = with_promotion(state, result)
        actions += moves
    return state, actions


def _observation(state: TermsState, event: StatusReceived) -> Observation:
    """Take a primary that has forgotten its term for one that is lost."""
    row = state.evidence.row(event.group)
    seen = state.sightings.get(event.group)
    if row is None or seen is None or event.database != row.primary:
        return Observation.ANSWERED
    is_current = row.is_open and event.asked_at >= seen.since
    is_deposed = event.status.term <= row.term and event.status.role is not Role.PRIMARY
    lost = is_current and is_deposed
    return Observation.UNREACHABLE if lost else Observation.ANSWERED


def _follow_primary(state: TermsState, event: StatusReceived) -> tuple[Action, ...]:
    """Make a database that missed a promotion follow the primary in force."""
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


def _observed(state: TermsState, event: DatabaseObserved, now: float) -> TermsState:
    detection = state.detections.get(event.group)
    if detection is None:
        return state
    detection = detection.observed(event.database, event.observation, now)
    return replace(state, detections={**state.detections, event.group: detection})


def _term_refused(state: TermsState, event: TermRefused, now: float) -> Result:
    state = _observed(
        state,
        DatabaseObserved(event.group, event.database, Observation.ANSWERED),
        now,
    )
    running = state.promotions.get(event.group)
    if running is None or running.claimed.term != event.term:
        return state, ()
    return with_promotion(state, promotion.abandon(running, now))


def _opinion(state: TermsState, event: OpinionAsked, now: float) -> tuple[Action, ...]:
    detection = state.detections.get(event.group)
    settings = state.settings.detection
    health = detection.health(event.database) if detection else None
    is_suspected = health is not None and health.is_suspected(now, settings)
    answer = TellOpinion(
        event.peer, event.group, event.database, event.asked_at, is_suspected
    )
    if detection is None or is_suspected:
        return (answer,)
    return answer, ProbeStatus(event.group, event.database, now)


def _with_opinion(state: TermsState, event: OpinionTold) -> TermsState:
    detection = state.detections.get(event.group)
    if detection is None or event.asked_at != detection.asked_at:
        return state
    opinion = Opinion(event.database, event.is_suspected, event.asked_at)
    detection = detection.with_opinion(event.peer, opinion)
    return replace(state, detections={**state.detections, event.group: detection})


def _with_duties(state: TermsState) -> TermsState:
    """Return the state with this proxy's sources of evidence and watched groups."""
    settings = state.settings.detection
    sources = evidence_sources(state.name, state.members, state.refresh.settings)
    electorate = {each.name: each for each in (*state.listed, *state.members)}
    voters = tuple(electorate.values())
    detections = {}
    for name, group in state.groups.items():
        watchers = watchers_of(name, voters, settings.watchers_per_group)
        if state.name not in watchers:
            continue
        held = state.detections.get(name) or Detection(group, watchers, state.name)
        detections[name] = replace(held, group=group, watchers=watchers)
    refresh = replace(state.refresh, sources=sources, source=0)
    return replace(state, refresh=refresh, detections=detections)


def _switchover(state: TermsState, event: SwitchoverAsked, now: float) -> Result:
    group = state.groups.get(event.group)
    row = state.evidence.row(event.group)
    if group is None or row is None or not row.is_open:
        return state, ()
    others = [name for name in group.names if name != row.primary]
    target = event.target or next(iter(others), "")
    if target not in others or event.group in state.promotions:
        return state, ()
    claimed = promotion.claim(
        group, row, state.promoter, now, state.settings.promotion, target=target
    )
    return with_promotion(state, claimed)
