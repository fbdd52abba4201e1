"""Tests of the connection ledger, alone and together with the admission queue.

They guard against more connections than the share, connections used twice, and
tickets that are lost or starve.
"""

import doctest
import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from beryltiller.admission import ledgers
from beryltiller.admission.ledgers import ConnectionLedger, ConnectionLedgerPolicy
from beryltiller.admission.queues import AdmissionQueue, QueuePolicy
from beryltiller.admission.tickets import Drop, Grant, Rule, Ticket, rule_between
from beryltiller.core.outcome import Kind


def ledger_with_idle(number: int, share: int = 9) -> ConnectionLedger:
    """Return a ledger with connections 1 to `number`, idle since 1.0, 2.0 and so on."""
    ledger = ConnectionLedger(
        ConnectionLedgerPolicy(spare=0, max_opening=9, idle_seconds=5), share
    )
    for serial in ledger.begin_opening(0.0, number):
        ledger.record_opened(serial, float(serial))
    return ledger


class ConnectionLedgerTest(unittest.TestCase):
    """Connections are opened ahead of demand, reused newest first, and closed."""

    def test_number_of_connections_to_open(self) -> None:
        cases = (
            ("minimum", ConnectionLedgerPolicy(minimum=2, spare=0), 9, 0, 2),
            ("ahead of demand", ConnectionLedgerPolicy(spare=1), 9, 2, 3),
            ("share", ConnectionLedgerPolicy(), 2, 5, 2),
            ("at once", ConnectionLedgerPolicy(max_opening=3), 9, 8, 3),
        )
        for name, policy, share, demand, number in cases:
            ledger = ConnectionLedger(policy, share)
            with self.subTest(name):
                self.assertEqual(len(ledger.begin_opening(0.0, demand)), number)

    def test_connection_idle_for_the_shortest_time_is_reused(self) -> None:
        self.assertEqual(ledger_with_idle(3).acquire(), 3)

    def test_connections_idle_for_the_longest_time_are_closed(self) -> None:
        self.assertEqual(ledger_with_idle(4).resize(2), [1, 2])
        self.assertEqual(ledger_with_idle(4).evict(now=7.5), [1, 2])
        self.assertEqual(ledger_with_idle(4).evict(now=99.0), [1, 2, 3])

    def test_one_connection_is_opened_after_a_failure_and_backoff(self) -> None:
        ledger = ConnectionLedger(ConnectionLedgerPolicy(), 9)
        for serial in ledger.begin_opening(0.0, 3):
            ledger.record_open_failure(serial, 0.0, random.Random(1))
        self.assertTrue(ledger.is_unavailable)
        self.assertEqual(ledger.begin_opening(0.01, 3), [])
        self.assertEqual(len(ledger.begin_opening(9.0, 3)), 1)

    def test_examples(self) -> None:
        self.assertEqual(doctest.testmod(ledgers).failed, 0)


class SingleOpeningTest(unittest.TestCase):
    """Connections opened one at a time are limited by the share, not by a backoff.

    Among idle connections, a preferred one is used before all others.
    """

    def test_share_limits_openings_but_backoff_does_not(self) -> None:
        ledger = ConnectionLedger(ConnectionLedgerPolicy(spare=0), share=2)
        first, second = ledger.begin_opening_one(), ledger.begin_opening_one()
        assert first is not None and second is not None
        self.assertIsNone(ledger.begin_opening_one())
        ledger.cancel_opening(first)
        self.assertIsNotNone(ledger.begin_opening_one())
        ledger.acquire_opened(second)
        self.assertEqual((ledger.in_use, ledger.idle), (1, 0))

    def test_preferred_connection_is_chosen_first(self) -> None:
        ledger = ConnectionLedger(ConnectionLedgerPolicy(spare=0), share=3)
        serials = ledger.begin_opening(0.0, demand=3)
        for serial in serials:
            ledger.record_opened(serial, 0.1)
        self.assertEqual(ledger.acquire({serials[0]}), serials[0])
        self.assertEqual(ledger.acquire(), serials[2])


