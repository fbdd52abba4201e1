"""Connections to databases over the platform's line protocol."""

import asyncio
import socket
from collections import deque
from collections.abc import Sequence
from typing import Any

from beryltiller.core.addresses import Address
from beryltiller.platform import wire
from beryltiller.sessions.catalog import Database
from beryltiller.sessions.errors import BrokenError, NotSentError, ReplacedError
from beryltiller.sessions.statements import (
    Code,
    DatabaseStatus,
    ProxyCommand,
    Reply,
    Request,
)

CONNECT_TIMEOUT_SECONDS = 0.6
# A database whose host is dark is given up after this long without an acknowledgement.
UNACKNOWLEDGED_TIMEOUT_MS = 900
KEEPALIVE_SECONDS = 1


class _Batch:
    """Requests that were sent together, and the replies that are there so far."""

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
    """One connection to a database; requests may be sent before earlier replies."""

    def __init__(self) -> None:
        """Wait to be connected."""
        self._transport: asyncio.Transport | None = None
        self._splitter = wire.LineSplitter()
        self._decoder = wire.ReplyDecoder()
        self._awaited: deque[_Batch] = deque()

    @property
    def is_open(self) -> bool:
        """Tell whether statements can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Complete the replies that the bytes complete."""
        try:
            for line in self._splitter.feed(data):
                reply = self._decoder.feed(line)
                if reply is not None:
                    self._replied(reply)
        except wire.WireError as error:
            self._break(str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail what is awaited."""
        code = self._decoder.refusal()
        reason = str(exc or "closed by the database")
        self._transport = None
        if code is Code.WRONG_DATABASE:
            self._fail(ReplacedError(code, "another database answers there"))
        elif code is not None:
            self._fail(NotSentError(code, "refused the session"))
        else:
            self._fail(BrokenError(reason))

    async def start(self, database: Database) -> None:
        """Open the session."""
        hello = wire.encode_startup(database.service, database.identifier)
        await self._send(hello, 1)

    async def ask(self, requests: Sequence[Request]) -> list[Reply]:
        """Send all requests at once and return their replies in order."""
        data = b"".join(map(wire.encode_request, requests))
        return await self._send(data, len(requests))

    async def command(self, statement: ProxyCommand) -> DatabaseStatus:
        """Ask for the database's status, or change its place in the group."""
        (reply,) = await self.ask((Request(statement),))
        if reply.code is not None:
            raise NotSentError(reply.code, reply.text)
        try:
            return wire.decode_status(reply.rows)
        except wire.WireError as error:
            raise BrokenError(str(error)) from error

    def close(self) -> None:
        """Close the connection, which rolls back what is open."""
        if self._transport is not None:
            self._transport.abort()

    def _send(self, data: bytes, replies: int) -> asyncio.Future[list[Reply]]:
        if self._transport is None or self._transport.is_closing():
            raise NotSentError(Code.BUSY, "the connection is closed")
        batch = _Batch(replies)
        self._awaited.append(batch)
        self._transport.write(data)
        return batch.future

    def _replied(self, reply: Reply) -> None:
        if not self._awaited:
            self._break("a reply to nothing")
            return
        batch = self._awaited[0]
        batch.replies.append(reply)
        if len(batch.replies) < batch.size:
            return
        self._awaited.popleft()
        if not batch.future.done():
            batch.future.set_result(batch.replies)

    def _break(self, reason: str) -> None:
        self._fail(BrokenError(reason))
        self.close()

    def _fail(self, error: Exception) -> None:
        while self._awaited:
            self._awaited.popleft().fail(error)


async def connect(
    database: Database,
    source_ip: str,
    timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
) -> LineConnection:
    """Return an open connection to a database.

    Raise `ReplacedError` when another database answers at the address. Raise
    `NotSentError` with the database's own code when it refuses the session, and with
    `WRONG_DATABASE` when nobody answers at the address.
    """
    loop = asyncio.get_running_loop()
    address = Address.parse(database.address)
    connection = LineConnection()
    try:
        async with asyncio.timeout(timeout_seconds):
            transport, _ = await loop.create_connection(
                lambda: connection, address.ip, address.port, local_addr=(source_ip, 0)
            )
            watch_for_silence(transport)
            await connection.start(database)
    except (OSError, TimeoutError, BrokenError) as error:
        connection.close()
        reason = f"{type(error).__name__}: {error}"
        raise NotSentError(Code.WRONG_DATABASE, reason) from error
    except BaseException:
        # A session that nobody waits for would still count against the cap.
        connection.close()
        raise
    return connection


def watch_for_silence(transport: asyncio.BaseTransport) -> None:
    """Let the kernel end a connection whose other side has gone dark."""
    _watch(transport.get_extra_info("socket"))


def watched_socket(address: tuple[Any, ...]) -> socket.socket:
    """Return a new TCP socket for an address, watched for silence."""
    family, kind, protocol, _, _ = address
    new = socket.socket(family, kind, protocol)
    _watch(new)
    return new


def _watch(raw: socket.socket) -> None:
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    option = socket.TCP_USER_TIMEOUT
    raw.setsockopt(socket.IPPROTO_TCP, option, UNACKNOWLEDGED_TIMEOUT_MS)
