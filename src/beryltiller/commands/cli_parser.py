"""The command line's grammar: subcommands, flags, examples and help.

Each subcommand names the function that carries it out by its module, which is
imported only when the subcommand is used: a proxy must not pay for the rest.
"""

import sys
from argparse import ArgumentParser, RawDescriptionHelpFormatter
from typing import Any, NoReturn

from beryltiller import __version__
from beryltiller.commands.cli_flags import (
    add_file,
    add_json_flag,
    add_operator_address,
    add_operator_flags,
    add_platform_flags,
    add_wait_flag,
    parse_version,
)
from beryltiller.commands.command_errors import ExitCode
from beryltiller.process.settings_source import add_flags

_FAILOVER_TIMEOUT_SECONDS = 35.0
_TABLES = ("routes", "pools", "groups")

_EXAMPLES = {
    "proxy": "beryltiller proxy --host-name entry-1 --caller-address 10.0.0.7:7000",
    "drain": "beryltiller drain --operator-address 10.0.0.7:7001 --wait-seconds 30",
    "list": "beryltiller {table} list --platform-address 10.0.0.1:80",
    "get": "beryltiller {table} get NAME --platform-address 10.0.0.1:80",
    "config get": "beryltiller config get > configuration.json",
    "config apply": "beryltiller config apply configuration.json --expect 7",
    "config diff": "beryltiller config diff configuration.json",
    "config delete": "beryltiller config delete route old-stock --expect 8",
    "config status": "beryltiller config status --wait-seconds 5",
    "status": "beryltiller status --operator-address 10.0.0.7:7001,10.0.1.7:7001",
    "explain": "beryltiller explain entry-1-42 --operator-address 10.0.0.7:7001",
    "trace": "beryltiller trace 4bf92f3577b34da6a3ce929d0e0e4736",
    "failover": "beryltiller failover g1 --to g1-d2",
    "settings check": "beryltiller settings check --lease-seconds 2",
    "settings show": "beryltiller settings show",
    "settings document": "beryltiller settings document > docs/SETTINGS.md",
    "keys new": "beryltiller keys new /run/keys",
    "demo": "beryltiller demo",
    "bench": "beryltiller bench scenarios --seed 7",
}


class _OneLineParser(ArgumentParser):
    """Report a wrong argument in one line, without the whole usage."""

    def error(self, message: str) -> NoReturn:
        """Print cause and mend, and exit."""
        print(f"{self.prog}: {message}; see `{self.prog} --help`", file=sys.stderr)
        sys.exit(ExitCode.USAGE)


