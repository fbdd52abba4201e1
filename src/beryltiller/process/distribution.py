"""I/O of the adoption part, which distributes configurations between proxies."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.adapters.channels import PeerError
from beryltiller.adapters.peers import Peers
from beryltiller.configuration.adoption import ASK_TIMEOUT_SECONDS
from beryltiller.configuration.adoption_events import (
    Action,
    AnnounceVersion,
    AskPeer,
    Event,
    PeerAnswered,
    PeerDigest,
    PeerFailed,
    PutInForce,
    ReadStore,
    RejectDocument,
    StoreAnswered,
    StoreFailed,
)
from beryltiller.configuration.tables import KEY, TABLE, Configuration
from beryltiller.core.ports import PortError, Row, TableService
from beryltiller.membership.membership_events import Reply, ReportDigest
from beryltiller.membership.messages import (
    UNKNOWN_AGE_MS,
    ConfigurationReply,
    ConfigurationRequest,
)


@dataclass(frozen=True, slots=True)
class AdoptionCallbacks:
    """The functions that receive the results of adoption; none of them may block."""

    put_in_force: Callable[[Configuration], None]
    announce_version: Callable[[AnnounceVersion], None]
    reject: Callable[[RejectDocument], None]


def to_peer_digest(report: ReportDigest) -> PeerDigest:
    """Return the configuration version in a peer's digest, as an event.

    Its `confirmed_at` is on this proxy's clock. It is None if the age in the digest is
    unknown, or if the digest came with a peer's request rather than its answer.
    """
    digest = report.digest
    confirmed_at = None
    if report.asked_at is not None and digest.configuration_age_ms != UNKNOWN_AGE_MS:
        confirmed_at = report.asked_at - digest.configuration_age_ms / 1000
    return PeerDigest(report.address, digest.configuration_version, confirmed_at)


@dataclass(frozen=True, slots=True)
class _Read:
    """A read of the stored configuration, and when it was asked for."""

    task: asyncio.Task[Row | None]
    asked_at: float


class AdoptionIO:
    """The I/O of the adoption part; it runs on the event loop's thread."""

    def __init__(
        self, peers: Peers, table: TableService, callbacks: AdoptionCallbacks
    ) -> None:
        """Set the peer sockets, the table service and the functions for results."""
        self._peers = peers
        self._table = table
        self._callbacks = callbacks
        self._read: _Read | None = None

    async def perform(self, action: Action) -> Event | None:
        """Perform one action and return the event that results, if any."""
        match action:
            case ReadStore(asked_at):
                return await self._read_store(asked_at)
            case AskPeer():
                return await self._ask_peer(action)
            case Reply(reply_to, message):
                self._peers.reply(reply_to, message)
            case PutInForce(configuration):
                self._callbacks.put_in_force(configuration)
            case AnnounceVersion():
                self._callbacks.announce_version(action)
            case RejectDocument():
                self._callbacks.reject(action)
        return None

    async def _read_store(self, asked_at: float) -> Event:
        """Read the configuration, or await the read that is under way.

        A large one takes long on a slow link; a second read beside it would delay both.
        """
        if self._read is None or self._read.task.done():
            task = asyncio.create_task(self._table.read(TABLE, KEY))
            self._read = _Read(task, asked_at)
        read = self._read
        try:
            row = await asyncio.shield(read.task)
        except (PortError, TimeoutError):
            return StoreFailed()
        return StoreAnswered(row, read.asked_at)

    async def _ask_peer(self, action: AskPeer) -> Event:
        message = ConfigurationRequest(action.above)
        try:
            reply = await self._peers.request(
                action.address, message, ASK_TIMEOUT_SECONDS
            )
        except PeerError:
            return PeerFailed(action.address)
        if not isinstance(reply, ConfigurationReply):
            return PeerFailed(action.address)
        return PeerAnswered(action.address, reply, action.asked_at)
