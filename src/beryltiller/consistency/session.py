"""Plans that keep each statement consistent with the earlier ones of its session.

The planner joins a session's token with routing and with the bounds on replicas' ages.
It does no I/O. It records what was observed of each group and returns plans.
The code that serves statements carries the plans out on one event loop and reports
their results to the planner.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from returns.result import Result, Success

from beryltiller.consistency.attempts import Unconfirmed
from beryltiller.consistency.freshness import DatedPosition
from beryltiller.consistency.group_state import GroupState
from beryltiller.consistency.plans import (
    AskPrimaryPosition,
    DatabaseView,
    GroupView,
    Need,
    Plan,
    PrimaryReadBucket,
    Progress,
    Refuse,
    RoutingPolicy,
    WaitForTerm,
)
from beryltiller.consistency.routing import (
    PositionStatus,
    find_loss,
    plan_read,
    plan_write,
    position_status,
)
from beryltiller.consistency.tokens import (
    Mark,
    Session,
    TokenFault,
    TokenKeys,
    decode_token,
)
from beryltiller.core.outcome import Kind, Refusal
from beryltiller.core.ports import EndpointAnswer, EndpointStatus
from beryltiller.core.position import ORIGIN, Position

NEW_SESSION = "new"


@dataclass(frozen=True, slots=True)
class SessionClaim:
    """The session that a caller's request states in its session header.

    `is_known` is False for a caller without a token. Its earlier writes are unknown, so
    its reads must see every write that was acknowledged before they began.
    """

    session: Session
    is_known: bool = True


def parse_session_header(
    text: str, keys: TokenKeys, new_identifier: str
) -> Result[SessionClaim, TokenFault]:
    """Return the claim in a session header, which is a token, `new`, or empty."""
    if not text:
        return Success(SessionClaim(Session(new_identifier, is_complete=False), False))
    if text == NEW_SESSION:
        return Success(SessionClaim(Session(new_identifier)))
    return decode_token(text, keys).map(SessionClaim)


@dataclass(frozen=True, slots=True)
class Serving:
    """A statement being served, with its conditions and its progress.

    `reported` is used for a read if not all earlier writes of its session are known. It
    is the need for the position that the primary reported, and None until then.
    """

    group: str
    kind: Kind
    claim: SessionClaim
    progress: Progress
    max_age_seconds: float | None = None
    reported: Need | None = None


@dataclass(frozen=True, slots=True)
class Served:
    """The session to return with a complete answer, and the age of an aged read."""

    session: Session
    age_seconds: float | None = None


# A statement's updated state, and its next plan.
ServingPlan = tuple[Serving, Plan]


class Planner:
    """Plans statements from the latest known state of each group.

    The `record_` methods update what is known of a group, of a statement's progress, or
    of both. Those that take a `Serving` also return what follows for the statement.
    """

    def __init__(self, policy: RoutingPolicy, rng: random.Random) -> None:
        """Start with no groups."""
        self._policy = policy
        self._rng = rng
        self._groups: dict[str, GroupState] = {}
        self._read_buckets: dict[str, PrimaryReadBucket] = {}

    def group(self, name: str) -> GroupState | None:
        """Return a group's state, or None if the group is not configured."""
        return self._groups.get(name)

    def configure(self, group: str, databases: Iterable[DatabaseView]) -> None:
        """Set a group's databases, and keep what is known of those that stay."""
        old = self._groups.get(group, GroupState(GroupView(group, 0, "", False)))
        known = {one.name: one for one in old.view.databases}
        adopted = tuple(
            replace(known.get(one.name, one), availability_zone=one.availability_zone)
            for one in databases
        )
        view = replace(old.view, databases=adopted)
        self._groups[group] = replace(old, view=view)
        burst = self._policy.primary_read_burst
        self._read_buckets.setdefault(group, PrimaryReadBucket(burst))

    def remove_group(self, group: str) -> None:
        """Remove a group that is no longer configured."""
        self._groups.pop(group, None)
        self._read_buckets.pop(group, None)

    def record_term(
        self,
        group: str,
        term: int,
        primary: str,
        is_open: bool,
        has_lapsed: bool = False,
    ) -> None:
        """Record a group's term; the flags are those of `GroupView`, as of now."""
        state = self._groups[group].with_term(term, primary, is_open, has_lapsed)
        self._groups[group] = state

    def record_status(
        self, group: str, status: EndpointStatus, asked_at: float, now: float
    ) -> None:
        """Record a database's status, requested at `asked_at`."""
        self._groups[group] = self._groups[group].with_status(status, asked_at, now)

    def record_dated_position(self, group: str, dated: DatedPosition) -> None:
        """Record a dated position of the primary that a peer reported."""
        self._groups[group] = self._groups[group].with_dated_position(dated)

    def record_reachability(
        self, group: str, database: str, is_reachable: bool
    ) -> None:
        """Record whether a database can be reached."""
        state = self._groups[group].with_reachability(database, is_reachable)
        self._groups[group] = state

    def record_draining(self, group: str, names: Collection[str]) -> None:
        """Record that exactly the named databases of a group are draining."""
        self._groups[group] = self._groups[group].with_draining(names)

    def begin(
        self,
        group: str,
        kind: Kind,
        claim: SessionClaim,
        now: float,
        deadline: float,
        max_age_seconds: float | None = None,
    ) -> ServingPlan:
        """Return the first plan of a statement.

        The statement that begins a transaction is planned as a write.
        """
        progress = Progress(now, deadline)
        serving = Serving(group, kind, claim, progress, max_age_seconds)
        return serving, self.resume(serving, now)

    def resume(self, serving: Serving, now: float) -> Plan:
        """Return the next plan from what is known now, after a wait or a delay."""
        state = self._groups.get(serving.group)
        if state is None:
            return Refuse(Refusal(f"no group {serving.group}"))
        view = state.view
        mark = self._session_mark(serving)
        if serving.kind.is_write:
            known = mark or Mark()
            return plan_write(view, known, serving.progress, now, self._policy)
        if loss := find_loss(view, mark or Mark()):
            return loss
        need = _read_need(serving, mark, state, now, self._policy)
        if need is None:
            return _plan_position_request(view, serving.progress, now, self._policy)
        if serving.kind is Kind.AGED_READ and not view.is_open:
            view = _without_primary(view)
        return plan_read(
            view,
            need,
            serving.progress,
            now,
            self._policy,
            self._read_buckets[serving.group].used_fraction(self._policy),
            self._rng,
        )

    def record_position(
        self, serving: Serving, status: EndpointStatus, asked_at: float, now: float
    ) -> ServingPlan:
        """Record the status that was requested of the primary; return the next plan.

        The status counts only while its term is in force, because a replaced primary
        does not know the writes that its successor acknowledged. The request for it
        must have been sent after the statement began. If the evidence for the term has
        lapsed, the caller of this method must have proved the term otherwise.
        """
        self.record_status(serving.group, status, asked_at, now)
        state = self._groups[serving.group]
        is_later = asked_at >= serving.progress.started_at
        if is_later and state.is_named_primary(status):
            serving = replace(serving, reported=Need(status.last, asked_at))
        elif is_later and state.view.takes_writes:
            # The database is not the primary of this term. Do not ask it again.
            progress = serving.progress.with_failed_database(status.database)
            serving = replace(serving, progress=progress)
        return serving, self.resume(serving, now)

    def record_behind_refusal(
        self, serving: Serving, database: str, needed: Position, now: float
    ) -> ServingPlan:
        """Record that a database was behind `needed`, and return the next plan."""
        state = self._groups[serving.group]
        self._groups[serving.group] = state.with_behind_refusal(database, needed, now)
        progress = serving.progress.with_behind_refusal(database, now)
        serving = replace(serving, progress=progress)
        return serving, self.resume(serving, now)

    def record_failure(
        self, serving: Serving, database: str, now: float
    ) -> ServingPlan:
        """Record that a database could not serve, and return the next plan."""
        serving = replace(
            serving, progress=serving.progress.with_failed_database(database)
        )
        return serving, self.resume(serving, now)

    def record_answer(
        self,
        serving: Serving,
        database: str,
        answer: EndpointAnswer,
        sent_at: float,
        now: float,
        term: int = 0,
    ) -> Served | Unconfirmed | ServingPlan:
        """Record a database's answer, and return what follows for the statement.

        It is `Served` if the answer may be returned to the caller. A write sent in
        `term` is acknowledged only while that term is in force. If its evidence has
        lapsed, the caller of this method must have proved the term otherwise. In all
        other cases the result of a write is `Unconfirmed`. An aged read whose answer is
        too old by now is planned again.
        """
        state = self._groups[serving.group].with_answer(database, answer, sent_at, now)
        self._groups[serving.group] = state
        session = serving.claim.session
        if serving.kind.is_write:
            if not state.view.takes_writes or state.view.term != term:
                return Unconfirmed()
            return Served(session.after_write(serving.group, answer.position))
        by_primary = database == state.view.primary
        bucket = self._read_buckets[serving.group].after_read(by_primary, self._policy)
        self._read_buckets[serving.group] = bucket
        session = session.after_read(serving.group, answer.position)
        if serving.kind is not Kind.AGED_READ:
            return Served(session)
        age = state.timeline.age_bound(answer.position, now)
        if age is None or age > (serving.max_age_seconds or 0.0):
            progress = serving.progress.with_behind_refusal(database, now)
            serving = replace(serving, progress=progress)
            return serving, self.resume(serving, now)
        return Served(session, age)

    def _session_mark(self, serving: Serving) -> Mark | None:
        """Return the session's mark, or None if not all earlier writes are known."""
        mark = serving.claim.session.mark(serving.group)
        if mark is None or not serving.claim.is_known:
            return None
        return mark


