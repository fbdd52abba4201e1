"""Session consistency of each statement: token, routing and freshness joined.

The planner does no I/O. It is told what was seen and hands out plans; whoever serves
statements carries them out on one event loop and reports what came of them.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from returns.result import Result, Success

from beryltiller.consistency.attempts import Unconfirmed
from beryltiller.consistency.freshness import Pair
from beryltiller.consistency.group_state import GroupState
from beryltiller.consistency.plans import (
    AskPrimaryPosition,
    DatabaseView,
    GroupView,
    Need,
    Plan,
    PrimaryShare,
    Progress,
    Refuse,
    RoutingPolicy,
    WaitForTerm,
)
from beryltiller.consistency.routing import (
    Standing,
    find_loss,
    plan_read,
    plan_write,
    standing,
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
class Claim:
    """Hold the session that a caller claims.

    `is_known` is false for a caller without a token, whose earlier writes may be
    anywhere: its reads must see all that was acknowledged before them.
    """

    session: Session
    is_known: bool = True


def read_claim(
    text: str, keys: TokenKeys, new_identifier: str
) -> Result[Claim, TokenFault]:
    """Return the claim in a session header: a token, `new`, or nothing."""
    if not text:
        return Success(Claim(Session(new_identifier, is_complete=False), False))
    if text == NEW_SESSION:
        return Success(Claim(Session(new_identifier)))
    return decode_token(text, keys).map(Claim)


@dataclass(frozen=True, slots=True)
class Serving:
    """Hold one statement on its way: what it needs and what has happened to it."""

    group: str
    kind: Kind
    claim: Claim
    progress: Progress
    max_age_seconds: float | None = None
    asked: Need | None = None


@dataclass(frozen=True, slots=True)
class Served:
    """Hold what goes back with a whole answer: session, and the age of aged reads."""

    session: Session
    age_seconds: float | None = None


Step = tuple[Serving, Plan]


class Planner:
    """Plan statements against the newest knowledge of each group."""

    def __init__(self, policy: RoutingPolicy, choice: random.Random) -> None:
        """Start with no groups."""
        self._policy = policy
        self._random = choice
        self._groups: dict[str, GroupState] = {}
        self._shares: dict[str, PrimaryShare] = {}

    def group(self, name: str) -> GroupState | None:
        """Return what is known of a group."""
        return self._groups.get(name)

    def configure(self, group: str, databases: Iterable[DatabaseView]) -> None:
        """Adopt a group's databases, and keep what is known of those that stay."""
        old = self._groups.get(group, GroupState(GroupView(group, 0, "", False)))
        known = {one.name: one for one in old.view.databases}
        adopted = tuple(
            replace(known.get(one.name, one), availability_zone=one.availability_zone)
            for one in databases
        )
        view = replace(old.view, databases=adopted)
        self._groups[group] = replace(old, view=view)
        burst = self._policy.primary_read_burst
        self._shares.setdefault(group, PrimaryShare(burst))

    def forget(self, group: str) -> None:
        """Drop a group that is no longer configured."""
        self._groups.pop(group, None)
        self._shares.pop(group, None)

    def note_term(
        self,
        group: str,
        term: int,
        primary: str,
        is_open: bool,
        has_lapsed: bool = False,
    ) -> None:
        """Adopt a group's term; `is_open` demands evidence in force now."""
        state = self._groups[group].with_term(term, primary, is_open, has_lapsed)
        self._groups[group] = state

    def note_status(
        self, group: str, status: EndpointStatus, asked_at: float, now: float
    ) -> None:
        """Learn from a database's status."""
        self._groups[group] = self._groups[group].with_status(status, asked_at, now)

    def note_pair(self, group: str, pair: Pair) -> None:
        """Learn from a peer's dated position."""
        self._groups[group] = self._groups[group].with_pair(pair)

    def note_reachable(self, group: str, database: str, is_reachable: bool) -> None:
        """Learn whether a database can be reached."""
        state = self._groups[group].with_reachable(database, is_reachable)
        self._groups[group] = state

    def note_draining(self, group: str, names: Collection[str]) -> None:
        """Learn which of a group's databases are leaving."""
        self._groups[group] = self._groups[group].with_draining(names)

    def begin(
        self,
        group: str,
        kind: Kind,
        claim: Claim,
        now: float,
        deadline: float,
        max_age_seconds: float | None = None,
    ) -> Step:
        """Return the first plan of a statement; transactions begin as writes do."""
        progress = Progress(now, deadline)
        serving = Serving(group, kind, claim, progress, max_age_seconds)
        return serving, self.resume(serving, now)

    def resume(self, serving: Serving, now: float) -> Plan:
        """Return the plan from what is known now, after a wait or a retry's delay."""
        state = self._groups.get(serving.group)
        if state is None:
            return Refuse(Refusal(f"no group {serving.group}"))
        view = state.view
        mark = self._mark(serving)
        if serving.kind.is_write:
            known = mark or Mark()
            return plan_write(view, known, serving.progress, now, self._policy)
        if loss := find_loss(view, mark or Mark()):
            return loss
        need = _need(serving, mark, state, now, self._policy)
        if need is None:
            return _ask(view, serving.progress, now, self._policy)
        if serving.kind is Kind.AGED_READ and not view.is_open:
            view = _without_primary(view)
        return plan_read(
            view,
            need,
            serving.progress,
            now,
            self._policy,
            self._shares[serving.group].used(self._policy),
            self._random,
        )

    def position_known(
        self, serving: Serving, status: EndpointStatus, asked_at: float, now: float
    ) -> Step:
        """Return the plan after the primary was asked for its position.

        Its answer counts only while its term is in force: a replaced primary knows
        nothing of the writes that others acknowledged since. The question must have
        been sent after the statement began. While evidence has lapsed, the caller of
        this method must have proved the term otherwise.
        """
        self.note_status(serving.group, status, asked_at, now)
        state = self._groups[serving.group]
        is_later = asked_at >= serving.progress.started_at
        if is_later and state.is_named_primary(status):
            serving = replace(serving, asked=Need(status.last, asked_at))
        elif is_later and state.view.takes_writes:
            # It is not the primary that the term names: asking again is no use.
            progress = serving.progress.without(status.database)
            serving = replace(serving, progress=progress)
        return serving, self.resume(serving, now)

    def behind(
        self, serving: Serving, database: str, needed: Position, now: float
    ) -> Step:
        """Return the plan after a database lacked the needed position."""
        state = self._groups[serving.group]
        self._groups[serving.group] = state.with_behind(database, needed, now)
        progress = serving.progress.refused_behind(database, now)
        serving = replace(serving, progress=progress)
        return serving, self.resume(serving, now)

    def failed(self, serving: Serving, database: str, now: float) -> Step:
        """Return the plan after a database could not serve this statement at all."""
        serving = replace(serving, progress=serving.progress.without(database))
        return serving, self.resume(serving, now)

    def answered(
        self,
        serving: Serving,
        database: str,
        answer: EndpointAnswer,
        sent_at: float,
        now: float,
        term: int = 0,
    ) -> Served | Unconfirmed | Step:
        """Return what the caller gets, or what to do with an answer of no use.

        A write sent in `term` is acknowledged only while that term is in force, or
        lapsed and proved by the caller of this method. An aged read whose answer is
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
        share = self._shares[serving.group].after_read(by_primary, self._policy)
        self._shares[serving.group] = share
        session = session.after_read(serving.group, answer.position)
        if serving.kind is not Kind.AGED_READ:
            return Served(session)
        age = state.timeline.age_bound(answer.position, now)
        if age is None or age > (serving.max_age_seconds or 0.0):
            progress = serving.progress.refused_behind(database, now)
            serving = replace(serving, progress=progress)
            return serving, self.resume(serving, now)
        return Served(session, age)

    def _mark(self, serving: Serving) -> Mark | None:
        """Return the session's mark, or None where earlier writes may be hidden."""
        mark = serving.claim.session.mark(serving.group)
        if mark is None or not serving.claim.is_known:
            return None
        return mark


