"""Steps of a succession that promote the successor and take the platform's answer.

The functions are pure, like those of the policy.
"""

from dataclasses import replace

from beryltiller.sessions.succession.actions import Promote, PromotionBasis
from beryltiller.sessions.succession.completion import finish_succession
from beryltiller.sessions.succession.events import PromotionResult
from beryltiller.sessions.succession.fencing_steps import (
    fence_replicas,
    step_down_and_fence,
)
from beryltiller.sessions.succession.state import Phase, State, Succession
from beryltiller.sessions.succession.times import CONFIRMATION_SECONDS, RETRY_SECONDS
from beryltiller.sessions.succession.transitions import (
    Decision,
    schedule_step,
    store_succession,
)


def promote(
    state: State,
    succession: Succession,
    basis: PromotionBasis,
    now: float,
) -> Decision:
    """Promote the successor, or confirm again if that was too long ago."""
    confirmed_until = basis.confirmed_at + CONFIRMATION_SECONDS
    if now > min(succession.deadline, confirmed_until):
        return fence_replicas(state, succession, Phase.CONFIRMING, now)
    promoting = replace(
        succession,
        phase=Phase.PROMOTING,
        promotion_may_take_effect=True,
        earlier_may_take_effect=succession.promotion_may_take_effect,
    )
    action = Promote(
        succession.service,
        succession.successor,
        succession.token,
        min(succession.deadline, confirmed_until),
        basis,
    )
    return store_succession(state, promoting), (action,)


def handle_promotion_result(
    state: State, event: PromotionResult, service: str, now: float
) -> Decision:
    """Await an accepted promotion, choose again after a refusal, or ask again."""
    succession = state.successions.get(service)
    if succession is None or succession.phase is not Phase.PROMOTING:
        return state, ()
    if event.is_accepted:
        awaiting = replace(succession, phase=Phase.AWAITING, waiting_since=now)
        return store_succession(state, awaiting), ()
    if not event.is_refused:
        succession = replace(succession, lacks_answer=True)
    if now > succession.deadline:
        return finish_succession(state, succession, now)
    if event.is_refused:
        refused_successors = succession.refused_successors | {succession.successor}
        retry = replace(
            succession,
            refused_successors=refused_successors,
            promotion_may_take_effect=succession.earlier_may_take_effect,
        )
        return step_down_and_fence(state, retry, now)
    retry = replace(succession, phase=Phase.HOLDING)
    return schedule_step(state, retry, now, RETRY_SECONDS)
