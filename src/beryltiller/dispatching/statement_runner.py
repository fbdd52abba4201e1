"""Run statements: perform the I/O that `serving.serve` requests, on the event loop."""

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
from beryltiller.consistency.serving import Verdict as StatementVerdict
from beryltiller.consistency.session import Planner
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import EndpointStatus, PortError, Statement
from beryltiller.core.position import Position
from beryltiller.dispatching.databases import ConfiguredDatabase, Databases
from beryltiller.dispatching.dispatch_errors import NotRunError, UnknownOutcomeError
from beryltiller.dispatching.forwarding import Forwarder
from beryltiller.dispatching.in_flight import InFlightStatement, InFlightStatements
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.observability.hop_recorder import AttemptRecorder, HopRecorder
from beryltiller.observability.metrics import Counter, Metrics
from beryltiller.primaries.evidence import LOG_QUORUM, Verdict, is_in_two_logs

# The pause between two rounds of status requests while a write waits for a second log.
# It starts at the minimum and doubles up to the maximum.
MIN_CONFIRM_PAUSE_SECONDS = 0.005
MAX_CONFIRM_PAUSE_SECONDS = 0.08
STATUS_TIMEOUT_SECONDS = 1.0

ResultObserver = Callable[[str, str, Result], None]


@dataclass(slots=True)
class _StatusRequest:
    """A status request to a primary, shared by the reads that wait for its answer."""

    asked_at: float
    answer: "asyncio.Task[EndpointStatus | None]" = field(repr=False)


