"""Since when this proxy knows each database of a group, and by what.

A process that has started a moment ago knows a database by its present entry alone. It
has not heard of one whose entry had gone before.
Times are seconds on the caller's clock, passed in. The functions are pure.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum, unique

from beryltiller.sessions.databases.catalog import Database


@unique
class KnownBy(Enum):
    """What a database is known by; `NAMED` is by another proxy's objection alone."""

    ENTRY = "entry"
    DEPARTED = "departed entry"
    NAMED = "name from another proxy"


@dataclass(frozen=True, slots=True)
class Known:
    """A database that has been known since `since`, at first by `first_by`.

    The process with this incarnation is known since `incarnation_since`.
    """

    since: float
    first_by: KnownBy
    now_by: KnownBy
    incarnation: int
    incarnation_since: float

    def text(self, now: float) -> str:
        """Return since when and by what the database is known, for a log line.

        >>> Known(1.0, KnownBy.ENTRY, KnownBy.DEPARTED, 0, 1.0).text(13.25)
        'known 12.25 s by entry, now by departed entry'
        """
        text = f"known {round(now - self.since, 3)} s by {self.first_by.value}"
        if self.now_by is not self.first_by:
            text += f", now by {self.now_by.value}"
        if self.incarnation_since > self.since:
            age = round(now - self.incarnation_since, 3)
            text += f", this incarnation {age} s"
        return text


class KnownDatabases:
    """The databases of one group that this proxy knows now, by identifier.

    One that is not known any more is forgotten.
    """

    def __init__(self) -> None:
        """Create a record of no database."""
        self._known: dict[str, Known] = {}

    @property
    def by_identifier(self) -> Mapping[str, Known]:
        """Return the databases that were known when last recorded."""
        return self._known

    def record(
        self,
        entries: Iterable[Database],
        departed: Iterable[Database],
        named: Iterable[str],
        now: float,
    ) -> None:
        """Record all databases that are known at `now`."""
        found = dict.fromkeys(named, (KnownBy.NAMED, 0))
        for each in departed:
            found[each.identifier] = KnownBy.DEPARTED, each.incarnation
        for each in entries:
            found[each.identifier] = KnownBy.ENTRY, each.incarnation
        self._known = {
            name: self._updated(name, by, incarnation, now)
            for name, (by, incarnation) in found.items()
        }

    def _updated(self, name: str, by: KnownBy, incarnation: int, now: float) -> Known:
        known = self._known.get(name)
        if known is None:
            return Known(now, by, by, incarnation, now)
        if incarnation in (0, known.incarnation):
            return known if known.now_by is by else replace(known, now_by=by)
        since = now if known.incarnation else known.incarnation_since
        return replace(
            known, now_by=by, incarnation=incarnation, incarnation_since=since
        )


def known_text(
    known: Mapping[str, Known],
    answers: Mapping[str, str],
    left_out: Mapping[str, str],
    now: float,
) -> str:
    """Return what is known of each database of a group, for a log line.

    `answers` are the answers of those that were asked in the confirming round.
    """
    names: Collection[str] = dict.fromkeys((*known, *answers, *left_out))
    texts = []
    for name in names:
        item = known.get(name)
        parts = [item.text(now) if item else "not known any more"]
        parts.append(answers.get(name, "not asked"))
        if name in left_out:
            parts.append(f"left out: {left_out[name]}")
        identity = f"{name}/{item.incarnation}" if item else name
        texts.append(f"{identity} {', '.join(parts)}")
    return "; ".join(texts)
