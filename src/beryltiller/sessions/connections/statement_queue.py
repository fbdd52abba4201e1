"""Decide in which order statements are sent to one database, and which cannot be.

Statements of open transactions go first. The others are ordered by the priority of
their route, then by that of their organisation. Organisations of the same priority
share by start-time fair queueing, as in `admission.queues`: the one that has received
the least service, in seconds of work, is next. Within an organisation, the statement
with the least time left is next.

One of `TURN_INTERVAL` admissions goes to the statement of another priority that has
waited for longest, so that no priority is starved.

A statement is refused on arrival if the work ahead of it, by this order, takes longer
than it may wait. This module does no I/O; callers pass the time in.

>>> queue = StatementQueue(limit=1)
>>> first = queue.admit_at_once(StatementTicket(priority=1, deadline=1.0))
>>> second = queue.offer(StatementTicket(priority=1, deadline=1.0), now=0.0)
>>> queue.take() is None
True
>>> queue.finish(first, service_seconds=0.01)
>>> queue.take() is second
True
"""

from collections import OrderedDict
from dataclasses import dataclass
from itertools import count

from beryltiller.admission.accounts import Account, Entry, ServiceOrder
from beryltiller.admission.tickets import Lane
from beryltiller.sessions.organisations import DEFAULT_PRIORITY, NO_ORGANISATION

# One in this many admissions goes to the longest waiting of another priority.
TURN_INTERVAL = 10
# Statements of open transactions are sent before all others: the work that their
# transactions have done so far is lost if they are not run in time.
OPEN_TRANSACTION_PRIORITY = -1
# Accounts without tickets are forgotten beyond this number; they are created again
# with the service that puts them at the end of their turn.
MAX_IDLE_ACCOUNTS = 1024
# Reads and writes of an organisation are ordered together.
_LANE = Lane.READS


@dataclass(frozen=True, slots=True)
class StatementTicket:
    """A request to send a statement to a database.

    Priority 0 is the highest. `deadline` is the latest time at which it is of use to
    admit the statement. `work_seconds` is for how long it is expected to be in
    execution, and 0 if nothing is known.
    """

    priority: int
    deadline: float
    work_seconds: float = 0.0
    organisation: str = NO_ORGANISATION
    organisation_priority: int = DEFAULT_PRIORITY

    @property
    def level(self) -> tuple[int, int]:
        """Return the sort key of the priorities."""
        return self.priority, self.organisation_priority


@dataclass(frozen=True, slots=True)
class DeadlineUnreachable:
    """The refusal of a ticket whose deadline passes before its turn.

    `wait_seconds` is the expected wait, and `left_seconds` the one that it allows.
    """

    wait_seconds: float
    left_seconds: float


QueueEntry = Entry[StatementTicket]


class _Level:
    """The accounts and waiting tickets of one pair of priorities."""

    def __init__(self) -> None:
        self.accounts: dict[str, Account[StatementTicket]] = {}
        self.order = ServiceOrder[StatementTicket](_LANE)
        self.waiting: OrderedDict[QueueEntry, None] = OrderedDict()
        self.virtual_time = 0.0
        self.backlog = 0.0
        self.active_accounts = 0

    def account(self, organisation: str, number: int) -> Account[StatementTicket]:
        """Return an organisation's account, creating it if necessary."""
        account = self.accounts.get(organisation)
        if account is None:
            self._forget_idle_accounts()
            account = Account(organisation, number, self.virtual_time)
            self.accounts[organisation] = account
        elif not account.total_waiting:
            # No turns are gained by the time in which nothing was asked for.
            account.service = max(account.service, self.virtual_time)
        return account

    def work_before(self, entry: QueueEntry) -> float:
        """Return the estimated work that is admitted before a new entry, in seconds."""
        account = entry.account
        own = account.work_before(entry.order, _LANE)
        active = self.active_accounts + (not account.total_waiting)
        if active == 1:
            return own
        return min(self.backlog, (own + entry.cost / 2) * active)

    def add(self, entry: QueueEntry, number: int) -> None:
        """Add a waiting entry."""
        self.active_accounts += not entry.account.total_waiting
        entry.account.add(entry, _LANE, number)
        self.order.add(entry.account)
        self.waiting[entry] = None
        self.backlog += entry.cost

    def remove(self, entry: QueueEntry) -> None:
        """Remove a waiting entry."""
        del self.waiting[entry]
        entry.account.remove(entry, _LANE)
        self.active_accounts -= not entry.account.total_waiting
        self.backlog = self.backlog - entry.cost if self.waiting else 0.0

    def charge(self, entry: QueueEntry) -> None:
        """Charge the organisation of an admitted entry with its expected work."""
        account = entry.account
        self.virtual_time = max(self.virtual_time, account.service)
        account.charge(entry.cost, _LANE)
        account.executing += 1

    def _forget_idle_accounts(self) -> None:
        if len(self.accounts) >= MAX_IDLE_ACCOUNTS + 2 * self.active_accounts:
            items = self.accounts.items()
            self.accounts = {name: each for name, each in items if not each.is_idle}


