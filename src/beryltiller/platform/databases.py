"""Connections to databases over the platform's line protocol."""

import asyncio
import socket
from collections import deque
from collections.abc import Sequence
from typing import Any

from beryltiller.core.addresses import Address
from beryltiller.platform import wire, wire_replies
from beryltiller.platform.line_splitter import LineSplitter
from beryltiller.sessions.databases.catalog import Database
from beryltiller.sessions.errors import (
    BrokenError,
    NoCapacityError,
    NotRunningError,
    NotSentError,
    ReplacedError,
    ReplyTooLargeError,
)
from beryltiller.sessions.organisations import NO_ORGANISATION
from beryltiller.sessions.statements import (
    Begin,
    Code,
    DatabaseStatus,
    ProxyCommand,
    Reply,
    Request,
    Rollback,
    SessionState,
)

CONNECT_TIMEOUT_SECONDS = 0.6
# A longer reply, which may hold many rows, ends the connection.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# What a line of a reply takes in memory beside its text.
LINE_OVERHEAD_BYTES = 64
# If the peer's host becomes unreachable, the kernel ends the connection after data has
# been unacknowledged for this long.
UNACKNOWLEDGED_TIMEOUT_MS = 900
# The kernel probes an idle connection after this long, and again at this interval.
KEEPALIVE_SECONDS = 1
_START_ERRORS = (OSError, ValueError, TimeoutError, BrokenError, wire.WireError)


