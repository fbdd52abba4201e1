"""The command line's parser: subcommands, flags, examples and help.

A subcommand names its function as `module:function`. The module is imported only
when the subcommand runs, so that a proxy does not load the modules of the others.
"""

import sys
from argparse import ArgumentParser, RawDescriptionHelpFormatter
from typing import Any, NoReturn

from beryltiller import __version__
from beryltiller.commands.cli_flags import (
    add_file_argument,
    add_json_flag,
    add_operator_address_flag,
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
    "where": "beryltiller where orders-db --peer-address 10.0.0.7:7201 --write",
    "trace": "beryltiller trace 4bf92f3577b34da6a3ce929d0e0e4736",
    "failover": "beryltiller failover g1 --to g1-d2",
    "settings check": "beryltiller settings check --lease-seconds 2",
    "settings show": "beryltiller settings show",
    "settings document": "beryltiller settings document > docs/SETTINGS.md",
    "keys new": "beryltiller keys new /run/keys",
    "demo": "beryltiller demo",
    "bench": "beryltiller bench scenarios --seed 7",
}


class _OneLineErrorParser(ArgumentParser):
    """A parser that reports a wrong argument in one line, without the usage."""

    def error(self, message: str) -> NoReturn:
        """Print the cause and where to find help, and exit with `ExitCode.USAGE`."""
        print(f"{self.prog}: {message}; see `{self.prog} --help`", file=sys.stderr)
        sys.exit(ExitCode.USAGE)