class StatementQueue:
    """The statements that wait for one database, and those in execution.

    Each admission must be ended by `finish`.
    """

    def __init__(self, limit: int) -> None:
        """Admit at most `limit` statements at a time."""
        self._limit = limit
        self._levels: dict[tuple[int, int], _Level] = {}
        self._numbers = count()
        self._since_turn = 0
        self._waiting = 0
        self._in_use = 0

    @property
    def waiting(self) -> int:
        """Return the number of waiting tickets."""
        return self._waiting

    @property
    def in_use(self) -> int:
        """Return the number of admitted statements that are not finished."""
        return self._in_use

    def admit_at_once(self, ticket: StatementTicket) -> QueueEntry | None:
        """Admit a ticket, or return None if there is no place or others wait."""
        if self._in_use >= self._limit or self._waiting:
            return None
        level = self._level(ticket)
        return self._admit(level, self._entry(level, ticket, 0.0))

    def offer(
        self, ticket: StatementTicket, now: float
    ) -> QueueEntry | DeadlineUnreachable:
        """Queue a ticket, unless it is not expected to be admitted in time.

        Nothing is refused while no statement is in execution, as only the end of one
        corrects an estimate. The statements of open transactions are not refused by an
        estimate: a wrong one would cost the work done so far.
        """
        level = self._level(ticket)
        entry = self._entry(level, ticket, now)
        if self._in_use and ticket.priority > OPEN_TRANSACTION_PRIORITY:
            wait, left = self._expected_wait(entry), ticket.deadline - now
            if wait > left:
                return DeadlineUnreachable(wait, left)
        level.add(entry, next(self._numbers))
        self._waiting += 1
        return entry

    def take(self) -> QueueEntry | None:
        """Admit the next waiting ticket, or return None if none may run now."""
        if not self._waiting or self._in_use >= self._limit:
            return None
        first = min(key for key, level in self._levels.items() if level.waiting)
        level = self._levels[first]
        entry = None
        if self._waiting > len(level.waiting):
            self._since_turn += 1
            if self._since_turn >= TURN_INTERVAL:
                self._since_turn = 0
                entry = self._longest_waiting(beside=level)
        if entry is None:
            account = level.order.least_served()
            assert account is not None
            entry = account.head(_LANE)
        assert entry is not None
        self.remove(entry)
        return self._admit(self._level(entry.ticket), entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a waiting entry."""
        self._level(entry.ticket).remove(entry)
        self._waiting -= 1

    def finish(self, entry: QueueEntry, service_seconds: float) -> None:
        """End an admission that has taken a time, and correct the account by it."""
        self._in_use -= 1
        entry.account.executing -= 1
        entry.account.correction += service_seconds - entry.cost

    def _level(self, ticket: StatementTicket) -> _Level:
        level = self._levels.get(ticket.level)
        if level is None:
            level = self._levels[ticket.level] = _Level()
        return level

    def _entry(self, level: _Level, ticket: StatementTicket, now: float) -> QueueEntry:
        account = level.account(ticket.organisation, next(self._numbers))
        cost = ticket.work_seconds
        return Entry(ticket, now, 0, ticket.deadline, cost, account)

    def _admit(self, level: _Level, entry: QueueEntry) -> QueueEntry:
        level.charge(entry)
        self._in_use += 1
        return entry

    def _longest_waiting(self, beside: _Level) -> QueueEntry:
        heads = (
            next(iter(level.waiting))
            for level in self._levels.values()
            if level is not beside and level.waiting
        )
        return min(heads, key=lambda entry: entry.arrived)

    def _expected_wait(self, entry: QueueEntry) -> float:
        """Return the expected wait of a new entry in seconds.

        It is admitted in the order of priorities or by a turn of its own, whichever is
        earlier.
        """
        key = entry.ticket.level
        higher = [each for at, each in self._levels.items() if at < key]
        work = sum(each.backlog for each in higher)
        work += self._levels[key].work_before(entry)
        if any(each.waiting for each in higher):
            first = min(at for at, each in self._levels.items() if each.waiting)
            before = self._waiting - len(self._levels[first].waiting)
            mean = sum(each.backlog for each in self._levels.values()) / self._waiting
            work = min(work, (before + 1) * TURN_INTERVAL * mean)
        return work / self._limit
