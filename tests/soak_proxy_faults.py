"""Faults of a soak with organisations: of holders and other proxies, and of keys."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

from tests.soak_deployment import Deployment
from tests.soak_organisation_checker import REVOCATION_SECONDS, OrganisationChecker
from tests.soak_proxies import ProxyProcess

ProxyFault = Callable[[ProxyProcess, random.Random], Awaitable[None]]

DOWN_SECONDS = (0.2, 1.5)
FROZEN_SECONDS = (0.3, 2.0)
PAUSE_SECONDS = (0.5, 2.0)
# Between the removal of a key and its addition, longer than the key may be used.
REMOVED_SECONDS = (REVOCATION_SECONDS + 1.0, REVOCATION_SECONDS + 3.0)


class ProxyFaults:
    """Disturbs proxies, mostly holders; at most one fault has a proxy at a time."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        """Draw the faults of the deployment's proxies from `rng`."""
        self._proxies = deployment.proxies
        self._group = deployment.group
        self._rng = rng
        self._held: set[ProxyProcess] = set()

    async def run(self, seconds: float) -> None:
        """Begin faults for some seconds, each kind in turn, and wait for their end."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        kinds: list[ProxyFault] = []
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < until:
                if not kinds:
                    kinds = [self._kill, self._freeze, self._stop]
                    self._rng.shuffle(kinds)
                if candidates := self._candidates():
                    proxy = self._rng.choice(candidates)
                    rng = random.Random(self._rng.random())
                    tasks.create_task(self._disturb(kinds.pop(), proxy, rng))
                await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))

    def _candidates(self) -> list[ProxyProcess]:
        """Return the free proxies connected to the primary, or else all free ones."""
        free = [each for each in self._proxies.all if each not in self._held]
        connections = self._group.statements.connections
        sources = connections.sources(self._group.leader.identifier)
        return [each for each in free if each.ip in sources] or free

    async def _disturb(
        self, kind: ProxyFault, proxy: ProxyProcess, rng: random.Random
    ) -> None:
        self._held.add(proxy)
        try:
            await kind(proxy, rng)
        finally:
            self._held.discard(proxy)

    async def _kill(self, proxy: ProxyProcess, rng: random.Random) -> None:
        await self._proxies.kill([proxy])
        await asyncio.sleep(rng.uniform(*DOWN_SECONDS))
        self._proxies.start_again([proxy])

    async def _freeze(self, proxy: ProxyProcess, rng: random.Random) -> None:
        await self._proxies.freeze(proxy, rng.uniform(*FROZEN_SECONDS))

    async def _stop(self, proxy: ProxyProcess, rng: random.Random) -> None:
        await self._proxies.stop(proxy)
        self._proxies.start_again([proxy])


async def change_key(
    deployment: Deployment, checker: OrganisationChecker, rng: random.Random
) -> None:
    """Remove a key by a new version of the configuration, and add it by another."""
    configuration = deployment.configuration
    organisation = rng.choice(configuration["tenants"])
    keys = organisation["api_keys"]
    key = rng.choice(keys)

    def write(api_keys: list[str]) -> None:
        configuration["config_version"] += 1
        organisation["api_keys"] = api_keys
        value = json.dumps(configuration).encode()
        deployment.group.store.put("op", "config", value)
        version = configuration["config_version"]
        text = f"version {version}: {len(api_keys)} keys of {organisation['name']}"
        deployment.record.add(text)

    write([each for each in keys if each != key])
    checker.record_removal(key)
    await asyncio.sleep(rng.uniform(*REMOVED_SECONDS))
    checker.record_addition(key)
    write(keys)
