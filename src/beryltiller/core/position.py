"""Positions in a database group's replicated log, and the terms that wrote it.

A term is a numbered period in which at most one database of the group is its primary.
Each promotion of a primary begins a higher term.
"""

from dataclasses import dataclass

from beryltiller.core.decoding import Count, parse_count


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """The position of a log entry: the term that wrote it, and its index from 1.

    Positions are ordered by term first. The most advanced of several logs is the one
    whose last entry has the greatest position; by index alone, a log with a stale tail
    of an old term could come first.

    >>> Position(2, 4) > Position(1, 9)
    True
    """

    term: Count
    index: Count

    def __str__(self) -> str:
        """Return the text form that is used in headers, such as `2:4`."""
        return f"{self.term}:{self.index}"

    @classmethod
    def parse(cls, text: str) -> "Position":
        """Parse `term:index`, or raise ValueError."""
        term, _, index = text.partition(":")
        return cls(parse_count(term), parse_count(index))


# The position of an empty log, before the first entry; every log contains it.
ORIGIN = Position(0, 0)


@dataclass(frozen=True, slots=True)
class TermStart:
    """The index of the first log entry that a term wrote."""

    term: Count
    first_index: Count


@dataclass(frozen=True, slots=True)
class History:
    """The terms that wrote entries of a log, oldest first.

    >>> history = History((TermStart(1, 1), TermStart(3, 8)))
    >>> history.contains(Position(1, 7), last_index=9)
    True
    >>> history.contains(Position(1, 8), last_index=9)
    False
    """

    starts: tuple[TermStart, ...] = ()

    def term_at(self, index: int) -> int:
        """Return the term that wrote the entry at `index`, or 0 if there is none."""
        term = 0
        for start in self.starts:
            if start.first_index > index:
                break
            term = start.term
        return term

    def contains(self, position: Position, last_index: int) -> bool:
        """Return True if a log with this history up to `last_index` has `position`."""
        if position.index == 0:
            return True
        if position.index > last_index:
            return False
        return self.term_at(position.index) == position.term
