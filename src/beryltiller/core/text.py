"""Formatting of tables as plain text and as Markdown."""

from collections.abc import Iterable, Iterator, Sequence

_GAP = "  "


def columns(header: Sequence[str], rows: Iterable[Sequence[str]]) -> Iterator[str]:
    r"""Yield the lines of a plain-text table with aligned columns.

    >>> print(*columns(("NAME", "TERM"), [("g1", "4")]), sep="\n")
    NAME  TERM
    g1    4
    """
    table = [tuple(header), *(tuple(row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield _GAP.join(cells).rstrip()


def markdown_table(
    header: Sequence[str], rows: Iterable[Sequence[str]]
) -> Iterator[str]:
    r"""Yield the lines of a Markdown table, with `|` in cells escaped.

    >>> print(*markdown_table(("name",), [("a|b",)]), sep="\n")
    | name |
    | --- |
    | a\|b |
    """
    yield _markdown_row(header)
    yield _markdown_row(["---"] * len(header))
    for row in rows:
        yield _markdown_row([cell.replace("|", "\\|") for cell in row])


def _markdown_row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"
