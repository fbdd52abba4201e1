"""The channel between a proxy and its peers: opening it, its seeds, leaving it."""

import asyncio
import random
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack

import zmq

from beryltiller.core.addresses import Address
from beryltiller.membership.members import DEFAULT_WEIGHT
from beryltiller.observability import events, logs
from beryltiller.platform.settings import PEER_PORT_OFFSET, PlatformSettings
from beryltiller.sessions.databases.fleet import Fleet
from beryltiller.sessions.databases.placement import Placer
from beryltiller.sessions.forwarding.peering import (
    Peering,
    PeeringSettings,
    SendEvent,
)
from beryltiller.sessions.serving.session_service import SessionService
from beryltiller.sessions.tables.relay import Feeder

# A proxy that ends has this long to send the announcement to its peers.
LEAVE_SECONDS = 0.05


async def open_peering(
    stack: AsyncExitStack,
    settings: PlatformSettings,
    fleet: Fleet,
    service: SessionService,
    placer: Placer,
    send_event: SendEvent,
    rng: random.Random,
    clock: Callable[[], float],
) -> Peering | None:
    """Open the channel to other proxies, which `stack` closes.

    Return None if no address is set for it or its port cannot be opened.
    """
    if settings.peer_address is None:
        return None
    peering_settings = PeeringSettings(
        settings.host_name,
        str(settings.peer_address),
        settings.availability_zone,
        settings.regions,
        max(1, round(settings.capacity * DEFAULT_WEIGHT)),
    )
    peering = Peering(peering_settings, fleet, service, placer, send_event, rng, clock)
    try:
        await peering.open(stack)
    except zmq.ZMQError as error:
        # The proxy then runs all statements itself.
        logs.log(events.WorkFailed("peer channel", str(error)))
        return None
    return peering


def peer_addresses(feeders: Iterable[Feeder]) -> tuple[str, ...]:
    """Return the addresses of feeders' peer channels, which are seeds of membership."""
    relays = (Address.parse_remote(feeder.address) for feeder in feeders)
    return tuple(str(Address(each.ip, each.port + PEER_PORT_OFFSET)) for each in relays)


async def leave_peers(peering: Peering) -> None:
    """Announce that this process is about to end, and wait for `LEAVE_SECONDS`."""
    peering.leave()
    await asyncio.sleep(LEAVE_SECONDS)
