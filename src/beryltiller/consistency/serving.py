"""Serve one statement with plans, attempts and retries, without doing I/O.

`serve` is a generator. It yields each effect to carry out, is sent a `Reply` once the
effect is done, and returns the verdict for the caller. The code that drives it does all
I/O, so the same steps run on the event loop, on a virtual clock and in property tests.
"""

import random
from collections.abc import Callable, Generator
from dataclasses import dataclass, field

from beryltiller.consistency.attempts import (
    UNBUDGETED_CODES,
    Answered,
    Attempts,
    Finish,
    Refused,
    Result,
    RetryPolicy,
    RetryTarget,
    Work,
    decide,
)
from beryltiller.consistency.plans import (
    AskPrimaryPosition,
    Refuse,
    RunAt,
    SessionLost,
    WaitForTerm,
    WaitThen,
)
from beryltiller.consistency.session import Planner, Served, SessionClaim
from beryltiller.core.outcome import Outcome, Refusal
from beryltiller.core.ports import EndpointAnswer, EndpointStatus, Statement


@dataclass(frozen=True, slots=True)
class Job:
    """A statement to serve, with the conditions under which it is served.

    `draw_retry` takes one retry from the budget and returns False if none was left.
    `max_age_seconds` is set only for aged reads.
    """

    group: str
    work: Work
    claim: SessionClaim
    body: bytes
    draw_retry: Callable[[], bool]
    max_age_seconds: float | None = None
    trace_parent: str = ""
    retry_policy: RetryPolicy = field(default_factory=RetryPolicy)


@dataclass(frozen=True, slots=True)
class Run:
    """The effect of running a statement on a connection to a database."""

    database: str
    statement: Statement


@dataclass(frozen=True, slots=True)
class Sleep:
    """The effect of waiting for `seconds`, before a retry or for a replica."""

    seconds: float


Effect = Run | Sleep | WaitForTerm | AskPrimaryPosition


@dataclass(frozen=True, slots=True)
class Reply:
    """The outcome of an effect that was carried out.

    `result` is an attempt's result after `Run`. After `AskPrimaryPosition` it is the
    status, or None if there was no answer. `sent_at` is taken before the statement or
    status request is sent, `now` after the effect has ended.
    """

    now: float
    sent_at: float = 0.0
    result: Result | EndpointStatus | None = None


@dataclass(frozen=True, slots=True)
class Done:
    """The verdict with a complete answer, the caller's session and the answer's age."""

    answer: EndpointAnswer
    served: Served
    database: str


Verdict = Done | Finish | SessionLost
EffectGenerator = Generator[Effect, Reply, Verdict]


def serve(
    planner: Planner, job: Job, now: float, rng: random.Random
) -> EffectGenerator:
    """Yield the effects that serve a statement, and return the verdict."""
    return _StatementState(planner, job, now, rng).steps()