class _Batch:
    """Requests that were sent together, with the replies received so far."""

    __slots__ = ("future", "replies", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.replies: list[Reply] = []
        self.future: asyncio.Future[list[Reply]]
        self.future = asyncio.get_running_loop().create_future()

    def fail(self, error: Exception) -> None:
        if not self.future.done():
            self.future.set_exception(error)


class LineConnection(asyncio.Protocol):
    """A connection to a database.

    Requests may be sent before the replies to earlier ones have arrived; the database
    replies in the order of the requests.
    """

    def __init__(self) -> None:
        """Create a connection that cannot send until it has a transport."""
        self._transport: asyncio.Transport | None = None
        self._splitter = LineSplitter()
        self._decoder = wire_replies.ReplyDecoder()
        self._pending: deque[_Batch] = deque()
        self._has_sent = False
        self._is_started = False
        self._reply_bytes = 0

    @property
    def is_open(self) -> bool:
        """Return True if statements can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport that requests are written to."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Decode the received bytes and pass complete replies to their batches."""
        try:
            for line in self._splitter.feed(data):
                self._check_awaited()
                self._receive_line(line)
            if self._splitter.incomplete_bytes:
                self._check_awaited()
        except wire.WireError as error:
            self._break(BrokenError(str(error)))
        except ReplyTooLargeError as error:
            self._break(error)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the batches that still wait for replies.

        A database refuses a session by an error line, after which it closes the
        connection. The batches then fail as not sent, unless a statement may have run.
        """
        code = self._decoder.pending_error()
        reason = str(exc or "closed by the database")
        self._transport = None
        if code is None or (self._is_started and not _promises_no_run(code)):
            self._fail(BrokenError(reason))
        else:
            self._fail(_refusal(code))

    async def start(
        self, database: Database, organisation: str = NO_ORGANISATION
    ) -> None:
        """Start the session for an organisation, and wait until it is accepted.

        Raise `NotSentError` if the database refuses.
        """
        startup = wire.encode_startup(
            database.service, database.identifier, organisation or wire.PROXY_USER
        )
        (reply,) = await self._send(startup, 1)
        if reply.code is not None:
            raise _refusal(reply.code)
        self._is_started = True

    async def send_requests(self, requests: Sequence[Request]) -> list[Reply]:
        """Send all requests at once and return their replies in the same order.

        Raise `NotSentError` if one of them cannot be written as a line.
        """
        try:
            data = b"".join(map(wire.encode_request, requests))
        except wire.WireError as error:
            raise NotSentError(Code.MALFORMED, str(error)) from error
        return await self._send(data, len(requests))

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        """Run a status query, or a command that changes the database's role.

        Raise `NotSentError` if the database refuses it, and `BrokenError` if the status
        cannot be decoded.
        """
        (reply,) = await self.send_requests((Request(statement),))
        if reply.code is not None:
            raise NotSentError(reply.code, reply.text)
        try:
            return wire_replies.decode_status(reply.rows)
        except wire.WireError as error:
            raise BrokenError(str(error)) from error

    async def is_primary(self) -> bool:
        """Return True if the database accepts transactions that write.

        A transaction is begun and rolled back at once: unlike a status query, neither
        takes a slot. A replica refuses the begin.
        """
        begin, rollback = Request(Begin()), Request(Rollback())
        begun, ended = await self.send_requests((begin, rollback))
        if ended.state is not SessionState.IDLE:
            raise BrokenError("the transaction could not be rolled back")
        if begun.code is not None and begun.code is not Code.READ_ONLY:
            raise NotSentError(begun.code, begun.text)
        return begun.is_success

    def close(self) -> None:
        """Close the connection; the database rolls back its open transaction."""
        if self._transport is not None:
            self._transport.abort()

    def _send(self, data: bytes, replies: int) -> asyncio.Future[list[Reply]]:
        if self._transport is None or self._transport.is_closing():
            raise NoCapacityError(Code.BUSY, "the connection is closed")
        batch = _Batch(replies)
        self._pending.append(batch)
        self._has_sent = True
        self._transport.write(data)
        return batch.future

    def _check_awaited(self) -> None:
        """Raise `WireError` for data that would become part of the next reply."""
        if self._has_sent and not self._pending:
            raise wire.WireError("the database sent data without a request")

    def _receive_line(self, line: bytes) -> None:
        self._reply_bytes += len(line) + LINE_OVERHEAD_BYTES
        if self._reply_bytes > MAX_REPLY_BYTES:
            raise ReplyTooLargeError(
                f"the reply is longer than {MAX_REPLY_BYTES} bytes"
            )
        reply = self._decoder.feed(line)
        if reply is not None:
            self._reply_bytes = 0
            self._record_reply(reply)

    def _record_reply(self, reply: Reply) -> None:
        if not self._pending:
            reason = "the database sent a reply without a request"
            self._break(BrokenError(reason))
            return
        batch = self._pending[0]
        batch.replies.append(reply)
        if len(batch.replies) < batch.size:
            return
        self._pending.popleft()
        if not batch.future.done():
            batch.future.set_result(batch.replies)

    def _break(self, error: BrokenError) -> None:
        """Close the connection after a violation of the protocol or of a limit."""
        self._fail(error)
        self.close()

    def _fail(self, error: Exception) -> None:
        while self._pending:
            self._pending.popleft().fail(error)


def _refusal(code: Code) -> NotSentError:
    """Return the error of a session that the database refuses."""
    if code is Code.WRONG_DATABASE:
        return ReplacedError(code, "another database answers at the address")
    return NotSentError(code, "the database refused the session")


def _promises_no_run(code: Code) -> bool:
    return code.has_not_run or code.promises_no_effect


async def connect(
    database: Database,
    source_ip: str,
    timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    organisation: str = NO_ORGANISATION,
) -> LineConnection:
    """Return an open connection to a database, for the callers of an organisation.

    Raise `ReplacedError` if another database answers at the address, and
    `NotRunningError` if the host is reached but no process listens. Raise
    `NotSentError` with the database's own code if it refuses the session, and with
    `WRONG_DATABASE` if no database answers at the address.
    """
    loop = asyncio.get_running_loop()
    connection = LineConnection()
    try:
        address = Address.parse(database.address)
        async with asyncio.timeout(timeout_seconds):
            transport, _ = await loop.create_connection(
                lambda: connection, address.ip, address.port, local_addr=(source_ip, 0)
            )
            enable_peer_timeout(transport)
            await connection.start(database, organisation)
    except _START_ERRORS as error:
        connection.close()
        reason = f"{type(error).__name__}: {error}"
        if isinstance(error, ConnectionRefusedError):
            raise NotRunningError(Code.WRONG_DATABASE, reason) from error
        raise NotSentError(Code.WRONG_DATABASE, reason) from error
    except BaseException:
        # An abandoned session would still count against the connection cap.
        connection.close()
        raise
    return connection


def enable_peer_timeout(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end the connection if its peer becomes unreachable."""
    _set_timeout_options(transport.get_extra_info("socket"))


def create_peer_timeout_socket(address: tuple[Any, ...]) -> socket.socket:
    """Return a new TCP socket whose connection ends if its peer is unreachable.

    `address` is an address tuple of `getaddrinfo`.
    """
    family, kind, protocol, _, _ = address
    new = socket.socket(family, kind, protocol)
    _set_timeout_options(new)
    return new


def _set_timeout_options(raw: socket.socket) -> None:
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    option = socket.TCP_USER_TIMEOUT
    raw.setsockopt(socket.IPPROTO_TCP, option, UNACKNOWLEDGED_TIMEOUT_MS)
