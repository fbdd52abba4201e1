"""Place statements, run them on pooled connections and record their replies.

All that `SessionService` does with a database goes through this module.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from beryltiller.core.position import Position
from beryltiller.sessions.clocks import Clock
from beryltiller.sessions.connections.connection_pool import ConnectionPool
from beryltiller.sessions.connections.pooled_connection import PooledConnection
from beryltiller.sessions.databases.catalog import Configuration, Route
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.placement import Placement, Placer, ReadRequirement
from beryltiller.sessions.errors import (
    BrokenError,
    NotSentError,
    ReplyTooLargeError,
    SessionError,
    SetUpLostError,
    SetUpRefusedError,
    TransactionEndedError,
)
from beryltiller.sessions.running.admission import StatementAdmission
from beryltiller.sessions.running.answer_records import (
    is_commit_of_write,
    record_lost_answer,
    record_reply,
    record_silence,
)
from beryltiller.sessions.running.commits import CommitReports
from beryltiller.sessions.running.long_transactions import LongTransactions
from beryltiller.sessions.running.read_log import ReadLog
from beryltiller.sessions.running.set_up_refusals import SetUpRefusalLog
from beryltiller.sessions.session import AcquiredConnection, Session, Transaction
from beryltiller.sessions.statements import (
    Code,
    Commit,
    Reply,
    Request,
    SessionState,
)

# A statement that waits longer than this share of the route's latency objective is
# refused, so that its caller still has time to try another proxy.
QUEUE_SHARE_OF_OBJECTIVE = 0.5
# Time between two attempts of a statement that is retried.
RETRY_PAUSE_SECONDS = 0.03
# Time between two attempts of a statement of an open transaction. It is shorter, so
# that open transactions obtain a place in the database's queue before new statements.
TRANSACTION_RETRY_PAUSE_SECONDS = 0.01
_RETRIED_CODES = frozenset({Code.BUSY, Code.CONNECTION_LIMIT, Code.LAGGING})
# A database that left a statement unanswered counts as silent if it had this long, or
# half of the route's timeout if that is less: a statement may be sent late.
MIN_SILENCE_SECONDS = 0.25
# No survey, which queries the log positions that the databases have received, is made
# for a read that must see commits acknowledged less than this long ago.
SURVEY_MIN_AGE_SECONDS = 0.1

Attempt = Callable[[NotSentError], Awaitable[Reply | NotSentError]]


class PeerCoverSource(Protocol):
    """Peers that know which log position covers all acknowledged commits."""

    async def prepare(self, group: Group, moment: float) -> None:
        """Learn what covers the commits before `moment`, if the primary is far."""
        ...


class StatementExecutor:
    """Place and run the statements of sessions.

    Use it on a single event loop.
    """

    def __init__(
        self, fleet: Fleet, placer: Placer, clock: Clock, read_log: ReadLog
    ) -> None:
        """Use the fleet's databases, chosen by `placer`."""
        self._fleet = fleet
        self._placer = placer
        self._clock = clock
        self._read_log = read_log
        self._commits = CommitReports(fleet, clock)
        self._refusal_log = SetUpRefusalLog()
        self._peer_covers: PeerCoverSource | None = None
        self.admission = StatementAdmission(fleet, clock)
        self.long_transactions = LongTransactions(clock, self.roll_back)

    def set_peer_covers(self, peer_covers: "PeerCoverSource") -> None:
        """Ask peers for the position that a read must see before asking databases."""
        self._peer_covers = peer_covers

    def now(self) -> float:
        """Return the present time in seconds on the session service's clock."""
        return self._clock()

    def group(self, service: str) -> Group:
        """Return a service's group of databases, creating it if necessary."""
        return self._fleet.group(service)

    def route(self, database_name: str) -> Route | None:
        """Return the route for a database name in the active configuration."""
        configuration: Configuration | None = self._fleet.configuration
        if configuration is None:
            return None
        return configuration.routes.get(database_name)

    def connection_pool(
        self, placement: Placement, organisation: str
    ) -> ConnectionPool:
        """Return an organisation's connection pool of the placement's database."""
        return self._fleet.connection_pool(placement.member.database, organisation)

    def queue_seconds(self, route: Route, deadline: float) -> float:
        """Return for how many seconds a statement may wait before it is sent."""
        queue = route.objective_seconds * QUEUE_SHARE_OF_OBJECTIVE
        return min(queue, deadline - self._clock())

    async def place_leader(self, group: Group, tried: set[str]) -> Placement | None:
        """Place a statement at the leader; search for one if none is usable."""
        if not self._commits.may_send(group):
            return None
        placement = self._placer.place_leader(group, self._clock(), tried)
        if placement is not None:
            return placement
        await self._fleet.find_leader(group)
        return self._placer.place_leader(group, self._clock(), tried)

    async def place_read(
        self,
        group: Group,
        requirement: ReadRequirement,
        tried: set[str],
        organisation: str,
    ) -> Placement | None:
        """Place a read of an organisation at a database that is recent enough.

        If no database can serve it, and no known position covers the commits that it
        must see, the group is surveyed once and the placement tried again.
        """
        if self._peer_covers is not None:
            await self._peer_covers.prepare(group, requirement.acknowledged_before)
        placement = self._place_read(group, requirement, tried, organisation)
        if (
            placement is not None
            or group.covering_position(requirement.acknowledged_before) is not None
        ):
            return placement
        if requirement.acknowledged_before >= self._clock() - SURVEY_MIN_AGE_SECONDS:
            return None
        await self._fleet.survey(group, requirement.acknowledged_before)
        return self._place_read(group, requirement, tried, organisation)

    def _place_read(
        self,
        group: Group,
        requirement: ReadRequirement,
        tried: set[str],
        organisation: str,
    ) -> Placement | None:
        return self._placer.place_read(
            group,
            requirement,
            self._clock(),
            tried,
            lambda member: self._fleet.supply(member, organisation),
        )

    async def retry(
        self, route: Route, arrived: float, reason: NotSentError, attempt: Attempt
    ) -> Reply:
        """Call `attempt` until it returns a reply, of a success or a failure.

        Raise the last reason once the retry time of the route is over, or if its code
        is not retried. A statement that no database had capacity for, or whose data had
        not been replicated yet, may succeed a moment later, whereas its caller has only
        a few attempts to spend on other proxies. Each attempt receives the last reason
        and returns that same object if it found no database to try, which also ends
        the retries.
        """
        while True:
            outcome = await attempt(reason)
            if isinstance(outcome, Reply):
                return outcome
            is_final = outcome is reason or outcome.code not in _RETRIED_CODES
            reason = outcome
            elapsed = self._clock() - arrived
            if is_final or elapsed + RETRY_PAUSE_SECONDS > _retry_seconds(route):
                raise reason
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def acquire_connection(
        self, session: Session, placement: Placement, pool: ConnectionPool, wait: float
    ) -> PooledConnection:
        """Acquire a connection for the session, waiting for at most `wait` seconds.

        If none is idle, a transaction that has held one for too long is rolled back.
        """
        self.long_transactions.end_idle(placement.member.database.identifier, pool)
        return await self.admission.acquire_connection(session, placement, pool, wait)

    async def run(
        self,
        session: Session,
        group: Group,
        acquired: AcquiredConnection,
        request: Request,
        deadline: float,
    ) -> Reply:
        """Run a statement on the connection and record what the reply says.

        Raise `BrokenError` if the connection breaks or no reply arrives by the
        deadline, `SetUpLostError` if that happens before the statement is sent, and
        `SessionError` as for a failed statement if the reply is too large. The
        connection is closed then.
        """
        member = acquired.placement.member
        asked_at = acquired.asked_at = self._clock()
        member.record_sent(asked_at)
        is_answered = False
        try:
            async with asyncio.timeout(max(0.0, deadline - asked_at)):
                reply = await acquired.connection.run(
                    request, session.values, session.prepared
                )
            is_answered = True
        except TimeoutError as error:
            acquired.pool.discard(acquired.connection)
            if self._clock() >= asked_at + self._silence_seconds(session):
                record_silence(session, acquired, request, self._clock())
            reason = "the database did not reply before the deadline"
            raise _lost_answer(acquired.connection, reason) from error
        except ReplyTooLargeError as error:
            # The same statement would break a connection to each other database too.
            acquired.pool.discard(acquired.connection)
            raise SessionError(Code.FAILED, error.reason) from error
        except BrokenError as error:
            acquired.pool.discard(acquired.connection)
            record_lost_answer(acquired.placement, asked_at, self._clock())
            raise _lost_answer(acquired.connection, error.reason) from error
        except SetUpRefusedError as error:
            if session.transaction is None:
                acquired.pool.release(acquired.connection)
            else:
                acquired.pool.discard(acquired.connection)
            self._refusal_log.record(member.database, error, self._clock())
            raise
        except BaseException:
            acquired.pool.discard(acquired.connection)
            raise
        finally:
            member.record_end(self._clock(), is_answered)
        if reply.code is None and is_commit_of_write(session, request):
            self._check_commit(group, acquired, reply)
        record_reply(session, group, acquired, request, reply, self._clock())
        return reply

    def _check_commit(
        self, group: Group, acquired: AcquiredConnection, reply: Reply
    ) -> None:
        """Raise `BrokenError` if a change of primary under way may drop a commit."""
        try:
            self._commits.raise_if_dropped(group, acquired.placement.member, reply)
        except BrokenError:
            acquired.pool.discard(acquired.connection)
            raise

    async def confirm_commit(
        self, group: Group, acquired: AcquiredConnection, reply: Reply, deadline: float
    ) -> None:
        """Wait until a commit may be reported, or raise `BrokenError`.

        Call this once the connection and the place at the database are released.
        """
        await self._commits.confirm(group, acquired, reply, deadline)

    async def run_in_transaction(
        self,
        session: Session,
        group: Group,
        acquired: AcquiredConnection,
        request: Request,
        deadline: float,
        retry_until: float,
    ) -> Reply:
        """Run a statement of a transaction that is open on the connection.

        A database without capacity refuses a statement without running it, and leaves
        its transaction open. The statement is then sent again until `retry_until`, as
        failing the transaction would waste the work that it has done. Raise
        `TransactionEndedError` if the database has ended the transaction.
        """
        while True:
            reply = await self.run(session, group, acquired, request, deadline)
            _check_still_open(acquired, request, reply)
            can_retry = reply.code is Code.BUSY and reply.state is SessionState.OPEN
            can_retry = can_retry and not session.is_abandoned
            retry_at = self._clock() + TRANSACTION_RETRY_PAUSE_SECONDS
            if not can_retry or retry_at >= retry_until:
                return reply
            await asyncio.sleep(TRANSACTION_RETRY_PAUSE_SECONDS)

    def _silence_seconds(self, session: Session) -> float:
        """Return how long a database must be silent to count as such."""
        transaction = session.transaction
        route = transaction.route if transaction else self.route(session.database_name)
        if route is None:
            return MIN_SILENCE_SECONDS
        return min(MIN_SILENCE_SECONDS, route.timeout_seconds / 2)

    def log_read(
        self,
        request: Request,
        group: Group,
        placement: Placement,
        requirement: ReadRequirement,
        reply: Reply,
    ) -> None:
        """Log a read that has run, with the evidence on which its answer counts."""
        self._read_log.record(
            request.identifier, group, placement, requirement, reply, self._clock()
        )

    async def prove_term(
        self,
        group: Group,
        member: Member,
        position: Position | None,
        requirement: ReadRequirement,
        deadline: float,
    ) -> None:
        """Wait for proof that a read ran on the log of the primary in force.

        `position` is the one in the answer of `member`. The proof must be recent enough
        for `requirement`, and be of the term in which the database leads. Raise
        `NotSentError` if there is none.
        """
        moment = requirement.acknowledged_before
        if not group.is_term_proved(moment):
            await self._fleet.prove_term(group, moment, deadline - self._clock())
        if not group.is_answer_proved(member, position, moment):
            raise NotSentError(Code.ABORTED, "the primary's term could not be proved")

    async def roll_back(self, transaction: Transaction) -> None:
        """Roll back at the database and release the transaction's connection."""
        self.long_transactions.remove(transaction)
        acquired, transaction.acquired = transaction.acquired, None
        if acquired is None:
            return
        try:
            async with asyncio.timeout(transaction.route.timeout_seconds):
                reply = await acquired.connection.roll_back()
        except (SessionError, TimeoutError):
            acquired.pool.discard(acquired.connection)
            return
        release_acquired(acquired, reply)


