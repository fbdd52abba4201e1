"""The callers' interface of a proxy: requests in, whole answers out."""

import itertools
import logging
import math
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from aiohttp import web
from returns.result import Failure
from xxhash import xxh64_intdigest

from beryltiller.admission.tickets import Ticket
from beryltiller.configuration.tables import Configuration, Route
from beryltiller.consistency.attempts import Work
from beryltiller.consistency.plans import SessionLost
from beryltiller.consistency.serving import Done, Job
from beryltiller.consistency.session import Claim, read_claim
from beryltiller.consistency.statement import Request, check_request, parse_request
from beryltiller.consistency.tokens import Session, TokenKeys, encode_token
from beryltiller.core.budgets import RetryBudget
from beryltiller.core.outcome import Kind, Outcome, Refusal
from beryltiller.dispatching.driver import Driver
from beryltiller.dispatching.transaction_service import (
    Step,
    TransactionError,
    TransactionPart,
    Transactions,
    Verb,
    transaction_step,
)
from beryltiller.observability.metrics import Counter, Metrics, Timer
from beryltiller.observability.traces import Hop, Tracer
from beryltiller.process.answer_headers import (
    CallerAnswer,
    bad_input,
    conflict,
    error_answer,
    finished,
)

_logger = logging.getLogger(__name__)

STATEMENTS_PATH = "/v1/statements"
_COUNTERS = {
    Outcome.DONE: Counter.DONE,
    Outcome.NOT_RUN: Counter.NOT_RUN,
    Outcome.UNKNOWN: Counter.UNKNOWN,
}
_REFUSALS = {429: Counter.OVER_LIMIT, 503: Counter.UNAVAILABLE}


@dataclass(frozen=True, slots=True)
class Directory:
    """Hold the configuration in force, arranged for look-ups by name."""

    configuration: Configuration
    routes: dict[str, Route]
    pools: dict[str, tuple[str, ...]]

    @classmethod
    def of(cls, configuration: Configuration) -> "Directory":
        """Return the directory of a configuration."""
        routes = {route.name: route for route in configuration.routes}
        pools = {pool.name: pool.groups for pool in configuration.pools}
        return cls(configuration, routes, pools)

    def group(self, route: Route, shard_key: str) -> str:
        """Return the group of the route's pool that serves a key.

        Rendezvous hashing moves few keys when a group joins or leaves the pool.
        """
        groups = self.pools[route.pool]
        if len(groups) == 1:
            return groups[0]
        return max(groups, key=lambda name: _weight(shard_key, name))


def _weight(shard_key: str, group: str) -> int:
    return xxh64_intdigest(f"{shard_key}\0{group}".encode())


@dataclass(frozen=True, slots=True)
class Asked:
    """Hold a request that was accepted, with its route, group and session."""

    request: Request
    request_id: str
    route: Route
    group: str
    claim: Claim
    deadline: float


def _age_seconds(request: Request, route: Route) -> float | None:
    """Return the age that a read accepts: the caller's, else the route's."""
    if route.kind is not Kind.AGED_READ:
        return None
    if request.max_age_seconds is not None or route.max_age_ms is None:
        return request.max_age_seconds
    return route.max_age_ms / 1000


class RequestRefusedError(Exception):
    """Report a request that is answered without being served."""

    def __init__(self, answer: CallerAnswer) -> None:
        """Keep the answer."""
        super().__init__(answer.status)
        self.answer = answer


