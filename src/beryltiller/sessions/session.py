"""One caller's session: its values, prepared statements and open transaction."""

from dataclasses import dataclass, field

from beryltiller.core.position import Position
from beryltiller.sessions.catalog import Route
from beryltiller.sessions.lending import Lender, Lent
from beryltiller.sessions.placement import Placement, ReadRequirement
from beryltiller.sessions.statements import (
    PROXY_SIGNATURE,
    Code,
    Deallocate,
    Execute,
    Prepare,
    Reply,
    SessionState,
    SetValue,
    Statement,
    Write,
)

MAX_VALUES = 256
MAX_PREPARED = 1024


@dataclass(slots=True)
class Pin:
    """The connection that a transaction runs on, lent by `lender`."""

    lent: Lent
    lender: Lender
    placement: Placement


@dataclass(slots=True)
class Transaction:
    """An open transaction; it has no connection before its first statement."""

    route: Route
    is_read_only: bool
    need: ReadRequirement
    has_written: bool = False
    pin: Pin | None = None


@dataclass(slots=True)
class Session:
    """What belongs to one open connection of a caller.

    `committed` is the position of the session's last commit, by service.
    """

    database_name: str
    state: SessionState = SessionState.IDLE
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, Prepare] = field(default_factory=dict)
    committed: dict[str, Position] = field(default_factory=dict)
    transaction: Transaction | None = None
    position: Position | None = None

    def refuse(self, code: Code, text: str) -> Reply:
        """Return a refusal in the session's present state."""
        return Reply(self.state, code=code, text=text, position=self.position)

    def accept(self) -> Reply:
        """Return a success that no database was asked for."""
        return Reply(self.state, signature=PROXY_SIGNATURE, position=self.position)

    def keep(self, statement: SetValue | Prepare | Deallocate) -> Reply:
        """Take in a statement that only changes the session."""
        match statement:
            case SetValue(name, value):
                if len(self.values) >= MAX_VALUES and name not in self.values:
                    return self.refuse(Code.FAILED, f"more than {MAX_VALUES} values")
                self.values[name] = value
            case Prepare(name):
                if len(self.prepared) >= MAX_PREPARED and name not in self.prepared:
                    reason = f"more than {MAX_PREPARED} prepared statements"
                    return self.refuse(Code.FAILED, reason)
                self.prepared[name] = statement
            case Deallocate(name):
                if self.prepared.pop(name, None) is None:
                    return self.refuse(Code.NO_SUCH_STATEMENT, name)
        return self.accept()

    def is_write(self, statement: Statement) -> bool:
        """Tell whether a statement writes."""
        match statement:
            case Write():
                return True
            case Execute(name):
                return self.prepared[name].is_write
            case _:
                return False

    def commits(self, service: str, position: Position | None) -> None:
        """Take in a commit of the session's own."""
        if position is None:
            return
        last = self.committed.get(service)
        if last is None or position > last:
            self.committed[service] = position
