"""Watch a statement hop by hop: a span for each hop, and the time it took."""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Self

from beryltiller.observability.metrics import Counter, Metrics, Timer
from beryltiller.observability.traces import (
    AnySpan,
    Hop,
    TraceContext,
    Tracer,
    parse_trace_parent,
)

_TIMERS = {
    Hop.QUEUE: Timer.QUEUE,
    Hop.ENDPOINT: Timer.ENDPOINT,
    Hop.FORWARD: Timer.FORWARD,
    Hop.FORWARDED: Timer.FORWARDED,
}
_UNSAMPLED = TraceContext("", "", is_sampled=False)


class Hops:
    """Start the watch over a hop."""

    def __init__(
        self,
        tracer: Tracer,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Record spans with `tracer`, times with `metrics`."""
        self._tracer = tracer
        self._metrics = metrics
        self._clock = clock

    @contextmanager
    def watch(self, hop: Hop, trace_parent: str, **attributes: str) -> Iterator[str]:
        """Watch the body as one hop under the span that `trace_parent` names.

        Yield the `traceparent` for hops below it.
        """
        open_hop = self._open(hop, trace_parent, attributes)
        kind = None
        try:
            yield open_hop.trace_parent or trace_parent
        except BaseException as error:
            kind = type(error)
            raise
        finally:
            open_hop.close(kind)

    def attempt(self, trace_parent: str, database: str) -> "Attempt":
        """Watch an attempt at a database: its wait, then its execution."""
        attributes = {"database": database}
        return Attempt(lambda hop: self._open(hop, trace_parent, attributes))

    def _open(self, hop: Hop, trace_parent: str, attributes: dict[str, str]) -> "_Open":
        context = parse_trace_parent(trace_parent) or _UNSAMPLED
        span = self._tracer.span(context, hop, **attributes)
        return _Open(span, _TIMERS[hop], self._metrics, self._clock)


class _Open:
    """Hold a hop that has begun."""

    def __init__(
        self, span: AnySpan, timer: Timer, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._span = span
        self._timer = timer
        self._metrics = metrics
        self._clock = clock
        self._started = clock()
        span.__enter__()

    @property
    def trace_parent(self) -> str:
        """Return the header for hops below this one; empty when not sampled."""
        context = self._span.context
        return str(context) if context.is_sampled else ""

    def close(self, kind: type[BaseException] | None) -> None:
        """End the hop, by an error of this class if any."""
        self._span.__exit__(kind, None, None)
        self._metrics.observe(self._timer, self._clock() - self._started)
        if self._span.context.is_sampled:
            self._metrics.count(Counter.SPANS)


class Attempt:
    """Watch the wait in the queue, then the time at the database.

    The wait includes that for a connection, since a statement leaves its queue only
    to a connection that is idle. A context manager around the attempt:

        with hops.attempt(statement.trace_parent, "d1") as attempt:
            answer = await dispatcher.run(ticket, statement, attempt.mark_sent)
    """

    def __init__(self, open_hop: Callable[[Hop], _Open]) -> None:
        """Begin each hop by `open_hop`."""
        self._open_hop = open_hop
        self._hop: _Open

    def __enter__(self) -> Self:
        """Begin the wait."""
        self._hop = self._open_hop(Hop.QUEUE)
        return self

    def mark_sent(self) -> None:
        """End the wait and begin the time at the database."""
        self._hop.close(None)
        self._hop = self._open_hop(Hop.ENDPOINT)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the hop that the attempt has reached."""
        self._hop.close(kind)
