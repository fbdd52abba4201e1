"""Coalescing of position requests: one request to a primary serves many reads."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """The action to send the request now; its answer is valid as of `asked_at`."""

    asked_at: float


@dataclass(frozen=True, slots=True)
class Deliver:
    """The action to pass the answer to the reads that waited for it."""

    readers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Question:
    """The state of the position requests to one primary, with the waiting reads.

    An answer serves only the reads that came before the request was sent. A read that
    comes while a request is in flight waits for the next one, because a write may have
    been acknowledged between that request and the read.

    >>> question, actions = Question().ask(1, now=5.0)
    >>> actions
    (Send(asked_at=5.0),)
    >>> question, actions = question.ask(2, now=5.1)
    >>> actions
    ()
    >>> question, actions = question.answered(now=5.2)
    >>> actions
    (Deliver(readers=(1,)), Send(asked_at=5.2))
    """

    is_sent: bool = False
    waiting: tuple[int, ...] = ()
    waiting_for_next: tuple[int, ...] = ()

    def ask(self, reader: int, now: float) -> tuple["Question", tuple[Send, ...]]:
        """Add a read, which waits for the next request that is sent from now on."""
        if self.is_sent:
            later = (*self.waiting_for_next, reader)
            return Question(True, self.waiting, later), ()
        return Question(True, (reader,)), (Send(now),)

    def answered(self, now: float) -> tuple["Question", tuple[Deliver | Send, ...]]:
        """Deliver the answer, and send the next request if reads came meanwhile.

        Call it also after a failed request; the I/O layer reports the failure to the
        reads.
        """
        served = Deliver(self.waiting)
        if not self.waiting_for_next:
            return Question(), (served,)
        return Question(True, self.waiting_for_next), (served, Send(now))

    def leave(self, reader: int) -> "Question":
        """Remove a read that no longer waits, for example because it was cancelled."""
        waiting = tuple(one for one in self.waiting if one != reader)
        later = tuple(one for one in self.waiting_for_next if one != reader)
        return Question(self.is_sent, waiting, later)
