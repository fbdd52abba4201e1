"""A replica restarts during a promotion, beside a proxy that the store turns away."""

import asyncio
import os
import time
from pathlib import Path

from standins.harness import BROKEN, HELD, Client, Deployment, UnableError, run_case

FOLDER = Path(__file__).resolve().parent
CUT_SECONDS = 5.0
REFUSED_SECONDS = 9.0
DOWN_SECONDS = 0.1
PROMOTE_SECONDS = 1.0
PRIMARY = "i-0a"
REPLICAS = ("i-1b", "i-2c")
# The proxy that the primary is cut off from, and the one that the store turns away.
CUT_PROXY, REFUSED_PROXY = "front-zagreb-b-1", "front-zagreb-a-1"


async def work(
    deployment: Deployment, acknowledged: dict[str, float], proxy: str, desk: int
) -> None:
    """Read and write now and then, from one of a proxy's desks."""
    client, number = Client(deployment, proxy, "orders"), 0
    while True:
        number += 1
        await client.ask(f"r-{proxy}-{desk}-{number}", "READ order-1")
        identifier = f"w-{proxy}-{desk}-{number}"
        answer = await client.ask(identifier, "WRITE order-1 panels")
        if answer is not None and answer[1].startswith("COMPLETE i-"):
            acknowledged[identifier] = time.time()
        await asyncio.sleep(0.05)


async def case(has_trouble: bool) -> int:
    deployment = Deployment(FOLDER, promote_seconds=PROMOTE_SECONDS)
    acknowledged: dict[str, float] = {}
    platform = deployment.platform
    restarts: list[asyncio.Task] = []

    async def restart(name: str) -> None:
        deployment.kill(deployment.databases[name], name)
        await asyncio.sleep(DOWN_SECONDS)
        deployment.start_database(name, role="replica", term=0)

    def on_promotion(successor: str) -> None:
        if has_trouble and not restarts:
            other = next(name for name in REPLICAS if name != successor)
            restarts.append(asyncio.create_task(restart(other)))

    platform.on_promotion = on_promotion
    try:
        await deployment.start()
        await asyncio.sleep(4.5)
        clients = [
            asyncio.create_task(work(deployment, acknowledged, proxy, desk))
            for proxy in deployment.proxies
            for desk in range(2)
        ]
        await asyncio.sleep(2.0)
        if not acknowledged:
            raise UnableError("no write was acknowledged")
        if has_trouble:
            deployment.record(event="the store turns away", proxy=REFUSED_PROXY)
            platform.refused = {deployment.fronts[REFUSED_PROXY][0]}
            await asyncio.sleep(2.0)
            deployment.record(event="cut", database=PRIMARY, proxy=CUT_PROXY)
            cut = [deployment.fronts[CUT_PROXY][0]]
            await platform.call(PRIMARY, {"kind": "block", "addresses": cut})
        await asyncio.sleep(CUT_SECONDS)
        await platform.call(PRIMARY, {"kind": "block", "addresses": []})
        await asyncio.sleep(REFUSED_SECONDS - CUT_SECONDS - 2.0)
        platform.refused = set()
        await asyncio.sleep(2.0)
        for task in (*clients, *restarts):
            task.cancel()
    finally:
        await deployment.stop()
        lost = {
            each["db"]: sorted(
                name for name, at in acknowledged.items()
                if at < each["at"] and name not in each["ids"]
            )
            for each in deployment.promoted
        }
        deployment.record(event="result", acknowledged=len(acknowledged), lost=lost)
        deployment.write_record()
    for name, identifiers in lost.items():
        print(f"{name} was promoted without {len(identifiers)} acknowledged commits")
    return BROKEN if any(lost.values()) else HELD


run_case(case, has_trouble=os.environ.get("TROUBLE", "1") != "0")
