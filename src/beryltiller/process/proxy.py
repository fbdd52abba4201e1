"""The HTTP interface for callers: takes requests and returns complete answers."""

import asyncio
import itertools
import logging
import math
import random
import time
from collections.abc import Callable

from aiohttp import web

from beryltiller.admission.tickets import Ticket
from beryltiller.configuration.tables import Configuration
from beryltiller.consistency.plans import SessionLost
from beryltiller.consistency.serving import Done
from beryltiller.consistency.tokens import Session, TokenKeys, encode_token
from beryltiller.core.budgets import RetryBudget
from beryltiller.core.outcome import Outcome, Refusal
from beryltiller.dispatching.statement_runner import StatementRunner
from beryltiller.dispatching.transaction_service import (
    Step,
    StepRequest,
    TransactionError,
    TransactionService,
    Verb,
    parse_step_path,
)
from beryltiller.observability.metrics import Counter, Metrics, Timer
from beryltiller.observability.traces import Hop, Tracer
from beryltiller.process.accepted_requests import (
    AcceptedRequest,
    RequestAcceptor,
    RequestRefusedError,
    build_job,
)
from beryltiller.process.body_budget import BodyBudget, BodyBudgetError, BodyPolicy
from beryltiller.process.caller_answers import (
    CallerAnswer,
    bad_input_answer,
    conflict_answer,
    error_answer,
    unfinished_answer,
)
from beryltiller.process.routing_table import RoutingTable

_logger = logging.getLogger(__name__)

STATEMENTS_PATH = "/v1/statements"
_OUTCOME_COUNTERS = {
    Outcome.DONE: Counter.DONE,
    Outcome.NOT_RUN: Counter.NOT_RUN,
    Outcome.UNKNOWN: Counter.UNKNOWN,
}
_REFUSAL_COUNTERS = {429: Counter.OVER_LIMIT, 503: Counter.UNAVAILABLE}