class _StatementState:
    """The state of one statement that is being served, kept between its effects."""

    def __init__(
        self, planner: Planner, job: Job, now: float, rng: random.Random
    ) -> None:
        """Get the first plan from the planner."""
        self._planner = planner
        self._job = job
        self._now = now
        self._rng = rng
        self._attempts = Attempts()
        work = job.work
        self._serving, self._plan = planner.begin(
            job.group, work.kind, job.claim, now, work.deadline, job.max_age_seconds
        )

    def steps(self) -> EffectGenerator:
        """Yield the effects of one plan after another until there is a verdict."""
        while True:
            match self._plan:
                case Refuse(refusal):
                    return self._give_up(refusal)
                case SessionLost() as loss:
                    # `SessionLost` tells the caller that the statement did not run.
                    # After an attempt that may have run, the outcome is unknown.
                    if self._attempts.may_have_run:
                        return self._give_up(loss.as_refusal())
                    return loss
                case RunAt() as run:
                    verdict = yield from self._attempt(run)
                    if verdict:
                        return verdict
                case waiting:
                    yield from self._wait(waiting)

    def _wait(
        self, plan: WaitThen | WaitForTerm | AskPrimaryPosition
    ) -> Generator[Effect, Reply, None]:
        """Wait for a time, a term or the primary's position, then set the next plan."""
        if isinstance(plan, WaitThen):
            reply = yield Sleep(plan.seconds)
            self._now = reply.now
            self._plan = plan.then
            return
        reply = yield plan
        self._now = reply.now
        if isinstance(plan, WaitForTerm):
            self._plan = self._planner.resume(self._serving, self._now)
            return
        if isinstance(reply.result, EndpointStatus):
            self._serving, self._plan = self._planner.record_position(
                self._serving, reply.result, reply.sent_at, self._now
            )
            return
        self._exclude(plan.database)

    def _attempt(self, plan: RunAt) -> Generator[Effect, Reply, Verdict | None]:
        """Run the statement once, then return the verdict, or None with a next plan."""
        reply = yield Run(plan.database, self._statement(plan))
        self._now = reply.now
        result = reply.result
        if result is None or isinstance(result, EndpointStatus):
            raise TypeError("the reply to a run must carry the result of the attempt")
        if isinstance(result, Answered):
            outcome = self._planner.record_answer(
                self._serving,
                plan.database,
                result.answer,
                reply.sent_at,
                self._now,
                plan.term,
            )
            if isinstance(outcome, Served):
                return Done(result.answer, outcome, plan.database)
            if isinstance(outcome, tuple):
                self._serving, self._plan = outcome
                return None
            result = outcome
        return (yield from self._after_failure(plan, result))

    def _after_failure(
        self, plan: RunAt, result: Result
    ) -> Generator[Effect, Reply, Verdict | None]:
        """Return the verdict after a failed attempt, or None if it is retried.

        In the latter case the delay is over and the next plan is set.
        """
        job = self._job
        self._attempts, decision = decide(
            job.work,
            self._attempts,
            result,
            self._now,
            self._may_retry(result),
            job.retry_policy,
            self._rng,
        )
        if isinstance(decision, Finish):
            return decision
        if decision.target is RetryTarget.NEXT_TERM:
            wait = WaitForTerm(job.group, plan.term + 1, decision.delay_seconds)
            self._now = (yield wait).now
            self._plan = self._planner.resume(self._serving, self._now)
            return None
        if decision.delay_seconds:
            self._now = (yield Sleep(decision.delay_seconds)).now
        match decision.target, result:
            case RetryTarget.PRIMARY_IN_FORCE, _:
                self._plan = self._planner.resume(self._serving, self._now)
            case RetryTarget.OTHER_DATABASE, Refused("behind"):
                self._serving, self._plan = self._planner.record_behind_refusal(
                    self._serving, plan.database, plan.at_least, self._now
                )
            case RetryTarget.OTHER_DATABASE, _:
                self._exclude(plan.database)
        return None

    def _exclude(self, database: str) -> None:
        """Set the next plan without a database that could not serve the statement."""
        self._serving, self._plan = self._planner.record_failure(
            self._serving, database, self._now
        )

    def _statement(self, plan: RunAt) -> Statement:
        """Return the statement to send in this attempt, with its conditions."""
        work = self._job.work
        return Statement(
            work.kind,
            self._job.body,
            plan.term,
            plan.at_least,
            work.key,
            self._job.trace_parent,
            max(work.deadline - self._now, 0.0),
        )

    def _may_retry(self, result: Result) -> bool:
        """Return True if a retry was drawn from the budget, or needs none.

        A retry after a refusal with an exempt code needs none. For a statement that may
        have run and may not be repeated, return False and draw nothing.
        """
        if isinstance(result, Refused):
            is_exempt = result.code in UNBUDGETED_CODES
            return is_exempt or self._job.draw_retry()
        return self._job.work.may_repeat and self._job.draw_retry()

    def _give_up(self, refusal: Refusal) -> Finish:
        """Return the final outcome when no further attempt can be planned."""
        if self._attempts.may_have_run:
            return Finish(Outcome.UNKNOWN, refusal)
        return Finish(Outcome.NOT_RUN, refusal)
