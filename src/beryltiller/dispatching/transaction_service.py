"""Serve the steps of transactions: begin, statements, commit and rollback.

A transaction runs on one connection. It is known only to the proxy that began it, and
is valid only in the term in which it began. Its commit is acknowledged under the same
rules as any other write.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from beryltiller.admission.tickets import Ticket
from beryltiller.consistency.plans import (
    AskPrimaryPosition,
    Plan,
    Refuse,
    RunAt,
    SessionLost,
    WaitForTerm,
)
from beryltiller.consistency.routing import find_loss
from beryltiller.consistency.session import Planner, SessionClaim
from beryltiller.consistency.tokens import Session
from beryltiller.core.outcome import Kind, Outcome, Refusal
from beryltiller.core.ports import EndpointAnswer, Statement
from beryltiller.dispatching.dispatch_errors import DispatchError, NotRunError
from beryltiller.dispatching.statement_runner import StatementRunner
from beryltiller.dispatching.term_board import TermBoard

TRANSACTIONS_PATH = "/v1/transactions"
# The entries of transactions that began longer ago are removed. Their runners have
# dropped them before, by `TransactionPolicy.max_age_seconds`.
MAX_ENTRY_AGE_SECONDS = 120.0


@unique
class Verb(Enum):
    """The kinds of transaction steps, as they appear in paths and messages."""

    BEGIN = "begin"
    RUN = "run"
    COMMIT = "commit"
    ROLLBACK = "rollback"


@dataclass(frozen=True, slots=True)
class Step:
    """A transaction step as requested by a path, with the transaction's identifier."""

    verb: Verb
    identifier: str = ""


def parse_step_path(path: str) -> Step | None:
    """Parse a request path; return None if it is not a transaction's path.

    >>> parse_step_path("/v1/transactions/t1/commit").verb
    <Verb.COMMIT: 'commit'>
    """
    if path == TRANSACTIONS_PATH:
        return Step(Verb.BEGIN)
    if not path.startswith(f"{TRANSACTIONS_PATH}/"):
        return None
    identifier, _, verb = path.removeprefix(f"{TRANSACTIONS_PATH}/").partition("/")
    if verb not in (Verb.COMMIT.value, Verb.ROLLBACK.value):
        return None
    return Step(Verb(verb), identifier)


class TransactionError(Exception):
    """The failure of a step, with the outcome, HTTP status and refusal to answer."""

    def __init__(self, status: int, outcome: Outcome, refusal: Refusal) -> None:
        """Keep the parts of the answer to the caller."""
        super().__init__(str(refusal))
        self.status = status
        self.outcome = outcome
        self.refusal = refusal


@dataclass(frozen=True, slots=True)
class StepRequest:
    """A caller's request for one step of a transaction."""

    verb: Verb
    identifier: str
    group: str
    route: str
    kind: Kind
    claim: SessionClaim
    body: bytes
    key: str
    ticket: Ticket


@dataclass(frozen=True, slots=True)
class StepAnswer:
    """The answer to a step; `session` is set after a commit, for the next token."""

    database: str
    body: bytes = b""
    identifier: str = ""
    session: Session | None = None


class StepRunner(Protocol):
    """Runs the steps of one database's transactions, here or at a peer."""

    async def begin(self, ticket: Ticket, term: int) -> str:
        """Begin a transaction and return its identifier."""
        ...

    async def run(
        self, identifier: str, ticket: Ticket, statement: Statement
    ) -> EndpointAnswer:
        """Run a statement; after an error, the transaction can only be rolled back."""
        ...

    async def commit(
        self, identifier: str, ticket: Ticket, key: str = ""
    ) -> EndpointAnswer:
        """Commit the transaction as one log entry."""
        ...

    async def rollback(self, identifier: str, ticket: Ticket) -> None:
        """Roll back the transaction."""
        ...


@dataclass(frozen=True, slots=True)
class _OpenTransaction:
    """An open transaction, with the database and term it runs in and its start."""

    group: str
    route: str
    database: str
    term: int
    runner: StepRunner
    began_at: float


def _not_run_error(status: int, refusal: Refusal) -> TransactionError:
    return TransactionError(status, Outcome.NOT_RUN, refusal)


