"""Serve the statements of sessions: each to what answers its kind."""

from beryltiller.sessions.execution import Clock, Executor
from beryltiller.sessions.fleet import Fleet
from beryltiller.sessions.isolation import IsolationMonitor
from beryltiller.sessions.placement import Placer
from beryltiller.sessions.session import Session
from beryltiller.sessions.single import SingleStatements
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Reply,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    Write,
)
from beryltiller.sessions.transacting import Transactions

# Refusals that every proxy would give.
_CALLERS_FAULTS = frozenset({Code.MALFORMED, Code.NO_SUCH_STATEMENT, Code.NO_ROUTE})


class SessionService:
    """Answer statements of sessions, on one event loop."""

    def __init__(
        self, fleet: Fleet, placer: Placer, monitor: IsolationMonitor, clock: Clock
    ) -> None:
        """Serve from the fleet's databases, and tell the monitor how it goes."""
        self._monitor = monitor
        self._fleet = fleet
        self._clock = clock
        self._executor = Executor(fleet, placer, clock)
        self._transactions = Transactions(self._executor)
        self._single = SingleStatements(self._executor)

    def open_session(self, database_name: str) -> Session | None:
        """Return a session, or None when no route has the name."""
        if self._executor.route(database_name) is None:
            return None
        return Session(database_name)

    async def answer(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        """Answer one statement that arrived at a moment."""
        reply = await self._answer(session, identifier, statement, arrived)
        session.state = reply.state
        if reply.code not in _CALLERS_FAULTS:
            self._monitor.record_outcome(reply.is_success, self._clock())
        if reply.position is not None:
            session.position = reply.position
        return reply

    async def end_session(self, session: Session) -> None:
        """Undo what is open, as after the caller left."""
        await self._transactions.end(session)

    async def expire(self, session: Session) -> None:
        """End a transaction that stayed idle for too long."""
        if session.transaction is not None:
            await self.end_session(session)
            session.state = SessionState.FAILED

    def idle_seconds(self) -> float:
        """Return how long a transaction may stay idle."""
        configuration = self._fleet.configuration
        return configuration.transaction_idle_seconds if configuration else 1.0

    async def _answer(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        if session.state is SessionState.FAILED:
            return await self._answer_failed(session, statement)
        match statement:
            case Begin(is_read_only):
                return self._transactions.begin(session, is_read_only, arrived)
            case Commit():
                return await self._transactions.commit(session, identifier, arrived)
            case Rollback():
                return await self._transactions.rollback(session)
            case SetValue() | Prepare() | Deallocate():
                return session.keep(statement)
            case Execute(name) if name not in session.prepared:
                return session.refuse(Code.NO_SUCH_STATEMENT, name)
            case Read() | Write() | Execute():
                if session.transaction is not None:
                    return await self._transactions.step(
                        session, identifier, statement, arrived
                    )
                return await self._single.answer(
                    session, identifier, statement, arrived
                )
            case _:
                return session.refuse(Code.MALFORMED, "not a caller's statement")

    async def _answer_failed(self, session: Session, statement: Statement) -> Reply:
        match statement:
            case Rollback():
                await self.end_session(session)
                session.state = SessionState.IDLE
                return session.accept()
            case Commit():
                await self.end_session(session)
                session.state = SessionState.IDLE
                return session.refuse(Code.ABORTED, "the transaction had failed")
            case _:
                return session.refuse(Code.MALFORMED, "the transaction has failed")
