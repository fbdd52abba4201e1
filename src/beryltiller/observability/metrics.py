"""Counters, timers and gauges, sent to statsd once a second.

Counting only adds to a number in memory, and `flush` sends the totals. So a statement
costs no system call, and each second costs a few datagrams. Network errors are
ignored: recording a metric never raises.

    metrics = Metrics(client, random.Random())
    metrics.count(Counter.REQUESTS)
    metrics.observe(Timer.REQUEST, 0.012)
    metrics.flush()
"""

import random
import resource
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique

from statsd import StatsClient

from beryltiller.core.addresses import Address

FLUSH_INTERVAL_SECONDS = 1.0
MAX_SAMPLES_PER_FLUSH = 20

_MILLISECONDS_PER_SECOND = 1000.0
_PREFIX = "beryltiller"


class _Metric(Enum):
    """Base of the metrics: the value is a statsd name and a meaning.

    The meaning is printed in docs/LOGS.md.
    """

    def __init__(self, statsd_name: str, meaning: str) -> None:
        self.statsd_name = statsd_name
        self.meaning = meaning

    def __hash__(self) -> int:
        return id(self)


@unique
class Counter(_Metric):
    """The counters; each is sent as its increase since the last flush."""

    REQUESTS = "requests", "statements received from callers"
    DONE = "outcomes.done", "answers with outcome done"
    NOT_RUN = "outcomes.not_run", "answers with outcome not-run"
    UNKNOWN = "outcomes.unknown", "answers with outcome unknown"
    BAD_INPUT = "refusals.bad_input", "requests refused with 400"
    OVER_LIMIT = "refusals.over_limit", "requests refused with 429"
    UNAVAILABLE = "refusals.unavailable", "requests refused with 503"
    REPLICA_READS = "reads.replica", "reads served by a replica"
    PRIMARY_READS = "reads.primary", "reads served by a primary"
    RETRIES = "retries.sent", "statements sent again"
    FORWARDED_SENT = "forwarded.sent", "statements forwarded to a peer"
    FORWARDED_RECEIVED = "forwarded.received", "statements forwarded by a peer"
    REPEATED_WRITES = "writes.repeated", "writes whose request key had already run"
    LAPSED_WRITES = (
        "writes.lapsed",
        "writes of unknown outcome, as proof of the term expired after the send",
    )
    QUORUM_WRITES = (
        "writes.quorum",
        "writes acknowledged because two databases' logs hold them",
    )
    INVALID_TOKENS = "tokens.invalid", "session tokens refused as invalid"
    TRUNCATED_TOKENS = (
        "tokens.truncated",
        "session tokens whose positions a promotion dropped",
    )
    PROMOTIONS_STARTED = "promotions.started", "promotions started by this proxy"
    PROMOTIONS_OPENED = (
        "promotions.opened",
        "promotions by this proxy that opened a primary",
    )
    PEER_MESSAGES_SENT = "peers.messages_sent", "messages sent to peers"
    PEER_MESSAGES_RECEIVED = "peers.messages_received", "messages received from peers"
    PEER_BYTES_SENT = "peers.bytes_sent", "bytes of the messages sent to peers"
    PEER_BYTES_RECEIVED = "peers.bytes_received", "bytes of the messages received"
    STORE_READS = "store.reads", "reads of the table service, object store or host list"
    STORE_WRITES = "store.writes", "writes to the table service or object store"
    STORE_ERRORS = (
        "store.errors",
        "requests to the table service, object store or host list that failed",
    )
    RECORDED_SPANS = "traces.spans", "trace spans recorded"


@unique
class Timer(_Metric):
    """The timers, sent in milliseconds.

    At most `MAX_SAMPLES_PER_FLUSH` values of each are sent per flush, drawn uniformly;
    the counters give the number of events.
    """

    REQUEST = "request", "a caller's request, from its arrival to its answer"
    QUEUE = "queue", "the wait in a database's queue, including that for a connection"
    ENDPOINT = "endpoint", "a statement at a database, from send to complete answer"
    FORWARD = "forward", "a forwarded statement, from send to answer"
    FORWARD_SERVED = (
        "forward_served",
        "a statement that a peer forwarded, until its answer",
    )
    STORE = "store", "a request to the table service, object store or host list"
    PROMOTION = "promotion", "a promotion, from its start to the opened primary"
    LOOP_DELAY = "loop_delay", "delay of the event loop, by its once-a-second timer"


