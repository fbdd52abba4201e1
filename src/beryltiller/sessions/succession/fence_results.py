"""Steps of a succession that follow the databases' answers to fence commands.

The functions are pure, like those of the policy. The answers are compared; then the
replicas are fenced again, the change is announced and held, or the successor promoted.
"""

from dataclasses import replace

from beryltiller.sessions.databases.evidence import (
    OBJECTION_WAIT_SECONDS,
    PROMOTION_HOLD_SECONDS,
)
from beryltiller.sessions.succession.actions import AnnounceChange, StepDownPrimary
from beryltiller.sessions.succession.comparison import (
    Comparison,
    asked_databases,
    compare,
    is_announced,
    promotion_basis,
)
from beryltiller.sessions.succession.completion import finish_succession
from beryltiller.sessions.succession.events import ChangeAnnounced, FenceResults
from beryltiller.sessions.succession.fencing_steps import (
    ask_to_step_down,
    last_fence_at,
)
from beryltiller.sessions.succession.promotion_steps import promote
from beryltiller.sessions.succession.state import Phase, State, Succession
from beryltiller.sessions.succession.times import (
    LIFT_SECONDS,
    RETRY_SECONDS,
)
from beryltiller.sessions.succession.transitions import (
    Decision,
    record_found_fences,
    schedule_step,
    store_succession,
)


def handle_fence_results(
    state: State, event: FenceResults, service: str, now: float
) -> Decision:
    """Compare the answers to fence commands, and take the step that follows."""
    succession = state.successions.get(service)
    if succession is None:
        return state, ()
    if succession.phase not in (Phase.FENCING, Phase.CONFIRMING):
        return state, ()
    found = compare(state.groups[service], succession, event)
    replacements = frozenset(event.replacements)
    succession = replace(succession, unknown_replacements=replacements)
    awaited_before = succession.confirm_not_before
    succession = record_found_fences(succession, event)
    if found.has_present_primary:
        # The group has a primary that this proxy had not learned of.
        return finish_succession(state, succession, now)
    knows_less = bool(found.silent & event.unknown)
    lacks_logs = found.lacks_reported or found.lacks_processes
    recalls_former = succession.recalls_former or (
        lacks_logs and succession.former_log_end is not None
    )
    succession = replace(
        succession, knows_less=knows_less, recalls_former=recalls_former
    )
    state, actions = _continue(state, succession, awaited_before, event, found, now)
    current = state.successions.get(service)
    if current and found.has_candidate and not current.asked_step_down:
        state, step_down = ask_to_step_down(state, current)
        actions = (*step_down, *actions)
    return state, actions


def _continue(
    state: State,
    succession: Succession,
    awaited_before: float,
    event: FenceResults,
    found: Comparison,
    now: float,
) -> Decision:
    """Take the step that follows a comparison: fence again, hold, or promote.

    `awaited_before` is until when earlier claims were waited for before it.
    """
    service = succession.service
    if not found.is_conclusive:
        return _retry_fencing(state, succession, found, now)
    is_other = found.successor != succession.successor
    if is_other and succession.promotion_may_take_effect:
        # The one whose promotion was requested may lead before another one does.
        return finish_succession(state, succession, now)
    is_confirmed = (
        succession.phase is Phase.CONFIRMING
        and event.were_already_fenced
        and not found.unfenced
        and succession.confirm_not_before == awaited_before
        and not is_other
    )
    if not is_confirmed:
        return _hold(state, succession, event, found, now)
    is_covered = is_announced(succession, event, found)
    if is_covered and event.is_unopposed:
        basis = promotion_basis(state.groups[service], succession, event, found)
        return promote(state, succession, basis, now)
    if is_covered and succession.announced_version:
        return _retry_fencing(state, succession, found, now)
    return _hold(state, succession, event, found, now)


def _hold(
    state: State,
    succession: Succession,
    results: FenceResults,
    found: Comparison,
    now: float,
) -> Decision:
    """Hold before the confirmation, and announce the change to all proxies."""
    held = replace(succession, phase=Phase.HOLDING, successor=found.successor)
    wait = max(PROMOTION_HOLD_SECONDS, succession.confirm_not_before - now)
    if now + wait > succession.deadline:
        return finish_succession(state, held, now)
    change = found.change
    if is_announced(succession, results, found):
        return schedule_step(state, held, now, wait)
    asked = tuple(sorted(asked_databases(succession, results)))
    announcing = replace(
        held,
        announced=change,
        announced_version=0,
        announced_asked=asked,
        has_announced=True,
    )
    state, actions = schedule_step(state, announcing, now, wait)
    announce = AnnounceChange(
        succession.service, change, succession.token, asked, found.successor
    )
    return state, (announce, *actions)


def handle_change_announced(
    state: State, event: ChangeAnnounced, service: str, now: float
) -> Decision:
    """Give all proxies time to object before the promotion is confirmed."""
    succession = state.successions.get(service)
    if succession is None:
        return state, ()
    if not event.version:
        return store_succession(state, replace(succession, announced=None)), ()
    succession = replace(
        succession,
        announced_version=event.version,
        begun_term=max(succession.begun_term, event.begun_term),
    )
    if succession.phase is not Phase.HOLDING:
        return store_succession(state, succession), ()
    wait = max(succession.next_step_at - now, OBJECTION_WAIT_SECONDS)
    return schedule_step(state, succession, now, wait)


def _retry_fencing(
    state: State, succession: Succession, found: Comparison, now: float
) -> Decision:
    """Fence again in a moment, in a later term if a database was not fenced.

    A promoter that knows too little ends early: one that knows the database named
    to it can ask it, or tell that it is gone.
    """
    retry_at = now + RETRY_SECONDS
    if succession.knows_less and retry_at > succession.claimed_at + LIFT_SECONDS:
        return finish_succession(state, succession, now)
    term = succession.term
    if found.not_fenced:
        term = max(term, found.newest_term + 1, found.newest_fence)
    retry = replace(succession, phase=Phase.FENCING, term=term)
    if retry_at > last_fence_at(retry, Phase.FENCING):
        return finish_succession(state, retry, now)
    state, actions = schedule_step(state, retry, now, RETRY_SECONDS)
    # A primary of an older term was replaced and has not noticed yet.
    replaced = tuple(
        StepDownPrimary(succession.service, term, name) for name in found.primaries
    )
    return state, (*replaced, *actions)
