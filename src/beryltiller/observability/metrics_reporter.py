"""Measurement of a proxy's gauges and sending of its metrics, once a second."""

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


class MetricsReporter:
    """A periodic task that measures a proxy and sends all its metrics."""

    def __init__(
        self, metrics: Metrics, databases: Databases, peers: Peers, proxy: Proxy
    ) -> None:
        """Set the sources of the gauges and the `metrics` to send."""
        self._metrics = metrics
        self._databases = databases
        self._peers = peers
        self._proxy = proxy
        self._last_peer_totals: dict[str, int] = {}

    async def run(self) -> None:
        """Measure and send once per `METRICS_INTERVAL_SECONDS`, until cancelled."""
        while True:
            due_at = time.monotonic() + METRICS_INTERVAL_SECONDS
            await asyncio.sleep(METRICS_INTERVAL_SECONDS)
            delay = time.monotonic() - due_at
            self._metrics.observe(Timer.LOOP_DELAY, max(delay, 0.0))
            self._update_metrics()
            self._metrics.flush()

    def _update_metrics(self) -> None:
        """Set the gauges, and count the messages and bytes since the last interval."""
        dispatchers = [each.dispatcher for each in self._databases.connected.values()]
        held = sum(each.pool.ledger.held for each in dispatchers)
        self._metrics.set_gauge(Gauge.READY, int(self._proxy.is_ready))
        self._metrics.set_gauge(Gauge.CONNECTIONS, held)
        queued = sum(each.queue.waiting for each in dispatchers)
        self._metrics.set_gauge(Gauge.QUEUED, queued)
        executing = sum(each.queue.executing for each in dispatchers)
        self._metrics.set_gauge(Gauge.EXECUTING, executing)
        self._metrics.set_gauge(Gauge.MEMORY, resident_bytes())
        for name, counter in _PEER_COUNTERS.items():
            total = self._peers.counters[name]
            self._metrics.count(counter, total - self._last_peer_totals.get(name, 0))
            self._last_peer_totals[name] = total
