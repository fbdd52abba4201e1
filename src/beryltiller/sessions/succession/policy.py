"""Policy that decides when to replace a service's primary, and each step of doing so.

The functions are pure: they map a state and an event to a new state and actions. The
protocol is described in docs/PLATFORM.md and checked by `tests/spec_succession.py`:
claim the promotion duty, which is the exclusive right to change the primary; fence
every replica, so that it receives no more commits of the former primary; choose the
replica with the most advanced log; wait for the hold time, so that all proofs of the
former term have expired when the promotion takes effect; confirm that nothing changed;
and promote the replica. In parallel the former primary is asked to step down; no step
waits for this. The steps are functions of `fencing_steps`, `fence_results` and
`promotion_steps`.
"""

import random
from dataclasses import replace

from beryltiller.sessions.succession.actions import Action, ClaimDuty
from beryltiller.sessions.succession.causes import (
    cause_of_claim,
    possible_partition_start,
)
from beryltiller.sessions.succession.completion import finish_succession
from beryltiller.sessions.succession.events import (
    Cause,
    ChangeAnnounced,
    ClaimAccepted,
    ClaimFailed,
    Event,
    FenceResults,
    GroupsObserved,
    GroupView,
    PrimarySteppedDown,
    PromotionResult,
)
from beryltiller.sessions.succession.fence_results import (
    handle_change_announced,
    handle_fence_results,
)
from beryltiller.sessions.succession.fencing_steps import (
    fence_replicas,
    step_down_and_fence,
)
from beryltiller.sessions.succession.promotion_steps import handle_promotion_result
from beryltiller.sessions.succession.state import Phase, State, Succession
from beryltiller.sessions.succession.times import (
    COOLDOWN_SECONDS,
    DUTY_MARGIN_SECONDS,
    DUTY_SECONDS,
    MAX_CLAIM_DELAY_SECONDS,
    MAX_LIFT_DELAY_SECONDS,
    TAKEOVER_SECONDS,
)
from beryltiller.sessions.succession.transitions import (
    Decision,
    clear_claim_delay,
    delay_claim,
    end_succession,
    record_step_down,
    store_succession,
)


class SuccessionPolicy:
    """The state machine of all successions that this proxy performs.

    The random generator delays claims, so that several proxies claim at different
    times.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a policy that draws claim delays from `rng`."""
        self._rng = rng

    def decide(self, state: State, event: Event, now: float) -> Decision:
        """Return the state after `event` and the actions to perform."""
        match event:
            case GroupsObserved():
                return self._handle_observation(state, event, now)
            case ClaimAccepted(service):
                return self._handle_claim_accepted(state, event, service, now)
            case ClaimFailed(service):
                return end_succession(state, service, now + COOLDOWN_SECONDS), ()
            case PrimarySteppedDown(service):
                return record_step_down(state, event, service), ()
            case FenceResults(service):
                return handle_fence_results(state, event, service, now)
            case ChangeAnnounced(service):
                return handle_change_announced(state, event, service, now)
            case PromotionResult(service):
                return handle_promotion_result(state, event, service, now)

    def _handle_observation(
        self, state: State, event: GroupsObserved, now: float
    ) -> Decision:
        groups = {view.service: view for view in event.groups}
        state = replace(state, groups=groups)
        actions: list[Action] = []
        for succession in tuple(state.successions.values()):
            state, more_actions = self._take_due_step(state, succession, now)
            actions.extend(more_actions)
        if event.is_store_reachable:
            for view in event.groups:
                state, more_actions = self._start_if_needed(state, view, now)
                actions.extend(more_actions)
        return state, tuple(actions)

    def _start_if_needed(self, state: State, view: GroupView, now: float) -> Decision:
        service = view.service
        if service in state.successions:
            return state, ()
        cause = cause_of_claim(view, now)
        claim_not_before = state.claim_not_before.get(service)
        if cause is None:
            if claim_not_before is not None and now > claim_not_before:
                state = clear_claim_delay(state, service)
            return state, ()
        if claim_not_before is None:
            is_lift = cause is Cause.FENCES_LEFT
            max_delay = MAX_LIFT_DELAY_SECONDS if is_lift else MAX_CLAIM_DELAY_SECONDS
            delay = self._rng.uniform(0.0, max_delay)
            return delay_claim(state, service, now + delay), ()
        if now < claim_not_before:
            return state, ()
        since = possible_partition_start(view, cause, now)
        succession = Succession(service, cause, Phase.CLAIMING, view.leader, now, since)
        return store_succession(state, succession), (ClaimDuty(service, cause),)

    def _handle_claim_accepted(
        self, state: State, event: ClaimAccepted, service: str, now: float
    ) -> Decision:
        succession = state.successions.get(service)
        if succession is None:
            return state, ()
        deadline = event.asked_at + DUTY_SECONDS - DUTY_MARGIN_SECONDS
        succession = replace(
            succession,
            token=event.token,
            claimed_at=event.asked_at,
            accepted_at=now,
            deadline=deadline,
        )
        if succession.cause is Cause.FENCES_LEFT:
            return finish_succession(state, succession, now)
        return step_down_and_fence(state, succession, now)

    def _take_due_step(
        self, state: State, succession: Succession, now: float
    ) -> Decision:
        """Perform the next step of a succession if it is due."""
        view = state.groups.get(succession.service)
        match succession.phase:
            case Phase.CLAIMING if now > succession.waiting_since + DUTY_SECONDS:
                return (
                    end_succession(state, succession.service, now + COOLDOWN_SECONDS),
                    (),
                )
            case Phase.FENCING if now >= succession.next_step_at:
                return step_down_and_fence(state, succession, now)
            case Phase.HOLDING if now >= succession.next_step_at:
                return fence_replicas(state, succession, Phase.CONFIRMING, now)
            case Phase.LIFTING if now >= succession.next_step_at:
                return finish_succession(state, succession, now)
            case Phase.PROMOTING if now > succession.deadline + DUTY_MARGIN_SECONDS:
                return finish_succession(state, succession, now)
            case Phase.AWAITING if view and view.leader == succession.successor:
                return finish_succession(state, succession, now)
            case Phase.AWAITING if now > succession.waiting_since + TAKEOVER_SECONDS:
                return finish_succession(state, succession, now)
        return state, ()
