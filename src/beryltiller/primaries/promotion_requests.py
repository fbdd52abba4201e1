"""Requests that each step of a promotion sends and repeats."""

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
    """Yield the current step's requests that are due to be sent or repeated."""
    claimed_row = promotion.claimed_row
    is_due = now >= promotion.retry_at
    match promotion.step:
        case Step.CLAIM if is_due:
            yield CommitRow(claimed_row)
        case Step.FENCE if promotion.target:
            yield from _switchover_requests(promotion, now) if is_due else ()
        case Step.FENCE:
            yield from _fence_requests(promotion, now)
        case Step.OPEN if is_due:
            yield Open(claimed_row.group, promotion.chosen, claimed_row.term)
            if now > promotion.step_entered_at:
                yield ProbeStatus(claimed_row.group, promotion.chosen, now)
        case Step.RECORD if is_due:
            opened = replace(
                claimed_row,
                state=TermState.OPEN,
                primary=promotion.chosen,
            )
            yield CommitRow(opened)


def _fence_requests(promotion: Promotion, now: float) -> Iterator[Action]:
    claimed_row = promotion.claimed_row
    for name in promotion.group.names:
        if name in promotion.fenced:
            continue
        if name != promotion.former_primary and not promotion.is_wait_over(now):
            continue
        if name not in promotion.fence_requested_at or now >= promotion.retry_at:
            yield Fence(claimed_row.group, name, claimed_row.term)


def _switchover_requests(promotion: Promotion, now: float) -> Iterator[Action]:
    claimed_row = promotion.claimed_row
    target = promotion.target
    if promotion.former_primary not in promotion.fenced:
        yield Fence(claimed_row.group, promotion.former_primary, claimed_row.term)
    elif promotion.is_caught_up:
        yield Fence(claimed_row.group, target, claimed_row.term)
    else:
        yield Follow(
            claimed_row.group, target, claimed_row.term, promotion.former_primary
        )
        yield ProbeStatus(claimed_row.group, target, now)


def follow_requests(promotion: Promotion) -> Iterator[Action]:
    """Yield the requests that make the other databases follow the new primary."""
    claimed_row = promotion.claimed_row
    for name in promotion.group.names:
        if name != claimed_row.primary:
            yield Follow(claimed_row.group, name, claimed_row.term, claimed_row.primary)