def _need(
    serving: Serving,
    mark: Mark | None,
    state: GroupState,
    now: float,
    policy: RoutingPolicy,
) -> Need | None:
    """Return what a read must see, or None when the primary must be asked first."""
    needed = mark.needed if mark else ORIGIN
    is_undecided = standing(state.view, needed) is Standing.UNDECIDED
    if is_undecided and state.view.is_open:
        return None
    reached_at = state.timeline.reached_at(needed, serving.progress.started_at)
    if serving.kind is Kind.AGED_READ:
        return _aged_need(serving, Need(needed, reached_at), state, now, policy)
    if mark is not None:
        return Need(needed, reached_at)
    asked = serving.asked
    if asked and standing(state.view, asked.at_least) is Standing.LOST:
        return None
    return asked


def _aged_need(
    serving: Serving, own: Need, state: GroupState, now: float, policy: RoutingPolicy
) -> Need | None:
    """Return the position that proves the stated age, or a later one of the session.

    A replica that lags less than the stated age has it already, and one that lags more
    never will in time: a long wait is of no use.
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
    """Return the view for aged reads without evidence for the term.

    The primary may have been replaced by one that lacks its entries of this term and
    brings back others, dropped before. A replica that has such entries proves that
    none was: any two of the group's three databases include it or the primary.
    """
    replicas = (one for one in view.databases if one.name != view.primary)
    return replace(view, databases=tuple(replicas))


def _ask(
    view: GroupView, progress: Progress, now: float, policy: RoutingPolicy
) -> Plan:
    """Ask the primary in force, or wait until there is one."""
    if view.takes_writes and view.primary not in progress.failed:
        return AskPrimaryPosition(view.name, view.primary, view.term)
    until = min(progress.deadline, progress.started_at + policy.term_wait_seconds)
    # A primary that failed while its term is in force leaves only a later term.
    term = view.term + 1 if view.is_open else view.term
    if now < until:
        return WaitForTerm(view.name, term, until - now)
    return Refuse(Refusal(f"group {view.name} has no primary in force"))
