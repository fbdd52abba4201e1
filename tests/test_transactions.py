"""Tests of transactions: whose they are, how they end, and what they leave."""

import asyncio
import doctest
import unittest
from collections.abc import Awaitable, Callable

from beryltiller.admission.tickets import Ticket
from beryltiller.core.outcome import Kind
from beryltiller.core.ports import EndpointAnswer, Statement
from beryltiller.dispatching import transactions
from beryltiller.dispatching.dispatch_errors import (
    DispatchError,
    NotRunError,
    UnknownOutcomeError,
)
from beryltiller.dispatching.transaction_runner import TransactionRunner
from tests.test_dispatch import Bench, on_bench
from tests.virtual_loop import virtual_now


class Desk:
    """Run transactions for callers on a bench."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        self.runner = TransactionRunner(bench.dispatcher, clock=virtual_now)
        self.number = 0

    def ticket(self, caller: str = "shop") -> Ticket:
        """Return a new ticket."""
        self.number += 1
        name = f"t{self.number}"
        return Ticket(name, caller, Kind.UNSAFE_WRITE, virtual_now() + 1.0)

    async def begin(self, caller: str = "shop") -> str:
        """Begin a transaction."""
        return await self.runner.begin(self.ticket(caller), term=1)

    async def run(
        self, identifier: str, body: str, caller: str = "shop"
    ) -> EndpointAnswer:
        """Run a statement."""
        statement = Statement(Kind.UNSAFE_WRITE, body.encode())
        return await self.runner.run(identifier, self.ticket(caller), statement)

    async def commit(self, identifier: str, key: str = "") -> EndpointAnswer:
        """Commit."""
        return await self.runner.commit(identifier, self.ticket(), key)


def on_desk(work: Callable[[Desk], Awaitable[None]], share: int = 4) -> Bench:
    """Run work on a desk; check that nothing was mixed or left open."""

    async def checked(bench: Bench) -> None:
        await work(Desk(bench))

    bench = on_bench(checked, share)
    assert bench.endpoint.violations == [], bench.endpoint.violations
    assert bench.dispatcher.pool.ledger.in_use == 0
    return bench


class TransactionTest(unittest.TestCase):
    """A transaction commits whole or leaves nothing."""

    def test_commit_is_one_entry_and_the_connection_is_reused(self) -> None:
        async def work(desk: Desk) -> None:
            identifier = await desk.begin()
            await desk.run(identifier, "a")
            await desk.run(identifier, "b")
            await desk.commit(identifier)
            await desk.bench.run("r", "plain")

        bench = on_desk(work)
        self.assertEqual(bench.endpoint.log, [(b"a", b"b")])

    def test_ends(self) -> None:
        cases = (
            ("lost", UnknownOutcomeError),
            ("refuse behind", NotRunError),
            ("refuse fault", NotRunError),
            ("sleep 9", UnknownOutcomeError),
        )
        for body, error_type in cases:

            async def fail_statement(
                desk: Desk, body: str = body, error: type[DispatchError] = error_type
            ) -> None:
                identifier = await desk.begin()
                with self.assertRaises(error):
                    await desk.run(identifier, body)
                with self.assertRaises(NotRunError):
                    await desk.run(identifier, "more")
                with self.assertRaises(NotRunError):
                    await desk.commit(identifier)
                await desk.runner.rollback(identifier, desk.ticket())
                self.assertEqual(desk.runner.open, 0)
                await desk.bench.run("r", "plain")

            async def fail_commit(
                desk: Desk, body: str = body, error: type[DispatchError] = error_type
            ) -> None:
                identifier = await desk.begin()
                with self.assertRaises(error):
                    await desk.commit(identifier, key=body)
                self.assertEqual(desk.runner.open, 0)
                await desk.bench.run("r", "plain")

            for work in (fail_statement, fail_commit):
                with self.subTest(body, work=work.__name__):
                    self.assertEqual(on_desk(work).endpoint.log, [])

    def test_rollback_leaves_nothing(self) -> None:
        async def work(desk: Desk) -> None:
            identifier = await desk.begin()
            await desk.run(identifier, "a")
            await desk.runner.rollback(identifier, desk.ticket())
            with self.assertRaises(NotRunError):
                await desk.commit(identifier)

        self.assertEqual(on_desk(work).endpoint.log, [])

    def test_another_callers_transaction_does_not_exist(self) -> None:
        async def work(desk: Desk) -> None:
            identifier = await desk.begin("shop")
            self.assertGreaterEqual(len(identifier), 20)
            messages = []
            for wanted in (identifier, "none"):
                with self.assertRaises(NotRunError) as caught:
                    await desk.run(wanted, "x", caller="other")
                messages.append(str(caught.exception))
            self.assertEqual(messages[0], messages[1])
            with self.assertRaises(NotRunError):
                await desk.runner.rollback(identifier, desk.ticket("other"))
            await desk.commit(identifier)

        on_desk(work)

    def test_one_statement_at_a_time(self) -> None:
        async def work(desk: Desk) -> None:
            identifier = await desk.begin()
            first = asyncio.create_task(desk.run(identifier, "sleep 0.1"))
            await asyncio.sleep(0.01)
            with self.assertRaises(NotRunError):
                await desk.run(identifier, "x")
            await first
            await desk.commit(identifier)

        on_desk(work)

    def test_statement_does_not_wait_behind_those_without_a_connection(self) -> None:
        async def work(desk: Desk) -> None:
            identifier = await desk.begin()
            waiting = asyncio.create_task(desk.bench.run("r", "plain", 3.0))
            await asyncio.sleep(0.01)
            await desk.run(identifier, "a")
            await desk.commit(identifier)
            await waiting

        on_desk(work, share=1)

    def test_idle_and_old_ones_are_dropped(self) -> None:
        cases = (("idle", 5.0, 1, 7.5), ("old", 4.0, 30, 70.0))
        for name, pause, statements, latest in cases:

            async def work(
                desk: Desk,
                pause: float = pause,
                statements: int = statements,
                latest: float = latest,
            ) -> None:
                identifier = await desk.begin()
                for _ in range(statements):
                    try:
                        await desk.run(identifier, "a")
                    except NotRunError:
                        break
                    await asyncio.sleep(pause)
                await asyncio.sleep(2.0)
                self.assertEqual(desk.runner.open, 0)
                self.assertEqual(desk.bench.dispatcher.pool.ledger.in_use, 0)
                self.assertLess(virtual_now(), latest)
                await desk.bench.run("r", "plain")

            with self.subTest(name):
                self.assertEqual(on_desk(work).endpoint.log, [])

    def test_open_transactions_are_limited(self) -> None:
        async def work(desk: Desk) -> None:
            opened = []
            for caller, is_allowed in (
                ("a", True),
                ("a", False),
                ("b", True),
                ("c", False),
            ):
                if is_allowed:
                    opened.append((await desk.begin(caller), caller))
                    continue
                with self.assertRaises(NotRunError) as caught:
                    await desk.begin(caller)
                self.assertEqual(caught.exception.code, "transaction-limit")
            await desk.bench.run("r", "plain")
            for identifier, caller in opened:
                await desk.runner.rollback(identifier, desk.ticket(caller))

        on_desk(work, share=4)

    def test_failed_begin_leaves_no_transaction(self) -> None:
        async def work(desk: Desk) -> None:
            desk.bench.dispatcher.resize(0)
            with self.assertRaises(NotRunError):
                await desk.begin()
            self.assertEqual(desk.runner.open, 0)

        on_desk(work)

    def test_drain_waits_for_open_transactions(self) -> None:
        async def work(desk: Desk) -> None:
            identifier = await desk.begin()
            drain = asyncio.create_task(desk.bench.dispatcher.drain())
            await asyncio.sleep(0.1)
            self.assertFalse(drain.done())
            await desk.run(identifier, "a")
            await desk.commit(identifier)
            await drain

        self.assertEqual(on_desk(work).endpoint.log, [(b"a",)])

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(transactions).failed, 0)
