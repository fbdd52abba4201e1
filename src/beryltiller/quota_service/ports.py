"""What the quota service needs of a proxy: peers and the store."""

from collections.abc import Sequence
from typing import Protocol

from beryltiller.core.ports import TableRows, Write
from beryltiller.membership.messages import Message


class PeerRequests(Protocol):
    """Requests to peers; see `adapters.peers.Peers`."""

    async def request(
        self, address: str, message: Message, timeout_seconds: float
    ) -> Message:
        """Return the peer's reply; raise `PeerRefusedError` or `PeerLostError`."""
        ...


class QuotaStore(Protocol):
    """The part of the platform's store that holds the leases."""

    async def read_all(self, table: str) -> TableRows:
        """Return all rows of the table from one consistent snapshot."""
        ...

    async def commit(self, writes: Sequence[Write]) -> int:
        """Write rows if their versions match, or raise `RefusedError`."""
        ...