class TransactionService:
    """Serves the steps of the transactions that were begun on this proxy."""

    def __init__(
        self,
        planner: Planner,
        board: TermBoard,
        statement_runner: StatementRunner,
        choose_runner: Callable[[str], StepRunner | None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without open transactions.

        `choose_runner` returns the runner of the named database's transactions, or
        None if no proxy that connects to the database is known.
        """
        self._planner = planner
        self._board = board
        self._statement_runner = statement_runner
        self._choose_runner = choose_runner
        self._clock = clock
        self._open: dict[str, _OpenTransaction] = {}

    async def serve(self, request: StepRequest) -> StepAnswer:
        """Run one step and return its answer, or raise `TransactionError`."""
        match request.verb:
            case Verb.BEGIN:
                return await self._begin(request)
            case Verb.RUN:
                return await self._run(request)
            case Verb.COMMIT:
                return await self._commit(request)
            case Verb.ROLLBACK:
                return await self._rollback(request)

    async def _begin(self, request: StepRequest) -> StepAnswer:
        self._remove_old_entries()
        if not request.kind.is_write:
            reason = "only for routes that write"
            raise _not_run_error(400, Refusal(reason, "Beryl-Route"))
        target = await self._find_primary(request)
        runner = self._choose_runner(target.database)
        if runner is None:
            reason = f"no proxy that connects to {target.database} is known"
            raise _not_run_error(503, Refusal(reason))
        try:
            identifier = await runner.begin(request.ticket, target.term)
        except DispatchError as error:
            raise _not_run_error(503, error.refusal) from error
        self._open[identifier] = _OpenTransaction(
            request.group,
            request.route,
            target.database,
            target.term,
            runner,
            self._clock(),
        )
        return StepAnswer(target.database, identifier=identifier)

    async def _run(self, request: StepRequest) -> StepAnswer:
        transaction = self._find(request)
        remaining = request.ticket.deadline - self._clock()
        statement = Statement(
            Kind.WRITE,
            request.body,
            transaction.term,
            timeout_seconds=max(remaining, 0.0),
        )
        try:
            answer = await transaction.runner.run(
                request.identifier, request.ticket, statement
            )
        except DispatchError as error:
            # Without a commit, no statement of a transaction takes effect.
            raise _not_run_error(409, error.refusal) from error
        return StepAnswer(transaction.database, answer.body)

    async def _commit(self, request: StepRequest) -> StepAnswer:
        transaction = self._find(request)
        self._check_session(request)
        self._open.pop(request.identifier, None)
        try:
            answer = await transaction.runner.commit(
                request.identifier, request.ticket, request.key
            )
        except NotRunError as error:
            raise _not_run_error(409, error.refusal) from error
        except DispatchError as error:
            raise TransactionError(504, Outcome.UNKNOWN, error.refusal) from error
        await self._check_acknowledged(request, transaction, answer)
        session = request.claim.session.after_write(request.group, answer.position)
        return StepAnswer(transaction.database, answer.body, session=session)

    def _check_session(self, request: StepRequest) -> None:
        """Refuse the commit if the session has lost a write.

        The position in the token of a successful commit would hide the loss.
        """
        state = self._planner.group(request.group)
        mark = request.claim.session.mark(request.group)
        if state is None or mark is None:
            return
        if loss := find_loss(state.view, mark):
            raise _not_run_error(409, loss.as_refusal())

    async def _check_acknowledged(
        self,
        request: StepRequest,
        transaction: _OpenTransaction,
        answer: EndpointAnswer,
    ) -> None:
        may_acknowledge = await self._statement_runner.confirm_write(
            request.group,
            transaction.term,
            answer.position,
            request.ticket.deadline,
            request.kind is Kind.UNSAFE_WRITE,
        )
        if not may_acknowledge:
            refusal = Refusal("the primary may have been replaced before it answered")
            raise TransactionError(504, Outcome.UNKNOWN, refusal)

    async def _rollback(self, request: StepRequest) -> StepAnswer:
        transaction = self._find(request)
        self._open.pop(request.identifier, None)
        try:
            await transaction.runner.rollback(request.identifier, request.ticket)
        except DispatchError as error:
            # After any other error, the database drops the transaction with its
            # connection, which is closed now or after the idle timeout.
            if error.code == "transaction":
                raise _not_run_error(409, error.refusal) from error
        return StepAnswer(transaction.database)

    def _find(self, request: StepRequest) -> _OpenTransaction:
        transaction = self._open.get(request.identifier)
        if transaction is None or transaction.group != request.group:
            reason = "no such transaction is open on this proxy"
            raise _not_run_error(409, Refusal(reason, "Beryl-Transaction"))
        if transaction.route != request.route:
            reason = f"the transaction began on route {transaction.route!r}"
            raise _not_run_error(400, Refusal(reason, "Beryl-Route"))
        return transaction

    async def _find_primary(self, request: StepRequest) -> RunAt:
        """Return the primary and term where a write of the session would run."""
        self._board.update_planner(request.group)
        serving, plan = self._planner.begin(
            request.group,
            request.kind,
            request.claim,
            self._clock(),
            request.ticket.deadline,
        )
        while True:
            match plan:
                case RunAt():
                    return plan
                case WaitForTerm(name, term, seconds):
                    await self._board.wait_for_term(name, term, seconds)
                    self._board.update_planner(request.group)
                    plan = self._planner.resume(serving, self._clock())
                case AskPrimaryPosition(name, database, term):
                    asked_at, status = await self._statement_runner.request_status(
                        name, database, term
                    )
                    if status is None:
                        raise _not_run_error(
                            503, Refusal("the primary does not answer")
                        )
                    serving, plan = self._planner.record_position(
                        serving, status, asked_at, self._clock()
                    )
                case _:
                    raise _error_of(plan)

    def _remove_old_entries(self) -> None:
        """Remove the entries of transactions that no caller ended."""
        oldest = self._clock() - MAX_ENTRY_AGE_SECONDS
        self._open = {
            identifier: transaction
            for identifier, transaction in self._open.items()
            if transaction.began_at > oldest
        }


def _error_of(plan: Plan) -> TransactionError:
    match plan:
        case SessionLost():
            return _not_run_error(409, plan.as_refusal())
        case Refuse(refusal):
            return _not_run_error(503, refusal)
    return _not_run_error(503, Refusal("no primary is available now"))
