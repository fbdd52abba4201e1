"""A seeded soak of statements: callers of the whole grammar beside hostile ones.

Each seed begins with a calm time, in which callers who keep to the rules lose nothing,
and ends with disruptions. `STATEMENT_SOAK_SEEDS` names the seeds: `40` for 0 to 39,
`40-60` for 40 to 59, and `STATEMENT_SOAK_CALLERS` the kinds of callers: all of
`plain blanks hostile` unless it is set.
"""

import asyncio
import os
import random
import shutil
import tempfile
import unittest
from collections import Counter
from contextlib import AsyncExitStack
from pathlib import Path
from typing import ClassVar

from tests.soak_callers import Caller
from tests.soak_checker import Checker, Findings
from tests.soak_deployment import Deployment
from tests.soak_disruptions import Disruptions
from tests.soak_hostile_callers import HostileCaller
from tests.soak_statement_callers import BlankShapeCaller, StatementCaller
from tests.test_process_soak import seeds_of

CALM_SECONDS = 6.0
DISRUPTED_SECONDS = 6.0
SEEDS = seeds_of(os.environ.get("STATEMENT_SOAK_SEEDS", "1-3"))
KINDS = os.environ.get("STATEMENT_SOAK_CALLERS", "plain blanks hostile").split()
CALLERS = {
    "plain": (Caller, StatementCaller, StatementCaller),
    "blanks": (BlankShapeCaller, BlankShapeCaller),
    "hostile": (HostileCaller, HostileCaller),
}


async def _play(seed: int, folder: Path) -> Checker:
    rng = random.Random(seed)
    async with AsyncExitStack() as stack:
        callers = [each for kind in KINDS for each in CALLERS[kind]]
        deployment = Deployment(rng, folder, stack, callers)
        await deployment.start()
        statements = deployment.checker.statements
        statements.is_calm = True
        await asyncio.sleep(CALM_SECONDS)
        statements.is_calm = False
        disruptions = Disruptions(deployment, random.Random(rng.random()))
        await disruptions.run(DISRUPTED_SECONDS)
        await deployment.wait_for_writes()
        deployment.finish()
    return deployment.checker


class StatementSoakTest(unittest.IsolatedAsyncioTestCase):
    """Databases run what callers sent, and as those prepared and set it.

    Each seed is played once, for all tests.
    """

    _played: ClassVar[dict[int, Findings]] = {}
    _folders: ClassVar[dict[int, Path]] = {}

    async def _play_all(self) -> dict[int, Findings]:
        for seed in SEEDS:
            if seed in self._played:
                continue
            folder = Path(tempfile.mkdtemp(prefix=f"statement-soak-{seed}-"))
            checker = await _play(seed, folder)
            self._played[seed] = checker.findings
            found = checker.findings.texts()
            rules = Counter(text.split()[0].strip(":") for text in found)
            statements = checker.statements
            print(
                f"seed {seed}: ran {dict(statements.ran_words)},"
                f" answers {dict(statements.answers)}, found {dict(rules)}",
                flush=True,
            )
            if found:
                self._folders[seed] = folder
                statements.write_lines(folder / "lines.txt")
                (folder / "findings.txt").write_text("\n".join(found), "utf-8")
            else:
                shutil.rmtree(folder)
        return self._played

    async def test_statements_run_as_they_were_sent_prepared_and_set(self) -> None:
        played = await self._play_all()
        shown = {}
        for seed, found in played.items():
            others = {*found.outages(), *found.losses()}
            broken = [each for each in found.texts() if each not in others]
            if broken:
                shown[seed] = broken[:10]
        self.assertEqual(shown, {}, self._folders)

    async def test_callers_who_keep_to_the_rules_lose_nothing_in_calm_times(
        self,
    ) -> None:
        played = await self._play_all()
        losses = {seed: found.losses()[:10] for seed, found in played.items()}
        shown = {seed: found for seed, found in losses.items() if found}
        self.assertEqual(shown, {}, self._folders)

    async def test_each_proxy_serves_writes_at_the_end(self) -> None:
        played = await self._play_all()
        outages = {seed: found.outages() for seed, found in played.items()}
        shown = {seed: found for seed, found in outages.items() if found}
        self.assertEqual(shown, {}, self._folders)
