"""The lease of a shard: its row in the store, and who may allocate until when."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from beryltiller.core import revisions
from beryltiller.core.decoding import Count, DecodingError, decode_json
from beryltiller.core.ports import Row
from beryltiller.quotas.holdings import Process
from beryltiller.quotas.rules import WHOLE

LEASE_SECONDS = 10.0
RENEWAL_SECONDS = 3.0
# Another proxy waits longer, for the difference between two clocks and for a reply that
# the former allocator sent at the end of its lease (`rules.REPLY_SECONDS`).
TAKEOVER_SECONDS = LEASE_SECONDS + 1.5
# Rows of the store have at most 64 KiB.
MAX_ROW_BYTES = 60_000

_Text = Annotated[str, msgspec.Meta(max_length=256)]


class LeaseError(Exception):
    """A row that does not fit into the store, or cannot be decoded."""


class _ProcessModel(msgspec.Struct, frozen=True, array_like=True):
    name: _Text
    start: Count


class LeaseModel(msgspec.Struct, frozen=True):
    """The value of a lease's row.

    `expected` is the version that the write replaced, and `renewal` counts the writes
    of the term. `processes` may hold shares, of at most `max_share` millionths each.
    """

    name: _Text
    start: Count
    address: _Text
    term: Count
    renewal: Count
    expected: Count
    max_share: Annotated[int, msgspec.Meta(ge=0, le=WHOLE)]
    processes: tuple[_ProcessModel, ...] = ()

    @property
    def holders(self) -> frozenset[Process]:
        """Return the processes that may hold shares."""
        return frozenset(Process(each.name, each.start) for each in self.processes)


def lease_key(shard: int) -> str:
    """Return the key of a shard's row."""
    return f"shard-{shard}"


def decode_lease(row: Row) -> LeaseModel:
    """Decode a row; raise `LeaseError` if it is malformed."""
    try:
        return decode_json(row.value, LeaseModel)
    except DecodingError as error:
        raise LeaseError(str(error)) from error


@dataclass(frozen=True, slots=True)
class Claim:
    """A write of the row that takes or renews the lease."""

    expected: int
    lease: LeaseModel
    value: bytes


class Lease:
    """One proxy's knowledge of a shard's lease.

    It has the lease only by writes that the store has confirmed, each for
    `LEASE_SECONDS` from when it was sent. A row that it did not write ends it.
    """

    def __init__(self, shard: int, process: Process, address: str) -> None:
        """Start without knowledge of the row."""
        self.shard = shard
        self._process = process
        self._address = address
        self._version: int | None = None
        self._value = b""
        self._seen_at = 0.0
        self._row: LeaseModel | None = None
        self._pending: Claim | None = None
        self._term = 0
        self._held_until = float("-inf")

    def is_held(self, now: float) -> bool:
        """Return True if this proxy may allocate."""
        return now < self._held_until

    @property
    def holder_address(self) -> str:
        """Return the address in the row last seen, or an empty text."""
        return self._row.address if self._row is not None else ""

    @property
    def is_trusted(self) -> bool:
        """Return True if the row lists all processes that may hold shares.

        A row that is missing or from before the store was restored may not.
        """
        if self._row is None or self._version is None:
            return False
        written_in = revisions.era_of(self._row.expected)
        return written_in == revisions.era_of(self._version)

    @property
    def listed(self) -> LeaseModel | None:
        """Return the row last seen, which lists the processes that may hold shares."""
        return self._row

    def observe(self, row: Row | None, now: float) -> None:
        """Record the row that the store has, as a read has shown."""
        version, value = (row.version, row.value) if row is not None else (0, b"")
        if version == self._version and value == self._value:
            return
        if self._pending is not None and value == self._pending.value:
            # The reply to the write was lost. What it confirms was not yet used.
            self._pending = None
        else:
            self.stop()
        self._remember(version, value, now)

    def stop(self) -> None:
        """Stop allocating, as the row may be another's."""
        self._held_until = float("-inf")
        self._term = 0
        self._pending = None

    def forget(self) -> None:
        """Forget the row, so that the lease is not taken before it is read again."""
        self.stop()
        self._version = None

    def may_take(self, now: float) -> bool:
        """Return True if the lease has expired, as far as known, and may be taken."""
        is_known = self._version is not None and not self.is_held(now)
        return is_known and now - self._seen_at >= TAKEOVER_SECONDS

    def claim(self, term: int, processes: Iterable[Process], share: int) -> Claim:
        """Return the write that renews the lease, or takes it with the new `term`.

        Raise `LeaseError` if the row is too large.
        """
        expected = self._version or 0
        renewal = self._row.renewal + 1 if self._row and self._term == term else 0
        lease = LeaseModel(
            self._process.name,
            self._process.start,
            self._address,
            term,
            renewal,
            expected,
            share,
            tuple(_ProcessModel(each.name, each.start) for each in sorted(processes)),
        )
        value = msgspec.json.encode(lease)
        if len(value) > MAX_ROW_BYTES:
            raise LeaseError(f"lease of shard {self.shard} has {len(value)} bytes")
        self._pending = Claim(expected, lease, value)
        return self._pending

    def confirm(self, claim: Claim, version: int, sent_at: float, now: float) -> None:
        """Record that the store has confirmed a write that was sent at `sent_at`."""
        if self._pending is not claim:
            return
        self._pending = None
        self._term = claim.lease.term
        self._held_until = sent_at + LEASE_SECONDS
        self._remember(version, claim.value, now)

    def _remember(self, version: int, value: bytes, now: float) -> None:
        self._version, self._value, self._seen_at = version, value, now
        try:
            self._row = decode_lease(Row("", version, value)) if value else None
        except LeaseError:
            self._row = None
