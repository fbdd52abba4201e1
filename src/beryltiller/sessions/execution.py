"""Run statements on lent connections, and take in what their answers tell.

Everything that the service of sessions does with a database goes through here.
"""

import asyncio
from collections.abc import Awaitable, Callable

from beryltiller.sessions.catalog import Configuration, Route
from beryltiller.sessions.errors import BrokenError, NotSentError, SessionError
from beryltiller.sessions.fleet import Fleet
from beryltiller.sessions.groups import Group, LeaderTerm
from beryltiller.sessions.lending import Lender, Lent
from beryltiller.sessions.member import Member
from beryltiller.sessions.placement import Placement, Placer, ReadRequirement
from beryltiller.sessions.session import Pin, Session, Transaction
from beryltiller.sessions.statements import (
    Code,
    Commit,
    Execute,
    Reply,
    Request,
    Rollback,
    SessionState,
    Write,
)

# A statement that waits longer than this share of the objective is refused, so that
# its caller can still be served elsewhere.
QUEUE_SHARE_OF_OBJECTIVE = 0.5
RETRY_PAUSE_SECONDS = 0.03
_SERVED_SOON = frozenset({Code.BUSY, Code.CONNECTION_LIMIT, Code.LAGGING})
# A read that must be newer than this cannot be placed by what replicas have received.
SURVEY_MIN_AGE_SECONDS = 0.1

Clock = Callable[[], float]
Attempt = Callable[[NotSentError], Awaitable[Reply | NotSentError]]


