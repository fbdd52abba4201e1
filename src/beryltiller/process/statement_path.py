"""The objects of a proxy that serve statements."""

from dataclasses import dataclass

from beryltiller.consistency.session import Planner
from beryltiller.dispatching.database_observer import DatabaseObserver
from beryltiller.dispatching.databases import Databases
from beryltiller.dispatching.statement_runner import StatementRunner
from beryltiller.dispatching.term_board import TermBoard
from beryltiller.process.proxy import Proxy


@dataclass(frozen=True, slots=True)
class StatementPath:
    """The objects that serve statements, which `Control` reconfigures."""

    planner: Planner
    board: TermBoard
    databases: Databases
    database_observer: DatabaseObserver
    statement_runner: StatementRunner
    proxy: Proxy
