"""Retry budget, backoff with jitter, and the rule for what may be retried."""

import random
from dataclasses import dataclass

from beryltiller.core.outcome import Outcome


@dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Settings of delays between attempts.

    They grow by `factor` with each attempt, from `first_seconds` to `max_seconds`.
    """

    first_seconds: float = 0.05
    max_seconds: float = 2.0
    factor: float = 2.0


def backoff_seconds(policy: BackoffPolicy, attempt: int, rng: random.Random) -> float:
    """Return the delay after the failure of attempt number `attempt`, counted from 1.

    The delay is uniformly random between half the current step and the full step, so
    that callers who failed at the same time do not retry at the same time.
    """
    # The exponent is limited, since 2.0 ** 1024 overflows a float.
    growth = policy.factor ** min(max(attempt - 1, 0), 64)
    step = min(policy.max_seconds, policy.first_seconds * growth)
    return step * rng.uniform(0.5, 1.0)


def is_repeatable(outcome: Outcome, is_idempotent: bool) -> bool:
    """Return True if work that ended with `outcome` may be run again.

    >>> is_repeatable(Outcome.NOT_RUN, is_idempotent=False)
    True
    >>> is_repeatable(Outcome.UNKNOWN, is_idempotent=False)
    False
    """
    match outcome:
        case Outcome.NOT_RUN:
            return True
        case Outcome.UNKNOWN:
            return is_idempotent
        case Outcome.DONE:
            return False


@dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """Settings of a retry budget.

    Each success adds `deposit` tokens, up to `max_tokens`; each retry takes one token.
    Retries are thus at most `deposit` times the successes, plus `max_tokens`.
    """

    deposit: float = 0.1
    max_tokens: float = 10.0


class RetryBudget:
    """A token budget that limits retries in proportion to successes.

    Without it, the retries of an overloaded pool would keep it overloaded. Use one
    budget per pool of databases.

    >>> budget = RetryBudget(BudgetPolicy(max_tokens=1.0))
    >>> budget.take(), budget.take()
    (True, False)
    """

    def __init__(self, policy: BudgetPolicy | None = None) -> None:
        """Start with a full budget."""
        self._policy = policy or BudgetPolicy()
        self._tokens = self._policy.max_tokens

    @property
    def tokens(self) -> float:
        """Return the tokens left; a retry needs one."""
        return self._tokens

    def record_success(self) -> None:
        """Record a success, which adds `deposit` tokens."""
        tokens = self._tokens + self._policy.deposit
        self._tokens = min(self._policy.max_tokens, tokens)

    def take(self) -> bool:
        """Take a token for a retry; return False if there is none."""
        # In floating point, ten deposits of 0.1 sum to slightly less than 1.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
