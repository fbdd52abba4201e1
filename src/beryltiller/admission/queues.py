"""Admission queue of one database: the order of statements, and early refusals.

Callers are served by start-time fair queueing: each has an account of the service it
received, in seconds, and the caller with the least service is served next. An account
is charged with the estimated service time at the grant and corrected by the measured
one afterwards. This is deficit round robin with an infinitely small quantum: a caller
of short reads does not wait for a full round of other callers' long writes. The virtual
time is the highest service that a caller had when it was granted a ticket. A caller
that had no ticket waiting is raised to it by its next ticket, so that it gains no extra
turns from the time in which it asked for nothing.

Within a caller and lane the ticket with the earliest deadline is served first, but a
deadline later than `ageing_seconds` after the arrival counts as that time. A ticket can
therefore be overtaken only by those that arrive within `ageing_seconds`. Between the
lanes of one caller, the lane with less service is served first.

If the statements of one lane are long, a reserve limits that lane while the other lane
is in use or was recently. The long lane may then fill neither the last free place
within the limit on statements in execution nor more places than its own limit.

>>> from beryltiller.core.outcome import Kind
>>> queue = AdmissionQueue()
>>> queue.offer(Ticket("r1", "shop", Kind.READ, 5.0), now=0.0, limit=1)
>>> grant = queue.take(now=0.0, limit=1)
>>> queue.finish(grant, now=0.004, service_seconds=0.004)
"""

from dataclasses import dataclass
from itertools import count
from math import inf

from beryltiller.admission.accounts import Account, Entry, ServiceOrder
from beryltiller.admission.estimates import ServiceEstimates
from beryltiller.admission.tickets import (
    LANES,
    Cause,
    Drop,
    Grant,
    Lane,
    Rejection,
    Ticket,
)

# The lowest limit on statements in execution by which a wait is estimated.
_MIN_LIMIT = 0.1


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """The settings of an admission queue.

    `max_waiting` limits the tickets of all callers, and `max_idle_callers` the accounts
    kept for callers without tickets. `ageing_seconds` limits the effect of a late
    deadline. `long_seconds` is the mean service time from which the reserve limits a
    lane, and `reserve_memory_seconds` is the time for which the reserve is kept after
    the other lane was last used. `smoothing` is the weight of each new measurement of
    service time. While nothing is in execution, measurements older than
    `measure_seconds` cause no refusal.
    """

    max_waiting: int = 1024
    max_idle_callers: int = 1024
    ageing_seconds: float = 2.0
    long_seconds: float = 0.05
    reserve_memory_seconds: float = 10.0
    initial_service_seconds: float = 0.005
    smoothing: float = 0.1
    measure_seconds: float = 0.1