def _read_need(
    serving: Serving,
    mark: Mark | None,
    state: GroupState,
    now: float,
    policy: RoutingPolicy,
) -> Need | None:
    """Return a read's need, or None if the primary must be asked first."""
    needed = mark.needed if mark else ORIGIN
    is_undecided = position_status(state.view, needed) is PositionStatus.UNDECIDED
    if is_undecided and state.view.is_open:
        return None
    reached_at = state.timeline.reached_at(needed, serving.progress.started_at)
    if serving.kind is Kind.AGED_READ:
        return _aged_need(serving, Need(needed, reached_at), state, now, policy)
    if mark is not None:
        return Need(needed, reached_at)
    reported = serving.reported
    if (
        reported
        and position_status(state.view, reported.at_least) is PositionStatus.LOST
    ):
        return None
    return reported


def _aged_need(
    serving: Serving, own: Need, state: GroupState, now: float, policy: RoutingPolicy
) -> Need | None:
    """Return the need of an aged read, or None if no dated position is recent enough.

    The need is the position that proves the requested age, or that of `own`, the
    session's need, if it is later. A replica that lags less than the requested age
    already holds the position that proves the age. One that lags more will not hold it
    in time, so only a short wait is allowed.
    """
    age = (serving.max_age_seconds or 0.0) * (1 - policy.age_margin_fraction)
    position = state.timeline.position_for_age(age, now)
    if position is None:
        return None
    reached_at = state.timeline.reached_at(position, now)
    if own.at_least > position:
        position, reached_at = own.at_least, own.reached_at
    return Need(position, reached_at, policy.short_wait_seconds)


def _without_primary(view: GroupView) -> GroupView:
    """Return the view for aged reads while the term is not open or lacks evidence.

    The primary may have been replaced by a database that lacks the entries that it
    wrote in this term, and that brings back entries dropped by an earlier failover. A
    replica that holds the primary's entries of this term rules that out. A promotion
    fences at least two of the group's three databases before it chooses the new
    primary, and so fences the primary or that replica.
    """
    replicas = (one for one in view.databases if one.name != view.primary)
    return replace(view, databases=tuple(replicas))


def _plan_position_request(
    view: GroupView, progress: Progress, now: float, policy: RoutingPolicy
) -> Plan:
    """Return a plan to ask the primary for its position, or to wait for a primary.

    Refuse once the time for that wait is up.
    """
    if view.takes_writes and view.primary not in progress.failed:
        return AskPrimaryPosition(view.name, view.primary, view.term)
    until = min(progress.deadline, progress.started_at + policy.term_wait_seconds)
    # The primary of a term in force failed, so only a later term can help.
    term = view.term + 1 if view.is_open else view.term
    if now < until:
        return WaitForTerm(view.name, term, until - now)
    return Refuse(Refusal(f"group {view.name} has no primary in force"))
