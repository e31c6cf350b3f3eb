"""Simulated time: one table of events, processes that may be frozen or dead, and their loops (docs/simulate.md).

The clock owns the time, the events and the run's one random generator, so that a seed names one history: whatever
draws a number or schedules an event does so in a fixed order. `Loop` is the twin of
ploverward.transport.event_loop.Loop; both have the interface of ploverward/transport/interfaces.py.
"""

from __future__ import annotations

import collections
import enum
import heapq
import random
import traceback
from collections.abc import Callable
from typing import Any
from typing import Protocol

from ploverward.transport import interfaces

WORKER_THREADS = 2  # threads of a process's pool
HANDOVER_S = 0.0002  # from a thread back to the loop
CLOCK_OFFSET_S = (100.0, 1000.0)  # between a process's clock and the simulated time


class EventKind(enum.IntEnum):
    """What an event is to its loop, in the order in which a loop handles what is due at once."""

    DELIVERY = 0
    COMMAND = 1
    TIMER = 2


class Event:
    """Something that happens at one moment. Also a loop's timer.

    Attributes:
        when: The moment, by the simulated time in seconds.
        order: A number that orders events of one moment.
        process: Where it happens; None: in the simulation itself.
        kind: What it is to the process's loop.
        callback: What happens.
        is_over: Whether it happened or was cancelled.
    """

    __slots__ = ("when", "order", "process", "kind", "callback", "is_over")

    def __init__(
        self, *, when: float, order: int, process: Process | None, kind: EventKind, callback: interfaces.Callback
    ) -> None:
        self.when = when
        self.order = order
        self.process = process
        self.kind = kind
        self.callback = callback
        self.is_over = False


class Clock:
    """The time of a run and what is to happen in it.

    Attributes:
        chance: The run's one random generator.
        time: Now, in seconds since the begin of the run.
        steps: How many events happened.
    """

    def __init__(self, *, seed: int) -> None:
        self.chance = random.Random(seed)
        self.time = 0.0
        self.steps = 0
        self._order = 0
        self._events: list[tuple[float, int, Event]] = []

    def schedule(
        self,
        *,
        when: float,
        callback: interfaces.Callback,
        process: Process | None = None,
        kind: EventKind = EventKind.TIMER,
    ) -> Event:
        """Has a callback called at a moment, not before now; returns the event."""
        self._order += 1
        event = Event(when=max(when, self.time), order=self._order, process=process, kind=kind, callback=callback)
        heapq.heappush(self._events, (event.when, event.order, event))
        return event

    def later(
        self,
        *,
        delay: float,
        callback: interfaces.Callback,
        process: Process | None = None,
        kind: EventKind = EventKind.TIMER,
    ) -> Event:
        """Has a callback called after so many seconds; returns the event."""
        return self.schedule(when=self.time + delay, callback=callback, process=process, kind=kind)

    def run(self, *, until: float) -> None:
        """Makes all events happen until a moment, which is the time afterwards."""
        events = self._events
        while events and events[0][0] <= until:
            when, _order, event = heapq.heappop(events)
            if event.is_over:
                continue
            self.time = when
            self.steps += 1
            if event.process is None:
                event.is_over = True
                event.callback()
            else:
                event.process.handle_event(event)
        self.time = until


class Process:
    """One life of a program. While it is frozen its events wait, and its clock goes on.

    Attributes:
        clock: The clock of the run.
        name: The host on which it runs.
        offset: What its own clock adds to the simulated time, in seconds; no two machines' clocks have a common zero.
        begun_at: When it was started, by the simulated time.
        is_alive: Whether it was not ended yet.
        is_frozen: Whether its events wait.
    """

    def __init__(self, *, clock: Clock, name: str, on_failure: Callable[[Process, str], object]) -> None:
        """Starts a process; `on_failure(process, traceback)` hears of each exception in one of its steps."""
        self.clock = clock
        self.name = name
        self.offset = clock.chance.uniform(*CLOCK_OFFSET_S)
        self.begun_at = clock.time
        self.is_alive = True
        self.is_frozen = False
        self._deferred: list[Event] = []
        self._on_failure = on_failure

    def handle_event(self, event: Event) -> None:
        """Handles an event that is due; drops it where the process ended."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._deferred.append(event)
            return
        event.is_over = True
        self.guard(event.callback)

    def guard(self, callback: interfaces.Callback) -> None:
        """Runs one step of the process; an exception is reported, not raised."""
        try:
            callback()
        except Exception:  # a step that raises is a finding, whatever it raises
            self._on_failure(self, traceback.format_exc())

    def thaw(self) -> None:
        """Handles all that is due at once, in the order of a loop's step: data from sockets, commands, timers."""
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for event in sorted(deferred, key=lambda event: (event.kind, event.when, event.order)):
            if not event.is_over:
                self.handle_event(event)

    def end(self) -> None:
        """Ends the process: none of its events happens any more."""
        self.is_alive = False
        self._deferred = []


