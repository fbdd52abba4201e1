"""A proxy's knowledge of a database group, from terms, statuses and answers."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace

from beryltiller.consistency.freshness import DatedPosition, Timeline
from beryltiller.consistency.plans import (
    DatabaseView,
    GroupView,
)
from beryltiller.core.ports import EndpointAnswer, EndpointStatus, Role
from beryltiller.core.position import ORIGIN, Position

# A lag that was measured earlier is reduced to zero over this time.
LAG_DECAY_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class GroupState:
    """The current view of a group, and the timeline of its primary's dated positions.

    Times are monotonic seconds of this host. `asked_at` and `sent_at` are taken just
    before the request is sent.
    """

    view: GroupView
    timeline: Timeline = field(default_factory=Timeline)

    def with_term(
        self, term: int, primary: str, is_open: bool, has_lapsed: bool = False
    ) -> "GroupState":
        """Return the state in a term, without what was known of an earlier term's log.

        The dated positions are dropped too. A later promotion may bring back entries
        that an earlier one dropped, and a position dated in between would then
        understate an age. A term lower than the current one changes nothing.
        """
        view = self.view
        if term < view.term:
            return self
        if term == view.term and primary == view.primary:
            if (is_open, has_lapsed) == (view.is_open, view.has_lapsed):
                return self
            view = replace(view, is_open=is_open, has_lapsed=has_lapsed)
            return replace(self, view=view)
        view = replace(
            view,
            term=term,
            primary=primary,
            is_open=is_open,
            has_lapsed=has_lapsed,
            history=None,
            last=ORIGIN,
        )
        return GroupState(view)

    def with_status(
        self, status: EndpointStatus, asked_at: float, now: float
    ) -> "GroupState":
        """Return the state after a database reported its status.

        A database that reports to be leaving is draining. One that does not may still
        be draining: others may know better, and `with_draining` alone ends it.
        """
        state = self
        if self.is_primary_in_force(status):
            state = self._with_history(status, asked_at)
        return state._with_database(
            status.database,
            lambda old: replace(
                old,
                applied=status.last,
                lag_seconds=state._lag_after(old, status.last, now),
                lag_measured_at=now,
                load=status.load,
                is_draining=old.is_draining or status.is_leaving,
                is_reachable=True,
            ),
        )

    def with_answer(
        self, database: str, answer: EndpointAnswer, sent_at: float, now: float
    ) -> "GroupState":
        """Return the state after a database answered a statement."""
        state = self
        if self._is_from_primary(database, answer):
            dated = DatedPosition(answer.position, sent_at)
            state = replace(self, timeline=self.timeline.with_position(dated))
        return state._with_database(
            database,
            lambda old: replace(
                old,
                applied=max(old.applied, answer.position),
                lag_seconds=state._lag_after(old, answer.position, now),
                lag_measured_at=now,
                load=answer.load,
                is_reachable=True,
            ),
        )

    def with_dated_position(self, dated: DatedPosition) -> "GroupState":
        """Return the state with a peer's dated position, on this host's clock."""
        return replace(self, timeline=self.timeline.with_position(dated))

    def with_behind_refusal(
        self, database: str, needed: Position, now: float
    ) -> "GroupState":
        """Return the state after a database refused a read because it lacked `needed`.

        Its lag is then at least the time for which the primary has had that position.
        """
        at_least = now - self.timeline.reached_at(needed, now)
        return self._with_database(
            database,
            lambda old: replace(
                old,
                lag_seconds=max(old.lag_seconds or 0.0, at_least),
                lag_measured_at=now,
            ),
        )

    def with_reachability(self, database: str, is_reachable: bool) -> "GroupState":
        """Return the state after a database became reachable or unreachable."""
        return self._with_database(
            database, lambda old: replace(old, is_reachable=is_reachable)
        )

    def with_draining(self, names: Collection[str]) -> "GroupState":
        """Return the state in which exactly the named databases are draining."""
        databases = tuple(
            replace(one, is_draining=one.name in names) for one in self.view.databases
        )
        return replace(self, view=replace(self.view, databases=databases))

    def is_named_primary(self, status: EndpointStatus) -> bool:
        """Return True if a status comes from the current term's primary.

        The evidence for the term may have lapsed.
        """
        view = self.view
        is_named = status.database == view.primary and status.role is Role.PRIMARY
        return view.takes_writes and is_named and status.term == view.term

    def is_primary_in_force(self, status: EndpointStatus) -> bool:
        """Return True if a status comes from the primary of a term in force."""
        view = self.view
        is_named = status.database == view.primary and status.role is Role.PRIMARY
        return view.is_open and is_named and status.term == view.term

    def _with_history(self, status: EndpointStatus, asked_at: float) -> "GroupState":
        """Return the state after the primary in force reported its log."""
        view = replace(self.view, history=status.history, last=status.last)
        dated = DatedPosition(status.last, asked_at)
        return GroupState(view, self.timeline.with_position(dated))

    def _lag_after(
        self, old: DatabaseView, reached: Position, now: float
    ) -> float | None:
        """Return the lag to route by, which rises at once and falls slowly.

        Otherwise the choice between databases would oscillate.
        """
        lag = self.timeline.lag_estimate(reached, now)
        if lag is None or old.lag_seconds is None:
            return lag
        kept = max(0.0, 1.0 - (now - old.lag_measured_at) / LAG_DECAY_SECONDS)
        return max(lag, old.lag_seconds * kept)

    def _is_from_primary(self, database: str, answer: EndpointAnswer) -> bool:
        """Return True if an answer's position dates the current primary's log.

        An answer does not state the database's term. If the answer's last entry is of
        an earlier term, the database may not know the current term yet.
        """
        view = self.view
        is_named = view.is_open and database == view.primary
        return is_named and answer.position.term == view.term

    def _with_database(
        self, name: str, change: Callable[[DatabaseView], DatabaseView]
    ) -> "GroupState":
        """Return the state with `change` applied to one database's view."""
        databases = tuple(
            change(one) if one.name == name else one for one in self.view.databases
        )
        return replace(self, view=replace(self.view, databases=databases))
