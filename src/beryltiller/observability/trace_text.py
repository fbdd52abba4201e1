"""Rendering of a trace as text: the tree of its spans with their durations.

A span is indented under its parent:

    request 12.1 ms  entry-1  route=orders
      queue 2.0 ms  entry-1
      endpoint 9.8 ms  entry-1  database=g1-d2
"""

from collections.abc import Iterable, Iterator, Mapping

from beryltiller.observability.traces import SpanModel

_INDENT = "  "


def render_trace(spans: Iterable[SpanModel]) -> Iterator[str]:
    """Yield a line for each span, indented under its parent.

    A span whose parent is not among `spans` is rendered without indentation; its
    parent may be a span of the caller, or no longer kept. Siblings are ordered by
    their start.
    """
    ordered = sorted(spans, key=lambda span: span.started_at)
    known_ids = {span.span_id for span in ordered}
    children: dict[str, list[SpanModel]] = {}
    for span in ordered:
        parent = span.parent_id if span.parent_id in known_ids else ""
        children.setdefault(parent, []).append(span)
    yield from _render_children(children, "", 0)


def _render_children(
    children: Mapping[str, list[SpanModel]], parent: str, depth: int
) -> Iterator[str]:
    for span in children.get(parent, ()):
        yield _INDENT * depth + _render_span(span)
        yield from _render_children(children, span.span_id, depth + 1)


def _render_span(span: SpanModel) -> str:
    attributes = (f"{name}={value}" for name, value in sorted(span.attributes.items()))
    duration = f"{span.duration_seconds * 1000:.1f} ms"
    return "  ".join([f"{span.name} {duration}", span.host, *attributes])
