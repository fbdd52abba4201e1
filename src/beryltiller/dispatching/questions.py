"""Coalescing: one question to a primary serves all reads that wait for it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Send the question now; its answer is dated `asked_at`."""

    asked_at: float


@dataclass(frozen=True, slots=True)
class Deliver:
    """Hand the answer to the reads that waited for it."""

    readers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Question:
    """Hold the reads that wait for a primary's position.

    An answer serves only the reads that asked before the question was sent. A read
    that comes while one is under way waits for the next: a write may have been
    acknowledged between that question and the read.

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
        """Let a read wait for the next question that is sent from now on."""
        if self.is_sent:
            later = (*self.waiting_for_next, reader)
            return Question(True, self.waiting, later), ()
        return Question(True, (reader,)), (Send(now),)

    def answered(self, now: float) -> tuple["Question", tuple[Deliver | Send, ...]]:
        """Serve those who waited, and ask again for those who came since.

        Also the step after a question failed: its readers are told by the rim.
        """
        served = Deliver(self.waiting)
        if not self.waiting_for_next:
            return Question(), (served,)
        return Question(True, self.waiting_for_next), (served, Send(now))

    def leave(self, reader: int) -> "Question":
        """Drop a read that waits no longer."""
        waiting = tuple(one for one in self.waiting if one != reader)
        later = tuple(one for one in self.waiting_for_next if one != reader)
        return Question(self.is_sent, waiting, later)
