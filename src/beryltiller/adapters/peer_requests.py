"""Requests to peers that run statements for this proxy.

A request ends with a reply, with `PeerRefusedError`, which proves that the peer did
nothing, or with `PeerLostError`, after which it may have done what was asked. A peer
that refused or did not answer is avoided for a while.
"""

import time
from collections import Counter
from collections.abc import Awaitable, Callable

from beryltiller.adapters.channels import PeerError, PeerRefusedError
from beryltiller.membership.messages import Message

# A peer that could not be reached or did not answer is avoided for this time.
AVOID_SECONDS = 2.0
# Added to the wait for a peer's reply, as the reply to a statement that ended at its
# deadline still has to arrive.
RETURN_MARGIN_SECONDS = 0.05
# The refusal of a step of a transaction that has ended, which says nothing of the peer.
TRANSACTION_ENDED = "ended"

SendRequest = Callable[[str, Message, float], Awaitable[Message]]


class PeerRequests:
    """The requests of one proxy, and the peers that it avoids.

    Use it on a single event loop.
    """

    def __init__(
        self, send: SendRequest, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Send with `send`, which takes an address, a message and a timeout."""
        self._send = send
        self._clock = clock
        self._avoided_until: dict[str, float] = {}
        self._in_flight: Counter[str] = Counter()

    def is_avoided(self, address: str) -> bool:
        """Return True if a request to a peer failed a short time ago."""
        return self._clock() < self._avoided_until.get(address, 0.0)

    def in_flight(self, address: str) -> int:
        """Return how many requests to a peer have no reply yet."""
        return self._in_flight[address]

    async def send(
        self, address: str, message: Message, timeout_seconds: float
    ) -> Message:
        """Return a peer's reply, for which `RETURN_MARGIN_SECONDS` more are waited.

        Raise `PeerRefusedError` or `PeerLostError` as `Peers.request` does.
        """
        self._in_flight[address] += 1
        seconds = max(0.0, timeout_seconds) + RETURN_MARGIN_SECONDS
        try:
            reply = await self._send(address, message, seconds)
        except PeerError as error:
            if not _has_ended(error):
                self._avoided_until[address] = self._clock() + AVOID_SECONDS
            raise
        finally:
            self._in_flight[address] -= 1
            if not self._in_flight[address]:
                del self._in_flight[address]
        return reply


def _has_ended(error: PeerError) -> bool:
    return isinstance(error, PeerRefusedError) and error.code == TRANSACTION_ENDED
