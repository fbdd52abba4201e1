"""Decide when a service's primary is replaced, and each step of its succession.

Pure decisions: a state and an event go in, a new state and actions come out. The
protocol is that of docs/PLATFORM.md, checked by `tests/spec_succession.py`:
claim the duty, fence every replica, name the most advanced, hold, confirm, promote. The
former primary is stepped down meanwhile, which no step waits for.
"""

import random
from collections.abc import Mapping, Set
from dataclasses import replace

from beryltiller.core.position import Position
from beryltiller.sessions.groups import PROMOTION_HOLD_SECONDS
from beryltiller.sessions.statements import DatabaseStatus
from beryltiller.sessions.succession_state import (
    Action,
    Cause,
    Claim,
    Claimed,
    ClaimLost,
    Event,
    FenceAll,
    FencesAnswered,
    GroupView,
    LookAfter,
    Phase,
    Promote,
    PromotionAnswered,
    Seen,
    State,
    StepDownOne,
    SteppedDown,
    Succession,
    UnfenceAll,
)

# A claim counts for this long; nobody else claims the duty meanwhile.
DUTY_SECONDS = 4.0
# The holder stops using a claim this much earlier.
DUTY_MARGIN_SECONDS = 1.2
# A primary is replaced after it has been failing for this long.
FAILING_SECONDS = 0.3
# A primary that answers but acknowledges no write is replaced after this long.
STALLED_SECONDS = 0.5
# A service without any primary is given one after this long: entries that lapsed by
# mistake are back by then, also for a process that has just started.
HEADLESS_SECONDS = 4.0
# Proxies that notice together claim one after the other.
CLAIM_SPREAD_SECONDS = 0.15
RETRY_SECONDS = 0.2
# A primary whose entry is no longer used may have been silent for this long.
ENTRY_SILENCE_SECONDS = 8.0
# After a succession that came to nothing, or that is done.
PAUSE_SECONDS = 1.5
TAKEOVER_SECONDS = 4.0


Decision = tuple[State, tuple[Action, ...]]


def cause_of(view: GroupView, now: float) -> Cause | None:
    """Return why a group's primary must be replaced, or None."""
    if not view.replicas:
        return None
    if view.leader is None:
        return (
            Cause.HEADLESS
            if _since(view.headless_since, now, HEADLESS_SECONDS)
            else None
        )
    if _since(view.failing_since, now, FAILING_SECONDS):
        return Cause.FAILING
    if _since(view.stalled_since, now, STALLED_SECONDS):
        return Cause.STALLED
    if view.is_leader_leaving and any(
        replica not in view.leaving for replica in view.replicas
    ):
        return Cause.LEAVING
    return None


