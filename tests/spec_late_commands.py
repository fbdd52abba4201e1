"""Specification of a promotion while commands to lift fences may act late.

An earlier promoter has fenced two replicas. Its commands to lift the fences have
got no answer, and may act at any time.

Any step may come late or never.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

from tests.spec_parts import WRITES, Phase, Rule, safety_protocol


@dataclass(frozen=True, slots=True)
class LateCommandsBounds:
    """The limits of the model `LateCommands`.

    `commands` is how many commands to lift the second replica's fence may be under way.
    With `restarts` it may restart before the promoter's first command, without a fence.
    """

    commands: int = 1
    restarts: bool = False


class LateCommandsWorld(NamedTuple):
    """A state of the model `LateCommands`.

    The first replica is on the promoter's side of a cut, with the store, and the second
    one on the side of the primary and the proxy. Logs are represented by their lengths
    in term 1. `lifting` counts the commands to lift the second one's fence that are
    under way. A fence is foreign as long as the promoter has not sent its own.
    """

    primary: int = 0
    lengths: tuple[int, int] = (0, 0)
    fenced: tuple[bool, bool] = (True, True)
    lifting: int = 1
    has_restarted: bool = False
    reported: int = 0
    is_cut: bool = False
    cuts: int = 0
    phase: Phase = Phase.IDLE
    is_told: bool = False
    found_fences: bool = False
    answered: tuple[bool, bool] = (False, False)
    log_end: int = 0
    is_lost: bool = False


LateCommandsSteps = Iterator[tuple[str, LateCommandsWorld]]


class LateCommands:
    """A promotion while an earlier promoter's commands may still act."""

    def __init__(self, bounds: LateCommandsBounds, without: frozenset[Rule]) -> None:
        self._bounds = bounds
        self._without = without

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        initial = LateCommandsWorld(lifting=self._bounds.commands)
        return safety_protocol("late commands", initial, self._transitions)

    def _has(self, rule: Rule) -> bool:
        return rule not in self._without

    def _transitions(
        self, world: LateCommandsWorld
    ) -> list[tuple[str, LateCommandsWorld]]:
        if world.phase is Phase.DONE:
            return []
        return [
            *self._commits(world),
            *self._earlier_promoter(world),
            *self._proxy(world),
            *self._promoter(world),
        ]

    def _commits(self, world: LateCommandsWorld) -> LateCommandsSteps:
        if world.primary < WRITES:
            yield "append", world._replace(primary=world.primary + 1)
        first, second = world.lengths
        if first < world.primary and not (world.fenced[0] or world.is_cut):
            yield "first receives", world._replace(lengths=(first + 1, second))
        if second < world.primary and not world.fenced[1]:
            yield "second receives", world._replace(lengths=(first, second + 1))
        if world.is_cut:
            yield "cut ends", world._replace(is_cut=False)
        elif world.cuts < 2:
            yield "cut begins", world._replace(is_cut=True, cuts=world.cuts + 1)

    def _earlier_promoter(self, world: LateCommandsWorld) -> LateCommandsSteps:
        """Let the earlier promoter's commands act; the first one's fence is lifted."""
        lifted = (world.fenced[0], False)
        if world.phase is Phase.IDLE and world.fenced[0]:
            yield "lift the first fence", world._replace(
                fenced=(False, world.fenced[1])
            )
        if world.lifting:
            yield "lift the second fence", world._replace(
                fenced=lifted, lifting=world.lifting - 1
            )
            yield "a command is lost", world._replace(lifting=world.lifting - 1)
        may_restart = self._bounds.restarts and world.phase is Phase.IDLE
        if may_restart and not world.has_restarted:
            yield "second restarts", world._replace(fenced=lifted, has_restarted=True)

    def _proxy(self, world: LateCommandsWorld) -> LateCommandsSteps:
        """Report what a registered replica has shown, unless the change drops it."""
        shown = max(0 if world.is_cut else world.lengths[0], world.lengths[1])
        limit = min(shown, world.log_end) if world.is_told else shown
        if world.reported < limit:
            yield "report", world._replace(reported=world.reported + 1)
        is_announced = world.phase in (Phase.ANNOUNCED, Phase.REQUESTED)
        if is_announced and not world.is_cut and not world.is_told:
            yield "proxy hears of the change", world._replace(is_told=True)

    def _promoter(self, world: LateCommandsWorld) -> LateCommandsSteps:
        match world.phase:
            case Phase.IDLE:
                yield "claim", world._replace(phase=Phase.FENCING)
            case Phase.FENCING:
                yield from self._fence(world)
                if all(world.answered):
                    yield "compare and announce", world._replace(
                        phase=Phase.ANNOUNCED, log_end=max(world.lengths)
                    )
            case Phase.ANNOUNCED:
                yield "give up", _again(world)
                if self._is_confirmed(world) and not self._must_wait(world):
                    yield "request the promotion", world._replace(phase=Phase.REQUESTED)
            case Phase.REQUESTED:
                yield "promotion takes effect", world._replace(
                    phase=Phase.DONE, is_lost=world.reported > world.log_end
                )

    def _fence(self, world: LateCommandsWorld) -> LateCommandsSteps:
        for index in range(2):
            is_reached = index == 0 or not world.is_cut
            if is_reached and not world.answered[index]:
                others = (world.fenced[1 - index], world.answered[1 - index])
                yield "fence", world._replace(
                    fenced=_pair(index, True, others[0]),
                    answered=_pair(index, True, others[1]),
                    found_fences=world.found_fences or world.fenced[index],
                )

    def _is_confirmed(self, world: LateCommandsWorld) -> bool:
        is_same = max(world.lengths) == world.log_end
        is_kept = world.reported <= world.log_end or not world.is_told
        return all(world.fenced) and not world.is_cut and is_same and is_kept

    def _must_wait(self, world: LateCommandsWorld) -> bool:
        """Return True while a command that the promoter waits for may still act."""
        is_due = world.found_fences or self._has(Rule.ALSO_WITHOUT_FENCES)
        return bool(world.lifting) and is_due and self._has(Rule.CANNOT_ACT)


def _pair(index: int, item: bool, other: bool) -> tuple[bool, bool]:
    """Return a pair with one item at an index, and another one at the other index."""
    return (item, other) if index == 0 else (other, item)


def _again(world: LateCommandsWorld) -> LateCommandsWorld:
    """Return the world after the promoter started over, with all fences left."""
    return world._replace(phase=Phase.FENCING, answered=(False, False), is_told=False)
