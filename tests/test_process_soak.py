"""A seeded soak of real proxy processes that are killed beside other disruptions.

`PROCESS_SOAK_SEEDS` names the seeds: `40` for 0 to 39, `40-60` for 40 to 59. Schedules
follow the clock, so that a seed fixes what is drawn but not each interleaving.
"""

import os
import random
import shutil
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from typing import ClassVar

from tests.soak_checker import Findings
from tests.soak_deployment import Deployment
from tests.soak_disruptions import Disruptions

DISRUPTED_SECONDS = 12.0


def seeds_of(text: str) -> range:
    """Return the seeds that an environment variable names."""
    first, _, end = text.rpartition("-")
    return range(int(first or 0), int(end))


SEEDS = seeds_of(os.environ.get("PROCESS_SOAK_SEEDS", "1-3"))


async def _play(seed: int, folder: Path) -> Findings:
    rng = random.Random(seed)
    async with AsyncExitStack() as stack:
        deployment = Deployment(rng, folder, stack)
        await deployment.start()
        disruptions = Disruptions(deployment, random.Random(rng.random()))
        await disruptions.run(DISRUPTED_SECONDS)
        await deployment.wait_for_writes()
        deployment.finish()
    return deployment.checker.findings


class ProcessSoakTest(unittest.IsolatedAsyncioTestCase):
    """A commit that a proxy has reported is in the log of each promoted database.

    Each seed is played once, for all tests.
    """

    _played: ClassVar[dict[int, Findings]] = {}
    _folders: ClassVar[dict[int, Path]] = {}

    async def _play_all(self) -> dict[int, Findings]:
        for seed in SEEDS:
            if seed in self._played:
                continue
            folder = Path(tempfile.mkdtemp(prefix=f"process-soak-{seed}-"))
            findings = self._played[seed] = await _play(seed, folder)
            print(
                f"seed {seed}: {findings.reported} commits reported,"
                f" {findings.promotions} promotions, {len(findings.texts())} findings"
            )
            if findings.texts():
                self._folders[seed] = folder
            else:
                shutil.rmtree(folder)
        return self._played

    async def test_reported_commits_are_in_the_log_that_is_promoted(self) -> None:
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