class SuccessionPolicy:
    """Decide each event; `source` spreads the claims of several proxies."""

    def __init__(self, source: random.Random) -> None:
        """Use the random source passed in."""
        self._source = source

    def decide(self, state: State, event: Event, now: float) -> Decision:
        """Return the new state and the actions that an event leads to."""
        match event:
            case Seen():
                return self._seen(state, event, now)
            case Claimed(service):
                return self._claimed(state, event, service, now)
            case ClaimLost(service):
                return _drop(state, service, now + PAUSE_SECONDS), ()
            case SteppedDown(service):
                return _stepped_down(state, event, service), ()
            case FencesAnswered(service):
                return self._fenced(state, event, service, now)
            case PromotionAnswered(service):
                return self._promoted(state, event, service, now)

    def _seen(self, state: State, event: Seen, now: float) -> Decision:
        groups = {view.service: view for view in event.groups}
        state = replace(state, groups=groups)
        actions: list[Action] = []
        for succession in tuple(state.successions.values()):
            state, more = self._advance(state, succession, now)
            actions.extend(more)
        if event.is_store_reachable:
            for view in event.groups:
                state, more = self._consider(state, view, now)
                actions.extend(more)
        return state, tuple(actions)

    def _consider(self, state: State, view: GroupView, now: float) -> Decision:
        service = view.service
        if service in state.successions:
            return state, ()
        cause = cause_of(view, now)
        not_before = state.not_before.get(service)
        if cause is None:
            if not_before is not None and now > not_before:
                state = _forget_delay(state, service)
            return state, ()
        if not_before is None:
            delay = self._source.uniform(0.0, CLAIM_SPREAD_SECONDS)
            return _not_before(state, service, now + delay), ()
        if now < not_before:
            return state, ()
        since = _trouble_since(view, cause, now)
        succession = Succession(service, cause, Phase.CLAIMING, view.leader, now, since)
        return _with(state, succession), (Claim(service, cause),)

    def _claimed(
        self, state: State, event: Claimed, service: str, now: float
    ) -> Decision:
        succession = state.successions.get(service)
        if succession is None:
            return state, ()
        deadline = event.asked_at + DUTY_SECONDS - DUTY_MARGIN_SECONDS
        succession = replace(succession, token=event.token, deadline=deadline)
        return self._fence(state, succession, now)

    def _fence(self, state: State, succession: Succession, now: float) -> Decision:
        state, actions = self._fence_again(state, succession, Phase.FENCING, now)
        succeeding = state.successions.get(succession.service)
        if succeeding is None or succession.former is None:
            return state, actions
        step_down = StepDownOne(succession.service, succeeding.term, succession.former)
        return state, (step_down, *actions)

    def _fence_again(
        self, state: State, succession: Succession, phase: Phase, now: float
    ) -> Decision:
        """Fence all databases but the former primary, also those that are new."""
        view = state.groups.get(succession.service)
        former = succession.former
        if view is None or now > succession.deadline:
            return self._give_up(state, succession, now)
        if view.leader is not None and view.leader != former:
            # The group has a primary again.
            return self._give_up(state, succession, now)
        term = max(view.term + 1, succession.term)
        succession = replace(
            succession, phase=phase, term=term, next_step_at=now + 60.0
        )
        replicas = tuple(name for name in view.replicas if name != former)
        departed = tuple(name for name in view.departed if name != former)
        since = succession.trouble_since
        fence = FenceAll(succession.service, term, replicas, departed, since)
        return _with(state, succession), (fence,)

    def _fenced(
        self, state: State, event: FencesAnswered, service: str, now: float
    ) -> Decision:
        succession = state.successions.get(service)
        if succession is None:
            return state, ()
        if succession.phase not in (Phase.FENCING, Phase.CONFIRMING):
            return state, ()
        heard = {name: item for name, item in event.statuses.items() if item}
        newest = max((item.term for item in heard.values()), default=0)
        newest = max(newest, state.groups[service].term)
        primaries = {name: item for name, item in heard.items() if item.is_primary}
        if any(item.term >= newest for item in primaries.values()):
            # The group has a primary that this proxy did not know of.
            return self._give_up(state, succession, now)
        silent = event.statuses.keys() - heard.keys()
        silent -= self._not_needed(state, succession, event, heard)
        fences = max((item.fenced_term for item in heard.values()), default=0)
        behind = [s for s in heard.values() if s.fenced_term < succession.term]
        successor = self._choose(state, succession, heard)
        if silent or behind or not successor:
            term = succession.term
            if behind:
                term = max(term, newest + 1, fences)
            retry = replace(succession, phase=Phase.FENCING, term=term)
            state, actions = _wait(state, retry, now, RETRY_SECONDS)
            # Primaries of older terms have been replaced and do not know it yet.
            replaced = tuple(StepDownOne(service, term, name) for name in primaries)
            return state, (*replaced, *actions)
        is_confirmed = event.were_fenced and successor == succession.successor
        if succession.phase is Phase.CONFIRMING and is_confirmed:
            return self._promote(state, succession, now)
        holding = replace(succession, phase=Phase.HOLDING, successor=successor)
        return _wait(state, holding, now, PROMOTION_HOLD_SECONDS)

    def _not_needed(
        self,
        state: State,
        succession: Succession,
        event: FencesAnswered,
        heard: Mapping[str, DatabaseStatus],
    ) -> Set[str]:
        """Return the silent databases that hold no acknowledged commit alone.

        Nobody is waited for once a log reaches the end of that of the former primary,
        which has stepped down. A database that has ended can acknowledge no more; what
        it received is in other logs if they reach what is known as acknowledged.
        """
        longest = max((s.received for s in heard.values()), default=Position(0, 0))
        last = succession.last_position
        if last is not None and longest >= last:
            return event.statuses.keys()
        if longest >= state.groups[succession.service].acknowledged:
            return event.gone | event.replaced
        return event.gone

    def _choose(
        self,
        state: State,
        succession: Succession,
        heard: Mapping[str, DatabaseStatus],
    ) -> str:
        """Return the replica with the most advanced log, one that stays if it can."""
        view = state.groups[succession.service]
        longest = max((s.received for s in heard.values()), default=Position(0, 0))
        names = [name for name, s in heard.items() if s.received == longest]
        names = [name for name in names if name not in succession.refused]
        present = succession.successor
        names.sort(key=lambda name: (name in view.leaving, name != present, name))
        return names[0] if names else ""

    def _advance(self, state: State, succession: Succession, now: float) -> Decision:
        """Take the next step of a succession that waits for its time."""
        view = state.groups.get(succession.service)
        match succession.phase:
            case Phase.CLAIMING if now > succession.since + DUTY_SECONDS:
                return _drop(state, succession.service, now + PAUSE_SECONDS), ()
            case Phase.FENCING if now >= succession.next_step_at:
                return self._fence(state, succession, now)
            case Phase.HOLDING if now >= succession.next_step_at:
                return self._fence_again(state, succession, Phase.CONFIRMING, now)
            case Phase.PROMOTING if now > succession.deadline + DUTY_MARGIN_SECONDS:
                return self._give_up(state, succession, now)
            case Phase.AWAITING if view and view.leader == succession.successor:
                return self._give_up(state, succession, now)
            case Phase.AWAITING if now > succession.since + TAKEOVER_SECONDS:
                return self._give_up(state, succession, now)
        return state, ()

    def _promote(self, state: State, succession: Succession, now: float) -> Decision:
        if now > succession.deadline:
            return self._give_up(state, succession, now)
        promoting = replace(succession, phase=Phase.PROMOTING, may_take_effect=True)
        action = Promote(
            succession.service,
            succession.successor,
            succession.token,
            succession.deadline,
        )
        return _with(state, promoting), (action,)

    def _promoted(
        self, state: State, event: PromotionAnswered, service: str, now: float
    ) -> Decision:
        succession = state.successions.get(service)
        if succession is None or succession.phase is not Phase.PROMOTING:
            return state, ()
        if event.is_accepted:
            awaiting = replace(succession, phase=Phase.AWAITING, since=now)
            return _with(state, awaiting), ()
        if now > succession.deadline:
            return self._give_up(state, succession, now)
        if event.is_refused:
            refused = succession.refused | {succession.successor}
            retry = replace(succession, refused=refused, may_take_effect=False)
            return self._fence(state, retry, now)
        retry = replace(succession, phase=Phase.HOLDING)
        return _wait(state, retry, now, RETRY_SECONDS)

    def _give_up(self, state: State, succession: Succession, now: float) -> Decision:
        """End a succession, done or not; paused replicas receive again.

        Not while a promotion may still take effect: the former primary could then
        acknowledge what the successor's log lacks. The next succession goes on from
        the paused replicas.
        """
        view = state.groups.get(succession.service)
        state = _drop(state, succession.service, now + PAUSE_SECONDS)
        is_done = view is not None and view.leader == succession.successor
        if succession.may_take_effect and not is_done:
            return state, ()
        replicas = tuple(
            name
            for name in (view.replicas if view else ())
            if name != succession.successor
        )
        return state, (UnfenceAll(succession.service, replicas),)


