"""Events that `adoption.decide` takes, and the actions that it returns."""

from dataclasses import dataclass

from beryltiller.configuration.tables import Configuration, InvalidConfiguration
from beryltiller.core.ports import Row
from beryltiller.membership.membership_events import HostsListed, Received, Reply, Tick
from beryltiller.membership.messages import ConfigurationReply


@dataclass(frozen=True, slots=True)
class StoreAnswered:
    """The configuration's row (None: no row) from a read that began at `asked_at`."""

    row: Row | None
    asked_at: float


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The failure of a read of the store, which returned no answer."""


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """A peer's answer to a configuration request sent at `asked_at`."""

    address: str
    reply: ConfigurationReply
    asked_at: float


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """The failure of a configuration request: no answer, or one of another kind."""

    address: str


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """The version that a peer has in force, received by gossip.

    `confirmed_at` is a time on this proxy's clock: a store read that began no earlier
    showed that version as the newest. It is None if no such read is known.
    """

    address: str
    version: int
    confirmed_at: float | None = None


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The live peers, and whether this proxy is one of those that poll the store."""

    addresses: tuple[str, ...]
    is_polling: bool


Event = (
    Tick
    | StoreAnswered
    | StoreFailed
    | Received
    | PeerAnswered
    | PeerFailed
    | PeerDigest
    | PeersChanged
    | HostsListed
)


@dataclass(frozen=True, slots=True)
class ReadStore:
    """A read of the configuration's row; its answer is `StoreAnswered`."""

    asked_at: float


@dataclass(frozen=True, slots=True)
class AskPeer:
    """A request to a peer for its version, and its document if newer than `above`.

    The answer comes back as `PeerAnswered`, a failure as `PeerFailed`.
    """

    address: str
    above: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class PutInForce:
    """A configuration that comes into force: the proxy applies it from now on."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class AnnounceVersion:
    """An announcement of the version in force, and its last confirmation by the store.

    `confirmed_at` is None if no read is known to have confirmed it.
    """

    version: int
    confirmed_at: float | None


@dataclass(frozen=True, slots=True)
class RejectDocument:
    """A report of an invalid document; `source` is `store` or a peer's address."""

    source: str
    version: int
    invalid: InvalidConfiguration


Action = ReadStore | AskPeer | Reply | PutInForce | AnnounceVersion | RejectDocument
