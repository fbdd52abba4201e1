"""Coalescing of position requests: one request to a primary serves many reads."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendRequest:
    """The action to send the request now; its answer is valid as of `asked_at`."""

    asked_at: float


@dataclass(frozen=True, slots=True)
class DeliverPosition:
    """The action to pass the answer to the reads that waited for it."""

    reads: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SharedPositionRequest:
    """The state of the position requests to one primary, with the waiting reads.

    An answer serves only the reads that came before the request was sent. A read that
    comes while a request is in flight waits for the next one, because a write may have
    been acknowledged between that request and the read.

    >>> request, actions = SharedPositionRequest().add_read(1, now=5.0)
    >>> actions
    (SendRequest(asked_at=5.0),)
    >>> request, actions = request.add_read(2, now=5.1)
    >>> actions
    ()
    >>> request, actions = request.record_answer(now=5.2)
    >>> actions
    (DeliverPosition(reads=(1,)), SendRequest(asked_at=5.2))
    """

    is_sent: bool = False
    waiting: tuple[int, ...] = ()
    waiting_for_next: tuple[int, ...] = ()

    def add_read(
        self, read: int, now: float
    ) -> tuple["SharedPositionRequest", tuple[SendRequest, ...]]:
        """Add a read, which waits for the next request that is sent from now on."""
        if self.is_sent:
            later = (*self.waiting_for_next, read)
            return SharedPositionRequest(True, self.waiting, later), ()
        return SharedPositionRequest(True, (read,)), (SendRequest(now),)

    def record_answer(
        self, now: float
    ) -> tuple["SharedPositionRequest", tuple[DeliverPosition | SendRequest, ...]]:
        """Deliver the answer, and send the next request if reads came meanwhile.

        Call it also after a failed request; the I/O layer reports the failure to the
        reads.
        """
        delivery = DeliverPosition(self.waiting)
        if not self.waiting_for_next:
            return SharedPositionRequest(), (delivery,)
        return SharedPositionRequest(True, self.waiting_for_next), (
            delivery,
            SendRequest(now),
        )

    def remove_read(self, read: int) -> "SharedPositionRequest":
        """Remove a read that no longer waits, for example because it was cancelled."""
        waiting = tuple(one for one in self.waiting if one != read)
        later = tuple(one for one in self.waiting_for_next if one != read)
        return SharedPositionRequest(self.is_sent, waiting, later)
