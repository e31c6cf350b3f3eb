"""Log of the start and end of faults, for checks that apply only while no fault is active (docs/simulate.md)."""

from __future__ import annotations

from collections.abc import Iterable

from ploverward.simulation.control_plane import checks
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_clock


class FaultLog:
    """Records when the faults of a run begin and end.

    Attributes:
        edges: Times at which a fault of the core began or ended, in seconds of simulated time. A partition of regions
            and a split without a majority on either side also add one every second. The first entry is the time at
            which all machines had started.
        isolated_since: Time since which each core machine that is cut off reaches no majority of a core set, by host.
        proxy_fault_until: End of the last fault of each proxy, by host; may be in the future.
    """

    def __init__(
        self, *, clock: simulated_clock.Clock, recorder: recorders.Recorder, contact_s: float, started_at: float
    ) -> None:
        """Initializes the log of a run.

        Args:
            clock: The clock of the run.
            recorder: The recorder of the run.
            contact_s: Time after an edge during which the system may still be affected by it.
            started_at: Time at which all machines had started.
        """
        self.edges = [started_at]
        self.isolated_since: dict[str, float] = {}
        self.proxy_fault_until: dict[str, float] = {}
        self._clock = clock
        self._recorder = recorder
        self._contact_s = contact_s

    def record_edge(self, text: str, hosts: Iterable[str]) -> None:
        """Records that a fault of these core machines begins or ends now."""
        self.edges.append(self._clock.time)
        self._recorder.record(f"== {text}", hosts=",".join(hosts))

    def is_calm(self) -> bool:
        """Returns whether no fault of the core began or ended during the last `contact_s`."""
        return self._clock.time - self.edges[-1] >= self._contact_s

    def is_proxy_calm(self, host: str) -> bool:
        """Returns whether a proxy had no fault during the last `contact_s`."""
        return self._clock.time - self.proxy_fault_until.get(host, -self._contact_s) >= self._contact_s

    def calm_spans(self, *, until: float) -> list[checks.TimeSpan]:
        """Returns the spans in which the last edge is at least `contact_s` ago."""
        return [
            checks.TimeSpan(edge + self._contact_s, following)
            for edge, following in zip(self.edges, [*self.edges[1:], until], strict=True)
            if following - edge > self._contact_s
        ]
