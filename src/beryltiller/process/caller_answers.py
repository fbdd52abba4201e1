"""HTTP answers to callers: the status, headers and error body of each outcome."""

from dataclasses import dataclass

import msgspec

from beryltiller.admission.tickets import Cause
from beryltiller.consistency.attempts import Finish
from beryltiller.core.outcome import Outcome, Refusal

_OVER_LIMIT_CODES = frozenset(
    cause.code
    for cause in (
        Cause.DEADLINE_UNREACHABLE,
        Cause.QUEUE_FULL,
        Cause.TRANSACTION_LIMIT,
    )
)


class ErrorModel(msgspec.Struct, frozen=True):
    """The JSON body of an answer whose outcome is not `done`."""

    outcome: str
    field: str
    reason: str
    request: str


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """One HTTP answer to a caller, with the outcome that it reports."""

    status: int
    outcome: Outcome
    body: bytes
    headers: dict[str, str]


def error_answer(
    status: int, outcome: Outcome, refusal: Refusal, request_id: str
) -> CallerAnswer:
    """Return an answer with the outcome, the invalid field and the reason as JSON."""
    model = ErrorModel(outcome.value, refusal.field, refusal.reason, request_id)
    headers = {"Content-Type": "application/json"}
    return CallerAnswer(status, outcome, msgspec.json.encode(model), headers)


def bad_input_answer(refusal: Refusal, request_id: str) -> CallerAnswer:
    """Return the answer to invalid input (400); nothing was sent to a database."""
    return error_answer(400, Outcome.NOT_RUN, refusal, request_id)


def conflict_answer(refusal: Refusal, request_id: str) -> CallerAnswer:
    """Return the answer to a request whose session has lost data (409)."""
    return error_answer(409, Outcome.NOT_RUN, refusal, request_id)


def _not_run_status(code: str) -> int:
    if code == "statement":
        return 400
    return 429 if code in _OVER_LIMIT_CODES else 503


def unfinished_answer(finish: Finish, request_id: str) -> CallerAnswer:
    """Return the answer to a statement that ended without a complete answer.

    The status is 504 if the outcome is unknown. Otherwise it is 400 for a statement
    that the database refused as invalid, 429 for an exceeded limit, and 503 for
    anything else.
    """
    refusal = finish.refusal or Refusal("the reason is not known")
    if finish.outcome is Outcome.UNKNOWN:
        return error_answer(504, Outcome.UNKNOWN, refusal, request_id)
    # The reason of a refused statement starts with the refusal's code.
    code = refusal.reason.partition(":")[0]
    return error_answer(_not_run_status(code), Outcome.NOT_RUN, refusal, request_id)