class Proxy:
    """Answer callers' requests by the configuration in force."""

    def __init__(
        self,
        name: str,
        driver: Driver,
        transactions: Transactions,
        keys: TokenKeys,
        metrics: Metrics,
        tracer: Tracer,
        source: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without a configuration: nothing is served yet."""
        self._name = name
        self._driver = driver
        self._transactions = transactions
        self._keys = keys
        self._metrics = metrics
        self._tracer = tracer
        self._random = source
        self._clock = clock
        self._directory: Directory | None = None
        self._budgets: dict[str, RetryBudget] = {}
        self._numbers = itertools.count(1)
        self._prefix = f"{name}-{source.getrandbits(32):08x}"
        self._in_flight = 0
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Tell whether a configuration is in force and the proxy is not draining."""
        return self._directory is not None and not self._is_draining

    @property
    def is_draining(self) -> bool:
        """Tell whether new requests are refused."""
        return self._is_draining

    @property
    def in_flight(self) -> int:
        """Return how many requests are being served."""
        return self._in_flight

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, or 0."""
        return self._directory.configuration.version if self._directory else 0

    def configure(self, configuration: Configuration) -> None:
        """Serve by this configuration from now on."""
        self._directory = Directory.of(configuration)
        names = self._directory.pools
        self._budgets = {name: self._budgets.get(name, RetryBudget()) for name in names}

    def drain(self) -> None:
        """Refuse every request from now on; those in flight go on."""
        self._is_draining = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one HTTP request of a caller."""
        started = self._clock()
        self._metrics.count(Counter.REQUESTS)
        request_id = f"{self._prefix}-{next(self._numbers)}"
        self._in_flight += 1
        try:
            answer = await self._answer(request, request_id, started)
        except RequestRefusedError as refused:
            answer = refused.answer
        except Exception:
            _logger.exception("request %s failed", request_id)
            refusal = Refusal("an error in the proxy")
            answer = error_answer(500, Outcome.UNKNOWN, refusal, request_id)
        finally:
            self._in_flight -= 1
        self._metrics.count(_COUNTERS[answer.outcome])
        if answer.status in _REFUSALS:
            self._metrics.count(_REFUSALS[answer.status])
        self._metrics.observe(Timer.REQUEST, self._clock() - started)
        answer.headers["Beryl-Outcome"] = answer.outcome.value
        answer.headers["Beryl-Request-Id"] = request_id
        answer.headers["Beryl-Proxy"] = self._name
        response = web.Response(
            status=answer.status, body=answer.body, headers=answer.headers
        )
        if self._is_draining:
            # The caller's next request then goes to a connection that stays.
            response.force_close()
        return response

    async def _answer(
        self, request: web.BaseRequest, request_id: str, started: float
    ) -> CallerAnswer:
        step = transaction_step(request.path)
        if request.method != "POST" or (
            step is None and request.path != STATEMENTS_PATH
        ):
            refusal = Refusal(f"POST {STATEMENTS_PATH} is served here", "path")
            return error_answer(404, Outcome.NOT_RUN, refusal, request_id)
        body = await self._body(request, request_id)
        headers = request.headers.items()
        asked = self._accept(headers, body, request_id, started, step)
        if step is not None or asked.request.transaction:
            return await self._transact(asked, step or Step(Verb.RUN))
        context = self._tracer.context_from_header(asked.request.trace_parent)
        with self._tracer.new_span(context, Hop.REQUEST, request=request_id) as span:
            verdict = await self._driver.serve(
                request_id, asked.request.caller, self._job(asked, str(span.context))
            )
            span.add_attributes(
                route=asked.request.route, verdict=type(verdict).__name__
            )
        match verdict:
            case Done():
                return self._done(asked, verdict)
            case SessionLost():
                return self._lost(asked, verdict)
        return finished(verdict, request_id)

    async def _transact(self, asked: Asked, step: Step) -> CallerAnswer:
        identifier = step.identifier or asked.request.transaction
        part = TransactionPart(
            step.verb,
            identifier,
            asked.group,
            asked.route.name,
            asked.route.kind,
            asked.claim,
            asked.request.body,
            asked.request.scoped_key,
            Ticket(
                asked.request_id,
                asked.request.caller,
                asked.route.kind,
                asked.deadline,
            ),
        )
        try:
            ended = await self._transactions.serve(part)
        except TransactionError as error:
            return error_answer(
                error.status, error.outcome, error.refusal, asked.request_id
            )
        headers = {"Beryl-Served-By": ended.database}
        if ended.identifier:
            headers["Beryl-Transaction"] = ended.identifier
        if ended.session is not None:
            headers["Beryl-Session"] = encode_token(ended.session, self._keys)
        status = 201 if step.verb is Verb.BEGIN else 200
        return CallerAnswer(status, Outcome.DONE, ended.body, headers)

    async def _body(self, request: web.BaseRequest, request_id: str) -> bytes:
        try:
            return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            refusal = Refusal("the statement is too long", "body")
            raise RequestRefusedError(bad_input(refusal, request_id)) from error

    def _accept(
        self,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        request_id: str,
        started: float,
        step: Step | None,
    ) -> Asked:
        """Return the request with its route and session, or refuse it."""
        directory = self._directory
        if directory is None or self._is_draining:
            reason = "draining" if self._is_draining else "no configuration in force"
            refused = error_answer(503, Outcome.NOT_RUN, Refusal(reason), request_id)
            raise RequestRefusedError(refused)
        parsed = parse_request(headers, body, needs_body=step is None)
        if isinstance(parsed, Failure):
            self._metrics.count(Counter.BAD_INPUT)
            raise RequestRefusedError(bad_input(parsed.failure(), request_id))
        request = parsed.unwrap()
        route = directory.routes.get(request.route)
        if route is None:
            refusal = Refusal(f"no route named {request.route!r}", "Beryl-Route")
            raise RequestRefusedError(bad_input(refusal, request_id))
        misfit = check_request(request, route.kind, claims_keys=True)
        # Only what runs or commits needs a key on routes unsafe to repeat.
        is_checked = step is None or step.verb is Verb.COMMIT
        if misfit is not None and is_checked:
            raise RequestRefusedError(bad_input(misfit, request_id))
        claim = self._claim(request, request_id)
        group = directory.group(route, request.shard_key)
        deadline = started + request.timeout_seconds
        return Asked(request, request_id, route, group, claim, deadline)

    def _claim(self, request: Request, request_id: str) -> Claim:
        identifier = f"{self._random.getrandbits(64):016x}"
        result = read_claim(request.session, self._keys, identifier)
        if isinstance(result, Failure):
            self._metrics.count(Counter.INVALID_TOKENS)
            refusal = result.failure().as_refusal()
            raise RequestRefusedError(bad_input(refusal, request_id))
        return result.unwrap()

    def _job(self, asked: Asked, trace_parent: str) -> Job:
        request = asked.request
        kind = asked.route.kind
        is_idempotent = request.idempotent
        if is_idempotent is None:
            is_idempotent = not kind.is_write
        work = Work(kind, asked.deadline, request.scoped_key, is_idempotent)
        age = _age_seconds(request, asked.route)
        return Job(
            asked.group,
            work,
            asked.claim,
            request.body,
            self._budgets[asked.route.pool].take,
            age,
            trace_parent,
        )

    def _done(self, asked: Asked, done: Done) -> CallerAnswer:
        budget = self._budgets.get(asked.route.pool)
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

    def _lost(self, asked: Asked, lost: SessionLost) -> CallerAnswer:
        """Tell that a failover dropped what the session saw, and renew its token."""
        self._metrics.count(Counter.TRUNCATED_TOKENS)
        answer = conflict(lost.as_refusal(), asked.request_id)
        renewed: Session = asked.claim.session.without_group(lost.group)
        answer.headers["Beryl-Session"] = encode_token(renewed, self._keys)
        return answer
