"""Tests of the names of prepared statements, and of databases that read by the page."""

import unittest

from beryltiller.sessions.connections.pooled_connection import PooledConnection
from beryltiller.sessions.connections.prepared_names import PreparedNames
from beryltiller.sessions.errors import SessionError, StatementLostError
from beryltiller.sessions.statements import (
    Begin,
    Code,
    Commit,
    Execute,
    Prepare,
    Request,
)
from tests.page_database import PageConnection, PageDatabase
from tests.page_reader import SessionState


class SharedConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Callers who share a connection run the statements that they have prepared."""

    def setUp(self) -> None:
        self.database = PageDatabase()
        self.pooled = PooledConnection(PageConnection(self.database), 0.0)

    async def execute(self, shape: str, identifier: str, arguments: str) -> None:
        """Execute a read of a shape for a session that has prepared it as `s1`."""
        request = Request(Execute("s1", arguments), identifier)
        try:
            await self.pooled.run(request, {}, {"s1": Prepare("s1", False, shape)})
        except SessionError:
            # What has run is checked, also behind a set-up that was refused.
            return

    async def test_blanks_in_a_shape_add_no_words_to_an_executed_statement(
        self,
    ) -> None:
        await self.execute("q2 READ mhn", "a", "1a4")
        found = [(each.identifier, each.arguments) for each in self.database.ran]
        self.assertEqual(found, [("a", "1a4")])

    async def test_shape_of_one_caller_does_not_redefine_that_of_another(self) -> None:
        await self.execute("q2f", "a", "1a4")
        await self.execute("q2f READ wf", "b", "1a4")
        await self.execute("q2f", "c", "1a4")
        found = [each.shape for each in self.database.ran if each.identifier == "c"]
        self.assertEqual(found, ["q2f"])

    async def test_dropped_names_are_deallocated(self) -> None:
        for number in range(600):
            await self.execute(f"q{number}", str(number), "1a4")
        await self.execute("q0", "last", "1a4")
        shapes = [each.shape for each in self.database.ran]
        self.assertEqual(shapes, [*(f"q{number}" for number in range(600)), "q0"])
        self.assertLessEqual(len(self.database.state.prepared), 256)

    async def test_long_shapes_of_one_caller_do_not_pile_up(self) -> None:
        for number in range(20):
            await self.execute(f"{number}" + "x" * 200_000, str(number), "1a4")
        kept = sum(len(each.shape) for each in self.database.state.prepared.values())
        self.assertLessEqual(kept, 256 * 1024)
        self.assertEqual(len(self.database.ran), 20)


class LostSetUpTest(unittest.IsolatedAsyncioTestCase):
    """What a database may have undone or lost is set up again before it is used."""

    def setUp(self) -> None:
        self.database = PageDatabase(undoes_set_up=True)
        self.pooled = PooledConnection(PageConnection(self.database), 0.0)
        self.prepared = {"s1": Prepare("s1", False, "q1")}

    async def execute(self, identifier: str, values: dict[str, str]) -> None:
        request = Request(Execute("s1", "1a4"), identifier)
        await self.pooled.run(request, values, self.prepared)

    async def test_set_up_in_a_transaction_does_not_outlive_its_rollback(self) -> None:
        """Guards against values that are undone at the database only."""
        await self.pooled.run(Request(Begin()), {}, {})
        await self.execute("a", {"v": "1"})
        await self.pooled.roll_back()
        await self.execute("b", {"v": "1"})
        ran = [(each.identifier, each.shape, each.values) for each in self.database.ran]
        values = (("v", "1"),)
        self.assertEqual(ran, [("a", "q1", values), ("b", "q1", values)])

    async def test_rollback_without_a_set_up_costs_no_other_line(self) -> None:
        await self.execute("a", {"v": "1"})
        await self.pooled.run(Request(Begin()), {"v": "1"}, {})
        await self.execute("b", {"v": "1"})
        await self.pooled.roll_back()
        before = self.database.lines
        await self.execute("c", {"v": "1"})
        self.assertEqual(self.database.lines, before + 1)

    async def test_commit_that_is_sent_again_is_sent_without_a_reset(self) -> None:
        """Guards against a reset inside the transaction that is to be committed."""
        await self.pooled.run(Request(Begin()), {"v": "1"}, {})
        await self.execute("a", {"v": "1"})
        self.database.refuse = lambda query: "BUSY" if query.word == "COMMIT" else ""
        await self.pooled.run(Request(Commit(), "c"), {"v": "1"}, {})
        before = self.database.lines
        await self.pooled.run(Request(Commit(), "c"), {"v": "1"}, {})
        self.assertEqual(self.database.lines, before + 1)

    async def test_set_up_in_a_transaction_does_not_outlive_its_refused_commit(
        self,
    ) -> None:
        await self.pooled.run(Request(Begin()), {}, {})
        await self.execute("a", {"v": "1"})
        self.database.transaction = "I"
        self.database.state = SessionState()
        self.database.refuse = lambda query: "FAILED" if query.word == "COMMIT" else ""
        await self.pooled.run(Request(Commit(), "c"), {"v": "1"}, {})
        await self.execute("b", {"v": "1"})
        self.assertEqual(self.database.ran[-1].values, (("v", "1"),))

    async def test_statement_that_a_database_has_lost_is_not_unknown_to_its_caller(
        self,
    ) -> None:
        await self.execute("a", {})
        self.database.state.prepared.clear()
        with self.assertRaises(StatementLostError) as caught:
            await self.execute("b", {})
        self.assertIs(caught.exception.code, Code.ABORTED)
        self.assertFalse(self.pooled.is_open)


class NamesTest(unittest.TestCase):
    """Names are given once, and the least recently used are removed."""

    def test_statement_keeps_its_name_while_it_is_used(self) -> None:
        names = PreparedNames(max_names=2)
        kept = names.use(Prepare("s1", False, "a")).name
        names.use(Prepare("s1", False, "b"))
        self.assertEqual(names.use(Prepare("s2", False, "a")).name, kept)
        use = names.use(Prepare("s1", False, "c"))
        self.assertNotIn(kept, use.removed)
        self.assertEqual(len(use.removed), 1)

    def test_kinds_of_one_shape_have_names_of_their_own(self) -> None:
        names = PreparedNames()
        read = names.use(Prepare("s1", False, "a"))
        self.assertNotEqual(names.use(Prepare("s1", True, "a")).name, read.name)

    def test_name_is_not_given_again_after_a_reset(self) -> None:
        names = PreparedNames()
        before = names.use(Prepare("s1", False, "a")).name
        names.clear()
        self.assertEqual((len(names), names.shape_bytes), (0, 0))
        self.assertNotEqual(names.use(Prepare("s1", False, "b")).name, before)

    def test_single_long_shape_is_kept_on_its_own(self) -> None:
        names = PreparedNames(max_shape_bytes=10)
        names.use(Prepare("s1", False, "a"))
        use = names.use(Prepare("s1", False, "b" * 20))
        self.assertEqual((use.is_new, len(use.removed)), (True, 1))
        self.assertEqual(names.shape_bytes, 20)
        self.assertEqual(len(names.use(Prepare("s1", False, "c")).removed), 1)
