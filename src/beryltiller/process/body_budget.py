"""Budget of the bytes that requests' bodies may take in a proxy's memory.

A caller that sends large bodies slowly, on many connections, would otherwise take any
amount. The bodies of requests in flight count, also those that are still arriving.
"""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from types import MappingProxyType

from beryltiller.consistency.statement import MAX_BODY_BYTES

NO_HEADERS: Mapping[str, str] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class BodyPolicy:
    """The limits on requests' bodies.

    All together may have `max_bytes`. One of up to `small_bytes` doesn't count, so that
    large ones can't keep it out. A body must arrive within `receive_seconds`.
    """

    max_bytes: int = 128 * 1024 * 1024
    small_bytes: int = 16 * 1024
    receive_seconds: float = 10.0


class BodyBudgetError(Exception):
    """There is no room for another body now."""


class BodyBudget:
    """The bytes that the bodies of requests in flight take.

    >>> budget = BodyBudget(BodyPolicy(max_bytes=100, small_bytes=10))
    >>> with budget.reserved(60):
    ...     budget.taken_bytes
    60
    >>> budget.taken_bytes
    0
    """

    def __init__(self, policy: BodyPolicy) -> None:
        """Start without bodies."""
        self._policy = policy
        self._taken_bytes = 0

    @property
    def taken_bytes(self) -> int:
        """Return the bytes that are taken now."""
        return self._taken_bytes

    @contextmanager
    def reserved(
        self, size_bytes: int | None, headers: Mapping[str, str] = NO_HEADERS
    ) -> Iterator[None]:
        """Reserve the bytes of a body, whose size is None if it is not known yet.

        A compressed body counts as one of unknown size, as it is longer once received.
        Raise `BodyBudgetError` if there is no room.
        """
        if size_bytes is None or "Content-Encoding" in headers:
            size_bytes = MAX_BODY_BYTES
        # A longer body is refused once this much of it has arrived.
        is_counted = size_bytes > self._policy.small_bytes
        counted = min(size_bytes, MAX_BODY_BYTES) if is_counted else 0
        if counted and self._taken_bytes + counted > self._policy.max_bytes:
            raise BodyBudgetError(
                f"requests in flight take {self._taken_bytes} of"
                f" {self._policy.max_bytes} bytes"
            )
        self._taken_bytes += counted
        try:
            yield
        finally:
            self._taken_bytes -= counted
