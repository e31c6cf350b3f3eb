"""Simulated time: one ordered table of events, processes that may be frozen or dead, and a loop as in ploverward/transport/event_loop.py."""

import collections
import heapq
import random
import traceback

DELIVERY, COMMAND, TIMER = range(3)  # the order in which a loop handles what is due at once
WORKERS = 2  # threads of a process's pool
HAND_OVER_S = 0.0002  # from a thread back to the loop


class Event:
    """Something that happens at one moment in one process, or in the world itself (process None). Also a loop's timer."""

    __slots__ = ("when", "order", "process", "kind", "callback", "is_over")

    def __init__(self, *, when, order, process, kind, callback):
        self.when = when
        self.order = order
        self.process = process
        self.kind = kind
        self.callback = callback
        self.is_over = False


class Clock:
    """The time of a world and what is to happen in it."""

    def __init__(self, *, seed: int):
        self.chance = random.Random(seed)
        self.time = 0.0
        self.steps = 0
        self._order = 0
        self._events = []

    def schedule(self, *, when: float, callback, process=None, kind: int = TIMER) -> Event:
        self._order += 1
        event = Event(when=max(when, self.time), order=self._order, process=process, kind=kind, callback=callback)
        heapq.heappush(self._events, (event.when, event.order, event))
        return event

    def later(self, *, delay: float, callback, process=None, kind: int = TIMER) -> Event:
        return self.schedule(when=self.time + delay, callback=callback, process=process, kind=kind)

    def run(self, *, until: float) -> None:
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
                event.process.take(event)
        self.time = until


class Process:
    """One life of a program. Frozen, its events wait while its clock goes on."""

    def __init__(self, *, clock: Clock, name: str, on_failure):
        self.clock = clock
        self.name = name
        self.offset = clock.chance.uniform(100.0, 1000.0)  # steady clocks of machines have nothing in common
        self.begun_at = clock.time
        self.is_alive = True
        self.is_frozen = False
        self._deferred = []
        self._on_failure = on_failure  # (process, text): an exception in one of its steps

    def take(self, event: Event) -> None:
        if not self.is_alive:
            return
        if self.is_frozen:
            self._deferred.append(event)
            return
        event.is_over = True
        self.guard(event.callback)

    def guard(self, callback) -> None:
        try:
            callback()
        except Exception:  # a step that raises is a finding, whatever it raises
            self._on_failure(self, traceback.format_exc())

    def thaw(self) -> None:
        """What is due runs at once, in the order of a loop's step: data from sockets, commands, timers."""
        self.is_frozen = False
        deferred, self._deferred = self._deferred, []
        for event in sorted(deferred, key=lambda event: (event.kind, event.when, event.order)):
            if not event.is_over:
                self.take(event)

    def end(self) -> None:
        self.is_alive = False
        self._deferred = []


class Outcome:
    """What became of work on a thread, with the two methods of a future that are used."""

    def __init__(self, *, result=None, failure=None):
        self._result = result
        self._failure = failure

    def exception(self):
        return self._failure

    def result(self):
        if self._failure is not None:
            raise self._failure
        return self._result


class Loop:
    """The interface of ploverward.transport.event_loop.Loop in simulated time. `run` returns at once: the world runs the events."""

    def __init__(self, *, process: Process, on_stop, disk=None):
        self._process = process
        self._clock = process.clock
        self._on_stop = on_stop
        self._disk = disk
        self._waiting = collections.deque()
        self._busy = 0

    def now(self) -> float:
        return self._clock.time + self._process.offset

    def command(self, *, callback) -> None:
        self._clock.later(delay=0.0, callback=callback, process=self._process, kind=COMMAND)

    def at(self, *, when: float, callback) -> Event:
        return self._clock.schedule(when=when - self._process.offset, callback=callback, process=self._process)

    def after(self, *, delay: float, callback) -> Event:
        return self._clock.later(delay=delay, callback=callback, process=self._process)

    def every(self, *, interval_s: float, callback) -> None:
        def tick():
            self.after(delay=interval_s, callback=tick)
            callback()

        self.after(delay=interval_s, callback=tick)

    def cancel(self, *, timer) -> None:
        if timer is not None:
            timer.is_over = True

    def offload(self, *, work, done) -> None:
        self._waiting.append((work, done))
        self._start_work()

    def _start_work(self) -> None:
        if self._busy >= WORKERS or not self._waiting:
            return
        work, done = self._waiting.popleft()
        self._busy += 1
        try:
            outcome = Outcome(result=work())
        except Exception as failure:  # handed over as a pool does
            outcome = Outcome(failure=failure)
        took_s = self._disk.finish_batch() if self._disk is not None else 0.0

        def ended():
            self._busy -= 1
            self._start_work()
            done(outcome)

        self._clock.later(delay=took_s + HAND_OVER_S, callback=ended, process=self._process, kind=COMMAND)

    def stop(self) -> None:
        self._on_stop()

    def run(self) -> None:
        """Nothing: the world's clock runs what is due."""
