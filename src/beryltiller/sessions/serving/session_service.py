"""The session service: dispatches each statement of a session by its kind."""

from dataclasses import replace
from typing import Protocol

from beryltiller.quotas.rules import RetryAfter
from beryltiller.sessions.clocks import Clock
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.forwarding.forwarded_sessions import (
    ForwardedSessions,
    SendReply,
)
from beryltiller.sessions.forwarding.forwarding_client import ForwardingClient
from beryltiller.sessions.organisations import Credential, Organisation
from beryltiller.sessions.running.execution import (
    PeerCoverSource,
    StatementExecutor,
)
from beryltiller.sessions.running.read_log import ReadLog
from beryltiller.sessions.running.single_statements import SingleStatementRunner
from beryltiller.sessions.running.transactions import SessionTransactionRunner
from beryltiller.sessions.serving.isolation import IsolationMonitor
from beryltiller.sessions.serving.memory_budget import (
    DEFAULT_TOTAL_BYTES,
    MemoryAccount,
    MemoryBudget,
)
from beryltiller.sessions.session import STATE_PURPOSE, Session
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

# Refusals that any proxy would give, so they say nothing about this proxy's health.
_CALLER_ERRORS = frozenset(
    {Code.MALFORMED, Code.NO_SUCH_STATEMENT, Code.NO_ROUTE, Code.DENIED}
)
# A transaction whose first statement comes later than this after its BEGIN is admitted
# again. Otherwise transactions that were begun over a long time could all be sent to
# databases within one window of the quota.
MAX_START_SECONDS = 0.1


class QuotaGate(Protocol):
    """The admission of operations by the quota of their organisation."""

    async def admit(
        self, organisation: Organisation, deadline_seconds: float
    ) -> RetryAfter | None:
        """Return None to admit an operation, or its rejection.

        The answer comes within `deadline_seconds`.
        """
        ...


