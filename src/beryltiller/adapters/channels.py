"""Channels: the connection to one peer, with the replies awaited on it."""

import asyncio
import struct

import zmq
import zmq.asyncio

from beryltiller.membership.messages import MAX_MESSAGE_BYTES

HIGH_WATER_MARK_MESSAGES = 256
_FRAME_OVERHEAD_BYTES = 1_024
_REQUEST_NUMBER = struct.Struct(">Q")


class PeerError(Exception):
    """Report a request to a peer that brought no reply."""


class PeerRefusedError(PeerError):
    """Report a request that is proved to have had no effect."""

    def __init__(self, code: str, reason: str = "") -> None:
        """Keep the code beside the readable reason."""
        super().__init__(f"{code}: {reason}" if reason else code)
        self.code = code


class PeerLostError(PeerError):
    """Report a request that was sent and whose reply did not arrive in time."""


class Channel:
    """Hold the connection to one peer, and the replies awaited on it."""

    def __init__(self, socket: zmq.asyncio.Socket, now: float) -> None:
        """Take over a socket that is connecting; `now` is by the loop's clock."""
        self._socket = socket
        self._awaited: dict[bytes, asyncio.Future[bytes]] = {}
        self._number = 0
        self._reader = asyncio.create_task(self._read())
        self.used_at = now
        self.heard_at = now
        self.late_replies = 0

    @property
    def is_idle(self) -> bool:
        """Tell whether no reply is awaited."""
        return not self._awaited

    async def exchange(self, data: bytes, timeout_seconds: float) -> bytes:
        """Return the reply's bytes, or raise `PeerRefusedError` or `PeerLostError`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        self.used_at = loop.time()
        self._number += 1
        request = _REQUEST_NUMBER.pack(self._number)
        reply: asyncio.Future[bytes] = loop.create_future()
        self._awaited[request] = reply
        try:
            await self._send([request, data], timeout_seconds)
            async with asyncio.timeout_at(deadline):
                return await reply
        except TimeoutError as error:
            raise PeerLostError("no reply in time") from error
        finally:
            del self._awaited[request]

    async def close(self) -> None:
        """Close the socket; requests still awaited end as lost."""
        await cancel_task(self._reader)
        self._socket.close(linger=0)
        for reply in self._awaited.values():
            if not reply.done():
                reply.set_exception(PeerLostError("connection closed"))

    async def _send(self, frames: list[bytes], timeout_seconds: float) -> None:
        # The socket takes a message only while it is connected, so a send that can
        # still be cancelled has put nothing on the wire.
        sent = asyncio.ensure_future(self._socket.send_multipart(frames))
        try:
            if not sent.done():
                await asyncio.wait([sent], timeout=timeout_seconds)
        finally:
            is_unsent = sent.cancel()
        if is_unsent or sent.exception() is not None:
            raise PeerRefusedError("unreachable")

    async def _read(self) -> None:
        while True:
            request, *rest = await self._socket.recv_multipart()
            self.heard_at = asyncio.get_running_loop().time()
            reply = self._awaited.get(request)
            if reply is None or reply.done() or not rest:
                self.late_replies += 1
                continue
            reply.set_result(rest[0])


def limit_socket(socket: zmq.asyncio.Socket) -> None:
    """Bound what a socket queues and how large a message it takes."""
    socket.linger = 0
    socket.set_hwm(HIGH_WATER_MARK_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES + _FRAME_OVERHEAD_BYTES)


async def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait for its end."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
