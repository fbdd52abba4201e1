"""One caller's connection, which speaks the platform's line protocol."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from beryltiller.observability import events, logs
from beryltiller.platform import wire, wire_replies
from beryltiller.platform.databases import enable_peer_timeout
from beryltiller.platform.line_splitter import LineSplitter
from beryltiller.platform.message_queue import MessageQueue, message_bytes
from beryltiller.sessions.serving.memory_budget import (
    Excess,
    MemoryAccount,
    MemoryBudget,
)
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.session import Session
from beryltiller.sessions.statements import Code, Reply, SessionState

# No caller reaches it: reading is paused earlier, or the message is too long.
MAX_RECEIVED_BYTES = 16 * wire.MAX_LINE_BYTES
# A caller that takes longer for one message holds memory that others need.
MAX_MESSAGE_SECONDS = 10.0
# A caller that begins no session for this long occupies a descriptor without use.
MAX_STARTUP_SECONDS = 10.0


class Server(Protocol):
    """What a connection needs of the server that accepted it."""

    clock: Callable[[], float]
    received: MemoryBudget
    # Of connections without a session, all of whose bytes count.
    received_early: MemoryBudget

    @property
    def is_closing_idle(self) -> bool:
        """Return True if each connection is closed as soon as it is idle."""

    @property
    def is_ending_transactions(self) -> bool:
        """Return True if each transaction is ended after its statement in progress."""

    def add(self, connection: "CallerConnection") -> bool:
        """Register a connection; return False if there are too many."""

    def evict_without_session(self, other: "CallerConnection") -> bool:
        """Close the oldest connection without a session, unless there is no other."""

    def begin_session(self, connection: "CallerConnection") -> None:
        """Note that a connection has a session."""

    def count_unread(self, connection: "CallerConnection", size: int) -> None:
        """Note how much a caller has not read, which may close other connections."""

    def remove(self, connection: "CallerConnection") -> None:
        """Remove a connection after it was lost."""


class CallerConnection(asyncio.Protocol):
    """A caller's connection; its messages are answered one after the other."""

    def __init__(self, service: SessionService, ingress: Server) -> None:
        """Create a connection whose statements `service` answers.

        It registers itself with `ingress` while it is connected.
        """
        self._service = service
        self._ingress = ingress
        self._splitter = LineSplitter()
        self._messages = MessageQueue()
        self._received = MemoryAccount(
            ingress.received_early, MAX_RECEIVED_BYTES, uncounted_bytes=0
        )
        self._in_progress_bytes = 0
        self._is_writing_paused = False
        self._in_progress: wire.Query | None = None
        self._session: Session | None = None
        self._transport: asyncio.Transport | None = None
        self._work: asyncio.Task[None] | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._message_timer: asyncio.TimerHandle | None = None
        self._startup_timer: asyncio.TimerHandle | None = None

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
            return
        self._startup_timer = asyncio.get_running_loop().call_later(
            MAX_STARTUP_SECONDS, self._end_without_session
        )

    def data_received(self, data: bytes) -> None:
        """Decode the received bytes, and queue and answer the complete messages."""
        now = self._ingress.clock()
        try:
            for line in self._splitter.feed(data):
                self._stop_message_timer()
                size = message_bytes(line)
                self._messages.add(wire.decode_message(line), now, size)
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
        self._ingress.count_unread(self, 0)
        self._start_serving()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the session, after the statement in progress if there is one.

        A statement that was not sent to a database yet is not sent any more.
        """
        self._transport = None
        self._messages.clear()
        if self._work is None:
            self._received.clear()
        self._stop_timer()
        self._stop_message_timer()
        self._stop_startup_timer()
        self._ingress.count_unread(self, 0)
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
        size += self._in_progress_bytes
        change = size - self._received.used_bytes
        while (excess := self._received.change(change)) is Excess.PROXY:
            if self._session is not None:
                return False
            if not self._ingress.evict_without_session(self):
                return False
        return excess is None

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

    def _end_without_session(self) -> None:
        """Close a connection whose caller has not begun a session in time."""
        self._startup_timer = None
        self._refuse(Code.TIMEOUT, "no session was begun in time")

    def _stop_startup_timer(self) -> None:
        if self._startup_timer is not None:
            self._startup_timer.cancel()
            self._startup_timer = None

    def evict(self) -> None:
        """Close a connection without a session, as another caller needs its place."""
        if self._transport is not None:
            self._refuse(Code.CONNECTION_LIMIT, "the proxy has no place for callers")
            self._received.clear()
            self._transport.abort()

    def drop(self) -> None:
        """Close the connection without its unread answers; this promises nothing."""
        self._messages.clear()
        if self._transport is not None:
            self._transport.abort()

    def _start_serving(self) -> None:
        if self._work is None and self._messages and not self._is_writing_paused:
            self._work = asyncio.create_task(self._serve())

    async def _serve(self) -> None:
        self._stop_timer()
        try:
            while self._messages and not self._is_writing_paused:
                before = self._messages.size
                message, arrived = self._messages.take()
                self._in_progress_bytes = before - self._messages.size
                await self._serve_one(message, arrived)
                del message
                self._in_progress_bytes = 0
                self._count_received()
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
            self._in_progress_bytes = 0
        if self._transport is None:
            self._received.clear()
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
            self._refuse(session, _startup_refusal(session, database_name, key))
            return
        self._session = session
        self._stop_startup_timer()
        self._ingress.begin_session(self)
        self._received.clear()
        self._received = MemoryAccount(self._ingress.received, MAX_RECEIVED_BYTES)
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
        if self._transport is None:
            return
        self._transport.write(data)
        if self._is_writing_paused:
            self._ingress.count_unread(self, self._transport.get_write_buffer_size())

    async def _expire(self, session: Session) -> None:
        try:
            await self._service.expire_transaction(session)
        finally:
            self._work = None
        if self._transport is None:
            self._received.clear()
            await self._service.end_session(session)
        else:
            self._read_on()
            self._start_serving()

    def _stop_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None


def _startup_refusal(code: Code, database_name: str, key: str) -> str:
    """Return the reason for a refused startup, which never has the key in it."""
    if code is Code.DENIED:
        return "the key gives no access"
    # Without a second field, the first one may be the key.
    return database_name if key else "no route has the database name"
