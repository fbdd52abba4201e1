"""Messages between proxies, and their codec.

Messages are `msgspec` models in MessagePack, encoded as arrays to keep them small.
Ages are milliseconds before the message was written, so that no two hosts need to
agree about the time of day; the receiver dates them from when it asked.

>>> decode(encode(PositionRequest("g1"))).unwrap()
PositionRequest(group='g1')
>>> decode(b"junk").failure()
BadMessage(reason='malformed')
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

MAX_MESSAGE_BYTES = 2_097_152
MAX_MEMBERS_IN_MESSAGE = 4_096
UNKNOWN_AGE_MS = -1

_Text = Annotated[str, msgspec.Meta(max_length=256)]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Age = Annotated[int, msgspec.Meta(ge=UNKNOWN_AGE_MS)]
_State = Annotated[int, msgspec.Meta(ge=0, le=3)]
_MaxMembers = msgspec.Meta(max_length=MAX_MEMBERS_IN_MESSAGE)


class _Part(msgspec.Struct, frozen=True, array_like=True):
    """Base of the parts of messages."""


class _Message(_Part, frozen=True, array_like=True, tag=True):
    """Base of all messages; the class name is the tag on the wire."""


class MemberEntry(_Part, frozen=True, array_like=True):
    """Hold what the sender knows of one member; see `membership.members`."""

    address: _Text
    name: _Text
    availability_zone: _Text
    incarnation: _Count
    revision: _Count
    state: _State
    is_draining: bool = False


class Digest(_Part, frozen=True, array_like=True):
    """Summarise what the sender holds, with the age of each store confirmation.

    An age is the time since the start of a store read that showed the version to
    be the newest, or `UNKNOWN_AGE_MS`.
    """

    configuration_version: int = -1
    configuration_age_ms: _Age = UNKNOWN_AGE_MS
    terms_revision: _Count = 0
    terms_age_ms: _Age = UNKNOWN_AGE_MS


class EndpointEntry(_Part, frozen=True, array_like=True):
    """Tell whether an endpoint was seen leaving, and how long ago."""

    name: _Text
    is_leaving: bool
    age_ms: _Count
    is_listed: bool = False


class Gossip(_Part, frozen=True, array_like=True):
    """Hold the news that rides on every probe and its answer."""

    sender: MemberEntry
    digest: Digest = Digest()
    members: Annotated[tuple[MemberEntry, ...], _MaxMembers] = ()
    endpoints: tuple[EndpointEntry, ...] = ()


class Ping(_Message, frozen=True, array_like=True):
    """Ask a member to answer at once with `Ack`."""

    gossip: Gossip


class Ack(_Message, frozen=True, array_like=True):
    """Answer a ping."""

    gossip: Gossip


class PingRequest(_Message, frozen=True, array_like=True):
    """Ask a member to ping another one, and to answer only if that answered."""

    gossip: Gossip
    target: _Text


class PingReply(_Message, frozen=True, array_like=True):
    """Tell that the target of a `PingRequest` answered, with its own entry."""

    target: MemberEntry


class MembersRequest(_Message, frozen=True, array_like=True):
    """Ask for every member that the other side knows."""


class MembersReply(_Message, frozen=True, array_like=True):
    """List every member known, the dead ones too."""

    members: Annotated[tuple[MemberEntry, ...], _MaxMembers]


class ConfigurationRequest(_Message, frozen=True, array_like=True):
    """Ask for the configuration if it is newer than `above` (-1: any)."""

    above: int


class ConfigurationReply(_Message, frozen=True, array_like=True):
    """Answer with the version in force (-1: none) and its document if it is newer.

    `document` is JSON compressed with zlib. `known_version` is the newest version
    number that the sender has heard of, in force there or not.
    """

    version: int
    known_version: int
    age_ms: _Age = UNKNOWN_AGE_MS
    document: bytes = b""


class TermRow(_Part, frozen=True, array_like=True):
    """Hold a row of the `terms` table."""

    key: _Text
    version: _Count
    value: bytes


class EvidenceRequest(_Message, frozen=True, array_like=True):
    """Ask for rows of the `terms` table above a revision, and their age.

    `age_ms` is that of the evidence held (`UNKNOWN_AGE_MS`: none). A peer with
    nothing newer may hold the question until it has.
    """

    since: _Count
    age_ms: _Age = UNKNOWN_AGE_MS


class EvidenceReply(_Message, frozen=True, array_like=True):
    """Answer with the rows above the asked revision, and the evidence's age.

    The age is counted back from when the question came in, so it is negative when
    the store was read after that.
    """

    revision: _Count
    age_ms: int
    rows: tuple[TermRow, ...] = ()


class OpinionRequest(_Message, frozen=True, array_like=True):
    """Ask whether a group's primary is suspected."""

    group: _Text
    database: _Text


class OpinionReply(_Message, frozen=True, array_like=True):
    """Answer an `OpinionRequest`."""

    is_suspected: bool


class Forward(_Message, frozen=True, array_like=True):
    """Pass a statement to a proxy that holds a connection to the database."""

    database: _Text
    headers: dict[str, str]
    body: bytes
    timeout_ms: _Count


class ForwardTransaction(_Message, frozen=True, array_like=True):
    """Pass a step of a transaction to the proxy whose connection it is pinned to.

    `verb` is `begin`, `run`, `commit` or `rollback`.
    """

    database: _Text
    verb: _Text
    identifier: _Text
    headers: dict[str, str]
    body: bytes
    timeout_ms: _Count


class ForwardReply(_Message, frozen=True, array_like=True):
    """Return the answer to a forwarded statement."""

    status: int
    headers: dict[str, str]
    body: bytes


class PositionRequest(_Message, frozen=True, array_like=True):
    """Ask for the newest position known at a group's primary."""

    group: _Text


class PositionReply(_Message, frozen=True, array_like=True):
    """Answer with a position as `term:index` and its age."""

    position: _Text
    age_ms: _Age


class Refused(_Message, frozen=True, array_like=True):
    """Refuse a request; proves that nothing was done for it."""

    code: _Text
    reason: _Text = ""


Message = (
    Ping
    | Ack
    | PingRequest
    | PingReply
    | MembersRequest
    | MembersReply
    | ConfigurationRequest
    | ConfigurationReply
    | EvidenceRequest
    | EvidenceReply
    | OpinionRequest
    | OpinionReply
    | Forward
    | ForwardTransaction
    | ForwardReply
    | PositionRequest
    | PositionReply
    | Refused
)


@dataclass(frozen=True, slots=True)
class ReplyTo:
    """Say where the answer to a received request goes; opaque outside `peers`."""

    identity: bytes
    request: bytes


@dataclass(frozen=True, slots=True)
class BadMessage:
    """Tell why bytes from a peer were not accepted: `malformed` or `too-large`."""

    reason: str


class MessageError(Exception):
    """Report a message that is too large to send."""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the message's bytes, or raise `MessageError` when there are too many."""
    data = _encoder.encode(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"{len(data)} bytes, more than {MAX_MESSAGE_BYTES}")
    return data


def decode(data: bytes) -> Result[Message, BadMessage]:
    """Return the message in the bytes, or why there is none."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(BadMessage("too-large"))
    try:
        return Success(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return Failure(BadMessage("malformed"))
