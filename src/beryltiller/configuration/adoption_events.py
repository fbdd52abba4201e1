"""Events and actions of configuration adoption."""

from dataclasses import dataclass

from beryltiller.configuration.tables import Configuration, InvalidConfiguration
from beryltiller.core.ports import Row
from beryltiller.membership.membership_events import HostsListed, Received, Reply, Tick
from beryltiller.membership.messages import ConfigurationReply


@dataclass(frozen=True, slots=True)
class StoreAnswered:
    """Hold the configuration's row, as a read that began at `asked_at` returned it."""

    row: Row | None
    asked_at: float


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """Tell that a read of the store brought no answer."""


@dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Hold a peer's answer to a question asked at `asked_at`."""

    address: str
    reply: ConfigurationReply
    asked_at: float


@dataclass(frozen=True, slots=True)
class PeerFailed:
    """Tell that a peer brought no answer."""

    address: str


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """Hold the version that a peer has in force, as gossip told it.

    `confirmed_at` is the time, on this proxy's clock, since which a store read is
    known to have shown that version as the newest.
    """

    address: str
    version: int
    confirmed_at: float | None = None


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """Hold the live peers, and whether this proxy is one that polls the store."""

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
    """Read the configuration's row from the table service."""

    asked_at: float


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Ask a peer for its configuration, with the document if newer than `above`."""

    address: str
    above: int
    asked_at: float


@dataclass(frozen=True, slots=True)
class PutInForce:
    """Serve by this configuration from now on."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Confirm:
    """Tell others the version in force, and since when it is confirmed."""

    version: int
    confirmed_at: float | None


@dataclass(frozen=True, slots=True)
class RejectDocument:
    """Report a document that could not be taken, and where it came from."""

    source: str
    version: int
    invalid: InvalidConfiguration


Action = ReadStore | AskPeer | Reply | PutInForce | Confirm | RejectDocument