class Outcome:
    """What became of work on a thread, with the two methods of a future that are used."""

    def __init__(self, *, result: object = None, error: BaseException | None = None) -> None:
        self._result = result
        self._error = error

    def exception(self) -> BaseException | None:
        """Returns what the work raised, or None."""
        return self._error

    def result(self) -> Any:  # noqa: ANN401  # whatever the work returned
        """Returns what the work returned; raises what it raised."""
        if self._error is not None:
            raise self._error
        return self._result


class BatchDisk(Protocol):
    """A disk that says how long the accesses of one batch of work take."""

    def finish_batch(self) -> float:
        """Ends a batch; returns its duration in seconds."""


class Loop:
    """The event loop of a process in simulated time. `run` returns at once: the clock makes the events happen."""

    def __init__(self, *, process: Process, on_stop: interfaces.Callback, disk: BatchDisk | None = None) -> None:
        """Makes the loop of a process.

        Args:
            process: The process.
            on_stop: Called when the program stops its loop.
            disk: The disk that work on threads may use; its accesses make the work take time.
        """
        self._process = process
        self._clock = process.clock
        self._on_stop = on_stop
        self._disk = disk
        self._waiting: collections.deque[tuple[Callable[[], object], Callable[[interfaces.Outcome], object]]] = (
            collections.deque()
        )
        self._busy = 0

    def now(self) -> float:
        """Returns the process's own clock, in seconds."""
        return self._clock.time + self._process.offset

    def call_soon_threadsafe(self, *, callback: interfaces.Callback) -> None:
        """Has a callback called soon."""
        self._clock.later(delay=0.0, callback=callback, process=self._process, kind=EventKind.COMMAND)

    def at(self, *, when: float, callback: interfaces.Callback) -> Event:
        """Has a callback called at a time of `now`."""
        return self._clock.schedule(when=when - self._process.offset, callback=callback, process=self._process)

    def after(self, *, delay: float, callback: interfaces.Callback) -> Event:
        """Has a callback called after so many seconds."""
        return self._clock.later(delay=delay, callback=callback, process=self._process)

    def every(self, *, interval_s: float, callback: interfaces.Callback) -> None:
        """Has a callback called again and again, also where one call raised."""

        def tick() -> None:
            self.after(delay=interval_s, callback=tick)
            callback()

        self.after(delay=interval_s, callback=tick)

    def cancel(self, *, timer: interfaces.Timer | None) -> None:
        """Takes a call back; does nothing where it was made already, or for None."""
        if timer is not None:
            timer.is_over = True

    def offload(self, *, work: Callable[[], object], done: Callable[[interfaces.Outcome], object]) -> None:
        """Runs `work` as on another thread, then `done(outcome)` on the loop."""
        self._waiting.append((work, done))
        self._start_work()

    def _start_work(self) -> None:
        if self._busy >= WORKER_THREADS or not self._waiting:
            return
        work, done = self._waiting.popleft()
        self._busy += 1
        try:
            outcome = Outcome(result=work())
        except Exception as error:  # handed over as a pool does
            outcome = Outcome(error=error)
        took_s = self._disk.finish_batch() if self._disk is not None else 0.0

        def ended() -> None:
            self._busy -= 1
            self._start_work()
            done(outcome)

        self._clock.later(delay=took_s + HANDOVER_S, callback=ended, process=self._process, kind=EventKind.COMMAND)

    def stop(self) -> None:
        """Ends the program."""
        self._on_stop()

    def run(self) -> None:
        """Does nothing: the clock makes what is due happen."""
