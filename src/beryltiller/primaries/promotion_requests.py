"""Requests of a promotion: what each step sends, and sends again."""

from collections.abc import Iterator
from dataclasses import replace

from beryltiller.primaries.promotion_state import Promotion, Step
from beryltiller.primaries.term_actions import (
    Action,
    CommitRow,
    Fence,
    Follow,
    Open,
    ProbeStatus,
)
from beryltiller.primaries.term_rows import TermState


def due_requests(promotion: Promotion, now: float) -> Iterator[Action]:
    """Yield the step's requests that are due, for the first time or again."""
    claimed = promotion.claimed
    is_due = now >= promotion.retry_at
    match promotion.step:
        case Step.CLAIM if is_due:
            yield CommitRow(claimed)
        case Step.FENCE if promotion.target:
            yield from _switchover_requests(promotion, now) if is_due else ()
        case Step.FENCE:
            yield from _fences(promotion, now)
        case Step.OPEN if is_due:
            yield Open(claimed.group, promotion.chosen, claimed.term)
            if now > promotion.step_since:
                yield ProbeStatus(claimed.group, promotion.chosen, now)
        case Step.RECORD if is_due:
            opened = replace(
                claimed,
                state=TermState.OPEN,
                primary=promotion.chosen,
            )
            yield CommitRow(opened)


def _fences(promotion: Promotion, now: float) -> Iterator[Action]:
    claimed = promotion.claimed
    for name in promotion.group.names:
        if name in promotion.fenced:
            continue
        if name != promotion.former and not promotion.is_wait_over(now):
            continue
        if name not in promotion.asked or now >= promotion.retry_at:
            yield Fence(claimed.group, name, claimed.term)


def _switchover_requests(promotion: Promotion, now: float) -> Iterator[Action]:
    claimed = promotion.claimed
    target = promotion.target
    if promotion.former not in promotion.fenced:
        yield Fence(claimed.group, promotion.former, claimed.term)
    elif promotion.is_caught_up:
        yield Fence(claimed.group, target, claimed.term)
    else:
        yield Follow(claimed.group, target, claimed.term, promotion.former)
        yield ProbeStatus(claimed.group, target, now)


def follow_requests(promotion: Promotion) -> Iterator[Action]:
    """Yield what makes the other databases follow the new primary."""
    claimed = promotion.claimed
    for name in promotion.group.names:
        if name != claimed.primary:
            yield Follow(claimed.group, name, claimed.term, claimed.primary)
