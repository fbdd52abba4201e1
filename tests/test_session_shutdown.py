"""Tests of the decisions of a stopping proxy in its grace period."""

import asyncio
import unittest

from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.serving.shutdown import (
    BALANCER_SECONDS,
    LAST_ADMISSION_SECONDS,
    STOP_MARGIN_SECONDS,
    shutdown_step,
)
from tests.fake_group import GroupFixture

GRACE = 6.0


class ShutdownStepTest(unittest.TestCase):
    """The steps of the grace period, from normal service to the end."""

    def test_steps_in_order(self) -> None:
        end = GRACE - STOP_MARGIN_SECONDS
        cases = (
            ("before balancers notice", 0.1, 5, (False, False, True, False)),
            ("balancers have noticed", BALANCER_SECONDS, 5, (True, False, True, False)),
            ("half of the grace period is over", 3.1, 5, (True, True, True, False)),
            (
                "after the last admission",
                end - LAST_ADMISSION_SECONDS,
                5,
                (True, True, False, False),
            ),
            ("no connections left", 3.1, 0, (True, True, True, True)),
            (
                "no connections left, transactions still allowed",
                2.9,
                0,
                (True, False, True, False),
            ),
            ("the end", end + 0.1, 5, (True, True, False, True)),
        )
        for name, passed, open_connections, expected in cases:
            with self.subTest(name):
                step = shutdown_step(passed, GRACE, open_connections)
                found = (
                    step.closes_idle,
                    step.ends_transactions,
                    step.admits,
                    step.is_over,
                )
                self.assertEqual(found, expected)

    def test_last_admitted_caller_has_time_for_a_statement(self) -> None:
        """Guards against cutting off callers that are admitted late.

        Balancers may go on sending callers if a small zone has no other proxy.
        """
        for grace in (3.0, 6.0, 30.0):
            with self.subTest(grace=grace):
                times = [step / 100 for step in range(int(grace * 100))]
                last = max(t for t in times if shutdown_step(t, grace, 1).admits)
                over = min(t for t in times if shutdown_step(t, grace, 1).is_over)
                self.assertGreaterEqual(over - last, LAST_ADMISSION_SECONDS)


class ListeningTest(unittest.IsolatedAsyncioTestCase):
    """The listener of a proxy that admits no callers, which refuses connections."""

    async def test_connection_is_refused_at_once(self) -> None:
        fixture = GroupFixture()
        ingress = Ingress(fixture.service)
        self.addCleanup(ingress.close)
        await ingress.listen("127.0.0.1", 0)
        port = ingress.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"STARTUP db u1\r\n")
        self.assertEqual(await reader.readline(), b"READY I -\r\n")
        ingress.stop_listening()
        with self.assertRaises(ConnectionRefusedError):
            await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"QUERY 1 SET a b\r\n")
        self.assertEqual(await reader.readline(), b"COMPLETE -\r\n")
        writer.close()
