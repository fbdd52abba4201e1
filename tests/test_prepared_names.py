"""Tests of the names of prepared statements at databases that read by the page."""

import unittest

from beryltiller.sessions.connections.pooled_connection import PooledConnection
from beryltiller.sessions.errors import SessionError
from beryltiller.sessions.statements import Execute, Prepare, Request
from tests.page_database import PageConnection, PageDatabase


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
