"""Steps of a succession that fence the replicas and ask the primary to step down.

The functions are pure, like those of the policy.
"""

from dataclasses import replace

from beryltiller.sessions.succession.actions import FenceReplicas, StepDownPrimary
from beryltiller.sessions.succession.completion import finish_succession
from beryltiller.sessions.succession.state import Phase, State, Succession
from beryltiller.sessions.succession.times import FENCING_MARGIN_SECONDS
from beryltiller.sessions.succession.transitions import Decision, store_succession


def step_down_and_fence(state: State, succession: Succession, now: float) -> Decision:
    """Fence the replicas and, if one works, ask the former primary to step down."""
    state, actions = fence_replicas(state, succession, Phase.FENCING, now)
    current = state.successions.get(succession.service)
    if current is None or not state.groups[succession.service].has_working_replica:
        return state, actions
    state, step_down = ask_to_step_down(state, current)
    return state, (*step_down, *actions)


def ask_to_step_down(state: State, succession: Succession) -> Decision:
    """Ask the former primary to step down, as some replica may succeed it.

    Without one that would only take a primary away that may still work.
    """
    if succession.former_primary is None:
        return state, ()
    step_down = StepDownPrimary(
        succession.service, succession.term, succession.former_primary
    )
    asked = replace(succession, asked_step_down=True)
    return store_succession(state, asked), (step_down,)


def fence_replicas(
    state: State, succession: Succession, phase: Phase, now: float
) -> Decision:
    """Fence all databases but the former primary, including new ones."""
    view = state.groups.get(succession.service)
    former_primary = succession.former_primary
    if view is None or now > last_fence_at(succession, phase):
        return finish_succession(state, succession, now)
    if view.leader is not None and view.leader != former_primary:
        # The group already has another primary.
        return finish_succession(state, succession, now)
    term = max(view.term + 1, succession.term)
    # The fence results schedule the next step; none is due before they arrive.
    succession = replace(succession, phase=phase, term=term, next_step_at=now + 60.0)
    replicas = tuple(name for name in view.replicas if name != former_primary)
    if former_primary is not None and succession.recalls_former:
        replicas = (*replicas, former_primary)
    departed = tuple(name for name in view.departed if name != former_primary)
    since = succession.possible_partition_since
    fence = FenceReplicas(
        succession.service,
        term,
        replicas,
        departed,
        since,
        former_primary,
        succession.announced_version,
    )
    return store_succession(state, succession), (fence,)


def last_fence_at(succession: Succession, phase: Phase) -> float:
    """Return the last moment at which replicas may be fenced in a phase."""
    if phase is Phase.CONFIRMING:
        return succession.deadline
    return succession.deadline - FENCING_MARGIN_SECONDS
