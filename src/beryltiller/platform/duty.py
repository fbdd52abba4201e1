"""The promotion duty: its claim is a row of the store, its call one of the platform.

The row's version is the fencing token: the store takes it from a counter that rises
with each transaction, so a later claim has a higher token, also after a restart.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
import msgspec

from beryltiller.adapters import transport
from beryltiller.core.ports import PortError, RefusedError, Row, Write
from beryltiller.platform.store import Store, check
from beryltiller.sessions.succession_runner import DutyClaim

TABLE = "succession"
DUTY_KEY = "duty"
PROMOTE_TIMEOUT_SECONDS = 1.0
LOOK_TIMEOUT_SECONDS = 0.4
# A claim serves further successions for this long.
NEW_CLAIM_SECONDS = 1.0

_CONFLICT = 409


class ClaimModel(msgspec.Struct, frozen=True):
    """The duty row; `until_ms` is on the store's steady clock."""

    holder: str
    service: str
    until_ms: int


class Held(NamedTuple):
    """Who holds the duty until when; the version is 0 without a row."""

    holder: str
    until_ms: int
    version: int


class Duty:
    """Claim the duty and make its call; implements `DutyPort`."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        store: Store,
        address: str,
        holder: str,
        clock: Callable[[], float],
    ) -> None:
        """Use `session`, whose owner closes it; `holder` is this proxy's host name."""
        self._clock = clock
        self._lock = asyncio.Lock()
        self._held: DutyClaim | None = None
        self._session = session
        self._store = store
        self._holder = holder
        self.address = address

    async def claim(self, service: str, seconds: float) -> DutyClaim:
        """Claim the duty, or return a claim that is still new.

        One claim serves the successions of all services, so that several primaries
        that are lost together are replaced together.
        """
        async with self._lock:
            held = self._held
            if held is None or self._clock() > held.asked_at + NEW_CLAIM_SECONDS:
                held = self._held = await self._claim(service, seconds)
            return held

    async def _claim(self, service: str, seconds: float) -> DutyClaim:
        asked_at = self._clock()
        dated = await self._store.read(TABLE, DUTY_KEY)
        held = _held(dated.row)
        if held.holder != self._holder and dated.now_ms < held.until_ms:
            raise RefusedError("held", f"by {held.holder}")
        until_ms = dated.now_ms + round(seconds * 1000)
        value = msgspec.json.encode(ClaimModel(self._holder, service, until_ms))
        write = Write(TABLE, DUTY_KEY, held.version, value)
        return DutyClaim(await self._store.commit((write,)), asked_at)

    async def is_store_reachable(self) -> bool:
        """Tell whether the store answers, by a read of the duty row."""
        try:
            async with asyncio.timeout(LOOK_TIMEOUT_SECONDS):
                await self._store.read(TABLE, DUTY_KEY)
        except RefusedError as error:
            # A refusal with a status is an answer.
            return error.code != "unreachable"
        except (PortError, TimeoutError):
            return False
        return True

    async def promote(self, service: str, identifier: str, token: int) -> None:
        """Name the database that takes the lead."""
        reply = await transport.exchange(
            self._session,
            "POST",
            f"http://{self.address}/promotion",
            msgspec.json.encode({"service": service, "id": identifier}),
            {
                "Content-Type": "application/json",
                "X-Beryltiller-Duty-Holder": self._holder,
                "X-Beryltiller-Fencing-Token": str(token),
            },
            aiohttp.ClientTimeout(total=PROMOTE_TIMEOUT_SECONDS),
        )
        if reply.status == _CONFLICT:
            raise RefusedError("not running", identifier)
        check(reply)


def _held(row: Row | None) -> Held:
    if row is None:
        return Held("", 0, 0)
    try:
        model = msgspec.json.decode(row.value, type=ClaimModel)
    except msgspec.MsgspecError:
        # Nobody else writes here; a row that cannot be read holds nothing back.
        return Held("", 0, row.version)
    return Held(model.holder, model.until_ms, row.version)
