"""The HTTP server for callers, which limits their connections."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from beryltiller.adapters.descriptors import max_callers_of_process
from beryltiller.observability.caller_limit_log import CallerLimitLog

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerServer(web.Server):
    """A server that closes connections without a whole request if there are too many.

    A connection that has sent a whole request stays open. If all have, a new connection
    is closed at once.
    """

    def __init__(
        self, handler: Handler, max_callers: Callable[[], int] = max_callers_of_process
    ) -> None:
        """Create a server; `max_callers` returns how many connections may be open."""
        super().__init__(self._serve, access_log=None)
        self._handler = handler
        self._max_callers = max_callers
        self._limit_log = CallerLimitLog(time.monotonic)
        # In the order of their arrival, with the request that is arriving.
        self._incomplete: dict[web.RequestHandler, web.BaseRequest | None] = {}

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Register a connection, in place of another one if there are too many."""
        super().connection_made(handler, transport)
        self._incomplete[handler] = None
        limit = self._max_callers()
        if len(self.connections) > limit:
            self._limit_log.record(limit)
            self._close_oldest()

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Remove a connection."""
        self._incomplete.pop(handler, None)
        super().connection_lost(handler, exc)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        if connection in self._incomplete:
            self._incomplete[connection] = request
        try:
            return await self._handler(request)
        finally:
            self._incomplete.pop(connection, None)

    def _close_oldest(self) -> None:
        """Close the oldest connection whose first request has not arrived."""
        for connection, request in tuple(self._incomplete.items()):
            if request is not None and request.content.is_eof():
                continue
            del self._incomplete[connection]
            transport = connection.transport
            if transport is not None:
                transport.abort()
            return
