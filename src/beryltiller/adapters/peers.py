"""Peers: requests and replies between proxies over ZeroMQ with CURVE.

One ROUTER socket takes requests on the peer address. A DEALER socket to a peer is
opened on demand from this host's own address, and closed when it has been idle or
when a request on it went unanswered. Both ends prove their keys, which all proxies
of a deployment share. Only the event loop's thread may use this module.

A request ends in one of three ways: the reply; `PeerRefusedError`, which proves that
the peer did nothing; or `PeerLostError`, after which the peer may have done it.
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
    limit_socket,
)
from beryltiller.membership.messages import (
    Message,
    MessageError,
    Refused,
    ReplyTo,
    decode,
    encode,
)

MAX_AWAITED_REPLIES = 1_024
MAX_UNANSWERED_REQUESTS = 512
MAX_OPEN_PEERS = 64
UNANSWERED_SECONDS = 30.0
IDLE_SECONDS = 10.0
SWEEPS_PER_IDLE_TIME = 5

Handler = Callable[[Message, ReplyTo], None]


@dataclass(frozen=True, slots=True)
class PeerKeys:
    """Hold the CURVE keys of a deployment, in Z85 text; secrets are not printed."""

    server_public: str
    client_public: str
    server_secret: str = field(repr=False)
    client_secret: str = field(repr=False)

    @classmethod
    def generate(cls) -> "PeerKeys":
        """Return new keys for a deployment."""
        server_public, server_secret = zmq.curve_keypair()
        client_public, client_secret = zmq.curve_keypair()
        keys = (server_public, client_public, server_secret, client_secret)
        return cls(*(key.decode("ascii") for key in keys))


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Say where to listen (`ip:port`, port 0 for any) and with which keys."""

    bind_address: str
    keys: PeerKeys
    idle_seconds: float = IDLE_SECONDS
    max_open_peers: int = MAX_OPEN_PEERS
    max_unanswered_requests: int = MAX_UNANSWERED_REQUESTS

    @property
    def source_ip(self) -> str:
        """Return the IP number that connections to peers start from."""
        return self.bind_address.rpartition(":")[0]


