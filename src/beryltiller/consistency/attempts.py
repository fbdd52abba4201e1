"""Decide after each attempt at a statement whether to retry or return an outcome.

A write that is unsafe to repeat carries a key that the database claims in the write's
own log entry. A log never holds a key twice, because its primary looks the key up in
the log that it appends to. The proxy may therefore send the write again with the same
key, and the caller may do so through another proxy. If the first run survived, the
repeat returns its answer; if a failover dropped it, the repeat is the only run.
"""

import random
from dataclasses import dataclass, replace
from enum import Enum, auto, unique

from beryltiller.core.outcome import Kind, Outcome, Refusal
from beryltiller.core.ports import EndpointAnswer


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The maximum number of attempts, and the delays between them, which double.

    A write that waits for a primary checks for a later term after each
    `term_step_seconds`. A write whose attempts were all refused is not sent again
    with less than `min_attempt_seconds` left: an attempt that the deadline ends may
    have run, so that the outcome would no longer be known.
    """

    max_attempts: int = 8
    first_delay_seconds: float = 0.01
    max_delay_seconds: float = 0.5
    term_step_seconds: float = 0.25
    min_attempt_seconds: float = 0.1


@unique
class TransactionRole(Enum):
    """The place of a statement in a transaction, or `ALONE` outside of any."""

    ALONE = auto()
    IN_TRANSACTION = auto()
    COMMIT = auto()


@dataclass(frozen=True, slots=True)
class Work:
    """The properties of a statement that decide whether it may be repeated.

    `deadline` is in monotonic seconds. `key` is the key that the database claims. A
    transaction is bound to one connection, so the proxy cannot repeat it. The caller
    can repeat the complete transaction with the commit's key.
    """

    kind: Kind
    deadline: float
    key: str = ""
    is_idempotent: bool = False
    transaction_role: TransactionRole = TransactionRole.ALONE

    @property
    def may_repeat(self) -> bool:
        """Return True if a second run after an unknown outcome is harmless."""
        if self.transaction_role is not TransactionRole.ALONE:
            return False
        if self.key:
            return True
        return self.is_idempotent and self.kind is not Kind.UNSAFE_WRITE


@dataclass(frozen=True, slots=True)
class Attempts:
    """The number of failed attempts, and whether one of them may have run."""

    count: int = 0
    may_have_run: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """The result of an attempt that got a complete answer.

    `Planner.record_answer` checks whether the answer may be returned to the caller, and
    returns `Unconfirmed` for a write that may not be acknowledged.
    """

    answer: EndpointAnswer


@dataclass(frozen=True, slots=True)
class Refused:
    """The result of an attempt that did not run, which the refusal's code proves."""

    code: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Lost:
    """The result of an attempt that was sent and got no complete answer."""

    reason: str = "no complete answer"


@dataclass(frozen=True, slots=True)
class Unconfirmed:
    """The result of a write whose term was not proved in force when it was answered.

    The write ran, but a failover may have dropped it, so it is not acknowledged.
    """


Result = Answered | Refused | Lost | Unconfirmed


@unique
class RetryTarget(Enum):
    """The database or term to which the next attempt is sent.

    `PRIMARY_IN_FORCE` is the primary that is in force when the retry is planned.
    `NEXT_TERM` waits for a later term during the delay, and is then planned anew.
    """

    SAME_DATABASE = auto()
    OTHER_DATABASE = auto()
    PRIMARY_IN_FORCE = auto()
    NEXT_TERM = auto()


@dataclass(frozen=True, slots=True)
class Retry:
    """The decision to retry after a delay, with the same key."""

    target: RetryTarget
    delay_seconds: float


@dataclass(frozen=True, slots=True)
class Finish:
    """The decision to return an outcome, with a refusal unless the outcome is done."""

    outcome: Outcome
    refusal: Refusal | None = None


# The statement itself is invalid, so every database would refuse it.
_FINAL_REFUSAL_CODES = frozenset({"statement"})
# The database is not, or no longer, the primary of the term that the proxy assumed.
_STALE_TERM_CODES = frozenset({"term", "fenced"})
# A write that is refused with one of these codes waits for a primary.
_AWAIT_TERM_CODES = _STALE_TERM_CODES | {"unreachable", "no-connection"}
# Retries after these codes are exempt from the retry budget.
UNBUDGETED_CODES = _AWAIT_TERM_CODES | {"behind"}


