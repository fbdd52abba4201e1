"""Server for callers, who connect over the platform's line protocol."""

import asyncio
import time
from collections.abc import Callable

from beryltiller.adapters.descriptors import (
    ACCEPTS_AT_ONCE,
    max_callers_of_process,
    set_backlog,
)
from beryltiller.observability.caller_limit_log import CallerLimitLog
from beryltiller.platform.caller_connection import CallerConnection
from beryltiller.sessions.serving.memory_budget import (
    DEFAULT_TOTAL_BYTES,
    MemoryBudget,
)
from beryltiller.sessions.serving.session_service import SessionService


class Ingress:
    """The server for callers; closes their connections step by step at shutdown."""

    def __init__(
        self,
        service: SessionService,
        clock: Callable[[], float] = time.monotonic,
        max_received_bytes: int = DEFAULT_TOTAL_BYTES,
        max_callers: int | None = None,
    ) -> None:
        """Create a server whose callers are all answered by `service`.

        What callers have sent and is not answered takes `max_received_bytes` at most,
        and so do the answers that they have not read.
        Without `max_callers`, the descriptors of the process limit their number.
        """
        self._service = service
        self._connections: set[CallerConnection] = set()
        # In the order of their arrival.
        self._without_session: dict[CallerConnection, None] = {}
        self._server: asyncio.Server | None = None
        self._max_callers = max_callers or max_callers_of_process()
        self._is_closing_idle = False
        self._is_ending_transactions = False
        self._limit_log = CallerLimitLog(clock)
        self.clock = clock
        self.received = MemoryBudget("received messages", max_received_bytes, clock)
        self.received_early = MemoryBudget(
            "messages before a session", max_received_bytes // 2, clock
        )
        self._unread = MemoryBudget("unread answers", max_received_bytes, clock)
        # By connection, in the order in which their callers fell behind.
        self._unread_bytes: dict[CallerConnection, int] = {}

    @property
    def is_closing_idle(self) -> bool:
        """Return True if each connection is closed as soon as it is idle."""
        return self._is_closing_idle

    @property
    def is_ending_transactions(self) -> bool:
        """Return True if each transaction is ended after its statement in progress."""
        return self._is_ending_transactions

    @property
    def open_connections(self) -> int:
        """Return the number of connected callers."""
        return len(self._connections)

    @property
    def port(self) -> int:
        """Return the port that the server listens on, or 0 if it does not listen."""
        sockets = self._server.sockets if self._server is not None else ()
        return int(sockets[0].getsockname()[1]) if sockets else 0

    async def listen(self, ip: str, port: int) -> None:
        """Start to accept callers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self._service, self),
            ip,
            port,
            backlog=ACCEPTS_AT_ONCE,
        )
        set_backlog(self._server.sockets[0].fileno())

    def add(self, connection: CallerConnection) -> bool:
        """Register a caller's connection; return False if there are too many.

        The oldest connection without a session is closed in its favour.
        """
        if len(self._connections) >= self._max_callers:
            self._limit_log.record(self._max_callers)
            if not self.evict_without_session(connection):
                return False
        self._connections.add(connection)
        self._without_session[connection] = None
        return True

    def evict_without_session(self, other: CallerConnection) -> bool:
        """Close the oldest connection without a session, unless there is no other."""
        oldest = next((e for e in self._without_session if e is not other), None)
        if oldest is None:
            return False
        self.remove(oldest)
        oldest.evict()
        return True

    def begin_session(self, connection: CallerConnection) -> None:
        """Note that a connection has a session, so that no other takes its place."""
        self._without_session.pop(connection, None)

    def count_unread(self, connection: CallerConnection, size: int) -> None:
        """Count the answers that wait until a caller reads them.

        If all callers together have left too much unread, the connections of those who
        fell behind first are closed. The last one may have one answer of any size.
        """
        known = self._unread_bytes.get(connection, 0)
        while not self._unread.try_change(size - known):
            oldest = next((e for e in self._unread_bytes if e is not connection), None)
            if oldest is None:
                return
            self.count_unread(oldest, 0)
            oldest.drop()
        if size:
            self._unread_bytes[connection] = size
        else:
            self._unread_bytes.pop(connection, None)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a caller's connection after it was lost."""
        self._connections.discard(connection)
        self._without_session.pop(connection, None)

    def close_idle(self, is_lasting: bool = True) -> None:
        """Close idle connections.

        If `is_lasting`, also close each connection that becomes idle from now on, and
        begin no further transactions.
        """
        self._is_closing_idle = is_lasting
        if is_lasting:
            self._service.refuse_transactions()
        for connection in tuple(self._connections):
            if connection.is_idle:
                connection.close()

    def end_denied(self) -> None:
        """Close the sessions whose keys give no access in the present configuration."""
        for connection in tuple(self._connections):
            connection.end_if_denied()

    def stop_listening(self) -> None:
        """Accept no more callers; the kernel refuses new connections at once."""
        if self._server is not None:
            self._server.close()

    def end_transactions(self) -> None:
        """Roll back all open transactions, each once its statement is answered."""
        self._is_ending_transactions = True
        for connection in tuple(self._connections):
            connection.expire()

    def close(self) -> None:
        """Accept no more callers; answer and close those that are still connected."""
        self.stop_listening()
        for connection in tuple(self._connections):
            connection.give_up()