class Peers:
    """Send requests to peers, and hand received ones to a handler.

    The handler is called for each request with where its reply goes; it returns at
    once, and `reply` may be called later. `counters` counts messages and bytes by
    direction, and everything that was dropped or refused by reason.
    """

    def __init__(self, settings: PeerSettings, handler: Handler) -> None:
        """Keep the settings; `open_peers` opens the sockets."""
        self._settings = settings
        self._handler = handler
        self._context = zmq.asyncio.Context()
        self._channels: dict[str, Channel] = {}
        self._retired: set[Channel] = set()
        self._unanswered: dict[ReplyTo, float] = {}
        self._awaited = 0
        self._closing: set[asyncio.Task[None]] = set()
        self._server: zmq.asyncio.Socket
        self.address = settings.bind_address
        self.counters: Counter[str] = Counter()

    @property
    def open_peers(self) -> int:
        """Return the number of connections that this proxy has opened."""
        return len(self._channels)

    async def request(
        self, address: str, message: Message, timeout_seconds: float
    ) -> Message:
        """Return the peer's reply, or raise `PeerRefusedError` or `PeerLostError`."""
        data = self._encode(message)
        channel = self._channel(address)
        asked_at = asyncio.get_running_loop().time()
        self._awaited += 1
        self._count("sent", data)
        try:
            answer = await channel.exchange(data, timeout_seconds)
        except PeerError:
            if channel.heard_at <= asked_at:
                self._retire(address, channel)
            raise
        finally:
            self._awaited -= 1
            self._reap(channel)
        self._count("received", answer)
        return self._accept(answer)

    def reply(self, reply_to: ReplyTo, message: Message) -> None:
        """Answer a request; without effect if it was answered or is too old."""
        if self._unanswered.pop(reply_to, None) is None:
            self.counters["replies.unawaited"] += 1
            return
        try:
            data = encode(message)
        except MessageError as error:
            data = encode(Refused("too-large", str(error)))
        self._send_reply(reply_to, data)

    async def open(self, stack: AsyncExitStack) -> None:
        """Bind the server socket; the stack closes all that is opened here."""
        stack.callback(self._context.destroy, linger=0)
        authenticator = AsyncioAuthenticator(self._context)
        authenticator.start()
        stack.callback(authenticator.stop)
        authenticator.configure_curve_callback("*", _KeyCheck(self._settings.keys))
        self._server = self._open_server()
        stack.callback(self._server.close, linger=0)
        stack.push_async_callback(self._close_channels)
        for loop in (self._serve(), self._sweep()):
            task = asyncio.create_task(loop)
            stack.push_async_callback(cancel_task, task)

    def _open_server(self) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.ROUTER)
        limit_socket(socket)
        socket.curve_server = True
        socket.curve_secretkey = self._settings.keys.server_secret.encode("ascii")
        socket.curve_publickey = self._settings.keys.server_public.encode("ascii")
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
            self._take(ReplyTo(identity, request), data)

    def _take(self, reply_to: ReplyTo, data: bytes) -> None:
        self._count("received", data)
        if len(self._unanswered) >= self._settings.max_unanswered_requests:
            self._refuse(reply_to, "busy")
            return
        match decode(data):
            case Success(message):
                now = asyncio.get_running_loop().time()
                self._unanswered[reply_to] = now + UNANSWERED_SECONDS
                self._hand_over(message, reply_to)
            case Failure(bad):
                self._refuse(reply_to, bad.reason)

    def _hand_over(self, message: Message, reply_to: ReplyTo) -> None:
        try:
            self._handler(message, reply_to)
        except Exception:
            # What the handler did before it failed is not known, so no reply is
            # sent: the peer's outcome is unknown, and other requests go on.
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

    def _encode(self, message: Message) -> bytes:
        if self._awaited >= MAX_AWAITED_REPLIES:
            raise PeerRefusedError("busy", "too many replies are awaited")
        try:
            return encode(message)
        except MessageError as error:
            raise PeerRefusedError("too-large", str(error)) from error

    def _accept(self, answer: bytes) -> Message:
        decoded = decode(answer)
        if isinstance(decoded, Failure):
            self.counters["refused.reply"] += 1
            raise PeerLostError("malformed reply")
        message = decoded.unwrap()
        if isinstance(message, Refused):
            raise PeerRefusedError(message.code, message.reason)
        return message

    def _channel(self, address: str) -> Channel:
        now = asyncio.get_running_loop().time()
        channel = self._channels.get(address)
        if channel is None:
            self._make_room()
            channel = Channel(self._connect(address), now)
            self._channels[address] = channel
            self.counters["connections.opened"] += 1
        return channel

    def _connect(self, address: str) -> zmq.asyncio.Socket:
        socket = self._context.socket(zmq.DEALER)
        limit_socket(socket)
        socket.immediate = True
        keys = self._settings.keys
        socket.curve_serverkey = keys.server_public.encode("ascii")
        socket.curve_publickey = keys.client_public.encode("ascii")
        socket.curve_secretkey = keys.client_secret.encode("ascii")
        try:
            socket.connect(f"tcp://{self._settings.source_ip}:0;{address}")
        except zmq.ZMQError as error:
            socket.close(linger=0)
            raise PeerRefusedError("address", str(error)) from error
        return socket

    def _make_room(self) -> None:
        if len(self._channels) < self._settings.max_open_peers:
            return
        idle = [item for item in self._channels.items() if item[1].is_idle]
        if not idle:
            raise PeerRefusedError("busy", "too many peers are connected")
        self._retire(*min(idle, key=lambda item: item[1].used_at))

    def _retire(self, address: str, channel: Channel) -> None:
        """Send nothing more on a connection; it closes when no reply is awaited."""
        if self._channels.get(address) is channel:
            del self._channels[address]
            self._retired.add(channel)
            self._reap(channel)

    def _reap(self, channel: Channel) -> None:
        if channel not in self._retired or not channel.is_idle:
            return
        self._retired.remove(channel)
        self.counters["replies.late"] += channel.late_replies
        task = asyncio.create_task(channel.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(self._settings.idle_seconds / SWEEPS_PER_IDLE_TIME)
            now = asyncio.get_running_loop().time()
            idle_since = now - self._settings.idle_seconds
            for address, channel in tuple(self._channels.items()):
                if channel.is_idle and channel.used_at <= idle_since:
                    self._retire(address, channel)
            for reply_to, expiry in tuple(self._unanswered.items()):
                if expiry <= now:
                    del self._unanswered[reply_to]

    async def _close_channels(self) -> None:
        channels = (*self._channels.values(), *self._retired)
        self._channels.clear()
        self._retired.clear()
        await asyncio.gather(*(channel.close() for channel in channels))
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _count(self, direction: str, data: bytes) -> None:
        self.counters[f"messages.{direction}"] += 1
        self.counters[f"bytes.{direction}"] += len(data)


class _KeyCheck:
    """Accept only the client key of this deployment."""

    def __init__(self, keys: PeerKeys) -> None:
        self._accepted = keys.client_public.encode("ascii")

    def callback(self, domain: str, key: bytes) -> bool:
        return key == self._accepted


@asynccontextmanager
async def open_peers(settings: PeerSettings, handler: Handler) -> AsyncIterator[Peers]:
    """Yield peers that listen, and close everything at the end."""
    async with AsyncExitStack() as stack:
        peers = Peers(settings, handler)
        await peers.open(stack)
        yield peers
