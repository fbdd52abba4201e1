"""A trace as text: the tree of its spans with their durations.

request 12.1 ms  entry-1  route=orders
queue 2.0 ms  entry-1
endpoint 9.8 ms  entry-1  database=g1-d2
"""

from collections.abc import Iterable, Iterator, Mapping

from beryltiller.observability.traces import SpanModel

_INDENT = "  "


def render_trace(spans: Iterable[SpanModel]) -> Iterator[str]:
    """Yield a line for each span, indented under the span it belongs to.

    Spans whose parent is not among them come first in the order of their start;
    the parent may be the caller's own, or have left the ring.
    """
    ordered = sorted(spans, key=lambda span: span.started_at)
    known = {span.span_id for span in ordered}
    children: dict[str, list[SpanModel]] = {}
    for span in ordered:
        parent = span.parent_id if span.parent_id in known else ""
        children.setdefault(parent, []).append(span)
    yield from _lines(children, "", 0)


def _lines(
    children: Mapping[str, list[SpanModel]], parent: str, depth: int
) -> Iterator[str]:
    for span in children.get(parent, ()):
        yield _INDENT * depth + _line(span)
        yield from _lines(children, span.span_id, depth + 1)


def _line(span: SpanModel) -> str:
    notes = (f"{name}={value}" for name, value in sorted(span.attributes.items()))
    duration = f"{span.duration_seconds * 1000:.1f} ms"
    return "  ".join([f"{span.name} {duration}", span.host, *notes])
