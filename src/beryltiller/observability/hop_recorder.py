"""Measurement of the hops of a statement: a trace span and a time for each.

A hop is one stage in the processing of a statement (see `Hop`).
"""

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
    Hop.FORWARDED: Timer.FORWARD_SERVED,
}
_UNSAMPLED = TraceContext("", "", is_sampled=False)


class HopRecorder:
    """A recorder of hops, as spans of a tracer and as times in the metrics."""

    def __init__(
        self,
        tracer: Tracer,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Record spans with `tracer`, and times with `metrics` by `clock`."""
        self._tracer = tracer
        self._metrics = metrics
        self._clock = clock

    @contextmanager
    def record(self, hop: Hop, trace_parent: str, **attributes: str) -> Iterator[str]:
        """Measure the body of the `with` statement as one hop.

        Its span is a child of the span that `trace_parent` names. Yield the
        `traceparent` header for hops within it.
        """
        open_hop = self._begin_hop(hop, trace_parent, attributes)
        kind = None
        try:
            yield open_hop.trace_parent or trace_parent
        except BaseException as error:
            kind = type(error)
            raise
        finally:
            open_hop.close(kind)

    def record_attempt(self, trace_parent: str, database: str) -> "AttemptRecorder":
        """Return a recorder of one attempt: the wait in the queue, then the run."""
        attributes = {"database": database}
        return AttemptRecorder(
            lambda hop: self._begin_hop(hop, trace_parent, attributes)
        )

    def _begin_hop(
        self, hop: Hop, trace_parent: str, attributes: dict[str, str]
    ) -> "_OpenHop":
        context = parse_trace_parent(trace_parent) or _UNSAMPLED
        span = self._tracer.new_span(context, hop, **attributes)
        return _OpenHop(span, _TIMERS[hop], self._metrics, self._clock)


class _OpenHop:
    """A hop that has begun, with its span and timer."""

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
        """Return the `traceparent` header for hops within this one, or empty text."""
        context = self._span.context
        return str(context) if context.is_sampled else ""

    def close(self, kind: type[BaseException] | None) -> None:
        """End the hop; `kind` is the class of the error that ended it, if any."""
        self._span.__exit__(kind, None, None)
        self._metrics.observe(self._timer, self._clock() - self._started)
        if self._span.context.is_sampled:
            self._metrics.count(Counter.RECORDED_SPANS)


class AttemptRecorder:
    """A recorder of one attempt: the wait in the queue, then the time at a database.

    The wait in the queue includes the wait for a connection, since a statement leaves
    its queue only when a connection is idle. Use the recorder as a context manager
    around the attempt:

        with hop_recorder.record_attempt(statement.trace_parent, "d1") as attempt:
            answer = await dispatcher.run(ticket, statement, attempt.mark_sent)
    """

    def __init__(self, begin_hop: Callable[[Hop], _OpenHop]) -> None:
        """Use `begin_hop` to begin each of the two hops."""
        self._begin_hop = begin_hop
        self._hop: _OpenHop

    def __enter__(self) -> Self:
        """Begin the wait in the queue."""
        self._hop = self._begin_hop(Hop.QUEUE)
        return self

    def mark_sent(self) -> None:
        """End the wait in the queue and begin the time at the database."""
        self._hop.close(None)
        self._hop = self._begin_hop(Hop.ENDPOINT)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End the current hop: the wait, or the time at the database."""
        self._hop.close(kind)