def make_parser() -> ArgumentParser:
    """Return the parser of the whole command line."""
    parser = _OneLineParser(
        prog="beryltiller",
        description="A database proxy with session consistency.",
        epilog=_exit_codes(),
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_proxy(commands)
    _add_configuration(commands)
    _add_tables(commands)
    _add_operators(commands)
    _add_settings(commands)
    _add_tools(commands)
    return parser


def _exit_codes() -> str:
    lines = (f"  {code.value:>3}  {code.meaning}" for code in ExitCode)
    return "\n".join(["exit codes:", *lines])


def _add(
    commands: Any, name: str, function: str, meaning: str, example: str
) -> ArgumentParser:
    """Add a subcommand that is carried out by `module:function`."""
    parser: ArgumentParser = commands.add_parser(
        name,
        help=meaning,
        description=meaning[0].upper() + meaning[1:] + ".",
        epilog=f"example:\n  {example}",
        formatter_class=RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    parser.set_defaults(command=f"beryltiller.commands.{function}")
    return parser


def _add_group(commands: Any, name: str, meaning: str) -> Any:
    parser = commands.add_parser(name, help=meaning, description=meaning)
    return parser.add_subparsers(required=True, metavar="COMMAND")


def _add_proxy(commands: Any) -> None:
    parser = _add(
        commands, "proxy", "run_commands:proxy", "run a proxy", _EXAMPLES["proxy"]
    )
    add_flags(parser)
    parser = _add(
        commands,
        "drain",
        "operator_commands:drain",
        "let one proxy finish its requests and end",
        _EXAMPLES["drain"],
    )
    add_operator_flags(parser)
    add_wait_flag(parser, "seconds to wait until the proxy has ended")


def _add_configuration(commands: Any) -> None:
    group = _add_group(commands, "config", "routes, pools and groups as a whole")
    module = "configuration_commands"
    parser = _add(
        group,
        "get",
        f"{module}:get",
        "print the newest configuration as JSON",
        _EXAMPLES["config get"],
    )
    add_platform_flags(parser)
    parser = _add(
        group,
        "apply",
        f"{module}:put",
        "replace the configuration by a file's",
        _EXAMPLES["config apply"],
    )
    add_platform_flags(parser)
    add_file(parser)
    parser.add_argument(
        "--expect",
        type=parse_version,
        metavar="VERSION",
        help="version that is to be replaced (default: the file's own)",
    )
    parser = _add(
        group,
        "diff",
        f"{module}:compare",
        "print what applying a file would change",
        _EXAMPLES["config diff"],
    )
    add_platform_flags(parser)
    add_file(parser)
    parser = _add(
        group,
        "delete",
        f"{module}:delete",
        "delete one route, pool or group",
        _EXAMPLES["config delete"],
    )
    add_platform_flags(parser)
    parser.add_argument("table", choices=[name.rstrip("s") for name in _TABLES])
    parser.add_argument("name", metavar="NAME")
    parser.add_argument(
        "--expect",
        type=parse_version,
        metavar="VERSION",
        required=True,
        help="version that is to be replaced",
    )
    parser = _add(
        group,
        "status",
        "operator_commands:configuration_status",
        "print the version in force on each proxy",
        _EXAMPLES["config status"],
    )
    add_platform_flags(parser)
    add_operator_address(parser)
    add_wait_flag(parser, "seconds to wait until it is in force on all")


def _add_tables(commands: Any) -> None:
    for table in _TABLES:
        group = _add_group(commands, table, f"{table} of the newest configuration")
        for name, meaning in (
            ("list", f"print all {table}"),
            ("get", f"print one of the {table} as JSON"),
        ):
            example = _EXAMPLES[name].format(table=table)
            function = "list_rows" if name == "list" else "get_row"
            parser = _add(
                group, name, f"configuration_commands:{function}", meaning, example
            )
            parser.set_defaults(table=table)
            add_platform_flags(parser)
            if name == "get":
                parser.add_argument("name", metavar="NAME")
            else:
                add_json_flag(parser)


def _add_operators(commands: Any) -> None:
    module = "operator_commands"
    parser = _add(
        commands,
        "status",
        f"{module}:status",
        "print the state of each proxy",
        _EXAMPLES["status"],
    )
    add_operator_flags(parser)
    add_json_flag(parser)
    parser.add_argument("--watch", action="store_true", help="print again every second")
    parser = _add(
        commands,
        "explain",
        f"{module}:explain",
        "print why a request was served when it was",
        _EXAMPLES["explain"],
    )
    parser.add_argument("request", metavar="REQUEST", help="its Beryl-Request-Id")
    add_operator_flags(parser)
    parser = _add(
        commands,
        "trace",
        f"{module}:trace",
        "print the spans of one request",
        _EXAMPLES["trace"],
    )
    parser.add_argument(
        "id", metavar="ID", help="a trace's identifier, or a Beryl-Request-Id"
    )
    add_operator_flags(parser)
    add_json_flag(parser)
    parser = _add(
        commands,
        "failover",
        f"{module}:failover",
        "promote another primary of a group",
        _EXAMPLES["failover"],
    )
    parser.add_argument("group", metavar="GROUP")
    parser.add_argument(
        "--to", metavar="DATABASE", help="the new primary (default: any)"
    )
    add_operator_flags(parser, _FAILOVER_TIMEOUT_SECONDS)


def _add_settings(commands: Any) -> None:
    group = _add_group(commands, "settings", "settings of a proxy")
    for name, meaning in (
        ("check", "say whether a proxy would start with these settings"),
        ("show", "print each setting, its value and whence it comes"),
    ):
        example = _EXAMPLES[f"settings {name}"]
        add_flags(_add(group, name, f"settings_commands:{name}", meaning, example))
    _add(
        group,
        "document",
        "settings_commands:document",
        "print the page of all settings",
        _EXAMPLES["settings document"],
    )
    group = _add_group(commands, "keys", "keys of a set of proxies")
    parser = _add(
        group,
        "new",
        "settings_commands:new_keys",
        "write new keys to files in a directory",
        _EXAMPLES["keys new"],
    )
    parser.add_argument("directory", metavar="DIRECTORY")


def _add_tools(commands: Any) -> None:
    parser = _add(
        commands,
        "demo",
        "run_commands:demo",
        "start a small system on this machine, use it once and stop it",
        _EXAMPLES["demo"],
    )
    parser.add_argument(
        "--stay", action="store_true", help="let the system run on until Ctrl-C"
    )
    parser = _add(
        commands,
        "bench",
        "run_commands:bench",
        "measure on this machine",
        _EXAMPLES["bench"],
    )
    parser.add_argument(
        "name", metavar="NAME", nargs="?", help="one benchmark (default: all)"
    )
    parser.add_argument("--seed", type=int, default=1, help="random seed (default 1)")
