"""Tests of the dispatcher over a fake database on a virtual clock."""

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


class Bench:
    """Hold a dispatcher, its fake database and its records."""

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
        """Run a read of this body."""
        ticket = Ticket(name, caller, Kind.READ, virtual_now() + seconds)
        statement = Statement(Kind.READ, body.encode())
        return await self.dispatcher.run(ticket, statement)


def on_bench(
    work: Callable[[Bench], Awaitable[None]], share: int = 3, limit: int = 3
) -> Bench:
    """Run work on a dispatcher and close it; return what is left."""
    bench = Bench(share, limit)

    async def entered() -> None:
        async with bench.dispatcher:
            await work(bench)

    run_virtual(entered())
    return bench


class RunTest(unittest.TestCase):
    """One statement ends with its answer or a typed error."""

    def test_outcomes(self) -> None:
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
                ended, is_kept, bench = self._end_of(body, seconds)
                self.assertEqual(ended, (outcome, code))
                self.assertEqual(is_kept, is_reused)
                self.assertEqual(bench.endpoint.violations, [])
                self.assertIs(bench.records.find("r1")[0].outcome, outcome)

    def _end_of(
        self, body: str, seconds: float
    ) -> tuple[tuple[Outcome, str], bool, Bench]:
        """Run one statement; return its end, and whether its connection is kept."""
        ended = (Outcome.DONE, "")
        is_kept = False

        async def work(bench: Bench) -> None:
            nonlocal ended, is_kept
            try:
                answer = await bench.run("r1", body, seconds)
                self.assertEqual(answer.body, body.encode())
            except (NotRunError, UnknownOutcomeError) as error:
                ended = (error.outcome, error.code)
            await asyncio.sleep(0.1)
            live = {connection.identifier for connection in bench.endpoint.live}
            is_kept = "c1" in live
            self.assertTrue(bench.dispatcher.queue.is_empty)

        bench = on_bench(work)
        return ended, is_kept, bench

    def test_caller_that_goes_away(self) -> None:
        cases = (
            ("while it waits", 0.005, 1, Outcome.NOT_RUN),
            ("while it runs", OPEN_SECONDS + 0.001, 2, Outcome.UNKNOWN),
        )
        for name, moment, connects, outcome in cases:

            async def work(bench: Bench, moment: float = moment) -> None:
                gone = asyncio.create_task(bench.run("gone", "sleep 1"))
                await asyncio.sleep(moment)
                gone.cancel()
                await asyncio.sleep(0)
                self.assertTrue(bench.dispatcher.queue.is_empty)
                await bench.run("a", "a")

            with self.subTest(name):
                bench = on_bench(work, share=1, limit=1)
                self.assertEqual(bench.endpoint.violations, [])
                self.assertEqual(bench.endpoint.live, set())
                self.assertEqual(bench.endpoint.connects, connects)
                self.assertIs(bench.records.find("gone")[0].outcome, outcome)

    def test_caller_that_goes_away_at_the_grant(self) -> None:
        end = OPEN_SECONDS + 0.05
        cases = (
            ("before", end - 1e-10, 0),
            ("at", end + 1e-10, 0),
            ("after", end + 1e-10, 1),
        )
        for name, moment, turns in cases:

            async def work(
                bench: Bench, moment: float = moment, turns: int = turns
            ) -> None:
                loop = asyncio.get_running_loop()
                first = asyncio.create_task(bench.run("first", "sleep 0.05"))
                gone = asyncio.create_task(bench.run("gone", "x"))
                cancel = partial(loop.call_soon, gone.cancel) if turns else gone.cancel
                loop.call_at(moment, cancel)
                await first
                await bench.run("third", "x", 0.1)
                self.assertTrue(gone.cancelled())
                self.assertEqual(bench.dispatcher.pool.ledger.in_use, 0)

            with self.subTest(name):
                bench = on_bench(work, share=1, limit=1)
                self.assertEqual(bench.endpoint.violations, [])
                outcomes = [record.outcome for record in bench.records.find("gone")]
                self.assertEqual(outcomes, [Outcome.NOT_RUN])

    def test_late_statement_is_not_sent(self) -> None:
        async def work(bench: Bench) -> None:
            ticket = Ticket("a", "shop", Kind.READ, 1.0)
            admission = await bench.dispatcher.admit(ticket)
            await asyncio.sleep(2.0)
            with self.assertRaises(NotRunError):
                await bench.dispatcher.execute(
                    admission, lambda connection: connection.commit()
                )
            bench.dispatcher.release(admission.acquired)
            self.assertEqual(bench.endpoint.log, [])

        on_bench(work)

    def test_no_share_refuses_at_once(self) -> None:
        async def work(bench: Bench) -> None:
            with self.assertRaises(NotRunError) as caught:
                await bench.run("a", "x")
            self.assertEqual(caught.exception.code, "no-connection")
            self.assertEqual(virtual_now(), 0.0)

        self.assertEqual(on_bench(work, share=0).endpoint.connects, 0)

    def test_unreachable_database_refuses_quickly_and_heals(self) -> None:
        async def work(bench: Bench) -> None:
            faults = [RefusedError("unreachable"), LostAnswerError("connect")]
            bench.endpoint.fault = lambda: faults.pop() if faults else None
            for name in ("a", "b"):
                with self.assertRaises(NotRunError) as caught:
                    await bench.run(name, "x")
                self.assertEqual(caught.exception.code, "no-connection")
            self.assertLess(virtual_now(), 0.1)
            await asyncio.sleep(0.2)
            await bench.run("c", "x")

        on_bench(work)


