"""Server for callers, who connect over the platform's line protocol."""

import asyncio
import os
import resource
import socket
import sys
import time
from collections.abc import Callable

from beryltiller.observability import events, logs
from beryltiller.platform import wire, wire_replies
from beryltiller.platform.databases import enable_peer_timeout
from beryltiller.platform.line_splitter import LineSplitter
from beryltiller.platform.message_queue import MessageQueue
from beryltiller.sessions.serving.memory_budget import (
    DEFAULT_TOTAL_BYTES,
    MemoryAccount,
    MemoryBudget,
)
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import Code, Reply, SessionState

# The kernel queues this many new connections until the proxy accepts them.
BACKLOG_CONNECTIONS = 1024
# They are accepted before the first of them can be refused.
ACCEPTS_AT_ONCE = 16
# No caller reaches it: reading is paused earlier, or the message is too long.
MAX_RECEIVED_BYTES = 4 * wire.MAX_LINE_BYTES
# A caller that takes longer for one message holds memory that others need.
MAX_MESSAGE_SECONDS = 10.0
# The other descriptors of the process are left to databases, the store and files.
CALLERS_SHARE_OF_DESCRIPTORS = 0.875


def max_callers_of_process() -> int:
    """Return how many callers may be connected with the descriptors of the process."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return sys.maxsize
    return int(descriptors * CALLERS_SHARE_OF_DESCRIPTORS)


class CallerConnection(asyncio.Protocol):
    """A caller's connection; its messages are answered one after the other."""

    def __init__(self, service: SessionService, ingress: "Ingress") -> None:
        """Create a connection whose statements `service` answers.

        It registers itself with `ingress` while it is connected.
        """
        self._service = service
        self._ingress = ingress
        self._splitter = LineSplitter()
        self._messages = MessageQueue()
        self._received = MemoryAccount(ingress.received, MAX_RECEIVED_BYTES)
        self._is_writing_paused = False
        self._in_progress: wire.Query | None = None
        self._session: Session | None = None
        self._transport: asyncio.Transport | None = None
        self._work: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._message_timer: asyncio.TimerHandle | None = None

    @property
    def is_idle(self) -> bool:
        """Return True if no answer is outstanding and no transaction is open.

        A connection without a session is not idle.
        """
        if self._work is not None or self._messages or self._session is None:
            return False
        return self._session.state is SessionState.IDLE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        enable_peer_timeout(transport)
        if not self._ingress.add(self):
            self._refuse(Code.CONNECTION_LIMIT, "the proxy has no place for callers")

    def data_received(self, data: bytes) -> None:
        """Decode the received bytes, and queue and answer the complete messages."""
        now = self._ingress.clock()
        try:
            for line in self._splitter.feed(data):
                self._stop_message_timer()
                self._messages.add(wire.decode_message(line), now, len(line))
        except wire.WireError as error:
            self._messages.add(wire.Malformed(str(error)), now, 0)
        has_room = self._count_received()
        if not has_room and self._work is None:
            self._refuse(Code.BUSY, "the proxy has no memory left for messages")
            return
        if self._transport and (self._messages.is_full or not has_room):
            self._transport.pause_reading()
        self._start_message_timer()
        self._start_serving()

    def pause_writing(self) -> None:
        """Serve no further message until the caller has read more of its answers."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Serve the messages that have waited."""
        self._is_writing_paused = False
        self._start_serving()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the session, after the statement in progress if there is one.

        A statement that was not sent to a database yet is not sent any more.
        """
        self._transport = None
        self._messages.clear()
        self._received.clear()
        self._stop_timer()
        self._stop_message_timer()
        self._ingress.remove(self)
        if self._session is None:
            return
        if self._work is None:
            self._work = asyncio.create_task(self._service.end_session(self._session))
        else:
            self._service.abandon(self._session)

    def close(self) -> None:
        """Close the connection after the replies written so far are sent."""
        if self._transport is not None:
            self._transport.close()

    def give_up(self) -> None:
        """Answer all that is unanswered as far as its outcome is known, and close.

        It is called when the process ends, so that no caller is left without an answer.
        """
        if self._work is not None:
            self._work.cancel()
        if self._session is not None:
            for reply in self._final_replies(self._session):
                self._write(wire_replies.encode_reply(reply))
        self._messages.clear()
        self.close()

    def expire(self) -> None:
        """Roll back an open transaction, unless a statement is in progress.

        It is called when the caller was idle for too long, and at shutdown.
        """
        session = self._session
        if self._work is None and session and session.state is SessionState.OPEN:
            self._work = asyncio.create_task(self._expire(session))

    def end_if_denied(self) -> None:
        """Close the session if its key gives no access any more.

        A statement in progress is answered first; the next one is refused.
        """
        session = self._session
        if self._work is not None or session is None:
            return
        if not self._service.is_denied(session):
            return
        if session.state is SessionState.IDLE:
            self._refuse(Code.DENIED, "the key gives no access")
        else:
            self.expire()

    def _count_received(self) -> bool:
        """Count what is received and unanswered; return False if it is too much."""
        if self._transport is None:
            return True
        size = self._messages.size + self._splitter.incomplete_bytes
        return self._received.change(size - self._received.used_bytes) is None

    def _start_message_timer(self) -> None:
        """Wait for the end of an incomplete message for a limited time."""
        if self._splitter.incomplete_bytes and self._message_timer is None:
            loop = asyncio.get_running_loop()
            self._message_timer = loop.call_later(
                MAX_MESSAGE_SECONDS, self._end_incomplete
            )

    def _stop_message_timer(self) -> None:
        if self._message_timer is not None:
            self._message_timer.cancel()
            self._message_timer = None

    def _end_incomplete(self) -> None:
        """Close the connection, unless the caller had to wait for its answers."""
        self._message_timer = None
        is_read = self._transport is not None and self._transport.is_reading()
        if self._work is None and not self._messages and is_read:
            self._refuse(Code.TIMEOUT, "the end of a message did not arrive")
        else:
            self._start_message_timer()

    def _start_serving(self) -> None:
        if self._work is None and self._messages and not self._is_writing_paused:
            self._work = asyncio.create_task(self._serve())

    async def _serve(self) -> None:
        self._stop_timer()
        try:
            while self._messages and not self._is_writing_paused:
                message, arrived = self._messages.take()
                await self._serve_one(message, arrived)
                if self._session is not None and self._ingress.is_ending_transactions:
                    await self._service.expire_transaction(self._session)
        except Exception as error:
            # Close the connection, so that the caller is not left waiting. A closed
            # connection promises nothing about the outcome.
            logs.log(events.WorkFailed("caller's connection", repr(error)))
            self._messages.clear()
            self.close()
        finally:
            self._work = None
        if self._transport is None:
            if self._session is not None:
                await self._service.end_session(self._session)
            return
        self._read_on()
        self._start_idle_timer_or_close()

    def _read_on(self) -> None:
        """Read from the caller again if all that it has sent is answered."""
        self._count_received()
        if self._transport is None or self._messages:
            return
        if not self._transport.is_reading():
            self._transport.resume_reading()

    def _start_idle_timer_or_close(self) -> None:
        session = self._session
        if session is None:
            return
        if session.state is SessionState.OPEN:
            loop = asyncio.get_running_loop()
            idle = self._service.max_transaction_idle_seconds()
            self._idle_timer = loop.call_later(idle, self.expire)
        elif self._ingress.is_closing_idle and self.is_idle:
            self.close()

    async def _serve_one(self, message: wire.Message, arrived: float) -> None:
        match message:
            case wire.Startup() if self._session is not None:
                self._refuse(Code.MALFORMED, "the session has begun already")
            case wire.Startup(database_name, key):
                self._open(database_name, key)
            case wire.Malformed(reason):
                self._refuse(Code.MALFORMED, reason)
            case wire.Terminate():
                self._messages.clear()
                self.close()
            case wire.Query():
                if self._session is None:
                    self._refuse(Code.MALFORMED, "a statement before the startup")
                    return
                self._in_progress = message
                reply = await self._answer(self._session, message, arrived)
                self._in_progress = None
                self._write(wire_replies.encode_reply(reply))
                if reply.code is Code.DENIED:
                    self._messages.clear()
                    self.close()

    async def _answer(
        self, session: Session, query: wire.Query, arrived: float
    ) -> Reply:
        if query.statement is None:
            return session.refuse(Code.MALFORMED, "unreadable statement")
        return await self._service.answer(
            session, query.identifier, query.statement, arrived
        )

    def _final_replies(self, session: Session) -> list[Reply]:
        """Return the replies to the statement in progress and to those behind it."""
        replies = []
        if self._in_progress is not None and self._in_progress.statement is not None:
            replies.append(self._service.give_up(session, self._in_progress.statement))
        for message in self._messages:
            if isinstance(message, wire.Query):
                replies.append(session.refuse(Code.BUSY, "the proxy is stopping"))
        return replies

    def _open(self, database_name: str, key: str) -> None:
        session = self._service.open_session(database_name, key)
        if isinstance(session, Code):
            is_denied = session is Code.DENIED
            reason = "the key gives no access" if is_denied else database_name
            self._refuse(session, reason)
            return
        self._session = session
        # The reply to a startup consists of the last line only, the one with READY.
        self._write(
            wire_replies.encode_reply(session.accept()).partition(wire.LINE_END)[2]
        )

    def _refuse(self, code: Code, text: str) -> None:
        """Refuse a message that no session can answer, and close the connection."""
        self._messages.clear()
        self._write(wire_replies.encode_closing_error(code, text))
        self.close()

    def _write(self, data: bytes) -> None:
        if self._transport is not None:
            self._transport.write(data)

    async def _expire(self, session: Session) -> None:
        try:
            await self._service.expire_transaction(session)
        finally:
            self._work = None
        if self._transport is None:
            await self._service.end_session(session)
        else:
            self._read_on()
            self._start_serving()

    def _stop_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None


class Ingress:
    """The server for callers; closes their connections step by step at shutdown."""

    def __init__(
        self,
        service: SessionService,
        clock: Callable[[], float] = time.monotonic,
        max_received_bytes: int = DEFAULT_TOTAL_BYTES,
        max_callers: int | None = None,
    ) -> None:
        """Create a server whose callers are all answered by `service`.

        What callers have sent and is not answered takes `max_received_bytes` at most.
        Without `max_callers`, the descriptors of the process limit their number.
        """
        self._service = service
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._max_callers = max_callers or max_callers_of_process()
        self._is_closing_idle = False
        self._is_ending_transactions = False
        self.clock = clock
        self.received = MemoryBudget("received messages", max_received_bytes, clock)

    @property
    def is_closing_idle(self) -> bool:
        """Return True if each connection is closed as soon as it is idle."""
        return self._is_closing_idle

    @property
    def is_ending_transactions(self) -> bool:
        """Return True if each transaction is ended after its statement in progress."""
        return self._is_ending_transactions

    @property
    def open_connections(self) -> int:
        """Return the number of connected callers."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Return the port that the server listens on, or 0 if it does not listen."""
        sockets = self._server.sockets if self._server is not None else ()
        return int(sockets[0].getsockname()[1]) if sockets else 0

    async def listen(self, ip: str, port: int) -> None:
        """Start to accept callers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self._service, self),
            ip,
            port,
            backlog=ACCEPTS_AT_ONCE,
        )
        _set_backlog(self._server.sockets[0].fileno())

    def add(self, connection: CallerConnection) -> bool:
        """Register a caller's connection; return False if there are too many."""
        if len(self._connections) >= self._max_callers:
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: CallerConnection) -> None:
        """Remove a caller's connection after it was lost."""
        self._connections.discard(connection)

    def close_idle(self, is_lasting: bool = True) -> None:
        """Close idle connections.

        If `is_lasting`, also close each connection that becomes idle from now on, and
        begin no further transactions.
        """
        self._is_closing_idle = is_lasting
        if is_lasting:
            self._service.refuse_transactions()
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.close()

    def end_denied(self) -> None:
        """Close the sessions whose keys give no access in the present configuration."""
        for connection in tuple(self._connections):
            connection.end_if_denied()

    def stop_listening(self) -> None:
        """Accept no more callers; the kernel refuses new connections at once."""
        if self._server is not None:
            self._server.close()

    def end_transactions(self) -> None:
        """Roll back all open transactions, each once its statement is answered."""
        self._is_ending_transactions = True
        for connection in tuple(self._connections):
            connection.expire()

    def close(self) -> None:
        """Accept no more callers; answer and close those that are still connected."""
        self.stop_listening()
        for connection in tuple(self._connections):
            connection.give_up()


def _set_backlog(listener: int) -> None:
    """Let the kernel queue more connections than the event loop accepts at once."""
    with socket.socket(fileno=os.dup(listener)) as same:
        same.listen(BACKLOG_CONNECTIONS)
