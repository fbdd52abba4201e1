"""Broadcast: messages to all proxies that subscribe, over ZeroMQ.

A message is delivered at most once and may be lost; who subscribes finds gaps by the
messages' own numbers. Only the event loop's thread may use this module.
"""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from typing import Any

import zmq
import zmq.asyncio

from beryltiller.observability import logs

# Messages that wait for a slow subscriber; later ones are dropped for it.
HIGH_WATER_MARK_MESSAGES = 64
MAX_MESSAGE_BYTES = 1_048_576
# A connection that has gone silent is opened anew after this long.
HEARTBEAT_MS = 500
SILENCE_MS = 1500
MAX_RECONNECT_MS = 1000


class BroadcastError(Exception):
    """Report an address at which messages cannot be published."""


class Broadcast:
    """Publish to whoever subscribes at `address`, and hear others."""

    def __init__(self, address: str, on_message: Callable[[bytes], None]) -> None:
        """Keep the own `ip:port` and who takes the messages of others."""
        self._address = address
        self._on_message = on_message
        self._subscribed: set[str] = set()
        self._publisher: zmq.Socket[bytes]
        self._subscriber: zmq.asyncio.Socket

    @property
    def address(self) -> str:
        """Return where others hear this proxy; with port 0 it is known once open."""
        return self._address

    def open(self, stack: AsyncExitStack) -> None:
        """Bind the publishing socket; the stack closes all that is opened here.

        Raise `BroadcastError` when the address cannot be used.
        """
        context = zmq.Context()
        stack.callback(context.term)
        self._publisher = context.socket(zmq.PUB)
        stack.callback(self._publisher.close)
        _limit(self._publisher)
        try:
            self._publisher.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            raise BroadcastError(f"{self._address}: {error}") from error
        endpoint = self._publisher.getsockopt_string(zmq.LAST_ENDPOINT)
        self._address = endpoint.removeprefix("tcp://")
        self._subscriber = zmq.asyncio.Context(context).socket(zmq.SUB)
        stack.callback(self._subscriber.close)
        _limit(self._subscriber)
        self._subscriber.setsockopt(zmq.SUBSCRIBE, b"")
        reader = asyncio.get_running_loop().create_task(self._read())
        stack.callback(reader.cancel)

    def publish(self, data: bytes) -> None:
        """Send a message to all that subscribe now; nobody is waited for."""
        self._publisher.send(data, zmq.DONTWAIT)

    def subscribe(self, addresses: Iterable[str]) -> None:
        """Hear exactly the proxies at these addresses from now on."""
        wanted = set(addresses)
        for address in self._subscribed - wanted:
            self._subscriber.disconnect(self._endpoint(address))
        for address in wanted - self._subscribed:
            self._subscriber.connect(self._endpoint(address))
        self._subscribed = wanted

    def _endpoint(self, address: str) -> str:
        """Return where to connect to, from the own address."""
        source, _, _ = self._address.rpartition(":")
        return f"tcp://{source}:0;{address}"

    async def _read(self) -> None:
        while True:
            data = await self._subscriber.recv()
            try:
                self._on_message(data)
            except Exception as error:
                # One message costs no later one.
                logs.log(logs.WorkFailed("broadcast", repr(error)))


def _limit(socket: zmq.Socket[Any]) -> None:
    """Bound what a socket queues, and how long it waits for a silent peer."""
    socket.linger = 0
    socket.set_hwm(HIGH_WATER_MARK_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, SILENCE_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