class Proxy:
    """The HTTP handler that serves callers by the configuration in force."""

    def __init__(
        self,
        name: str,
        statement_runner: StatementRunner,
        transactions: TransactionService,
        keys: TokenKeys,
        metrics: Metrics,
        tracer: Tracer,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        body_policy: BodyPolicy | None = None,
    ) -> None:
        """Create a proxy that refuses all requests until it has a configuration.

        `name` is its name in answers and request identifiers.
        """
        self._body_policy = body_policy or BodyPolicy()
        self._bodies = BodyBudget(self._body_policy)
        self._name = name
        self._statement_runner = statement_runner
        self._transactions = transactions
        self._keys = keys
        self._metrics = metrics
        self._tracer = tracer
        self._acceptor = RequestAcceptor(keys, metrics, rng)
        self._clock = clock
        self._routing_table: RoutingTable | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self._request_numbers = itertools.count(1)
        self._request_id_prefix = f"{name}-{rng.getrandbits(32):08x}"
        self._in_flight = 0
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Return True if a configuration is in force and the proxy is not draining."""
        return self._routing_table is not None and not self._is_draining

    @property
    def is_draining(self) -> bool:
        """Return True if `drain` was called, so that new requests are refused."""
        return self._is_draining

    @property
    def in_flight(self) -> int:
        """Return the number of requests received and not yet answered."""
        return self._in_flight

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration in force, or 0 if there is none."""
        return self._routing_table.configuration.version if self._routing_table else 0

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force; pools that remain keep their retry budgets."""
        self._routing_table = RoutingTable.from_configuration(configuration)
        names = self._routing_table.pools
        self._budgets = {name: self._budgets.get(name, RetryBudget()) for name in names}

    def drain(self) -> None:
        """Refuse all new requests; those in flight continue."""
        self._is_draining = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one HTTP request of a caller, count and time it.

        An unexpected error is logged and answered with 500 and outcome unknown.
        """
        started = self._clock()
        self._metrics.count(Counter.REQUESTS)
        request_id = f"{self._request_id_prefix}-{next(self._request_numbers)}"
        self._in_flight += 1
        try:
            answer = await self._serve(request, request_id, started)
        except RequestRefusedError as refused:
            answer = refused.answer
        except Exception:
            _logger.exception("request %s failed", request_id)
            refusal = Refusal("an error in the proxy")
            answer = error_answer(500, Outcome.UNKNOWN, refusal, request_id)
        finally:
            self._in_flight -= 1
        self._metrics.count(_OUTCOME_COUNTERS[answer.outcome])
        if answer.status in _REFUSAL_COUNTERS:
            self._metrics.count(_REFUSAL_COUNTERS[answer.status])
        self._metrics.observe(Timer.REQUEST, self._clock() - started)
        answer.headers["Beryl-Outcome"] = answer.outcome.value
        answer.headers["Beryl-Request-Id"] = request_id
        answer.headers["Beryl-Proxy"] = self._name
        response = web.Response(
            status=answer.status, body=answer.body, headers=answer.headers
        )
        if self._is_draining:
            # The caller's next request then uses a connection that stays open.
            response.force_close()
        return response

    async def _serve(
        self, request: web.BaseRequest, request_id: str, started: float
    ) -> CallerAnswer:
        step = parse_step_path(request.path)
        if request.method != "POST" or (
            step is None and request.path != STATEMENTS_PATH
        ):
            refusal = Refusal(f"POST {STATEMENTS_PATH} is served here", "path")
            return error_answer(404, Outcome.NOT_RUN, refusal, request_id)
        try:
            with self._bodies.reserved(request.content_length, request.headers):
                return await self._serve_body(request, request_id, started, step)
        except BodyBudgetError as error:
            refusal = Refusal(str(error), "body")
            return error_answer(429, Outcome.NOT_RUN, refusal, request_id)

    async def _serve_body(
        self,
        request: web.BaseRequest,
        request_id: str,
        started: float,
        step: Step | None,
    ) -> CallerAnswer:
        body = await self._read_body(request, request_id)
        headers = request.headers.items()
        routing_table = self._serving_table(request_id)
        accepted = self._acceptor.accept(
            routing_table, headers, body, request_id, started, step
        )
        if step is not None or accepted.request.transaction:
            return await self._serve_transaction_step(accepted, step or Step(Verb.RUN))
        budget = self._budgets[accepted.route.pool]
        context = self._tracer.context_from_header(accepted.request.trace_parent)
        with self._tracer.new_span(context, Hop.REQUEST, request=request_id) as span:
            verdict = await self._statement_runner.serve(
                request_id,
                accepted.request.caller,
                build_job(accepted, budget, str(span.context)),
            )
            span.add_attributes(
                route=accepted.request.route, verdict=type(verdict).__name__
            )
        match verdict:
            case Done():
                return self._done_answer(accepted, verdict)
            case SessionLost():
                return self._lost_session_answer(accepted, verdict)
        return unfinished_answer(verdict, request_id)

    async def _serve_transaction_step(
        self, accepted: AcceptedRequest, step: Step
    ) -> CallerAnswer:
        identifier = step.identifier or accepted.request.transaction
        step_request = StepRequest(
            step.verb,
            identifier,
            accepted.group,
            accepted.route.name,
            accepted.route.kind,
            accepted.claim,
            accepted.request.body,
            accepted.request.scoped_key,
            Ticket(
                accepted.request_id,
                accepted.request.caller,
                accepted.route.kind,
                accepted.deadline,
            ),
        )
        try:
            result = await self._transactions.serve(step_request)
        except TransactionError as error:
            return error_answer(
                error.status, error.outcome, error.refusal, accepted.request_id
            )
        headers = {"Beryl-Served-By": result.database}
        if result.identifier:
            headers["Beryl-Transaction"] = result.identifier
        if result.session is not None:
            headers["Beryl-Session"] = encode_token(result.session, self._keys)
        status = 201 if step.verb is Verb.BEGIN else 200
        return CallerAnswer(status, Outcome.DONE, result.body, headers)

    async def _read_body(self, request: web.BaseRequest, request_id: str) -> bytes:
        seconds = self._body_policy.receive_seconds
        try:
            async with asyncio.timeout(seconds):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            refusal = Refusal("the statement is too long", "body")
            raise RequestRefusedError(bad_input_answer(refusal, request_id)) from error
        except ConnectionError as error:
            refusal = Refusal("the connection ended before it arrived", "body")
            raise RequestRefusedError(bad_input_answer(refusal, request_id)) from error
        except TimeoutError as error:
            refusal = Refusal(f"it did not arrive within {seconds:g} s", "body")
            answer = error_answer(503, Outcome.NOT_RUN, refusal, request_id)
            raise RequestRefusedError(answer) from error

    def _serving_table(self, request_id: str) -> RoutingTable:
        """Return the routes in force.

        Raise RequestRefusedError if there are none, or the proxy is draining.
        """
        routing_table = self._routing_table
        if routing_table is None or self._is_draining:
            reason = "draining" if self._is_draining else "no configuration in force"
            refused = error_answer(503, Outcome.NOT_RUN, Refusal(reason), request_id)
            raise RequestRefusedError(refused)
        return routing_table

    def _done_answer(self, accepted: AcceptedRequest, done: Done) -> CallerAnswer:
        budget = self._budgets.get(accepted.route.pool)
        if budget is not None:
            budget.record_success()
        headers = {
            "Content-Type": "application/octet-stream",
            "Beryl-Session": encode_token(done.served.session, self._keys),
            "Beryl-Served-By": done.database,
        }
        if done.served.age_seconds is not None:
            headers["Beryl-Age-Ms"] = str(math.ceil(done.served.age_seconds * 1000))
        if done.answer.is_repeat:
            headers["Beryl-Repeat"] = "true"
            self._metrics.count(Counter.REPEATED_WRITES)
        return CallerAnswer(200, Outcome.DONE, done.answer.body, headers)

    def _lost_session_answer(
        self, accepted: AcceptedRequest, lost: SessionLost
    ) -> CallerAnswer:
        """Return the answer that a failover lost data of the session, and a new token.

        The new token no longer has a position in the group that lost data.
        """
        self._metrics.count(Counter.TRUNCATED_TOKENS)
        answer = conflict_answer(lost.as_refusal(), accepted.request_id)
        renewed: Session = accepted.claim.session.without_group(lost.group)
        answer.headers["Beryl-Session"] = encode_token(renewed, self._keys)
        return answer
