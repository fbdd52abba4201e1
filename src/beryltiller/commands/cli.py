"""The program `beryltiller`: parse the arguments and run one subcommand.

An error is printed as one line on standard error that names the cause and what to
do about it. `beryltiller --help` lists the exit codes.
"""

import sys
from collections.abc import Callable, Sequence
from pkgutil import resolve_name

from beryltiller.commands.cli_parser import make_parser
from beryltiller.commands.command_errors import CommandError, ExitCode


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the subcommand that `arguments` name and return its exit code.

    `arguments` default to those of the process.
    """
    parsed = make_parser().parse_args(arguments)
    try:
        command: Callable[..., int] = resolve_name(parsed.command)
        return command(parsed)
    except CommandError as error:
        print(f"beryltiller: {error}", file=sys.stderr)
        return error.code
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    except BrokenPipeError:
        sys.stderr.close()
        return ExitCode.FAILED


if __name__ == "__main__":
    sys.exit(main())
