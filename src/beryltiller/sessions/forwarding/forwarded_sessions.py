"""Run the statements that other proxies forward to this one.

Each statement runs in a session of its own; that of a transaction is kept until the
transaction ends. What is forwarded here is never forwarded again.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.adapters.peer_requests import TRANSACTION_ENDED
from beryltiller.membership.members import Members
from beryltiller.membership.messages import (
    MAX_MESSAGE_BYTES,
    Message,
    PositionReply,
    PositionRequest,
    Refused,
    ReplyTo,
    SessionEnd,
    SessionReply,
    SessionStatement,
)
from beryltiller.observability import events, logs
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.forwarding import forwarding_codec as codec
from beryltiller.sessions.running.single_statements import SingleStatementRunner
from beryltiller.sessions.running.transactions import SessionTransactionRunner
from beryltiller.sessions.serving.memory_budget import DEFAULT_TOTAL_BYTES, text_bytes
from beryltiller.sessions.session import Session, Transaction
from beryltiller.sessions.statements import Code, Commit, Reply, SessionState

# The most statements of other proxies in execution, and transactions that they have
# open. Further ones are refused, and their senders try another holder.
MAX_RUNNING = 1_024
MAX_TRANSACTIONS = 1_024
# A sender ends an idle transaction at the idle limit. This much later the holder rolls
# it back, in case the sender has failed.
IDLE_MARGIN_SECONDS = 1.0
# The idle limit of transactions before a configuration is in force.
DEFAULT_IDLE_SECONDS = 3.0
# What a reply takes beside its rows.
REPLY_OVERHEAD_BYTES = 4_096

SendReply = Callable[[ReplyTo, Message], None]


@dataclass(slots=True)
class _HeldTransaction:
    """A transaction of another proxy, whose session is kept until it ends."""

    session: Session
    used_at: float
    is_busy: bool = False
    is_ended: bool = False


@dataclass(frozen=True, slots=True)
class _Running:
    """A statement of another proxy in execution, and the session that it runs in."""

    message: SessionStatement
    session: Session
    reply_to: ReplyTo
    size: int


@dataclass(slots=True)
class ForwardingCounts:
    """How many statements of others ran or were refused, for an operator."""

    statements: int = 0
    refused: int = 0
    transactions: int = 0
    expired: int = 0


class ForwardedSessions:
    """Runs what peers forward; use it on a single event loop."""

    def __init__(
        self,
        single_statements: SingleStatementRunner,
        transactions: SessionTransactionRunner,
        fleet: Fleet,
        send_reply: SendReply,
        clock: Callable[[], float],
        max_bytes: int = DEFAULT_TOTAL_BYTES,
    ) -> None:
        """Run with runners that forward nothing themselves.

        Statements in execution take at most `max_bytes` of memory; a single one is
        always served. Callers of many proxies could otherwise fill this one's memory.
        """
        self._single_statements = single_statements
        self._transactions = transactions
        self._fleet = fleet
        self._send_reply = send_reply
        self._clock = clock
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._open: dict[tuple[str, int], _HeldTransaction] = {}
        self._running: dict[asyncio.Task[None], _Running] = {}
        self._ending: set[asyncio.Task[None]] = set()
        self._is_draining = False
        self._is_ending = False
        self.counts = ForwardingCounts()

    @property
    def open_count(self) -> int:
        """Return how many statements run and how many transactions are open."""
        return len(self._running) + len(self._open)

    def receive(self, message: Message, reply_to: ReplyTo) -> bool:
        """Start to serve a peer's request; return False if it is another kind."""
        match message:
            case SessionStatement():
                self._receive_statement(message, reply_to)
            case SessionEnd(sender, number):
                self._spawn_end((sender, number), reply_to)
            case PositionRequest(group):
                self._send_reply(reply_to, self._position_reply(group))
            case _:
                return False
        return True

    def drain(self) -> None:
        """Refuse further statements, except those of transactions that are open."""
        self._is_draining = True

    def end_transactions(self) -> None:
        """Roll back all transactions, each after its statement in progress."""
        self._is_ending = True
        for key, held in tuple(self._open.items()):
            self._end(key, held)

    def expire(self, members: Members | None) -> None:
        """Roll back transactions that are idle for too long or whose sender is dead.

        Call it at short intervals, with the newest view of the members.
        """
        configuration = self._fleet.configuration
        idle = DEFAULT_IDLE_SECONDS
        if configuration is not None:
            idle = configuration.transaction_idle_seconds
        oldest = self._clock() - idle - IDLE_MARGIN_SECONDS
        gone = {each.address for each in members or () if not each.is_live}
        for key, held in tuple(self._open.items()):
            is_old = not held.is_busy and held.used_at < oldest
            if is_old or key[0].partition("/")[0] in gone:
                self.counts.expired += 1
                self._end(key, held)

    def give_up(self) -> None:
        """Reply to what is unanswered as far as its outcome is known.

        It is called when the process ends; connections of open transactions are closed.
        """
        for task, running in tuple(self._running.items()):
            task.cancel()
            self._send_reply(running.reply_to, _final_reply(running))

    def _receive_statement(self, message: SessionStatement, reply_to: ReplyTo) -> None:
        try:
            # Decoded first, as a malformed statement must not open a transaction.
            statement = codec.decode_statement(message.statement)
            if isinstance(statement.statement, Commit) and not message.transaction:
                raise codec.ForwardingError("a commit without a transaction")
            held = self._session_of(message)
        except codec.ForwardingError as error:
            self.counts.refused += 1
            self._send_reply(reply_to, Refused("malformed", str(error)))
            return
        if isinstance(held, Refused):
            self.counts.refused += 1
            self._send_reply(reply_to, held)
            return
        held.is_busy = True
        held.session.values = dict(message.values)
        held.session.prepared = dict(statement.prepared)
        self.counts.statements += 1
        running = _Running(message, held.session, reply_to, _size(message))
        self._used_bytes += running.size
        task = asyncio.get_running_loop().create_task(
            self._serve(running, held, statement)
        )
        self._running[task] = running
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[None]) -> None:
        """Forget a statement that has ended."""
        self._used_bytes -= self._running.pop(task).size

    def _session_of(self, message: SessionStatement) -> _HeldTransaction | Refused:
        """Return the session for a statement, or why it is refused unrun."""
        is_full = self._used_bytes + _size(message) > self._max_bytes
        if len(self._running) >= MAX_RUNNING or (self._running and is_full):
            return Refused("busy")
        key = (message.sender, message.transaction)
        if message.transaction and not message.begins:
            held = self._open.get(key)
            if held is None or held.is_ended:
                return Refused(TRANSACTION_ENDED)
            return Refused("busy") if held.is_busy else held
        if self._is_draining:
            return Refused("draining")
        if not self._is_known(message.route.service):
            return Refused("unknown", "the service is not in the configuration")
        held = _HeldTransaction(self._new_session(message), self._clock())
        if message.transaction:
            if len(self._open) >= MAX_TRANSACTIONS:
                return Refused("busy")
            if key in self._open:
                return Refused("malformed", "the transaction has begun already")
            self.counts.transactions += 1
            self._open[key] = held
        return held

    def _is_known(self, service: str) -> bool:
        """Return True if a service is configured; no state is kept of any other."""
        configuration = self._fleet.configuration
        return configuration is not None and service in configuration.services

    def _new_session(self, message: SessionStatement) -> Session:
        now = self._clock()
        route = codec.decode_route(message.route)
        session = Session(route.database_name, message.organisation)
        position = codec.decode_position(message.committed)
        if position is not None:
            session.committed[route.service] = position
        unplaced_at = codec.unplaced_moment(message, now)
        if unplaced_at is not None:
            session.unplaced_commits[route.service] = unplaced_at
        if message.transaction:
            begun_at = now - message.begun_ms / 1000
            requirement = session.read_requirement(route, begun_at)
            session.transaction = Transaction(
                route,
                message.is_read_only,
                requirement,
                begun_at,
                message.organisation,
            )
            session.state = SessionState.OPEN
        return session

    async def _serve(
        self,
        running: _Running,
        held: _HeldTransaction,
        statement: codec.DecodedStatement,
    ) -> None:
        message, session = running.message, running.session
        has_effect = isinstance(statement.statement, Commit) or (
            not message.transaction and session.is_write(statement.statement)
        )
        try:
            reply = await self._run(session, message, statement)
        except Exception as error:
            # Without a reply the sender knows that it may have run.
            logs.log(events.WorkFailed("forwarded statement", repr(error)))
            await self._transactions.roll_back_open(session)
            self._open.pop((message.sender, message.transaction), None)
            return
        finally:
            held.is_busy = False
            held.used_at = self._clock()
            # The next statement brings its own.
            session.values, session.prepared = {}, {}
        session.state = reply.state
        if message.transaction:
            await self._after_step((message.sender, message.transaction), held)
        is_open = session.transaction is not None
        may_be_kept = reply.is_success and has_effect
        self._send_reply(running.reply_to, _encoded(reply, is_open, may_be_kept))

    async def _after_step(self, key: tuple[str, int], held: _HeldTransaction) -> None:
        """Forget a transaction that has ended, and end one that has to."""
        if held.is_ended or self._is_ending:
            await self._transactions.roll_back_open(held.session)
        if held.session.transaction is None:
            self._open.pop(key, None)

    async def _run(
        self,
        session: Session,
        message: SessionStatement,
        statement: codec.DecodedStatement,
    ) -> Reply:
        arrived = self._clock() - message.spent_ms / 1000
        identifier = message.identifier
        if not message.transaction:
            route = codec.decode_route(message.route)
            return await self._single_statements.run_on_route(
                session, route, identifier, statement.statement, arrived
            )
        if isinstance(statement.statement, Commit):
            return await self._transactions.commit(session, identifier, arrived)
        return await self._transactions.run(
            session, identifier, statement.statement, arrived
        )

    def _spawn_end(self, key: tuple[str, int], reply_to: ReplyTo) -> None:
        held = self._open.get(key)
        if held is not None:
            self._end(key, held)
        self._send_reply(
            reply_to, SessionReply(SessionState.IDLE.value, signature=b"-")
        )

    def _end(self, key: tuple[str, int], held: _HeldTransaction) -> None:
        """Roll back a transaction, now or after its statement in progress."""
        held.is_ended = True
        if held.is_busy:
            return
        self._open.pop(key, None)
        task = asyncio.get_running_loop().create_task(
            self._transactions.roll_back_open(held.session)
        )
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    def _position_reply(self, service: str) -> Message:
        """Return the newest position that covers all commits before its age."""
        if not self._is_known(service):
            return Refused("unknown")
        sample = self._fleet.group(service).newest_proved_sample()
        if sample is None:
            return Refused("unknown")
        age = self._clock() - sample.asked_at
        # Rounded up, as the position must not cover more than it does.
        return PositionReply(str(sample.position), int(age * 1000) + 1)


