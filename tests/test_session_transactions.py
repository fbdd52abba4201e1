"""Tests of transactions of `SessionService` with a fake group of databases."""

import unittest
from unittest import mock

from beryltiller.sessions.errors import BrokenError
from beryltiller.sessions.running.commits import CommitReports
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    Execute,
    Prepare,
    Read,
    Request,
    Rollback,
    SessionState,
    Write,
)
from tests.fake_group import FakeConnection, GroupFixture
from tests.session_runs import run_with_fixture

IDLE = SessionState.IDLE
OPEN = SessionState.OPEN
FAILED = SessionState.FAILED


class TransactionTest(unittest.TestCase):
    """Statements of a transaction run on one connection."""

    def test_statements_share_a_connection_and_commit(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            for statement in (Begin(), Read("i"), Write("i", "d")):
                reply = await fixture.run(session, statement)
                self.assertEqual((reply.code, reply.state), (None, OPEN))
            reply = await fixture.run(session, Commit())
            self.assertEqual((reply.signature, reply.state), ("signed", IDLE))

        ran = run_with_fixture(work).leader.ran
        self.assertEqual(len({number for number, _ in ran}), 1)

    def test_statement_behind_a_refused_commit_is_not_taken_for_part_of_it(
        self,
    ) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            await fixture.run(session, Write("i", "d"))
            fixture.leader.refuse[Commit] = Code.FAILED
            reply = await fixture.run(session, Commit())
            self.assertEqual((reply.code, reply.state), (Code.FAILED, IDLE))
            self.assertEqual(fixture.leader.closed, 1)
            reply = await fixture.run(session, Write("i", "e"))
            self.assertEqual((reply.code, reply.state), (None, IDLE))

        run_with_fixture(work)

    def test_statement_behind_an_unconfirmed_commit_is_not_taken_for_part_of_it(
        self,
    ) -> None:
        """Guards against a session whose transaction seems open for ever."""

        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            await fixture.run(session, Write("i", "d"))
            error = BrokenError("no replica has received the commit")
            with mock.patch.object(CommitReports, "confirm", side_effect=error):
                reply = await fixture.run(session, Commit())
            self.assertEqual((reply.code, reply.state), (Code.UNKNOWN_OUTCOME, IDLE))
            reply = await fixture.run(session, Begin())
            self.assertEqual((reply.code, reply.state), (None, OPEN))

        run_with_fixture(work)

    def test_write_in_a_transaction_that_reads_is_refused(self) -> None:
        """Guards against a caller who makes a primary count as none for all others."""

        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Prepare("s1", True, "q1"))
            await fixture.run(session, Begin(is_read_only=True))
            for statement in (Write("i", "d"), Execute("s1", "i d")):
                reply = await fixture.run(session, statement)
                self.assertEqual((reply.code, reply.state), (Code.MALFORMED, OPEN))
            reply = await fixture.run(session, Read("i"))
            self.assertEqual((reply.code, reply.state), (None, OPEN))
            reply = await fixture.run(session, Commit())
            self.assertEqual((reply.code, reply.state), (None, IDLE))

        ran = run_with_fixture(work).leader.statement_names()
        self.assertNotIn("Write", ran)
        self.assertNotIn("Execute", ran)

    def test_first_statement_waits_for_the_begin(self) -> None:
        """Guards against a statement that runs outside its transaction.

        It was sent right after a begin, which the database refused.
        """

        async def work(fixture: GroupFixture) -> None:
            await fixture.run(fixture.session(), Write("i", "d"))
            fixture.leader.zone = "b"
            fixture.register()
            fixture.near.index = 0
            session = fixture.session()
            await fixture.run(session, Begin(is_read_only=True))
            reply = await fixture.run(session, Read("i"))
            self.assertTrue(reply.is_success)

        self.assertNotIn("Read", run_with_fixture(work).near.statement_names())

    def test_first_statement_that_may_have_run_is_not_sent_elsewhere(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            await fixture.run(fixture.session(), Write("i", "d"))
            fixture.near.index = fixture.far.index = fixture.leader.index
            for database in fixture.databases.values():
                database.cut.add(Read)
            session = fixture.session()
            await fixture.run(session, Begin(is_read_only=True))
            reply = await fixture.run(session, Read("i"))
            self.assertEqual((reply.code, reply.state), (Code.ABORTED, FAILED))

        fixture = run_with_fixture(work)
        reads = [
            *fixture.leader.statement_names(),
            *fixture.near.statement_names(),
            *fixture.far.statement_names(),
        ]
        self.assertEqual(reads.count("Read"), 1)

    def test_failed_transaction_accepts_only_commit_or_rollback(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            fixture.leader.cut.add(Write)
            await fixture.run(session, Write("i", "d"))
            reply = await fixture.run(session, Read("i"))
            self.assertIs(reply.code, Code.MALFORMED)
            reply = await fixture.run(session, Commit())
            self.assertEqual((reply.code, reply.state), (Code.ABORTED, IDLE))

        run_with_fixture(work)

    def test_commit_without_answer_is_unknown_only_after_a_write(self) -> None:
        for statement, code in (
            (Write("i", "d"), Code.UNKNOWN_OUTCOME),
            (Read("i"), Code.ABORTED),
        ):
            with self.subTest(code=code):

                async def work(
                    fixture: GroupFixture,
                    first: Write | Read = statement,
                    code: Code = code,
                ) -> None:
                    session = fixture.session()
                    await fixture.run(session, Begin())
                    await fixture.run(session, first)
                    fixture.leader.cut.add(Commit)
                    reply = await fixture.run(session, Commit())
                    self.assertEqual((reply.code, reply.state), (code, IDLE))

                run_with_fixture(work)

    def test_rollback_and_disconnect_roll_back_at_the_database(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            for end in ("rollback", "disconnect"):
                session = fixture.session()
                await fixture.run(session, Begin())
                await fixture.run(session, Write("i", "d"))
                if end == "rollback":
                    await fixture.run(session, Rollback())
                else:
                    await fixture.service.end_session(session)

        self.assertEqual(
            run_with_fixture(work).leader.statement_names().count("Rollback"), 2
        )

    def test_timed_out_statement_releases_its_connection(self) -> None:
        """Guards against connections that are never released.

        The transaction stayed open at the database as well.
        """

        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            await fixture.run(session, Write("i", "d"))
            pool = fixture.fleet.connection_pool(fixture.leader.entry())
            while pool.semaphore.try_acquire():
                pass
            reply = await fixture.run(session, Read("i"))
            self.assertEqual((reply.code, reply.state), (Code.BUSY, FAILED))
            self.assertEqual(pool.in_use, 0)

        self.assertEqual(
            run_with_fixture(work).leader.statement_names()[-1], "Rollback"
        )

    def test_idle_transaction_is_ended(self) -> None:
        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            await fixture.run(session, Write("i", "d"))
            await fixture.service.expire_transaction(session)
            self.assertIs(session.state, FAILED)

        self.assertEqual(
            run_with_fixture(work).leader.statement_names()[-1], "Rollback"
        )


class EndedTransactionTest(unittest.TestCase):
    """Databases whose answers say that no transaction is open."""

    def test_no_statement_is_sent_if_the_begin_opened_no_transaction(self) -> None:
        """Guards against statements that take effect without a commit."""

        async def work(fixture: GroupFixture) -> None:
            session = fixture.session()
            await fixture.run(session, Begin())
            with mock.patch.object(FakeConnection, "_advance"):
                reply = await fixture.run(session, Write("i", "d"))
            self.assertEqual((reply.code, reply.state), (Code.BUSY, FAILED))

        ran = run_with_fixture(work).leader.statement_names()
        self.assertEqual(set(ran), {"Begin"})

    def test_no_statement_is_sent_behind_the_end_of_its_transaction(self) -> None:
        for is_first in (True, False):
            with self.subTest(is_first=is_first):

                async def work(
                    fixture: GroupFixture, is_first: bool = is_first
                ) -> None:
                    session = fixture.session()
                    await fixture.run(session, Begin())
                    if not is_first:
                        await fixture.run(session, Write("i", "c"))
                    with mock.patch.object(FakeConnection, "_advance", _end):
                        reply = await fixture.run(session, Write("i", "d"))
                    self.assertEqual(reply.code, Code.UNKNOWN_OUTCOME)
                    self.assertEqual(reply.state, FAILED)
                    reply = await fixture.run(session, Write("i", "e"))
                    self.assertEqual(reply.code, Code.MALFORMED)
                    reply = await fixture.run(session, Commit())
                    self.assertEqual((reply.code, reply.state), (Code.ABORTED, IDLE))

                fixture = run_with_fixture(work)
                ran = [each.statement for _, each in fixture.leader.ran]
                self.assertNotIn(Write("i", "e"), ran)
                self.assertNotIn(Commit(), ran)
                self.assertEqual(fixture.leader.connections, fixture.leader.closed)


def _end(connection: FakeConnection, request: Request) -> None:
    if not isinstance(request.statement, Begin):
        connection.state = SessionState.IDLE
    else:
        connection.state = SessionState.OPEN
