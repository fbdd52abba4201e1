"""The promotion duty: the exclusive right to change a service's primary.

A proxy claims the duty by writing a row of the store, and then promotes a database by
a request to the platform. The row's version is the fencing token: it rises with each
transaction of the store, so a later claim has a higher token, even after a restart of
the proxy, or of the store from an older copy.

A store that comes back from a copy may have lost the row of a claim that its holder
still uses. So in a new era, a proxy that finds no claim of that era waits until one of
the former era has ended.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
import msgspec

from beryltiller.adapters import transport
from beryltiller.core.decoding import Count, DecodingError, Name, decode_json
from beryltiller.core.ports import PortError, RefusedError, Write
from beryltiller.platform.store import DatedRow, StoreClient, raise_for_status
from beryltiller.sessions.succession.runner import DutyClaim

DUTY_TABLE = "succession"
DUTY_KEY = "duty"
PROMOTE_TIMEOUT_SECONDS = 1.0
REACHABILITY_TIMEOUT_SECONDS = 0.4
# A claim that ends later than this after it is read is not one of a proxy.
MAX_CLAIM_MS = 60_000
# A claim is used for further successions for this long after it was requested.
CLAIM_REUSE_SECONDS = 1.0

_CONFLICT = 409


class ClaimModel(msgspec.Struct, frozen=True):
    """The duty row of the store; `until_ms` is by the store's monotonic clock.

    `era` is the store's era at the claim, and 0 if the store had none.
    """

    holder: Name
    service: Name
    until_ms: Count
    era: Count = 0


class DutyHolder(NamedTuple):
    """The holder of the duty until `until_ms`, as a row of version `version` says.

    The claim was made in `era`. Without a row, the holder is empty and the version 0.
    """

    holder: str
    until_ms: int
    version: int
    era: int = 0


class Duty:
    """One proxy's access to the promotion duty; implements `DutyPort`."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        store: StoreClient,
        address: str,
        holder: str,
        clock: Callable[[], float],
    ) -> None:
        """Use `session`, whose owner closes it; `holder` is this proxy's host name.

        `address` is the `ip:port` at which the platform accepts promotion requests.
        """
        self._clock = clock
        self._lock = asyncio.Lock()
        self._last_claim: DutyClaim | None = None
        self._session = session
        self._store = store
        self._holder = holder
        self.address = address

    async def claim(self, service: str, seconds: float) -> DutyClaim:
        """Claim the duty for `seconds`, or return this proxy's recent claim.

        One claim serves the successions of all services, so that several primaries
        that are lost at the same time can be replaced at the same time. Raise
        `RefusedError` with code `held` while another proxy holds the duty.
        """
        async with self._lock:
            claim = self._last_claim
            if claim is None or self._clock() > claim.asked_at + CLAIM_REUSE_SECONDS:
                claim = self._last_claim = await self._claim(service, seconds)
            return claim

    async def _claim(self, service: str, seconds: float) -> DutyClaim:
        asked_at = self._clock()
        dated = await self._store.read(DUTY_TABLE, DUTY_KEY)
        current = _decode_holder(dated)
        if current.era != dated.era and dated.era_known_seconds < seconds:
            raise RefusedError("held", "by whoever claimed it before the restoration")
        if current.holder != self._holder and dated.now_ms < current.until_ms:
            raise RefusedError("held", f"by {current.holder}")
        until_ms = dated.now_ms + round(seconds * 1000)
        claim = ClaimModel(self._holder, service, until_ms, dated.era)
        value = msgspec.json.encode(claim)
        write = Write(DUTY_TABLE, DUTY_KEY, current.version, value)
        return DutyClaim(await self._store.commit((write,)), asked_at)

    async def is_store_reachable(self) -> bool:
        """Return True if the store answers a read within the reachability timeout."""
        try:
            async with asyncio.timeout(REACHABILITY_TIMEOUT_SECONDS):
                await self._store.read(DUTY_TABLE, DUTY_KEY)
        except RefusedError as error:
            # A refusal with an HTTP status is an answer of the store.
            return error.code != "unreachable"
        except (PortError, TimeoutError):
            return False
        return True

    async def promote(self, service: str, identifier: str, token: int) -> None:
        """Promote the database to primary, under a claim's fencing token.

        Raise `RefusedError` with code `not running` if the database is not running.
        """
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
        raise_for_status(reply)


def _decode_holder(dated: DatedRow) -> DutyHolder:
    row = dated.row
    if row is None:
        return DutyHolder("", 0, 0)
    try:
        model = decode_json(row.value, ClaimModel)
    except DecodingError:
        # Only proxies write this row, so an odd row does not block a claim.
        return DutyHolder("", 0, row.version)
    if model.until_ms > dated.now_ms + MAX_CLAIM_MS:
        return DutyHolder("", 0, row.version)
    if 0 < model.era < dated.era:
        # The store's clock may have gone back with the rows.
        return DutyHolder("", 0, row.version)
    return DutyHolder(model.holder, model.until_ms, row.version, model.era)