class LimitTest(unittest.TestCase):
    """The window and the share bound what reaches the database."""

    def test_bounds(self) -> None:
        cases = (("window", 5, 2, 2), ("share", 2, 5, 2), ("both", 4, 4, 4))
        for name, share, limit, most in cases:
            busiest = 0

            async def work(bench: Bench) -> None:
                nonlocal busiest
                runs = [bench.run(f"r{n}", "sleep 0.05") for n in range(12)]
                tasks = [asyncio.create_task(run) for run in runs]
                while not all(task.done() for task in tasks):
                    busy = sum(c.is_busy for c in bench.endpoint.live)
                    busiest = max(busiest, busy)
                    await asyncio.sleep(0.003)
                for task in tasks:
                    await task

            with self.subTest(name):
                bench = on_bench(work, share, limit)
                self.assertEqual(busiest, most)
                self.assertLessEqual(bench.endpoint.most_live, share)

    def test_shrunken_share_closes_and_grown_one_opens(self) -> None:
        async def work(bench: Bench) -> None:
            async def burst(tag: str) -> None:
                runs = (bench.run(f"{tag}{n}", "sleep 0.05") for n in range(8))
                await asyncio.gather(*runs)

            sizes = []
            for share in (4, 1, 3):
                before = asyncio.create_task(burst(f"{share}before"))
                await asyncio.sleep(0.03)
                bench.dispatcher.resize(share)
                await before
                await burst(str(share))
                await asyncio.sleep(0.1)
                sizes.append(len(bench.endpoint.live))
            self.assertEqual(sizes, [4, 1, 3])

        on_bench(work, share=1, limit=6)

    def test_window_below_one_is_paced_and_wakes_up(self) -> None:
        async def work(bench: Bench) -> None:
            policy = DispatchPolicy(
                limits=LimitsPolicy(AdaptiveLimit(0.5, minimum=0.5))
            )
            endpoint, records = bench.endpoint, bench.records
            paced = Dispatcher("d1", endpoint, 2, records, policy, virtual_now)
            async with paced:
                bench.dispatcher = paced
                runs = (bench.run(f"r{n}", "x") for n in range(8))
                await asyncio.gather(*runs)

        on_bench(work)

    def test_idle_connections_close(self) -> None:
        async def work(bench: Bench) -> None:
            runs = (bench.run(f"r{n}", "sleep 0.05") for n in range(6))
            await asyncio.gather(*runs)
            self.assertEqual(len(bench.endpoint.live), 3)
            await asyncio.sleep(60.0)
            self.assertEqual(len(bench.endpoint.live), 1)

        on_bench(work)


