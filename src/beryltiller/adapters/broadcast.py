"""Broadcast of messages to all subscribed proxies, over ZeroMQ.

A message is delivered at most once and may be lost; subscribers detect gaps by the
numbers that the messages carry. Only the event loop's thread may use this module.
"""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from typing import Any

import zmq
import zmq.asyncio

from beryltiller.observability import events, logs

# Messages queued for one slow subscriber; further ones to it are dropped.
HIGH_WATER_MARK_MESSAGES = 64
MAX_MESSAGE_BYTES = 1_048_576
HEARTBEAT_MS = 500
# A connection on which nothing arrives for this long is opened again.
HEARTBEAT_TIMEOUT_MS = 1500
MAX_RECONNECT_MS = 1000


class BroadcastError(Exception):
    """The address to publish at cannot be bound."""


class Broadcast:
    """A publisher to other proxies and a subscriber to theirs.

    It publishes at `address`, and calls `on_message` for each message received.
    """

    def __init__(self, address: str, on_message: Callable[[bytes], None]) -> None:
        """Set this proxy's own `ip:port` and the callback; `open` binds the address."""
        self._address = address
        self._on_message = on_message
        self._subscribed: set[str] = set()
        self._publisher: zmq.Socket[bytes]
        self._subscriber: zmq.asyncio.Socket

    @property
    def address(self) -> str:
        """Return the `ip:port` that others subscribe to; `open` replaces a port 0."""
        return self._address

    def open(self, stack: AsyncExitStack) -> None:
        """Bind the publishing socket and start receiving, until `stack` closes.

        Raise `BroadcastError` if the address cannot be bound.
        """
        context = zmq.Context()
        stack.callback(context.term)
        self._publisher = context.socket(zmq.PUB)
        stack.callback(self._publisher.close)
        _configure_socket(self._publisher)
        try:
            self._publisher.bind(f"tcp://{self._address}")
        except zmq.ZMQError as error:
            raise BroadcastError(
                f"cannot publish at {self._address}: {error}"
            ) from error
        endpoint = self._publisher.getsockopt_string(zmq.LAST_ENDPOINT)
        self._address = endpoint.removeprefix("tcp://")
        self._subscriber = zmq.asyncio.Context(context).socket(zmq.SUB)
        stack.callback(self._subscriber.close)
        _configure_socket(self._subscriber)
        self._subscriber.setsockopt(zmq.SUBSCRIBE, b"")
        receiver = asyncio.get_running_loop().create_task(self._receive_messages())
        stack.callback(receiver.cancel)

    def publish(self, data: bytes) -> None:
        """Send a message to the current subscribers, without waiting for delivery."""
        self._publisher.send(data, zmq.DONTWAIT)

    def subscribe(self, addresses: Iterable[str]) -> None:
        """Receive messages from exactly the proxies at these addresses.

        An address that cannot be connected to is logged, and tried again next time.
        """
        wanted = set(addresses)
        for address in self._subscribed - wanted:
            self._subscribed.remove(address)
            self._subscriber.disconnect(self._zmq_address(address))
        for address in wanted - self._subscribed:
            try:
                self._subscriber.connect(self._zmq_address(address))
            except (zmq.ZMQError, UnicodeError) as error:
                logs.log(events.WorkFailed("subscribe", str(error)))
            else:
                self._subscribed.add(address)

    def _zmq_address(self, address: str) -> str:
        """Return the ZeroMQ address of a peer, with this proxy's IP as the source."""
        source, _, _ = self._address.rpartition(":")
        return f"tcp://{source}:0;{address}"

    async def _receive_messages(self) -> None:
        while True:
            data = await self._subscriber.recv()
            try:
                self._on_message(data)
            except Exception as error:
                # A message that cannot be handled must not stop later ones.
                logs.log(events.WorkFailed("broadcast", repr(error)))


def _configure_socket(socket: zmq.Socket[Any]) -> None:
    """Limit queues and message size, and reconnect when a peer is silent."""
    socket.linger = 0
    socket.set_hwm(HIGH_WATER_MARK_MESSAGES)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
