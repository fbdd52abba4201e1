"""Tests of the log of reads: each line names the evidence that the answer counts on."""

import unittest
from unittest import mock

from beryltiller.core.position import Position
from beryltiller.observability import logs, session_events
from beryltiller.sessions.databases.catalog import Database, RouteKind
from beryltiller.sessions.databases.evidence import Cover, Evidence, EvidenceKind
from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member
from beryltiller.sessions.databases.placement import Placement, ReadRequirement
from beryltiller.sessions.running.read_log import ReadLog
from beryltiller.sessions.statements import (
    Begin,
    CallerStatement,
    Code,
    Read,
    Reply,
    SessionState,
)
from tests.fake_group import GroupFixture
from tests.virtual_loop import run_virtual


def reads_logged(
    kind: RouteKind, *statements: CallerStatement, is_enabled: bool = True
) -> list[session_events.ReadRan]:
    """Return the lines of one session's reads, the statements sent in order."""

    async def work() -> list[session_events.ReadRan]:
        fixture = GroupFixture(kind, ReadLog(is_enabled))
        session = fixture.session()
        with mock.patch.object(logs, "log") as log:
            for number, statement in enumerate(statements):
                await fixture.run(session, statement, f"q{number}")
        fixture.fleet.close()
        events = [call.args[0] for call in log.call_args_list]
        return [event for event in events if isinstance(event, session_events.ReadRan)]

    return run_virtual(work())


class ReadLogTest(unittest.TestCase):
    """What a line says about the read of its request."""

    def test_read_at_the_leader_names_the_proof_of_its_term(self) -> None:
        (line,) = reads_logged(RouteKind.PRIMARY, Read("i"))
        self.assertEqual((line.request, line.role), ("q0", "leader"))
        self.assertEqual((line.evidence, line.evidence_source), ("status", "near"))
        self.assertEqual((line.term, line.leader_term), (1, 1))

    def test_read_at_a_replica_names_the_sample_that_covers_it(self) -> None:
        near = Member(Database("near", "s", "127.0.0.1:1", "a", 3, False, False, 7))
        evidence = Evidence(EvidenceKind.SAMPLE, "leader", asked_at=4.0)
        cover = Cover(Position(1, 8), evidence)
        placement = Placement(near, Position(1, 9), needs_proof=False, cover=cover)
        requirement = ReadRequirement(3.5, Position(1, 9))
        reply = Reply(SessionState.IDLE, code=Code.LAGGING, position=Position(1, 6))
        with mock.patch.object(logs, "log") as log:
            ReadLog(True).record("q", Group("s"), placement, requirement, reply, 5.0)
        line = log.call_args.args[0]
        self.assertEqual((line.role, line.incarnation), ("replica", 7))
        self.assertEqual((line.since, line.own_position), ("1:9", "1:9"))
        self.assertEqual((line.evidence, line.evidence_source), ("sample", "leader"))
        self.assertEqual((line.evidence_age_seconds, line.code), (1.0, "lagging"))

    def test_reads_of_a_transaction_are_logged(self) -> None:
        lines = reads_logged(RouteKind.PRIMARY, Begin(), Read("i"), Read("i"))
        self.assertEqual([line.request for line in lines], ["q1", "q2"])

    def test_nothing_is_logged_unless_it_is_enabled(self) -> None:
        self.assertEqual(
            reads_logged(RouteKind.PRIMARY, Read("i"), is_enabled=False), []
        )