def _size(message: SessionStatement) -> int:
    """Return the memory that the texts of a statement take."""
    statement, values = message.statement, message.values
    return text_bytes(
        *statement.texts, statement.prepared_shape, *values, *values.values()
    )


def _encoded(reply: Reply, is_open: bool, may_be_kept: bool) -> SessionReply:
    """Return the message with a reply, or with a failure if it is too large.

    A message over the limit would reach the sender as a refusal, and it would run the
    statement again. `may_be_kept` is True for a success with an effect that stays.
    """
    encoded = codec.encode_reply(reply, is_open)
    size = sum(len(row) + 8 for row in encoded.rows) + len(encoded.signature)
    size += len(encoded.text.encode())
    if size + REPLY_OVERHEAD_BYTES <= MAX_MESSAGE_BYTES:
        return encoded
    code = reply.code or (Code.UNKNOWN_OUTCOME if may_be_kept else Code.FAILED)
    text = "the reply is too large to be passed on"
    return codec.encode_reply(Reply(reply.state, code=code, text=text), is_open)


def _final_reply(running: _Running) -> SessionReply:
    """Return the reply to a statement whose connection closes as the process ends."""
    session, statement = running.session, running.message.statement
    transaction = session.transaction
    if statement.kind == "commit":
        may_be_kept = transaction is None or transaction.has_written
    else:
        is_write = statement.kind == "write" or statement.is_write
        may_be_kept = transaction is None and is_write
    code = Code.UNKNOWN_OUTCOME if may_be_kept else Code.ABORTED
    text = "the proxy that runs the statement is stopping"
    return codec.encode_reply(Reply(SessionState.IDLE, code=code, text=text), False)
