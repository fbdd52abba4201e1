"""Tests of the dispatcher with a fake database and a virtual clock."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from functools import partial

from beryltiller.admission.records import AdmissionRecords
from beryltiller.admission.tickets import Ticket
from beryltiller.admission.windows import AdaptiveLimit, LimitsPolicy, StaticLimit
from beryltiller.core.outcome import Kind, Outcome
from beryltiller.core.ports import (
    EndpointAnswer,
    LostAnswerError,
    RefusedError,
    Statement,
)
from beryltiller.dispatching.dispatch import Dispatcher, DispatchPolicy
from beryltiller.dispatching.dispatch_errors import (
    DispatchError,
    NotRunError,
    UnknownOutcomeError,
)
from tests.fake_endpoint import OPEN_SECONDS, FakeEndpoint
from tests.virtual_loop import run_virtual, virtual_now


class DispatcherFixture:
    """A dispatcher with its fake database and its admission records."""

    def __init__(self, share: int = 3, limit: int = 3) -> None:
        self.endpoint = FakeEndpoint()
        self.records = AdmissionRecords(capacity=4096)
        self.dispatcher = Dispatcher(
            "d1",
            self.endpoint,
            share,
            self.records,
            DispatchPolicy(limits=LimitsPolicy(StaticLimit(limit))),
            clock=virtual_now,
            rng=random.Random(5),
        )

    async def run(
        self, name: str, body: str, seconds: float = 5.0, caller: str = "shop"
    ) -> EndpointAnswer:
        """Run a read statement with this body."""
        ticket = Ticket(name, caller, Kind.READ, virtual_now() + seconds)
        statement = Statement(Kind.READ, body.encode())
        return await self.dispatcher.run(ticket, statement)


def run_with_dispatcher(
    work: Callable[[DispatcherFixture], Awaitable[None]], share: int = 3, limit: int = 3
) -> DispatcherFixture:
    """Run `work` with a dispatcher, close the dispatcher, and return the fixture."""
    fixture = DispatcherFixture(share, limit)

    async def entered() -> None:
        async with fixture.dispatcher:
            await work(fixture)

    run_virtual(entered())
    return fixture


class RunTest(unittest.TestCase):
    """Each statement ends with its answer or an error of the right type.

    A wrong outcome would make callers repeat a write that has run. A connection that is
    reused while out of sync would pass one statement's answer to another.
    """

    def test_outcome_of_each_ending_and_reuse_of_its_connection(self) -> None:
        cases = (
            ("select", 5.0, Outcome.DONE, "", True),
            ("lost", 5.0, Outcome.UNKNOWN, "lost-answer", False),
            ("sleep 9", 1.0, Outcome.UNKNOWN, "lost-answer", False),
            ("refuse behind", 5.0, Outcome.NOT_RUN, "behind", True),
            ("refuse fault", 5.0, Outcome.NOT_RUN, "fault", False),
            ("late", 0.0, Outcome.NOT_RUN, "deadline-passed", True),
            ("too short", 0.004, Outcome.NOT_RUN, "deadline-passed", True),
        )
        for body, seconds, outcome, code, is_reused in cases:
            with self.subTest(body):
                ended, is_open, fixture = self._run_and_report(body, seconds)
                self.assertEqual(ended, (outcome, code))
                self.assertEqual(is_open, is_reused)
                self.assertEqual(fixture.endpoint.violations, [])
                self.assertIs(fixture.records.find("r1")[0].outcome, outcome)

    def _run_and_report(
        self, body: str, seconds: float
    ) -> tuple[tuple[Outcome, str], bool, DispatcherFixture]:
        """Run one statement; return its outcome and whether its connection is kept."""
        ended = (Outcome.DONE, "")
        is_open = False

        async def work(fixture: DispatcherFixture) -> None:
            nonlocal ended, is_open
            try:
                answer = await fixture.run("r1", body, seconds)
                self.assertEqual(answer.body, body.encode())
            except (NotRunError, UnknownOutcomeError) as error:
                ended = (error.outcome, error.code)
            await asyncio.sleep(0.1)
            open_identifiers = {
                connection.identifier
                for connection in fixture.endpoint.open_connections
            }
            is_open = "c1" in open_identifiers
            self.assertTrue(fixture.dispatcher.queue.is_empty)

        fixture = run_with_dispatcher(work)
        return ended, is_open, fixture

    def test_caller_cancels_while_waiting_or_running(self) -> None:
        cases = (
            ("while it waits", 0.005, 1, Outcome.NOT_RUN),
            ("while it runs", OPEN_SECONDS + 0.001, 2, Outcome.UNKNOWN),
        )
        for name, moment, connects, outcome in cases:

            async def work(fixture: DispatcherFixture, moment: float = moment) -> None:
                call = asyncio.create_task(fixture.run("gone", "sleep 1"))
                await asyncio.sleep(moment)
                call.cancel()
                await asyncio.sleep(0)
                self.assertTrue(fixture.dispatcher.queue.is_empty)
                await fixture.run("a", "a")

            with self.subTest(name):
                fixture = run_with_dispatcher(work, share=1, limit=1)
                self.assertEqual(fixture.endpoint.violations, [])
                self.assertEqual(fixture.endpoint.open_connections, set())
                self.assertEqual(fixture.endpoint.connect_attempts, connects)
                self.assertIs(fixture.records.find("gone")[0].outcome, outcome)

    def test_caller_cancels_at_the_time_of_the_grant(self) -> None:
        end = OPEN_SECONDS + 0.05
        cases = (
            ("before", end - 1e-10, 0),
            ("at", end + 1e-10, 0),
            ("after", end + 1e-10, 1),
        )
        for name, moment, turns in cases:

            async def work(
                fixture: DispatcherFixture, moment: float = moment, turns: int = turns
            ) -> None:
                loop = asyncio.get_running_loop()
                first = asyncio.create_task(fixture.run("first", "sleep 0.05"))
                call = asyncio.create_task(fixture.run("gone", "x"))
                cancel = partial(loop.call_soon, call.cancel) if turns else call.cancel
                loop.call_at(moment, cancel)
                await first
                await fixture.run("third", "x", 0.1)
                self.assertTrue(call.cancelled())
                self.assertEqual(fixture.dispatcher.pool.ledger.in_use, 0)

            with self.subTest(name):
                fixture = run_with_dispatcher(work, share=1, limit=1)
                self.assertEqual(fixture.endpoint.violations, [])
                outcomes = [record.outcome for record in fixture.records.find("gone")]
                self.assertEqual(outcomes, [Outcome.NOT_RUN])

    def test_statement_is_not_sent_after_its_deadline(self) -> None:
        async def work(fixture: DispatcherFixture) -> None:
            ticket = Ticket("a", "shop", Kind.READ, 1.0)
            admission = await fixture.dispatcher.admit(ticket)
            await asyncio.sleep(2.0)
            with self.assertRaises(NotRunError):
                await fixture.dispatcher.execute(
                    admission, lambda connection: connection.commit()
                )
            fixture.dispatcher.release(admission.acquired)
            self.assertEqual(fixture.endpoint.log, [])

        run_with_dispatcher(work)

    def test_no_share_refuses_at_once(self) -> None:
        async def work(fixture: DispatcherFixture) -> None:
            with self.assertRaises(NotRunError) as caught:
                await fixture.run("a", "x")
            self.assertEqual(caught.exception.code, "no-connection")
            self.assertEqual(virtual_now(), 0.0)

        self.assertEqual(
            run_with_dispatcher(work, share=0).endpoint.connect_attempts, 0
        )

    def test_unreachable_database_refuses_quickly_and_recovers(self) -> None:
        async def work(fixture: DispatcherFixture) -> None:
            faults = [RefusedError("unreachable"), LostAnswerError("connect")]
            fixture.endpoint.fault = lambda: faults.pop() if faults else None
            for name in ("a", "b"):
                with self.assertRaises(NotRunError) as caught:
                    await fixture.run(name, "x")
                self.assertEqual(caught.exception.code, "no-connection")
            self.assertLess(virtual_now(), 0.1)
            await asyncio.sleep(0.2)
            await fixture.run("c", "x")

        run_with_dispatcher(work)


class LimitTest(unittest.TestCase):
    """The window and the share limit the concurrent statements and the connections.

    Guards against a proxy that overloads the database, or that uses connections of
    other proxies' shares.
    """

    def test_window_and_share_limit_concurrency(self) -> None:
        cases = (("window", 5, 2, 2), ("share", 2, 5, 2), ("both", 4, 4, 4))
        for name, share, limit, max_busy in cases:
            peak_busy = 0

            async def work(fixture: DispatcherFixture) -> None:
                nonlocal peak_busy
                runs = [fixture.run(f"r{n}", "sleep 0.05") for n in range(12)]
                tasks = [asyncio.create_task(run) for run in runs]
                while not all(task.done() for task in tasks):
                    busy = sum(c.is_busy for c in fixture.endpoint.open_connections)
                    peak_busy = max(peak_busy, busy)
                    await asyncio.sleep(0.003)
                for task in tasks:
                    await task

            with self.subTest(name):
                fixture = run_with_dispatcher(work, share, limit)
                self.assertEqual(peak_busy, max_busy)
                self.assertLessEqual(fixture.endpoint.peak_open_connections, share)

    def test_resizing_the_share_closes_and_opens_connections(self) -> None:
        async def work(fixture: DispatcherFixture) -> None:
            async def burst(tag: str) -> None:
                runs = (fixture.run(f"{tag}{n}", "sleep 0.05") for n in range(8))
                await asyncio.gather(*runs)

            sizes = []
            for share in (4, 1, 3):
                before = asyncio.create_task(burst(f"{share}before"))
                await asyncio.sleep(0.03)
                fixture.dispatcher.resize(share)
                await before
                await burst(str(share))
                await asyncio.sleep(0.1)
                sizes.append(len(fixture.endpoint.open_connections))
            self.assertEqual(sizes, [4, 1, 3])

        run_with_dispatcher(work, share=1, limit=6)

    def test_window_below_one_delays_statements_but_runs_all(self) -> None:
        async def work(fixture: DispatcherFixture) -> None:
            policy = DispatchPolicy(
                limits=LimitsPolicy(AdaptiveLimit(0.5, minimum=0.5))
            )
            endpoint, records = fixture.endpoint, fixture.records
            paced = Dispatcher("d1", endpoint, 2, records, policy, virtual_now)
            async with paced:
                fixture.dispatcher = paced
                runs = (fixture.run(f"r{n}", "x") for n in range(8))
                await asyncio.gather(*runs)

        run_with_dispatcher(work)

    def test_idle_connections_are_closed(self) -> None:
        async def work(fixture: DispatcherFixture) -> None:
            runs = (fixture.run(f"r{n}", "sleep 0.05") for n in range(6))
            await asyncio.gather(*runs)
            self.assertEqual(len(fixture.endpoint.open_connections), 3)
            await asyncio.sleep(60.0)
            self.assertEqual(len(fixture.endpoint.open_connections), 1)

        run_with_dispatcher(work)


class DrainTest(unittest.TestCase):
    """Draining finishes accepted statements and refuses new ones.

    Guards against a shutdown that cuts off statements, or that does not end because
    statements are still accepted.
    """

    def test_drain_waits_for_accepted_statements(self) -> None:
        async def work(fixture: DispatcherFixture) -> None:
            runs = [fixture.run(f"r{n}", "sleep 0.05") for n in range(5)]
            tasks = [asyncio.create_task(run) for run in runs]
            await asyncio.sleep(0.02)
            drain = asyncio.create_task(fixture.dispatcher.drain())
            await asyncio.sleep(0)
            with self.assertRaises(NotRunError) as caught:
                await fixture.run("new", "x")
            self.assertEqual(caught.exception.code, "draining")
            self.assertFalse(drain.done())
            await drain
            self.assertTrue(all(task.done() for task in tasks))
            await asyncio.gather(*tasks)

        run_with_dispatcher(work, limit=1)

    def test_closing_without_drain_refuses_waiting_statements(self) -> None:
        async def leave() -> list[BaseException | EndpointAnswer]:
            fixture = DispatcherFixture(limit=1)
            async with fixture.dispatcher:
                runs = [fixture.run(f"r{n}", "sleep 0.05") for n in range(3)]
                tasks = [asyncio.create_task(run) for run in runs]
                await asyncio.sleep(0.02)
            ended = await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(0.01)
            self.assertEqual(fixture.endpoint.open_connections, set())
            return ended

        first, *others = run_virtual(leave())
        self.assertIsInstance(first, EndpointAnswer)
        for other in others:
            assert isinstance(other, NotRunError)
            self.assertEqual(other.code, "draining")


class InterleavingTest(unittest.TestCase):
    """Random callers, faults, cancellations and resizes never break the invariants.

    Guards against connections that are shared, leaked or over the share, and against
    records that differ from what the caller saw.
    """

    BODIES = ("x", "x", "x", "sleep 0.05", "sleep 0.4", "lost", "refuse behind")

    def test_random_interleavings(self) -> None:
        for seed in range(12):
            rng = random.Random(seed)
            ended: dict[str, str] = {}
            with self.subTest(seed=seed):
                work = partial(self._interleave, rng=rng, ended=ended)
                fixture = run_with_dispatcher(work, share=4)
                self.assertEqual(fixture.endpoint.violations, [])
                self.assertLessEqual(fixture.endpoint.peak_open_connections, 4)
                self.assertEqual(fixture.endpoint.open_connections, set())
                self._check_records(fixture.records, ended)

    async def _call(
        self,
        fixture: DispatcherFixture,
        rng: random.Random,
        name: str,
        ended: dict[str, str],
    ) -> None:
        body = rng.choice(self.BODIES)
        ended[name] = "no outcome"
        try:
            answer = await fixture.run(name, body, rng.choice((0.1, 0.5, 5.0)))
            self.assertEqual(answer.body, body.encode())
            ended[name] = Outcome.DONE.value
        except DispatchError as error:
            ended[name] = error.outcome.value
        except asyncio.CancelledError:
            ended[name] = "cancelled"

    async def _interleave(
        self, fixture: DispatcherFixture, rng: random.Random, ended: dict[str, str]
    ) -> None:
        fixture.endpoint.fault = lambda: (
            RefusedError("unreachable") if rng.random() < 0.2 else None
        )
        tasks = []
        for number in range(150):
            call = self._call(fixture, rng, f"r{number}", ended)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.001, 0.02)))
            if rng.random() < 0.15:
                rng.choice(tasks).cancel()
            if rng.random() < 0.05:
                fixture.dispatcher.resize(rng.randint(1, 4))
        await fixture.dispatcher.drain()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(fixture.dispatcher.queue.executing, 0)
        self.assertEqual(fixture.dispatcher.pool.ledger.in_use, 0)

    def _check_records(self, records: AdmissionRecords, ended: dict[str, str]) -> None:
        """Check that each ticket has one record, with the outcome its caller got."""
        for name, end in ended.items():
            outcomes = [record.outcome for record in records.find(name)]
            self.assertEqual(len(outcomes), 1, name)
            if end != "cancelled":
                self.assertEqual(outcomes[0] and outcomes[0].value, end)
