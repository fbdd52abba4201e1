"""Simulated databases and proxies of a cluster, and the writes of its callers."""

import itertools
from dataclasses import dataclass, field

from beryltiller.core.ports import EndpointStatus, Role
from beryltiller.core.position import History, Position, TermStart
from beryltiller.primaries import term_actions as actions
from beryltiller.primaries.evidence import Evidence
from beryltiller.primaries.terms_state import TermsState

Entry = tuple[int, int]


@dataclass
class FakeDatabase:
    """A simulated database with a log of (term, number) entries.

    It refuses requests in terms below the one that it has accepted.
    """

    name: str
    accepted_term: int = 0
    role: Role = Role.REPLICA
    following: str = ""
    log: tuple[Entry, ...] = ()
    is_up: bool = True
    is_frozen: bool = False

    def status(self) -> EndpointStatus:
        terms = [term for term, _ in self.log]
        starts = [
            TermStart(term, terms.index(term) + 1) for term in dict.fromkeys(terms)
        ]
        last = Position(terms[-1] if terms else 0, len(terms))
        history = History(tuple(starts))
        return EndpointStatus(
            self.name,
            self.accepted_term,
            self.role,
            last,
            history,
            following=self.following,
        )

    def apply_request(self, action: actions.EndpointAction, peers: "Databases") -> bool:
        """Apply a proxy's request; return False if its term is refused."""
        if isinstance(action, actions.ProbeStatus):
            return True
        if action.term < self.accepted_term:
            return False
        match action:
            case actions.Fence(term=term) if term > self.accepted_term:
                self.accepted_term, self.role, self.following = term, Role.FENCED, ""
            case actions.Fence() if self.role is Role.REPLICA:
                self.role, self.following = Role.FENCED, ""
            case actions.Open(term=term):
                if self.accepted_term != term or self.role is Role.REPLICA:
                    return False
                self.role = Role.PRIMARY
            case actions.Follow(term=term, primary=primary):
                if self.role is Role.PRIMARY and term == self.accepted_term:
                    return False
                self.accepted_term, self.role = term, Role.REPLICA
                self.following = primary
                self.log = common_prefix(self.log, peers[primary].log)
        return True


Databases = dict[str, FakeDatabase]


def common_prefix(
    first: tuple[Entry, ...], second: tuple[Entry, ...]
) -> tuple[Entry, ...]:
    """Return the entries of two logs up to their first difference."""
    pairs = zip(first, second, strict=False)
    common = itertools.takewhile(lambda pair: pair[0] == pair[1], pairs)
    return tuple(entry for entry, _ in common)


@dataclass
class FakeProxy:
    """A simulated proxy: its state, and the evidence that its statements use."""

    state: TermsState
    published: Evidence = field(default_factory=Evidence)
    is_up: bool = True
    paused_until: float = 0.0


@dataclass(frozen=True)
class AcknowledgedWrite:
    """A write that a proxy acknowledged, on evidence or because two logs have it."""

    at: float
    entry: Entry
    by_two_logs: bool


@dataclass(frozen=True)
class UnacknowledgedWrite:
    """A write that a primary has answered and no proxy has acknowledged yet.

    With `needs_two_logs` it is acknowledged by the two-log check alone.
    """

    entry: Entry
    position: Position
    needs_two_logs: bool
    deadline: float
