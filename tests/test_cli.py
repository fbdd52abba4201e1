"""Tests of the command line, against a stand-in platform and canned answers."""

import argparse
import asyncio
import contextlib
import doctest
import io
import json
import os
import unittest
from collections.abc import Iterator
from pathlib import Path
from pkgutil import resolve_name
from tempfile import TemporaryDirectory
from typing import Any
from unittest import mock

from aiohttp import web

from beryltiller.commands.cli import main
from beryltiller.commands.cli_parser import make_parser
from beryltiller.commands.command_errors import ExitCode
from beryltiller.core import text
from beryltiller.standins.platform_standin import PlatformStandin

_GROUP = {
    "name": "g1",
    "databases": [
        {
            "name": "g1-d1",
            "address": "127.0.0.1:7001",
            "availability_zone": "perth-a",
            "connection_cap": 35,
            "slots": 2,
        }
    ],
}
_DOCUMENT: dict[str, Any] = {
    "version": 0,
    "routes": [{"name": "orders", "kind": "write", "pool": "counter"}],
    "pools": [{"name": "counter", "groups": ["g1"]}],
    "groups": [_GROUP],
}
_SPAN = {
    "trace_id": "ab" * 16,
    "span_id": "cd" * 8,
    "parent_id": "",
    "name": "request",
    "host": "entry-1",
    "started_at": 1.0,
    "duration_seconds": 0.0125,
}
_ANSWERS: dict[str, Any] = {
    "GET /v1/status": {
        "proxy": "entry-1",
        "is_ready": True,
        "configuration_version": 1,
        "terms": [{"group": "g1", "term": 3, "primary": "g1-d2"}],
        "members": [{"name": "entry-2", "state": "alive"}],
    },
    "GET /v1/explain/r1": {"request": "r1", "lines": ["r1 waited for r0"]},
    "GET /v1/trace/r1": {"spans": [_SPAN]},
    "GET /v1/trace/r2": {"spans": []},
    "POST /v1/failover/g1": {"group": "g1", "term": 4, "primary": "g1-d3"},
    "POST /v1/failover/g3": {"reason": "no later term opened", "field": "group"},
    "POST /v1/drain": {},
}


def _leaf_parsers(parser: argparse.ArgumentParser) -> Iterator[argparse.ArgumentParser]:
    for action in parser._actions:
        if isinstance(action, argparse._SubParsersAction):
            for child in action.choices.values():
                yield from _leaf_parsers(child)
            return
    yield parser


def _make_canned_proxy(received: list[str]) -> web.Application:
    async def answer(request: web.Request) -> web.Response:
        received.append(f"{request.method} {request.raw_path}")
        canned_answer = _ANSWERS.get(f"{request.method} {request.path}")
        if canned_answer is None:
            raise web.HTTPNotFound
        status = 503 if "reason" in canned_answer else 200
        return web.json_response(canned_answer, status=status)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    return app


class ParserTest(unittest.TestCase):
    """Every subcommand names an existing function and shows an example in its help."""

    def test_each_subcommand_has_a_function_and_an_example(self) -> None:
        for parser in _leaf_parsers(make_parser()):
            with self.subTest(command=parser.prog):
                command = parser.get_default("command")
                if command != "beryltiller.commands.run_commands:proxy":
                    self.assertTrue(callable(resolve_name(command)))
                self.assertIn(f"example:\n  {parser.prog}", parser.format_help())

    def test_doctests_of_text_functions(self) -> None:
        self.assertEqual(doctest.testmod(text).failed, 0)


