"""Tests of admission records and of the explanations derived from them.

They guard against facts lost in the packed records, records of one request read as
those of another, and explanations that hide overwritten records.
"""

import unittest

from beryltiller.admission.explanations import Explanation, explain
from beryltiller.admission.queues import AdmissionQueue
from beryltiller.admission.records import RECORD_BYTES, AdmissionRecords
from beryltiller.admission.tickets import (
    LANES,
    Cause,
    Drop,
    Grant,
    Lane,
    Rejection,
    Rule,
    Ticket,
    rule_between,
)
from beryltiller.core.outcome import Kind, Outcome

KINDS = {"r": Kind.READ, "w": Kind.WRITE}


def grant(
    name: str = "r1", number: int = 1, grants_at_arrival: int = 0, caller: str = "shop"
) -> Grant:
    """Return a grant of a read, with a default for each field."""
    ticket = Ticket(name, caller, Kind.READ, 5.0)
    return Grant(
        ticket, 1.0, 1.5, number, grants_at_arrival, 3.0, 0.25, 0.005, Lane.WRITES, True
    )


def record_served(*tickets: Ticket, capacity: int = 100) -> AdmissionRecords:
    """Queue all tickets at 0, grant and finish one every 10 ms, and record them."""
    queue = AdmissionQueue()
    records = AdmissionRecords(capacity)
    for ticket in tickets:
        queue.offer(ticket, 0.0, 1)
    now = 0.0
    while (taken := queue.take(now, 1)) is not None:
        assert isinstance(taken, Grant)
        index = records.record_grant("d1", taken, connection=1)
        now += 0.01
        queue.finish(taken, now, 0.01)
        records.record_outcome(index, Outcome.DONE, now)
    return records


def ticket(name: str, caller: str, deadline: float = 1.9) -> Ticket:
    """Return a ticket of the kind given by the first letter of its name."""
    return Ticket(name, caller, KINDS[name[0]], deadline)


def rules(explanation: Explanation) -> list[Rule]:
    """Return the rules by which other requests were granted first."""
    return [earlier.rule for earlier in explanation.attempts[-1].earlier_grants]


class AdmissionRecordsTest(unittest.TestCase):
    """Records return every fact that was written, and use a fixed amount of memory."""

    def test_any_number_of_databases_can_be_recorded(self) -> None:
        """Guards against names of former databases that end all admissions."""
        records = AdmissionRecords(capacity=10)
        for number in range(70_000):
            records.record_grant(f"d{number}", grant(f"r{number}"), connection=1)
        found = [records.find(f"r{number}") for number in (69_989, 69_990, 69_999)]
        names = [[each.database for each in one] for one in found]
        self.assertEqual(names, [[], ["d69990"], ["d69999"]])

    def test_record_returns_the_facts_of_a_grant(self) -> None:
        records = AdmissionRecords(8)
        original = grant(number=7, grants_at_arrival=4)
        index = records.record_grant("d1", original, connection=12)
        self.assertIsNone(records.find("r1")[0].outcome)
        records.record_outcome(index, Outcome.UNKNOWN, 2.5)
        (record,) = records.find("r1")
        self.assertEqual(record.grant, original)
        self.assertEqual((record.database, record.connection), ("d1", 12))
        self.assertEqual((record.outcome, record.finished), (Outcome.UNKNOWN, 2.5))

    def test_record_returns_the_cause_of_a_refusal(self) -> None:
        for cause in Cause:
            records = AdmissionRecords(8)
            drop = Drop(grant().ticket, 1.0, Rejection(cause, 0.75))
            records.record_refusal("d1", drop, now=1.5)
            (record,) = records.find("r1")
            with self.subTest(cause=cause):
                self.assertEqual((record.cause, record.wait_seconds), (cause, 0.75))
                self.assertIs(record.outcome, Outcome.NOT_RUN)

    def test_attempts_are_found_in_order_after_the_ring_has_wrapped(self) -> None:
        records = AdmissionRecords(5)
        for number in range(1, 12):
            name = "again" if number in (8, 11) else f"r{number}"
            records.record_grant(f"d{number}", grant(name, number), 1)
        found = [record.database for record in records.find("again")]
        self.assertEqual(found, ["d8", "d11"])
        self.assertEqual(records.find("r6"), [])

    def test_late_outcome_does_not_change_a_newer_record(self) -> None:
        records = AdmissionRecords(2)
        index = records.record_grant("d1", grant("old"), 1)
        for number in (2, 3):
            records.record_grant("d1", grant(f"new{number}", number), 1)
        records.record_outcome(index, Outcome.DONE, 9.0)
        for name in ("new2", "new3"):
            self.assertIsNone(records.find(name)[0].outcome)

    def test_memory_is_bounded_by_the_capacity(self) -> None:
        records = AdmissionRecords(1000)
        for number in range(5000):
            records.record_grant("d1", grant(f"r{number}", number, 0, f"c{number}"), 1)
        self.assertLessEqual(RECORD_BYTES, 96)
        self.assertEqual(len(records._ring), 1000 * RECORD_BYTES)
        self.assertEqual(len(records._callers), 1000)


