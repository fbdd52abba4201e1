"""Tests of what a proxy does in its grace period."""

import asyncio
import unittest

from beryltiller.platform.ingress import Ingress
from beryltiller.sessions.leaving import (
    BALANCER_SECONDS,
    LAST_ADMISSION_SECONDS,
    STOP_MARGIN_SECONDS,
    leaving,
)
from tests.fake_group import Rig

GRACE = 6.0


class LeavingTest(unittest.TestCase):
    """Serve on, let callers go, end what is open, admit nobody, stop."""

    def test_steps_in_order(self) -> None:
        end = GRACE - STOP_MARGIN_SECONDS
        cases = (
            ("balancers do not know yet", 0.1, 5, (False, False, True, False)),
            ("they do", BALANCER_SECONDS, 5, (True, False, True, False)),
            ("half the grace is over", 3.1, 5, (True, True, True, False)),
            (
                "the last ones were let in",
                end - LAST_ADMISSION_SECONDS,
                5,
                (True, True, False, False),
            ),
            ("nobody is left", 3.1, 0, (True, True, True, True)),
            (
                "nobody is left, transactions may come",
                2.9,
                0,
                (True, False, True, False),
            ),
            ("the end", end + 0.1, 5, (True, True, False, True)),
        )
        for name, passed, open_connections, expected in cases:
            with self.subTest(name):
                step = leaving(passed, GRACE, open_connections)
                found = (
                    step.closes_idle,
                    step.ends_transactions,
                    step.admits,
                    step.is_over,
                )
                self.assertEqual(found, expected)

    def test_whoever_is_let_in_has_time_for_a_statement(self) -> None:
        """Balancers may go on sending callers: a small zone has nobody else."""
        for grace in (3.0, 6.0, 30.0):
            with self.subTest(grace=grace):
                times = [step / 100 for step in range(int(grace * 100))]
                last = max(t for t in times if leaving(t, grace, 1).admits)
                over = min(t for t in times if leaving(t, grace, 1).is_over)
                self.assertGreaterEqual(over - last, LAST_ADMISSION_SECONDS)


class ListeningTest(unittest.IsolatedAsyncioTestCase):
    """A proxy that lets nobody in refuses the connection itself."""

    async def test_connection_is_refused_at_once(self) -> None:
        rig = Rig()
        ingress = Ingress(rig.service)
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
