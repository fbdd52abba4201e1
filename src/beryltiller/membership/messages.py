"""Messages between proxies, and their codec.

Messages are `msgspec` models in MessagePack, encoded as arrays to keep them small.
Ages are milliseconds before the message was written, so that the clocks of hosts
need not agree. The receiver of an answer counts an age back from the time when it sent
its request. Only the age of a note on an endpoint counts from the note's receipt.

>>> decode(encode(PositionRequest("g1"))).unwrap()
PositionRequest(group='g1')
>>> decode(b"junk").failure()
BadMessage(reason='malformed')
"""

from dataclasses import dataclass
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from beryltiller.core.decoding import MAX_NUMBER, Count, DecodingError, decode_with
from beryltiller.membership.message_parts import BaseMessage, BasePart, Text
from beryltiller.membership.quota_messages import (
    QuotaRedirect,
    QuotaReply,
    QuotaRequest,
)

MAX_MESSAGE_BYTES = 2_097_152
MAX_MEMBERS_IN_MESSAGE = 4_096
UNKNOWN_AGE_MS = -1
# The greatest capacity of a proxy, in hundredths of an ordinary host's.
MAX_WEIGHT = 1_000_000
# The least version of a configuration, which stands for none.
MIN_VERSION = -1

_Age = Annotated[int, msgspec.Meta(ge=UNKNOWN_AGE_MS, le=MAX_NUMBER)]
_Version = Annotated[int, msgspec.Meta(ge=MIN_VERSION, le=MAX_NUMBER)]
_State = Annotated[int, msgspec.Meta(ge=0, le=3)]
_MaxMembers = msgspec.Meta(max_length=MAX_MEMBERS_IN_MESSAGE)


class MemberEntry(BasePart, frozen=True, array_like=True):
    """The sender's description of one member; see `membership.members`."""

    address: Text
    name: Text
    availability_zone: Text
    incarnation: Count
    revision: Count
    state: _State
    is_draining: bool = False
    # Earlier releases send no weight, and ignore it.
    weight: Annotated[int, msgspec.Meta(ge=1, le=MAX_WEIGHT)] = 100


class Digest(BasePart, frozen=True, array_like=True):
    """The versions that the sender has, with the age of each store confirmation.

    An age is the time since the start of a store read that showed the version to
    be the newest, or `UNKNOWN_AGE_MS`.
    """

    configuration_version: _Version = MIN_VERSION
    configuration_age_ms: _Age = UNKNOWN_AGE_MS
    terms_revision: Count = 0
    terms_age_ms: _Age = UNKNOWN_AGE_MS


class EndpointEntry(BasePart, frozen=True, array_like=True):
    """A note of whether an endpoint is leaving, and its age; see `EndpointNote`."""

    name: Text
    is_leaving: bool
    age_ms: Count
    is_listed: bool = False


class Gossip(BasePart, frozen=True, array_like=True):
    """The part of every probe and answer that carries membership updates."""

    sender: MemberEntry
    digest: Digest = Digest()
    members: Annotated[tuple[MemberEntry, ...], _MaxMembers] = ()
    endpoints: tuple[EndpointEntry, ...] = ()


class Ping(BaseMessage, frozen=True, array_like=True):
    """A probe, which the receiver answers at once with `Ack`."""

    gossip: Gossip


class Ack(BaseMessage, frozen=True, array_like=True):
    """The answer to a `Ping`; it shows that the sender is running."""

    gossip: Gossip


class PingRequest(BaseMessage, frozen=True, array_like=True):
    """A request to ping another member.

    The receiver answers with `PingReply` if the target answers, else with `Refused`.
    """

    gossip: Gossip
    target: Text


class PingReply(BaseMessage, frozen=True, array_like=True):
    """The report that the target of a `PingRequest` answered, with its own entry."""

    target: MemberEntry


class MembersRequest(BaseMessage, frozen=True, array_like=True):
    """A request for all members that the receiver knows."""


class MembersReply(BaseMessage, frozen=True, array_like=True):
    """The members that the sender knows, including the dead ones."""

    members: Annotated[tuple[MemberEntry, ...], _MaxMembers]


class ConfigurationRequest(BaseMessage, frozen=True, array_like=True):
    """A request for the configuration if it is newer than `above` (-1: any)."""

    above: _Version


class ConfigurationReply(BaseMessage, frozen=True, array_like=True):
    """The version in force (-1: none), and its document if above the one requested.

    `document` is JSON compressed with zlib. `known_version` is the newest version
    number that the sender knows of, in force there or not.
    """

    version: _Version
    known_version: _Version
    age_ms: _Age = UNKNOWN_AGE_MS
    document: bytes = b""


class TermRow(BasePart, frozen=True, array_like=True):
    """A row of the `terms` table."""

    key: Text
    version: Count
    value: bytes


class EvidenceRequest(BaseMessage, frozen=True, array_like=True):
    """A request for the rows of the `terms` table above a revision, and their age.

    `age_ms` is the age of the sender's evidence (`UNKNOWN_AGE_MS`: none). A peer
    without newer evidence may delay its answer until it has some.
    """

    since: Count
    age_ms: _Age = UNKNOWN_AGE_MS


class EvidenceReply(BaseMessage, frozen=True, array_like=True):
    """The rows above the requested revision, and the age of the evidence.

    The age is counted back from when the request arrived, so it is negative if the
    store was read after that.
    """

    revision: Count
    age_ms: int
    rows: tuple[TermRow, ...] = ()


class OpinionRequest(BaseMessage, frozen=True, array_like=True):
    """A request to report whether the peer suspects `database`, primary of `group`."""

    group: Text
    database: Text