class DrainTest(unittest.TestCase):
    """Draining finishes accepted work and refuses new work."""

    def test_drain(self) -> None:
        async def work(bench: Bench) -> None:
            runs = [bench.run(f"r{n}", "sleep 0.05") for n in range(5)]
            tasks = [asyncio.create_task(run) for run in runs]
            await asyncio.sleep(0.02)
            drain = asyncio.create_task(bench.dispatcher.drain())
            await asyncio.sleep(0)
            with self.assertRaises(NotRunError) as caught:
                await bench.run("new", "x")
            self.assertEqual(caught.exception.code, "draining")
            self.assertFalse(drain.done())
            await drain
            self.assertTrue(all(task.done() for task in tasks))
            await asyncio.gather(*tasks)

        on_bench(work, limit=1)

    def test_leaving_without_drain_refuses_what_waits(self) -> None:
        async def leave() -> list[BaseException | EndpointAnswer]:
            bench = Bench(limit=1)
            async with bench.dispatcher:
                runs = [bench.run(f"r{n}", "sleep 0.05") for n in range(3)]
                tasks = [asyncio.create_task(run) for run in runs]
                await asyncio.sleep(0.02)
            ended = await asyncio.gather(*tasks, return_exceptions=True)
            await asyncio.sleep(0.01)
            self.assertEqual(bench.endpoint.live, set())
            return ended

        first, *others = run_virtual(leave())
        self.assertIsInstance(first, EndpointAnswer)
        for other in others:
            assert isinstance(other, NotRunError)
            self.assertEqual(other.code, "draining")


class InterleavingTest(unittest.TestCase):
    """Random callers, faults, cancellations and resizes break no promise."""

    BODIES = ("x", "x", "x", "sleep 0.05", "sleep 0.4", "lost", "refuse behind")

    def test_random_interleavings(self) -> None:
        for seed in range(12):
            rng = random.Random(seed)
            ended: dict[str, str] = {}
            with self.subTest(seed=seed):
                work = partial(self._interleave, rng=rng, ended=ended)
                bench = on_bench(work, share=4)
                self.assertEqual(bench.endpoint.violations, [])
                self.assertLessEqual(bench.endpoint.most_live, 4)
                self.assertEqual(bench.endpoint.live, set())
                self._compare(bench.records, ended)

    async def _call(
        self, bench: Bench, rng: random.Random, name: str, ended: dict[str, str]
    ) -> None:
        body = rng.choice(self.BODIES)
        ended[name] = "lost from sight"
        try:
            answer = await bench.run(name, body, rng.choice((0.1, 0.5, 5.0)))
            self.assertEqual(answer.body, body.encode())
            ended[name] = Outcome.DONE.value
        except DispatchError as error:
            ended[name] = error.outcome.value
        except asyncio.CancelledError:
            ended[name] = "cancelled"

    async def _interleave(
        self, bench: Bench, rng: random.Random, ended: dict[str, str]
    ) -> None:
        bench.endpoint.fault = lambda: (
            RefusedError("unreachable") if rng.random() < 0.2 else None
        )
        tasks = []
        for number in range(150):
            call = self._call(bench, rng, f"r{number}", ended)
            tasks.append(asyncio.create_task(call))
            await asyncio.sleep(rng.choice((0.0, 0.0, 0.001, 0.02)))
            if rng.random() < 0.15:
                rng.choice(tasks).cancel()
            if rng.random() < 0.05:
                bench.dispatcher.resize(rng.randint(1, 4))
        await bench.dispatcher.drain()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual(bench.dispatcher.queue.executing, 0)
        self.assertEqual(bench.dispatcher.pool.ledger.in_use, 0)

    def _compare(self, records: AdmissionRecords, ended: dict[str, str]) -> None:
        """Check that each ticket has one record, with the outcome its caller saw."""
        for name, end in ended.items():
            outcomes = [record.outcome for record in records.find(name)]
            self.assertEqual(len(outcomes), 1, name)
            if end != "cancelled":
                self.assertEqual(outcomes[0] and outcomes[0].value, end)
