"""Tests of evidence: its date, its lapse, its refresh and the two-log check."""

import unittest

from beryltiller.core.ports import EndpointStatus, Role, Row
from beryltiller.core.position import History, Position, TermStart
from beryltiller.primaries import evidence_refresh
from beryltiller.primaries.evidence import Evidence, Verdict, is_in_two_logs
from beryltiller.primaries.evidence_refresh import (
    EvidenceSources,
    RefreshSettings,
    RefreshState,
)
from beryltiller.primaries.term_actions import RequestEvidence, ScanTerms, SendEvidence
from beryltiller.primaries.term_events import (
    EvidenceReceived,
    EvidenceRequested,
    Member,
    TermsRead,
)
from beryltiller.primaries.term_rows import TermRow, TermState, decode_row, encode_write
from beryltiller.primaries.terms import decide
from beryltiller.primaries.terms_state import TermsState

OPEN = TermRow("orders", 2, TermState.OPEN, "db0", "p0", version=4)
PENDING = TermRow("orders", 3, TermState.PENDING, "db0", "p1", version=5)


class EvidenceTest(unittest.TestCase):
    """Tests that a write is acknowledged only on fresh evidence of its open term."""

    def test_verdict_depends_on_newest_row_and_on_age_of_evidence(self) -> None:
        replaced = TermRow("orders", 3, TermState.OPEN, "db1", "p1", version=6)
        cases = (
            ("fresh", (OPEN,), 2, 10.99, Verdict.ACKNOWLEDGE),
            ("lapsed", (OPEN,), 2, 11.0, Verdict.NEED_TWO_LOGS),
            ("pending", (OPEN, PENDING), 2, 10.1, Verdict.REFUSE),
            ("pending itself", (PENDING,), 3, 10.1, Verdict.REFUSE),
            ("replaced", (OPEN, replaced), 2, 10.1, Verdict.REFUSE),
            ("older row later", (replaced, OPEN), 3, 10.1, Verdict.ACKNOWLEDGE),
            ("no row", (), 2, 10.1, Verdict.REFUSE),
        )
        for name, rows, term, now, verdict in cases:
            with self.subTest(name):
                evidence = Evidence()
                for row in rows:
                    evidence = evidence.with_read_rows((row,), row.version, 10.0)
                self.assertEqual(evidence.verdict("orders", term, now), verdict)

    def test_read_is_dated_from_its_start(self) -> None:
        state = TermsState("p0", "p0/1")
        state, _ = decide(state, TermsRead(10.0, 4, (OPEN,)), 10.6)
        self.assertEqual(state.evidence.dated_at, 10.0)

    def test_invalid_row_replaces_the_open_row(self) -> None:
        for value in (b"", b"[]", b'{"term": 0}', encode_write(OPEN).value[:-1]):
            with self.subTest(value=value):
                row = decode_row(Row("orders", 9, value))
                evidence = Evidence().with_read_rows((OPEN, row), 9, 10.0)
                self.assertFalse(evidence.may_acknowledge("orders", 2, 10.1))

    def test_encoded_row_decodes_to_the_same_row(self) -> None:
        row = Row("orders", OPEN.version, encode_write(OPEN).value)
        self.assertEqual(decode_row(row), OPEN)


class TwoLogsTest(unittest.TestCase):
    """Tests that only logs of databases still in the write's term are counted.

    Otherwise a write that the next primary lacks would be acknowledged.
    """

    def test_counts_logs_in_term(self) -> None:
        write = Position(2, 3)
        cases = (
            ("both", ("db0", 2, 2, 3), ("db1", 2, 2, 4), True),
            ("one behind", ("db0", 2, 2, 3), ("db1", 2, 2, 2), False),
            ("one in a later term", ("db0", 2, 2, 3), ("db1", 3, 2, 3), False),
            ("other history", ("db0", 2, 2, 3), ("db1", 2, 1, 3), False),
            ("same database", ("db0", 2, 2, 3), ("db0", 2, 2, 3), False),
        )
        for name, first, second, is_safe in cases:
            with self.subTest(name):
                statuses = [
                    EndpointStatus(
                        database,
                        accepted,
                        Role.REPLICA,
                        Position(term, index),
                        History((TermStart(term, 1),)),
                    )
                    for database, accepted, term, index in (first, second)
                ]
                self.assertEqual(is_in_two_logs(write, statuses), is_safe)


class RefreshTest(unittest.TestCase):
    """Tests of the refresh from the store and from peers.

    Few proxies may read the store, and evidence that passes through peers must keep
    the date of the read.
    """

    def test_answer_to_held_request_keeps_date_of_evidence(self) -> None:
        parent = Evidence().with_read_rows((OPEN,), 4, 50.0)
        request = EvidenceRequested("child", 10.0, 4, 0.1)
        refresh, at_once = evidence_refresh.handle_peer_request(
            RefreshState(), parent, request, 50.1
        )
        self.assertEqual(at_once, ())
        _, (sent,) = evidence_refresh.answer_held_requests(
            refresh, parent.with_read_rows((), 4, 50.2)
        )
        assert isinstance(sent, SendEvidence)
        answer = EvidenceReceived("parent", 10.0, sent.age_seconds, 4, sent.rows)
        child = RefreshState(own_requests={10.0: "parent"})
        _, evidence = evidence_refresh.handle_peer_answer(
            child, Evidence(), answer, 10.5
        )
        self.assertAlmostEqual(evidence.dated_at, 10.1)

    def test_answer_without_open_request_is_dropped(self) -> None:
        answer = EvidenceReceived("parent", 10.0, 0.0, 4, (OPEN,))
        for own_requests in ({}, {9.0: "parent"}, {10.0: "other"}):
            with self.subTest(own_requests=own_requests):
                child = RefreshState(own_requests=own_requests)
                _, evidence = evidence_refresh.handle_peer_answer(
                    child, Evidence(), answer, 10.5
                )
                self.assertEqual(evidence, Evidence())

    def test_readers_and_fan_out_are_bounded(self) -> None:
        members = [Member(f"p{n:03}", f"zone{n % 10}") for n in range(500)]
        settings = RefreshSettings()
        sources = {
            each.name: evidence_refresh.select_sources(each.name, members, settings)
            for each in members
        }
        readers = [name for name, each in sources.items() if each.reads_store]
        parents = [each.peers[0] for each in sources.values() if not each.reads_store]
        self.assertEqual(len(readers), 20)
        self.assertLessEqual(max(map(parents.count, parents)), settings.fan_out)

    def test_next_peer_is_used_when_parent_does_not_answer(self) -> None:
        sources = EvidenceSources(reads_store=False, peers=("parent", "reader"))
        refresh = RefreshState(sources=sources)
        requested = []
        for now in (10.0, 10.5):
            refresh, actions = evidence_refresh.tick(refresh, Evidence(), now)
            requested += [
                each.peer for each in actions if isinstance(each, RequestEvidence)
            ]
            self.assertFalse([each for each in actions if isinstance(each, ScanTerms)])
        self.assertEqual(requested, ["parent", "reader"])


if __name__ == "__main__":
    unittest.main()
