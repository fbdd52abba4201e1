"""Decide after each attempt at a statement: try again, or give which outcome.

Work that is unsafe to repeat carries a key that the database claims in the write's
own log entry. A log never holds a key twice, since its primary looks the key up in
the very log that it appends to. So the proxy may ask again with the same key, as
may the caller through another proxy: when the first run survives, the repeat
returns its answer; when a failover dropped it, the repeat is the only run.
"""

import random
from dataclasses import dataclass, replace
from enum import Enum, auto, unique

from beryltiller.core.outcome import Kind, Outcome, Refusal
from beryltiller.core.ports import EndpointAnswer


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Hold the number of attempts, and the delays between them, which double.

    A write that its primary refuses looks for a later term after `term_step_seconds`.
    """

    max_attempts: int = 8
    first_delay_seconds: float = 0.01
    max_delay_seconds: float = 0.5
    term_step_seconds: float = 0.25


@unique
class Step(Enum):
    """Tell whether a statement stands alone or belongs to a transaction."""

    ALONE = auto()
    IN_TRANSACTION = auto()
    COMMIT = auto()


@dataclass(frozen=True, slots=True)
class Work:
    """Hold what decides whether a statement may be repeated.

    `key` is the one that the database claims. A transaction lives on one connection
    and the proxy cannot repeat it; the caller can, whole, with the commit's key.
    """

    kind: Kind
    deadline: float
    key: str = ""
    is_idempotent: bool = False
    step: Step = Step.ALONE

    @property
    def may_repeat(self) -> bool:
        """Tell whether a second run after an unknown outcome does no harm."""
        if self.step is not Step.ALONE:
            return False
        if self.key:
            return True
        return self.is_idempotent and self.kind is not Kind.UNSAFE_WRITE


@dataclass(frozen=True, slots=True)
class Attempts:
    """Count the attempts that failed, and remember whether one may have run."""

    count: int = 0
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """Report a whole answer that may be acknowledged."""

    answer: EndpointAnswer


@dataclass(frozen=True, slots=True)
class Refused:
    """Report an attempt that is proved not to have run, by the refusal's code."""

    code: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Lost:
    """Report an attempt that was sent and has no whole answer."""

    reason: str = "no whole answer"


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """Report a write that was answered after the evidence for its term lapsed."""


Result = Answered | Refused | Lost | Unconfirmed


@unique
class Where(Enum):
    """Tell where the next attempt belongs."""

    SAME = auto()
    ELSEWHERE = auto()
    PRIMARY_IN_FORCE = auto()
    NEXT_TERM = auto()


@dataclass(frozen=True, slots=True)
class Retry:
    """Try again after a delay, with the same key."""

    where: Where
    delay_seconds: float


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller this outcome, with the reason unless it is done."""

    outcome: Outcome
    refusal: Refusal | None = None


_FINAL_CODES = frozenset({"statement"})
_REFUSED_BY_TERM = frozenset({"term", "fenced"})
_AWAITS_TERM = _REFUSED_BY_TERM | {"unreachable", "no-connection"}
PACED_CODES = _AWAITS_TERM | {"behind"}


def decide(
    work: Work,
    attempts: Attempts,
    result: Result,
    now: float,
    has_budget: bool,
    policy: RetryPolicy,
    choice: random.Random,
) -> tuple[Attempts, Retry | Finish]:
    """Return the attempts so far and what follows the last one's result.

    `has_budget` is the retry budget's verdict. A replica that is behind costs
    nothing of it: routing paces those reads by its own estimate of the lag. Neither
    does a write that waits for a primary.
    """
    match result:
        case Answered():
            return attempts, Finish(Outcome.DONE)
        case Refused("behind") if _is_paced_by_routing(work, now):
            return attempts, Retry(Where.ELSEWHERE, 0.0)
        case Refused(code) if _awaits_term(code, work, now, policy):
            return attempts, Retry(Where.NEXT_TERM, policy.term_step_seconds)
        case Refused(code, reason):
            after = replace(attempts, count=attempts.count + 1)
            refusal = Refusal(f"{code}: {reason}" if reason else code)
            may_help = code not in _FINAL_CODES
            is_allowed = has_budget and may_help and work.step is Step.ALONE
            where = _where_after(code, work)
        case Lost(reason):
            # Without its commit a transaction ends with its connection.
            may_have_run = work.step is not Step.IN_TRANSACTION
            after = Attempts(attempts.count + 1, may_have_run)
            refusal = Refusal(reason)
            is_allowed = has_budget and work.may_repeat
            where = Where.PRIMARY_IN_FORCE if work.kind.is_write else Where.ELSEWHERE
        case Unconfirmed():
            after = Attempts(attempts.count + 1, may_have_run=True)
            refusal = Refusal("the primary may have been replaced before it answered")
            is_allowed = has_budget and work.may_repeat
            where = Where.PRIMARY_IN_FORCE
    delay = _delay(after, policy, choice)
    has_time = now + delay < work.deadline and after.count < policy.max_attempts
    if is_allowed and has_time:
        return after, Retry(where, delay)
    return after, _finish(after, refusal)


def _finish(attempts: Attempts, refusal: Refusal) -> Finish:
    """Return the last outcome: a refusal proves nothing about earlier attempts."""
    if attempts.may_have_run:
        return Finish(Outcome.UNKNOWN, refusal)
    return Finish(Outcome.NOT_RUN, refusal)


def _is_paced_by_routing(work: Work, now: float) -> bool:
    """Tell whether a refusal as too far behind only sends a read elsewhere."""
    if work.kind.is_write or work.step is not Step.ALONE:
        return False
    return now < work.deadline


def _awaits_term(code: str, work: Work, now: float, policy: RetryPolicy) -> bool:
    """Tell whether a refused write waits for a primary instead of being repeated."""
    if not work.kind.is_write or work.step is not Step.ALONE:
        return False
    return code in _AWAITS_TERM and now + policy.term_step_seconds < work.deadline


def _where_after(code: str, work: Work) -> Where:
    """Return where to go after a refusal with this code."""
    if code == "unknown-connection":
        return Where.SAME
    if work.kind.is_write or code in _REFUSED_BY_TERM:
        return Where.PRIMARY_IN_FORCE
    return Where.ELSEWHERE


def _delay(attempts: Attempts, policy: RetryPolicy, choice: random.Random) -> float:
    """Return a delay that doubles with each attempt, spread by up to a half."""
    delay = policy.first_delay_seconds * 2.0 ** (attempts.count - 1)
    return min(delay, policy.max_delay_seconds) * choice.uniform(0.5, 1.0)
