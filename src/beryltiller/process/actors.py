"""Actors that run decision functions, the event loop for their I/O, and a supervisor.

A part is a decision function, its initial state and the code that performs its actions.
Its actor owns the state: every event is a message, and the actor processes events one
at a time. Actions run on the one event loop and their results return as further
events, so a slow request never delays a decision.
"""

import asyncio
import logging
import threading
import time
from collections.abc import Callable, Coroutine
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import pykka

MAX_RESTARTS = 5
RESTART_PERIOD_SECONDS = 60.0

_logger = logging.getLogger(__name__)

StateT = TypeVar("StateT")
EventT = TypeVar("EventT")
ActionT = TypeVar("ActionT")


@dataclass(frozen=True, slots=True)
class Part(Generic[StateT, EventT, ActionT]):
    """A decision function with the code that performs its actions.

    `initial_state` takes the time. `decide` takes the state, an event and the time, and
    returns the next state with the actions to perform; it receives the event `tick`
    every `tick_seconds`. `perform` runs on the event loop and returns the event that
    results from an action, or None.
    """

    name: str
    tick_seconds: float
    tick: EventT
    initial_state: Callable[[float], StateT]
    decide: Callable[[StateT, EventT, float], tuple[StateT, tuple[ActionT, ...]]]
    perform: Callable[[ActionT], Coroutine[Any, Any, EventT | None]]


class EventLoop:
    """An asyncio event loop that runs in its own thread."""

    def __init__(self) -> None:
        """Create the event loop and start its thread."""
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._thread = threading.Thread(target=self._run, name="event-loop")
        self._thread.start()

    def submit(self, work: Coroutine[Any, Any, Any]) -> Future[Any]:
        """Schedule a coroutine on the loop, from any thread, and return its future."""
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Schedule a coroutine, from any thread; its result is discarded."""
        self._loop.call_soon_threadsafe(self._spawn, work)

    def call(self, function: Callable[..., object], *arguments: object) -> None:
        """Schedule a call of a function on the loop, from any thread."""
        self._loop.call_soon_threadsafe(function, *arguments)

    def call_every(
        self, seconds: float, function: Callable[[], object]
    ) -> "PeriodicTimer":
        """Call a function on the loop periodically until the timer is cancelled.

        The first call is made after `seconds`.
        """
        timer = PeriodicTimer(self._loop, seconds, function)
        self.call(timer.start)
        return timer

    def close(self) -> None:
        """Cancel the spawned coroutines, stop the loop and join its thread."""
        self.submit(self._cancel_tasks()).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel_tasks(self) -> None:
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class PeriodicTimer:
    """A periodic timer that runs a function on the event loop.

    It schedules the next call before it makes the current one, so that an error in the
    function does not stop it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seconds: float,
        function: Callable[[], object],
    ) -> None:
        """Create the timer; `start` schedules the first call."""
        self._loop = loop
        self._seconds = seconds
        self._function = function
        self._timer: asyncio.TimerHandle | None = None
        self._is_cancelled = False

    def start(self) -> None:
        """Schedule the next call unless cancelled; call this on the loop's thread."""
        if self._is_cancelled:
            return
        self._timer = self._loop.call_later(self._seconds, self._call)

    def cancel(self) -> None:
        """Stop calling the function; may be called from any thread."""
        self._is_cancelled = True

    def _call(self) -> None:
        if self._is_cancelled:
            return
        self.start()
        self._function()


