"""How many services have databases that answer."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from beryltiller.sessions.databases.groups import Group
from beryltiller.sessions.databases.member import Member

_IsResponding = Callable[[Member], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class ServiceReachability:
    """The number of services, and of those whose majority of databases answers."""

    services: int
    with_majority: int


async def count_reachable_services(
    groups: Iterable[Group], is_responding: _IsResponding
) -> ServiceReachability:
    """Ask every database of the groups whether it answers, and count the services."""
    with_databases = [group for group in groups if group.members]
    results = await asyncio.gather(
        *(_has_majority(group, is_responding) for group in with_databases)
    )
    return ServiceReachability(len(with_databases), sum(results))


async def _has_majority(group: Group, is_responding: _IsResponding) -> bool:
    members = tuple(group.members.values())
    responses = await asyncio.gather(*map(is_responding, members))
    return sum(responses) > len(members) // 2
