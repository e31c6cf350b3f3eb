"""Simulated time: one event queue, processes that may be frozen or dead, and their event loops (docs/simulate.md).

The clock owns the time, the events and the only random generator of a run. Numbers are drawn and events are scheduled
in a fixed order, so that a seed always produces the same history. `Loop` is the simulated counterpart of
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

WORKER_THREADS = 2  # threads in the pool of each process
HANDOVER_S = 0.0002  # time until the result of a thread reaches the loop
CLOCK_OFFSET_S = (100.0, 1000.0)  # difference between a process's clock and the simulated time


class EventKind(enum.IntEnum):
    """The kind of an event, in the order in which a loop handles events that are due at the same time."""

    DELIVERY = 0
    COMMAND = 1
    TIMER = 2


class Event:
    """A callback scheduled for one moment; also serves as the timer of a loop.

    Attributes:
        when: The moment, in seconds of simulated time.
        order: Sequence number that orders the events of one moment.
        process: The process whose step it is; None for a step of the simulation itself.
        kind: Its kind for the loop of the process.
        callback: The function that is called.
        is_over: Whether the event was executed or cancelled.
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
    """The time of a run and its queue of scheduled events.

    Attributes:
        chance: The only random generator of the run.
        time: Current time, in seconds since the start of the run.
        steps: Number of executed events.
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
        """Schedules a callback for a moment, or for now if that moment has passed; returns the event."""
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
        """Schedules a callback after `delay` seconds; returns the event."""
        return self.schedule(when=self.time + delay, callback=callback, process=process, kind=kind)

    def run(self, *, until: float) -> None:
        """Executes all events up to the time `until`, and sets the time to it."""
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
    """One process of a program. While it is frozen, its events are deferred and its clock advances.

    Attributes:
        clock: The clock of the run.
        name: The host on which it runs.
        offset: Difference between its own clock and the simulated time, in seconds. Drawn for each process, because
            the clocks of different machines have no common zero.
        begun_at: Simulated time at which it was started.
        is_alive: Whether it has not ended yet.
        is_frozen: Whether its events are deferred.
    """

    def __init__(self, *, clock: Clock, name: str, on_failure: Callable[[Process, str], object]) -> None:
        """Starts a process; `on_failure(process, traceback)` is called for each exception in one of its steps."""
        self.clock = clock
        self.name = name
        self.offset = clock.chance.uniform(*CLOCK_OFFSET_S)
        self.begun_at = clock.time
        self.is_alive = True
        self.is_frozen = False
        self._deferred: list[Event] = []
        self._on_failure = on_failure

    def handle_event(self, event: Event) -> None:
        """Executes an event that is due, defers it if the process is frozen, or drops it if the process has ended."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._deferred.append(event)
            return
        event.is_over = True
        self.guard(event.callback)

    def guard(self, callback: interfaces.Callback) -> None:
        """Runs one step of the process; reports an exception to `on_failure` instead of raising it."""
        try:
            callback()
        except Exception:  # an exception of any type is a finding
            self._on_failure(self, traceback.format_exc())

    def thaw(self) -> None:
        """Resumes the process and executes the deferred events.

        They are executed in the order of one iteration of a loop: data from sockets, commands, timers.
        """
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for event in sorted(deferred, key=lambda event: (event.kind, event.when, event.order)):
            if not event.is_over:
                self.handle_event(event)

    def end(self) -> None:
        """Ends the process; none of its remaining events is executed."""
        self.is_alive = False
        self._deferred = []


class Outcome:
    """The result of work on a thread, with the two methods of a future that callers of `offload` need."""

    def __init__(self, *, result: object = None, error: BaseException | None = None) -> None:
        self._result = result
        self._error = error

    def exception(self) -> BaseException | None:
        """Returns the exception that the work raised, or None."""
        return self._error

    def result(self) -> Any:  # noqa: ANN401  # work may return any type
        """Returns the result of the work, or raises its exception."""
        if self._error is not None:
            raise self._error
        return self._result


class BatchDisk(Protocol):
    """A disk that reports how long the accesses of one batch of work take."""

    def finish_batch(self) -> float:
        """Ends the current batch and returns its duration in seconds."""


class Loop:
    """The event loop of a process in simulated time. `run` returns at once, because the clock executes the events."""

    def __init__(self, *, process: Process, on_stop: interfaces.Callback, disk: BatchDisk | None = None) -> None:
        """Creates the loop of a process.

        Args:
            process: The process.
            on_stop: Called when the program stops its loop.
            disk: The disk that work on threads accesses; the duration of the accesses delays the result of the work.
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
        """Returns the time of the process's own clock, in seconds."""
        return self._clock.time + self._process.offset

    def call_soon_threadsafe(self, *, callback: interfaces.Callback) -> None:
        """Schedules a callback for now, as a command."""
        self._clock.later(delay=0.0, callback=callback, process=self._process, kind=EventKind.COMMAND)

    def at(self, *, when: float, callback: interfaces.Callback) -> Event:
        """Schedules a callback for a time on the clock of `now`; returns the timer."""
        return self._clock.schedule(when=when - self._process.offset, callback=callback, process=self._process)

    def after(self, *, delay: float, callback: interfaces.Callback) -> Event:
        """Schedules a callback after `delay` seconds; returns the timer."""
        return self._clock.later(delay=delay, callback=callback, process=self._process)

    def every(self, *, interval_s: float, callback: interfaces.Callback) -> None:
        """Calls a callback every `interval_s` seconds, even after a call that raised an exception."""

        def tick() -> None:
            self.after(delay=interval_s, callback=tick)
            callback()

        self.after(delay=interval_s, callback=tick)

    def cancel(self, *, timer: interfaces.Timer | None) -> None:
        """Cancels a timer; does nothing if it has fired already or is None."""
        if timer is not None:
            timer.is_over = True

    def offload(self, *, work: Callable[[], object], done: Callable[[interfaces.Outcome], object]) -> None:
        """Simulates running `work` on a thread of the pool; calls `done(outcome)` on the loop afterwards."""
        self._waiting.append((work, done))
        self._start_work()

    def _start_work(self) -> None:
        if self._busy >= WORKER_THREADS or not self._waiting:
            return
        work, done = self._waiting.popleft()
        self._busy += 1
        try:
            outcome = Outcome(result=work())
        except Exception as error:  # passed on to `done`, as a thread pool does
            outcome = Outcome(error=error)
        took_s = self._disk.finish_batch() if self._disk is not None else 0.0

        def ended() -> None:
            self._busy -= 1
            self._start_work()
            done(outcome)

        self._clock.later(delay=took_s + HANDOVER_S, callback=ended, process=self._process, kind=EventKind.COMMAND)

    def stop(self) -> None:
        """Ends the program by calling `on_stop`."""
        self._on_stop()

    def run(self) -> None:
        """Does nothing, because the clock executes the events."""