def _trouble_since(view: GroupView, cause: Cause, now: float) -> float:
    """Return since when databases may be hidden together with the primary."""
    match cause:
        case Cause.LEAVING:
            return now
        case Cause.HEADLESS if view.led_until is None:
            since = now if view.headless_since is None else view.headless_since
            return since - ENTRY_SILENCE_SECONDS
    times = (view.failing_since, view.stalled_since, view.led_until)
    return min((since for since in times if since is not None), default=now)


def _stepped_down(state: State, event: SteppedDown, service: str) -> State:
    succession = state.successions.get(service)
    if succession is None or succession.former != event.identifier:
        return state
    return _with(state, replace(succession, last_position=event.received))


def _since(began: float | None, now: float, seconds: float) -> bool:
    return began is not None and now - began >= seconds


def _with(state: State, succession: Succession) -> State:
    successions = {**state.successions, succession.service: succession}
    return replace(state, successions=successions)


def _wait(state: State, succession: Succession, now: float, seconds: float) -> Decision:
    """Take a succession's next step after `seconds`."""
    waiting = replace(succession, next_step_at=now + seconds)
    return _with(state, waiting), (LookAfter(seconds),)


def _drop(state: State, service: str, not_before: float) -> State:
    successions = {
        name: item for name, item in state.successions.items() if name != service
    }
    return _not_before(replace(state, successions=successions), service, not_before)


def _forget_delay(state: State, service: str) -> State:
    delays = {
        name: moment for name, moment in state.not_before.items() if name != service
    }
    return replace(state, not_before=delays)


def _not_before(state: State, service: str, moment: float) -> State:
    return replace(state, not_before={**state.not_before, service: moment})
