"""Actors that run decisions, the event loop that does their I/O, and a supervisor.

A part is a decision function with its state and the code that performs its actions.
Its actor owns the state: every event is a message, and events are decided one after
the other. Actions are performed on the one event loop, whose results come back as
further events, so that a slow request never holds up a decision.
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
    """Join a decision with what performs its actions.

    `first` returns the state to begin with; `perform` runs on the event loop and
    returns the event that an action leads to, if any.
    """

    name: str
    tick_seconds: float
    tick: EventT
    first: Callable[[float], StateT]
    decide: Callable[[StateT, EventT, float], tuple[StateT, tuple[ActionT, ...]]]
    perform: Callable[[ActionT], Coroutine[Any, Any, EventT | None]]


class EventLoop:
    """Run an asyncio event loop in a thread of its own."""

    def __init__(self) -> None:
        """Start the thread."""
        self._loop = asyncio.new_event_loop()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._thread = threading.Thread(target=self._run, name="event-loop")
        self._thread.start()

    def submit(self, work: Coroutine[Any, Any, Any]) -> Future[Any]:
        """Run a coroutine on the loop and return its future."""
        return asyncio.run_coroutine_threadsafe(work, self._loop)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine on the loop without waiting for it."""
        self._loop.call_soon_threadsafe(self._spawn, work)

    def call(self, function: Callable[..., object], *arguments: object) -> None:
        """Call a function on the loop."""
        self._loop.call_soon_threadsafe(function, *arguments)

    def every(self, seconds: float, function: Callable[[], object]) -> "Repeated":
        """Call a function on the loop at an interval until the result is cancelled."""
        repeated = Repeated(self._loop, seconds, function)
        self.call(repeated.start)
        return repeated

    def close(self) -> None:
        """Cancel what runs, and end the thread."""
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


class Repeated:
    """Call a function at an interval; the next call is set before each one."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        seconds: float,
        function: Callable[[], object],
    ) -> None:
        """Wait for `start`."""
        self._loop = loop
        self._seconds = seconds
        self._function = function
        self._timer: asyncio.TimerHandle | None = None
        self._is_cancelled = False

    def start(self) -> None:
        """Set the first call; on the loop's thread."""
        if self._is_cancelled:
            return
        self._timer = self._loop.call_later(self._seconds, self._call)

    def cancel(self) -> None:
        """Call no more; on any thread."""
        self._is_cancelled = True

    def _call(self) -> None:
        if self._is_cancelled:
            return
        self.start()
        self._function()


class DecisionActor(pykka.ThreadingActor, Generic[StateT, EventT, ActionT]):
    """Own the state of one part and decide each event that it is told."""

    def __init__(
        self,
        part: Part[StateT, EventT, ActionT],
        loop: EventLoop,
        on_failure: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Take the part's first state."""
        super().__init__()
        self._part = part
        self._loop = loop
        self._clock = clock
        self._on_failure = on_failure
        self._state = part.first(clock())
        self._ticks: Repeated | None = None

    def on_start(self) -> None:
        """Begin to tick."""
        tick = self._part.tick
        self._ticks = self._loop.every(
            self._part.tick_seconds, lambda: self._tell(tick)
        )

    def on_stop(self) -> None:
        """Tick no more."""
        if self._ticks:
            self._ticks.cancel()

    def on_failure(self, *details: object) -> None:
        """Hand the failure to the supervisor."""
        self.on_stop()
        _logger.error("%s failed: %r", self._part.name, details[1])
        self._on_failure(self._part.name)

    def on_receive(self, message: EventT) -> None:
        """Decide one event and set its actions going."""
        self._state, actions = self._part.decide(self._state, message, self._clock())
        for action in actions:
            self._loop.spawn(self._perform(action))

    async def _perform(self, action: ActionT) -> None:
        event = await self._part.perform(action)
        if event is not None:
            self._tell(event)

    def _tell(self, event: EventT) -> None:
        try:
            self.actor_ref.tell(event)
        except pykka.ActorDeadError:
            return


class Mailboxes:
    """Reach the actors of parts by name, on any thread."""

    def __init__(self) -> None:
        """Start with none."""
        self._actors: dict[str, pykka.ActorRef[Any]] = {}

    def put(self, name: str, actor: pykka.ActorRef[Any]) -> None:
        """Reach this actor by the name from now on."""
        self._actors[name] = actor

    def tell(self, name: str, event: object) -> None:
        """Tell an event; one for an actor that does not run is dropped."""
        actor = self._actors.get(name)
        if actor is None:
            return
        try:
            actor.tell(event)
        except pykka.ActorDeadError:
            return

    def stop_all(self) -> None:
        """Stop the actors, the last one first."""
        for actor in reversed(self._actors.values()):
            actor.stop()


@dataclass(frozen=True, slots=True)
class ChildFailed:
    """Tell the supervisor that a child has stopped by an error."""

    name: str


class Supervisor(pykka.ThreadingActor):
    """Start the actors of all parts, and start a failed one anew.

    A part that failed begins from its first state, as after a restart of the
    process. Past `MAX_RESTARTS` in `RESTART_PERIOD_SECONDS` the process is told to
    end, so that a fresh host can take its place.
    """

    def __init__(
        self,
        parts: tuple[Part[Any, Any, Any], ...],
        loop: EventLoop,
        mailboxes: Mailboxes,
        on_give_up: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Keep the parts; `on_start` starts them in order."""
        super().__init__()
        self._parts = {part.name: part for part in parts}
        self._loop = loop
        self._on_give_up = on_give_up
        self._clock = clock
        self._mailboxes = mailboxes
        self._restarts: list[float] = []

    def on_start(self) -> None:
        """Start every child."""
        for name in self._parts:
            self._start_child(name)

    def on_stop(self) -> None:
        """Stop the children, the last one first."""
        self._mailboxes.stop_all()

    def on_receive(self, message: object) -> None:
        """Start a failed child anew, or give up."""
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
            self._parts[name], self._loop, self._child_failed, self._clock
        )
        self._mailboxes.put(name, actor)

    def _child_failed(self, name: str) -> None:
        if self.actor_ref.is_alive():
            self.actor_ref.tell(ChildFailed(name))
