"""Admission records: a ring buffer from which the order of grants is explained later.

Each ticket, granted or refused, has one packed record of `RECORD_BYTES` bytes and
references to the names of its caller and database. The ring holds the newest `capacity`
records of all databases: 32,768 records take about 3 MB and reach back 17 s at 1,880
statements/s, or 11 minutes at 50.
"""

import sys
from dataclasses import dataclass
from math import nan
from struct import Struct

from xxhash import xxh3_64_intdigest

from beryltiller.admission.tickets import Cause, Drop, Grant, Lane, Ticket
from beryltiller.core.outcome import Kind, Outcome

_LAYOUT = Struct("<QQQdddddddIBBBB")
RECORD_BYTES = _LAYOUT.size
_NUMBER = Struct("<Q")
_FINISHED = Struct("<d")
_STATE = Struct("<B")
_NUMBER_OFFSET = 8
_FINISHED_OFFSET = 40
_STATE_OFFSET = 86

_KINDS = tuple(Kind)
_OUTCOMES = (None, *Outcome)
_REFUSED = len(_OUTCOMES)
_NO_LANE = 255


@dataclass(frozen=True, slots=True)
class AdmissionRecord:
    """A record of one ticket, read from the ring.

    `index` is the number of the record on this proxy, from 0. `outcome` is None while a
    granted ticket is in execution. A refused ticket has a `cause` and no grant. Times
    are in monotonic seconds. `wait_seconds` is that of the `Rejection`.
    """

    index: int
    database: str
    connection: int
    finished: float
    outcome: Outcome | None
    ticket: Ticket
    arrived: float
    grant: Grant | None = None
    cause: Cause | None = None
    wait_seconds: float = 0.0


def _digest(request_id: str) -> int:
    return xxh3_64_intdigest(request_id.encode())


class AdmissionRecords:
    """The records of one proxy's newest tickets, in memory of a fixed size."""

    def __init__(self, capacity: int = 32768) -> None:
        """Allocate the memory for `capacity` records."""
        self._capacity = capacity
        self._ring = bytearray(capacity * RECORD_BYTES)
        self._callers: list[str] = [""] * capacity
        self._databases: list[str] = [""] * capacity
        self._written = 0

    @property
    def capacity(self) -> int:
        """Return the maximum number of records."""
        return self._capacity

    def record_grant(self, database: str, grant: Grant, connection: int) -> int:
        """Record a grant; return the index by which to record its outcome."""
        held_back = _NO_LANE if grant.held_back is None else grant.held_back
        return self._write(
            database,
            grant.ticket,
            grant.number,
            grant.grants_at_arrival,
            (grant.arrived, nan, grant.granted, grant.order, grant.service, grant.cost),
            connection,
            (held_back, 0, grant.is_pinned),
        )

    def record_outcome(self, index: int, outcome: Outcome, now: float) -> None:
        """Add the outcome to a grant's record, if the ring still holds it."""
        if index <= self._written - self._capacity:
            return
        offset = index % self._capacity * RECORD_BYTES
        state = _OUTCOMES.index(outcome)
        _FINISHED.pack_into(self._ring, offset + _FINISHED_OFFSET, now)
        _STATE.pack_into(self._ring, offset + _STATE_OFFSET, state)

    def record_refusal(self, database: str, drop: Drop, now: float) -> None:
        """Record the refusal of a ticket."""
        # A refused ticket has no cost, so its record holds `wait_seconds` there.
        rejection = drop.rejection
        self._write(
            database,
            drop.ticket,
            0,
            0,
            (drop.arrived, now, now, 0.0, 0.0, rejection.wait_seconds),
            0,
            (_NO_LANE, _REFUSED + rejection.cause, False),
        )

    def find(self, request_id: str) -> list[AdmissionRecord]:
        """Return the records of a request, oldest first, one for each attempt."""
        wanted = _digest(request_id).to_bytes(8, "little")
        offset = self._ring.find(wanted)
        found = []
        while offset >= 0:
            slot, rest = divmod(offset, RECORD_BYTES)
            if rest == 0 and slot < self._written:
                found.append(self._index_of(slot))
            offset = self._ring.find(wanted, offset + 1)
        return [self._read(index, request_id) for index in sorted(found)]

    def grants_between(self, record: AdmissionRecord) -> list[AdmissionRecord]:
        """Return the grants made between a granted record's arrival and its grant.

        They belong to the same database, oldest first. Those that the ring no longer
        holds are missing, which shows as a gap in the grant numbers.
        """
        grant = record.grant
        if grant is None:
            return []
        between = []
        for index in range(record.index - 1, self._oldest - 1, -1):
            slot = index % self._capacity
            offset = slot * RECORD_BYTES
            number = _NUMBER.unpack_from(self._ring, offset + _NUMBER_OFFSET)[0]
            if self._databases[slot] != record.database or number == 0:
                continue
            if number <= grant.grants_at_arrival:
                break
            between.append(self._read(index))
        return between[::-1]

    @property
    def _oldest(self) -> int:
        return max(0, self._written - self._capacity)

    def _write(
        self,
        database: str,
        ticket: Ticket,
        number: int,
        grants_at_arrival: int,
        times: tuple[float, float, float, float, float, float],
        connection: int,
        flags: tuple[int, int, bool],
    ) -> int:
        index = self._written
        slot = index % self._capacity
        arrived, finished, granted, order, service, cost = times
        held_back, state, is_pinned = flags
        _LAYOUT.pack_into(
            self._ring,
            slot * RECORD_BYTES,
            _digest(ticket.request_id),
            number,
            grants_at_arrival,
            arrived,
            granted,
            finished,
            ticket.deadline,
            order,
            service,
            cost,
            connection,
            _KINDS.index(ticket.kind),
            held_back,
            state,
            is_pinned,
        )
        self._callers[slot] = sys.intern(ticket.caller)
        self._databases[slot] = sys.intern(database)
        self._written = index + 1
        return index

    def _index_of(self, slot: int) -> int:
        """Return the index of the newest record in a slot."""
        newest = self._written - 1
        return newest - (newest - slot) % self._capacity

    def _read(self, index: int, request_id: str = "") -> AdmissionRecord:
        slot = index % self._capacity
        values = _LAYOUT.unpack_from(self._ring, slot * RECORD_BYTES)
        _, number, grants_at_arrival, arrived, granted, finished, *rest = values
        deadline, order, service, cost, connection, *flags = rest
        kind, held_back, state, is_pinned = flags
        caller = self._callers[slot]
        ticket = Ticket(request_id, caller, _KINDS[kind], deadline)
        name = self._databases[slot]
        if state >= _REFUSED:
            cause = Cause(state - _REFUSED)
            return AdmissionRecord(
                index,
                name,
                connection,
                finished,
                Outcome.NOT_RUN,
                ticket,
                arrived,
                cause=cause,
                wait_seconds=cost,
            )
        grant = Grant(
            ticket=ticket,
            arrived=arrived,
            granted=granted,
            number=number,
            grants_at_arrival=grants_at_arrival,
            order=order,
            service=service,
            cost=cost,
            held_back=None if held_back == _NO_LANE else Lane(held_back),
            is_pinned=bool(is_pinned),
        )
        return AdmissionRecord(
            index,
            name,
            connection,
            finished,
            _OUTCOMES[state],
            ticket,
            arrived,
            grant,
        )
