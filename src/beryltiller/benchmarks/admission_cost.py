"""Measurement of the processor time of one admission, beside that of a deque."""

import math
import time
from collections import deque

from beryltiller.admission.queues import AdmissionQueue, QueuePolicy
from beryltiller.admission.tickets import Grant, Ticket
from beryltiller.core.outcome import Kind

_COST_ROUNDS = 5000


def processor_cost(_: int) -> list[str]:
    """Return the table of the processor time of one offer, take and finish.

    The baseline is one append to a deque and one pop from it.
    """
    baseline = _deque_seconds()
    lines = [
        "Processor time of one admission (offer, take, finish), best of 5",
        f"  {'callers':>9}{'waiting':>9}{'us':>8}{'x deque':>9}",
    ]
    for callers, depth in ((1, 0), (10, 100), (100, 1000), (1000, 1000)):
        seconds = min(_admission_seconds(callers, depth) for _ in range(5))
        ratio = seconds / baseline
        lines.append(f"  {callers:9}{depth:9}{seconds * 1e6:8.1f}{ratio:9.1f}")
    return lines


def _deque_seconds() -> float:
    best = math.inf
    for _ in range(5):
        waiting: deque[Ticket] = deque()
        started = time.process_time()
        for number in range(_COST_ROUNDS):
            waiting.append(Ticket(f"r{number}", "c", Kind.READ, 60.0))
            waiting.popleft()
        best = min(best, time.process_time() - started)
    return best / _COST_ROUNDS


def _admission_seconds(callers: int, depth: int) -> float:
    queue = AdmissionQueue(QueuePolicy(max_waiting=1_000_000))
    for number in range(depth):
        ticket = Ticket(f"w{number}", f"c{number % callers}", Kind.READ, 60.0)
        queue.offer(ticket, 0.0, 3)
    started = time.process_time()
    for number in range(_COST_ROUNDS):
        caller = f"c{number % callers}"
        queue.offer(Ticket(f"r{number}", caller, Kind.READ, 60.0), 0.0, 3)
        grant = queue.take(0.0, 3)
        assert isinstance(grant, Grant)
        queue.finish(grant, 0.0, 0.005)
    return (time.process_time() - started) / _COST_ROUNDS
