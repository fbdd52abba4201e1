"""Tests of transactions: their owners, limits, outcomes and cleanup."""

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
from tests.test_dispatch import DispatcherFixture, run_with_dispatcher
from tests.virtual_loop import virtual_now


class TransactionFixture:
    """A transaction runner on a dispatcher fixture, with calls for test callers."""

    def __init__(self, dispatcher_fixture: DispatcherFixture) -> None:
        self.dispatcher_fixture = dispatcher_fixture
        self.runner = TransactionRunner(
            dispatcher_fixture.dispatcher, clock=virtual_now
        )
        self.number = 0

    def ticket(self, caller: str = "shop") -> Ticket:
        """Return a ticket with a new request id and a deadline in one second."""
        self.number += 1
        name = f"t{self.number}"
        return Ticket(name, caller, Kind.UNSAFE_WRITE, virtual_now() + 1.0)

    async def begin(self, caller: str = "shop") -> str:
        """Begin a transaction in term 1 and return its identifier."""
        return await self.runner.begin(self.ticket(caller), term=1)

    async def run(
        self, identifier: str, body: str, caller: str = "shop"
    ) -> EndpointAnswer:
        """Run a write statement with this body in the transaction."""
        statement = Statement(Kind.UNSAFE_WRITE, body.encode())
        return await self.runner.run(identifier, self.ticket(caller), statement)

    async def commit(self, identifier: str, key: str = "") -> EndpointAnswer:
        """Commit the transaction."""
        return await self.runner.commit(identifier, self.ticket(), key)


def run_with_transactions(
    work: Callable[[TransactionFixture], Awaitable[None]], share: int = 4
) -> DispatcherFixture:
    """Run `work`; check that connections were neither shared nor left in use."""

    async def checked(fixture: DispatcherFixture) -> None:
        await work(TransactionFixture(fixture))

    fixture = run_with_dispatcher(checked, share)
    assert fixture.endpoint.violations == [], fixture.endpoint.violations
    assert fixture.dispatcher.pool.ledger.in_use == 0
    return fixture