def make_parser() -> ArgumentParser:
    """Return the parser of the command line, with all subcommands.

    The parsed `command` names the subcommand's function as `module:function`.
    """
    parser = _OneLineErrorParser(
        prog="beryltiller",
        description="A database proxy with session consistency.",
        epilog=_exit_code_lines(),
        formatter_class=RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_proxy_commands(commands)
    _add_configuration_commands(commands)
    _add_table_commands(commands)
    _add_operator_commands(commands)
    _add_settings_commands(commands)
    _add_developer_commands(commands)
    return parser


def _exit_code_lines() -> str:
    lines = (f"  {code.value:>3}  {code.meaning}" for code in ExitCode)
    return "\n".join(["exit codes:", *lines])


def _add_command(
    commands: Any, name: str, function: str, meaning: str, example: str
) -> ArgumentParser:
    """Add a subcommand that `function`, given as `module:function`, carries out."""
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


def _add_command_group(commands: Any, name: str, meaning: str) -> Any:
    parser = commands.add_parser(name, help=meaning, description=meaning)
    return parser.add_subparsers(required=True, metavar="COMMAND")


def _add_proxy_commands(commands: Any) -> None:
    parser = _add_command(
        commands, "proxy", "run_commands:proxy", "run a proxy", _EXAMPLES["proxy"]
    )
    add_flags(parser)
    parser = _add_command(
        commands,
        "drain",
        "operator_commands:drain",
        "make one proxy finish its requests and exit",
        _EXAMPLES["drain"],
    )
    add_operator_flags(parser)
    add_wait_flag(parser, "seconds to wait until the proxy has exited")


def _add_configuration_commands(commands: Any) -> None:
    group = _add_command_group(
        commands, "config", "the complete configuration: routes, pools and groups"
    )
    module = "configuration_commands"
    parser = _add_command(
        group,
        "get",
        f"{module}:get",
        "print the newest configuration as JSON",
        _EXAMPLES["config get"],
    )
    add_platform_flags(parser)
    parser = _add_command(
        group,
        "apply",
        f"{module}:put",
        "replace the configuration with the one in a file",
        _EXAMPLES["config apply"],
    )
    add_platform_flags(parser)
    add_file_argument(parser)
    parser.add_argument(
        "--expect",
        type=parse_version,
        metavar="VERSION",
        help="version to replace (default: the version in the file)",
    )
    parser = _add_command(
        group,
        "diff",
        f"{module}:compare",
        "print what applying a file would change",
        _EXAMPLES["config diff"],
    )
    add_platform_flags(parser)
    add_file_argument(parser)
    parser = _add_command(
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
        help="version to replace",
    )
    parser = _add_command(
        group,
        "status",
        "operator_commands:configuration_status",
        "print the version in force on each proxy",
        _EXAMPLES["config status"],
    )
    add_platform_flags(parser)
    add_operator_address_flag(parser)
    add_wait_flag(parser, "seconds to wait until it is in force on every proxy")


def _add_table_commands(commands: Any) -> None:
    for table in _TABLES:
        group = _add_command_group(
            commands, table, f"the {table} of the newest configuration"
        )
        for name, meaning in (
            ("list", f"print all {table}"),
            ("get", f"print one of the {table} as JSON"),
        ):
            example = _EXAMPLES[name].format(table=table)
            function = "list_rows" if name == "list" else "get_row"
            parser = _add_command(
                group, name, f"configuration_commands:{function}", meaning, example
            )
            parser.set_defaults(table=table)
            add_platform_flags(parser)
            if name == "get":
                parser.add_argument("name", metavar="NAME")
            else:
                add_json_flag(parser)


def _add_operator_commands(commands: Any) -> None:
    module = "operator_commands"
    parser = _add_command(
        commands,
        "status",
        f"{module}:status",
        "print the state of each proxy",
        _EXAMPLES["status"],
    )
    add_operator_flags(parser)
    add_json_flag(parser)
    parser.add_argument(
        "--watch", action="store_true", help="print it again every second"
    )
    parser = _add_command(
        commands,
        "explain",
        f"{module}:explain",
        "print what a request waited for before it was served",
        _EXAMPLES["explain"],
    )
    parser.add_argument(
        "request", metavar="REQUEST", help="the request's Beryl-Request-Id"
    )
    add_operator_flags(parser)
    parser = _add_command(
        commands,
        "where",
        "where_command:where",
        "explain where a statement would run now, without sending it",
        _EXAMPLES["where"],
    )
    parser.add_argument("database_name", metavar="NAME", help="a route's database name")
    parser.add_argument(
        "--peer-address",
        metavar="IP:PORT",
        required=True,
        help="peer channel of the proxy to ask: the second of its internal ports",
    )
    parser.add_argument("--organisation", metavar="NAME", default="")
    parser.add_argument(
        "--write", action="store_true", help="a write or a transaction that may write"
    )
    parser.add_argument(
        "--source-ip",
        metavar="IP",
        default="127.0.0.1",
        help="address of this host to ask from (default: %(default)s)",
    )
    parser = _add_command(
        commands,
        "trace",
        f"{module}:trace",
        "print the spans of one request",
        _EXAMPLES["trace"],
    )
    parser.add_argument("id", metavar="ID", help="trace identifier or Beryl-Request-Id")
    add_operator_flags(parser)
    add_json_flag(parser)
    parser = _add_command(
        commands,
        "failover",
        f"{module}:failover",
        "promote another database to primary of a group",
        _EXAMPLES["failover"],
    )
    parser.add_argument("group", metavar="GROUP")
    parser.add_argument(
        "--to", metavar="DATABASE", help="the new primary (default: any)"
    )
    add_operator_flags(parser, _FAILOVER_TIMEOUT_SECONDS)


def _add_settings_commands(commands: Any) -> None:
    group = _add_command_group(commands, "settings", "the settings of a proxy")
    for name, meaning in (
        ("check", "check that a proxy would start with these settings"),
        ("show", "print each setting with its value and the source of the value"),
    ):
        example = _EXAMPLES[f"settings {name}"]
        add_flags(
            _add_command(group, name, f"settings_commands:{name}", meaning, example)
        )
    _add_command(
        group,
        "document",
        "settings_commands:document",
        "print the documentation page of the settings",
        _EXAMPLES["settings document"],
    )
    group = _add_command_group(
        commands, "keys", "the keys that a set of proxies shares"
    )
    parser = _add_command(
        group,
        "new",
        "settings_commands:new_keys",
        "write new keys to files in a directory",
        _EXAMPLES["keys new"],
    )
    parser.add_argument("directory", metavar="DIRECTORY")


def _add_developer_commands(commands: Any) -> None:
    parser = _add_command(
        commands,
        "demo",
        "run_commands:demo",
        "start a small system on this machine, use it once and stop it",
        _EXAMPLES["demo"],
    )
    parser.add_argument(
        "--stay", action="store_true", help="keep the system running until Ctrl-C"
    )
    parser = _add_command(
        commands,
        "bench",
        "run_commands:bench",
        "run benchmarks on this machine",
        _EXAMPLES["bench"],
    )
    parser.add_argument(
        "name", metavar="NAME", nargs="?", help="benchmark to run (default: all)"
    )
    parser.add_argument("--seed", type=int, default=1, help="random seed (default 1)")
