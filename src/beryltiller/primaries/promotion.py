"""Promotion of a database to primary, step by step.

    claim    compare-and-set the row from term T to T+1, pending
    fence    make at least two of the three databases refuse terms below T+1
    open     make the fenced database with the most advanced log primary of T+1
    record   compare-and-set the row to T+1, open

Only the process that claimed a term acts in it, and it never opens more than one
database. A process that takes over from a dead promoter claims the following term.
Any request may be lost or repeated, or its answer may be lost, so each request is
sent again until its effect has been observed.

Between claim and open the promoter waits until all evidence of older terms has
lapsed. The wait is skipped if the former primary is among the fenced databases,
because the chosen log then contains every write that the former primary has answered.
The other databases are fenced only after the wait, so that a primary that is alive
but unreachable for the promoter can still replicate the writes that proxies
acknowledge.

A switchover names the new primary. That database follows the fenced former primary
until it has its complete log, and is then opened without the wait. No acknowledged
write is lost.
"""

from dataclasses import replace
from math import inf

from beryltiller.core.ports import EndpointStatus, Role
from beryltiller.primaries.evidence import LOG_QUORUM
from beryltiller.primaries.promotion_requests import due_requests, follow_requests
from beryltiller.primaries.promotion_state import Promotion, PromotionSettings, Step
from beryltiller.primaries.term_actions import Action, Fence
from beryltiller.primaries.term_events import DatabaseGroup
from beryltiller.primaries.term_rows import TermRow, TermState

FIRST_TERM = 1


Decision = tuple[Promotion, tuple[Action, ...]]


def claim(
    group: DatabaseGroup,
    row: TermRow | None,
    promoter: str,
    now: float,
    settings: PromotionSettings,
    target: str = "",
    pending_since: float | None = None,
) -> Decision:
    """Start a promotion that claims the term after that of `row`, the last row read.

    `pending_since` is the time when this process first read `row`, used if the row is
    pending. All evidence of the last open term was read before the row became pending,
    so the wait counts from that time. A group without a row has no older term to wait
    for.
    """
    claimed_row = TermRow(
        group=group.name,
        term=row.term + 1 if row else FIRST_TERM,
        state=TermState.PENDING,
        primary=row.primary if row else "",
        promoter=promoter,
        version=row.version if row else 0,
    )
    wait_until = inf if row else -inf
    if row and not row.is_open and pending_since is not None:
        wait_until = pending_since + settings.lease.wait_seconds
    promotion = Promotion(
        group=group,
        claimed_row=claimed_row,
        settings=settings,
        started_at=now,
        former_primary=row.primary if row and row.is_open else "",
        target=target,
        step_entered_at=now,
        wait_until=wait_until,
    )
    return proceed(promotion, now)


def observe_row(promotion: Promotion, row: TermRow, now: float) -> Decision:
    """Advance the promotion by the store's row, from whichever request it came."""
    claimed_row = promotion.claimed_row
    if row.version <= claimed_row.version:
        return promotion, ()
    is_own = (row.term, row.promoter) == (claimed_row.term, claimed_row.promoter)
    if is_own and promotion.step is Step.CLAIM and not row.is_open:
        wait_seconds = promotion.settings.lease.wait_seconds
        confirmed = replace(
            promotion,
            claimed_row=row,
            wait_until=min(promotion.wait_until, now + wait_seconds),
        )
        return proceed(_enter_step(confirmed, Step.FENCE, now), now)
    if is_own and promotion.step is Step.RECORD and row.is_open:
        done = _enter_step(replace(promotion, claimed_row=row), Step.DONE, now)
        return done, tuple(follow_requests(done))
    return _enter_step(promotion, Step.ABANDONED, now), ()