class SessionService:
    """The service that runs the statements of callers' sessions.

    Use it on a single event loop.
    """

    def __init__(
        self,
        fleet: Fleet,
        placer: Placer,
        monitor: IsolationMonitor,
        clock: Clock,
        read_log: ReadLog | None = None,
        max_state_bytes: int = DEFAULT_TOTAL_BYTES,
        quotas: QuotaGate | None = None,
    ) -> None:
        """Use the fleet's databases and report each outcome to `monitor`.

        Without `read_log`, reads are not logged. The values and prepared statements of
        all sessions take at most `max_state_bytes`, and so do statements that peers
        forward. Each operation of an organisation with a quota is admitted by
        `quotas`, if given.
        """
        self._monitor = monitor
        self._fleet = fleet
        self._clock = clock
        self._executor = StatementExecutor(fleet, placer, clock, read_log or ReadLog())
        self._transactions = SessionTransactionRunner(self._executor)
        self._single_statements = SingleStatementRunner(self._executor)
        self._budget = MemoryBudget(STATE_PURPOSE, max_state_bytes, clock)
        self._max_bytes = max_state_bytes
        self._refuses_transactions = False
        self._quotas = quotas

    @property
    def state_bytes(self) -> int:
        """Return the memory that is counted for the state of all sessions."""
        return self._budget.used_bytes

    def forward_to(
        self, client: ForwardingClient, peer_covers: PeerCoverSource
    ) -> None:
        """Use `client` from now on for statements of services that are forwarded.

        Reads that run here ask `peer_covers` for the log position that they must see.
        """
        self._single_statements.forward_to(client)
        self._transactions.forward_to(client)
        self._executor.set_peer_covers(peer_covers)

    def enforce_quotas(self, quotas: QuotaGate) -> None:
        """Let `quotas` admit each operation of an organisation with a quota."""
        self._quotas = quotas

    def forwarded_sessions(self, send_reply: SendReply) -> ForwardedSessions:
        """Return what runs the statements of peers, and forwards none of them."""
        return ForwardedSessions(
            SingleStatementRunner(self._executor),
            SessionTransactionRunner(self._executor),
            self._fleet,
            send_reply,
            self._clock,
            self._max_bytes,
        )

    def refuse_transactions(self) -> None:
        """Begin no further transactions, as there is no time left for them."""
        self._refuses_transactions = True

    def open_session(self, database_name: str, key: str = "") -> Session | Code:
        """Return a new session, or the code with which the caller is refused.

        That is `NO_ROUTE` if no route has the database name, and `DENIED` if the key
        gives no access to it.
        """
        if self._executor.route(database_name) is None:
            return Code.NO_ROUTE
        session = Session(
            database_name,
            credential=Credential.of_key(key),
            account=MemoryAccount(self._budget),
        )
        return Code.DENIED if self.is_denied(session) else session

    def is_denied(self, session: Session) -> bool:
        """Return True if the session's key gives no access any more.

        A key that has passed to another organisation gives access again outside of a
        transaction, whose connection belongs to the former one.
        """
        configuration = self._fleet.configuration
        if configuration is None or session.checked_version == configuration.version:
            return False
        route = configuration.routes.get(session.database_name)
        if route is None and session.transaction is not None:
            # The transaction goes on without its route, but not without its key.
            route = session.transaction.route
        if route is None:
            # Each statement is refused for that reason.
            return False
        name = configuration.caller_organisation(route, session.credential)
        if name is None:
            return True
        if name != session.organisation:
            if session.transaction is not None:
                return True
            session.organisation = name
        session.checked_version = configuration.version
        return False

    async def answer(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        """Run one statement and return its reply.

        The caller chose `identifier` for the statement; `arrived` is when it arrived,
        in seconds on the service's clock.
        """
        if self.is_denied(session):
            return await self._deny(session)
        reply = await self._answer(session, identifier, statement, arrived)
        session.state = reply.state
        # An abandoned statement says nothing of the databases.
        if not session.is_abandoned and not _is_caller_error(statement, reply):
            self._monitor.record_outcome(reply.is_success, self._clock())
        if reply.position is not None:
            session.position = reply.position
        return reply

    def abandon(self, session: Session) -> None:
        """Take a statement of the session that was not sent yet out of the queues.

        Call it if the caller disconnects while a statement is in progress.
        """
        session.abandon()

    async def end_session(self, session: Session) -> None:
        """Roll back an open transaction and forget the session's state.

        Call it once the caller has disconnected.
        """
        session.clear_state()
        await self._transactions.roll_back_open(session)

    async def expire_transaction(self, session: Session) -> None:
        """Roll back a transaction that was idle for too long.

        The session is FAILED until its caller sends a commit or a rollback.
        """
        if session.transaction is not None:
            await self._transactions.roll_back_open(session)
            session.state = SessionState.FAILED

    def give_up(self, session: Session, statement: Statement) -> Reply:
        """Return the reply to a statement in progress whose session ends now.

        Its connection to a database is closed, which rolls an open transaction back. So
        only a commit, or a write outside of a transaction, may have an effect.
        """
        transaction = session.transaction
        match statement:
            case Commit():
                may_be_kept = transaction is None or transaction.has_written
            case _:
                may_be_kept = transaction is None and session.is_write(statement)
        code = Code.UNKNOWN_OUTCOME if may_be_kept else Code.ABORTED
        return session.refuse(code, "the proxy is stopping")

    def max_transaction_idle_seconds(self) -> float:
        """Return for how many seconds a transaction may stay idle."""
        configuration = self._fleet.configuration
        return configuration.transaction_idle_seconds if configuration else 1.0

    async def _answer(
        self, session: Session, identifier: str, statement: Statement, arrived: float
    ) -> Reply:
        if session.state is SessionState.FAILED:
            return await self._answer_failed(session, statement)
        match statement:
            case Begin():
                return await self._begin(session, statement, arrived)
            case Commit():
                rejection = await self._reject_late_start(session, statement, arrived)
                if rejection is not None:
                    return rejection
                return await self._transactions.commit(session, identifier, arrived)
            case Rollback():
                return await self._transactions.rollback(session)
            case SetValue() | Prepare() | Deallocate():
                return session.apply_locally(statement)
            case Execute(name) if name not in session.prepared:
                return session.refuse(Code.NO_SUCH_STATEMENT, name)
            case Read() | Write() | Execute():
                return await self._run(session, identifier, statement, arrived)
            case _:
                return session.refuse(
                    Code.MALFORMED, "callers may not send this statement"
                )

    async def _begin(self, session: Session, begin: Begin, arrived: float) -> Reply:
        if self._refuses_transactions:
            return session.refuse(Code.BUSY, "the proxy is stopping")
        # A BEGIN within a transaction is refused for that reason, and takes nothing.
        organisation = self._limited_organisation(session)
        if organisation is not None and session.transaction is None:
            rejection = await self._reject_over_quota(session, organisation, arrived)
            if rejection is not None:
                return rejection
        reply = self._transactions.begin(session, begin.is_read_only, arrived)
        if session.transaction is not None and reply.is_success:
            session.transaction.admitted_at = self._clock()
        return reply

    async def _run(
        self,
        session: Session,
        identifier: str,
        statement: Read | Write | Execute,
        arrived: float,
    ) -> Reply:
        """Run a statement in the session's transaction, or as a single statement."""
        if session.transaction is not None:
            rejection = await self._reject_late_start(session, statement, arrived)
            if rejection is not None:
                return rejection
            return await self._transactions.run(session, identifier, statement, arrived)
        organisation = self._limited_organisation(session)
        if organisation is not None:
            rejection = await self._reject_over_quota(session, organisation, arrived)
            if rejection is not None:
                return rejection
        return await self._single_statements.run(
            session, identifier, statement, arrived
        )

    def _limited_organisation(self, session: Session) -> Organisation | None:
        """Return the organisation whose quota the session's operations take."""
        configuration = self._fleet.configuration
        if (
            self._quotas is None
            or configuration is None
            or configuration.organisations is None
        ):
            return None
        organisation = configuration.organisations.by_name.get(session.organisation)
        if organisation is None or organisation.quota is None:
            return None
        return organisation

    async def _reject_late_start(
        self, session: Session, statement: Statement, arrived: float
    ) -> Reply | None:
        """Return the rejection of a late first statement, or None to run a statement.

        Nothing of the transaction was sent yet, and it is over.
        """
        transaction = session.transaction
        if transaction is None or transaction.has_started:
            return None
        if self._clock() - transaction.admitted_at <= MAX_START_SECONDS:
            return None
        organisation = self._limited_organisation(session)
        if organisation is None:
            return None
        rejection = await self._reject_over_quota(session, organisation, arrived)
        if rejection is None:
            return None
        session.transaction = None
        is_commit = isinstance(statement, Commit)
        state = SessionState.IDLE if is_commit else SessionState.FAILED
        return replace(rejection, state=state)

    async def _reject_over_quota(
        self, session: Session, organisation: Organisation, arrived: float
    ) -> Reply | None:
        """Return the rejection of an operation, or None if its quota admits it."""
        route = self._executor.route(session.database_name)
        if self._quotas is None or route is None:
            # A statement without a route is refused for that reason.
            return None
        remaining = arrived + route.timeout_seconds - self._clock()
        retry = await self._quotas.admit(organisation, max(0.0, remaining))
        if retry is None:
            return None
        return session.refuse(Code.BUSY, retry.text)

    async def _deny(self, session: Session) -> Reply:
        """End an open transaction, and return the reply to a caller without access."""
        await self._transactions.roll_back_open(session)
        session.state = SessionState.IDLE
        return session.refuse(Code.DENIED, "the key gives no access")

    async def _answer_failed(self, session: Session, statement: Statement) -> Reply:
        match statement:
            case Rollback():
                await self._transactions.roll_back_open(session)
                session.state = SessionState.IDLE
                return session.accept()
            case Commit():
                await self._transactions.roll_back_open(session)
                session.state = SessionState.IDLE
                return session.refuse(Code.ABORTED, "the transaction was rolled back")
            case _:
                return session.refuse(
                    Code.MALFORMED, "the transaction must be rolled back"
                )


def _is_caller_error(statement: Statement, reply: Reply) -> bool:
    """Return True if the caller is the reason of a refusal, and not the databases."""
    if isinstance(statement, SetValue | Prepare) and not reply.is_success:
        return True
    return reply.code in _CALLER_ERRORS