class StatementRunner:
    """Runs statements: sends them, waits for terms, and confirms their writes."""

    def __init__(
        self,
        planner: Planner,
        board: TermBoard,
        databases: Databases,
        forwarder: Forwarder,
        observe: ResultObserver,
        hop_recorder: HopRecorder,
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Set the objects used; `observe` takes a run's group, database and result."""
        self._planner = planner
        self._board = board
        self._databases = databases
        self._forwarder = forwarder
        self._observe = observe
        self._hop_recorder = hop_recorder
        self._metrics = metrics
        self._rng = rng
        self._clock = clock
        self._status_requests: dict[str, _StatusRequest] = {}
        self._in_flight = InFlightStatements()

    def cancel_replaced_writes(self, group: str, term: int) -> None:
        """Stop waiting for writes of a group in terms below `term`.

        Their primary has been replaced, so they can no longer be acknowledged.
        """
        self._in_flight.cancel_writes_before(group, term)

    def cancel_reads(self, database: str) -> None:
        """Stop waiting for reads at a database that does not answer status requests."""
        self._in_flight.cancel_reads(database)

    async def serve(self, request_id: str, caller: str, job: Job) -> StatementVerdict:
        """Run a statement, with its retries, and return the verdict for its caller."""
        self._board.update_planner(job.group)
        steps = serve(self._planner, job, self._clock(), self._rng)
        ticket = Ticket(request_id, caller, job.work.kind, job.work.deadline)
        runs = 0
        try:
            effect = next(steps)
            while True:
                runs += isinstance(effect, Run)
                reply = await self._perform(effect, job.group, ticket)
                self._board.update_planner(job.group)
                effect = steps.send(reply)
        except StopIteration as stopped:
            verdict: StatementVerdict = stopped.value
            self._metrics.count(Counter.RETRIES, max(runs - 1, 0))
            return verdict
        finally:
            steps.close()

    async def confirm_write(
        self,
        group: str,
        term: int,
        position: Position,
        deadline: float,
        is_unsafe: bool = False,
    ) -> bool:
        """Return True if a write that was answered in `term` may be acknowledged.

        If no evidence is in force, or if the write is unsafe to repeat, this waits
        until two databases' logs hold the write: such a write survives a failover.
        """
        verdict = self._board.verdict(group, term)
        if verdict is Verdict.REFUSE:
            return False
        if verdict is Verdict.ACKNOWLEDGE and not is_unsafe:
            return True
        is_in_quorum = await self._wait_for_log_quorum(group, position, deadline)
        self._metrics.count(Counter.QUORUM_WRITES, int(is_in_quorum))
        return is_in_quorum

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
                await self._board.wait_for_term(name, term, seconds)
                return Reply(self._clock(), sent_at)
            case AskPrimaryPosition(name, database, term):
                asked_at, status = await self.request_status(name, database, term)
                return Reply(self._clock(), asked_at, status)

    async def _run(
        self, group: str, database: str, statement: Statement, ticket: Ticket
    ) -> Result:
        configured = self._databases.find_configured(database)
        if configured is None:
            return Refused("unknown-database", database)
        result = await self._run_or_forward(configured, statement, ticket)
        self._observe(group, database, result)
        if not isinstance(result, Answered):
            return result
        if not statement.kind.is_write:
            self._count_read(group, database)
            return result
        position = result.answer.position
        is_unsafe = statement.kind is Kind.UNSAFE_WRITE
        may_acknowledge = await self.confirm_write(
            group, statement.term, position, ticket.deadline, is_unsafe
        )
        if may_acknowledge:
            return result
        self._metrics.count(Counter.LAPSED_WRITES)
        return Unconfirmed()

    async def _run_or_forward(
        self, configured: ConfiguredDatabase, statement: Statement, ticket: Ticket
    ) -> Result:
        """Run a statement at its database, or at a peer if this proxy cannot.

        Stop waiting if a write's primary is replaced, or if a read's database does
        not answer status requests.
        """
        address = (
            self._forwarder.choose_peer(configured)
            if self._needs_forward(configured)
            else ""
        )
        term = statement.term if statement.kind.is_write else 0
        name, group = configured.name, configured.group
        try:
            async with asyncio.timeout(None) as timeout:
                with self._in_flight.track(name, group, term, timeout) as in_flight:
                    if not address:
                        return await self._run_locally(
                            configured, statement, ticket, in_flight
                        )
                    in_flight.mark_sent()
                    return await self._forwarder.send(address, name, statement, ticket)
        except TimeoutError:
            reason = (
                "the primary was replaced" if term else "the database does not answer"
            )
            return Lost(reason) if in_flight.is_sent else Refused("term", reason)

    def _needs_forward(self, configured: ConfiguredDatabase) -> bool:
        if self._databases.find_connected(configured.name) is None:
            return True
        state = self._planner.group(configured.group)
        databases = state.view.databases if state else ()
        return any(
            one.name == configured.name and not one.is_reachable for one in databases
        )

    async def _run_locally(
        self,
        configured: ConfiguredDatabase,
        statement: Statement,
        ticket: Ticket,
        in_flight: InFlightStatement,
    ) -> Result:
        connected = self._databases.find_connected(configured.name)
        if connected is None:
            return Refused("no-connection", "no proxy that holds connections is known")
        try:
            with self._hop_recorder.record_attempt(
                statement.trace_parent, configured.name
            ) as attempt:
                answer = await connected.dispatcher.run(
                    ticket, statement, lambda: _mark_sent(in_flight, attempt)
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

    async def request_status(
        self, group: str, database: str, term: int
    ) -> tuple[float, EndpointStatus | None]:
        """Request the primary's status; concurrent calls share one request.

        A call never uses a request that was sent before the call: a write may have
        been acknowledged in between, and its position would be missing. It waits for
        the end of such a request and then uses the next one.

        Return the time when the request was sent, and the status. The status is None
        if there was no answer or if the primary may have been replaced.
        """
        now = self._clock()
        request = self._status_requests.get(database)
        if request is not None and request.asked_at < now:
            await asyncio.wait([request.answer])
            request = self._status_requests.get(database)
        if request is None or request.answer.done():
            task = asyncio.get_running_loop().create_task(self._fetch_status(database))
            request = _StatusRequest(self._clock(), task)
            self._status_requests[database] = request
            task.add_done_callback(lambda _: self._status_requests.pop(database, None))
        status = await asyncio.shield(request.answer)
        match self._board.verdict(group, term):
            case Verdict.ACKNOWLEDGE:
                return request.asked_at, status
            case Verdict.NEED_TWO_LOGS if status and await self._is_term_held_by_quorum(
                group, term
            ):
                return request.asked_at, status
        return request.asked_at, None

    async def _is_term_held_by_quorum(self, group: str, term: int) -> bool:
        """Return True if two databases are still in a term, without using evidence.

        A later term opens only once two of the three databases have accepted it. If
        two are still in this term, no later term had opened when they were asked.
        """
        names = [one.name for one in self._databases.of_group(group)]
        statuses = await asyncio.gather(*(self._fetch_status(name) for name in names))
        in_term = [status for status in statuses if status and status.term == term]
        return len(in_term) >= LOG_QUORUM

    async def _fetch_status(self, database: str) -> EndpointStatus | None:
        configured = self._databases.find_configured(database)
        if configured is None:
            return None
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                return await configured.endpoint.status()
        except (PortError, TimeoutError):
            return None

    async def _wait_for_log_quorum(
        self, group: str, position: Position, deadline: float
    ) -> bool:
        """Return True once two logs of the group hold a position.

        Return False at the deadline, or once a database is in a later term.
        """
        names = [one.name for one in self._databases.of_group(group)]
        pause = MIN_CONFIRM_PAUSE_SECONDS
        while self._clock() < deadline:
            answers = await asyncio.gather(
                *(self._fetch_status(name) for name in names)
            )
            statuses = [status for status in answers if status is not None]
            if is_in_two_logs(position, statuses):
                return True
            if any(status.term > position.term for status in statuses):
                return False
            await asyncio.sleep(pause)
            pause = min(2 * pause, MAX_CONFIRM_PAUSE_SECONDS)
        return False


def _mark_sent(in_flight: InFlightStatement, attempt: AttemptRecorder) -> None:
    in_flight.mark_sent()
    attempt.mark_sent()
