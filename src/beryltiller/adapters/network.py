"""Reach databases and peers by name, for the authority."""

from beryltiller.adapters.peers import Peers
from beryltiller.core.ports import Endpoint
from beryltiller.dispatching.databases import Databases
from beryltiller.membership.messages import Message, ReplyTo


class Network:
    """Find databases in the configuration in force, and peers by their addresses."""

    def __init__(self, peers: Peers, databases: Databases) -> None:
        """Keep both."""
        self._peers = peers
        self._databases = databases

    def endpoint(self, database: str) -> Endpoint | None:
        """Return the database's adapter, or None if it is not configured."""
        place = self._databases.find_configured(database)
        return place.endpoint if place else None

    def address(self, database: str) -> str:
        """Return a database's address, or an empty text if it is not configured."""
        place = self._databases.find_configured(database)
        return place.database.address if place else ""

    async def request(
        self, peer: str, message: Message, timeout_seconds: float
    ) -> Message:
        """Return a peer's reply; peers are named by their addresses."""
        return await self._peers.request(peer, message, timeout_seconds)

    def reply(self, reply_to: ReplyTo, message: Message) -> None:
        """Answer a peer's request."""
        self._peers.reply(reply_to, message)
