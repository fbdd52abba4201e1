"""Transactions that were begun after SIGTERM are cut off with a statement at work."""

import asyncio
import os
import signal
import time
from pathlib import Path

from standins.harness import BROKEN, HELD, Client, Deployment, run_case

FOLDER = Path(__file__).resolve().parent
GRACE_SECONDS = 6.0
ROUTE_TIMEOUT_SECONDS = {"orders": 1.0, "stock": 2.0}
# A client sends a statement of its transaction each 0.29 s, and at most 12 in all.
RHYTHM_SECONDS = 0.29
STATEMENTS = 12
READERS, WRITERS = 12, 6
FIRST_BEGIN_SECONDS, STAGGER_SECONDS = 2.04, 0.012


async def transact(client: Client, name: str, begin_at: float, is_read_only: bool) -> None:
    """Run a transaction, a statement at a time, until it ends or fails."""
    statement = "READ order-1" if is_read_only else "WRITE order-1 panels"
    texts = ["BEGIN READ" if is_read_only else "BEGIN"]
    texts += [statement] * (STATEMENTS - 2) + ["COMMIT"]
    for number, text in enumerate(texts):
        await asyncio.sleep(max(0.0, begin_at + number * RHYTHM_SECONDS - time.monotonic()))
        answer = await client.ask(f"{name}-{number:02d}", text)
        if answer is None or answer[1].startswith("ERROR"):
            break
    client.close()


async def roll(deployment: Deployment, proxy: str, has_trouble: bool) -> float:
    """Stop one proxy while clients work; return when SIGTERM was sent, in Unix time."""
    kinds = [("stock", True)] * READERS + [("orders", False)] * WRITERS
    clients = [(Client(deployment, proxy, name), is_read) for name, is_read in kinds]
    for client, _ in clients:
        await client.open()
    stopped_at, unix = time.monotonic(), time.time()
    if has_trouble:
        deployment.record(event="SIGTERM", proxy=proxy)
        deployment.proxies[proxy].send(signal.SIGTERM)
    work = []
    for number, (client, is_read) in enumerate(clients):
        turn = number if number < READERS else number - READERS + WRITERS
        stagger = turn * STAGGER_SECONDS
        begin_at = stopped_at + FIRST_BEGIN_SECONDS + stagger
        work.append(transact(client, f"{proxy}-{number:02d}", begin_at, is_read))
    await asyncio.gather(*work)
    process = deployment.proxies[proxy].process
    while has_trouble and process.poll() is None:
        if time.monotonic() > stopped_at + GRACE_SECONDS:
            deployment.kill(deployment.proxies[proxy], proxy)
        await asyncio.sleep(0.02)
    if has_trouble:
        deployment.record(event="ended", proxy=proxy, code=process.returncode)
        deployment.start_proxy(proxy)
        await deployment.wait_until(deployment.all_ready, 20.0)
    await asyncio.sleep(4.5)
    return unix


def find_lost(lines: list[dict], stops: dict[str, float]) -> list[str]:
    """Return the requests that the rule counts as lost."""
    sent = {each["id"]: each for each in lines if each["event"] == "sent"}
    passed_on = {each["id"] for each in lines if each["event"] == "received"}
    lost = []
    for each in lines:
        if each["event"] != "no answer" or each["id"] not in passed_on:
            continue
        sent_at = sent[each["id"]]["at"]
        after = sent_at - stops[each["proxy"]]
        timeout = min(ROUTE_TIMEOUT_SECONDS.values())
        if each["at"] - sent_at >= timeout:
            continue
        # Sent later than 3 s after SIGTERM, and cut until 1 s after the grace period.
        if 3.0 < after and each["at"] <= stops[each["proxy"]] + GRACE_SECONDS + 1.0:
            lost.append(f"{each['id']} {sent[each['id']]['text']} sent {after:.3f} s after")
    return lost


async def case(has_trouble: bool) -> int:
    deployment = Deployment(FOLDER, work_ms=40.0)
    stops: dict[str, float] = {}
    lost: list[str] = []
    try:
        await deployment.start()
        await asyncio.sleep(4.5)
        for proxy in tuple(deployment.proxies):
            stops[proxy] = await roll(deployment, proxy, has_trouble)
        await asyncio.sleep(0.5)
    finally:
        await deployment.stop()
        lost = find_lost(sorted(deployment.lines, key=lambda each: each["at"]), stops)
        deployment.record(event="result", lost=lost)
        deployment.write_record()
    for text in lost:
        print(f"no answer: {text} SIGTERM")
    return BROKEN if lost else HELD


run_case(case, has_trouble=os.environ.get("TROUBLE", "1") != "0")
