"""Paths of URLs, built from texts that others chose."""

from urllib.parse import quote

# A client resolves these before it sends a path, even if they are escaped.
_RELATIVE_SEGMENTS = frozenset({".", ".."})


class PathError(Exception):
    """A text that cannot be one segment of a path."""


def url_path(*segments: str) -> str:
    """Return the path of the segments, each escaped, so that it reads back as given.

    Raise `PathError` for a segment that is empty, `.` or `..`, or not Unicode text.

    >>> url_path("v1", "failover", "../drain")
    '/v1/failover/..%2Fdrain'
    """
    return "".join(f"/{_escaped(segment)}" for segment in segments)


def _escaped(segment: str) -> str:
    if not segment or segment in _RELATIVE_SEGMENTS:
        raise PathError(f"{segment!r} cannot be part of a path")
    try:
        return quote(segment, safe="")
    except UnicodeEncodeError as error:
        raise PathError(f"not Unicode text: {error.reason}") from error
