"""Tests of the admission queue's order, refusals and bounds.

They guard against a caller that takes more than its share, a lane that blocks the
other, and refusals of tickets that could have been served in time.
"""

import doctest
import unittest

from beryltiller.admission import estimates, queues
from beryltiller.admission.queues import AdmissionQueue, QueuePolicy
from beryltiller.admission.tickets import (
    Cause,
    Drop,
    Grant,
    Rejection,
    Rule,
    Ticket,
    rule_between,
)
from beryltiller.core.outcome import Kind

READ, WRITE, UNSAFE = Kind.READ, Kind.WRITE, Kind.UNSAFE_WRITE


def ticket(name: str, caller: str, kind: Kind = READ, deadline: float = 60.0) -> Ticket:
    """Return a ticket, by default for a read with a deadline of 60 s."""
    return Ticket(name, caller, kind, deadline)


def serve_all(
    queue: AdmissionQueue, now: float = 0.0, seconds: float = 0.005
) -> list[str]:
    """Serve all waiting tickets one at a time; return their request ids in order."""
    return [grant.ticket.request_id for grant in grant_all(queue, now, seconds)]


def grant_all(queue: AdmissionQueue, now: float, seconds: float = 0.005) -> list[Grant]:
    """Serve all waiting tickets one at a time; return their grants in order."""
    served = []
    while (decision := queue.take(now, limit=1)) is not None:
        assert isinstance(decision, Grant)
        queue.finish(decision, now, seconds)
        served.append(decision)
    return served


def cause_of(rejection: Rejection | None) -> Cause | None:
    """Return the cause of a rejection, or None without one."""
    return rejection.cause if rejection else None


def measure(queue: AdmissionQueue, kind: Kind, seconds: float, now: float) -> None:
    """Serve 50 statements of a kind, so that the queue has measured their time."""
    for number in range(50):
        queue.offer(ticket(f"m{number}", "measure", kind, now + 600.0), now, 1)
        taken = queue.take(now, 1)
        assert isinstance(taken, Grant)
        queue.finish(taken, now, seconds)


class OrderTest(unittest.TestCase):
    """The least served caller comes first, and its ticket of earliest deadline."""

    def test_order_of_equal_costs(self) -> None:
        cases = (
            (
                "callers take turns",
                [("a1", "a", 9), ("a2", "a", 9), ("b1", "b", 9)],
                "a1 b1 a2",
            ),
            ("deadline", [("a1", "a", 1.9), ("a2", "a", 1.2)], "a2 a1"),
            ("arrival", [("a1", "a", 1.5), ("a2", "a", 1.5)], "a1 a2"),
            ("deadlines of two callers", [("a1", "a", 1.9), ("b1", "b", 1.1)], "a1 b1"),
        )
        for name, offers, order in cases:
            queue = AdmissionQueue()
            for request_id, caller, deadline in offers:
                queue.offer(ticket(request_id, caller, READ, deadline), 0.0, 1)
            with self.subTest(name):
                self.assertEqual(serve_all(queue), order.split())

    def test_measured_service_is_charged(self) -> None:
        queue = AdmissionQueue()
        for number in range(40):
            for caller in ("slow", "fast"):
                queue.offer(ticket(f"{caller}{number}", caller), 0.0, 1)
        spent = {"slow": 0.0, "fast": 0.0}
        for _ in range(30):
            grant = queue.take(0.0, 1)
            assert isinstance(grant, Grant)
            caller = grant.ticket.caller
            seconds = 0.012 if caller == "slow" else 0.004
            queue.finish(grant, 0.0, seconds)
            spent[caller] += seconds
        self.assertAlmostEqual(spent["slow"] / spent["fast"], 1.0, delta=0.25)

    def test_idle_caller_gains_no_extra_turns(self) -> None:
        queue = AdmissionQueue()
        queue.offer(ticket("b0", "b"), 0.0, 1)
        for number in range(20):
            queue.offer(ticket(f"a{number}", "a"), 0.0, 1)
        for _ in range(11):
            grant = queue.take(0.0, 1)
            assert isinstance(grant, Grant)
            queue.finish(grant, 0.0, 0.005)
        for number in range(1, 9):
            queue.offer(ticket(f"b{number}", "b"), 0.0, 1)
        next_eight = [name[0] for name in serve_all(queue)[:8]]
        self.assertLessEqual(next_eight.count("b"), 5)

    def test_ageing_limits_which_tickets_may_overtake(self) -> None:
        queue = AdmissionQueue(QueuePolicy(ageing_seconds=2.0))
        queue.offer(ticket("distant", "a", READ, 60.0), 0.0, 1)
        queue.offer(ticket("early", "a", READ, 1.9), 0.5, 1)
        queue.offer(ticket("late", "a", READ, 3.6), 2.5, 1)
        served = grant_all(queue, 0.6)
        names = [grant.ticket.request_id for grant in served]
        self.assertEqual(names, ["early", "distant", "late"])
        self.assertIs(rule_between(served[1], served[2]), Rule.AGEING)

    def test_lanes_of_one_caller_take_turns(self) -> None:
        queue = AdmissionQueue()
        for number in range(6):
            queue.offer(ticket(f"w{number}", "a", WRITE, 1.0), 0.0, 1)
        queue.offer(ticket("r0", "a", READ, 1.9), 0.0, 1)
        self.assertIn("r0", serve_all(queue)[:2])


