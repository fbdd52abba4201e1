"""The history of all callers of an experiment, and the promises checked over it.

Every write appends its own unique tag to the value of one key, so a value tells
which writes it holds, in which order and how often. The checker compares what each
caller was told with what it and others saw, and with the values at the end.

>>> done = Record("c1", 1, "t1", "k", is_write=True, outcome=Outcome.DONE, seen=("t1",))
>>> [str(each) for each in check((done,), {"k": ()})]
['lost: t1 of c1: acknowledged, and not among the final values of k']
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from itertools import groupby

from beryltiller.core.outcome import Outcome

FinalValues = Mapping[str, tuple[str, ...]]


@unique
class Rule(Enum):
    """Name what a history can break."""

    LOST = "lost"
    DOUBLED = "doubled"
    CROSSED = "crossed"
    HALF = "half"
    STALE = "stale"
    RAN = "ran though refused"
    INVENTED = "invented"
    CUT = "cut"
    LEAVING = "served by a leaving database"


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one request and what its caller was told.

    `caller` names one session, whose requests are numbered in the order in which
    they were made, each after the answer to the one before. `seen` are the tags in
    the answer's value. `answered_tag` and `answered_key` are what the answer says
    it answers; None when no answer came. Times are monotonic seconds.
    """

    caller: str
    number: int
    tag: str
    key: str
    is_write: bool
    outcome: Outcome
    is_whole: bool = True
    answered_tag: str | None = None
    answered_key: str | None = None
    seen: tuple[str, ...] = ()
    started: float = 0.0
    ended: float = 0.0
    route: str = ""
    served_by: str = ""


@dataclass(frozen=True, slots=True)
class Violation:
    """Tell which rule a request breaks, and how."""

    rule: Rule
    record: Record
    detail: str

    def __str__(self) -> str:
        """Return one readable line."""
        request = f"{self.record.tag} of {self.record.caller}"
        return f"{self.rule.value}: {request}: {self.detail}"


def check(records: Sequence[Record], final: FinalValues) -> tuple[Violation, ...]:
    """Return every break of a rule; `final` are the values once all was quiet."""
    return (
        *_answers(records),
        *_writes(records, final),
        *_repeats(records, final),
        *_sessions(records),
    )


def check_uncut(records: Iterable[Record]) -> Iterator[Violation]:
    """Yield a violation for each request that a graceful shutdown cut."""
    for record in records:
        if record.outcome is Outcome.UNKNOWN:
            yield Violation(Rule.CUT, record, "left unknown by a graceful shutdown")


def check_left(
    records: Iterable[Record], database: str, since: float
) -> Iterator[Violation]:
    """Yield a violation for each request begun after `since` at a leaving database."""
    for record in records:
        if record.served_by == database and record.started > since:
            yield Violation(Rule.LEAVING, record, f"served by {database}")


def _answers(records: Iterable[Record]) -> Iterator[Violation]:
    """Check that each answer is whole and belongs to its request."""
    for record in records:
        if record.outcome is not Outcome.DONE:
            continue
        if not record.is_whole:
            yield Violation(Rule.HALF, record, "done with an answer that is not whole")
        if record.answered_tag not in (None, record.tag):
            detail = f"got the answer to {record.answered_tag}"
            yield Violation(Rule.CROSSED, record, detail)
        if record.answered_key not in (None, record.key):
            detail = f"asked for {record.key}, got {record.answered_key}"
            yield Violation(Rule.CROSSED, record, detail)
        if record.is_write and record.is_whole and record.tag not in record.seen:
            detail = "done, and its own answer does not hold it"
            yield Violation(Rule.CROSSED, record, detail)


def _writes(records: Sequence[Record], final: FinalValues) -> Iterator[Violation]:
    """Check each write's outcome against the final values and all answers."""
    reported = _reported_tags(records, final)
    for record in records:
        if not record.is_write:
            continue
        is_found = record.tag in final.get(record.key, ())
        if record.outcome is Outcome.DONE and not is_found:
            detail = f"acknowledged, and not among the final values of {record.key}"
            yield Violation(Rule.LOST, record, detail)
        if record.outcome is Outcome.NOT_RUN and record.tag in reported:
            detail = f"refused as not run, and found in {record.key}"
            yield Violation(Rule.RAN, record, detail)


def _reported_tags(records: Iterable[Record], final: FinalValues) -> frozenset[str]:
    seen = (tag for record in records for tag in record.seen)
    return frozenset(seen) | {tag for tags in final.values() for tag in tags}


def _repeats(records: Sequence[Record], final: FinalValues) -> Iterator[Violation]:
    """Check that no value holds a tag twice, or one that nobody wrote."""
    written = {record.tag: record for record in records if record.is_write}
    ends = tuple(_final_records(final))
    for record in (*records, *ends):
        for tag, count in Counter(record.seen).items():
            if tag not in written:
                detail = f"{record.key} holds {tag}, which nobody wrote"
                yield Violation(Rule.INVENTED, record, detail)
            elif written[tag].key != record.key:
                detail = f"{record.key} holds {tag}, written to {written[tag].key}"
                yield Violation(Rule.CROSSED, record, detail)
            if count > 1:
                detail = f"{record.key} holds {tag} {count} times"
                yield Violation(Rule.DOUBLED, record, detail)


def _final_records(final: FinalValues) -> Iterator[Record]:
    for key, tags in final.items():
        yield Record("final", 0, "final", key, False, Outcome.DONE, seen=tags)


def _sessions(records: Sequence[Record]) -> Iterator[Violation]:
    """Check that a session never sees less than it wrote or saw before."""
    ordered = sorted(records, key=lambda record: (record.caller, record.number))
    for _, session in groupby(ordered, key=lambda record: record.caller):
        yield from _session(session)


def _session(session: Iterable[Record]) -> Iterator[Violation]:
    known: dict[str, set[str]] = {}
    for record in session:
        if record.outcome is not Outcome.DONE or not record.is_whole:
            continue
        before = known.setdefault(record.key, set())
        missing = sorted(before.difference(record.seen))
        if missing:
            detail = f"{record.key} without {', '.join(missing)}, known to the session"
            yield Violation(Rule.STALE, record, detail)
        before.update(record.seen)
