"""Tests of the limits on requests' bodies, which all callers share."""

import asyncio
import doctest
import unittest
from contextlib import AsyncExitStack, ExitStack

from hypothesis import given, settings
from hypothesis import strategies as st

from beryltiller.consistency.statement import MAX_BODY_BYTES
from beryltiller.process import body_budget
from beryltiller.process.body_budget import BodyBudget, BodyBudgetError, BodyPolicy
from tests import proxy_fixture, servers
from tests.proxy_fixture import ProxyFixture, body

BODY_BYTES = 50_000
FITTING = 3
POLICY = BodyPolicy(max_bytes=FITTING * BODY_BYTES, receive_seconds=60.0)
HEAD = (
    b"POST /v1/statements HTTP/1.1\r\nHost: proxy\r\nBeryl-Route: read\r\n"
    b"Content-Length: %d\r\n\r\n"
)


class BodyBudgetTest(unittest.TestCase):
    """What is taken never exceeds the limit, and is released."""

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given(
        st.lists(st.one_of(st.none(), st.integers(0, 3 * MAX_BODY_BYTES)), max_size=30)
    )
    def test_taken_bytes_stay_within_the_limit(self, sizes: list[int | None]) -> None:
        policy = BodyPolicy(max_bytes=5 * MAX_BODY_BYTES)
        budget = BodyBudget(policy)
        with ExitStack() as stack:
            for size in sizes:
                try:
                    stack.enter_context(budget.reserved(size))
                except BodyBudgetError:
                    self.assertGreater(size or MAX_BODY_BYTES, policy.small_bytes)
                self.assertLessEqual(budget.taken_bytes, policy.max_bytes)
        self.assertEqual(budget.taken_bytes, 0)

    def test_compressed_body_counts_as_the_longest(self) -> None:
        """Guards against short bodies that take much memory once received."""
        budget = BodyBudget(BodyPolicy())
        with budget.reserved(100, {"Content-Encoding": "gzip"}):
            self.assertEqual(budget.taken_bytes, MAX_BODY_BYTES)

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(body_budget).failed, 0)


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """Callers with slow, large bodies take a bounded part of a proxy's memory."""

    async def asyncSetUp(self) -> None:
        self.stack = await self.enterAsyncContext(AsyncExitStack())

    async def start_body(
        self, proxy: ProxyFixture
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request without the last byte of its body."""
        host, port = proxy.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.stack.callback(writer.close)
        writer.write(HEAD % BODY_BYTES + b"x" * (BODY_BYTES - 1))
        return reader, writer

    async def status(self, reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
        """Return the status and the outcome of the answer."""
        async with asyncio.timeout(servers.UNTIL_TIMEOUT_SECONDS):
            head = await reader.readuntil(b"\r\n\r\n")
        _, _, outcome = head.partition(b"Beryl-Outcome: ")
        return head.split()[1], outcome.split()[0]

    async def test_further_large_body_is_refused_until_one_has_ended(self) -> None:
        """Guards against callers that fill the memory of a proxy with bodies."""
        proxy = await proxy_fixture.start(self.stack, POLICY)
        begun = [await self.start_body(proxy) for _ in range(FITTING)]

        async def has_taken(count: int) -> bool:
            return proxy.proxy.in_flight == count

        await servers.until(lambda: has_taken(FITTING))
        reader, _ = await self.start_body(proxy)
        self.assertEqual(await self.status(reader), (b"429", b"not-run"))
        small = await proxy.post("/v1/statements", body("get", "a"), Beryl_Route="read")
        self.assertEqual(small.status, 200)

        begun[0][1].write(b"x")
        self.assertEqual(await self.status(begun[0][0]), (b"400", b"not-run"))
        await servers.until(lambda: has_taken(FITTING - 1))
        reader, writer = await self.start_body(proxy)
        writer.write(b"x")
        self.assertEqual(await self.status(reader), (b"400", b"not-run"))

    async def test_caller_that_leaves_amid_its_body_fails_nothing(self) -> None:
        """Guards against a log of one traceback for each such caller."""
        proxy = await proxy_fixture.start(self.stack, POLICY)
        with self.assertNoLogs("beryltiller.process.proxy"):
            _, writer = await self.start_body(proxy)

            async def has_taken(count: int) -> bool:
                return proxy.proxy.in_flight == count

            await servers.until(lambda: has_taken(1))
            writer.close()
            await servers.until(lambda: has_taken(0))

    async def test_body_that_does_not_arrive_is_not_run(self) -> None:
        policy = BodyPolicy(receive_seconds=0.2)
        proxy = await proxy_fixture.start(self.stack, policy)
        reader, _ = await self.start_body(proxy)
        self.assertEqual(await self.status(reader), (b"503", b"not-run"))
