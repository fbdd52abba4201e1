"""Specification of what a proxy without news of the store may report, in steps of time.

A group has a primary, two replicas and a database that joins unseen. A proxy that had
news at first has none any more; it reaches the primary and both replicas. Others drain
and remove the first replica, or fence the databases and promote one. A promotion lifts
all fences. Databases that are not promoted go on with the old primary, as a cut keeps
them from the new one. No commit that was reported may be missing from the promoted log.

Any step may come late or never. Times count in ticks, and are kept up to a limit.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import Any, NamedTuple

from minicheck import check_safety

from tests.spec_parts import LOST, safety_protocol

WRITES = 1
# A fence is held for this long before a promotion, and answers are closer together.
HOLD = 2
# For how long after its last news the proxy counts one replica alone, and may begin a
# chain with answers of all databases.
LEASE = 4
RESTART = 3
NEVER = -1
MAX_STATES = 2_000_000


class Rule(Enum):
    """The rules that keep what such a proxy reports.

    What replicas show counts in an UNBROKEN chain of answers, after a lease that of
    TWO_REPLICAS together. A promotion takes effect after a HOLD. A drained replica is
    REMOVED_LATE, when the lease of every proxy has ended. A chain is RESTARTED_SOON
    after the last news or not at all, and a database is not promoted while it is YOUNG.
    """

    UNBROKEN = auto()
    TWO_REPLICAS = auto()
    HOLD = auto()
    REMOVED_LATE = auto()
    RESTARTED_SOON = auto()
    YOUNG = auto()


class World(NamedTuple):
    """A state; logs are represented by their lengths.

    `first` and `second` are the replicas, and `joined` is the log of the third one, or
    -1 before it joins. The `_gap`s are the ticks since an answer that continued the
    replica's chain. The other times are ticks since something happened, or -1.
    """

    primary: int = 0
    first: int = 0
    second: int = 0
    joined: int = NEVER
    first_shown: int = 0
    second_shown: int = 0
    reported: int = 0
    first_fenced: bool = False
    second_fenced: bool = False
    joined_fenced: bool = False
    first_gap: int = 0
    second_gap: int = 0
    silent: int = 0
    marked: int = NEVER
    is_removed: bool = False
    age: int = NEVER
    held: int = NEVER
    log_end: int = NEVER
    is_second_promoted: bool = False
    is_lost: bool = False


Steps = Iterator[tuple[str, World]]


class UnseenChanges:
    """The steps of the databases, the promoter, the keeper and the proxy."""

    def __init__(self, without: frozenset[Rule]) -> None:
        self._without = without

    def transitions(self, world: World) -> list[tuple[str, World]]:
        """Return the steps that are possible in a state, by name."""
        steps = (
            *self._databases(world),
            *self._set(world),
            *self._promoter(world),
            *self._proxy(world),
            ("a tick", _after_a_tick(world)),
        )
        return [(name, each) for name, each in steps if each != world]

    def _has(self, rule: Rule) -> bool:
        return rule not in self._without

    def _databases(self, world: World) -> Steps:
        if world.primary < WRITES:
            yield "append", world._replace(primary=world.primary + 1)
        if world.first < world.primary and not world.first_fenced:
            yield "first receives", world._replace(first=world.first + 1)
        is_following = not (world.second_fenced or world.is_second_promoted)
        if world.second < world.primary and is_following:
            yield "second receives", world._replace(second=world.second + 1)

    def _set(self, world: World) -> Steps:
        if world.log_end != NEVER:
            return
        if world.joined == NEVER:
            yield "a database joins", world._replace(joined=world.primary, age=0)
        if world.marked == NEVER:
            yield "first drains", world._replace(marked=0)
        is_late = world.marked > LEASE or not self._has(Rule.REMOVED_LATE)
        is_held = world.primary in (world.second, world.joined)
        if world.marked != NEVER and is_late and is_held and world.held == NEVER:
            yield "first is removed", world._replace(is_removed=True)

    def _promoter(self, world: World) -> Steps:
        if world.log_end != NEVER:
            return
        if not world.is_removed:
            yield "fence the first", world._replace(first_fenced=True)
        yield "fence the second", world._replace(second_fenced=True)
        if world.joined != NEVER:
            yield "fence the joined", world._replace(joined_fenced=True)
        if _are_fenced(world) and world.held == NEVER:
            yield "hold", world._replace(held=0)
        is_held = world.held >= HOLD or (
            world.held != NEVER and not self._has(Rule.HOLD)
        )
        if is_held and _are_fenced(world):
            longest = _longest(world)
            if world.second == longest:
                yield "promote the second", _promoted(world, longest, True)
            is_young = world.age <= RESTART and self._has(Rule.YOUNG)
            if world.joined == longest and not is_young:
                yield "promote the joined", _promoted(world, longest, False)
        yield "give up", _unfenced(world)

    def _proxy(self, world: World) -> Steps:
        is_unbroken = self._is_unbroken(world) or not self._has(Rule.UNBROKEN)
        if is_unbroken or world.first_gap < HOLD:
            yield "first's status", world._replace(
                first_shown=world.first if is_unbroken else world.first_shown,
                first_gap=world.first_gap if world.first_fenced else 0,
            )
        is_asked = not world.is_second_promoted
        if is_asked and (is_unbroken or world.second_gap < HOLD):
            yield "second's status", world._replace(
                second_shown=world.second if is_unbroken else world.second_shown,
                second_gap=world.second_gap if world.second_fenced else 0,
            )
        is_soon = world.silent <= RESTART or not self._has(Rule.RESTARTED_SOON)
        if is_asked and is_soon and not (world.first_fenced or world.second_fenced):
            yield "both are unfenced replicas", world._replace(
                first_shown=world.first,
                second_shown=world.second,
                first_gap=0,
                second_gap=0,
            )
        if world.reported < self._reportable(world):
            reported = world.reported + 1
            is_lost = world.log_end != NEVER and reported > world.log_end
            yield "report", world._replace(reported=reported, is_lost=is_lost)

    def _counts_alone(self, world: World) -> bool:
        return world.silent <= LEASE or not self._has(Rule.TWO_REPLICAS)

    def _is_unbroken(self, world: World) -> bool:
        gaps = world.first_gap, world.second_gap
        return (min(gaps) if self._counts_alone(world) else max(gaps)) < HOLD

    def _reportable(self, world: World) -> int:
        shown = world.first_shown, world.second_shown
        return max(shown) if self._counts_alone(world) else min(shown)


def _are_fenced(world: World) -> bool:
    """Return True if all databases are fenced that a promoter accounts for."""
    is_first_fenced = world.first_fenced or world.is_removed
    is_joined_fenced = world.joined_fenced or world.joined == NEVER
    return is_first_fenced and world.second_fenced and is_joined_fenced


def _longest(world: World) -> int:
    """Return the length of the longest log that a promoter compares."""
    first = NEVER if world.is_removed else world.first
    return max(first, world.second, world.joined)


def _promoted(world: World, log_end: int, is_second: bool) -> World:
    """Return the world after a promotion took effect, which lifts all fences."""
    return _unfenced(world)._replace(
        log_end=log_end,
        is_second_promoted=is_second,
        is_lost=world.reported > log_end,
    )


def _unfenced(world: World) -> World:
    return world._replace(
        first_fenced=False, second_fenced=False, joined_fenced=False, held=NEVER
    )


def _after_a_tick(world: World) -> World:
    def later(ticks: int, limit: int) -> int:
        return ticks if ticks == NEVER else min(ticks + 1, limit)

    return world._replace(
        first_gap=later(world.first_gap, HOLD),
        second_gap=later(world.second_gap, HOLD),
        silent=later(world.silent, LEASE + 1),
        marked=later(world.marked, LEASE + 1),
        age=later(world.age, RESTART + 1),
        held=later(world.held, HOLD),
    )


def check(*without: Rule) -> Any:
    """Return the checker's result, leaving out the given rules."""
    model = UnseenChanges(frozenset(without))
    protocol = safety_protocol("unseen changes", World(), model.transitions)
    return check_safety(protocol, max_states=MAX_STATES)


def is_kept(*without: Rule) -> bool:
    """Return True if an exhaustive check finds no reported commit that is lost."""
    result = check(*without)
    assert result["exhaustive"]
    holds = result["properties"][LOST]["holds"]
    assert isinstance(holds, bool)
    return holds
