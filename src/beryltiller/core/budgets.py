"""Retry budget, backoff with jitter, and what may be retried at all."""

import random
from dataclasses import dataclass

from beryltiller.core.outcome import Outcome


@dataclass(frozen=True, slots=True)
class BackoffPolicy:
    """Configure delays that grow by `factor` from `first_seconds` to a maximum."""

    first_seconds: float = 0.05
    max_seconds: float = 2.0
    factor: float = 2.0


def backoff_seconds(policy: BackoffPolicy, attempt: int, rng: random.Random) -> float:
    """Return the delay before attempt number `attempt`, counted from 1.

    The delay is drawn evenly between half of the present step and the whole, so that
    those who failed together do not return together.
    """
    # The exponent is bounded, since a float overflows after a thousand attempts.
    growth = policy.factor ** min(max(attempt - 1, 0), 64)
    step = min(policy.max_seconds, policy.first_seconds * growth)
    return step * rng.uniform(0.5, 1.0)


def is_repeatable(outcome: Outcome, is_idempotent: bool) -> bool:
    """Tell whether work of this outcome may be run again.

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
    """Configure a retry budget.

    Each success adds `deposit` tokens up to `max_tokens`; a retry takes one. So
    retries stay below `deposit` of the successes, but for `max_tokens` at first.
    """

    deposit: float = 0.1
    max_tokens: float = 10.0


class RetryBudget:
    """Bound retries by the successes of the same pool.

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
        """Return the tokens left."""
        return self._tokens

    def succeeded(self) -> None:
        """Add a success's deposit."""
        tokens = self._tokens + self._policy.deposit
        self._tokens = min(self._policy.max_tokens, tokens)

    def take(self) -> bool:
        """Pay for a retry; return False when the budget does not allow it."""
        # Ten deposits of a tenth sum to a little less than one.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens = max(0.0, self._tokens - 1.0)
        return True
