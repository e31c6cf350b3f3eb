"""Seeded simulated time, network and disk for tests and for simulations of single components. Nothing sleeps.

`World` owns the time, the events, the only random generator and the network partitions. The simulation of complete core
nodes (ploverward/simulation/control_plane) has more detailed models of its own.
"""

from __future__ import annotations

import concurrent.futures
import errno
import heapq
import random
from collections.abc import Callable

Callback = Callable[..., object]  # called without arguments; lambdas may bind defaults


class World:
    """The time of a simulation, and its network.

    Attributes:
        chance: The only random generator.
        time: Current simulated time, in seconds.
        partitions: Directions (source, target) in which no message arrives.
        loss: Share of the messages that are lost, 0 to 1.
        delay: Shortest and longest delay of a message, in seconds.
    """

    def __init__(self, *, seed: int) -> None:
        self.chance = random.Random(seed)
        self.time = 0.0
        self.partitions: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.delay = (0.001, 0.05)
        self._order = 0
        self._events: list[tuple[float, int, Callback]] = []

    def now(self) -> float:
        """Returns the simulated time in seconds."""
        return self.time

    def later(self, delay: float, callback: Callback) -> None:
        """Schedules a callback after a delay in seconds."""
        self._order += 1
        heapq.heappush(self._events, (self.time + delay, self._order, callback))

    def send(self, source: str, target: str, callback: Callback) -> None:
        """Sends a message: schedules the callback for its arrival, unless the message is lost."""
        if (source, target) in self.partitions or self.chance.random() < self.loss:
            return
        self.later(self.chance.uniform(*self.delay), callback)

    def run(self, *, until: float) -> None:
        """Runs all callbacks due up to a time, and advances the clock to that time."""
        while self._events and self._events[0][0] <= until:
            self.time, _order, callback = heapq.heappop(self._events)
            callback()
        self.time = until


class Disk:
    """Files that are durable as soon as they are written; tests simulate a torn append with `tear`.

    Attributes:
        files: Contents by name.
        is_refusing: Whether all writes fail.
    """

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.is_refusing = False

    def read(self, *, name: str) -> bytes | None:
        """Returns the content of a file, or None."""
        return self.files.get(name)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Truncates a file to `size_before` bytes and appends data.

        Raises:
            OSError: The disk refuses writes.
        """
        self._check_writable()
        self.files[name] = self.files.get(name, b"")[:size_before] + data

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        """Replaces the content of a file.

        Args:
            name: Name of the file.
            new_name: Name of the temporary file that the real disk writes first; unused here.
            data: The new content.

        Raises:
            OSError: The disk refuses writes.
        """
        self._check_writable()
        self.files[name] = data

    def _check_writable(self) -> None:
        if self.is_refusing:
            raise OSError(errno.EIO, "refused")

    def tear(self, *, name: str, keep: int) -> None:
        """Truncates a file to `keep` bytes, as a power loss during an append does."""
        self.files[name] = self.files[name][:keep]


class Timer:
    """A scheduled callback of a `Loop`.

    Attributes:
        is_over: Whether it has run or was cancelled.
    """

    __slots__ = ("is_over",)

    def __init__(self) -> None:
        self.is_over = False


class Loop:
    """The methods of ploverward.transport.event_loop.Loop that handlers use, in simulated time.

    Attributes:
        world: The simulated time and network.
        now: Returns the simulated time in seconds.
        is_up: Whether callbacks run; False simulates the death of the process.
    """

    def __init__(self, *, world: World, work_s: tuple[float, float] = (0.0, 0.01)) -> None:
        """Creates a loop; `work_s` is the shortest and longest duration of offloaded work, in seconds."""
        self.world = world
        self.now = world.now
        self.is_up = True
        self._work_s = work_s

    def after(self, *, delay: float, callback: Callback) -> Timer:
        """Schedules a callback after a delay in seconds."""
        timer = Timer()

        def call() -> None:
            if not timer.is_over and self.is_up:
                timer.is_over = True
                callback()

        self.world.later(max(0.0, delay), call)
        return timer

    def cancel(self, *, timer: Timer) -> None:
        """Cancels a callback; does nothing if it has already run."""
        timer.is_over = True

    def call_soon_threadsafe(self, *, callback: Callback) -> None:
        """Schedules a callback without delay."""
        self.after(delay=0.0, callback=callback)

    def offload(
        self, *, work: Callable[[], object], done: Callable[[concurrent.futures.Future[object]], object]
    ) -> None:
        """Runs `work` as if on another thread, then schedules `done(future)`."""
        future: concurrent.futures.Future[object] = concurrent.futures.Future()
        try:
            future.set_result(work())
        except Exception as error:  # passed on in the future, as an executor does
            future.set_exception(error)
        self.after(delay=self.world.chance.uniform(*self._work_s), callback=lambda: done(future))