class ExplanationTest(unittest.TestCase):
    """An explanation lists the earlier grants, or states how many are missing."""

    def test_rule_of_each_earlier_grant(self) -> None:
        earlier, less = Rule.ARRIVED_EARLIER, Rule.LESS_SERVICE
        cases: tuple[tuple[str, list[str], str, list[Rule]], ...] = (
            ("service", ["ra1:a", "ra2:a", "rb1:b"], "ra2", [earlier, less]),
            ("deadline", ["ra1:a", "ra2:a:1.0"], "ra1", [Rule.EARLIER_DEADLINE]),
            ("arrival", ["ra1:a", "ra2:a"], "ra2", [earlier]),
            ("ageing", ["ra1:a:90", "ra2:a:80"], "ra2", [Rule.AGEING]),
            ("lanes", ["ra1:a", "wa2:a"], "wa2", [Rule.LANE_BALANCE]),
            ("nobody", ["ra1:a", "rb1:b"], "ra1", []),
        )
        for name, offers, asked, expected in cases:
            tickets = []
            for offer in offers:
                request_id, caller, *deadline = offer.split(":")
                seconds = float(deadline[0]) if deadline else 1.9
                tickets.append(ticket(request_id, caller, seconds))
            explanation = explain(record_served(*tickets), asked, is_operator=True)
            with self.subTest(name):
                self.assertEqual(rules(explanation), expected)

    def test_only_operators_see_other_callers(self) -> None:
        records = record_served(ticket("ra", "alice"), ticket("rb", "bob"))
        for is_operator in (True, False):
            text = explain(records, "rb", is_operator).text()
            with self.subTest(is_operator=is_operator):
                self.assertEqual("alice" in text, is_operator)
                self.assertIn("1: its caller had received no more service", text)

    def test_missing_records_are_counted(self) -> None:
        tickets = [ticket(f"r{number}", "a") for number in range(8)]
        records = record_served(*tickets, capacity=3)
        (attempt,) = explain(records, "r7", is_operator=True).attempts
        self.assertEqual((len(attempt.earlier_grants), attempt.missing), (2, 5))
        self.assertIn("5: unknown, their records are gone", attempt.text())
        text = explain(records, "r0", is_operator=True).text()
        self.assertIn("No record of r0 is left", text)

    def test_explanation_of_a_refusal(self) -> None:
        records = AdmissionRecords(8)
        rejection = Rejection(Cause.DEADLINE_UNREACHABLE, 0.75)
        records.record_refusal("d1", Drop(grant().ticket, 1.0, rejection), now=1.0)
        text = explain(records, "r1", is_operator=False).text()
        self.assertIn("not run: its deadline could not be met: expected", text)
        self.assertIn("0.750 s", text)

    def test_other_databases_and_later_grants_are_left_out(self) -> None:
        records = AdmissionRecords(8)
        for database, name, number in (
            ("d1", "before", 1),
            ("d2", "x", 2),
            ("d1", "between", 2),
            ("d1", "asked", 3),
            ("d1", "after", 4),
        ):
            records.record_grant(database, grant(name, number, grants_at_arrival=1), 1)
        (attempt,) = explain(records, "asked", is_operator=True).attempts
        self.assertEqual((len(attempt.earlier_grants), attempt.missing), (1, 0))


class RuleTest(unittest.TestCase):
    """The rule between two grants follows from the facts stored with them."""

    def test_lanes_cover_every_kind(self) -> None:
        self.assertEqual(set(LANES), set(Kind))

    def test_transaction_precedes_all_other_rules(self) -> None:
        self.assertIs(rule_between(grant(), grant("r2")), Rule.TRANSACTION)