def _retry_seconds(route: Route) -> float:
    """Return for how many seconds after arrival a statement is retried."""
    objective = route.objective_seconds * QUEUE_SHARE_OF_OBJECTIVE
    return min(objective, route.timeout_seconds)


def release_acquired(acquired: AcquiredConnection, reply: Reply) -> None:
    """Release a connection after its last reply; close it unless it is idle."""
    if reply.state is SessionState.IDLE:
        acquired.pool.release(acquired.connection)
    else:
        acquired.pool.discard(acquired.connection)


def _check_still_open(
    acquired: AcquiredConnection, request: Request, reply: Reply
) -> None:
    """Close the connection if the next statement would run outside its transaction."""
    if reply.state is SessionState.IDLE and not isinstance(request.statement, Commit):
        acquired.pool.discard(acquired.connection)
        raise TransactionEndedError(reply.code)


def may_run_elsewhere(code: Code) -> bool:
    """Return True if a refused statement has not run and may run elsewhere."""
    return code.has_not_run and code is not Code.NO_SUCH_STATEMENT


def _lost_answer(connection: PooledConnection, reason: str) -> SessionError:
    """Return the error of a statement without an answer, which may have run or not."""
    if connection.is_setting_up:
        return SetUpLostError(reason)
    return BrokenError(reason)
