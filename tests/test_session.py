"""Tests of the session planner.

They guard against lost positions that are not reported, stale reads, and positions or
acknowledgements taken from a primary that has been replaced.
"""

import random
import unittest

from beryltiller.consistency.attempts import Unconfirmed
from beryltiller.consistency.freshness import DatedPosition
from beryltiller.consistency.plans import (
    AskPrimaryPosition,
    DatabaseView,
    Plan,
    Refuse,
    RoutingPolicy,
    RunAt,
    SessionLost,
    WaitForTerm,
    WaitThen,
)
from beryltiller.consistency.session import (
    Planner,
    Served,
    SessionClaim,
    parse_session_header,
)
from beryltiller.consistency.tokens import Session, TokenKeys, encode_token
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import EndpointAnswer, EndpointStatus, Role
from beryltiller.core.position import History, Position, TermStart

NOW = 100.0
KEYS = TokenKeys(b"0123456789abcdef")
FIRST = History((TermStart(1, 1),))
SECOND = History((TermStart(1, 1), TermStart(2, 4)))
OWN = SessionClaim(Session("s").after_write("g", Position(1, 5)))
UNKNOWN = SessionClaim(Session("s", is_complete=False), is_known=False)


def status(
    name: str,
    last: Position,
    history: History = FIRST,
    term: int = 1,
    role: Role = Role.PRIMARY,
) -> EndpointStatus:
    """Return a status; the defaults are those of the primary of term 1."""
    return EndpointStatus(name, term, role, last, history)


