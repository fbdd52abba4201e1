"""Documentation pages that are generated from the code.

They cover the settings, the logs, metrics and traces, and the modules.
`python -m beryltiller.commands.documents docs` writes them, and a test checks that
those in the repository are current.
"""

import ast
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

from beryltiller.commands.settings_commands import settings_page
from beryltiller.core.text import markdown_table
from beryltiller.observability.logs import message_rows
from beryltiller.observability.metrics import MAX_SAMPLES_PER_FLUSH, metric_rows
from beryltiller.observability.traces import MAX_SPANS, Hop

_GENERATED_NOTE = "Made by `make documents`; a test checks that it is current."
_LOGS_TEXT = f"""\
# Logs, metrics and traces

{_GENERATED_NOTE}

## Log messages

Lines of JSON on standard error, written by eliot, for changes of state only. Each
has `message_type`, `timestamp` and the fields below.

"""
_METRICS_TEXT = f"""
## Metrics

Sent to statsd once a second, each name under `beryltiller.HOST.`. Counters are
increases since the last send. Of each timer at most {MAX_SAMPLES_PER_FLUSH} values
a second are sent, drawn uniformly.

"""
_SPANS_TEXT = f"""
## Spans

A trace is sampled by its identifier, alike on every proxy, or when the caller's
`traceparent` has its sampled flag set. Each proxy keeps its newest {MAX_SPANS} spans;
`beryltiller trace ID` shows those of one request.

"""


def logs_page() -> Iterator[str]:
    """Yield the lines of docs/LOGS.md."""
    yield from _LOGS_TEXT.splitlines()
    rows = ((f"`{name}`", fields, meaning) for name, fields, meaning in message_rows())
    yield from markdown_table(("message type", "fields", "meaning"), rows)
    yield from _METRICS_TEXT.splitlines()
    rows = ((f"`{name}`", kind, meaning) for name, kind, meaning in metric_rows())
    yield from markdown_table(("name", "kind", "meaning"), rows)
    yield from _SPANS_TEXT.splitlines()
    spans = ((f"`{hop.span_name}`", hop.meaning) for hop in Hop)
    yield from markdown_table(("span", "meaning"), spans)


def modules_page() -> Iterator[str]:
    """Yield the lines of docs/MODULES.md."""
    yield from ("# Modules", "", _GENERATED_NOTE)
    root = Path(__file__).parent.parent
    for package in (root, *sorted(path.parent for path in root.glob("*/__init__.py"))):
        name = "/".join(package.relative_to(root.parent).parts)
        yield from ("", f"`src/{name}/`", "")
        paths = sorted(package.glob("*.py"))
        rows = ((f"`{path.stem}`", _summary(path)) for path in paths)
        yield from markdown_table(("module", "job"), rows)


def _summary(path: Path) -> str:
    module = ast.parse(path.read_text(encoding="utf-8"))
    return (ast.get_docstring(module) or "").partition("\n")[0]


PAGES: dict[str, Callable[[], Iterator[str]]] = {
    "SETTINGS.md": settings_page,
    "LOGS.md": logs_page,
    "MODULES.md": modules_page,
}


def render_page(name: str) -> str:
    """Return the text of the page in `PAGES` that is named, such as `LOGS.md`."""
    return "\n".join([*PAGES[name](), ""])


def main() -> int:
    """Write every page to the directory that is the only command-line argument."""
    (directory,) = sys.argv[1:]
    for name in PAGES:
        Path(directory, name).write_text(render_page(name), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
