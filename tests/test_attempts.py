"""Tests of retries and of what a caller is told."""

import random
import unittest

from beryltiller.consistency.attempts import (
    Answered,
    Attempts,
    Finish,
    Lost,
    Refused,
    Result,
    Retry,
    RetryPolicy,
    Step,
    Unconfirmed,
    Where,
    Work,
    decide,
)
from beryltiller.core.outcome import Kind, Outcome
from beryltiller.core.ports import EndpointAnswer
from beryltiller.core.position import Position

NOW = 10.0
DEADLINE = 15.0
READ = Work(Kind.READ, DEADLINE, is_idempotent=True)
PLAIN = Work(Kind.WRITE, DEADLINE)
IDEMPOTENT = Work(Kind.WRITE, DEADLINE, is_idempotent=True)
KEYED = Work(Kind.UNSAFE_WRITE, DEADLINE, key="c k")
COMMIT = Work(Kind.UNSAFE_WRITE, DEADLINE, key="c k", step=Step.COMMIT)
PART = Work(Kind.UNSAFE_WRITE, DEADLINE, step=Step.IN_TRANSACTION)
FIRST = Attempts()
DONE = Answered(EndpointAnswer(b"ok", Position(1, 1)))


def verdict(
    work: Work,
    result: Result,
    attempts: Attempts = FIRST,
    now: float = NOW,
    has_budget: bool = True,
) -> Outcome | Where:
    """Return the outcome given, or where the next attempt goes."""
    _, decision = decide(
        work, attempts, result, now, has_budget, RetryPolicy(), random.Random(1)
    )
    match decision:
        case Retry(where, delay):
            assert 0 <= delay <= RetryPolicy().max_delay_seconds
            return where
        case Finish(outcome, refusal):
            assert (refusal is None) == (outcome is Outcome.DONE)
            return outcome


class DecideTest(unittest.TestCase):
    """Only work that can stand it is repeated, and no outcome claims too much."""

    def test_results(self) -> None:
        primary, other = Where.PRIMARY_IN_FORCE, Where.ELSEWHERE
        unknown, not_run = Outcome.UNKNOWN, Outcome.NOT_RUN
        later = Where.NEXT_TERM
        everyone = (READ, PLAIN, IDEMPOTENT, KEYED, COMMIT, PART)
        cases: tuple[tuple[Result, tuple[Outcome | Where, ...]], ...] = (
            (DONE, (Outcome.DONE,) * 6),
            (Lost(), (other, unknown, primary, primary, unknown, not_run)),
            (Unconfirmed(), (primary, unknown, primary, primary, unknown, unknown)),
            (Refused("term"), (primary, later, later, later, not_run, not_run)),
            (Refused("fenced"), (primary, later, later, later, not_run, not_run)),
            (Refused("behind"), (other, primary, primary, primary, not_run, not_run)),
            (Refused("full"), (other, primary, primary, primary, not_run, not_run)),
            (Refused("unreachable"), (other, later, later, later, not_run, not_run)),
            (Refused("statement"), (not_run,) * 6),
            (Refused("unknown-connection"), (Where.SAME,) * 4 + (not_run,) * 2),
        )
        for result, wanted in cases:
            for work, one in zip(everyone, wanted, strict=True):
                with self.subTest(result=result, work=work):
                    self.assertEqual(verdict(work, result), one)

    def test_a_refusal_proves_nothing_of_earlier_attempts(self) -> None:
        lost = Attempts(1, may_have_run=True)
        for work in (READ, IDEMPOTENT, KEYED):
            with self.subTest(work=work):
                got = verdict(work, Refused("full"), lost, now=DEADLINE)
                self.assertEqual(got, Outcome.UNKNOWN)
                got = verdict(work, Refused("full"), lost, has_budget=False)
                self.assertEqual(got, Outcome.UNKNOWN)

    def test_limits_end_retries(self) -> None:
        many = Attempts(RetryPolicy().max_attempts)
        cases = (
            ("deadline", verdict(KEYED, Lost(), now=DEADLINE), Outcome.UNKNOWN),
            ("budget", verdict(KEYED, Lost(), has_budget=False), Outcome.UNKNOWN),
            ("count", verdict(KEYED, Lost(), many), Outcome.UNKNOWN),
            ("refused", verdict(KEYED, Refused("full"), many), Outcome.NOT_RUN),
            (
                "free",
                verdict(READ, Refused("behind"), has_budget=False),
                Where.ELSEWHERE,
            ),
        )
        for name, got, wanted in cases:
            with self.subTest(name):
                self.assertEqual(got, wanted)

    def test_a_write_without_a_primary_waits_until_its_deadline(self) -> None:
        many = Attempts(RetryPolicy().max_attempts)
        cases = (
            (verdict(PLAIN, Refused("no-connection"), many), Where.NEXT_TERM),
            (verdict(PLAIN, Refused("term"), has_budget=False), Where.NEXT_TERM),
            (verdict(PLAIN, Refused("term"), now=DEADLINE), Outcome.NOT_RUN),
        )
        for got, wanted in cases:
            with self.subTest(wanted=wanted):
                self.assertEqual(got, wanted)

    def test_unsafe_work_without_a_key_is_never_repeated(self) -> None:
        work = Work(Kind.UNSAFE_WRITE, DEADLINE, is_idempotent=True)
        self.assertEqual(verdict(work, Lost()), Outcome.UNKNOWN)
