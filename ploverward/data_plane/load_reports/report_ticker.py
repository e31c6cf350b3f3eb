"""Schedule of a proxy's reports: frequent while there is something to report, rare otherwise (docs/digest.md 4).

`ReportTicker` owns the timer of the next tick. After a tick that leaves nothing to do, the next one follows after the
idle interval; the first change in between brings it forward. So changes are reported no later than with ticks at a
constant interval, and an idle proxy wakes up rarely.
"""

from collections.abc import Callable

from ploverward.transport import interfaces


class ReportTicker:
    """Calls back at the report interval while there is work, and at the idle interval otherwise.

    Args:
        loop: For its timers.
        on_tick: Reports and publishes changes.
        interval_s: Returns the seconds between two ticks while there is work.
        idle_interval_s: Seconds between two ticks without work.
        is_idle: Returns whether nothing is left to report or publish.
    """

    def __init__(
        self,
        *,
        loop: interfaces.Loop,
        on_tick: Callable[[], object],
        interval_s: Callable[[], float],
        idle_interval_s: float,
        is_idle: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._on_tick = on_tick
        self._interval_s = interval_s
        self._idle_interval_s = idle_interval_s
        self._is_idle = is_idle
        self._timer: interfaces.Timer | None = None
        self._is_slow = False  # the next tick is scheduled at the idle interval

    def start(self) -> None:
        """Makes the first tick at once and schedules the next."""
        self._tick()

    def wake(self) -> None:
        """Brings the next tick forward, as there is something to report."""
        if self._is_slow:
            self._loop.cancel(timer=self._timer)
            self._schedule(is_slow=False)

    def _tick(self) -> None:
        # Scheduled before the call, because it may raise; whether work is left is known only after it.
        self._schedule(is_slow=False)
        self._on_tick()
        if self._is_idle():
            self._loop.cancel(timer=self._timer)
            self._schedule(is_slow=True)

    def _schedule(self, *, is_slow: bool) -> None:
        self._is_slow = is_slow
        interval_s = self._interval_s()
        delay_s = max(interval_s, self._idle_interval_s) if is_slow else interval_s
        self._timer = self._loop.after(delay=delay_s, callback=self._tick)
