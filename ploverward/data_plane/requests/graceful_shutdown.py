"""Graceful shutdown of a proxy after SIGTERM (docs/design.md 9).

The proxy is removed from look-up responses at once. While clients may still have its address it continues to serve,
but accepts no request that it may have to abort (`DrainWindow`). After `IDLE_FROM_SHARE` of `graceS` the process exits
as soon as nothing is in progress and the stores have confirmed all reports of items, and after `END_SHARE` of it
regardless of what is in progress.
"""

from collections.abc import Callable

from ploverward.common import settings as settings_files
from ploverward.data_plane.requests import http_front_end
from ploverward.transport import event_loop

# Seconds after SIGTERM in which every request is accepted. Clients have other addresses after 3 s, less the time for
# the network and a look-up.
ACCEPT_UNTIL_S = 2.8
ACCEPT_UNTIL_SHARE = 0.35  # share of graceS: applies where it is shorter than ACCEPT_UNTIL_S
IDLE_FROM_SHARE = 0.6  # share of graceS: then idle connections are closed, and the process exits once it is idle
END_SHARE = 0.92  # share of graceS: then the process exits, whatever is in progress
FLUSH_SHARE = 1 / 80  # share of graceS: time for the last reports to be sent
IDLE_CHECK_S = 0.05  # interval of the checks whether the process is idle


class DrainWindow:
    """Decides which requests are accepted between SIGTERM and the exit of the process."""

    def __init__(self, *, now: Callable[[], float], grace_s: float) -> None:
        """Creates a window that has not started.

        Args:
            now: returns the seconds on a monotonic clock.
            grace_s: the bound `graceS`, after which the process is killed.
        """
        self._now = now
        self._grace_s = grace_s
        self._begun_at: float | None = None

    def begin(self) -> None:
        """Starts the window on SIGTERM. A second SIGTERM has no effect."""
        if self._begun_at is None:
            self._begun_at = self._now()

    def may_accept(self, *, deadline: float) -> bool:
        """Whether a request that arrives now is accepted.

        Late in the window a request is accepted only if its deadline is before the exit of this process: a client that
        is rejected retries at another node at once, while a request that is aborted later is lost
        (docs/incidents/late-stream.md).

        Args:
            deadline: the request's deadline, in seconds on the same clock.
        """
        if self._begun_at is None:
            return True
        late_from = self._begun_at + min(ACCEPT_UNTIL_S, self._grace_s * ACCEPT_UNTIL_SHARE)
        return self._now() < late_from or deadline <= self._begun_at + self._grace_s * END_SHARE


class ProxyShutdown:
    """Runs the steps of the shutdown, from SIGTERM to the exit of the process.

    Attributes:
        is_draining: whether SIGTERM has been received.
        drain_window: decides which requests are still accepted.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        settings: Callable[[], settings_files.Settings],
        front_end: http_front_end.HttpFrontEnd,
        announce: Callable[[], None],
        send_last_reports: Callable[[], None],
        has_unconfirmed_reports: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the shutdown of a process that has not received SIGTERM.

        Args:
            loop: the node's event loop, which the shutdown stops at the end.
            settings: returns the settings in force.
            front_end: the listeners, which accept the requests.
            announce: notifies the core nodes that this proxy is draining.
            send_last_reports: sends the remaining reports once all requests have ended.
            has_unconfirmed_reports: whether reports of items have to be confirmed, which would be lost with the
                process.
        """
        self._loop = loop
        self._settings = settings
        self._front_end = front_end
        self._announce = announce
        self._send_last_reports = send_last_reports
        self._has_unconfirmed_reports = has_unconfirmed_reports
        self.is_draining = False
        self.drain_window = DrainWindow(now=loop.now, grace_s=self._grace_s())

    def _grace_s(self) -> float:
        return self._settings().bound(name="graceS")

    def begin(self) -> None:
        """Starts the shutdown on SIGTERM. A second SIGTERM has no effect."""
        if self.is_draining:
            return
        self.is_draining = True
        self.drain_window.begin()
        self._announce()
        self._front_end.drain()
        grace_s = self._grace_s()
        self._loop.after(delay=grace_s * IDLE_FROM_SHARE, callback=self._end_when_idle)
        self._loop.after(delay=grace_s * END_SHARE, callback=self._end)

    def _end_when_idle(self) -> None:
        if self._front_end.close_idle() and not self._has_unconfirmed_reports():
            self._end()
        else:
            self._loop.after(delay=IDLE_CHECK_S, callback=self._end_when_idle)

    def _end(self) -> None:
        self._front_end.end()
        self._send_last_reports()
        self._loop.after(delay=self._grace_s() * FLUSH_SHARE, callback=self._loop.stop)
