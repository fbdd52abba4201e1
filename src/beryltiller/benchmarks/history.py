"""Checks of the consistency guarantees over the recorded requests of an experiment.

Every write appends its own unique tag to the value of one key, so a value shows which
writes it contains, in which order and how often. The checker compares the outcome that
each caller received with the values that all callers read, and with the final values.

>>> done = Record(
...     "c1", 1, "t1", "k", is_write=True, outcome=Outcome.DONE, returned_tags=("t1",)
... )
>>> [str(each) for each in check_history((done,), {"k": ()})]
['lost: t1 of c1: write was acknowledged but is missing from the final value of k']
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
    """A guarantee that a request can break; the value is printed in reports."""

    # An acknowledged write is missing from the final value.
    LOST = "lost"
    # A value contains a tag more than once.
    DUPLICATED = "doubled"
    # An answer or a value belongs to another request or key.
    MISMATCHED = "crossed"
    # A request was answered as done, but its answer cannot be decoded.
    INCOMPLETE = "half"
    # An answer lacks a tag that its session wrote or read before.
    STALE = "stale"
    # A write that was refused as not run is in a value.
    RAN_THOUGH_REFUSED = "ran though refused"
    # A value contains a tag that no caller wrote.
    INVENTED = "invented"
    # A graceful shutdown left a request's outcome unknown.
    INTERRUPTED = "cut"
    SERVED_WHILE_LEAVING = "served by a leaving database"


@dataclass(frozen=True, slots=True)
class Record:
    """A request and the answer that its caller received.

    `caller` names one session. Its requests are numbered in the order in which they
    were sent, each after the answer to the previous one. `returned_tags` are the tags
    in the answer's value. `answered_tag` and `answered_key` are the tag and key that
    the answer names, None if no answer arrived. Times are monotonic seconds.
    """

    caller: str
    number: int
    tag: str
    key: str
    is_write: bool
    outcome: Outcome
    is_complete: bool = True
    answered_tag: str | None = None
    answered_key: str | None = None
    returned_tags: tuple[str, ...] = ()
    started: float = 0.0
    ended: float = 0.0
    route: str = ""
    served_by: str = ""


@dataclass(frozen=True, slots=True)
class Violation:
    """A request that breaks a rule, with a text on how."""

    rule: Rule
    record: Record
    detail: str

    def __str__(self) -> str:
        """Return one line for a report."""
        request = f"{self.record.tag} of {self.record.caller}"
        return f"{self.rule.value}: {request}: {self.detail}"


def check_history(
    records: Sequence[Record], final_values: FinalValues
) -> tuple[Violation, ...]:
    """Return all violations; `final_values` were read after all callers had stopped."""
    return (
        *_check_answers(records),
        *_check_writes(records, final_values),
        *_check_values(records, final_values),
        *_check_sessions(records),
    )


def check_graceful_shutdown(records: Iterable[Record]) -> Iterator[Violation]:
    """Yield a violation for each request whose outcome is unknown.

    A graceful shutdown of a proxy must not leave any.
    """
    for record in records:
        if record.outcome is Outcome.UNKNOWN:
            yield Violation(
                Rule.INTERRUPTED, record, "a graceful shutdown left its outcome unknown"
            )


def check_leaving_database(
    records: Iterable[Record], database: str, since: float
) -> Iterator[Violation]:
    """Yield a violation for each late request that a leaving database served.

    Requests that started after `since` must be served by other databases.
    """
    for record in records:
        if record.served_by == database and record.started > since:
            yield Violation(Rule.SERVED_WHILE_LEAVING, record, f"served by {database}")


def _check_answers(records: Iterable[Record]) -> Iterator[Violation]:
    """Check that each answer is complete and belongs to its request."""
    for record in records:
        if record.outcome is not Outcome.DONE:
            continue
        if not record.is_complete:
            yield Violation(
                Rule.INCOMPLETE, record, "request is done but its answer is incomplete"
            )
        if record.answered_tag not in (None, record.tag):
            detail = f"answer is that to {record.answered_tag}"
            yield Violation(Rule.MISMATCHED, record, detail)
        if record.answered_key not in (None, record.key):
            detail = f"request is for {record.key}, answer is for {record.answered_key}"
            yield Violation(Rule.MISMATCHED, record, detail)
        if (
            record.is_write
            and record.is_complete
            and record.tag not in record.returned_tags
        ):
            detail = "write is done but its own answer lacks its tag"
            yield Violation(Rule.MISMATCHED, record, detail)


def _check_writes(
    records: Sequence[Record], final_values: FinalValues
) -> Iterator[Violation]:
    """Check each write's outcome against the final values and all answers."""
    reported_tags = _reported_tags(records, final_values)
    for record in records:
        if not record.is_write:
            continue
        is_in_final_value = record.tag in final_values.get(record.key, ())
        if record.outcome is Outcome.DONE and not is_in_final_value:
            detail = (
                f"write was acknowledged but is missing from the final value of"
                f" {record.key}"
            )
            yield Violation(Rule.LOST, record, detail)
        if record.outcome is Outcome.NOT_RUN and record.tag in reported_tags:
            detail = f"write was refused as not run but its tag is in {record.key}"
            yield Violation(Rule.RAN_THOUGH_REFUSED, record, detail)


def _reported_tags(
    records: Iterable[Record], final_values: FinalValues
) -> frozenset[str]:
    returned_tags = (tag for record in records for tag in record.returned_tags)
    return frozenset(returned_tags) | {
        tag for tags in final_values.values() for tag in tags
    }


def _check_values(
    records: Sequence[Record], final_values: FinalValues
) -> Iterator[Violation]:
    """Check that each value has every tag once, and only tags written to its key."""
    written = {record.tag: record for record in records if record.is_write}
    final_records = tuple(_final_records(final_values))
    for record in (*records, *final_records):
        for tag, count in Counter(record.returned_tags).items():
            if tag not in written:
                detail = f"{record.key} contains {tag}, which no caller wrote"
                yield Violation(Rule.INVENTED, record, detail)
            elif written[tag].key != record.key:
                detail = f"{record.key} contains {tag}, written to {written[tag].key}"
                yield Violation(Rule.MISMATCHED, record, detail)
            if count > 1:
                detail = f"{record.key} contains {tag} {count} times"
                yield Violation(Rule.DUPLICATED, record, detail)


def _final_records(final_values: FinalValues) -> Iterator[Record]:
    for key, tags in final_values.items():
        yield Record("final", 0, "final", key, False, Outcome.DONE, returned_tags=tags)


def _check_sessions(records: Sequence[Record]) -> Iterator[Violation]:
    """Check that each read returns all that its session wrote or read before."""
    ordered = sorted(records, key=lambda record: (record.caller, record.number))
    for _, session_records in groupby(ordered, key=lambda record: record.caller):
        yield from _check_session(session_records)


def _check_session(session_records: Iterable[Record]) -> Iterator[Violation]:
    known_tags_by_key: dict[str, set[str]] = {}
    for record in session_records:
        if record.outcome is not Outcome.DONE or not record.is_complete:
            continue
        known_tags = known_tags_by_key.setdefault(record.key, set())
        missing = sorted(known_tags.difference(record.returned_tags))
        if missing:
            detail = f"{record.key} lacks {', '.join(missing)}, known to the session"
            yield Violation(Rule.STALE, record, detail)
        known_tags.update(record.returned_tags)