class AdmissionQueue:
    """A queue of the statements that wait for one database.

    The user passes the time and the current `limit` on statements in execution. The
    queue does no I/O. Each grant must be ended by `finish`.
    """

    def __init__(self, policy: QueuePolicy | None = None) -> None:
        """Start empty."""
        self._policy = policy or QueuePolicy()
        self._estimates = ServiceEstimates(
            self._policy.initial_service_seconds, self._policy.smoothing
        )
        self._accounts: dict[str, Account[Ticket]] = {}
        self._entries: dict[str, Entry[Ticket]] = {}
        self._order = tuple(ServiceOrder[Ticket](lane) for lane in Lane)
        self._lane_waiting = [0, 0]
        self._executing = [0, 0]
        self._last_used = [-inf, -inf]
        self._measured_at = -inf
        self._backlog = 0.0
        self._active_callers = 0
        self._virtual_time = 0.0
        self._grants = 0
        self._sequence = count(1)

    @property
    def waiting(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._entries)

    @property
    def executing(self) -> int:
        """Return the number of grants that are not finished."""
        return self._executing[0] + self._executing[1]

    @property
    def is_empty(self) -> bool:
        """Return True if no ticket is waiting or in execution."""
        return not self._entries and not self.executing

    @property
    def estimates(self) -> ServiceEstimates:
        """Return the estimates of service times, for reading."""
        return self._estimates

    def offer(self, ticket: Ticket, now: float, limit: float) -> Rejection | None:
        """Queue a ticket, or return the reason why it is refused at once.

        `limit` is the mean number of statements in execution while others wait.
        """
        if ticket.request_id in self._entries:
            return Rejection(Cause.ALREADY_WAITING)
        account = self._account(ticket.caller)
        order = min(ticket.deadline, now + self._policy.ageing_seconds)
        cost = self._estimates.mean_of_kind(ticket.kind)
        entry = Entry(ticket, now, self._grants, order, cost, account)
        rejection = self._rejection(entry, limit)
        if rejection is None:
            self._add(entry)
        self._remove_idle_accounts()
        return rejection

    def take(
        self, now: float, limit: int, long_limit: int | None = None
    ) -> Grant | Drop | None:
        """Return the next ticket to run or to refuse, or None if none may run now.

        `long_limit` limits a lane of long statements while the other lane is in use.
        Call it again until it returns None, even after a `Drop`: a refused ticket uses
        no place.
        """
        if not self._entries or self.executing >= limit:
            return None
        long_limit = limit if long_limit is None else long_limit
        held_back = self._held_back_lane(now, min(long_limit, max(limit - 1, 1)))
        entry = self._next_entry(held_back)
        if entry is None:
            return None
        self._remove(entry)
        if self._is_too_late(entry, now):
            rejection = Rejection(Cause.DEADLINE_UNREACHABLE, now - entry.arrived)
            return Drop(entry.ticket, entry.arrived, rejection)
        return self._grant(entry, now, held_back)

    def finish(self, grant: Grant, now: float, service_seconds: float | None) -> None:
        """Free a grant's place; `service_seconds` is None if it was not measured."""
        self._executing[grant.lane] -= 1
        self._last_used[grant.lane] = now
        account = self._accounts[grant.ticket.caller]
        account.executing -= 1
        if service_seconds is not None:
            self._estimates.record(grant.ticket.kind, service_seconds)
            self._measured_at = now
            account.correction += service_seconds - grant.cost

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting ticket; return False if it was not waiting."""
        entry = self._entries.get(request_id)
        if entry is None:
            return False
        self._remove(entry)
        return True

    def admit_pinned(self, ticket: Ticket, now: float) -> Grant:
        """Grant a statement of an open transaction at once, regardless of the limit.

        The transaction holds a connection that others wait for, so if it waited behind
        them there would be a deadlock. It is charged to its caller like any other.
        """
        account = self._account(ticket.caller)
        if not account.total_waiting:
            account.service = max(account.service, self._virtual_time)
        cost = self._estimates.mean_of_kind(ticket.kind)
        entry = Entry(ticket, now, self._grants, ticket.deadline, cost, account)
        self._last_used[LANES[ticket.kind]] = now
        return self._grant(entry, now, None, is_pinned=True)

    def refuse_all(self, cause: Cause) -> list[Drop]:
        """Remove all waiting tickets, and return their refusals."""
        entries = list(self._entries.values())
        for entry in entries:
            self._remove(entry)
        rejection = Rejection(cause)
        return [Drop(entry.ticket, entry.arrived, rejection) for entry in entries]

    def _account(self, caller: str) -> Account[Ticket]:
        account = self._accounts.get(caller)
        if account is None:
            account = Account(caller, next(self._sequence), self._virtual_time)
            self._accounts[caller] = account
        return account

    def _rejection(self, entry: Entry[Ticket], limit: float) -> Rejection | None:
        if entry.ticket.deadline <= entry.arrived:
            return Rejection(Cause.DEADLINE_PASSED)
        # A caller may have at most as many tickets as the queue has room for. If n
        # callers overflow the queue, each fills 1 / (n + 1) of it, and the last such
        # part stays free for a new caller.
        free = self._policy.max_waiting - len(self._entries)
        if entry.account.total_waiting >= free:
            return Rejection(Cause.QUEUE_FULL)
        if self._lacks_recent_estimates(entry.arrived):
            return None
        wait = self._estimated_service_before(entry) / max(limit, _MIN_LIMIT)
        upper_bound = self._estimates.upper_bound(entry.ticket.kind)
        if entry.arrived + wait + upper_bound <= entry.ticket.deadline:
            return None
        return Rejection(Cause.DEADLINE_UNREACHABLE, wait)

    def _estimated_service_before(self, entry: Entry[Ticket]) -> float:
        """Return the estimated service in seconds that is granted before an entry."""
        account = entry.account
        head = account.head(LANES[entry.ticket.kind])
        is_first = head is None or entry.order < head.order
        own = 0.0 if is_first else account.backlog
        active = self._active_callers + (not account.total_waiting)
        return min(self._backlog, (own + entry.cost / 2) * active)

    def _add(self, entry: Entry[Ticket]) -> None:
        account = entry.account
        lane = LANES[entry.ticket.kind]
        if not account.total_waiting:
            self._active_callers += 1
            account.service = max(account.service, self._virtual_time)
        account.add(entry, lane, next(self._sequence))
        self._entries[entry.ticket.request_id] = entry
        self._backlog += entry.cost
        self._lane_waiting[lane] += 1
        self._last_used[lane] = entry.arrived
        self._order[lane].add(account)

    def _remove(self, entry: Entry[Ticket]) -> None:
        lane = LANES[entry.ticket.kind]
        del self._entries[entry.ticket.request_id]
        entry.account.remove(entry, lane)
        self._backlog = self._backlog - entry.cost if self._entries else 0.0
        self._lane_waiting[lane] -= 1
        if not entry.account.total_waiting:
            self._active_callers -= 1

    def leaves_reserve(self, lane: Lane, now: float) -> bool:
        """Return True if a lane is long and the other one is in use or was recently.

        The reserve then limits the lane, so that it leaves a place to the other one.
        """
        if self._estimates.mean_of_lane(lane) < self._policy.long_seconds:
            return False
        idle_seconds = now - self._last_used[lane.other]
        is_used = idle_seconds < self._policy.reserve_memory_seconds
        return is_used or self._lane_waiting[lane.other] > 0

    def _held_back_lane(self, now: float, long_limit: int) -> Lane | None:
        """Return the lane in which the reserve allows no further grant, or None."""
        reads, writes = self._executing
        fuller, other = Lane.WRITES, Lane.READS
        if reads > writes:
            fuller, other = other, fuller
        for lane in (fuller, other):
            if self._executing[lane] >= long_limit and self.leaves_reserve(lane, now):
                return lane
        return None

    def _next_entry(self, held_back: Lane | None) -> Entry[Ticket] | None:
        """Return the first entry of the least served caller, or None.

        Entries of the lane that is held back are left out.
        """
        reads = (
            None if held_back is Lane.READS else self._order[Lane.READS].least_served()
        )
        writes = (
            None
            if held_back is Lane.WRITES
            else self._order[Lane.WRITES].least_served()
        )
        if reads is None:
            return writes.head(Lane.WRITES) if writes else None
        if writes is None:
            return reads.head(Lane.READS)
        if reads is writes:
            return reads.head(Lane.READS if reads.reads_ahead <= 0.0 else Lane.WRITES)
        if (reads.service, reads.number) < (writes.service, writes.number):
            return reads.head(Lane.READS)
        return writes.head(Lane.WRITES)

    def _lacks_recent_estimates(self, now: float) -> bool:
        """Return True if the estimates are too old to justify a refusal.

        They count while a statement is in execution, since its end renews them.
        """
        age_seconds = now - self._measured_at
        return not self.executing and age_seconds >= self._policy.measure_seconds

    def _is_too_late(self, entry: Entry[Ticket], now: float) -> bool:
        if self._lacks_recent_estimates(now):
            return entry.ticket.deadline <= now
        # In overload the earliest deadlines are those about to pass. If only the mean
        # service time had to fit before the deadline, many granted statements would
        # miss it, and their answers would be of no use.
        upper_bound = self._estimates.upper_bound(entry.ticket.kind)
        return now + upper_bound > entry.ticket.deadline

    def _grant(
        self,
        entry: Entry[Ticket],
        now: float,
        held_back: Lane | None,
        is_pinned: bool = False,
    ) -> Grant:
        account = entry.account
        lane = LANES[entry.ticket.kind]
        self._grants += 1
        grant = Grant(
            ticket=entry.ticket,
            arrived=entry.arrived,
            granted=now,
            number=self._grants,
            grants_at_arrival=entry.grants_at_arrival,
            order=entry.order,
            service=account.service,
            cost=entry.cost,
            held_back=held_back,
            is_pinned=is_pinned,
        )
        self._virtual_time = max(self._virtual_time, account.service)
        account.charge(entry.cost, lane)
        account.executing += 1
        self._executing[lane] += 1
        return grant

    def _remove_idle_accounts(self) -> None:
        """Remove the accounts of idle callers once there are too many."""
        limit = self._policy.max_idle_callers
        if len(self._accounts) <= limit + self._active_callers + self.executing:
            return
        accounts = self._accounts.items()
        self._accounts = {c: a for c, a in accounts if not a.is_idle}
