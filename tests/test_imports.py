"""Tests that decision modules import no I/O, and a proxy no benchmark or stand-in."""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

import beryltiller

_ROOT = Path(beryltiller.__file__).parent
_PACKAGE = "beryltiller"

# Packages whose modules decide and do no I/O.
_DECISIONS = (
    "core",
    "admission",
    "consistency",
    "configuration",
    "membership",
    "primaries",
    "quotas",
)
# Modules of `sessions` that decide; the others run on the event loop.
_SESSION_DECISIONS = (
    "databases.catalog",
    "databases.evidence",
    "databases.group_knowledge",
    "databases.groups",
    "databases.leadership",
    "serving.shutdown",
    "connections.connection_limits",
    "connections.statement_queue",
    "databases.member",
    "databases.observed_load",
    "databases.placement",
    "databases.regions",
    "databases.registry",
    "forwarding.forwarding_codec",
    "forwarding.forwarding_plan",
    "forwarding.holders",
    "organisations",
    "running.transaction_holds",
    "succession.known_databases",
    "tables.relay",
    "tables.relay_messages",
    "statements",
    "succession.causes",
    "succession.fence_results",
    "succession.fencing_steps",
    "succession.lag_relief",
    "succession.policy",
    "succession.promotion_steps",
    "succession.state",
    "succession.times",
    "succession.transitions",
)
_IO = frozenset(
    {
        "aiohttp",
        "asyncio",
        "eliot",
        "pykka",
        "selectors",
        "socket",
        "statsd",
        "subprocess",
        "threading",
        "time",
        "zmq",
    }
)
_NOT_IN_A_PROXY = ("benchmarks", "standins", "commands")
_PROXIES = ("beryltiller.platform.daemon", "beryltiller.process.daemon")


def module_path(name: str) -> Path | None:
    """Return a module's file, or None when it is not one of the package."""
    parts = name.split(".")
    if parts[0] != _PACKAGE:
        return None
    path = _ROOT.joinpath(*parts[1:])
    for candidate in (path.with_suffix(".py"), path / "__init__.py"):
        if candidate.is_file():
            return candidate
    return None


def imported_names(path: Path) -> Iterator[str]:
    """Yield the names of all modules that a file may import."""
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        match node:
            case ast.Import(names):
                yield from (alias.name for alias in names)
            case ast.ImportFrom(module, names) if module:
                yield module
                yield from (f"{module}.{alias.name}" for alias in names)


def loaded_modules(name: str) -> set[str]:
    """Return all modules of the package that importing a module loads."""
    seen: set[str] = set()
    waiting = [name]
    while waiting:
        current = waiting.pop()
        path = module_path(current)
        if path is None or current in seen:
            continue
        seen.add(current)
        parent = current.rpartition(".")[0]
        waiting += [parent, *imported_names(path)]
    return seen


class DecisionsTest(unittest.TestCase):
    """Modules that decide import nothing that does I/O.

    Guards against I/O in code that tests and simulations run in memory.
    """

    def test_decisions_import_no_io(self) -> None:
        paths = [path for name in _DECISIONS for path in (_ROOT / name).glob("*.py")]
        paths += [
            module
            for name in _SESSION_DECISIONS
            if (module := module_path(f"{_PACKAGE}.sessions.{name}"))
        ]
        for path in paths:
            with self.subTest(path.stem):
                names = {name.partition(".")[0] for name in imported_names(path)}
                self.assertEqual(names & _IO, set())

    def test_decisions_reach_no_module_with_io(self) -> None:
        packages = (*_DECISIONS, "sessions", "")
        for package in _DECISIONS:
            for path in (_ROOT / package).glob("*.py"):
                with self.subTest(path.stem):
                    found = loaded_modules(f"{_PACKAGE}.{package}.{path.stem}")
                    parts = {(*name.split("."), "")[1] for name in found}
                    self.assertLessEqual(parts, set(packages))


class ProxyTest(unittest.TestCase):
    """A proxy loads no module of the benchmarks, stand-ins or commands."""

    def test_proxy_loads_no_bench_stand_in_or_command(self) -> None:
        for proxy in _PROXIES:
            with self.subTest(proxy):
                packages = {(*name.split("."), "")[1] for name in loaded_modules(proxy)}
                self.assertEqual(packages & set(_NOT_IN_A_PROXY), set())
                self.assertIn(proxy, loaded_modules(proxy))
