"""Specification of a promotion by one who may not know the newest term.

A second promoter does not know that another one promoted a database before it.
Term 2 has begun at a database that does not answer, and is followed by a replica. The
former primary of term 1 answers, and has stepped down.

Any step may come late or never.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from minicheck import Protocol

from tests.spec_parts import Phase, Rule, safety_protocol


@dataclass(frozen=True, slots=True)
class LaterTermBounds:
    """The limits of the model `LaterTerm`.

    With `is_proxy_cut` the proxy that reaches term 2 hears of announcements only after
    the cut. With `is_proxy_ahead` it has learned of term 2 before the second promoter's
    announcement, and the former primary has not stepped down for that promoter. With
    `is_row_lost` the store may come back from a copy of before the row.
    """

    is_proxy_cut: bool = True
    is_proxy_ahead: bool = False
    is_row_lost: bool = False


class LaterTermWorld(NamedTuple):
    """A state of the model `LaterTerm`.

    `leader` and `replica` are lengths of logs in term 2. `row_term` is the newest term
    that a promotion may have begun as the row names it. `has_departed` tells that the
    entries of the databases that do not answer have lapsed. `known_term` is the newest
    term that the second promoter knows of.
    """

    is_requested: bool = False
    has_begun: bool = False
    leader: int = 0
    replica: int = 0
    reported: int = 0
    proxy_term: int = 1
    is_cut: bool = True
    row_term: int = 1
    is_row_withdrawn: bool = False
    has_departed: bool = False
    phase: Phase = Phase.IDLE
    known_term: int = 1
    is_heard: bool = False
    is_opposed: bool = False
    is_lost: bool = False


LaterTermSteps = Iterator[tuple[str, LaterTermWorld]]


class LaterTerm:
    """A promotion by one who may not know of the term that has begun before."""

    def __init__(self, bounds: LaterTermBounds, without: frozenset[Rule]) -> None:
        self._bounds = bounds
        self._without = without

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return safety_protocol("later term", LaterTermWorld(), self._transitions)

    def _has(self, rule: Rule) -> bool:
        return rule not in self._without

    def _transitions(self, world: LaterTermWorld) -> list[tuple[str, LaterTermWorld]]:
        if world.phase is Phase.DONE:
            return []
        return [
            *self._first_promotion(world),
            *self._commits(world),
            *self._row(world),
            *self._proxy(world),
            *self._second_promoter(world),
        ]

    def _first_promotion(self, world: LaterTermWorld) -> LaterTermSteps:
        """Promote a database, and announce this unless the primary has stepped down.

        The second promoter requests nothing before that can no longer take effect.
        """
        is_early = world.phase is not Phase.REQUESTED
        if not world.is_requested and world.phase is Phase.IDLE:
            announced = world._replace(is_requested=True, row_term=2)
            yield "announce and request the first promotion", announced
            is_written = self._has(Rule.EVERY_CHANGE)
            unannounced = announced if is_written else world._replace(is_requested=True)
            yield "request the first promotion after a step-down", unannounced
        if world.is_requested and not world.has_begun and is_early:
            yield "term 2 begins", world._replace(has_begun=True)

    def _commits(self, world: LaterTermWorld) -> LaterTermSteps:
        if world.has_begun and world.leader < 1:
            yield "append in term 2", world._replace(leader=world.leader + 1)
        if world.replica < world.leader:
            yield "replica receives", world._replace(replica=world.replica + 1)
        if world.is_cut:
            yield "cut ends", world._replace(is_cut=False)
            yield "entries lapse", world._replace(has_departed=True)

    def _row(self, world: LaterTermWorld) -> LaterTermSteps:
        if world.row_term == 2 and world.phase is Phase.IDLE:
            yield "a later holder withdraws the row", world._replace(
                is_row_withdrawn=True
            )
            if self._bounds.is_row_lost:
                yield "the row is lost", world._replace(row_term=1)

    def _proxy(self, world: LaterTermWorld) -> LaterTermSteps:
        is_due = not (self._bounds.is_proxy_ahead and world.phase is Phase.ANNOUNCED)
        if world.has_begun and is_due:
            yield "proxy learns of term 2", world._replace(proxy_term=2)
        # The replica has shown its log, and is registered.
        is_received = world.proxy_term == 2 and world.reported < world.replica
        if is_received:
            yield "report", world._replace(reported=world.reported + 1)
        is_reached = not (world.is_cut and self._bounds.is_proxy_cut)
        if world.phase is Phase.ANNOUNCED and is_reached and not world.is_heard:
            is_opposed = world.proxy_term > world.known_term
            yield "proxy hears of the change", world._replace(
                is_heard=True,
                is_opposed=is_opposed and self._has(Rule.LATER_TERM_OBJECTS),
            )

    def _second_promoter(self, world: LaterTermWorld) -> LaterTermSteps:
        match world.phase:
            case Phase.IDLE:
                if self._bounds.is_proxy_ahead and world.proxy_term < 2:
                    return
                yield "claim and read the row", world._replace(
                    phase=Phase.FENCING, known_term=self._term_in_row(world)
                )
            case Phase.FENCING:
                yield from self._compare(world)
            case Phase.ANNOUNCED:
                is_consent = world.is_heard or self._bounds.is_proxy_cut
                if is_consent and not world.is_opposed and self._may_leave_out(world):
                    yield "request after the announcement", world._replace(
                        phase=Phase.REQUESTED
                    )
            case Phase.REQUESTED:
                yield "promotion takes effect", world._replace(
                    phase=Phase.DONE, is_lost=world.reported > 0
                )

    def _term_in_row(self, world: LaterTermWorld) -> int:
        is_counted = not world.is_row_withdrawn or self._has(Rule.WITHDRAWN_COUNTS)
        is_read = is_counted and self._has(Rule.NAMES_NEWEST_TERM)
        return world.row_term if is_read else 1

    def _compare(self, world: LaterTermWorld) -> LaterTermSteps:
        """Leave out those that do not answer, as the former primary does.

        It has stepped down for this promoter, or it once led in the newest term known,
        and the others have departed; then the change is announced.
        """
        if not self._may_leave_out(world):
            return
        if not self._bounds.is_proxy_ahead:
            yield "request after the step-down", world._replace(phase=Phase.REQUESTED)
        if world.has_departed:
            yield "announce", world._replace(phase=Phase.ANNOUNCED)

    def _may_leave_out(self, world: LaterTermWorld) -> bool:
        """Return True if nothing known speaks for a term after the first one.

        Databases that answer tell the term, or that an earlier promoter fenced them.
        """
        return world.is_cut and world.known_term == 1