@unique
class Gauge(_Metric):
    """The gauges; of each the newest value is sent."""

    CONFIGURATION_VERSION = "configuration.version", "configuration version in force"
    MEMBERS_UP = "members.up", "proxies considered live, including this one"
    CONNECTIONS = "connections.held", "connections that this proxy holds to databases"
    QUEUED = "queue.length", "statements waiting in all queues"
    EXECUTING = "executing", "statements sent and not yet answered"
    MEMORY = "memory.resident_bytes", "resident memory in bytes"
    READY = "ready", "1 when ready for callers, else 0"


@dataclass(slots=True)
class _SampleReservoir:
    """A uniform sample of the values observed since the last flush."""

    values: list[float] = field(default_factory=list)
    observed_count: int = 0

    def add(self, value: float, rng: random.Random) -> None:
        """Add a value by reservoir sampling, so that each is kept equally likely."""
        self.observed_count += 1
        if len(self.values) < MAX_SAMPLES_PER_FLUSH:
            self.values.append(value)
            return
        index = int(rng.random() * self.observed_count)
        if index < MAX_SAMPLES_PER_FLUSH:
            self.values[index] = value


class Metrics:
    """The metrics of this process, collected in memory and sent to statsd."""

    def __init__(self, client: StatsClient | None, rng: random.Random) -> None:
        """Send through `client`, or drop the values at each flush if it is None.

        `rng` chooses the times that are sent if there are too many.
        """
        self._client = client
        self._rng = rng
        self._counts = dict.fromkeys(Counter, 0)
        self._samples = {timer: _SampleReservoir() for timer in Timer}
        self._gauges: dict[Gauge, float] = {}

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Increase a counter by `amount`."""
        self._counts[counter] += amount

    def observe(self, timer: Timer, seconds: float) -> None:
        """Record a measured time, in seconds."""
        self._samples[timer].add(seconds, self._rng)

    def set_gauge(self, gauge: Gauge, value: float) -> None:
        """Set the value of a gauge that the next flush sends."""
        self._gauges[gauge] = value

    def flush(self) -> None:
        """Send everything recorded since the last flush, and start again at zero."""
        counts, self._counts = self._counts, dict.fromkeys(Counter, 0)
        samples, self._samples = self._samples, {
            timer: _SampleReservoir() for timer in Timer
        }
        gauges, self._gauges = self._gauges, {}
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for counter, amount in counts.items():
                if amount:
                    pipeline.incr(counter.statsd_name, amount)
            for timer, kept in samples.items():
                for seconds in kept.values:
                    pipeline.timing(
                        timer.statsd_name, seconds * _MILLISECONDS_PER_SECOND
                    )
            for gauge, value in gauges.items():
                pipeline.gauge(gauge.statsd_name, value)

    def close(self) -> None:
        """Flush the remaining values and close the socket."""
        self.flush()
        if self._client is not None:
            self._client.close()
            self._client = None


def statsd_client(address: Address | None, host_name: str) -> StatsClient | None:
    """Return a client whose metrics are named `beryltiller.HOST.NAME`.

    Dots in the host name become underscores. Return None if there is no address.
    """
    if address is None:
        return None
    prefix = f"{_PREFIX}.{host_name.replace('.', '_')}"
    return StatsClient(address.ip, address.port, prefix, ipv6=":" in address.ip)


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes, as the kernel counts it."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize()


def metric_rows() -> Iterator[tuple[str, str, str]]:
    """Yield the statsd name, kind with unit, and meaning of each metric."""
    for counter in Counter:
        yield counter.statsd_name, "counter", counter.meaning
    for timer in Timer:
        yield timer.statsd_name, "timer, ms", timer.meaning
    for gauge in Gauge:
        yield gauge.statsd_name, "gauge", gauge.meaning
