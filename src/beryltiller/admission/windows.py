"""The window: a limit on one proxy's statements in execution at one database.

Each answer carries the database's load. While statements wait inside the database, the
window shrinks in proportion to its size. While none wait there and the proxy has work
queued, it grows by equal steps. As the decrease is multiplicative and the increase
additive, proxies that share a database converge on equal windows, a single busy proxy
gets all slots, and statements queue at the proxies, where their order is decided.

A window below one is enforced by pacing: after each statement there is a pause, so that
a statement is in execution for only that fraction of the time.

>>> window = Window(AdaptiveLimit())
>>> load = Load(slots=3, executing=1)
>>> window.record_answer(load, sent=0.0, now=0.01, is_limited=True)
>>> window.size
1.2
"""

from dataclasses import dataclass

from beryltiller.core.ports import Load


@dataclass(frozen=True, slots=True)
class StaticLimit:
    """A fixed limit, such as the slots divided by the number of proxies."""

    limit: int


@dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """A limit that adapts to load by additive increase and multiplicative decrease.

    The window is counted in statements. `increase` is added over one round trip of
    answers. The window is multiplied by `decrease` when more than `target_waiting`
    statements wait in the database, and by `lost_decrease` when an answer is lost, in
    both cases at most once per round trip. The window never exceeds `slots_multiple`
    times the database's slots. With `spare_slots`, it also shrinks when fewer free
    slots than that would be left once the answered statement's slot is used again.
    """

    initial: float = 1.0
    minimum: float = 1.0
    slots_multiple: float = 2.0
    increase: float = 0.2
    decrease: float = 0.8
    lost_decrease: float = 0.5
    target_waiting: int = 0
    spare_slots: int = 0

    def is_saturated(self, load: Load) -> bool:
        """Return True if the load is so high that the window must shrink.

        The slot of the answered statement is free again and not counted in the load. A
        statement that is about to take it may still be counted as waiting.
        """
        busy = load.executing + load.waiting
        if busy > load.slots + self.target_waiting:
            return True
        return (
            0 < self.spare_slots < load.slots and busy >= load.slots - self.spare_slots
        )


LimitPolicy = StaticLimit | AdaptiveLimit


class Window:
    """The current limit, adapted to the load in each answer.

    The user passes the time and the load.
    """

    def __init__(self, policy: LimitPolicy | None = None) -> None:
        """Start at the policy's initial limit."""
        self._policy = policy or AdaptiveLimit()
        self._size = 1.0
        self._decreased_at = 0.0
        self._next_start = 0.0
        match self._policy:
            case StaticLimit(limit=limit):
                self._size = float(limit)
            case AdaptiveLimit(initial=initial):
                self._size = initial

    @property
    def size(self) -> float:
        """Return the limit before rounding and pacing."""
        return self._size

    @property
    def next_start(self) -> float:
        """Return the time before which a window below one allows no start."""
        return self._next_start

    @property
    def mean_limit(self) -> float:
        """Return the mean limit, with the pauses of pacing included."""
        return self._size if self._size < 1.0 else int(self._size)

    def limit(self, now: float) -> int:
        """Return the number of statements that may be in execution now."""
        if self._size >= 1.0:
            return int(self._size)
        return 1 if now >= self._next_start else 0

    def record_answer(
        self, load: Load, sent: float, now: float, is_limited: bool
    ) -> None:
        """Adapt the window to the load in an answer.

        `sent` is when the statement started. `is_limited` is True if work waits at this
        proxy; without waiting work the window does not grow.
        """
        match self._policy:
            case AdaptiveLimit() as policy if policy.is_saturated(load):
                self._shrink(policy, policy.decrease, sent, now)
            case AdaptiveLimit() as policy if is_limited:
                self._grow(policy, load.slots)
        self._pace(sent, now)

    def record_lost_answer(self, sent: float, now: float) -> None:
        """Shrink the window after a statement whose answer, with its load, was lost.

        The cause is a timeout or a lost connection.
        """
        match self._policy:
            case AdaptiveLimit() as policy:
                self._shrink(policy, policy.lost_decrease, sent, now)
        self._pace(sent, now)

    def _shrink(
        self, policy: AdaptiveLimit, factor: float, sent: float, now: float
    ) -> None:
        # An answer to a statement sent before the last decrease reports an older load.
        if sent < self._decreased_at:
            return
        self._decreased_at = now
        self._size = max(policy.minimum, self._size * factor)

    def _grow(self, policy: AdaptiveLimit, slots: int) -> None:
        # One round trip has `size` answers, also if `size` is below one.
        grown = self._size + policy.increase / self._size
        self._size = min(grown, max(1.0, slots * policy.slots_multiple))

    def _pace(self, sent: float, now: float) -> None:
        if self._size < 1.0:
            self._next_start = now + (now - sent) * (1.0 / self._size - 1.0)