class Executor:
    """Place and run statements of sessions; on one event loop."""

    def __init__(self, fleet: Fleet, placer: Placer, clock: Clock) -> None:
        """Run on the fleet's databases."""
        self._fleet = fleet
        self._placer = placer
        self._clock = clock

    def now(self) -> float:
        """Return the clock's reading."""
        return self._clock()

    def group(self, service: str) -> Group:
        """Return a service's group."""
        return self._fleet.group(service)

    def route(self, database_name: str) -> Route | None:
        """Return the route of a name in the configuration in force."""
        configuration: Configuration | None = self._fleet.configuration
        if configuration is None:
            return None
        return configuration.routes.get(database_name)

    def lender(self, placement: Placement) -> Lender:
        """Return what lends connections to the placement's database."""
        return self._fleet.lender(placement.member.database)

    def queue_seconds(self, route: Route, deadline: float) -> float:
        """Return how long a statement may wait before it is sent."""
        queue = route.objective_seconds * QUEUE_SHARE_OF_OBJECTIVE
        return min(queue, deadline - self._clock())

    async def place_leader(self, group: Group, tried: set[str]) -> Placement | None:
        """Place at the leader; ask who leads when none is known to work."""
        placement = self._placer.place_leader(group, self._clock(), tried)
        if placement is not None:
            return placement
        await self._fleet.find_leader(group)
        return self._placer.place_leader(group, self._clock(), tried)

    async def place_read(
        self, group: Group, need: ReadRequirement, tried: set[str]
    ) -> Placement | None:
        """Place a read; without a leader, ask the other databases where they are."""
        placement = self._place_read(group, need, tried)
        if (
            placement is not None
            or group.covering_position(need.acknowledged_before) is not None
        ):
            return placement
        if need.acknowledged_before >= self._clock() - SURVEY_MIN_AGE_SECONDS:
            return None
        await self._fleet.survey(group)
        return self._place_read(group, need, tried)

    def _place_read(
        self, group: Group, need: ReadRequirement, tried: set[str]
    ) -> Placement | None:
        now = self._clock()
        return self._placer.place_read(group, need, now, tried, self._fleet.supply)

    async def try_again(
        self, route: Route, arrived: float, reason: NotSentError, attempt: Attempt
    ) -> Reply:
        """Make attempts for a little while; raise why none was served.

        What no database had room for, or had not received yet, may be served a moment
        later, while its caller would spend one of few attempts on another proxy. An
        attempt is given the last reason, and returns it when it found nothing to try.
        """
        while True:
            outcome = await attempt(reason)
            if isinstance(outcome, Reply):
                return outcome
            is_hopeless = outcome is reason or outcome.code not in _SERVED_SOON
            reason = outcome
            since = self._clock() - arrived
            if is_hopeless or since + RETRY_PAUSE_SECONDS > _retry_seconds(route):
                raise reason
            await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def lend(
        self, member: Member, lender: Lender, session: Session, wait: float
    ) -> Lent:
        """Return a connection for the session, within `wait` seconds."""
        try:
            return await lender.lend(session.values, wait)
        except NotSentError as error:
            if error.code not in (Code.CONNECTION_LIMIT, Code.BUSY):
                member.record_failure(self._clock())
            raise

    async def run(
        self,
        session: Session,
        group: Group,
        pin: Pin,
        request: Request,
        deadline: float,
    ) -> Reply:
        """Run on the connection and take in what the answer tells of the group.

        A connection that breaks, or whose answer is not there in time, is closed.
        """
        member = pin.placement.member
        asked_at = self._clock()
        member.record_sent(asked_at)
        is_answered = False
        try:
            async with asyncio.timeout(max(0.0, deadline - asked_at)):
                reply = await pin.lent.run(request, session.values, session.prepared)
            is_answered = True
        except TimeoutError as error:
            pin.lender.drop(pin.lent)
            self._fleet.failed(member)
            if _is_commit_of_write(session, request):
                member.record_unacknowledged_write(asked_at, self._clock())
            raise BrokenError("the database did not answer in time") from error
        except BrokenError:
            pin.lender.drop(pin.lent)
            self._fleet.failed(member)
            raise
        except BaseException:
            pin.lender.drop(pin.lent)
            raise
        finally:
            member.record_end(self._clock(), is_answered)
        self._take_in(session, group, member, request, reply, asked_at)
        return reply

    def _take_in(
        self,
        session: Session,
        group: Group,
        member: Member,
        request: Request,
        reply: Reply,
        asked_at: float,
    ) -> None:
        group.record_position(member, reply.position, asked_at)
        now = self._clock()
        match reply.code:
            case None:
                member.record_latency(now - asked_at)
                if _is_commit_of_write(session, request):
                    group.record_commit(member, asked_at, reply.position)
            case Code.LAGGING:
                member.record_lag_refusal(now)
            case Code.READ_ONLY if member is group.leader:
                group.record_lead_denied(member)

    async def prove(
        self, group: Group, tenure: LeaderTerm, need: ReadRequirement, deadline: float
    ) -> None:
        """Wait until the term in which a read ran is proved up to the needed moment.

        Evidence counts only if the same database has led in the same term throughout.
        """
        if not group.is_term_proved(need.acknowledged_before):
            wait = deadline - self._clock()
            await self._fleet.prove(group, need.acknowledged_before, wait)
        if (
            not group.is_term_proved(need.acknowledged_before)
            or group.leader_term != tenure
        ):
            raise NotSentError(Code.ABORTED, "the primary's term could not be proved")

    async def undo(self, transaction: Transaction) -> None:
        """Roll back at the database, and return the connection."""
        pin, transaction.pin = transaction.pin, None
        if pin is None:
            return
        try:
            async with asyncio.timeout(transaction.route.timeout_seconds):
                (reply,) = await pin.lent.ask((Request(Rollback()),))
        except (SessionError, TimeoutError):
            pin.lender.drop(pin.lent)
            return
        return_pin(pin, reply)


def _retry_seconds(route: Route) -> float:
    """Return until when after its arrival a statement is tried again."""
    objective = route.objective_seconds * QUEUE_SHARE_OF_OBJECTIVE
    return min(objective, route.timeout_seconds)


def return_pin(pin: Pin, reply: Reply) -> None:
    """Return a connection after its last reply; one not idle is closed."""
    if reply.state is SessionState.IDLE:
        pin.lender.give_back(pin.lent)
    else:
        pin.lender.drop(pin.lent)


def may_run_elsewhere(code: Code) -> bool:
    """Tell whether a statement refused so has not run, and another may serve it."""
    return code.has_not_run and code is not Code.NO_SUCH_STATEMENT


def _is_commit_of_write(session: Session, request: Request) -> bool:
    match request.statement:
        case Commit():
            transaction = session.transaction
            return transaction is not None and transaction.has_written
        case Write() | Execute():
            return session.transaction is None and session.is_write(request.statement)
        case _:
            return False
