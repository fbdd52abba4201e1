"""Encode and decode relay messages and the rows of feeder leases."""

from collections.abc import Sequence

import msgspec

from beryltiller.core.addresses import Address
from beryltiller.core.decoding import DecodingError, decode_json, decode_with
from beryltiller.core.ports import Row
from beryltiller.sessions.tables.relay import (
    Feeder,
    FeederAnnouncement,
    FeederLease,
    TableChange,
)

MAX_MESSAGE_BYTES = 1_048_576
# The rows of a larger change are not sent; receivers poll the store for them.
MAX_CHANGE_BYTES = 16_384


class RelayMessageError(Exception):
    """A relay message that cannot be decoded."""


class Packet(msgspec.Struct, frozen=True, omit_defaults=True):
    """A relay message: the feeder's announcement, and a change if there is one."""

    announcement: FeederAnnouncement
    change: TableChange | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Packet)


def encode(packet: Packet) -> bytes:
    """Encode a message, leaving out a change of over `MAX_CHANGE_BYTES`."""
    change = packet.change
    if change is not None and _size_bytes(change) > MAX_CHANGE_BYTES:
        packet = Packet(packet.announcement)
    return _ENCODER.encode(packet)


def decode(data: bytes) -> Packet:
    """Decode a message; raise `RelayMessageError` if it is malformed."""
    try:
        return decode_with(_DECODER.decode, data)
    except DecodingError as error:
        raise RelayMessageError(str(error)) from error


def encode_feeder(feeder: Feeder) -> bytes:
    """Return the value of a feeder lease's row, which names its holder."""
    return msgspec.json.encode(feeder)


def decode_leases(keys: Sequence[str], rows: Sequence[Row]) -> tuple[FeederLease, ...]:
    """Return a lease for each key; it is free if its row is missing or malformed.

    That includes a row whose address is not that of one process.
    """
    found = {row.key: row for row in rows}
    return tuple(_decode_lease(key, found.get(key)) for key in keys)


def decode_feeders(rows: Sequence[Row]) -> tuple[Feeder, ...]:
    """Return the holders of all leases; malformed rows are left out."""
    leases = (_decode_lease(row.key, row) for row in rows)
    return tuple(each.holder for each in leases if each.holder is not None)


def _decode_lease(key: str, row: Row | None) -> FeederLease:
    if row is None:
        return FeederLease(key)
    try:
        holder = decode_json(row.value, Feeder)
        Address.parse_remote(holder.address)
    except (DecodingError, ValueError):
        return FeederLease(key, row.version)
    return FeederLease(key, row.version, holder)


def _size_bytes(change: TableChange) -> int:
    """Return the size of a change's values and keys, which others write."""
    keys = (*(row.key for row in change.rows), *change.removed)
    values = sum(len(row.value) for row in change.rows)
    return values + sum(len(key.encode()) for key in keys)
