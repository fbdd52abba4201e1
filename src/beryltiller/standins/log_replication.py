"""Replication of a stand-in database's log: a replica pulls it from the primary."""

import asyncio
import contextlib
import time

import aiohttp
import msgspec
from aiohttp import web

from beryltiller.core.position import History
from beryltiller.standins.database_model import DatabaseModel, Entry
from beryltiller.standins.standin_server import Faults

# A primary without new entries answers a pull after this time.
PULL_WAIT_SECONDS = 0.2
# Pauses of a replica after a pull that succeeded, and after one that failed.
PULL_PAUSE_SECONDS = 0.002
PULL_RETRY_SECONDS = 0.05
PULL_TIMEOUT_SECONDS = 1.0
MAX_PULLED_ENTRIES = 500


class PullModel(msgspec.Struct, frozen=True):
    """A replica's request for log entries.

    It describes the replica's log, so that the primary can find the part that both
    share. Entries younger than `lag_seconds` are withheld.
    """

    term: int
    length: int
    history: History
    lag_seconds: float = 0.0


class PulledModel(msgspec.Struct, frozen=True):
    """The answer to a pull: how many entries both logs share, and those after them."""

    shared: int
    entries: tuple[Entry, ...]


class LogReplicator:
    """Both ends of the replication of one stand-in: its pulls, and answers to others.

    `followed_address` is that of the primary to pull from, or "" for none.
    """

    def __init__(self, model: DatabaseModel, faults: Faults, source: str) -> None:
        """Create a replicator that follows no primary.

        `source` is the local IP address that its pulls are sent from.
        """
        self.followed_address = ""
        self._model = model
        self._faults = faults
        self._source = source
        self._entry_appended = asyncio.Event()

    def notify_appended(self) -> None:
        """Wake the pulls that wait for an entry."""
        self._entry_appended.set()

    async def replicate(self) -> None:
        """Pull the log of the followed primary repeatedly, until cancelled."""
        local = (self._source, 0)
        connector = aiohttp.TCPConnector(local_addr=local)
        timeout = aiohttp.ClientTimeout(total=PULL_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as http_session:
            while True:
                pause = await self._pull(http_session)
                await asyncio.sleep(pause)

    async def _pull(self, http_session: aiohttp.ClientSession) -> float:
        """Pull once and return the seconds to wait before the next pull."""
        address = self.followed_address
        if not address or self._faults.hang:
            return PULL_RETRY_SECONDS
        lag = self._faults.lag_ms / 1000
        model = self._model
        requested = PullModel(model.term, len(model.entries), model.history, lag)
        try:
            async with http_session.post(
                f"http://{address}/log", data=msgspec.json.encode(requested)
            ) as response:
                body = await response.read()
            if response.status != 200 or address != self.followed_address:
                return PULL_RETRY_SECONDS
            pulled = msgspec.json.decode(body, type=PulledModel)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return PULL_RETRY_SECONDS
        model.replicate(requested.term, pulled.shared, list(pulled.entries))
        return PULL_PAUSE_SECONDS

    async def answer_pull(self, request: web.Request) -> web.Response:
        """Answer `POST /log` once there are entries, or after `PULL_WAIT_SECONDS`."""
        requested = msgspec.json.decode(await request.read(), type=PullModel)
        self._model.check_log_readable(requested.term)
        shared = self._model.shared_length(requested.history, requested.length)
        deadline = time.monotonic() + PULL_WAIT_SECONDS
        entries = self._visible_entries(shared, requested.lag_seconds)
        while not entries and shared == requested.length:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            await self._wait_for_entry(
                min(remaining, self._seconds_until_visible(shared, requested))
            )
            entries = self._visible_entries(shared, requested.lag_seconds)
        self._model.check_log_readable(requested.term)
        body = msgspec.json.encode(PulledModel(shared, entries))
        return web.Response(body=body)

    def _visible_entries(self, shared: int, lag: float) -> tuple[Entry, ...]:
        until = time.time() - lag
        newer = self._model.entries[shared : shared + MAX_PULLED_ENTRIES]
        return tuple(entry for entry in newer if entry.committed_at <= until)

    def _seconds_until_visible(self, shared: int, requested: PullModel) -> float:
        if shared >= len(self._model.entries):
            return PULL_WAIT_SECONDS
        visible_at = self._model.entries[shared].committed_at + requested.lag_seconds
        return max(visible_at - time.time(), 0.001)

    async def _wait_for_entry(self, seconds: float) -> None:
        self._entry_appended.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._entry_appended.wait(), seconds)
