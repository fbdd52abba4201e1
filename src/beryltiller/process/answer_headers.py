"""What a caller is told: statuses, headers and error bodies of each outcome."""

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
    """Hold the body of an answer that is not done."""

    outcome: str
    field: str
    reason: str
    request: str


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Hold one HTTP answer to a caller."""

    status: int
    outcome: Outcome
    body: bytes
    headers: dict[str, str]


def error_answer(
    status: int, outcome: Outcome, refusal: Refusal, request_id: str
) -> CallerAnswer:
    """Return an answer that tells the outcome, the field at fault and the reason."""
    model = ErrorModel(outcome.value, refusal.field, refusal.reason, request_id)
    headers = {"Content-Type": "application/json"}
    return CallerAnswer(status, outcome, msgspec.json.encode(model), headers)


def bad_input(refusal: Refusal, request_id: str) -> CallerAnswer:
    """Return the answer to input that was refused with nothing sent on."""
    return error_answer(400, Outcome.NOT_RUN, refusal, request_id)


def conflict(refusal: Refusal, request_id: str) -> CallerAnswer:
    """Return the answer to a lost session or a transaction that cannot go on."""
    return error_answer(409, Outcome.NOT_RUN, refusal, request_id)


def _not_run_status(code: str) -> int:
    if code == "statement":
        return 400
    return 429 if code in _OVER_LIMIT_CODES else 503


def finished(finish: Finish, request_id: str) -> CallerAnswer:
    """Return the answer to a statement that ended without a whole answer."""
    refusal = finish.refusal or Refusal("no reason known")
    if finish.outcome is Outcome.UNKNOWN:
        return error_answer(504, Outcome.UNKNOWN, refusal, request_id)
    code = refusal.reason.partition(":")[0]
    return error_answer(_not_run_status(code), Outcome.NOT_RUN, refusal, request_id)
