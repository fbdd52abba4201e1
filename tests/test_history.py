"""Tests of the history checker: it must report each broken rule and nothing else."""

import doctest
import unittest
from dataclasses import replace

from beryltiller.benchmarks import history
from beryltiller.benchmarks.history import (
    Record,
    Rule,
    check_graceful_shutdown,
    check_history,
    check_leaving_database,
)
from beryltiller.core.outcome import Outcome

_DONE, _NOT_RUN, _UNKNOWN = Outcome.DONE, Outcome.NOT_RUN, Outcome.UNKNOWN


def _write(
    tag: str, *returned_tags: str, outcome: Outcome = _DONE, caller: str = "c1"
) -> Record:
    answered = tag if outcome is _DONE else None
    number = int(tag[1:])
    return Record(
        caller,
        number,
        tag,
        "k",
        True,
        outcome,
        True,
        answered,
        returned_tags=returned_tags,
    )


def _read(tag: str, *returned_tags: str, caller: str = "c1") -> Record:
    return Record(
        caller,
        int(tag[1:]),
        tag,
        "k",
        False,
        _DONE,
        True,
        tag,
        returned_tags=returned_tags,
    )


class CheckTest(unittest.TestCase):
    """Violations of each rule must be found, and correct histories must pass."""

    def test_consistent_histories_have_no_violation(self) -> None:
        cases: tuple[tuple[tuple[Record, ...], tuple[str, ...]], ...] = (
            ((), ()),
            ((_write("w1", "w1"), _read("r2", "w1")), ("w1",)),
            ((_write("w1", outcome=_NOT_RUN), _read("r2")), ()),
            ((_write("w1", outcome=_UNKNOWN),), ("w1",)),
            ((_write("w1", outcome=_UNKNOWN), _read("r2")), ()),
            ((_write("w1", "w1"), _read("r2", caller="c2")), ("w1",)),
            ((_read("r3", "w1"), _write("w1", "w1")), ("w1",)),
            ((_write("w1", "w2", "w1"), _write("w2", "w2", caller="c2")), ("w2", "w1")),
        )
        for records, final_values in cases:
            with self.subTest(records=records):
                self.assertEqual(check_history(records, {"k": final_values}), ())

    def test_each_broken_rule_is_reported(self) -> None:
        done = _write("w1", "w1")
        unknown = _write("w1", outcome=_UNKNOWN)
        refused = _write("w1", outcome=_NOT_RUN)
        read = _read("r2", "w1")
        other_key = replace(_read("r2", "w1"), key="other")
        cases: tuple[tuple[str, Rule, tuple[Record, ...], tuple[str, ...]], ...] = (
            ("acknowledged, missing", Rule.LOST, (done,), ()),
            ("acknowledged, read, missing", Rule.LOST, (done, read), ()),
            ("twice at the end", Rule.DUPLICATED, (done,), ("w1", "w1")),
            ("unknown, twice", Rule.DUPLICATED, (unknown,), ("w1", "w1")),
            (
                "twice in a read",
                Rule.DUPLICATED,
                (done, _read("r2", "w1", "w1")),
                ("w1",),
            ),
            ("refused, found", Rule.RAN_THOUGH_REFUSED, (refused,), ("w1",)),
            ("refused, read", Rule.RAN_THOUGH_REFUSED, (refused, read), ()),
            (
                "incomplete answer",
                Rule.INCOMPLETE,
                (replace(read, is_complete=False), done),
                ("w1",),
            ),
            (
                "another's answer",
                Rule.MISMATCHED,
                (done, replace(read, answered_tag="r9")),
                ("w1",),
            ),
            (
                "another key's answer",
                Rule.MISMATCHED,
                (done, replace(read, answered_key="other")),
                ("w1",),
            ),
            ("another key's value", Rule.MISMATCHED, (done, other_key), ("w1",)),
            ("own write not in answer", Rule.MISMATCHED, (_write("w1"),), ("w1",)),
            ("own write not read", Rule.STALE, (done, _read("r2")), ("w1",)),
            (
                "read goes back",
                Rule.STALE,
                (_write("w1", "w1", caller="c2"), read, _read("r3")),
                ("w1",),
            ),
            (
                "log truncated after a session read its last entry",
                Rule.STALE,
                (replace(unknown, caller="c2"), read, _read("r3")),
                (),
            ),
            ("nobody wrote", Rule.INVENTED, (), ("w7",)),
        )
        for name, rule, records, final_values in cases:
            with self.subTest(name):
                rules = {
                    violation.rule
                    for violation in check_history(records, {"k": final_values})
                }
                self.assertEqual(rules, {rule})

    def test_unknown_outcome_breaks_a_graceful_shutdown(self) -> None:
        records = (_write("w1", "w1"), _write("w2", outcome=_UNKNOWN))
        self.assertEqual(
            [each.record for each in check_graceful_shutdown(records)], [records[1]]
        )

    def test_late_request_at_a_leaving_database(self) -> None:
        cases = (("d1", 4.1, 1), ("d1", 3.9, 0), ("d2", 4.1, 0))
        for served_by, started, broken in cases:
            record = Record(
                "c",
                1,
                "t",
                "k",
                False,
                Outcome.DONE,
                started=started,
                served_by=served_by,
            )
            with self.subTest(served_by=served_by, started=started):
                found = list(check_leaving_database([record], "d1", since=4.0))
                self.assertEqual(len(found), broken)

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(history).failed, 0)
