"""The end of a succession: what is withdrawn, and which fences are lifted.

The function is pure, like those of the policy.
"""

from dataclasses import replace

from beryltiller.sessions.succession.actions import UnfenceReplicas, WithdrawChange
from beryltiller.sessions.succession.events import Cause
from beryltiller.sessions.succession.state import Phase, State, Succession
from beryltiller.sessions.succession.times import (
    COOLDOWN_SECONDS,
    KNOWS_LESS_COOLDOWN_SECONDS,
    LIFT_SECONDS,
)
from beryltiller.sessions.succession.transitions import (
    Decision,
    end_succession,
    schedule_step,
)


def finish_succession(state: State, succession: Succession, now: float) -> Decision:
    """End a succession, whether it succeeded or not, and unfence its replicas.

    The replicas stay fenced while a promotion may still take effect, of this proxy
    or, after the claim's deadline, of another one: otherwise the former primary
    could acknowledge commits that the successor's log lacks. The next succession
    continues with the fenced replicas, or lifts the fences of a primary that works.
    """
    view = state.groups.get(succession.service)
    is_done = view is not None and view.leader == succession.successor
    may_take_effect = succession.promotion_may_take_effect and not is_done
    lift_at = max(succession.claimed_at + LIFT_SECONDS, succession.confirm_not_before)
    wait = lift_at - now
    if wait > 0 and not may_take_effect and not is_done:
        lifting = replace(succession, phase=Phase.LIFTING)
        return schedule_step(state, lifting, now, wait)
    cooldown = COOLDOWN_SECONDS
    if succession.knows_less and not is_done:
        cooldown = KNOWS_LESS_COOLDOWN_SECONDS
    state = end_succession(state, succession.service, now + cooldown)
    if may_take_effect:
        return state, ()
    successor_term = view.leader_term if view and is_done else 0
    withdraw = WithdrawChange(
        succession.service,
        succession.token,
        is_done,
        successor_term,
        is_done and succession.lacks_answer,
    )
    own = (withdraw,) if succession.has_announced else ()
    if now > succession.deadline:
        return state, own
    known = view.replicas if view else ()
    replicas = tuple(name for name in known if name != succession.successor)
    others = tuple(sorted(succession.unknown_replacements - set(known)))
    unfence = UnfenceReplicas(
        succession.service, (*replicas, *others), succession.deadline
    )
    if succession.cause is Cause.FENCES_LEFT:
        return state, (withdraw, unfence)
    return state, (*own, unfence)