class TransactionTest(unittest.TestCase):
    """A transaction commits completely or has no effect.

    Guards against partial commits and connections that stay in use after a transaction
    failed, was left idle or lost its answer.
    """

    def test_commit_is_one_entry_and_the_connection_is_reused(self) -> None:
        async def work(fixture: TransactionFixture) -> None:
            identifier = await fixture.begin()
            await fixture.run(identifier, "a")
            await fixture.run(identifier, "b")
            await fixture.commit(identifier)
            await fixture.dispatcher_fixture.run("r", "plain")

        fixture = run_with_transactions(work)
        self.assertEqual(fixture.endpoint.log, [(b"a", b"b")])

    def test_failed_transaction_has_no_effect(self) -> None:
        cases = (
            ("lost", UnknownOutcomeError),
            ("refuse behind", NotRunError),
            ("refuse fault", NotRunError),
            ("sleep 9", UnknownOutcomeError),
        )
        for body, error_type in cases:

            async def fail_statement(
                fixture: TransactionFixture,
                body: str = body,
                error: type[DispatchError] = error_type,
            ) -> None:
                identifier = await fixture.begin()
                with self.assertRaises(error):
                    await fixture.run(identifier, body)
                with self.assertRaises(NotRunError):
                    await fixture.run(identifier, "more")
                with self.assertRaises(NotRunError):
                    await fixture.commit(identifier)
                await fixture.runner.rollback(identifier, fixture.ticket())
                self.assertEqual(fixture.runner.open_count, 0)
                await fixture.dispatcher_fixture.run("r", "plain")

            async def fail_commit(
                fixture: TransactionFixture,
                body: str = body,
                error: type[DispatchError] = error_type,
            ) -> None:
                identifier = await fixture.begin()
                with self.assertRaises(error):
                    await fixture.commit(identifier, key=body)
                self.assertEqual(fixture.runner.open_count, 0)
                await fixture.dispatcher_fixture.run("r", "plain")

            for work in (fail_statement, fail_commit):
                with self.subTest(body, work=work.__name__):
                    self.assertEqual(run_with_transactions(work).endpoint.log, [])

    def test_rollback_has_no_effect_on_the_log(self) -> None:
        async def work(fixture: TransactionFixture) -> None:
            identifier = await fixture.begin()
            await fixture.run(identifier, "a")
            await fixture.runner.rollback(identifier, fixture.ticket())
            with self.assertRaises(NotRunError):
                await fixture.commit(identifier)

        self.assertEqual(run_with_transactions(work).endpoint.log, [])

    def test_another_callers_transaction_is_answered_as_unknown(self) -> None:
        async def work(fixture: TransactionFixture) -> None:
            identifier = await fixture.begin("shop")
            self.assertGreaterEqual(len(identifier), 20)
            messages = []
            for wanted in (identifier, "none"):
                with self.assertRaises(NotRunError) as caught:
                    await fixture.run(wanted, "x", caller="other")
                messages.append(str(caught.exception))
            self.assertEqual(messages[0], messages[1])
            with self.assertRaises(NotRunError):
                await fixture.runner.rollback(identifier, fixture.ticket("other"))
            await fixture.commit(identifier)

        run_with_transactions(work)

    def test_concurrent_statement_is_refused(self) -> None:
        async def work(fixture: TransactionFixture) -> None:
            identifier = await fixture.begin()
            first = asyncio.create_task(fixture.run(identifier, "sleep 0.1"))
            await asyncio.sleep(0.01)
            with self.assertRaises(NotRunError):
                await fixture.run(identifier, "x")
            await first
            await fixture.commit(identifier)

        run_with_transactions(work)

    def test_statement_in_transaction_bypasses_the_queue(self) -> None:
        async def work(fixture: TransactionFixture) -> None:
            identifier = await fixture.begin()
            waiting = asyncio.create_task(
                fixture.dispatcher_fixture.run("r", "plain", 3.0)
            )
            await asyncio.sleep(0.01)
            await fixture.run(identifier, "a")
            await fixture.commit(identifier)
            await waiting

        run_with_transactions(work, share=1)

    def test_idle_and_old_transactions_are_dropped(self) -> None:
        cases = (("idle", 5.0, 1, 7.5), ("old", 4.0, 30, 70.0))
        for name, pause, statements, latest in cases:

            async def work(
                fixture: TransactionFixture,
                pause: float = pause,
                statements: int = statements,
                latest: float = latest,
            ) -> None:
                identifier = await fixture.begin()
                for _ in range(statements):
                    try:
                        await fixture.run(identifier, "a")
                    except NotRunError:
                        break
                    await asyncio.sleep(pause)
                await asyncio.sleep(2.0)
                self.assertEqual(fixture.runner.open_count, 0)
                self.assertEqual(
                    fixture.dispatcher_fixture.dispatcher.pool.ledger.in_use, 0
                )
                self.assertLess(virtual_now(), latest)
                await fixture.dispatcher_fixture.run("r", "plain")

            with self.subTest(name):
                self.assertEqual(run_with_transactions(work).endpoint.log, [])

    def test_number_of_open_transactions_is_limited(self) -> None:
        async def work(fixture: TransactionFixture) -> None:
            opened = []
            for caller, is_allowed in (
                ("a", True),
                ("a", False),
                ("b", True),
                ("c", False),
            ):
                if is_allowed:
                    opened.append((await fixture.begin(caller), caller))
                    continue
                with self.assertRaises(NotRunError) as caught:
                    await fixture.begin(caller)
                self.assertEqual(caught.exception.code, "transaction-limit")
            await fixture.dispatcher_fixture.run("r", "plain")
            for identifier, caller in opened:
                await fixture.runner.rollback(identifier, fixture.ticket(caller))

        run_with_transactions(work, share=4)

    def test_failed_begin_leaves_no_transaction(self) -> None:
        async def work(fixture: TransactionFixture) -> None:
            fixture.dispatcher_fixture.dispatcher.resize(0)
            with self.assertRaises(NotRunError):
                await fixture.begin()
            self.assertEqual(fixture.runner.open_count, 0)

        run_with_transactions(work)

    def test_drain_waits_for_open_transactions(self) -> None:
        async def work(fixture: TransactionFixture) -> None:
            identifier = await fixture.begin()
            drain = asyncio.create_task(fixture.dispatcher_fixture.dispatcher.drain())
            await asyncio.sleep(0.1)
            self.assertFalse(drain.done())
            await fixture.run(identifier, "a")
            await fixture.commit(identifier)
            await drain

        self.assertEqual(run_with_transactions(work).endpoint.log, [(b"a",)])

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(transactions).failed, 0)
