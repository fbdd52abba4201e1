"""Signed session tokens, which carry what a session wrote and read in each group."""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from types import MappingProxyType

import msgspec
from returns.result import Failure, Result, Success

from beryltiller.core.decoding import DecodingError, decode_with
from beryltiller.core.outcome import Refusal
from beryltiller.core.position import ORIGIN, Position

MAX_TOKEN_CHARACTERS = 2_048
MAX_GROUPS = 16
MIN_KEY_BYTES = 16

_FORMAT = 1
_KEY_NAME_BYTES = 4
_MAC_BYTES = 16
_FIELD = "Beryl-Session"


@unique
class TokenFault(Enum):
    """The fault of an invalid token; the value is the reason given to the caller."""

    MALFORMED = "not a session token"
    OVERSIZE = f"longer than {MAX_TOKEN_CHARACTERS} characters"
    TAMPERED = "the signature does not match"
    UNKNOWN_KEY = "signed with a key that is no longer accepted"

    def as_refusal(self) -> Refusal:
        """Return the refusal that reports the fault to the caller."""
        return Refusal(self.value, _FIELD)


@dataclass(frozen=True, slots=True)
class TokenKeys:
    """The key that signs tokens, and one more whose signatures are accepted.

    To change keys without losing a session, change the settings of all proxies twice:
    first add the new key as `previous`, so that every proxy accepts it, then exchange
    the two.
    """

    current: bytes
    previous: bytes = b""
    _named: Mapping[bytes, bytes] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the accepted keys by name.

        Raises `ValueError` if `current` is missing or a key is too short.
        """
        keys = [key for key in (self.current, self.previous) if key]
        if not self.current or any(len(key) < MIN_KEY_BYTES for key in keys):
            raise ValueError(f"token keys need {MIN_KEY_BYTES} bytes or more")
        named = {_key_name(key): key for key in keys}
        object.__setattr__(self, "_named", MappingProxyType(named))

    def accepted(self, name: bytes) -> bytes | None:
        """Return the accepted key with that name, or None."""
        return self._named.get(name)


@dataclass(frozen=True, slots=True)
class Mark:
    """The highest positions that a session wrote and read in one group."""

    written: Position = ORIGIN
    read: Position = ORIGIN

    @property
    def needed(self) -> Position:
        """Return the position that the session's next read must reach."""
        return max(self.written, self.read)


@dataclass(frozen=True, slots=True)
class Session:
    """A session's identifier and its marks, least recently used group first.

    `is_complete` is False if the caller sent no token, and once a mark was dropped, for
    example to keep the token within its maximum length. For a group without a mark it
    is then unknown whether the session used the group.
    """

    identifier: str
    marks: Mapping[str, Mark] = field(default_factory=dict)
    is_complete: bool = True

    def mark(self, group: str) -> Mark | None:
        """Return the session's mark in a group, or None if it is not known.

        The mark of a group that the session never used is the empty `Mark`.
        """
        found = self.marks.get(group)
        if found is None and self.is_complete:
            return Mark()
        return found

    def after_write(self, group: str, position: Position) -> "Session":
        """Return the session after its write at `position` was acknowledged."""
        old = self.marks.get(group, Mark())
        return self._with(group, replace(old, written=max(old.written, position)))

    def after_read(self, group: str, position: Position) -> "Session":
        """Return the session after a read from a log that ended at `position`."""
        old = self.marks.get(group, Mark())
        return self._with(group, replace(old, read=max(old.read, position)))

    def without_group(self, group: str) -> "Session":
        """Return the session without its mark in a group.

        It is used after the loss of that mark's positions was reported to the caller.
        """
        marks = {name: mark for name, mark in self.marks.items() if name != group}
        return replace(self, marks=marks, is_complete=False)

    def _with(self, group: str, mark: Mark) -> "Session":
        """Return the session with one mark replaced, within `MAX_GROUPS` marks."""
        marks = {name: old for name, old in self.marks.items() if name != group}
        is_complete = self.is_complete
        if len(marks) >= MAX_GROUPS:
            del marks[next(iter(marks))]
            is_complete = False
        marks[group] = mark
        return Session(self.identifier, marks, is_complete)


class _Payload(msgspec.Struct, array_like=True, frozen=True):
    """The encoded content of a token.

    The numbers of a mark are the term and index written, then the term and index read.
    """

    format: int
    identifier: str
    is_complete: bool
    marks: dict[str, tuple[int, int, int, int]]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Payload)


def encode_token(session: Session, keys: TokenKeys) -> str:
    """Return the session's token, signed with the current key.

    Marks that do not fit are left out, those of the least recently used groups first.
    """
    text = _encode(session, keys)
    while len(text) > MAX_TOKEN_CHARACTERS and session.marks:
        session = session.without_group(next(iter(session.marks)))
        text = _encode(session, keys)
    return text


def _encode(session: Session, keys: TokenKeys) -> str:
    marks = {
        name: (
            mark.written.term,
            mark.written.index,
            mark.read.term,
            mark.read.index,
        )
        for name, mark in session.marks.items()
    }
    payload = _Payload(_FORMAT, session.identifier, session.is_complete, marks)
    signed = _key_name(keys.current) + _ENCODER.encode(payload)
    raw = signed + _signature(keys.current, signed)
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def decode_token(text: str, keys: TokenKeys) -> Result[Session, TokenFault]:
    """Return the session that a token holds, or the reason why it is invalid.

    >>> keys = TokenKeys(b"0123456789abcdef")
    >>> session = Session("s1").after_write("g1", Position(2, 7))
    >>> decode_token(encode_token(session, keys), keys).unwrap() == session
    True
    """
    if len(text) > MAX_TOKEN_CHARACTERS:
        return Failure(TokenFault.OVERSIZE)
    try:
        raw = base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)
    except (binascii.Error, ValueError):
        return Failure(TokenFault.MALFORMED)
    if len(raw) <= _KEY_NAME_BYTES + _MAC_BYTES:
        return Failure(TokenFault.MALFORMED)
    key = keys.accepted(raw[:_KEY_NAME_BYTES])
    if key is None:
        return Failure(TokenFault.UNKNOWN_KEY)
    signed, mac = raw[:-_MAC_BYTES], raw[-_MAC_BYTES:]
    if not hmac.compare_digest(_signature(key, signed), mac):
        return Failure(TokenFault.TAMPERED)
    return _read_payload(signed[_KEY_NAME_BYTES:])


def _read_payload(data: bytes) -> Result[Session, TokenFault]:
    """Return the session in a payload whose signature has been verified."""
    try:
        payload = decode_with(_DECODER.decode, data)
    except DecodingError:
        return Failure(TokenFault.MALFORMED)
    if payload.format != _FORMAT:
        return Failure(TokenFault.MALFORMED)
    marks = {
        name: Mark(Position(values[0], values[1]), Position(values[2], values[3]))
        for name, values in payload.marks.items()
    }
    return Success(Session(payload.identifier, marks, payload.is_complete))


def _key_name(key: bytes) -> bytes:
    """Return a short name for a key, from which the key cannot be recovered."""
    return hashlib.sha256(b"beryltiller key name" + key).digest()[:_KEY_NAME_BYTES]


def _signature(key: bytes, signed: bytes) -> bytes:
    """Return the truncated HMAC of a token's signed part."""
    return hmac.digest(key, signed, "sha256")[:_MAC_BYTES]
