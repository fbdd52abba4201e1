"""Tests of the soak's checker of statements: it finds what breaks each rule."""

import unittest

from tests.page_reader import Prepared
from tests.soak_statement_checker import Answer, Ran, Sent, StatementChecker

DONE = Answer("COMPLETE", "-", "I")


def ran(sent: Sent, **fields: object) -> Ran:
    """Return a run of a statement, with some fields that differ."""
    defaults: dict[str, object] = {
        "identifier": sent.identifier,
        "text": sent.text,
        "signature": f"of {sent.identifier}",
        "rows": ("row",),
        "connection": 1,
        "transaction": 0,
        "values": {},
        "prepared": None,
    }
    return Ran(**{**defaults, **fields})  # type: ignore[arg-type]


def success(sent: Sent, state: str = "I", rows: tuple[str, ...] = ("row",)) -> Answer:
    """Return the answer that belongs to `ran(sent)`."""
    return Answer("COMPLETE", f"of {sent.identifier}", state, rows)


class StatementCheckerTest(unittest.TestCase):
    """Each rule is found when it is broken, and nothing else is."""

    def setUp(self) -> None:
        self.found: list[str] = []
        self.checker = StatementChecker(self.found.append)
        self.session = self.checker.open_session("a")
        self.statements = 0

    def send(self, text: str, answer: Answer | None = None) -> Sent:
        self.statements += 1
        sent = self.session.send(f"a-{self.statements}", text)
        sent.answer = answer
        return sent

    def run_single(self, sent: Sent, **fields: object) -> None:
        self.checker.record_run(ran(sent, **fields))
        sent.answer = success(sent)

    def begin(self) -> None:
        self.send("BEGIN", Answer("COMPLETE", "-", "T"))

    def run_inside(
        self, text: str, connection: int, transaction: int, **fields: object
    ) -> None:
        sent = self.send(text)
        fields |= {"connection": connection, "transaction": transaction}
        self.checker.record_run(ran(sent, **fields))
        sent.answer = success(sent, "I" if text == "COMMIT" else "T")

    def assert_found(self, *rules: str) -> None:
        self.checker.finish()
        self.assertEqual([each.split()[0].strip(":") for each in self.found], [*rules])

    def test_statements_that_run_as_sent_break_no_rule(self) -> None:
        self.send("SET x a b", DONE)
        self.send("PREPARE s1 READ q1 READ a", DONE)
        prepared = Prepared(False, "q1 READ a")
        sent = self.send("EXECUTE s1 item a  b ")
        text = "EXECUTE p7 item a  b "
        self.run_single(sent, text=text, values={"x": "a b"}, prepared=prepared)
        self.begin()
        self.run_inside("READ item", 2, 1, values={"x": "a b"})
        self.send("SET x c", Answer("COMPLETE", "-", "T"))
        self.send("ROLLBACK", DONE)
        self.run_single(self.send("READ item"), values={"x": "c"})
        self.assert_found()

    def test_changed_text_is_unasked(self) -> None:
        self.run_single(self.send("READ item"), text="READ item ")
        self.assert_found("UNASKED")

    def test_changed_arguments_of_an_execution_are_unasked(self) -> None:
        self.send("PREPARE s1 READ q1", DONE)
        sent = self.send("EXECUTE s1 item")
        prepared = Prepared(False, "q1")
        self.run_single(sent, text="EXECUTE p7 READ item", prepared=prepared)
        self.assert_found("UNASKED")

    def test_statement_that_nobody_sent_is_unasked(self) -> None:
        self.checker.record_run(ran(Sent("b-1", "WRITE item data")))
        self.checker.record_run(ran(Sent("-", "COMMIT")))
        self.assert_found("UNASKED", "UNASKED")

    def test_other_shape_is_pinned(self) -> None:
        self.send("PREPARE s1 READ q1", DONE)
        self.run_single(self.send("EXECUTE s1 item"), prepared=Prepared(False, "q2"))
        self.run_single(self.send("EXECUTE s1 item"), prepared=Prepared(True, "q1"))
        self.assert_found("PINNED", "PINNED")

    def test_unknown_name_that_was_prepared_is_pinned(self) -> None:
        self.send("PREPARE s1 READ q1", DONE)
        self.send("EXECUTE s1 item", Answer("ERROR", "NOSUCHSTMT s1", "I"))
        self.send("EXECUTE s2 item", Answer("ERROR", "NOSUCHSTMT s2", "I"))
        self.assert_found("PINNED")

    def test_other_values_are_pinned(self) -> None:
        self.send("SET x a", DONE)
        self.send("SET x b", Answer("ERROR", "FAILED full", "I"))
        self.run_single(self.send("READ item"), values={"x": "a"})
        self.run_single(self.send("READ item"), values={"x": "b"})
        self.run_single(self.send("READ item"), values={})
        self.assert_found("PINNED", "PINNED")

    def test_transaction_on_two_connections_is_pinned(self) -> None:
        self.begin()
        self.run_inside("READ item", 1, 1)
        self.run_inside("WRITE item data", 2, 1)
        self.assert_found("PINNED")

    def test_statement_inside_the_transaction_of_another_is_pinned(self) -> None:
        self.begin()
        self.run_inside("READ item", 1, 1)
        self.session = self.checker.open_session("b")
        self.begin()
        self.run_inside("READ item", 1, 1)
        self.run_inside("COMMIT", 1, 1)
        self.run_single(self.send("READ item"), transaction=1)
        self.assert_found("PINNED", "PINNED", "PINNED")

    def test_statement_outside_its_transaction_is_pinned(self) -> None:
        self.begin()
        self.run_inside("READ item", 1, 0)
        self.assert_found("PINNED")

    def test_statement_in_a_failed_transaction_is_pinned(self) -> None:
        self.begin()
        self.send("WRITE item data", Answer("ERROR", "ABORTED cut", "E"))
        self.run_inside("WRITE item data", 1, 1)
        self.assert_found("PINNED")

    def test_success_without_the_signature_or_the_rows_is_mixed(self) -> None:
        other, shorter = self.send("READ item"), self.send("READ item")
        self.checker.record_run(ran(other))
        self.checker.record_run(ran(shorter))
        other.answer = Answer("COMPLETE", "of another", "I", ("row",))
        shorter.answer = success(shorter, rows=())
        self.send("WRITE item data", DONE)
        self.assert_found("MIXED", "MIXED", "MIXED")

    def test_loss_of_a_caller_is_found_in_calm_times_only(self) -> None:
        self.checker.record_loss("caller 1", "cut off")
        self.checker.is_calm = True
        self.checker.record_loss("caller 1", "cut off")
        self.assert_found("HURT")

    def test_loss_while_the_databases_were_silent_is_none(self) -> None:
        self.checker.is_calm = True
        self.checker.record_delay(0.3)
        self.checker.record_loss("caller 1", "refused")
        self.assertEqual(self.found, [])

    def test_loss_beside_a_short_delay_is_found(self) -> None:
        self.checker.is_calm = True
        self.checker.record_delay(0.2)
        self.checker.record_loss("caller 1", "refused")
        self.assert_found("HURT")
