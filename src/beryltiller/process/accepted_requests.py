"""Acceptance of callers' requests: their check, route, group, session and deadline."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure

from beryltiller.configuration.tables import Route
from beryltiller.consistency.attempts import Work
from beryltiller.consistency.serving import Job
from beryltiller.consistency.session import SessionClaim, parse_session_header
from beryltiller.consistency.statement import Request, check_request, parse_request
from beryltiller.consistency.tokens import TokenKeys
from beryltiller.core.budgets import RetryBudget
from beryltiller.core.outcome import Kind, Refusal
from beryltiller.dispatching.transaction_service import Step, Verb
from beryltiller.observability.metrics import Counter, Metrics
from beryltiller.process.caller_answers import CallerAnswer, bad_input_answer
from beryltiller.process.routing_table import RoutingTable


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A valid request with its route, group, session and deadline."""

    request: Request
    request_id: str
    route: Route
    group: str
    claim: SessionClaim
    deadline: float


class RequestRefusedError(Exception):
    """Raised for a request that is answered without being served."""

    def __init__(self, answer: CallerAnswer) -> None:
        """Store the answer to send to the caller."""
        super().__init__(answer.status)
        self.answer = answer


class RequestAcceptor:
    """Checks requests against the configuration in force, and reads their sessions."""

    def __init__(self, keys: TokenKeys, metrics: Metrics, rng: random.Random) -> None:
        """Set the keys of session tokens; `rng` gives new sessions identifiers."""
        self._keys = keys
        self._metrics = metrics
        self._rng = rng

    def accept(
        self,
        routing_table: RoutingTable,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        request_id: str,
        started: float,
        step: Step | None,
    ) -> AcceptedRequest:
        """Return the request with its route and session.

        Raise RequestRefusedError if the request is not valid or its route is not known.
        """
        parsed = parse_request(headers, body, needs_body=step is None)
        if isinstance(parsed, Failure):
            self._metrics.count(Counter.BAD_INPUT)
            raise RequestRefusedError(bad_input_answer(parsed.failure(), request_id))
        request = parsed.unwrap()
        route = routing_table.routes.get(request.route)
        if route is None:
            refusal = Refusal(f"no route named {request.route!r}", "Beryl-Route")
            raise RequestRefusedError(bad_input_answer(refusal, request_id))
        violation = check_request(request, route.kind, claims_keys=True)
        # On routes that are unsafe to repeat, only statements and commits need a key.
        is_checked = step is None or step.verb is Verb.COMMIT
        if violation is not None and is_checked:
            raise RequestRefusedError(bad_input_answer(violation, request_id))
        claim = self._read_session_claim(request, request_id)
        group = routing_table.group(route, request.shard_key)
        deadline = started + request.timeout_seconds
        return AcceptedRequest(request, request_id, route, group, claim, deadline)

    def _read_session_claim(self, request: Request, request_id: str) -> SessionClaim:
        identifier = f"{self._rng.getrandbits(64):016x}"
        result = parse_session_header(request.session, self._keys, identifier)
        if isinstance(result, Failure):
            self._metrics.count(Counter.INVALID_TOKENS)
            refusal = result.failure().as_refusal()
            raise RequestRefusedError(bad_input_answer(refusal, request_id))
        return result.unwrap()


def build_job(accepted: AcceptedRequest, budget: RetryBudget, trace_parent: str) -> Job:
    """Return the job of an accepted statement, with its pool's retry budget."""
    request = accepted.request
    kind = accepted.route.kind
    is_idempotent = request.idempotent
    if is_idempotent is None:
        is_idempotent = not kind.is_write
    work = Work(kind, accepted.deadline, request.scoped_key, is_idempotent)
    age = _max_age_seconds(request, accepted.route)
    return Job(
        accepted.group,
        work,
        accepted.claim,
        request.body,
        budget.take,
        age,
        trace_parent,
    )


def _max_age_seconds(request: Request, route: Route) -> float | None:
    """Return the maximum age of a read's data: the caller's, else the route's.

    Return None for other kinds of statement, and if neither sets a maximum.
    """
    if route.kind is not Kind.AGED_READ:
        return None
    if request.max_age_seconds is not None or route.max_age_ms is None:
        return request.max_age_seconds
    return route.max_age_ms / 1000
