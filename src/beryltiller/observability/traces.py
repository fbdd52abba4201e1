"""Traces: a span for each hop of a sampled request, kept in a bounded ring.

The context of a trace travels in the W3C `traceparent` header. Whether a trace is
sampled follows from its identifier, so that all proxies decide alike; a caller can
ask for one by the header's sampled flag. A request that is not sampled costs the
making of its identifier only.

    context = tracer.context(headers.get("traceparent"))
    with tracer.span(context, Hop.REQUEST, request="r1") as request:
        with tracer.span(request.context, Hop.QUEUE):
            ...
"""

import random
import re
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, unique
from types import TracebackType
from typing import Self

import msgspec

MAX_SPANS = 4096

_TRACE_BITS = 128
_SPAN_BITS = 64
_SAMPLED_FLAG = 1
_SAMPLING_HEX_DIGITS = 8
_TRACE_PARENT = re.compile(
    r"(?P<version>[0-9a-f]{2})-(?P<trace>[0-9a-f]{32})"
    r"-(?P<span>[0-9a-f]{16})-(?P<flags>[0-9a-f]{2})(?P<rest>-.*)?"
)


@unique
class Hop(Enum):
    """Name the hops of a request through a proxy."""

    REQUEST = "request", "a caller's request, from its arrival to its answer"
    QUEUE = "queue", "the wait in a database's queue and for a connection"
    ENDPOINT = "endpoint", "a statement at a database"
    FORWARD = "forward", "a statement forwarded to another proxy"
    FORWARDED = "forwarded", "the same statement at that proxy"

    def __init__(self, span_name: str, meaning: str) -> None:
        """Keep the span's name and its meaning."""
        self.span_name = span_name
        self.meaning = meaning


@dataclass(frozen=True, slots=True)
class TraceContext:
    """Name a trace and the span within it that a new span belongs under.

    >>> header = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"
    >>> parse_trace_parent(header).is_sampled
    True
    >>> str(parse_trace_parent(header)) == header
    True
    """

    trace_id: str
    span_id: str
    is_sampled: bool

    def __str__(self) -> str:
        """Return the value of the `traceparent` header."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.is_sampled):02x}"


def parse_trace_parent(header: str) -> TraceContext | None:
    """Return the context in a `traceparent` header, or None when it is invalid."""
    match = _TRACE_PARENT.fullmatch(header)
    if match is None or match["version"] == "ff":
        return None
    if match["version"] == "00" and match["rest"]:
        return None
    if not int(match["trace"], 16) or not int(match["span"], 16):
        return None
    is_sampled = bool(int(match["flags"], 16) & _SAMPLED_FLAG)
    return TraceContext(match["trace"], match["span"], is_sampled)


class SpanModel(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one finished span; `parent_id` may name a span of another process.

    `started_at` is Unix time, for ordering spans of several hosts by sight;
    durations are measured on one host's monotonic clock.
    """

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    host: str
    started_at: float
    duration_seconds: float
    attributes: dict[str, str] = {}


class Span:
    """Measure one hop; a context manager."""

    def __init__(
        self,
        tracer: "Tracer",
        parent: TraceContext,
        context: TraceContext,
        hop: Hop,
        attributes: dict[str, str],
    ) -> None:
        """Take the context that hops below this one are given."""
        self._tracer = tracer
        self._parent = parent
        self._context = context
        self._hop = hop
        self._attributes = attributes
        self._started_at = 0.0
        self._started = 0.0

    @property
    def context(self) -> TraceContext:
        """Return the context for hops below this one."""
        return self._context

    def note(self, **attributes: str) -> None:
        """Add attributes, such as the database that served."""
        self._attributes.update(attributes)

    def __enter__(self) -> Self:
        """Start the clock."""
        self._started_at = self._tracer.wall_clock()
        self._started = self._tracer.clock()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Record the span, with the error's class if it ended by one."""
        if kind is not None:
            self._attributes["error"] = kind.__name__
        self._tracer.record(
            SpanModel(
                trace_id=self._context.trace_id,
                span_id=self._context.span_id,
                parent_id=self._parent.span_id,
                name=self._hop.span_name,
                host=self._tracer.host_name,
                started_at=self._started_at,
                duration_seconds=self._tracer.clock() - self._started,
                attributes=self._attributes,
            )
        )


class UnsampledSpan:
    """Stand in for a span of a request that is not sampled; measures nothing."""

    __slots__ = ("_context",)

    def __init__(self, context: TraceContext) -> None:
        """Pass the context on as it is."""
        self._context = context

    @property
    def context(self) -> TraceContext:
        """Return the context for hops below this one."""
        return self._context

    def note(self, **attributes: str) -> None:
        """Drop the attributes."""

    def __enter__(self) -> Self:
        """Do nothing."""
        return self

    def __exit__(self, *error: object) -> None:
        """Do nothing."""


class Tracer:
    """Start spans, and keep the most recent finished ones."""

    def __init__(
        self,
        host_name: str,
        sampling_interval: int,
        source: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        max_spans: int = MAX_SPANS,
    ) -> None:
        """Sample one trace in `sampling_interval`, or none but on request if 0."""
        self.host_name = host_name
        self.clock = clock
        self.wall_clock = wall_clock
        self._sampling_interval = sampling_interval
        self._random = source
        self._spans: deque[SpanModel] = deque(maxlen=max_spans)

    def context(self, header: str | None) -> TraceContext:
        """Return the caller's context, or that of a new trace."""
        parsed = parse_trace_parent(header) if header else None
        if parsed is None:
            trace_id = self._identifier(_TRACE_BITS)
            span_id = self._identifier(_SPAN_BITS)
            return TraceContext(trace_id, span_id, self._samples(trace_id))
        if parsed.is_sampled or not self._samples(parsed.trace_id):
            return parsed
        return TraceContext(parsed.trace_id, parsed.span_id, True)

    def span(self, parent: TraceContext, hop: Hop, **attributes: str) -> "AnySpan":
        """Return the span of a hop, to be entered when the hop begins."""
        if not parent.is_sampled:
            return UnsampledSpan(parent)
        span_id = self._identifier(_SPAN_BITS)
        context = TraceContext(parent.trace_id, span_id, True)
        return Span(self, parent, context, hop, attributes)

    def record(self, span: SpanModel) -> None:
        """Keep a finished span; the oldest makes room for it."""
        self._spans.append(span)

    def find(self, identifier: str) -> tuple[SpanModel, ...]:
        """Return the spans of the trace or request with this identifier."""
        traces = set(self._traces_of(identifier))
        return tuple(span for span in self._spans if span.trace_id in traces)

    def _traces_of(self, identifier: str) -> Iterator[str]:
        yield identifier
        for span in self._spans:
            if span.attributes.get("request") == identifier:
                yield span.trace_id

    def _samples(self, trace_id: str) -> bool:
        if self._sampling_interval == 0:
            return False
        return int(trace_id[-_SAMPLING_HEX_DIGITS:], 16) % self._sampling_interval == 0

    def _identifier(self, bits: int) -> str:
        return f"{self._random.getrandbits(bits) or 1:0{bits // 4}x}"


AnySpan = Span | UnsampledSpan
