"""Bring a cluster to where callers can write: configuration and readiness."""

import asyncio

import aiohttp
import msgspec

from beryltiller.adapters.configuration_store import replace_configuration
from beryltiller.adapters.platform_client import PlatformClient
from beryltiller.adapters.proxy_client import Answer, Request, send
from beryltiller.configuration.tables import decode
from beryltiller.core.outcome import Outcome
from beryltiller.standins.cluster import Cluster
from beryltiller.standins.launcher import LaunchError

_READY_TIMEOUT_SECONDS = 15.0
_POLL_INTERVAL_SECONDS = 0.05
_REQUEST_TIMEOUT_SECONDS = 2.0


async def configure(cluster: Cluster) -> None:
    """Apply the cluster's configuration and wait until each proxy takes writes."""
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        document = msgspec.json.encode(cluster.configuration())
        platform = PlatformClient(session, cluster.platform.address)
        result = await replace_configuration(platform, decode(document).unwrap())
        result.unwrap()
        for addresses in cluster.addresses.values():
            await wait_until_writable(session, str(addresses.caller))


async def wait_until_writable(session: aiohttp.ClientSession, address: str) -> Answer:
    """Write an empty string through a proxy until it is done, or raise LaunchError."""
    body = msgspec.json.encode({"op": "append", "key": "start", "value": ""})
    request = Request("orders", body, caller="start", partition="start")
    return await send_until_run(session, address, request)


async def send_until_run(
    session: aiohttp.ClientSession, address: str, request: Request
) -> Answer:
    """Send a request again as long as it is proved not to have run."""
    answer = Answer(Outcome.NOT_RUN)
    try:
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            while answer.outcome is Outcome.NOT_RUN:
                answer = await send(session, address, request)
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    except TimeoutError:
        said = answer.body.decode(errors="replace") or "no answer"
        raise LaunchError(f"{address}: still not run: {said}") from None
    return answer
