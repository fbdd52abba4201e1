"""A seeded soak of organisations, keys that are removed, and forwarded statements.

The databases accept fewer connections than there are pairs of proxy and organisation,
so that statements are forwarded to holders, which are killed, frozen and stopped.
`FORWARDING_SOAK_SEEDS` names the seeds: `40` for 0 to 39, `40-60` for 40 to 59.
Schedules follow the clock, so that a seed does not fix each interleaving.
"""

import asyncio
import copy
import os
import random
import shutil
import tempfile
import unittest
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any, ClassVar

from tests.soak_callers import Caller
from tests.soak_checker import Findings
from tests.soak_deployment import CONFIGURATION, PROXY_ZONES, Deployment
from tests.soak_organisation_checker import OrganisationChecker
from tests.soak_proxies import until
from tests.soak_proxy_faults import ProxyFaults, change_key
from tests.soak_statement_callers import StatementCaller
from tests.test_process_soak import seeds_of

DISRUPTED_SECONDS = 9.0
# Proxies find each other by the rows of the feeder leases, and close connections that
# they do not use. With no bound on the time for either, this one is generous.
FORWARDING_SECONDS = 20.0
SEEDS = seeds_of(os.environ.get("FORWARDING_SOAK_SEEDS", "1-3"))
# The keys of each organisation's callers. They are long enough that no other text in a
# log or a STARTUP holds one by chance.
KEYS = {
    name: [f"{name}-{number}-59d1c7e03b" for number in (1, 2)]
    for name in ("bakery", "florist", "grocer")
}
# With one more, each proxy could have a connection for each organisation.
MAX_CONNECTIONS = len(PROXY_ZONES) * len(KEYS) - 1


def _configuration() -> dict[str, Any]:
    configuration = copy.deepcopy(CONFIGURATION)
    configuration["services"][0]["max_connections"] = MAX_CONNECTIONS
    configuration["tenants"] = [
        {"name": name, "api_keys": keys} for name, keys in KEYS.items()
    ]
    return configuration


async def _play(seed: int, folder: Path) -> Findings:
    rng = random.Random(seed)
    organisations = {key: name for name, keys in KEYS.items() for key in keys}
    async with AsyncExitStack() as stack:
        callers = (Caller, StatementCaller)
        deployment = Deployment(
            rng, folder, stack, callers, _configuration(), tuple(KEYS.values())
        )
        statements = deployment.checker.statements
        checker = OrganisationChecker(statements, organisations)
        await deployment.start()
        # Without any, there is a finding at the end.
        with suppress(TimeoutError):
            await until(checker.has_forwarded, FORWARDING_SECONDS)
        async with asyncio.TaskGroup() as tasks:
            key_rng = random.Random(rng.random())
            tasks.create_task(change_key(deployment, checker, key_rng))
            faults = ProxyFaults(deployment, random.Random(rng.random()))
            tasks.create_task(faults.run(DISRUPTED_SECONDS))
        await deployment.wait_for_writes()
        deployment.finish()
        checker.finish({each.name: each.log for each in deployment.proxies.all})
    findings = deployment.checker.findings
    print(
        f"seed {seed}: {findings.reported} commits reported,"
        f" forwarded {dict(checker.forwarded)}, answers {dict(statements.answers)},"
        f" refused connections {dict(statements.connections.refused)},"
        f" {len(findings.texts())} findings",
        flush=True,
    )
    return findings


class ForwardingSoakTest(unittest.IsolatedAsyncioTestCase):
    """Statements run for the organisation of their key, also where they are forwarded.

    Each seed is played once, for all tests.
    """

    _played: ClassVar[dict[int, Findings]] = {}
    _folders: ClassVar[dict[int, Path]] = {}

    async def _play_all(self) -> dict[int, Findings]:
        for seed in SEEDS:
            if seed in self._played:
                continue
            folder = Path(tempfile.mkdtemp(prefix=f"forwarding-soak-{seed}-"))
            findings = self._played[seed] = await _play(seed, folder)
            if findings.texts():
                self._folders[seed] = folder
                (folder / "findings.txt").write_text(
                    "\n".join(findings.texts()), "utf-8"
                )
            else:
                shutil.rmtree(folder)
        return self._played

    async def test_organisations_keep_their_commits_connections_and_keys(self) -> None:
        played = await self._play_all()
        broken = {
            seed: [each for each in found.texts() if each not in found.outages()][:10]
            for seed, found in played.items()
        }
        shown = {seed: found for seed, found in broken.items() if found}
        self.assertEqual(shown, {}, self._folders)

    async def test_each_proxy_serves_writes_at_the_end(self) -> None:
        played = await self._play_all()
        outages = {seed: found.outages() for seed, found in played.items()}
        shown = {seed: found for seed, found in outages.items() if found}
        self.assertEqual(shown, {}, self._folders)
