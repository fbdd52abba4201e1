"""Tests of the limit that the pools of all organisations share at a database."""

import asyncio
import unittest

from beryltiller.sessions.connections.admission_semaphore import AdmissionSemaphore
from beryltiller.sessions.connections.connection_limits import ConnectionPoolPolicy
from beryltiller.sessions.connections.database_pools import DatabasePools
from beryltiller.sessions.connections.pooled_connection import DatabaseConnection
from beryltiller.sessions.errors import NoCapacityError, NotSentError
from beryltiller.sessions.statements import Code
from tests.fake_group import FakeConnection, FakeDatabase
from tests.virtual_loop import run_virtual


class PoolsFixture:
    """The pools of one database, whose openings are counted by organisation."""

    def __init__(self, share: int) -> None:
        self.database = FakeDatabase("d")
        self.opened: list[str] = []
        self.refuses = False
        self.pools = DatabasePools(
            self._connect, AdmissionSemaphore(9), ConnectionPoolPolicy(share)
        )

    async def _connect(self, organisation: str) -> DatabaseConnection:
        await asyncio.sleep(0.01)
        if self.refuses:
            raise NotSentError(Code.CONNECTION_LIMIT, "full")
        self.opened.append(organisation)
        return FakeConnection(self.database)


class SharedLimitTest(unittest.TestCase):
    """All organisations together keep to the limit on connections to a database."""

    def test_idle_connection_of_another_organisation_gives_way(self) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=2)
            first, second, third = map(fixture.pools.pool, ("a", "b", "c"))
            connection = await first.acquire({}, 1.0)
            first.release(connection)
            await second.acquire({}, 1.0)
            await third.acquire({}, 1.0)
            self.assertFalse(connection.is_open)
            self.assertEqual(fixture.pools.size, 2)

        run_virtual(work())

    def test_proxy_that_forwards_keeps_no_idle_connections(self) -> None:
        """Connections opened before forwarding began would use up the limit."""

        async def work() -> None:
            fixture = PoolsFixture(share=3)
            for organisation in ("a", "b"):
                pool = fixture.pools.pool(organisation)
                pool.release(await pool.acquire({}, 1.0))
            now = asyncio.get_running_loop().time()
            fixture.pools.close_idle(now + 100.0)
            self.assertEqual(fixture.pools.size, 2)
            fixture.pools.set_share(0)
            fixture.pools.close_idle(now + 100.0)
            await asyncio.sleep(0.1)
            self.assertEqual(fixture.pools.size, 0)
            # Without a holder that responds, this proxy runs statements itself.
            self.assertTrue((await fixture.pools.pool("a").acquire({}, 1.0)).is_open)

        run_virtual(work())

    def test_waiting_organisation_takes_the_place_of_a_released_connection(
        self,
    ) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=1)
            first, second = map(fixture.pools.pool, ("a", "b"))
            held = await first.acquire({}, 1.0)
            waiting = asyncio.create_task(second.acquire({}, 1.0))
            await asyncio.sleep(0.1)
            first.release(held)
            self.assertTrue((await waiting).is_open)
            self.assertFalse(held.is_open)
            self.assertEqual(fixture.pools.size, 1)

        run_virtual(work())

    def test_room_is_passed_on_if_it_was_not_used(self) -> None:
        """Guards against statements that wait in vain though there is room."""

        async def work(name: str) -> None:
            fixture = PoolsFixture(share=1)
            first, second = map(fixture.pools.pool, ("a", "b"))
            opening = asyncio.create_task(first.acquire({}, 1.0))
            await asyncio.sleep(0.005 if name == "opening ended" else 0.1)
            own = asyncio.create_task(first.acquire({}, 1.0))
            other = asyncio.create_task(second.acquire({}, 1.0))
            await asyncio.sleep(0.001)
            if name == "opening ended":
                own.cancel()
                opening.cancel()
            elif name == "waiter ended":
                first.discard(opening.result())
                own.cancel()
            else:
                own.cancel()
                await asyncio.sleep(0.001)
                first.discard(opening.result())
            self.assertTrue((await other).is_open)

        for name in ("opening ended", "waiter ended", "connection broke"):
            with self.subTest(name):
                run_virtual(work(name))

    def test_organisation_waits_in_vain_while_all_connections_are_in_use(
        self,
    ) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=1)
            await fixture.pools.pool("a").acquire({}, 1.0)
            with self.assertRaises(NoCapacityError):
                await fixture.pools.pool("b").acquire({}, 0.2)
            self.assertEqual(fixture.opened, ["a"])

        run_virtual(work())

    def test_refused_organisation_replaces_an_idle_connection_of_another(
        self,
    ) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=4)
            idle = await fixture.pools.pool("a").acquire({}, 1.0)
            fixture.pools.pool("a").release(idle)
            fixture.refuses = True
            with self.assertRaises(NotSentError):
                await fixture.pools.pool("b").acquire({}, 0.1)
            fixture.refuses = False
            await fixture.pools.pool("b").acquire({}, 0.1)
            self.assertEqual(fixture.opened, ["a", "b"])

        run_virtual(work())

    def test_query_of_the_proxy_uses_any_idle_connection(self) -> None:
        async def work() -> None:
            fixture = PoolsFixture(share=2)
            pool = fixture.pools.pool("a")
            pool.release(await pool.acquire({}, 1.0))
            self.assertIs(fixture.pools.for_queries(), pool)
            await pool.acquire({}, 1.0)
            self.assertIs(fixture.pools.for_queries(), fixture.pools.pool())

        run_virtual(work())