def observe_status(
    promotion: Promotion, status: EndpointStatus, now: float
) -> Decision:
    """Advance the promotion by a database's status, from whichever request it came."""
    if promotion.step is Step.CLAIM or promotion.has_ended:
        return promotion, ()
    if status.term > promotion.claimed_row.term:
        return _enter_step(promotion, Step.ABANDONED, now), ()
    if status.term < promotion.claimed_row.term:
        return promotion, ()
    if status.role is Role.FENCED:
        fenced = {**promotion.fenced, status.database: status}
        promotion = _retry_at_once_on_progress(
            promotion, replace(promotion, fenced=fenced)
        )
    if status.database == promotion.target and _is_caught_up(promotion, status):
        promotion = _retry_at_once_on_progress(
            promotion, replace(promotion, is_caught_up=True)
        )
    is_opened = status.role is Role.PRIMARY and status.database == promotion.chosen
    if is_opened and promotion.step is Step.OPEN:
        promotion = _enter_step(promotion, Step.RECORD, now)
    return proceed(promotion, now)


def abandon(promotion: Promotion, now: float) -> Decision:
    """End the promotion without a new primary.

    Used when a database has accepted a higher term, or when the former primary is no
    longer suspected before the claim was confirmed.
    """
    return _enter_step(promotion, Step.ABANDONED, now), ()


def proceed(promotion: Promotion, now: float) -> Decision:
    """Take the steps that are due, and send or repeat the requests that are due."""
    promotion = _apply_timeouts(promotion, now)
    if promotion.step is Step.FENCE:
        choice = _choose_database(promotion, now)
        if choice:
            promotion = _enter_step(replace(promotion, chosen=choice), Step.OPEN, now)
    actions = tuple(due_requests(promotion, now))
    fence_requested_at = dict(promotion.fence_requested_at)
    for action in actions:
        if isinstance(action, Fence):
            fence_requested_at.setdefault(action.database, now)
    if now >= promotion.retry_at:
        promotion = replace(promotion, retry_at=now + _retry_seconds(promotion))
    return replace(promotion, fence_requested_at=fence_requested_at), actions


def _retry_at_once_on_progress(before: Promotion, after: Promotion) -> Promotion:
    """Return `after`, with the next request due now if a switchover advanced.

    No write is acknowledged during a switchover, so its next request does not wait for
    the next retry.
    """
    has_moved = (
        before.fenced.keys() != after.fenced.keys()
        or before.is_caught_up != after.is_caught_up
    )
    return replace(after, retry_at=-inf) if after.target and has_moved else after


def _enter_step(promotion: Promotion, step: Step, now: float) -> Promotion:
    return replace(promotion, step=step, step_entered_at=now, retry_at=-inf)


def _retry_seconds(promotion: Promotion) -> float:
    if promotion.step in (Step.CLAIM, Step.RECORD):
        return promotion.settings.store_retry_seconds
    return promotion.settings.retry_seconds


def _apply_timeouts(promotion: Promotion, now: float) -> Promotion:
    settings = promotion.settings
    spent_seconds = now - promotion.step_entered_at
    match promotion.step:
        case Step.CLAIM if spent_seconds >= settings.claim_timeout_seconds:
            return _enter_step(promotion, Step.ABANDONED, now)
        case Step.OPEN if spent_seconds >= settings.open_timeout_seconds:
            return _enter_step(promotion, Step.ABANDONED, now)
        case Step.FENCE if spent_seconds >= settings.catch_up_timeout_seconds:
            return replace(promotion, target="")
    return promotion


def _choose_database(promotion: Promotion, now: float) -> str:
    """Return the database to open, or an empty string while it is undecided."""
    fenced = promotion.fenced
    if promotion.target:
        needed = {promotion.former_primary, promotion.target}
        is_ready = promotion.is_caught_up and needed <= fenced.keys()
        return promotion.target if is_ready else ""
    if not promotion.is_wait_over(now) or len(fenced) < LOG_QUORUM:
        return ""
    grace_seconds = promotion.settings.fence_grace_seconds
    missing = (name for name in promotion.group.names if name not in fenced)
    if any(
        now < promotion.fence_requested_at.get(name, now) + grace_seconds
        for name in missing
    ):
        return ""
    return max(
        fenced, key=lambda name: (fenced[name].last, name != promotion.former_primary)
    )


def _is_caught_up(promotion: Promotion, status: EndpointStatus) -> bool:
    former_status = promotion.fenced.get(promotion.former_primary)
    if former_status is None:
        return False
    return status.history.contains(former_status.last, status.last.index)
