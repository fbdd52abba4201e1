"""Traces: a span for each hop of a sampled request, kept in a ring buffer.

The context of a trace is sent in the W3C `traceparent` header. Whether a trace is
sampled follows from its identifier, so that all proxies decide alike; a caller can
request sampling by the header's sampled flag. A request that is not sampled costs
only the generation of its identifier.

    context = tracer.context_from_header(headers.get("traceparent"))
    with tracer.new_span(context, Hop.REQUEST, request="r1") as request:
        with tracer.new_span(request.context, Hop.QUEUE):
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
    """The stages of a request that are measured, each by a span with the hop's name."""

    REQUEST = "request", "a caller's request, from its arrival to its answer"
    QUEUE = "queue", "the wait in a database's queue, including that for a connection"
    ENDPOINT = "endpoint", "a statement at a database"
    FORWARD = "forward", "a statement forwarded to another proxy"
    FORWARDED = "forwarded", "the same statement at that proxy"

    def __init__(self, span_name: str, meaning: str) -> None:
        """Set the name of the hop's spans, and the meaning that docs/LOGS.md gives."""
        self.span_name = span_name
        self.meaning = meaning


@dataclass(frozen=True, slots=True)
class TraceContext:
    """The identifiers of a trace and of its span that is the parent of new spans.

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
        """Return the context as the value of a `traceparent` header."""
        return f"00-{self.trace_id}-{self.span_id}-{int(self.is_sampled):02x}"


def parse_trace_parent(header: str) -> TraceContext | None:
    """Parse a `traceparent` header; return None if it is invalid."""
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
    """A finished span; `parent_id` may name a span of another process.

    `started_at` is Unix time in seconds, so that spans of several hosts can be ordered
    by it; durations are measured by one host's monotonic clock.
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
    """A context manager that measures one hop of a sampled request."""

    def __init__(
        self,
        tracer: "Tracer",
        parent: TraceContext,
        context: TraceContext,
        hop: Hop,
        attributes: dict[str, str],
    ) -> None:
        """Set the hop, and the `context` that hops within it use as their parent."""
        self._tracer = tracer
        self._parent = parent
        self._context = context
        self._hop = hop
        self._attributes = attributes
        self._started_at = 0.0
        self._started_monotonic = 0.0

    @property
    def context(self) -> TraceContext:
        """Return the context that hops within this one use as their parent."""
        return self._context

    def add_attributes(self, **attributes: str) -> None:
        """Add attributes, such as the name of the database that served the request."""
        self._attributes.update(attributes)

    def __enter__(self) -> Self:
        """Start the measurement."""
        self._started_at = self._tracer.wall_clock()
        self._started_monotonic = self._tracer.clock()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Record the span, with the class of the error that ended it, if any."""
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
                duration_seconds=self._tracer.clock() - self._started_monotonic,
                attributes=self._attributes,
            )
        )


class UnsampledSpan:
    """A span of a request that is not sampled; it measures and records nothing."""

    __slots__ = ("_context",)

    def __init__(self, context: TraceContext) -> None:
        """Use the given context for hops within this one too."""
        self._context = context

    @property
    def context(self) -> TraceContext:
        """Return the context that hops within this one use as their parent."""
        return self._context

    def add_attributes(self, **attributes: str) -> None:
        """Ignore the attributes."""

    def __enter__(self) -> Self:
        """Do nothing."""
        return self

    def __exit__(self, *error: object) -> None:
        """Do nothing."""


class Tracer:
    """A factory of spans, which keeps the most recent finished ones in memory."""

    def __init__(
        self,
        host_name: str,
        sampling_interval: int,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        max_spans: int = MAX_SPANS,
    ) -> None:
        """Sample one trace in `sampling_interval`, and those that callers request.

        With an interval of 0, only the latter are sampled. At most `max_spans`
        finished spans are kept.
        """
        self.host_name = host_name
        self.clock = clock
        self.wall_clock = wall_clock
        self._sampling_interval = sampling_interval
        self._rng = rng
        self._spans: deque[SpanModel] = deque(maxlen=max_spans)

    def context_from_header(self, header: str | None) -> TraceContext:
        """Return the context in a `traceparent` header, or that of a new trace."""
        parsed = parse_trace_parent(header) if header else None
        if parsed is None:
            trace_id = self._generate_identifier(_TRACE_BITS)
            span_id = self._generate_identifier(_SPAN_BITS)
            return TraceContext(trace_id, span_id, self._is_sampled(trace_id))
        if parsed.is_sampled or not self._is_sampled(parsed.trace_id):
            return parsed
        return TraceContext(parsed.trace_id, parsed.span_id, True)

    def new_span(self, parent: TraceContext, hop: Hop, **attributes: str) -> "AnySpan":
        """Return a span under `parent`, to be entered when the hop begins."""
        if not parent.is_sampled:
            return UnsampledSpan(parent)
        span_id = self._generate_identifier(_SPAN_BITS)
        context = TraceContext(parent.trace_id, span_id, True)
        return Span(self, parent, context, hop, attributes)

    def record(self, span: SpanModel) -> None:
        """Store a finished span; if the buffer is full, the oldest one is dropped."""
        self._spans.append(span)

    def find(self, identifier: str) -> tuple[SpanModel, ...]:
        """Return the kept spans of the trace or request with this identifier."""
        trace_ids = set(self._find_trace_ids(identifier))
        return tuple(span for span in self._spans if span.trace_id in trace_ids)

    def _find_trace_ids(self, identifier: str) -> Iterator[str]:
        yield identifier
        for span in self._spans:
            if span.attributes.get("request") == identifier:
                yield span.trace_id

    def _is_sampled(self, trace_id: str) -> bool:
        if self._sampling_interval == 0:
            return False
        return int(trace_id[-_SAMPLING_HEX_DIGITS:], 16) % self._sampling_interval == 0

    def _generate_identifier(self, bits: int) -> str:
        return f"{self._rng.getrandbits(bits) or 1:0{bits // 4}x}"


AnySpan = Span | UnsampledSpan
