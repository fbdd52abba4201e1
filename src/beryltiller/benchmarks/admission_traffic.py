"""Simulated callers of the admission benchmark, and the results of their statements."""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from beryltiller.admission.tickets import Ticket
from beryltiller.benchmarks.admission_model import (
    AdmissionModel,
    OfferedStatement,
    ProxyModel,
)
from beryltiller.core.outcome import Kind

SLOTS = 3
PROXIES = 5
SERVICE_SECONDS = 0.005
CAPACITY_PER_SECOND = SLOTS / SERVICE_SECONDS
_DEADLINE_SECONDS = 0.5
_WARM_UP_SECONDS = 2.0
RUN_SECONDS = 10.0


@dataclass(slots=True)
class CallerResults:
    """The results of one caller's statements that were offered after the warm-up.

    `good` counts those answered within their deadline, whose latencies, in seconds,
    are in `latencies`.
    """

    offered: int = 0
    good: int = 0
    latencies: list[float] = field(default_factory=list)

    def percentile(self, fraction: float) -> float:
        """Return the latency at a fraction of the sorted latencies, in milliseconds."""
        if not self.latencies:
            return math.nan
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000


class Traffic:
    """The callers of a simulation, which offer statements and count the results."""

    def __init__(self, model: AdmissionModel) -> None:
        """Create traffic without callers."""
        self.model = model
        self.results_by_caller: dict[str, CallerResults] = {}
        self.good_by_second: Counter[int] = Counter()
        self.loss_noticed_at = 0.0
        self._sequence = count()

    def start_open_loop(
        self,
        caller: str,
        rate: float,
        kind: Kind = Kind.READ,
        mean_service_seconds: float = 0.0,
    ) -> None:
        """Start a caller that offers `rate` statements a second at random times.

        If `mean_service_seconds` is 0, it is `SERVICE_SECONDS`.
        """
        mean_service_seconds = mean_service_seconds or SERVICE_SECONDS
        self.results_by_caller.setdefault(caller, CallerResults())

        def arrive() -> None:
            self.offer(caller, kind, mean_service_seconds, _DEADLINE_SECONDS)
            self.model.clock.after(self.model.rng.expovariate(rate), arrive)

        self.model.clock.after(self.model.rng.expovariate(rate), arrive)

    def start_write_batch(
        self, caller: str, outstanding: int, mean_service_seconds: float
    ) -> None:
        """Start a caller that keeps a number of unsafe writes outstanding."""
        self.results_by_caller.setdefault(caller, CallerResults())

        def offer_next(
            _: OfferedStatement | None = None, is_good: bool = False
        ) -> None:
            # After a refused write, the next one is offered only after a pause.
            pause = 0.0 if is_good else 0.05
            self.model.clock.after(
                pause,
                lambda: self.offer(
                    caller, Kind.UNSAFE_WRITE, mean_service_seconds, 30.0, offer_next
                ),
            )

        for _ in range(outstanding):
            offer_next(None, True)

    def offer(
        self,
        caller: str,
        kind: Kind,
        mean_service_seconds: float,
        seconds: float,
        on_end: Callable[[OfferedStatement, bool], None] | None = None,
    ) -> None:
        """Offer one statement to a proxy chosen at random.

        Its deadline is `seconds` after the offer.
        """
        model = self.model
        began = model.clock.now
        results = self.results_by_caller[caller]
        is_counted = began >= _WARM_UP_SECONDS
        results.offered += is_counted

        def end(statement: OfferedStatement, is_good: bool) -> None:
            if is_good:
                self.good_by_second[int(model.clock.now)] += 1
            if is_good and is_counted:
                results.good += 1
                results.latencies.append(model.clock.now - began)
            if on_end is not None:
                on_end(statement, is_good)

        proxy = self._choose_proxy()
        if proxy is None:
            return
        name = f"r{next(self._sequence)}"
        ticket = Ticket(name, caller, kind, began + seconds)
        proxy.offer(
            OfferedStatement(
                ticket, model.rng.expovariate(1.0 / mean_service_seconds), end
            )
        )

    def _choose_proxy(self) -> ProxyModel | None:
        """Return the proxy that the load balancer chooses.

        None if it chooses a stopped proxy because it has not noticed the loss yet; the
        statement is then lost.
        """
        model = self.model
        proxy = model.rng.choice(model.proxies)
        if proxy.is_alive:
            return proxy
        if model.clock.now < self.loss_noticed_at:
            return None
        return model.rng.choice([one for one in model.proxies if one.is_alive])

    def run(self, seconds: float = RUN_SECONDS) -> None:
        """Run the simulation for the warm-up and another `seconds`."""
        self.model.clock.run(_WARM_UP_SECONDS + seconds)

    @property
    def goodput(self) -> float:
        """The statements per second that were answered within their deadline."""
        return (
            sum(results.good for results in self.results_by_caller.values())
            / RUN_SECONDS
        )