class OpinionReply(BaseMessage, frozen=True, array_like=True):
    """The answer to an `OpinionRequest`: whether the sender suspects the primary."""

    is_suspected: bool


class Forward(BaseMessage, frozen=True, array_like=True):
    """A statement forwarded to a proxy that holds connections to the database."""

    database: Text
    headers: dict[str, str]
    body: bytes
    timeout_ms: Count


class ForwardTransaction(BaseMessage, frozen=True, array_like=True):
    """A step of a transaction, forwarded to the proxy that has its connection.

    `verb` is `begin`, `run`, `commit` or `rollback`.
    """

    database: Text
    verb: Text
    identifier: Text
    headers: dict[str, str]
    body: bytes
    timeout_ms: Count


class ForwardReply(BaseMessage, frozen=True, array_like=True):
    """The answer to a forwarded statement or step of a transaction."""

    status: int
    headers: dict[str, str]
    body: bytes


class ForwardedRoute(BasePart, frozen=True, array_like=True):
    """The route of a forwarded statement, as its sender has it in force.

    `kind` is the value of a `RouteKind`.
    """

    database_name: str
    service: str
    kind: Text
    timeout_ms: Count
    objective_ms: Count
    priority: Count
    max_staleness_ms: Count


class ForwardedStatement(BasePart, frozen=True, array_like=True):
    """A session's statement: the name of its class, and its texts in order.

    `prepared_shape` is that of the prepared statement that an execution names, which
    writes if `is_write`.
    """

    kind: Text
    texts: tuple[str, ...] = ()
    prepared_shape: str = ""
    is_write: bool = False


class SessionStatement(BaseMessage, frozen=True, array_like=True):
    """A statement of a session, to be run by a proxy that is connected to the service.

    `sender` names the process that sends it. `committed` is the position of the
    session's last commit at the service, if it has one; `unplaced_age_ms` is the age of
    the last one without a position, or `UNKNOWN_AGE_MS`. `spent_ms` is the time since
    the caller sent the statement. With a `transaction` number the statement belongs to
    that transaction of the sender; if it `begins` one, `begun_ms` is the time since the
    caller began it.
    """

    sender: Text
    route: ForwardedRoute
    organisation: str
    identifier: str
    statement: ForwardedStatement
    values: dict[str, str]
    committed: Text = ""
    unplaced_age_ms: _Age = UNKNOWN_AGE_MS
    spent_ms: Count = 0
    transaction: Count = 0
    begins: bool = False
    is_read_only: bool = False
    begun_ms: Count = 0


class SessionEnd(BaseMessage, frozen=True, array_like=True):
    """A request to roll back a forwarded transaction, if it is still open."""

    sender: Text
    transaction: Count


class SessionReply(BaseMessage, frozen=True, array_like=True):
    """The reply to a `SessionStatement` or `SessionEnd`.

    `state` and `code` are the values of a `SessionState` and of a `Code`, with an empty
    `code` for a success. `is_open` tells whether the transaction is still open at the
    sender of the reply.
    """

    state: Text
    rows: tuple[bytes, ...] = ()
    signature: bytes = b""
    code: Text = ""
    text: str = ""
    position: Text = ""
    is_open: bool = False


class PlacementQuestion(BaseMessage, frozen=True, array_like=True):
    """A question where a statement would run now, which is not sent.

    With `is_local` it is asked as if it had been forwarded to the receiver.
    """

    database_name: str
    organisation: str = ""
    is_write: bool = False
    is_local: bool = False


class PlacementAnswer(BaseMessage, frozen=True, array_like=True):
    """The answer to a `PlacementQuestion`, with its reasons as lines of text.

    `forwards_to` is the peer address of the proxy that would run the statement, or
    empty if the answering one, `host`, would.
    """

    host: Text
    forwards_to: Text = ""
    reasons: tuple[str, ...] = ()


class PositionRequest(BaseMessage, frozen=True, array_like=True):
    """A request for the newest known log position of a group's primary."""

    group: Text


class PositionReply(BaseMessage, frozen=True, array_like=True):
    """The answer to a `PositionRequest`: a position as `term:index`, and its age."""

    position: Text
    age_ms: _Age


class Refused(BaseMessage, frozen=True, array_like=True):
    """The refusal of a request; it proves that nothing was done for the request."""

    code: Text
    reason: Text = ""


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
    | SessionStatement
    | SessionEnd
    | SessionReply
    | PlacementQuestion
    | PlacementAnswer
    | PositionRequest
    | PositionReply
    | QuotaRequest
    | QuotaReply
    | QuotaRedirect
    | Refused
)


@dataclass(frozen=True, slots=True)
class ReplyTo:
    """The address of the answer to a received request; opaque outside `peers`."""

    identity: bytes
    request: bytes


@dataclass(frozen=True, slots=True)
class BadMessage:
    """The reason why bytes from a peer were rejected: `malformed` or `too-large`."""

    reason: str


class MessageError(Exception):
    """Raised for a message of more than `MAX_MESSAGE_BYTES`, which is not sent."""


_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return the message in MessagePack.

    Raise `MessageError` if it has more than `MAX_MESSAGE_BYTES`.
    """
    data = _encoder.encode(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(
            f"message has {len(data)} bytes, more than {MAX_MESSAGE_BYTES}"
        )
    return data


def decode(data: bytes) -> Result[Message, BadMessage]:
    """Return the message decoded from bytes of a peer, or why they are rejected."""
    if len(data) > MAX_MESSAGE_BYTES:
        return Failure(BadMessage("too-large"))
    try:
        return Success(decode_with(_decoder.decode, data))
    except DecodingError:
        return Failure(BadMessage("malformed"))
