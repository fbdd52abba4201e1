"""The era of the platform's store, as its answers name it."""

from collections.abc import Mapping

from beryltiller.core.revisions import MAX_ERA, RevisionError

ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = len(str(MAX_ERA))


def read_era(headers: Mapping[str, str]) -> int | None:
    """Return the era in an answer's headers, or None without one.

    Raise `RevisionError` if it cannot be read.
    """
    text = headers.get(ERA_HEADER)
    if text is None:
        return None
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    if not is_number or int(text) > MAX_ERA:
        raise RevisionError(f"era {text[:40]!r} is not a number, or too large")
    return int(text)
