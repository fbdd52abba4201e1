"""Contract tests of the platform client, against the stand-in over HTTP."""

import unittest
from contextlib import AsyncExitStack

from aiohttp import web

from beryltiller.adapters import transport
from beryltiller.adapters.platform_client import HostModel, PlatformClient
from beryltiller.core.ports import HostKind, LostAnswerError, RefusedError, Write
from tests import servers


class TableServiceTest(unittest.IsolatedAsyncioTestCase):
    """Rows are versioned; a transaction commits all its writes or none."""

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.standin, self.platform = await servers.platform(self.stack)

    async def test_absent_row_is_none(self) -> None:
        self.assertIsNone(await self.platform.read("terms", "g1"))

    async def test_a_row_is_read_back_with_its_version(self) -> None:
        (version,) = await self.platform.commit([Write("terms", "g1", 0, b"\x00one")])
        row = await self.platform.read("terms", "g1")
        assert row is not None
        self.assertEqual((row.version, row.value), (version, b"\x00one"))

    async def test_odd_names_are_read_back(self) -> None:
        """Guards against an odd key that names another row, table or operation."""
        keys = ("a/b", "a?since=0", "a#b", "a%2Fb", "../g1", "a b\r\n", "\u00e9")
        for table, key in (
            (table, key) for table in ("terms", "t/rows") for key in keys
        ):
            with self.subTest(table=table, key=key):
                await self.platform.commit([Write(table, key, 0, key.encode())])
                row = await self.platform.read(table, key)
                assert row is not None
                self.assertEqual((row.key, row.value), (key, key.encode()))
                scan = await self.platform.scan(table)
                self.assertIn(key, [each.key for each in scan.rows])

    async def test_name_that_no_path_can_hold_is_refused_unsent(self) -> None:
        await self.platform.commit([Write("terms", "g1", 0, b"one")])
        for key in ("", ".", ".."):
            with self.subTest(key), self.assertRaises(RefusedError):
                await self.platform.read("terms", key)

    async def test_a_conflict_commits_nothing(self) -> None:
        await self.platform.commit([Write("terms", "g1", 0, b"one")])
        writes = [Write("terms", "g2", 0, b"new"), Write("terms", "g1", 0, b"two")]
        with self.assertRaises(RefusedError) as caught:
            await self.platform.commit(writes)
        self.assertEqual(caught.exception.code, "conflict")
        self.assertIsNone(await self.platform.read("terms", "g2"))

    async def test_scan_returns_rows_changed_since_the_revision(self) -> None:
        await self.platform.commit([Write("terms", "g1", 0, b"one")])
        first = await self.platform.scan("terms")
        await self.platform.commit([Write("terms", "g2", 0, b"two")])
        second = await self.platform.scan("terms", first.revision)
        self.assertEqual([row.key for row in second.rows], ["g2"])
        self.assertGreater(second.revision, first.revision)

    async def test_a_lost_answer_may_have_committed(self) -> None:
        self.standin.faults.lose_answers = 1
        with self.assertRaises(LostAnswerError):
            await self.platform.commit([Write("terms", "g1", 0, b"one")])
        self.assertIsNotNone(await self.platform.read("terms", "g1"))

    async def test_an_outage_refuses_the_request(self) -> None:
        self.standin.faults.refuse = True
        with self.assertRaises(RefusedError):
            await self.platform.commit([Write("terms", "g1", 0, b"one")])
        self.standin.faults.refuse = False
        self.assertIsNone(await self.platform.read("terms", "g1"))


class OtherServicesTest(unittest.IsolatedAsyncioTestCase):
    """Objects are stored unchanged; the host list is published with a delay.

    A closed port refuses the request; an overlong or missing answer is lost.
    """

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())
        self.standin, self.platform = await servers.platform(self.stack, 0.3)

    async def test_an_object_is_read_back(self) -> None:
        self.assertIsNone(await self.platform.get("snapshot"))
        await self.platform.put("snapshot", b"\x00bytes")
        self.assertEqual(await self.platform.get("snapshot"), b"\x00bytes")

    async def test_odd_object_names_are_read_back(self) -> None:
        names = ("a", "a/b", "a?b", "a#b", "a%2Fb", "../hosts", "\u00e9")
        for name in names:
            await self.platform.put(name, name.encode())
        for name in names:
            with self.subTest(name):
                self.assertEqual(await self.platform.get(name), name.encode())

    async def test_an_object_that_cannot_be_stored_is_refused(self) -> None:
        """Guards against a snapshot that is taken to be stored."""
        elsewhere = await servers.start(self.stack, web.Application())
        platform = PlatformClient(await servers.client(self.stack), elsewhere)
        with self.assertRaises(RefusedError) as caught:
            await platform.put("snapshot", b"bytes")
        self.assertEqual(caught.exception.code, "not-found")

    async def test_an_answer_over_the_size_limit_is_lost(self) -> None:
        async def answer(request: web.Request) -> web.Response:
            return web.Response(body=b"x" * 2000)

        app = web.Application()
        app.router.add_get("/long", answer)
        url = f"http://{await servers.start(self.stack, app)}/long"
        session = await servers.client(self.stack)
        reply = await transport.send(session, "GET", url, max_bytes=2000)
        self.assertEqual(len(reply.body), 2000)
        with self.assertRaises(LostAnswerError):
            await transport.send(session, "GET", url, max_bytes=1999)

    async def test_a_hang_is_a_lost_answer(self) -> None:
        self.standin.faults.hang = True
        with self.assertRaises(LostAnswerError):
            await self.platform.get("snapshot")

    async def test_a_closed_port_is_a_refusal(self) -> None:
        unreachable = PlatformClient(await servers.client(self.stack), "127.0.0.1:9")
        with self.assertRaises(RefusedError) as caught:
            await unreachable.get("snapshot")
        self.assertEqual(caught.exception.code, "unreachable")

    async def test_hosts_are_listed_with_a_delay(self) -> None:
        hosts = self.standin.hosts
        entry = HostModel("p1", HostKind.ENTRY, "127.0.0.1:1", "zagreb-a")
        hosts.put(entry, now=0.0)
        hosts.put(
            HostModel("d1", HostKind.ENDPOINT, "127.0.0.1:2", "zagreb-a"), now=10.0
        )
        self.assertEqual(hosts.list_at(9.0), [entry])
        self.assertEqual(len(hosts.list_at(10.0)), 2)
        listed = await self.platform.hosts()
        self.assertEqual(listed[0].kind, HostKind.ENTRY)