class ReserveTest(unittest.TestCase):
    """A lane of long statements leaves one place for the other lane."""

    def test_long_lane_leaves_a_place_if_the_other_is_in_use(self) -> None:
        cases = (
            ("long writes, reads in use", WRITE, READ, 0.5, 1.0, 2),
            ("long reads, writes in use", READ, UNSAFE, 0.5, 1.0, 2),
            ("short writes use all", WRITE, READ, 0.002, 1.0, 3),
            ("no recent read", WRITE, READ, 0.5, 20.0, 3),
        )
        for name, kind, other, seconds, now, taken in cases:
            queue = AdmissionQueue()
            measure(queue, kind, seconds, 0.0)
            measure(queue, other, 0.002, 0.0)
            for number in range(9):
                queue.offer(ticket(f"b{number}", f"c{number}", kind, 90.0), now, 3)
            first = [queue.take(now, 3) for _ in range(4)]
            with self.subTest(name):
                self.assertEqual(sum(g is not None for g in first), taken)

    def test_limit_of_a_long_lane(self) -> None:
        for long_limit, taken in ((0, 0), (1, 1), (2, 2)):
            queue = AdmissionQueue()
            measure(queue, WRITE, 0.5, 0.0)
            measure(queue, READ, 0.002, 0.0)
            for number in range(4):
                queue.offer(ticket(f"b{number}", "b", WRITE, 90.0), 1.0, 4)
            granted = [queue.take(1.0, 4, long_limit) for _ in range(4)]
            queue.offer(ticket("r", "a", READ, 90.0), 1.0, 4)
            with self.subTest(long_limit=long_limit):
                self.assertEqual(sum(g is not None for g in granted), taken)
                self.assertIsInstance(queue.take(1.0, 4, long_limit), Grant)

    def test_rule_is_reserve_if_the_reserve_held_back_the_ticket(self) -> None:
        queue = AdmissionQueue()
        measure(queue, WRITE, 0.5, 0.0)
        for number in range(3):
            queue.offer(ticket(f"w{number}", "a", WRITE, 90.0), 1.0, 2)
        batch = queue.take(1.0, 2)
        queue.offer(ticket("r", "a", READ, 90.0), 1.0, 2)
        read = queue.take(1.0, 2)
        assert isinstance(batch, Grant) and isinstance(read, Grant)
        queue.finish(batch, 1.5, 0.5)
        second = queue.take(1.5, 2)
        assert isinstance(second, Grant)
        self.assertIs(rule_between(read, second), Rule.RESERVE)


