"""Look-up of databases by name and requests to peers, for `process.terms_io`."""

from beryltiller.adapters.peers import Peers
from beryltiller.core.ports import Endpoint
from beryltiller.dispatching.databases import Databases
from beryltiller.membership.messages import Message, ReplyTo


class Network:
    """Access to the configured databases by name, and to peers by address.

    It implements `Network` of `process.terms_io`.
    """

    def __init__(self, peers: Peers, databases: Databases) -> None:
        """Send to peers through `peers`; look databases up in `databases`."""
        self._peers = peers
        self._databases = databases

    def endpoint(self, database: str) -> Endpoint | None:
        """Return the client of a database, or None if it is not configured."""
        configured = self._databases.find_configured(database)
        return configured.endpoint if configured else None

    def address(self, database: str) -> str:
        """Return a database's `ip:port`, or an empty text if it is not configured."""
        configured = self._databases.find_configured(database)
        return configured.database.address if configured else ""

    async def request(
        self, peer: str, message: Message, timeout_seconds: float
    ) -> Message:
        """Send a request to the peer at address `peer` and return its reply."""
        return await self._peers.request(peer, message, timeout_seconds)

    def reply(self, reply_to: ReplyTo, message: Message) -> None:
        """Send the reply to a request that a peer made."""
        self._peers.reply(reply_to, message)
