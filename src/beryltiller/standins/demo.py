"""The demonstration: start a small system, write an order and read it back.

It starts a platform, one group of three databases, and two proxies in two
availability zones, and applies a configuration with the command line. It then writes
an order through one proxy, reads it through the other with the session's token, and
stops everything.
"""

import asyncio
import json
import sys
from pathlib import Path

import aiohttp

from beryltiller.adapters.proxy_client import Answer, Request, send
from beryltiller.commands.command_errors import ExitCode
from beryltiller.core.outcome import Outcome
from beryltiller.process.settings import ENVIRONMENT_PREFIX
from beryltiller.standins.cluster import Cluster, ClusterSizes, start_cluster
from beryltiller.standins.cluster_setup import send_until_run
from beryltiller.standins.launcher import Launcher, LaunchError

_READY_TIMEOUT_SECONDS = 10
_ORDER = {"op": "put", "key": "order-17", "value": "120x50x50 low-iron"}


class DemoError(Exception):
    """A step of the demonstration that failed or had an unexpected result."""


def run(keeps_running: bool = False) -> int:
    """Run the demonstration and return the exit code.

    With `keeps_running` the system runs until Ctrl-C, for trying the command line on
    it.
    """
    try:
        asyncio.run(_run(keeps_running))
    except (DemoError, LaunchError) as error:
        print(f"beryltiller: demo: {error}", file=sys.stderr)
        return ExitCode.FAILED
    except asyncio.CancelledError:
        return ExitCode.INTERRUPTED
    return ExitCode.OK


async def _run(keeps_running: bool) -> None:
    async with Launcher() as launcher:
        print("starting a platform, three databases and two proxies")
        cluster = await start_cluster(launcher, ClusterSizes())
        await _configure(cluster)
        await _write_and_read(cluster)
        if keeps_running:
            await _wait_for_interrupt(cluster)
    print("stopped all processes")


async def _wait_for_interrupt(cluster: Cluster) -> None:
    """Print how to reach the system and wait for Ctrl-C or SIGTERM."""
    callers = (str(each.caller) for each in cluster.addresses.values())
    print("callers:", *callers)
    print(f"export {ENVIRONMENT_PREFIX}PLATFORM_ADDRESS={cluster.platform.address}")
    operators = ",".join(cluster.operator_addresses)
    print(f"export {ENVIRONMENT_PREFIX}OPERATOR_ADDRESS={operators}")
    print("running until Ctrl-C", flush=True)
    await asyncio.Event().wait()


async def _configure(cluster: Cluster) -> None:
    """Apply a configuration and wait until both proxies have it in force."""
    path = cluster.launcher.directory / "configuration.json"
    _write_json(path, cluster.build_configuration())
    platform = ("--platform-address", cluster.platform.address)
    await _run_command("config", "apply", str(path), *platform, "--expect", "0")
    operators = ("--operator-address", ",".join(cluster.operator_addresses))
    wait = ("--wait-seconds", str(_READY_TIMEOUT_SECONDS))
    await _run_command("config", "status", *platform, *operators, *wait)
    await _run_command("routes", "list", *platform)
    await _run_command("status", *operators)


def _write_json(path: Path, value: object) -> None:
    path.write_text(json.dumps(value, indent=2), encoding="utf-8")


async def _run_command(*arguments: str) -> None:
    """Print a command and run it in a process, as an operator would.

    Raise DemoError for any exit code but 0.
    """
    print("$ beryltiller", *arguments, flush=True)
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "beryltiller", *arguments
    )
    try:
        code = await process.wait()
    except asyncio.CancelledError:
        process.kill()
        await process.wait()
        raise
    if code != 0:
        raise DemoError(f"`beryltiller {arguments[0]}` exited with code {code}")


async def _write_and_read(cluster: Cluster) -> None:
    writer, reader = (each.caller for each in cluster.addresses.values())
    async with aiohttp.ClientSession() as session:
        body = json.dumps(_ORDER).encode()
        order = Request("orders", body, caller="cutting")
        written = await send_until_run(session, str(writer), order)
        _print_answer("wrote", written)
        body = json.dumps({"op": "get", "key": _ORDER["key"]}).encode()
        query = Request("order-reads", body, caller="cutting", session=written.session)
        read = await send(session, str(reader), query)
        _print_answer("read", read)
    if json.loads(read.body)["value"] != _ORDER["value"]:
        raise DemoError(f"read returned {read.body!r}, not the order that was written")


def _print_answer(verb: str, answer: Answer) -> None:
    if answer.outcome is not Outcome.DONE:
        raise DemoError(
            f"{verb}: outcome {answer.outcome.value}, status {answer.status},"
            f" {answer.body.decode()}"
        )
    proxy = answer.headers.get("Beryl-Proxy", "")
    print(f"{verb} {answer.body.decode()} by {answer.served_by} through {proxy}")
