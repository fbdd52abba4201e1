"""Exit codes of the command line, and the error that carries one."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Tell scripts what came of a command; each value has its meaning beside it."""

    def __new__(cls, value: int, meaning: str) -> "ExitCode":
        """Keep the meaning beside the number."""
        code = int.__new__(cls, value)
        code._value_ = value
        code.meaning = meaning
        return code

    meaning: str

    OK = 0, "done"
    FAILED = 1, "failed for the cause on standard error"
    USAGE = 2, "unknown subcommand, flag or argument"
    INVALID = 3, "settings or configuration refused; nothing changed"
    CONFLICT = 4, "another change came first; nothing changed"
    UNREACHABLE = 5, "nothing was sent, or it was refused; nothing changed"
    UNKNOWN = 6, "the answer was lost; the change may have taken effect"
    NOT_FOUND = 7, "no such row, request or trace"
    NOT_YET = 8, "not every proxy got there in time"
    INTERRUPTED = 130, "ended by Ctrl-C or SIGTERM"


class CommandError(Exception):
    """Report why a command failed and what its user can do about it."""

    def __init__(self, code: ExitCode, cause: str, mend: str) -> None:
        """Keep the exit code beside the one line that is shown."""
        super().__init__(f"{cause}; {mend}" if mend else cause)
        self.code = code
