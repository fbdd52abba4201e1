"""The state of configuration adoption, and the wire format of its documents."""

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
    """The state of adoption at the proxy with the peer address `me`.

    `pending_requests` maps each peer that was asked for its configuration to the
    deadline of its answer. `answers` maps peers to the versions that they answered
    before a first configuration is in force, and `newest` is the newest of these.
    A store read that began no earlier than `confirmed_at` showed the version in force
    to be the newest. `known_version` is the highest version number known of. `listed`
    are the entry hosts on the platform's list, and `live` the live members, both as
    peer addresses. `is_polling` is true if this proxy polls the store for its zone.

    `read_at` is the start of the last store read, `read_until` the deadline of the one
    in flight, if any, and `is_store_down` is true if the last one failed.
    `random_seed` and `turn` determine the pseudo-random choice of peers.
    """

    me: str
    random_seed: int
    started_at: float
    in_force: Configuration | None = None
    document: bytes = b""
    confirmed_at: float | None = None
    announced_at: float = -math.inf
    known_version: int = NO_VERSION
    listed: frozenset[str] = frozenset()
    live: frozenset[str] = frozenset()
    is_polling: bool = False
    is_store_down: bool = False
    read_until: float | None = None
    read_at: float = -math.inf
    pending_requests: Mapping[str, float] = field(default_factory=dict)
    next_ask_at: float = -math.inf
    turn: int = 0
    answers: Mapping[str, int] = field(default_factory=dict)
    newest: Configuration | None = None

    @property
    def version(self) -> int:
        """The version in force, or -1 if there is none."""
        return NO_VERSION if self.in_force is None else self.in_force.version

    @property
    def is_ready(self) -> bool:
        """Return True if a configuration is in force."""
        return self.in_force is not None

    @property
    def peers(self) -> frozenset[str]:
        """The other entry hosts, from the platform's host list or the live members."""
        return (self.listed | self.live) - {self.me}

    @property
    def needed_answers(self) -> int:
        """How many peers must answer before a version is adopted without the store.

        It is half of the entry hosts, rounded up: so many peers include at least one
        member of any majority of the entry hosts that this host belonged to.
        """
        return math.ceil((len(self.peers) + 1) / 2)


def record_known_version(state: State, version: int) -> State:
    """Record a version number if it is the newest known, in force here or not."""
    if version <= state.known_version:
        return state
    return replace(state, known_version=version)


def without_request(state: State, address: str) -> State:
    """Remove the pending request to a peer."""
    pending_requests = {
        other: until
        for other, until in state.pending_requests.items()
        if other != address
    }
    return replace(state, pending_requests=pending_requests)


def pack(configuration: Configuration) -> bytes:
    """Return a configuration's document, compressed for sending it to a peer."""
    return zlib.compress(encode(configuration))


def unpack(
    document: bytes, version: int
) -> Result[Configuration, InvalidConfiguration]:
    """Return the configuration in a compressed document from a peer, validated.

    Decompression stops after `MAX_DOCUMENT_BYTES`; a larger document is refused.
    """
    inflate = zlib.decompressobj()
    try:
        inflated = inflate.decompress(document, MAX_DOCUMENT_BYTES + 1)
    except zlib.error as error:
        refusal = Refusal(str(error), "document")
        return Failure(InvalidConfiguration((refusal,)))
    return from_row(Row(KEY, version, inflated))
