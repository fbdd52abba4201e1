"""A connection to one peer, which matches replies to requests by number."""

import asyncio
import struct

import zmq
import zmq.asyncio

from beryltiller.membership.messages import MAX_MESSAGE_BYTES

HIGH_WATER_MARK_MESSAGES = 256
# Allowance for the frames of a message other than its data.
_FRAME_OVERHEAD_BYTES = 1_024
_REQUEST_NUMBER = struct.Struct(">Q")


class PeerError(Exception):
    """A request to a peer that got no usable reply."""


class PeerRefusedError(PeerError):
    """A request to a peer that was refused or not sent, so that it had no effect."""

    def __init__(self, code: str, reason: str = "") -> None:
        """Set the machine-readable `code` and a reason for people."""
        super().__init__(f"{code}: {reason}" if reason else code)
        self.code = code


class PeerLostError(PeerError):
    """A request to a peer without a valid reply, which may have taken effect."""


class Channel:
    """A connection to one peer, with the requests that await a reply on it.

    `last_used_at` is the time of the last request and `last_received_at` that of the
    last message received, both by the loop's clock.
    """

    def __init__(self, socket: zmq.asyncio.Socket, now: float) -> None:
        """Own a connecting DEALER socket; `now` is the loop's current time."""
        self._socket = socket
        self._pending_replies: dict[bytes, asyncio.Future[bytes]] = {}
        self._last_request_number = 0
        self._receiver = asyncio.create_task(self._receive_replies())
        self.last_used_at = now
        self.last_received_at = now
        self.late_reply_count = 0

    @property
    def is_idle(self) -> bool:
        """Return True if no request awaits a reply."""
        return not self._pending_replies

    async def exchange(self, data: bytes, timeout_seconds: float) -> bytes:
        """Send a request and return the bytes of its reply.

        Raise `PeerRefusedError` if it was not sent, and `PeerLostError` if no reply
        arrived within the timeout.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        self.last_used_at = loop.time()
        self._last_request_number += 1
        request = _REQUEST_NUMBER.pack(self._last_request_number)
        reply: asyncio.Future[bytes] = loop.create_future()
        self._pending_replies[request] = reply
        try:
            await self._send([request, data], timeout_seconds)
            async with asyncio.timeout_at(deadline):
                return await reply
        except TimeoutError as error:
            raise PeerLostError("peer sent no reply in time") from error
        finally:
            del self._pending_replies[request]

    async def close(self) -> None:
        """Close the socket; requests without a reply raise `PeerLostError`."""
        await cancel_task(self._receiver)
        self._socket.close(linger=0)
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_exception(
                    PeerLostError("connection to the peer was closed before its reply")
                )

    async def _send(self, frames: list[bytes], timeout_seconds: float) -> None:
        # The socket accepts a message only while it is connected, so a send that can
        # still be cancelled has put nothing on the wire.
        sent = asyncio.ensure_future(self._socket.send_multipart(frames))
        try:
            if not sent.done():
                await asyncio.wait([sent], timeout=timeout_seconds)
        finally:
            is_unsent = sent.cancel()
        if is_unsent or sent.exception() is not None:
            raise PeerRefusedError("unreachable")

    async def _receive_replies(self) -> None:
        while True:
            request, *rest = await self._socket.recv_multipart()
            self.last_received_at = asyncio.get_running_loop().time()
            reply = self._pending_replies.get(request)
            if reply is None or reply.done() or not rest:
                self.late_reply_count += 1
                continue
            reply.set_result(rest[0])


def configure_socket(socket: zmq.asyncio.Socket) -> None:
    """Limit a socket's queues and the size of the messages that it accepts."""
    socket.linger = 0
    socket.set_hwm(HIGH_WATER_MARK_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES + _FRAME_OVERHEAD_BYTES)


async def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it has ended; its errors are dropped."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
