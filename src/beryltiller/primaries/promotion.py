"""Promotion of a primary, step by step.

    claim    compare-and-set the row from term T to T+1, pending
    fence    make at least two of the three databases refuse terms below T+1
    open     make the most advanced of the fenced the primary of T+1
    record   compare-and-set the row to T+1, open

Only the process that claimed a term acts in it, and it never opens more than one
database. Whoever takes over from a promoter that died claims the term after. Every
request may be lost, repeated, or have its answer lost; each is sent again until its
effect has been seen.

Between claim and open the promoter waits until no evidence of an older term can be
left, unless the former primary is among the fenced: then the log chosen holds every
write that the former primary has answered. The other databases are fenced only after
the wait, so that a primary which is alive but out of the promoter's sight goes on
replicating what proxies still acknowledge.

A switchover names the new primary. It follows the fenced former one until it holds
its whole log, and is then opened without the wait. No acknowledged write is lost.
"""

from dataclasses import replace
from math import inf

from beryltiller.core.ports import EndpointStatus, Role
from beryltiller.primaries.evidence import LOGS_NEEDED
from beryltiller.primaries.promotion_requests import due_requests, follow_requests
from beryltiller.primaries.promotion_state import Promotion, PromotionSettings, Step
from beryltiller.primaries.term_actions import Action, Fence
from beryltiller.primaries.term_events import DatabaseGroup
from beryltiller.primaries.term_rows import TermRow, TermState

FIRST_TERM = 1


Result = tuple[Promotion, tuple[Action, ...]]


def claim(
    group: DatabaseGroup,
    row: TermRow | None,
    promoter: str,
    now: float,
    settings: PromotionSettings,
    target: str = "",
    pending_since: float | None = None,
) -> Result:
    """Start a promotion from the row as last read.

    `pending_since` is when this process first saw a pending row of this version;
    evidence of the term before it was read earlier, so the wait counts from then. A
    group without a row has no older term to wait for.
    """
    claimed = TermRow(
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
        claimed=claimed,
        settings=settings,
        started_at=now,
        former=row.primary if row and row.is_open else "",
        target=target,
        step_since=now,
        wait_until=wait_until,
    )
    return proceed(promotion, now)


def observe_row(promotion: Promotion, row: TermRow, now: float) -> Result:
    """Take in the row as the store has it, whichever request showed it."""
    claimed = promotion.claimed
    if row.version <= claimed.version:
        return promotion, ()
    is_own = (row.term, row.promoter) == (claimed.term, claimed.promoter)
    if is_own and promotion.step is Step.CLAIM and not row.is_open:
        wait_seconds = promotion.settings.lease.wait_seconds
        confirmed = replace(
            promotion,
            claimed=row,
            wait_until=min(promotion.wait_until, now + wait_seconds),
        )
        return proceed(_enter(confirmed, Step.FENCE, now), now)
    if is_own and promotion.step is Step.RECORD and row.is_open:
        done = _enter(replace(promotion, claimed=row), Step.DONE, now)
        return done, tuple(follow_requests(done))
    return _enter(promotion, Step.ABANDONED, now), ()


def observe_status(promotion: Promotion, status: EndpointStatus, now: float) -> Result:
    """Take in a database's status, whichever request it answers."""
    if promotion.step is Step.CLAIM or promotion.has_ended:
        return promotion, ()
    if status.term > promotion.claimed.term:
        return _enter(promotion, Step.ABANDONED, now), ()
    if status.term < promotion.claimed.term:
        return promotion, ()
    if status.role is Role.FENCED:
        fenced = {**promotion.fenced, status.database: status}
        promotion = _progress(promotion, replace(promotion, fenced=fenced))
    if status.database == promotion.target and _is_caught_up(promotion, status):
        promotion = _progress(promotion, replace(promotion, is_caught_up=True))
    is_opened = status.role is Role.PRIMARY and status.database == promotion.chosen
    if is_opened and promotion.step is Step.OPEN:
        promotion = _enter(promotion, Step.RECORD, now)
    return proceed(promotion, now)


def abandon(promotion: Promotion, now: float) -> Result:
    """Give up a term that a database has refused for a higher one."""
    return _enter(promotion, Step.ABANDONED, now), ()


def proceed(promotion: Promotion, now: float) -> Result:
    """Take every step that is due and send what is due again."""
    promotion = _give_up(promotion, now)
    if promotion.step is Step.FENCE:
        choice = _choice(promotion, now)
        if choice:
            promotion = _enter(replace(promotion, chosen=choice), Step.OPEN, now)
    actions = tuple(due_requests(promotion, now))
    asked = dict(promotion.asked)
    for action in actions:
        if isinstance(action, Fence):
            asked.setdefault(action.database, now)
    if now >= promotion.retry_at:
        promotion = replace(promotion, retry_at=now + _retry_seconds(promotion))
    return replace(promotion, asked=asked), actions


def _progress(before: Promotion, after: Promotion) -> Promotion:
    """Let a switchover send its next request at once instead of at the next retry."""
    has_moved = (
        before.fenced.keys() != after.fenced.keys()
        or before.is_caught_up != after.is_caught_up
    )
    return replace(after, retry_at=-inf) if after.target and has_moved else after


def _enter(promotion: Promotion, step: Step, now: float) -> Promotion:
    return replace(promotion, step=step, step_since=now, retry_at=-inf)


def _retry_seconds(promotion: Promotion) -> float:
    if promotion.step in (Step.CLAIM, Step.RECORD):
        return promotion.settings.store_retry_seconds
    return promotion.settings.retry_seconds


def _give_up(promotion: Promotion, now: float) -> Promotion:
    settings = promotion.settings
    spent_seconds = now - promotion.step_since
    match promotion.step:
        case Step.CLAIM if spent_seconds >= settings.claim_patience_seconds:
            return _enter(promotion, Step.ABANDONED, now)
        case Step.OPEN if spent_seconds >= settings.open_patience_seconds:
            return _enter(promotion, Step.ABANDONED, now)
        case Step.FENCE if spent_seconds >= settings.catch_up_patience_seconds:
            return replace(promotion, target="")
    return promotion


def _choice(promotion: Promotion, now: float) -> str:
    """Return the database to open, or nothing while that cannot be told."""
    fenced = promotion.fenced
    if promotion.target:
        needed = {promotion.former, promotion.target}
        is_ready = promotion.is_caught_up and needed <= fenced.keys()
        return promotion.target if is_ready else ""
    if not promotion.is_wait_over(now) or len(fenced) < LOGS_NEEDED:
        return ""
    grace_seconds = promotion.settings.fence_grace_seconds
    missing = (name for name in promotion.group.names if name not in fenced)
    if any(now < promotion.asked.get(name, now) + grace_seconds for name in missing):
        return ""
    return max(fenced, key=lambda name: (fenced[name].last, name != promotion.former))


def _is_caught_up(promotion: Promotion, status: EndpointStatus) -> bool:
    former = promotion.fenced.get(promotion.former)
    if former is None:
        return False
    return status.history.contains(former.last, status.last.index)
