"""Distribution: carries out what configuration adoption decides."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from beryltiller.adapters.channels import PeerError
from beryltiller.adapters.peers import Peers
from beryltiller.configuration.adoption import ASK_TIMEOUT_SECONDS, READ_TIMEOUT_SECONDS
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
from beryltiller.core.ports import PortError, TableService
from beryltiller.membership.membership_events import Reply, ReportDigest
from beryltiller.membership.messages import (
    UNKNOWN_AGE_MS,
    ConfigurationReply,
    ConfigurationRequest,
)


@dataclass(frozen=True, slots=True)
class AdoptionOutlets:
    """Hold what is called with adoption's results; none of them may block."""

    put_in_force: Callable[[Configuration], None]
    confirm: Callable[[AnnounceVersion], None]
    reject: Callable[[RejectDocument], None]


def to_peer_digest(report: ReportDigest) -> PeerDigest:
    """Return what a digest says of the configuration, dated on our clock."""
    digest = report.digest
    confirmed_at = None
    if report.asked_at is not None and digest.configuration_age_ms != UNKNOWN_AGE_MS:
        confirmed_at = report.asked_at - digest.configuration_age_ms / 1000
    return PeerDigest(report.address, digest.configuration_version, confirmed_at)


class AdoptionIO:
    """Perform adoption's actions on the event loop's thread."""

    def __init__(
        self, peers: Peers, table: TableService, outlets: AdoptionOutlets
    ) -> None:
        """Keep the sockets, the store and the outlets."""
        self._peers = peers
        self._table = table
        self._outlets = outlets

    async def perform(self, action: Action) -> Event | None:
        """Carry out one action, and return the event it leads to, if any."""
        match action:
            case ReadStore(asked_at):
                return await self._read(asked_at)
            case AskPeer():
                return await self._ask(action)
            case Reply(reply_to, message):
                self._peers.reply(reply_to, message)
            case PutInForce(configuration):
                self._outlets.put_in_force(configuration)
            case AnnounceVersion():
                self._outlets.confirm(action)
            case RejectDocument():
                self._outlets.reject(action)
        return None

    async def _read(self, asked_at: float) -> Event:
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                row = await self._table.read(TABLE, KEY)
        except (PortError, TimeoutError):
            return StoreFailed()
        return StoreAnswered(row, asked_at)

    async def _ask(self, action: AskPeer) -> Event:
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