class PlannerTest(unittest.TestCase):
    """Reads never go back, and nothing is accepted from a replaced primary.

    The group has the databases p, q and r.
    """

    def setUp(self) -> None:
        self.planner = Planner(RoutingPolicy(), random.Random(1))
        self.planner.configure("g", [DatabaseView(name) for name in "pqr"])
        self.planner.record_term("g", 1, "p", True)

    def begin(
        self, claim: SessionClaim, kind: Kind = Kind.READ, age: float | None = None
    ) -> Plan:
        """Return the first plan of a statement with a timeout of 5 s."""
        return self.planner.begin("g", kind, claim, NOW, NOW + 5, age)[1]

    def fail_over(self) -> None:
        """Open term 2 at q, whose log has an entry of that term at index 4."""
        self.planner.record_term("g", 2, "q", True)
        self.planner.record_status(
            "g", status("q", Position(2, 4), SECOND, 2), NOW, NOW
        )

    def test_lost_position_is_reported_for_every_kind(self) -> None:
        self.fail_over()
        for kind in (Kind.READ, Kind.AGED_READ, Kind.WRITE, Kind.UNSAFE_WRITE):
            with self.subTest(kind=kind):
                plan = self.begin(OWN, kind, 9.0)
                self.assertEqual(plan, SessionLost("g", Position(1, 5), 2, True))

    def test_undecided_position_is_asked_of_the_primary_in_force(self) -> None:
        self.planner.record_term("g", 2, "q", True)
        self.assertEqual(self.begin(OWN), AskPrimaryPosition("g", "q", 2))
        self.planner.record_term("g", 2, "q", False)
        self.assertNotIsInstance(self.begin(OWN), AskPrimaryPosition)

    def test_a_session_without_token_asks_the_primary_in_force(self) -> None:
        serving, plan = self.planner.begin("g", Kind.READ, UNKNOWN, NOW, NOW + 5)
        ask = AskPrimaryPosition("g", "p", 1)
        self.assertEqual(plan, ask)
        newest = status("p", Position(1, 7))
        self.planner.record_term("g", 1, "p", False)
        _, plan = self.planner.record_position(serving, newest, NOW, NOW)
        self.assertIsInstance(plan, WaitForTerm, "the term was not open")
        self.planner.record_term("g", 1, "p", True)
        _, plan = self.planner.record_position(serving, newest, NOW - 0.1, NOW)
        self.assertEqual(plan, ask, "the status was requested before the read began")
        serving, plan = self.planner.record_position(serving, newest, NOW, NOW)
        self.assertEqual(plan, RunAt("p", Position(1, 7)))
        self.fail_over()
        plan = self.planner.resume(serving, NOW)
        self.assertEqual(
            plan,
            AskPrimaryPosition("g", "q", 2),
            "the position was lost in the failover",
        )

    def test_failed_primary_in_force_is_not_asked_again(self) -> None:
        serving, _ = self.planner.begin("g", Kind.READ, UNKNOWN, NOW, NOW + 5)
        _, plan = self.planner.record_failure(serving, "p", NOW)
        self.assertEqual(plan, WaitForTerm("g", 2, 5.0))
        _, plan = self.planner.record_failure(serving, "p", NOW + 5)
        self.assertIsInstance(plan, Refuse)

    def test_database_fenced_by_a_later_term_is_not_asked_again(self) -> None:
        serving, _ = self.planner.begin("g", Kind.READ, UNKNOWN, NOW, NOW + 5)
        fenced = status("p", Position(1, 7), term=2, role=Role.FENCED)
        _, plan = self.planner.record_position(serving, fenced, NOW, NOW)
        self.assertEqual(plan, WaitForTerm("g", 2, 5.0))

    def test_aged_read_sees_own_writes_and_waits_briefly(self) -> None:
        self.planner.record_status("g", status("p", Position(1, 3)), NOW, NOW)
        serving, plan = self.planner.begin(
            "g", Kind.AGED_READ, OWN, NOW, NOW + 5, max_age_seconds=1.0
        )
        primary = RunAt("p", Position(1, 5))
        self.assertEqual(plan, primary)
        answer = EndpointAnswer(b"", Position(1, 5))
        for _ in range(10):
            self.planner.record_answer(serving, "p", answer, NOW, NOW)
        self.assertEqual(self.planner.resume(serving, NOW), primary)
        self.assertNotEqual(self.begin(OWN), primary, "other reads wait for a replica")

    def test_aged_read_avoids_the_primary_without_evidence(self) -> None:
        self.planner.record_status("g", status("p", Position(1, 3)), NOW, NOW)
        primary = RunAt("p", Position(1, 5))
        self.assertEqual(self.begin(OWN, Kind.AGED_READ, 1.0), primary)
        self.planner.record_term("g", 1, "p", False)
        plan = self.begin(OWN, Kind.AGED_READ, 1.0)
        assert isinstance(plan, WaitThen)
        self.assertNotEqual(plan.then, primary)

    def test_a_status_does_not_end_a_databases_draining(self) -> None:
        """Guards against reads at a database that the host list says is leaving.

        It does not know that itself, so its own status says otherwise.
        """
        position = Position(1, 7)
        for name in ("q", "r"):
            self.planner.record_status(
                "g", status(name, position, role=Role.REPLICA), NOW, NOW
            )
        self.planner.record_draining("g", {"r"})
        replica = status("r", position, role=Role.REPLICA)
        self.planner.record_status("g", replica, NOW, NOW)
        for _ in range(20):
            self.assertEqual(self.begin(OWN), RunAt("q", Position(1, 5)))
        self.planner.record_draining("g", set())
        plans = {str(self.begin(OWN)) for _ in range(20)}
        self.assertEqual(len(plans), 2, "it is used again")

    def test_only_the_primary_in_force_dates_positions(self) -> None:
        position = Position(1, 7)
        answer = EndpointAnswer(b"", position)
        self.planner.record_term("g", 1, "p", False)
        self.planner.record_status("g", status("p", position), NOW, NOW)
        serving, _ = self.planner.begin("g", Kind.READ, OWN, NOW, NOW + 5)
        self.planner.record_answer(serving, "p", answer, NOW, NOW)
        self.planner.record_term("g", 1, "p", True)
        self.planner.record_answer(serving, "r", answer, NOW, NOW)
        state = self.planner.group("g")
        assert state is not None
        self.assertEqual(state.timeline.positions, ())

    def test_aged_read_is_planned_again_if_its_answer_is_too_old(self) -> None:
        self.planner.record_status("g", status("p", Position(1, 7)), NOW, NOW)
        replica = status("r", Position(1, 7), role=Role.REPLICA)
        self.planner.record_status("g", replica, NOW, NOW)
        claim = SessionClaim(Session("s"))
        kind = Kind.AGED_READ
        serving, plan = self.planner.begin("g", kind, claim, NOW, NOW + 5, 0.5)
        self.assertEqual(plan, RunAt("r", Position(1, 7)))
        answer = EndpointAnswer(b"", Position(1, 7))
        served = self.planner.record_answer(serving, "r", answer, NOW, NOW + 0.4)
        assert isinstance(served, Served)
        self.assertAlmostEqual(served.age_seconds or 0.0, 0.4)
        late = self.planner.record_answer(serving, "r", answer, NOW, NOW + 0.6)
        self.assertIsInstance(late, tuple)

    def test_failover_drops_dated_positions(self) -> None:
        self.planner.record_dated_position("g", DatedPosition(Position(1, 9), NOW))
        self.fail_over()
        plan = self.begin(SessionClaim(Session("s")), Kind.AGED_READ, 1.0)
        assert isinstance(plan, RunAt)
        self.assertEqual(plan.at_least, Position(2, 4))

    def test_a_write_is_acknowledged_only_in_its_term(self) -> None:
        serving, plan = self.planner.begin("g", Kind.WRITE, OWN, NOW, NOW + 5)
        self.assertEqual(plan, RunAt("p", term=1))
        answer = EndpointAnswer(b"", Position(1, 6))
        for term, is_open, wanted in (
            (1, True, Served),
            (1, False, Unconfirmed),
            (2, True, Unconfirmed),
        ):
            with self.subTest(term=term, is_open=is_open):
                self.planner.record_term("g", term, "p", is_open)
                result = self.planner.record_answer(
                    serving, "p", answer, NOW, NOW, term=1
                )
                self.assertIsInstance(result, wanted)

    def test_claim_in_each_form_of_session_header(self) -> None:
        session = OWN.session
        token = encode_token(session, KEYS)
        cases = (
            ("", SessionClaim(Session("n", is_complete=False), False)),
            ("new", SessionClaim(Session("n"))),
            (token, SessionClaim(session)),
        )
        for text, wanted in cases:
            with self.subTest(text=text):
                self.assertEqual(parse_session_header(text, KEYS, "n").unwrap(), wanted)
        self.assertIsNone(parse_session_header(token[1:], KEYS, "n").value_or(None))
