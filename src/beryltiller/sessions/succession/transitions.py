"""Changes of the succession policy's state.

Successions are stored with what was learned, scheduled and ended; claims are delayed.
"""

from dataclasses import replace

from beryltiller.sessions.succession.actions import (
    Action,
    ObserveAfter,
)
from beryltiller.sessions.succession.events import (
    FenceResults,
    PrimarySteppedDown,
)
from beryltiller.sessions.succession.state import (
    State,
    Succession,
)
from beryltiller.sessions.succession.times import LIFT_SECONDS, SETTLING_SECONDS

Decision = tuple[State, tuple[Action, ...]]


def record_found_fences(succession: Succession, event: FenceResults) -> Succession:
    """Record whether an earlier promoter had fenced databases.

    The promotion that it may have requested, and its commands to unfence, have then
    acted before this one is confirmed, or will not: the earlier claim had ended when
    this one was accepted.
    """
    not_before = succession.confirm_not_before
    if event.found_fenced - succession.fenced_here:
        not_before = succession.accepted_at + max(LIFT_SECONDS, SETTLING_SECONDS)
    answered = {name for name, status in event.statuses.items() if status is not None}
    fenced_here = succession.fenced_here
    if event.fenced_at:
        fenced_here |= answered | event.replacements.keys()
    return replace(succession, confirm_not_before=not_before, fenced_here=fenced_here)


def record_step_down(state: State, event: PrimarySteppedDown, service: str) -> State:
    """Record where the log of a former primary that has stepped down ends."""
    succession = state.successions.get(service)
    if succession is None or succession.former_primary != event.identifier:
        return state
    stepped_down = replace(
        succession, former_log_end=event.received, former_term=event.term
    )
    return store_succession(state, stepped_down)


def store_succession(state: State, succession: Succession) -> State:
    """Replace the succession of its service."""
    successions = {**state.successions, succession.service: succession}
    return replace(state, successions=successions)


def schedule_step(
    state: State, succession: Succession, now: float, seconds: float
) -> Decision:
    """Schedule the succession's next step to be due in `seconds`."""
    waiting = replace(succession, next_step_at=now + seconds)
    return store_succession(state, waiting), (ObserveAfter(seconds),)


def end_succession(state: State, service: str, claim_not_before: float) -> State:
    """Remove the succession of a service, and delay its next claim."""
    successions = {
        name: item for name, item in state.successions.items() if name != service
    }
    return delay_claim(
        replace(state, successions=successions), service, claim_not_before
    )


def clear_claim_delay(state: State, service: str) -> State:
    """Forget until when a claim was delayed."""
    delays = {
        name: moment
        for name, moment in state.claim_not_before.items()
        if name != service
    }
    return replace(state, claim_not_before=delays)


def delay_claim(state: State, service: str, moment: float) -> State:
    """Delay the next claim for a service until `moment`."""
    return replace(state, claim_not_before={**state.claim_not_before, service: moment})
