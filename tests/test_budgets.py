"""Tests of the retry budget and the backoff."""

import doctest
import random
import unittest

from beryltiller.core import budgets
from beryltiller.core.budgets import (
    BackoffPolicy,
    BudgetPolicy,
    RetryBudget,
    backoff_seconds,
    is_repeatable,
)
from beryltiller.core.outcome import Outcome


class RetryBudgetTest(unittest.TestCase):
    """Retries are limited to a fraction of the successes."""

    def test_pool_without_successes_has_only_the_initial_tokens(self) -> None:
        budget = RetryBudget(BudgetPolicy(max_tokens=10.0))
        self.assertEqual(sum(budget.take() for _ in range(1000)), 10)

    def test_retries_are_limited_to_the_deposits_of_successes(self) -> None:
        budget = RetryBudget(BudgetPolicy(deposit=0.1, max_tokens=5.0))
        for _ in range(20):
            budget.take()
        taken = 0
        for _ in range(1000):
            budget.record_success()
            taken += budget.take()
        self.assertEqual(taken, 100)

    def test_saved_tokens_are_capped(self) -> None:
        budget = RetryBudget(BudgetPolicy(max_tokens=5.0))
        for _ in range(1000):
            budget.record_success()
        self.assertEqual(sum(budget.take() for _ in range(100)), 5)


class RepeatTest(unittest.TestCase):
    """Only work that did not run or is idempotent is repeated, after growing delays."""

    def test_repeatable_outcomes(self) -> None:
        cases = (
            (Outcome.NOT_RUN, False, True),
            (Outcome.NOT_RUN, True, True),
            (Outcome.UNKNOWN, False, False),
            (Outcome.UNKNOWN, True, True),
            (Outcome.DONE, True, False),
        )
        for outcome, is_idempotent, allowed in cases:
            with self.subTest(outcome=outcome, is_idempotent=is_idempotent):
                self.assertEqual(is_repeatable(outcome, is_idempotent), allowed)

    def test_backoff_grows_to_its_maximum_with_jitter(self) -> None:
        policy = BackoffPolicy(first_seconds=0.1, max_seconds=1.0)
        for attempt, step in ((0, 0.1), (1, 0.1), (3, 0.4), (9, 1.0), (5000, 1.0)):
            rng = random.Random(attempt)
            delays = [backoff_seconds(policy, attempt, rng) for _ in range(200)]
            with self.subTest(attempt=attempt):
                self.assertTrue(step / 2 <= min(delays) < 0.6 * step)
                self.assertTrue(0.9 * step < max(delays) <= step)

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(budgets).failed, 0)