class DecisionActor(pykka.ThreadingActor, Generic[StateT, EventT, ActionT]):
    """An actor that owns the state of one part and decides each event it receives."""

    def __init__(
        self,
        part: Part[StateT, EventT, ActionT],
        loop: EventLoop,
        on_failure: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the actor with the part's initial state.

        `on_failure` is called with the part's name if a decision raises an error.
        """
        super().__init__()
        self._part = part
        self._loop = loop
        self._clock = clock
        self._on_failure = on_failure
        self._state = part.initial_state(clock())
        self._tick_timer: PeriodicTimer | None = None

    def on_start(self) -> None:
        """Start the periodic tick events."""
        tick = self._part.tick
        self._tick_timer = self._loop.call_every(
            self._part.tick_seconds, lambda: self._send_event(tick)
        )

    def on_stop(self) -> None:
        """Stop the periodic tick events."""
        if self._tick_timer:
            self._tick_timer.cancel()

    def on_failure(self, *details: object) -> None:
        """Log the error that ended this actor and call its `on_failure` callback."""
        self.on_stop()
        _logger.error("the actor of %s failed: %r", self._part.name, details[1])
        self._on_failure(self._part.name)

    def on_receive(self, message: EventT) -> None:
        """Decide one event and schedule the resulting actions on the event loop."""
        self._state, actions = self._part.decide(self._state, message, self._clock())
        for action in actions:
            self._loop.spawn(self._perform(action))

    async def _perform(self, action: ActionT) -> None:
        event = await self._part.perform(action)
        if event is not None:
            self._send_event(event)

    def _send_event(self, event: EventT) -> None:
        try:
            self.actor_ref.tell(event)
        except pykka.ActorDeadError:
            return


class Mailboxes:
    """The parts' actors by name; safe to use from any thread."""

    def __init__(self) -> None:
        """Create the collection without actors."""
        self._actors: dict[str, pykka.ActorRef[Any]] = {}

    def register(self, name: str, actor: pykka.ActorRef[Any]) -> None:
        """Add an actor, or replace the one that has this name."""
        self._actors[name] = actor

    def send(self, name: str, event: object) -> None:
        """Send an event to an actor; drop it if that actor is not running."""
        actor = self._actors.get(name)
        if actor is None:
            return
        try:
            actor.tell(event)
        except pykka.ActorDeadError:
            return

    def stop_all(self) -> None:
        """Stop the actors in the reverse order of their first start."""
        for actor in reversed(self._actors.values()):
            actor.stop()


@dataclass(frozen=True, slots=True)
class ChildFailed:
    """A message to the supervisor that the named part's actor stopped on an error."""

    name: str


class Supervisor(pykka.ThreadingActor):
    """An actor that starts the actors of all parts and restarts those that fail.

    A failed part restarts from its initial state, as after a restart of the process.
    After more than `MAX_RESTARTS` restarts within `RESTART_PERIOD_SECONDS` the
    supervisor calls `on_give_up` to end the process, so that this host can be replaced
    by a new one.
    """

    def __init__(
        self,
        parts: tuple[Part[Any, Any, Any], ...],
        loop: EventLoop,
        mailboxes: Mailboxes,
        on_give_up: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the supervisor; `on_start` starts the parts in the order given."""
        super().__init__()
        self._parts = {part.name: part for part in parts}
        self._loop = loop
        self._on_give_up = on_give_up
        self._clock = clock
        self._mailboxes = mailboxes
        self._restarts: list[float] = []

    def on_start(self) -> None:
        """Start the actor of every part."""
        for name in self._parts:
            self._start_child(name)

    def on_stop(self) -> None:
        """Stop all actors, in the reverse order of their first start."""
        self._mailboxes.stop_all()

    def on_receive(self, message: object) -> None:
        """Restart the part of a failed actor, or give up after too many restarts."""
        match message:
            case ChildFailed(name):
                self._restart(name)

    def _restart(self, name: str) -> None:
        now = self._clock()
        recent = [at for at in self._restarts if now - at < RESTART_PERIOD_SECONDS]
        self._restarts = [*recent, now]
        if len(self._restarts) > MAX_RESTARTS:
            self._on_give_up()
            return
        self._start_child(name)

    def _start_child(self, name: str) -> None:
        actor: pykka.ActorRef[Any] = DecisionActor.start(
            self._parts[name], self._loop, self._report_child_failure, self._clock
        )
        self._mailboxes.register(name, actor)

    def _report_child_failure(self, name: str) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(ChildFailed(name))