class RefusalTest(unittest.TestCase):
    """Only tickets that by recent measurements cannot be served in time are refused."""

    def test_refused_when_the_deadline_cannot_be_met(self) -> None:
        cases = (
            ("short queue", 10, 1.95, None),
            ("long queue", 30, 1.9, Cause.DEADLINE_UNREACHABLE),
            ("first by its deadline", 30, 0.5, None),
            ("shorter than the service", 30, 0.05, Cause.DEADLINE_UNREACHABLE),
            ("late deadline", 30, 60.0, None),
            ("passed on arrival", 30, 0.0, Cause.DEADLINE_PASSED),
        )
        for name, waiting, deadline, cause in cases:
            queue = AdmissionQueue()
            measure(queue, READ, 0.1, 0.0)
            for number in range(waiting):
                queue.offer(ticket(f"a{number}", "a", READ, 1.9), 0.0, 1)
            rejection = queue.offer(ticket("x", "a", READ, deadline), 0.0, 1)
            with self.subTest(name):
                self.assertIs(cause_of(rejection), cause)

    def test_small_caller_is_not_refused_for_anothers_backlog(self) -> None:
        queue = AdmissionQueue()
        measure(queue, READ, 0.1, 0.0)
        for number in range(100):
            queue.offer(ticket(f"a{number}", "large"), 0.0, 1)
        queue.take(0.0, 1)
        self.assertIsNone(queue.offer(ticket("x", "small", READ, 0.5), 0.0, 1))

    def test_estimate_too_old_refuses_no_ticket(self) -> None:
        queue = AdmissionQueue()
        measure(queue, READ, 30.0, 0.0)
        refused = queue.offer(ticket("x", "a", READ, 1.0), 0.05, 1)
        self.assertIs(cause_of(refused), Cause.DEADLINE_UNREACHABLE)
        self.assertIsNone(queue.offer(ticket("y", "a", READ, 1.0), 0.2, 1))
        self.assertIsInstance(queue.take(0.2, 1), Grant)

    def test_grant_leaves_time_for_a_slow_statement(self) -> None:
        queue = AdmissionQueue()
        for number in range(60):
            queue.offer(ticket(f"m{number}", "m"), 0.0, 1)
            taken = queue.take(0.0, 1)
            assert isinstance(taken, Grant)
            queue.finish(taken, 0.0, 0.002 if number % 2 else 0.018)
        for seconds, kind in ((0.012, Drop), (0.05, Grant)):
            queue.offer(ticket(f"x{seconds}", "a", READ, 0.05), 0.0, 1)
            with self.subTest(seconds=seconds):
                self.assertIsInstance(queue.take(0.05 - seconds, 1), kind)

    def test_late_ticket_is_dropped_not_run(self) -> None:
        queue = AdmissionQueue()
        queue.offer(ticket("a", "a", READ, 1.0), 0.0, 1)
        self.assertIsInstance(queue.take(1.5, 1), Drop)
        self.assertTrue(queue.is_empty)

    def test_refuse_all_returns_every_waiting_ticket(self) -> None:
        queue = AdmissionQueue()
        for name in ("a", "b", "c"):
            queue.offer(ticket(name, name), 0.0, 1)
        refused = queue.refuse_all(Cause.NO_CONNECTION)
        self.assertEqual([drop.ticket.request_id for drop in refused], ["a", "b", "c"])
        self.assertTrue(queue.is_empty)

    def test_open_transaction_is_granted_at_once_and_charged(self) -> None:
        queue = AdmissionQueue()
        for name, caller in (("a1", "a"), ("b1", "b")):
            queue.offer(ticket(name, caller), 0.0, 1)
        pinned = queue.admit_pinned(ticket("a0", "a"), 0.0)
        self.assertIsNone(queue.take(0.0, 1))
        queue.finish(pinned, 0.0, 0.005)
        served = grant_all(queue, 0.0)
        self.assertEqual([g.ticket.request_id for g in served], ["b1", "a1"])
        self.assertIs(rule_between(pinned, served[0]), Rule.TRANSACTION)

    def test_full_queue_admits_a_new_caller(self) -> None:
        queue = AdmissionQueue(QueuePolicy(max_waiting=30))
        for caller in ("large", "other"):
            for number in range(40):
                queue.offer(ticket(f"{caller}{number}", caller), 0.0, 1)
        self.assertLessEqual(queue.waiting, 30)
        self.assertIsNone(queue.offer(ticket("x", "small"), 0.0, 1))
        rejection = queue.offer(ticket("y", "large"), 0.0, 1)
        self.assertIs(cause_of(rejection), Cause.QUEUE_FULL)

    def test_cancelled_ticket_is_never_granted(self) -> None:
        cases = (
            ("every second", range(1, 30, 2), list(range(0, 30, 2))),
            ("most", range(3, 30), [0, 1, 2]),
            ("first", range(0, 28), [28, 29]),
        )
        for name, gone, left in cases:
            queue = AdmissionQueue()
            for number in range(30):
                queue.offer(ticket(f"a{number}", "a"), 0.0, 1)
            cancelled = [queue.cancel(f"a{number}") for number in gone]
            with self.subTest(name):
                self.assertTrue(all(cancelled))
                self.assertFalse(queue.cancel(f"a{gone[0]}"))
                self.assertEqual(serve_all(queue), [f"a{number}" for number in left])

    def test_request_that_is_already_waiting_is_refused(self) -> None:
        queue = AdmissionQueue()
        self.assertIsNone(queue.offer(ticket("a", "a"), 0.0, 1))
        rejection = queue.offer(ticket("a", "b"), 0.0, 1)
        self.assertIs(cause_of(rejection), Cause.ALREADY_WAITING)

    def test_number_of_idle_accounts_is_bounded(self) -> None:
        queue = AdmissionQueue(QueuePolicy(max_idle_callers=10))
        for number in range(500):
            queue.offer(ticket(f"r{number}", f"caller{number}"), 0.0, 1)
            serve_all(queue)
        self.assertLessEqual(len(queue._accounts), 12)


class ExamplesTest(unittest.TestCase):
    """The examples in the doc comments are correct."""

    def test_examples(self) -> None:
        for module in (queues, estimates):
            self.assertEqual(doctest.testmod(module).failed, 0)
