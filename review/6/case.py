"""A draining replica loses the store, and is taken to have ended while it runs on."""

import asyncio
import json
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from standins import CLIENT_ERRORS, Client, now, run_case  # noqa: E402

DENIED_SECONDS = 9.5
STORE_CUT_SECONDS = 5.0
PATH_CUT_SECONDS = 5.0


async def case(deployment, trouble):
    group, platform, record = deployment.group, deployment.platform, deployment.record
    acked, leads, in_sync = [], [], [{}]

    def watch(table, key, value, ip):
        if table == "primary-changes":
            found = json.loads(value)["in_sync"]
            in_sync[0] = {each["id"]: each["is_leaving"] for each in found}

    platform.on_write = watch
    group.on_lead = lambda each: leads.append(
        (now(), each.name, {name for _, name in each.log})
    )

    async def write_at(proxy):
        while True:
            client = Client(record, proxy, "checkout")
            try:
                await client.open()
                while True:
                    name, _, answer = await client.run("WRITE 1a4 x")
                    if answer.is_success:
                        acked.append((now(), name, answer.text))
                    await asyncio.sleep(0.02)
            except CLIENT_ERRORS:
                await asyncio.sleep(0.05)
            finally:
                client.close()

    async def read_at(proxy):
        while True:
            client = Client(record, proxy, "proof-view")
            try:
                await client.open()
                while True:
                    await client.run("READ 1a4")
                    await asyncio.sleep(0.01)
            except CLIENT_ERRORS:
                await asyncio.sleep(0.05)
            finally:
                client.close()

    async def until(check, seconds, what):
        end = now() + seconds
        while not check():
            if now() > end:
                raise RuntimeError(what)
            await asyncio.sleep(0.01)

    _, cut, victim, *_ = deployment.proxies
    for proxy in deployment.proxies:
        deployment.spawn(write_at(proxy))
        for _ in range(6):
            deployment.spawn(read_at(proxy))
    first, second, third = group.databases
    await asyncio.sleep(6.0)
    # A planned replacement of a replica: the new one starts first.
    new = group.add("i-00000004", f"{deployment.net}.13", third.zone)
    await new.start()
    await until(lambda: new.name in in_sync[0], 10, "the new replica is not in sync")
    await asyncio.sleep(3.0)
    began = now()
    if trouble:
        record.add(f"the store turns {victim.name} away")
        platform.denied.add(victim.ip)
        await asyncio.sleep(0.2)
    record.add(f"{third.name} is draining")
    third.state = "draining"
    third.report()
    await asyncio.sleep(0.8)
    if not trouble:
        await asyncio.sleep(7.0)
        record.add(f"{third.name} leaves")
        third.runs = False
        third.server.close()
        third.cut_from = {each.ip for each in deployment.proxies}
        platform.apply({("servers", third.name): None})
        await asyncio.sleep(6.0)
        return lost_commits(acked, leads, record)
    third.lose_store()
    lost_at = now()
    await until(lambda: third.name not in in_sync[0], 6, "it is not removed")
    record.add(f"{third.name} is not in sync any more")
    record.add(f"{first.name} and {third.name} have no path to {cut.name}")
    for each in (first, third):
        each.cut_from = {cut.ip}
    cut_at = now()
    await asyncio.sleep(max(0.0, lost_at + STORE_CUT_SECONDS - now()))
    third.regain_store()
    await asyncio.sleep(max(0.0, min(cut_at + 5.0, began + DENIED_SECONDS) - now()))
    platform.denied.clear()
    record.add("the store serves all again")
    await asyncio.sleep(max(0.0, cut_at + PATH_CUT_SECONDS - now()))
    for each in (first, third):
        each.cut_from = set()
    record.add("all paths are back")
    await asyncio.sleep(3.0)
    return lost_commits(acked, leads, record)


def lost_commits(acked, leads, record):
    """Return the commits acknowledged before a promotion that its log lacks."""
    findings = []
    for at, leader, log in leads:
        for acked_at, name, signature in acked:
            if acked_at < at and name not in log:
                findings.append(
                    f"LOST: commit {name} of {signature.partition('.')[0]} was "
                    f"acknowledged at {acked_at - record.began:.4f}, and is not in the "
                    f"log of {leader}, which leads since {at - record.began:.4f}"
                )
    for each in findings:
        record.add(each)
    record.add(f"{len(acked)} commits acknowledged, {len(leads)} promotions")
    return findings


if __name__ == "__main__":
    run_case(case, FOLDER, TROUBLE, proxies=4)