def decide(
    work: Work,
    attempts: Attempts,
    result: Result,
    now: float,
    has_budget: bool,
    policy: RetryPolicy,
    rng: random.Random,
) -> tuple[Attempts, Retry | Finish]:
    """Return the updated attempts and the decision after an attempt's result.

    `has_budget` is True if the retry budget allows a retry. Two kinds of retry neither
    draw on the budget nor count as attempts: a read that a lagging replica refused,
    since routing paces those reads by its own estimate of the lag, and a write that
    waits for a primary. Any other retry after one of `UNBUDGETED_CODES` counts as an
    attempt.
    """
    match result:
        case Answered():
            return attempts, Finish(Outcome.DONE)
        case Refused("behind") if _is_rerouted(work, now):
            return attempts, Retry(RetryTarget.OTHER_DATABASE, 0.0)
        case Refused(code) if _awaits_term(code, work, now, policy):
            return attempts, Retry(RetryTarget.NEXT_TERM, policy.term_step_seconds)
        case Refused(code, reason):
            after = replace(attempts, count=attempts.count + 1)
            refusal = Refusal(f"{code}: {reason}" if reason else code)
            may_help = code not in _FINAL_REFUSAL_CODES
            is_allowed = (
                has_budget
                and may_help
                and work.transaction_role is TransactionRole.ALONE
            )
            target = _target_after(code, work)
        case Lost(reason):
            # A transaction that was not committed ends with its connection.
            may_have_run = work.transaction_role is not TransactionRole.IN_TRANSACTION
            after = Attempts(attempts.count + 1, may_have_run)
            refusal = Refusal(reason)
            is_allowed = has_budget and work.may_repeat
            target = (
                RetryTarget.PRIMARY_IN_FORCE
                if work.kind.is_write
                else RetryTarget.OTHER_DATABASE
            )
        case Unconfirmed():
            after = Attempts(attempts.count + 1, may_have_run=True)
            refusal = Refusal("the primary may have been replaced before it answered")
            is_allowed = has_budget and work.may_repeat
            target = RetryTarget.PRIMARY_IN_FORCE
    delay = _delay(after, policy, rng)
    is_known = work.kind.is_write and not after.may_have_run
    needed = policy.min_attempt_seconds if is_known else 0.0
    has_time = now + delay + needed < work.deadline
    if is_allowed and has_time and after.count < policy.max_attempts:
        return after, Retry(target, delay)
    return after, _finish(after, refusal)


def _finish(attempts: Attempts, refusal: Refusal) -> Finish:
    """Return the final outcome.

    It is unknown if any attempt may have run, since a refusal of the last attempt
    proves nothing about the earlier ones.
    """
    if attempts.may_have_run:
        return Finish(Outcome.UNKNOWN, refusal)
    return Finish(Outcome.NOT_RUN, refusal)


def _is_rerouted(work: Work, now: float) -> bool:
    """Return True if a read that a lagging replica refused is planned again."""
    if work.kind.is_write or work.transaction_role is not TransactionRole.ALONE:
        return False
    return now < work.deadline


def _awaits_term(code: str, work: Work, now: float, policy: RetryPolicy) -> bool:
    """Return True if a refused write waits for a primary instead of being repeated."""
    if not work.kind.is_write or work.transaction_role is not TransactionRole.ALONE:
        return False
    needed = policy.term_step_seconds + policy.min_attempt_seconds
    return code in _AWAIT_TERM_CODES and now + needed < work.deadline


def _target_after(code: str, work: Work) -> RetryTarget:
    """Return the target of the next attempt after a refusal with this code."""
    if code == "unknown-connection":
        return RetryTarget.SAME_DATABASE
    if work.kind.is_write or code in _STALE_TERM_CODES:
        return RetryTarget.PRIMARY_IN_FORCE
    return RetryTarget.OTHER_DATABASE


def _delay(attempts: Attempts, policy: RetryPolicy, rng: random.Random) -> float:
    """Return a delay that doubles with each attempt, less a random part up to half."""
    delay = policy.first_delay_seconds * 2.0 ** (attempts.count - 1)
    return min(delay, policy.max_delay_seconds) * rng.uniform(0.5, 1.0)
