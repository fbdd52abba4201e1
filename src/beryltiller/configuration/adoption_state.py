"""State of configuration adoption, and documents as they travel."""

import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from returns.result import Failure, Result

from beryltiller.configuration.tables import (
    KEY,
    MAX_DOCUMENT_BYTES,
    Configuration,
    InvalidConfiguration,
    encode,
    from_row,
)
from beryltiller.core.outcome import Refusal
from beryltiller.core.ports import Row

NO_VERSION = -1


@dataclass(frozen=True, slots=True)
class State:
    """Hold all that adoption remembers."""

    me: str
    seed: int
    started_at: float
    in_force: Configuration | None = None
    document: bytes = b""
    confirmed_at: float | None = None
    told_at: float = -math.inf
    known_version: int = NO_VERSION
    listed: frozenset[str] = frozenset()
    live: frozenset[str] = frozenset()
    is_polling: bool = False
    is_store_down: bool = False
    read_until: float | None = None
    read_at: float = -math.inf
    asked: Mapping[str, float] = field(default_factory=dict)
    ask_after: float = -math.inf
    turn: int = 0
    answers: Mapping[str, int] = field(default_factory=dict)
    newest: Configuration | None = None

    @property
    def version(self) -> int:
        """Return the version in force, or -1."""
        return NO_VERSION if self.in_force is None else self.in_force.version

    @property
    def is_ready(self) -> bool:
        """Tell whether a configuration is in force."""
        return self.in_force is not None

    @property
    def peers(self) -> frozenset[str]:
        """Return the other entry hosts, listed by the platform or heard of."""
        return (self.listed | self.live) - {self.me}

    @property
    def needed_answers(self) -> int:
        """Return how many peers meet any majority that this host was part of."""
        return math.ceil((len(self.peers) + 1) / 2)


def with_known(state: State, version: int) -> State:
    """Remember the newest version number heard of."""
    if version <= state.known_version:
        return state
    return replace(state, known_version=version)


def without_question(state: State, address: str) -> State:
    """Await no answer from a peer any more."""
    asked = {other: until for other, until in state.asked.items() if other != address}
    return replace(state, asked=asked)


def pack(configuration: Configuration) -> bytes:
    """Return a configuration's document as it travels between proxies."""
    return zlib.compress(encode(configuration))


def unpack(
    document: bytes, version: int
) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration of a peer's document, validated whole."""
    inflate = zlib.decompressobj()
    try:
        raw = inflate.decompress(document, MAX_DOCUMENT_BYTES + 1)
    except zlib.error as error:
        refusal = Refusal(str(error), "document")
        return Failure(InvalidConfiguration((refusal,)))
    return from_row(Row(KEY, version, raw))
