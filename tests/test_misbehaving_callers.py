"""Crowds of misbehaving callers at a real proxy process of the platform."""

import unittest
from contextlib import AsyncExitStack
from unittest import mock

from beryltiller.core.addresses import Address
from tests import limited_platform_proxy, soak_connections
from tests.limited_platform_proxy import START, LimitedPlatformProxy
from tests.misbehaving_callers import (
    MEGABYTE,
    Crowd,
    crowd,
    open_descriptors,
    peak_memory_bytes,
)

MEMORY_MB = 96
DESCRIPTORS = 192
MANY_DESCRIPTORS = 1024
LARGE_CROWD = 240
CROWD = 100
LARGE_BYTES = 900_000
# Two of four reads on a connection are answered with a row of this size.
LARGE_ROWS = ("x" * LARGE_BYTES,)
# A caller that has received so much is answered with such a row.
BEGUN_BYTES = 4096
# One character of four bytes makes all characters of a text take four.
WIDE_MESSAGE = f"QUERY q WRITE item \U0001f600{'x' * LARGE_BYTES}\r\n".encode()
# Statements wait for slots of their database meanwhile.
SLOW_WORK_SECONDS = 1.0
BATCH = 10
OVERLONG = b"QUERY q READ " + b"x" * 3_000_000
FRAGMENT_BYTES = 7


class CallersTestCase(unittest.IsolatedAsyncioTestCase):
    """A proxy with small limits, and a crowd at it."""

    descriptors = MANY_DESCRIPTORS
    proxy: LimitedPlatformProxy
    crowd: Crowd

    async def asyncSetUp(self) -> None:
        stack = await self.enterAsyncContext(AsyncExitStack())
        self.proxy = await limited_platform_proxy.start(
            stack, MEMORY_MB, self.descriptors
        )
        front = Address(self.proxy.front.ip, self.proxy.front.port)
        self.crowd = await stack.enter_async_context(crowd(front))

    async def check_proxy(self) -> None:
        """Check that the process lives within its limits and serves."""
        self.assertTrue(self.proxy.is_running)
        is_served = await self.proxy.serves_a_read()
        self.assertTrue(self.proxy.is_running)
        peak = peak_memory_bytes(self.proxy.pid)
        self.assertLessEqual(peak, MEMORY_MB * MEGABYTE)
        self.assertLess(open_descriptors(self.proxy.pid), self.descriptors)
        self.assertTrue(is_served, "an ordinary read was not served")


class UnreadAnswersTest(CallersTestCase):
    """Guards against answers that fill the memory as their callers do not read."""

    async def test_large_answers_that_nobody_reads(self) -> None:
        sockets = await self.crowd.connect(CROWD)
        with mock.patch.object(soak_connections, "ROW_ENDS", LARGE_ROWS):
            await self.crowd.send(sockets, START + b"QUERY q READ item\r\n" * 4)
            await self.crowd.receive(sockets, BEGUN_BYTES)
        await self.check_proxy()


class LargeMessagesTest(CallersTestCase):
    """Guards against messages that are no longer counted while they are served."""

    async def test_large_messages_with_the_begin_of_another_behind_them(self) -> None:
        sockets = await self.crowd.connect(CROWD)
        with mock.patch.object(soak_connections, "WORK_SECONDS", SLOW_WORK_SECONDS):
            for first in range(0, CROWD, BATCH):
                batch = sockets[first : first + BATCH]
                await self.crowd.send(batch, START + WIDE_MESSAGE)
                await self.crowd.send(batch, b"QUERY")
        await self.check_proxy()

    async def test_many_large_messages_ahead_on_one_connection(self) -> None:
        sockets = await self.crowd.connect(1)
        await self.crowd.send(sockets, START + WIDE_MESSAGE * 30)
        await self.check_proxy()

    async def test_overlong_messages(self) -> None:
        sockets = await self.crowd.connect(CROWD)
        await self.crowd.send(sockets[::2], START + OVERLONG)
        await self.crowd.send(sockets[1::2], OVERLONG)
        await self.check_proxy()


class FragmentsTest(CallersTestCase):
    """Guards against memory and time that small pieces of messages would take."""

    async def test_messages_in_small_pieces_that_stop_half_way(self) -> None:
        sockets = await self.crowd.connect(CROWD)
        message = START + b"QUERY q READ item" + b"x" * 200
        for start in range(0, len(message), FRAGMENT_BYTES):
            part = message[start : start + FRAGMENT_BYTES]
            await self.crowd.send(sockets, part)
        await self.check_proxy()


class OnlyConnectedTest(CallersTestCase):
    """Guards against connections without a session that keep ordinary callers out."""

    descriptors = DESCRIPTORS

    async def test_crowd_that_only_connects(self) -> None:
        await self.crowd.connect(LARGE_CROWD)
        await self.check_proxy()

    async def test_crowd_that_stops_within_the_first_message(self) -> None:
        sockets = await self.crowd.connect(LARGE_CROWD)
        await self.crowd.send(sockets, b"STARTUP ord")
        await self.check_proxy()