@dataclass(frozen=True, slots=True)
class LimitsPolicy:
    """The policies for the two windows of `Limits`.

    `all_work` is that of the window of all statements, and `long_lane` that of the
    window of a lane of long statements.

    No further long statement starts within `hold_seconds` of an answer whose load was
    too high for the long lane. A hold lasts at most twice that time without an answer
    from the long lane, so that the other lane cannot starve it.
    """

    all_work: LimitPolicy = AdaptiveLimit()
    long_lane: AdaptiveLimit = AdaptiveLimit(minimum=0.25, spare_slots=1)
    hold_seconds: float = 0.5


class Limits:
    """The window of all statements, and one for a lane of long statements.

    The second window applies while the other lane is in use. It keeps a slot of the
    database free of long statements, whichever proxies use the other slots.
    """

    def __init__(self, policy: LimitsPolicy | None = None) -> None:
        """Start both windows at the initial limits of their policies."""
        self._policy = policy or LimitsPolicy()
        self._all_work = Window(self._policy.all_work)
        self._long_lane = Window(self._policy.long_lane)
        self._held_since: float | None = None
        self._hold_until = 0.0

    @property
    def all_work(self) -> Window:
        """Return the window of all statements, for reading."""
        return self._all_work

    @property
    def long_lane(self) -> Window:
        """Return the window of a lane of long statements, for reading."""
        return self._long_lane

    def long_limit(self, now: float) -> int:
        """Return the number of long-lane statements that may be in execution now."""
        return self._long_lane.limit(now) if now >= self._hold_until else 0

    def record_answer(
        self,
        load: Load,
        sent: float,
        now: float,
        is_limited: bool,
        leaves_reserve: bool,
    ) -> None:
        """Adapt the windows to the load in an answer.

        `sent` and `is_limited` are as in `Window.record_answer`. `leaves_reserve` is
        True if the statement's lane is long and must leave a slot to the other lane.
        """
        self._hold(load, now, leaves_reserve)
        self._all_work.record_answer(load, sent, now, is_limited)
        if leaves_reserve:
            self._long_lane.record_answer(load, sent, now, is_limited)

    def record_lost_answer(self, sent: float, now: float) -> None:
        """Shrink the window of all statements after a lost answer."""
        self._all_work.record_lost_answer(sent, now)

    def _hold(self, load: Load, now: float, leaves_reserve: bool) -> None:
        """Start, extend or end the hold of the long lane, after an answer.

        The maximum length of a hold is counted anew from each answer of the long lane.
        """
        if not self._policy.long_lane.is_saturated(load):
            self._held_since = None
            self._hold_until = 0.0
            return
        if self._held_since is None or leaves_reserve:
            self._held_since = now
        hold_seconds = self._policy.hold_seconds
        latest = self._held_since + 2.0 * hold_seconds
        self._hold_until = min(now + hold_seconds, latest)

    def pause_seconds(self, now: float) -> float:
        """Return the shortest time in seconds after which a start may become possible.

        It is the rest of a pause of pacing or of a hold, and 0 if there is neither.
        """
        windows = (self._all_work, self._long_lane)
        pauses = [w.next_start - now for w in windows if w.size < 1.0]
        pauses.append(self._hold_until - now)
        return min((pause for pause in pauses if pause > 0.0), default=0.0)
