"""Configure a started cluster and wait until callers can write."""

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
    """Apply the cluster's configuration and wait until each proxy accepts writes."""
    timeout = aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_SECONDS)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        document = msgspec.json.encode(cluster.build_configuration())
        platform = PlatformClient(session, cluster.platform.address)
        result = await replace_configuration(platform, decode(document).unwrap())
        result.unwrap()
        for addresses in cluster.addresses.values():
            await wait_until_writable(session, str(addresses.caller))


async def wait_until_writable(session: aiohttp.ClientSession, address: str) -> Answer:
    """Append an empty string through a proxy; repeat it while it is not run.

    Raise LaunchError if it still has not run after 15 s.
    """
    body = msgspec.json.encode({"op": "append", "key": "start", "value": ""})
    request = Request("orders", body, caller="start", partition="start")
    return await send_until_run(session, address, request)


async def send_until_run(
    session: aiohttp.ClientSession, address: str, request: Request
) -> Answer:
    """Send a request, and repeat it while its outcome is `Outcome.NOT_RUN`.

    Raise LaunchError if it still has not run after 15 s.
    """
    answer = Answer(Outcome.NOT_RUN)
    try:
        async with asyncio.timeout(_READY_TIMEOUT_SECONDS):
            while answer.outcome is Outcome.NOT_RUN:
                answer = await send(session, address, request)
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
    except TimeoutError:
        last_answer = answer.body.decode(errors="replace") or "none"
        raise LaunchError(
            f"{address} did not run a request within {_READY_TIMEOUT_SECONDS} s;"
            f" last answer: {last_answer}"
        ) from None
    return answer