class AdmissionMachine(RuleBasedStateMachine):
    """A queue and a ledger in random use, checked against a simple model.

    A grant runs on a connection of the ledger, as in the dispatching package.
    """

    SHARE = 3
    LIMIT = 3

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.queue = AdmissionQueue(QueuePolicy(max_waiting=40, long_seconds=0.02))
        self.ledger = ConnectionLedger(ConnectionLedgerPolicy(), self.SHARE)
        self.waiting: dict[str, Ticket] = {}
        self.running: dict[int, tuple[Grant, int]] = {}
        self.ended: set[str] = set()
        self.opening: list[int] = []
        self.closing: list[int] = []
        self.granted: list[tuple[Grant, dict[str, float]]] = []
        self.offered = 0

    @rule(
        caller=st.sampled_from("abc"),
        kind=st.sampled_from(Kind),
        seconds=st.sampled_from((0.05, 1.0, 30.0)),
    )
    def offer(self, caller: str, kind: Kind, seconds: float) -> None:
        self.offered += 1
        ticket = Ticket(f"r{self.offered}", caller, kind, self.now + seconds)
        if self.queue.offer(ticket, self.now, self.LIMIT) is None:
            self.waiting[ticket.request_id] = ticket
        else:
            self.ended.add(ticket.request_id)

    @rule()
    def pump(self) -> None:
        while True:
            places = len(self.running) + self.ledger.idle
            accounts = {n: self._service(t) for n, t in self.waiting.items()}
            decision = self.queue.take(self.now, min(self.LIMIT, places))
            if decision is None:
                break
            del self.waiting[decision.ticket.request_id]
            if isinstance(decision, Drop):
                self.ended.add(decision.ticket.request_id)
                continue
            serial = self.ledger.acquire()
            assert serial is not None and serial not in self.running
            self.running[serial] = (decision, serial)
            self._check_order(decision)
            self.granted.append((decision, accounts))
        self.opening += self.ledger.begin_opening(self.now, len(self.waiting))

    def _service(self, ticket: Ticket) -> float:
        return self.queue._accounts[ticket.caller].service

    def _check_order(self, grant: Grant) -> None:
        """Check the rule between a grant and each one made while its ticket waited.

        The service of the two callers is compared as of the earlier grant.
        """
        for first, accounts in self.granted:
            if first.number <= grant.grants_at_arrival:
                continue
            named = rule_between(first, grant)
            if named is Rule.LESS_SERVICE:
                service = accounts[grant.ticket.request_id]
                assert first.service <= service, "the rule does not match the grants"
            if named in (Rule.EARLIER_DEADLINE, Rule.AGEING, Rule.ARRIVED_EARLIER):
                assert first.order <= grant.order, "the rule does not match the grants"

    @precondition(lambda self: self.running)
    @rule(
        pick=st.integers(0, 9),
        is_clean=st.booleans(),
        seconds=st.sampled_from((None, 0.002, 0.5)),
    )
    def finish(self, pick: int, is_clean: bool, seconds: float | None) -> None:
        serial = sorted(self.running)[pick % len(self.running)]
        grant, _ = self.running.pop(serial)
        self.ended.add(grant.ticket.request_id)
        self.queue.finish(grant, self.now, seconds)
        if not self.ledger.release(serial, self.now, is_clean):
            self.closing.append(serial)

    @precondition(lambda self: self.waiting)
    @rule(pick=st.integers(0, 99))
    def cancel(self, pick: int) -> None:
        name = sorted(self.waiting)[pick % len(self.waiting)]
        assert self.queue.cancel(name)
        del self.waiting[name]
        self.ended.add(name)

    @precondition(lambda self: self.opening)
    @rule(is_open=st.booleans())
    def end_opening(self, is_open: bool) -> None:
        serial = self.opening.pop(0)
        if not is_open:
            self.ledger.record_open_failure(serial, self.now, random.Random(3))
        elif not self.ledger.record_opened(serial, self.now):
            self.closing.append(serial)

    @precondition(lambda self: self.closing)
    @rule()
    def end_closing(self) -> None:
        self.ledger.record_closed(self.closing.pop(0))

    @rule(seconds=st.sampled_from((0.001, 0.1, 3.0, 40.0)))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.closing += self.ledger.evict(self.now)

    @invariant()
    def nothing_is_lost_or_doubled(self) -> None:
        running = {grant.ticket.request_id for grant, _ in self.running.values()}
        assert self.queue.waiting == len(self.waiting)
        assert self.queue.executing == len(running) <= self.LIMIT
        assert len(self.waiting) + len(running) + len(self.ended) == self.offered
        assert not running & self.ended

    @invariant()
    def share_is_kept(self) -> None:
        assert self.ledger.held <= self.SHARE
        held = self.ledger.idle + len(self.running) + len(self.opening)
        assert self.ledger.held == held + len(self.closing)

    def teardown(self) -> None:
        """Check that all waiting tickets are served or refused in bounded steps."""
        for _ in range(3 * len(self.waiting) + 30):
            self.pump()
            while self.opening:
                self.end_opening(True)
            while self.running:
                self.finish(0, True, 0.002)
            while self.closing:
                self.end_closing()
            self.now += 0.2
        assert not self.waiting, "waiting tickets were never served or refused"


AdmissionMachineTest = AdmissionMachine.TestCase
AdmissionMachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    stateful_step_count=50,
)
