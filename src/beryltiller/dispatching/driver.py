"""Drive one statement: perform on the event loop what `serving.serve` asks for."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from beryltiller.admission.tickets import Ticket
from beryltiller.consistency.attempts import (
    Answered,
    Lost,
    Refused,
    Result,
    Unconfirmed,
)
from beryltiller.consistency.plans import AskPrimaryPosition, WaitForTerm
from beryltiller.consistency.serving import Effect, Job, Reply, Run, Sleep, serve
from beryltiller.consistency.serving import Verdict as Served
from beryltiller.consistency.session import Planner
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import EndpointStatus, PortError, Statement
from beryltiller.core.position import Position
from beryltiller.dispatching.databases import Databases, Place
from beryltiller.dispatching.dispatch_errors import NotRunError, UnknownOutcomeError
from beryltiller.dispatching.flights import Flight, Flights
from beryltiller.dispatching.forwarding import Forwarder
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.observability.hop_recorder import AttemptRecorder, HopRecorder
from beryltiller.observability.metrics import Counter, Metrics
from beryltiller.primaries.evidence import LOG_QUORUM, Verdict, is_in_two_logs

MIN_CONFIRM_STEP_SECONDS = 0.005
MAX_CONFIRM_STEP_SECONDS = 0.08
STATUS_TIMEOUT_SECONDS = 1.0

Observer = Callable[[str, str, Result], None]


@dataclass(slots=True)
class _Question:
    """Share one question to a primary among the reads that ask meanwhile."""

    asked_at: float
    answer: "asyncio.Task[EndpointStatus | None]" = field(repr=False)


class Driver:
    """Perform the effects of statements: runs, waits, questions, confirmations."""

    def __init__(
        self,
        planner: Planner,
        board: TermBoard,
        databases: Databases,
        forwarder: Forwarder,
        observe: Observer,
        hops: HopRecorder,
        metrics: Metrics,
        source: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Tell `observe` how each run at a database ended: group, database, result."""
        self._planner = planner
        self._board = board
        self._databases = databases
        self._forwarder = forwarder
        self._observe = observe
        self._hops = hops
        self._metrics = metrics
        self._random = source
        self._clock = clock
        self._questions: dict[str, _Question] = {}
        self._flights = Flights()

    def replaced(self, group: str, term: int) -> None:
        """Give up the writes of a group whose primary has been replaced."""
        self._flights.replaced(group, term)

    def silent(self, database: str) -> None:
        """Give up the reads at a database that does not answer."""
        self._flights.silent(database)

    async def serve(self, request_id: str, caller: str, job: Job) -> Served:
        """Serve a statement and return the verdict for its caller."""
        self._board.refresh(job.group)
        steps = serve(self._planner, job, self._clock(), self._random)
        ticket = Ticket(request_id, caller, job.work.kind, job.work.deadline)
        runs = 0
        try:
            effect = next(steps)
            while True:
                runs += isinstance(effect, Run)
                reply = await self._perform(effect, job.group, ticket)
                self._board.refresh(job.group)
                effect = steps.send(reply)
        except StopIteration as stopped:
            verdict: Served = stopped.value
            self._metrics.count(Counter.RETRIES, max(runs - 1, 0))
            return verdict
        finally:
            steps.close()

    async def acknowledge(
        self,
        group: str,
        term: int,
        position: Position,
        deadline: float,
        is_unsafe: bool = False,
    ) -> bool:
        """Tell whether a write answered in `term` may be acknowledged.

        Without evidence in force, and always where the work is unsafe to repeat, it
        may be once two databases' logs hold it: such a write survives a failover.
        """
        verdict = self._board.verdict(group, term)
        if verdict is Verdict.REFUSE:
            return False
        if verdict is Verdict.ACKNOWLEDGE and not is_unsafe:
            return True
        is_held = await self._confirm(group, position, deadline)
        self._metrics.count(Counter.QUORUM_WRITES, int(is_held))
        return is_held

    async def _perform(self, effect: Effect, group: str, ticket: Ticket) -> Reply:
        sent_at = self._clock()
        match effect:
            case Run(database, statement):
                result = await self._run(group, database, statement, ticket)
                return Reply(self._clock(), sent_at, result)
            case Sleep(seconds):
                await asyncio.sleep(seconds)
                return Reply(self._clock(), sent_at)
            case WaitForTerm(name, term, seconds):
                await self._board.wait(name, term, seconds)
                return Reply(self._clock(), sent_at)
            case AskPrimaryPosition(name, database, term):
                asked_at, status = await self.ask(name, database, term)
                return Reply(self._clock(), asked_at, status)

    async def _run(
        self, group: str, database: str, statement: Statement, ticket: Ticket
    ) -> Result:
        place = self._databases.place(database)
        if place is None:
            return Refused("unknown-database", database)
        result = await self._send(place, statement, ticket)
        self._observe(group, database, result)
        if not isinstance(result, Answered):
            return result
        if not statement.kind.is_write:
            self._count_read(group, database)
            return result
        position = result.answer.position
        is_unsafe = statement.kind is Kind.UNSAFE_WRITE
        is_ours = await self.acknowledge(
            group, statement.term, position, ticket.deadline, is_unsafe
        )
        if is_ours:
            return result
        self._metrics.count(Counter.LAPSED_WRITES)
        return Unconfirmed()

    async def _send(self, place: Place, statement: Statement, ticket: Ticket) -> Result:
        """Run a statement here, or at a peer where this proxy cannot.

        Give it up when its primary is replaced or its database falls silent.
        """
        address = self._forwarder.target(place) if self._needs_forward(place) else ""
        term = statement.term if statement.kind.is_write else 0
        name, group = place.name, place.group
        try:
            async with asyncio.timeout(None) as limit:
                with self._flights.follow(name, group, term, limit) as flight:
                    if not address:
                        return await self._attempt(place, statement, ticket, flight)
                    flight.mark_sent()
                    return await self._forwarder.send(address, name, statement, ticket)
        except TimeoutError:
            reason = "the primary was replaced" if term else "no answer"
            return Lost(reason) if flight.is_sent else Refused("term", reason)

    def _needs_forward(self, place: Place) -> bool:
        if self._databases.get(place.name) is None:
            return True
        state = self._planner.group(place.group)
        databases = state.view.databases if state else ()
        return any(one.name == place.name and not one.is_reachable for one in databases)

    async def _attempt(
        self,
        place: Place,
        statement: Statement,
        ticket: Ticket,
        flight: Flight,
    ) -> Result:
        served = self._databases.get(place.name)
        if served is None:
            return Refused("no-connection", "no proxy that holds connections is known")
        try:
            with self._hops.record_attempt(
                statement.trace_parent, place.name
            ) as attempt:
                answer = await served.dispatcher.run(
                    ticket, statement, lambda: _mark_sent(flight, attempt)
                )
        except NotRunError as error:
            return Refused(error.code, str(error.refusal))
        except UnknownOutcomeError as error:
            return Lost(str(error.refusal))
        return Answered(answer)

    def _count_read(self, group: str, database: str) -> None:
        row = self._board.evidence.row(group)
        is_primary = row is not None and row.primary == database
        counter = Counter.PRIMARY_READS if is_primary else Counter.REPLICA_READS
        self._metrics.count(counter)

    async def ask(
        self, group: str, database: str, term: int
    ) -> tuple[float, EndpointStatus | None]:
        """Ask the primary, or join a question that is sent from now on."""
        now = self._clock()
        question = self._questions.get(database)
        if question is not None and question.asked_at < now:
            await asyncio.wait([question.answer])
            question = self._questions.get(database)
        if question is None or question.answer.done():
            task = asyncio.get_running_loop().create_task(self._status(database))
            question = _Question(self._clock(), task)
            self._questions[database] = question
            task.add_done_callback(lambda _: self._questions.pop(database, None))
        status = await asyncio.shield(question.answer)
        match self._board.verdict(group, term):
            case Verdict.ACKNOWLEDGE:
                return question.asked_at, status
            case Verdict.NEED_TWO_LOGS if status and await self._is_in_force(
                group, term
            ):
                return question.asked_at, status
        return question.asked_at, None

    async def _is_in_force(self, group: str, term: int) -> bool:
        """Tell whether two databases are still in a term, without evidence.

        A later term opens only once two of the three have accepted it, so then none
        had opened when this was asked.
        """
        names = [one.name for one in self._databases.of_group(group)]
        statuses = await asyncio.gather(*(self._status(name) for name in names))
        in_term = [status for status in statuses if status and status.term == term]
        return len(in_term) >= LOG_QUORUM

    async def _status(self, database: str) -> EndpointStatus | None:
        place = self._databases.place(database)
        if place is None:
            return None
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                return await place.endpoint.status()
        except (PortError, TimeoutError):
            return None

    async def _confirm(self, group: str, position: Position, deadline: float) -> bool:
        """Wait until two logs of the group hold a position, or the deadline."""
        names = [one.name for one in self._databases.of_group(group)]
        pause = MIN_CONFIRM_STEP_SECONDS
        while self._clock() < deadline:
            answers = await asyncio.gather(*(self._status(name) for name in names))
            statuses = [status for status in answers if status is not None]
            if is_in_two_logs(position, statuses):
                return True
            if any(status.term > position.term for status in statuses):
                return False
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_CONFIRM_STEP_SECONDS)
        return False


def _mark_sent(flight: Flight, attempt: AttemptRecorder) -> None:
    flight.mark_sent()
    attempt.mark_sent()
