"""Requests and replies between proxies, over ZeroMQ with CURVE encryption.

One ROUTER socket receives requests on the peer address. A DEALER socket to a peer is
opened on demand from this host's own address. It is closed after it was idle, or when a
request on it failed and nothing has arrived on it since that request. Both ends prove
that they have the keys, which all proxies of a deployment share. Only the event loop's
thread may use this module.

A request ends in one of three ways: with the reply; with `PeerRefusedError`, which
proves that the peer did nothing; or with `PeerLostError`, after which the peer may
have carried it out. The exception is a reply over the size limit, which reaches the
requester as a refusal with code `too-large` though the peer carried the request out.
"""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field

import zmq
import zmq.asyncio
from returns.result import Failure, Success
from zmq.auth.asyncio import AsyncioAuthenticator

from beryltiller.adapters.channels import (
    Channel,
    PeerError,
    PeerLostError,
    PeerRefusedError,
    cancel_task,
    configure_socket,
)
from beryltiller.membership.messages import (
    Message,
    MessageError,
    Refused,
    ReplyTo,
    decode,
    encode,
)

# Requests of this proxy that wait for replies; further ones are refused unsent.
MAX_AWAITED_REPLIES = 1_024
# Requests of peers that this proxy has not answered; further ones are refused as busy.
MAX_UNANSWERED_REQUESTS = 512
# Connections to peers; for a further one, the idle one least recently used is closed.
MAX_OPEN_PEERS = 64
# A peer's request can no longer be answered after this time.
MAX_UNANSWERED_SECONDS = 30.0
# A connection to a peer is closed after it was unused for this long.
IDLE_SECONDS = 10.0
IDLE_CHECKS_PER_IDLE_TIME = 5

