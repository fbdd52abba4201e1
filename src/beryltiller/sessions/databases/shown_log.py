"""How far a replica's log was shown to reach, and on connections of which age.

A connection leads to one process. What was answered on it is of a process that has run
without a break since the connection was opened.
"""

from dataclasses import dataclass

from beryltiller.core.position import Position

# With more connections, what was shown on the earliest ones is forgotten.
MAX_CONNECTIONS = 16


@dataclass(frozen=True, slots=True)
class Shown:
    """An end of a log, shown on a connection that was opened at `connected_at`."""

    position: Position
    connected_at: float

    def is_covered_by(self, other: "Shown") -> bool:
        """Return True if the other answer shows as much, of a process as old."""
        is_as_old = other.connected_at <= self.connected_at
        return is_as_old and other.position >= self.position


class ShownLog:
    """The answers of one replica that no other answer covers, the earliest first.

    >>> shown = ShownLog()
    >>> shown.record(Position(1, 7), connected_at=2.0)
    >>> shown.record(Position(1, 9), connected_at=5.0)
    >>> shown.before(4.0), shown.before(6.0), shown.before(1.0)
    (Position(term=1, index=7), Position(term=1, index=9), None)
    """

    def __init__(self) -> None:
        """Create a log of which nothing was shown."""
        self._answers: tuple[Shown, ...] = ()

    def before(self, moment: float) -> Position | None:
        """Return the end that was shown on connections opened before `moment`."""
        answer = self.answer_before(moment)
        return answer.position if answer else None

    def answer_before(self, moment: float) -> Shown | None:
        """Return the answer of the furthest end on connections opened before then."""
        answers = (each for each in self._answers if each.connected_at < moment)
        return max(answers, key=lambda each: each.position, default=None)

    def record(self, position: Position, connected_at: float) -> None:
        """Record an answer on a connection that had been opened at `connected_at`."""
        new = Shown(position, connected_at)
        if any(new.is_covered_by(each) for each in self._answers):
            return
        left = (each for each in self._answers if not each.is_covered_by(new))
        answers = sorted((*left, new), key=lambda each: each.connected_at)
        self._answers = tuple(answers[-MAX_CONNECTIONS:])

    def cut(self, log_end: Position) -> None:
        """Forget answers beyond the present end of the log: their process has ended."""
        self._answers = tuple(
            each for each in self._answers if each.position <= log_end
        )
