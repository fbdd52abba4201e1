"""A replica whose fence ends with the promotion receives from the old primary again."""

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from standins import CLIENT_ERRORS, Client, now, run_case  # noqa: E402

DENIED_SECONDS = 9.0
PRIMARY_CUT_SECONDS = 5.0
ZONE_CUT_SECONDS = 5.0


async def case(deployment, trouble):
    group, platform, record = deployment.group, deployment.platform, deployment.record
    acked, leads = [], []
    group.on_lead = lambda each: leads.append((now(), each.name, each.term))

    async def write_at(proxy):
        while True:
            client = Client(record, proxy, "checkout")
            try:
                await client.open()
                while True:
                    name, sent, answer = await client.run("WRITE 1a4 x")
                    if answer.is_success:
                        acked.append((sent, now(), name, answer.text))
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

    # The victim is the only proxy of its zone, as in the site, so that nobody relays to
    # it what the store says.
    cut, _, victim, *_ = deployment.proxies
    first, _, third = group.databases
    # The replica in the victim's zone is a little behind the other one.
    third.receive_s = 0.015
    for proxy in deployment.proxies:
        deployment.spawn(write_at(proxy))
        for _ in range(4):
            deployment.spawn(read_at(proxy))
    await asyncio.sleep(9.0)
    if not trouble:
        await asyncio.sleep(12.0)
        return late_commits(acked, leads, record)
    record.add(f"the store turns {victim.name} away")
    platform.denied.add(victim.ip)
    began = now()
    await asyncio.sleep(0.5)
    record.add(f"{first.name} has no path to {cut.name}")
    first.cut_from = {cut.ip}
    cut_at = now()
    while not platform.calls:
        if now() > cut_at + PRIMARY_CUT_SECONDS:
            raise RuntimeError("no promotion was called for")
        await asyncio.sleep(0.005)
    promoted = group.by_name[platform.calls[0][3]]
    record.add(f"zone {promoted.zone}, with {promoted.name}, is cut off")
    rest = [each for each in group.databases if each is not promoted]
    inside = {each.ip for each in deployment.proxies if each.zone == promoted.zone}
    outside = {each.ip for each in deployment.proxies} - inside
    promoted.cut_from = {each.name for each in rest} | outside
    promoted.lose_store()
    for each in rest:
        each.cut_from = each.cut_from | inside
    platform.denied |= inside
    called_at = now()
    await asyncio.sleep(max(0.0, cut_at + PRIMARY_CUT_SECONDS - now()))
    first.cut_from = first.cut_from - {cut.ip}
    record.add(f"{first.name} has all paths again")
    await asyncio.sleep(max(0.0, called_at + ZONE_CUT_SECONDS - now()))
    promoted.cut_from = set()
    promoted.regain_store()
    for each in rest:
        each.cut_from = set()
    platform.denied -= inside
    record.add(f"zone {promoted.zone} has all paths again")
    await asyncio.sleep(max(0.0, began + DENIED_SECONDS - now()))
    platform.denied.clear()
    record.add("the store serves all again")
    await asyncio.sleep(2.0)
    return late_commits(acked, leads, record)


def late_commits(acked, leads, record):
    """Return acknowledged writes that began at an old primary after a promotion."""
    findings = []
    for sent, acked_at, name, signature in acked:
        before = [each for each in leads if each[0] < sent]
        database = signature.partition(".")[0]
        if before and database != before[-1][1]:
            at, leader, _ = before[-1]
            findings.append(
                f"ONE: write {name}, sent at {sent - record.began:.4f} and "
                f"acknowledged at {acked_at - record.began:.4f}, was committed at "
                f"{database}; {leader} leads since {at - record.began:.4f}"
            )
    for each in findings:
        record.add(each)
    record.add(f"{len(acked)} commits acknowledged, {len(leads)} promotions")
    return findings


if __name__ == "__main__":
    run_case(case, FOLDER, TROUBLE, proxies=4)