Handler = Callable[[Message, ReplyTo], None]


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """The CURVE keys of a deployment, as Z85 text; `repr` leaves out the secrets."""

    server_public: str
    client_public: str
    server_secret: str = field(repr=False)
    client_secret: str = field(repr=False)

    @classmethod
    def generate(cls) -> "PeerKeys":
        """Return randomly generated keys for a new deployment."""
        server_public, server_secret = zmq.curve_keypair()
        client_public, client_secret = zmq.curve_keypair()
        keys = (server_public, client_public, server_secret, client_secret)
        return cls(*(key.decode("ascii") for key in keys))


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Settings of `Peers`; `bind_address` is `ip:port`, with port 0 for any port.

    Without `keys` messages are neither encrypted nor authenticated, as on a network
    that only the deployment's hosts can reach.
    """

    bind_address: str
    keys: PeerKeys | None
    idle_seconds: float = IDLE_SECONDS
    max_open_peers: int = MAX_OPEN_PEERS
    max_unanswered_requests: int = MAX_UNANSWERED_REQUESTS

    @property
    def source_ip(self) -> str:
        """Return the local IP address of connections to peers."""
        return self.bind_address.rpartition(":")[0]


class Peers:
    """A client and a server for requests between this proxy and its peers.

    The handler is called for each received request, with the `ReplyTo` to answer it
    by. It must return at once; `reply` may be called later. `counters` counts
    messages and bytes by direction, and dropped or refused messages by reason.
    """

    def __init__(self, settings: PeerSettings, handler: Handler) -> None:
        """Set the handler of requests; `open_peers` binds the socket."""
        self._settings = settings
        self._handler = handler
        self._context = zmq.asyncio.Context()
        self._channels: dict[str, Channel] = {}
        self._retired: set[Channel] = set()
        self._unanswered_until: dict[ReplyTo, float] = {}
        self._awaited_reply_count = 0
        self._closing: set[asyncio.Task[None]] = set()
        self._server: zmq.asyncio.Socket
        self.address = settings.bind_address
        self.counters: Counter[str] = Counter()

    @property
    def open_channel_count(self) -> int:
        """Return the number of connections to peers that accept new requests."""
        return len(self._channels)

    async def request(
        self, address: str, message: Message, timeout_seconds: float
    ) -> Message:
        """Send a request to the peer at `address` and return its reply.

        Raise `PeerRefusedError` if the peer certainly did nothing, and
        `PeerLostError` if it may have carried out the request.
        """
        data = self._encode_request(message)
        channel = self._channel(address)
        sent_at = asyncio.get_running_loop().time()
        self._awaited_reply_count += 1
        self._count("sent", data)
        try:
            reply = await channel.exchange(data, timeout_seconds)
        except PeerError:
            if channel.last_received_at <= sent_at:
                self._retire(address, channel)
            raise
        finally:
            self._awaited_reply_count -= 1
            self._close_if_unused(channel)
        self._count("received", reply)
        return self._decode_reply(reply)

    def reply(self, reply_to: ReplyTo, message: Message) -> None:
        """Send the reply to a request, unless it was answered before or is too old.

        If `message` is over the size limit, send a refusal instead.
        """
        if self._unanswered_until.pop(reply_to, None) is None:
            self.counters["replies.unawaited"] += 1
            return
        try:
            data = encode(message)
        except MessageError as error:
            data = encode(Refused("too-large", str(error)))
        self._send_reply(reply_to, data)

    async def open(self, stack: AsyncExitStack) -> None:
        """Bind the server socket and serve requests until `stack` closes."""
        stack.callback(self._context.destroy, linger=0)
        if self._settings.keys is not None:
            authenticator = AsyncioAuthenticator(self._context)
            authenticator.start()
            stack.push_async_callback(_stop, authenticator)
            authenticator.configure_curve_callback(
                "*", _ClientKeyVerifier(self._settings.keys)
            )
        self._server = self._open_server()
        stack.callback(self._server.close, linger=0)
        stack.push_async_callback(self._close_channels)
        for work in (self._serve(), self._expire_periodically()):
            task = asyncio.create_task(work)
            stack.push_async_callback(cancel_task, task)

    def _open_server(self) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.ROUTER)
        configure_socket(socket)
        keys = self._settings.keys
        if keys is not None:
            socket.curve_server = True
            socket.curve_secretkey = keys.server_secret.encode("ascii")
            socket.curve_publickey = keys.server_public.encode("ascii")
        socket.bind(f"tcp://{self._settings.bind_address}")
        endpoint = bytes(socket.getsockopt(zmq.LAST_ENDPOINT))
        self.address = endpoint.rstrip(b"\0").decode("ascii").removeprefix("tcp://")
        return socket

    async def _serve(self) -> None:
        while True:
            frames = await self._server.recv_multipart()
            if len(frames) != 3:
                self.counters["refused.malformed"] += 1
                continue
            identity, request, data = frames
            self._receive(ReplyTo(identity, request), data)

    def _receive(self, reply_to: ReplyTo, data: bytes) -> None:
        self._count("received", data)
        if len(self._unanswered_until) >= self._settings.max_unanswered_requests:
            self._refuse(reply_to, "busy")
            return
        match decode(data):
            case Success(message):
                now = asyncio.get_running_loop().time()
                self._unanswered_until[reply_to] = now + MAX_UNANSWERED_SECONDS
                self._call_handler(message, reply_to)
            case Failure(bad):
                self._refuse(reply_to, bad.reason)

    def _call_handler(self, message: Message, reply_to: ReplyTo) -> None:
        try:
            self._handler(message, reply_to)
        except Exception:
            # The handler may have done part of its work, so no reply is sent: the
            # outcome is unknown to the peer. Other requests are still served.
            self.counters["handler.failed"] += 1

    def _refuse(self, reply_to: ReplyTo, code: str) -> None:
        self.counters[f"refused.{code}"] += 1
        self._send_reply(reply_to, encode(Refused(code)))

    def _send_reply(self, reply_to: ReplyTo, data: bytes) -> None:
        frames = [reply_to.identity, reply_to.request, data]
        sent = asyncio.ensure_future(self._server.send_multipart(frames, zmq.DONTWAIT))
        if sent.exception() is not None:
            self.counters["replies.dropped"] += 1
            return
        self._count("sent", data)

    def _encode_request(self, message: Message) -> bytes:
        if self._awaited_reply_count >= MAX_AWAITED_REPLIES:
            raise PeerRefusedError(
                "busy", f"already awaiting {self._awaited_reply_count} replies"
            )
        try:
            return encode(message)
        except MessageError as error:
            raise PeerRefusedError("too-large", str(error)) from error

    def _decode_reply(self, data: bytes) -> Message:
        decoded = decode(data)
        if isinstance(decoded, Failure):
            self.counters["refused.reply"] += 1
            raise PeerLostError("reply is malformed")
        message = decoded.unwrap()
        if isinstance(message, Refused):
            raise PeerRefusedError(message.code, message.reason)
        return message

    def _channel(self, address: str) -> Channel:
        now = asyncio.get_running_loop().time()
        channel = self._channels.get(address)
        if channel is None:
            self._ensure_free_channel()
            channel = Channel(self._connect(address), now)
            self._channels[address] = channel
            self.counters["connections.opened"] += 1
        return channel

    def _connect(self, address: str) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        configure_socket(socket)
        socket.immediate = True
        keys = self._settings.keys
        if keys is not None:
            socket.curve_serverkey = keys.server_public.encode("ascii")
            socket.curve_publickey = keys.client_public.encode("ascii")
            socket.curve_secretkey = keys.client_secret.encode("ascii")
        try:
            socket.connect(f"tcp://{self._settings.source_ip}:0;{address}")
        except zmq.ZMQError as error:
            socket.close(linger=0)
            raise PeerRefusedError("address", str(error)) from error
        return socket

    def _ensure_free_channel(self) -> None:
        if len(self._channels) < self._settings.max_open_peers:
            return
        idle = [item for item in self._channels.items() if item[1].is_idle]
        if not idle:
            raise PeerRefusedError(
                "busy", f"all {len(self._channels)} connections to peers are in use"
            )
        self._retire(*min(idle, key=lambda item: item[1].last_used_at))

    def _retire(self, address: str, channel: Channel) -> None:
        """Stop using a connection, and close it once no reply is pending on it."""
        if self._channels.get(address) is channel:
            del self._channels[address]
            self._retired.add(channel)
            self._close_if_unused(channel)

    def _close_if_unused(self, channel: Channel) -> None:
        if channel not in self._retired or not channel.is_idle:
            return
        self._retired.remove(channel)
        self.counters["replies.late"] += channel.late_reply_count
        task = asyncio.create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _expire_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._settings.idle_seconds / IDLE_CHECKS_PER_IDLE_TIME)
            now = asyncio.get_running_loop().time()
            idle_since = now - self._settings.idle_seconds
            for address, channel in tuple(self._channels.items()):
                if channel.is_idle and channel.last_used_at <= idle_since:
                    self._retire(address, channel)
            for reply_to, expiry in tuple(self._unanswered_until.items()):
                if expiry <= now:
                    del self._unanswered_until[reply_to]

    async def _close_channels(self) -> None:
        channels = (*self._channels.values(), *self._retired)
        self._channels.clear()
        self._retired.clear()
        await asyncio.gather(*(channel.close() for channel in channels))
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _count(self, direction: str, data: bytes) -> None:
        self.counters[f"messages.{direction}"] += 1
        self.counters[f"bytes.{direction}"] += len(data)


async def _stop(authenticator: AsyncioAuthenticator) -> None:
    """Stop an authenticator, and let its pending wait for requests end.

    The wait would otherwise end later, and take the event loop's watch from a socket
    that has the same file descriptor by then.
    """
    authenticator.stop()
    await asyncio.sleep(0)


class _ClientKeyVerifier:
    """An authenticator that accepts only the client key of this deployment."""

    def __init__(self, keys: PeerKeys) -> None:
        self._accepted = keys.client_public.encode("ascii")

    def callback(self, domain: str, key: bytes) -> bool:
        return key == self._accepted


@asynccontextmanager
async def open_peers(settings: PeerSettings, handler: Handler) -> AsyncIterator[Peers]:
    """Yield `Peers` that serve requests; at the end close all connections."""
    async with AsyncExitStack() as stack:
        peers = Peers(settings, handler)
        await peers.open(stack)
        yield peers
