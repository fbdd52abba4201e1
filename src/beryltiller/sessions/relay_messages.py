"""Messages between the proxies of a zone, rows of feeders' posts, and their codec."""

from collections.abc import Sequence

import msgspec

from beryltiller.core.ports import Row
from beryltiller.sessions.relay import Announcement, Feeder, Post, TableChange

MAX_MESSAGE_BYTES = 1_048_576
# A larger change is only announced: whoever hears of it asks the store.
MAX_CHANGE_BYTES = 16_384


class RelayMessageError(Exception):
    """Report a message that cannot be read."""


class Packet(msgspec.Struct, frozen=True, omit_defaults=True):
    """One message: how the feeder's tables stand, and a change of one of them."""

    announcement: Announcement
    change: TableChange | None = None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Packet)


def encode(packet: Packet) -> bytes:
    """Return a message's bytes, without a change that is too large."""
    change = packet.change
    if change is not None and _size(change.rows) > MAX_CHANGE_BYTES:
        packet = Packet(packet.announcement)
    return _ENCODER.encode(packet)


def decode(data: bytes) -> Packet:
    """Return a message, or raise `RelayMessageError`."""
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise RelayMessageError(str(error)) from error


def encode_feeder(feeder: Feeder) -> bytes:
    """Return the value of a post's row."""
    return msgspec.json.encode(feeder)


def decode_posts(keys: Sequence[str], rows: Sequence[Row]) -> tuple[Post, ...]:
    """Return the posts with these keys; a row that cannot be read is vacant."""
    found = {row.key: row for row in rows}
    return tuple(_post(key, found.get(key)) for key in keys)


def _post(key: str, row: Row | None) -> Post:
    if row is None:
        return Post(key)
    try:
        return Post(key, row.version, msgspec.json.decode(row.value, type=Feeder))
    except msgspec.MsgspecError:
        return Post(key, row.version)


def _size(rows: Sequence[Row]) -> int:
    return sum(len(row.value) for row in rows)
