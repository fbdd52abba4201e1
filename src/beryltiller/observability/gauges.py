"""Gauges: what a proxy holds now, measured and sent once a second."""

import asyncio
import time

from beryltiller.adapters.peers import Peers
from beryltiller.dispatching.databases import Databases
from beryltiller.observability.metrics import (
    Counter,
    Gauge,
    Metrics,
    Timer,
    resident_bytes,
)
from beryltiller.process.proxy import Proxy

METRICS_INTERVAL_SECONDS = 1.0

_PEER_COUNTERS = {
    "messages.sent": Counter.PEER_MESSAGES_SENT,
    "messages.received": Counter.PEER_MESSAGES_RECEIVED,
    "bytes.sent": Counter.PEER_BYTES_SENT,
    "bytes.received": Counter.PEER_BYTES_RECEIVED,
}


class Gauges:
    """Measure the proxy, and flush all metrics, at an interval."""

    def __init__(
        self, metrics: Metrics, databases: Databases, peers: Peers, proxy: Proxy
    ) -> None:
        """Read from these at each interval."""
        self._metrics = metrics
        self._databases = databases
        self._peers = peers
        self._proxy = proxy
        self._peer_totals: dict[str, int] = {}

    async def run(self) -> None:
        """Measure and flush for ever."""
        while True:
            asleep_until = time.monotonic() + METRICS_INTERVAL_SECONDS
            await asyncio.sleep(METRICS_INTERVAL_SECONDS)
            delay = time.monotonic() - asleep_until
            self._metrics.observe(Timer.LOOP_DELAY, max(delay, 0.0))
            self._measure()
            self._metrics.flush()

    def _measure(self) -> None:
        """Set the gauges."""
        dispatchers = [each.dispatcher for each in self._databases.connected.values()]
        held = sum(each.pool.ledger.held for each in dispatchers)
        self._metrics.gauge(Gauge.READY, int(self._proxy.is_ready))
        self._metrics.gauge(Gauge.CONNECTIONS, held)
        queued = sum(each.queue.waiting for each in dispatchers)
        self._metrics.gauge(Gauge.QUEUED, queued)
        executing = sum(each.queue.executing for each in dispatchers)
        self._metrics.gauge(Gauge.EXECUTING, executing)
        self._metrics.gauge(Gauge.MEMORY, resident_bytes())
        for name, counter in _PEER_COUNTERS.items():
            total = self._peers.counters[name]
            self._metrics.count(counter, total - self._peer_totals.get(name, 0))
            self._peer_totals[name] = total