class CommandTest(unittest.IsolatedAsyncioTestCase):
    """Commands print their result and exit with the documented codes.

    A wrong code would make a script repeat a change that has taken effect, or give up
    one that has not.
    """

    async def asyncSetUp(self) -> None:
        # In debug mode the loop reports slow callbacks on the captured standard error.
        asyncio.get_running_loop().slow_callback_duration = 60.0
        self.platform = PlatformStandin()
        self.platform_address = await self.serve(self.platform.app)
        self.received: list[str] = []
        self.proxy_address = await self.serve(_make_canned_proxy(self.received))
        self.directory = Path(self.enterContext(TemporaryDirectory()))
        self.environment = {
            "BERYLTILLER_PLATFORM_ADDRESS": self.platform_address,
            "BERYLTILLER_OPERATOR_ADDRESS": self.proxy_address,
        }

    async def serve(self, app: web.Application) -> str:
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        return f"{host}:{port}"

    async def run_command(self, *arguments: str) -> tuple[int, str, str]:
        """Run a command in a thread; return its exit code, output and errors."""
        return await asyncio.to_thread(self.run_in_this_thread, arguments)

    def run_in_this_thread(self, arguments: tuple[str, ...]) -> tuple[int, str, str]:
        output, errors = io.StringIO(), io.StringIO()
        with (
            mock.patch.dict(os.environ, self.environment, clear=True),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            try:
                code = main(arguments)
            except SystemExit as exit_:
                code = int(exit_.code or 0)
        return code, output.getvalue(), errors.getvalue()

    async def apply(self, document: object, *flags: str) -> tuple[int, str, str]:
        path = self.directory / "configuration.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        return await self.run_command("config", "apply", str(path), *flags)

    async def test_read_commands_print_what_was_applied(self) -> None:
        self.assertEqual((await self.apply(_DOCUMENT))[0], ExitCode.OK)
        code, output, _ = await self.run_command("config", "get")
        self.assertEqual(
            json.loads(output), {**_DOCUMENT, "version": 1} | _printed_routes()
        )
        _, output, _ = await self.run_command("pools", "list")
        self.assertIn("counter  g1", output)
        _, output, _ = await self.run_command("groups", "get", "g1")
        self.assertEqual(json.loads(output), _GROUP)
        code, _, errors = await self.run_command("routes", "get", "stock")
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("orders", errors)

    async def test_change_of_an_old_version_is_refused_with_the_difference(
        self,
    ) -> None:
        await self.apply(_DOCUMENT, "--expect", "0")
        other = {**_DOCUMENT, "routes": []}
        code, output, errors = await self.apply(other, "--expect", "0")
        self.assertEqual(code, ExitCode.CONFLICT)
        self.assertIn('- route "orders"', output)
        self.assertIn("version 1 is in force", errors)
        self.assertEqual(self.platform.tables.revision, 1)

    async def test_invalid_changes_are_refused_with_row_and_field(self) -> None:
        missing_pool = {**_DOCUMENT, "pools": []}
        cases: tuple[tuple[object, tuple[str, ...], str], ...] = (
            (missing_pool, (), 'routes[0] "orders": pool'),
            ({**_DOCUMENT, "version": 4}, ("--expect", "5"), "contradicts"),
            ({**_DOCUMENT, "extra": 1}, (), "extra"),
        )
        for document, flags, reason in cases:
            with self.subTest(reason=reason):
                code, _, errors = await self.apply(document, *flags)
                self.assertEqual(code, ExitCode.INVALID)
                self.assertIn(reason, errors)
                self.assertEqual(len(errors.splitlines()), 1)
        self.assertEqual(self.platform.tables.revision, 0)

    async def test_delete_needs_the_current_version(self) -> None:
        await self.apply(_DOCUMENT)
        delete = ("config", "delete", "route", "orders", "--expect")
        code, _, _ = await self.run_command(*delete, "0")
        self.assertEqual(code, ExitCode.CONFLICT)
        code, _, _ = await self.run_command(*delete, "1")
        self.assertEqual(code, ExitCode.OK)
        code, _, errors = await self.run_command(
            "config", "delete", "group", "g1", "--expect", "2"
        )
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn('pools[0] "counter"', errors)

    async def test_lost_answer_is_resolved_by_reading_the_version(self) -> None:
        self.platform.faults.lose_answers = 1
        code, output, _ = await self.apply(_DOCUMENT)
        self.assertEqual((code, output), (ExitCode.OK, "version 1 is accepted\n"))

    async def test_exit_codes_for_platform_faults(self) -> None:
        self.platform.faults.hang = True
        code, _, errors = await self.apply(_DOCUMENT, "--timeout-seconds", "0.05")
        self.assertEqual(code, ExitCode.UNKNOWN)
        self.assertIn("may have taken effect", errors)
        self.platform.faults.hang = False
        self.platform.faults.refuse = True
        code, _, _ = await self.run_command("config", "get")
        self.assertEqual(code, ExitCode.UNREACHABLE)

    async def test_output_and_exit_code_of_each_operator_command(self) -> None:
        await self.apply(_DOCUMENT)
        cases: tuple[tuple[str, ExitCode, str], ...] = (
            ("status", ExitCode.OK, "g1:3:g1-d2"),
            ("status --json", ExitCode.OK, '"proxy":"entry-1"'),
            ("config status", ExitCode.OK, "table service  1"),
            ("explain r1", ExitCode.OK, "r1 waited for r0"),
            ("explain r2", ExitCode.NOT_FOUND, ""),
            ("trace r1", ExitCode.OK, "request 12.5 ms  entry-1"),
            ("trace r2", ExitCode.NOT_FOUND, ""),
            ("failover g1 --to g1-d3", ExitCode.OK, "term 4, primary g1-d3"),
            ("failover g1 --to g1-d1", ExitCode.FAILED, "primary g1-d3"),
            ("failover g2", ExitCode.NOT_FOUND, ""),
            ("failover g3", ExitCode.UNKNOWN, ""),
            ("drain", ExitCode.OK, "draining"),
            ("drain --wait-seconds 0.01", ExitCode.NOT_YET, "draining"),
            ("status --operator-address entry-1:1", ExitCode.USAGE, ""),
        )
        for line, expected, expected_output in cases:
            with self.subTest(line=line):
                code, output, errors = await self.run_command(*line.split())
                self.assertEqual(code, expected, errors)
                self.assertIn(expected_output, output)
                self.assertLessEqual(len(errors.splitlines()), 1)
                if expected is not ExitCode.NOT_YET:
                    self.assertEqual(bool(errors), expected is not ExitCode.OK)

    async def test_argument_reaches_no_other_operation(self) -> None:
        """Guards against a failover of a group `../drain` that drains the proxy."""
        cases = (
            ("failover", "../drain", ["POST /v1/failover/..%2Fdrain"]),
            ("failover", "g1?x", ["POST /v1/failover/g1%3Fx"]),
            ("explain", "../status#", ["GET /v1/explain/..%2Fstatus%23"]),
            ("trace", "%72%31", ["GET /v1/trace/%2572%2531"]),
        )
        for command, argument, expected in cases:
            with self.subTest(command=command, argument=argument):
                self.received.clear()
                code, _, errors = await self.run_command(command, argument)
                self.assertEqual(self.received, expected)
                self.assertEqual(code, ExitCode.NOT_FOUND, errors)

    async def test_argument_that_no_path_can_hold_is_refused_unsent(self) -> None:
        for argument in ("", ".", "..", "\udcff"):
            with self.subTest(argument=argument):
                code, _, errors = await self.run_command("failover", argument)
                self.assertEqual((code, self.received), (ExitCode.USAGE, []), errors)
                self.assertEqual(len(errors.splitlines()), 1)

    async def test_config_status_reports_a_proxy_with_an_older_version(self) -> None:
        await self.apply(_DOCUMENT)
        await self.apply({**_DOCUMENT, "routes": []}, "--expect", "1")
        code, output, _ = await self.run_command("config", "status")
        self.assertEqual(code, ExitCode.NOT_YET)
        self.assertIn("entry-1        1", output)

    async def test_unreachable_proxy_does_not_hide_other_answers(self) -> None:
        self.environment["BERYLTILLER_OPERATOR_ADDRESS"] += ",127.0.0.1:1"
        code, output, errors = await self.run_command("status")
        self.assertEqual(code, ExitCode.UNREACHABLE)
        self.assertIn("entry-1", output)
        self.assertIn("127.0.0.1:1", errors)
        code, _, _ = await self.run_command("explain", "r1")
        self.assertEqual(code, ExitCode.OK)


class SettingsCommandTest(unittest.TestCase):
    """Settings and keys can be checked and shown without printing secrets."""

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        case = CommandTest()
        case.environment = {}
        return case.run_in_this_thread(arguments)

    def test_check_names_the_field_and_the_remedy(self) -> None:
        code, _, errors = self.run_command("settings", "check")
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn("host_name: required, set --host-name", errors)

    def test_new_keys_are_valid_settings_and_hidden(self) -> None:
        with TemporaryDirectory() as directory:
            code, _, _ = self.run_command("keys", "new", directory)
            self.assertEqual(code, ExitCode.OK)
            modes = {path.stat().st_mode & 0o777 for path in Path(directory).iterdir()}
            self.assertEqual(modes, {0o600})
            flags = list(_key_flags(Path(directory)))
            code, output, errors = self.run_command("settings", "show", *flags)
            self.assertEqual(code, ExitCode.OK, errors)
            for path in Path(directory).glob("*secret*"):
                self.assertNotIn(path.read_text().strip(), output)
            self.assertRegex(output, r"token_signing_key +\(hidden\) +file")
            code, _, errors = self.run_command("keys", "new", directory)
            self.assertEqual(code, ExitCode.FAILED)


def _key_flags(directory: Path) -> Iterator[str]:
    yield from ("--host-name", "h", "--availability-zone", "z")
    for number, name in enumerate(("caller", "operator", "peer", "platform"), start=1):
        yield from (f"--{name}-address", f"127.0.0.1:{number}")
    for path in directory.iterdir():
        flag = "--" + path.name.replace("_", "-")
        is_public = "public" in path.name
        yield (
            f"{flag}={path.read_text().strip()}" if is_public else f"{flag}-file={path}"
        )


def _printed_routes() -> dict[str, Any]:
    """Return the routes as they are printed, with the unset optional field as null."""
    return {"routes": [{**route, "max_age_ms": None} for route in _DOCUMENT["routes"]]}
