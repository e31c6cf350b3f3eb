"""When faults of a run begin and end, for the checks that hold only where nothing changes (docs/simulate.md)."""

from __future__ import annotations

from collections.abc import Iterable

from ploverward.simulation.control_plane import checks
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_clock


class FaultLog:
    """The faults of a run so far.

    Attributes:
        edges: The moments at which a fault of the core began or ended, by the simulated time in seconds; the first is
            the end of the start.
        isolated_since: By host of a core machine that is cut off now: since when.
        proxy_fault_until: By host of a proxy: when its last fault ends or ended.
    """

    def __init__(
        self, *, clock: simulated_clock.Clock, recorder: recorders.Recorder, contact_s: float, started_at: float
    ) -> None:
        """Makes the log of a run.

        Args:
            clock: Of the run.
            recorder: Of the run.
            contact_s: How long after an edge the system may still be disturbed.
            started_at: When all machines were started.
        """
        self.edges = [started_at]
        self.isolated_since: dict[str, float] = {}
        self.proxy_fault_until: dict[str, float] = {}
        self._clock = clock
        self._recorder = recorder
        self._contact_s = contact_s

    def record_edge(self, text: str, hosts: Iterable[str]) -> None:
        """Notes that a fault of these core machines begins or ends now."""
        self.edges.append(self._clock.time)
        self._recorder.record(f"== {text}", hosts=",".join(hosts))

    def is_calm(self) -> bool:
        """Whether no fault of the core began or ended for `contact_s`."""
        return self._clock.time - self.edges[-1] >= self._contact_s

    def is_proxy_calm(self, host: str) -> bool:
        """Whether a proxy had no fault for `contact_s`."""
        return self._clock.time - self.proxy_fault_until.get(host, -self._contact_s) >= self._contact_s

    def calm_spans(self, *, until: float) -> list[checks.TimeSpan]:
        """Returns the spans in which no fault of the core began or ended for `contact_s`."""
        return [
            checks.TimeSpan(edge + self._contact_s, following)
            for edge, following in zip(self.edges, [*self.edges[1:], until], strict=True)
            if following - edge > self._contact_s
        ]
