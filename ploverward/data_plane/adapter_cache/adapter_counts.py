"""Counts requests whose adapter was not loaded, and measures the duration of loads (docs/pins.md 2, 3, 5).

A proxy owns one `AdapterCounter`. An attempt is recorded when it is sent and counted when its first event arrives;
attempts that did not run are not counted. Each report contains a complete, numbered window, so a report that is
resent, or sent to another core node, is counted only once.
"""

import collections.abc
import dataclasses
import enum
import typing

from ploverward.data_plane.adapter_cache import count_table
from ploverward.data_plane.adapter_cache.count_table import CountKey

MAX_ROWS = 2000  # per window; further arrivals are only counted in a total
# Shares of a load time: expected cost of an adapter that is loaded but may be evicted soon, and of one for which it is
# not known whether it is loaded.
UNSTABLE_ADAPTER_SHARE = 0.25
UNKNOWN_ADAPTER_SHARE = 0.5
DEFAULT_LOAD_S = 1.0  # expected load time until one was measured
STABLE_TRUST_PERIODS = 4  # an adapter listed for this many times `trust_s` is not expected to be evicted soon
MAX_LOADED_ENTRIES = 4 * MAX_ROWS  # adapters known to be loaded by own requests, before expired entries are dropped
LATEST_LOAD_WEIGHT = 0.2  # weight of the newest load in the moving average


class AdapterState(enum.StrEnum):
    """Whether a replica has an adapter loaded. The values are the names of the counts."""

    WARM = "warm"
    COLD = "cold"
    UNKNOWN = "unknown"


# Module-level aliases, because access to an enum member is slower and the choice of a replica reads one per candidate.
WARM, COLD, UNKNOWN = AdapterState


class Replica(typing.Protocol):
    """The part of a replica that the counter uses (`ploverward.data_plane.load_balancing`)."""

    @property
    def id(self) -> str:
        """The identifier, different for each incarnation."""

    @property
    def service(self) -> str:
        """The name of its service."""

    @property
    def adapters(self) -> collections.abc.Mapping[tuple[str, str], float] | None:
        """Maps (model, adapter) of the loaded adapters to the time since which they are listed; None if unknown."""


@dataclasses.dataclass(slots=True, eq=False)
class Arrival:
    """One attempt at a replica.

    Attributes:
        key: The key of the row in which it is counted.
        replica: The replica.
        state: Known state of the adapter at the replica when the attempt was sent.
        sent_at: When the attempt was sent, in seconds on the counter's clock.
        target_s: The latency target of the route, in seconds; 0 for none.
        is_over: Whether the attempt was counted, or ended without running.
    """

    key: CountKey
    replica: Replica
    state: AdapterState
    sent_at: float
    target_s: float
    is_over: bool = False


class WindowReport(typing.NamedTuple):
    """The counts of one window; a report with a higher number replaces an earlier one of the same window."""

    window: int
    number: int
    data: bytes


@dataclasses.dataclass(slots=True)
class _Load:
    """A load of an adapter by a replica, inferred from arrivals that found the adapter not loaded."""

    open_arrivals: int = 0
    is_counted: bool = False


class AdapterCounter:
    """Counts the arrivals of this proxy's requests by state of their adapter.

    Args:
        now: Returns seconds on a monotonic clock.
        window_s: Duration of a window, in seconds.
        trust_s: Seconds for which an adapter is assumed to be loaded after a request of this proxy ran with it.
    """

    def __init__(self, *, now: collections.abc.Callable[[], float], window_s: float, trust_s: float) -> None:
        self._now = now
        self._window_s = window_s
        self._trust_s = trust_s
        self._stable_s = trust_s * STABLE_TRUST_PERIODS
        self._began = now()
        self._window = 0
        self._number = 0
        self._rows: dict[CountKey, dict[str, int]] = {}
        self._overflow = 0  # arrivals without a row
        self._is_changed = False
        self._closed: list[WindowReport] = []  # of the previous window; reported again with the next ones
        self._loads: dict[tuple[str, str, str], _Load] = {}  # by replica, model, adapter
        # From requests of this proxy that ran, by replica, model, adapter.
        self._loaded_until: dict[tuple[str, str, str], float] = {}
        self._load_s: dict[str, float] = {}  # by service: moving average of measured loads

    def state(self, *, replica: Replica, model: str, adapter: str) -> AdapterState:
        """Returns whether a replica has an adapter loaded, as far as this proxy knows."""
        if self._loaded_until.get((replica.id, model, adapter), 0.0) > self._now():
            return WARM
        if replica.adapters is None:
            return UNKNOWN
        return WARM if (model, adapter) in replica.adapters else COLD

    def expected_load_s(self, *, replica: Replica, model: str, adapter: str) -> float:
        """Returns the seconds that a request is expected to wait for a load of the adapter.

        The result is 0 if the adapter is loaded and not expected to be evicted soon.
        """
        state = self.state(replica=replica, model=model, adapter=adapter)
        load_s = self._load_s.get(replica.service, DEFAULT_LOAD_S)
        if state is WARM:
            # A recently loaded adapter may be evicted before the list shows this, so one that is listed for long is
            # preferred.
            since = (replica.adapters or {}).get((model, adapter))
            is_stable = since is not None and self._now() - since >= self._stable_s
            return 0.0 if is_stable else load_s * UNSTABLE_ADAPTER_SHARE
        return load_s * (UNKNOWN_ADAPTER_SHARE if state is UNKNOWN else 1.0)

    def note_sent(
        self, *, replica: Replica, service: str, model: str, adapter: str, route: str, target_s: float
    ) -> Arrival:
        """Records that an attempt was sent.

        Args:
            replica: The replica to which it was sent.
            service: The service of its route.
            model: The model that the request names.
            adapter: The adapter, or "".
            route: The name of the route.
            target_s: The latency target of the route, in seconds; 0 for none.

        Returns:
            The attempt, to be passed to `note_run` or `note_not_run` later.
        """
        state = self.state(replica=replica, model=model, adapter=adapter) if adapter else UNKNOWN
        if state is COLD:
            self._loads.setdefault((replica.id, model, adapter), _Load()).open_arrivals += 1
        key = CountKey(service, model, adapter, replica.id, route)
        return Arrival(key, replica, state, self._now(), target_s)

    def note_run(self, arrival: Arrival) -> None:
        """Counts an attempt whose first event arrived, which shows that it ran and that its adapter is loaded."""
        if arrival.is_over:
            return
        arrival.is_over = True
        now = self._now()
        self._roll_window()
        self._note_loaded(arrival.key, now)
        is_load = arrival.state is COLD and self._end_cold_arrival(arrival, is_run=True)
        self._is_changed = True
        row = self._rows.get(arrival.key)
        if row is None and len(self._rows) < MAX_ROWS:
            row = self._rows[arrival.key] = dict.fromkeys(count_table.FIELDS, 0)
        if row is None:
            self._overflow += 1
            return
        row[arrival.state] += 1
        if arrival.state is COLD:
            self._count_wait(row, arrival, wait_s=now - arrival.sent_at, is_load=is_load)

    def note_not_run(self, arrival: Arrival) -> None:
        """Records that an attempt was rejected, lost or abandoned before its first event, so no load is counted."""
        if not arrival.is_over:
            arrival.is_over = True
            if arrival.state is COLD:
                self._end_cold_arrival(arrival, is_run=False)

    def report(self) -> list[WindowReport]:
        """Returns the previous window, and the current one if it changed since it was last reported."""
        self._roll_window()
        reports = list(self._closed)
        if self._is_changed:
            self._is_changed = False
            reports.append(self._next_report())
        return reports

    def _note_loaded(self, key: CountKey, now: float) -> None:
        if key.adapter:
            self._loaded_until[(key.replica, key.model, key.adapter)] = now + self._trust_s
        if len(self._loaded_until) > MAX_LOADED_ENTRIES:
            self._loaded_until = {key: until for key, until in self._loaded_until.items() if until > now}

    def _count_wait(self, row: dict[str, int], arrival: Arrival, *, wait_s: float, is_load: bool) -> None:
        wait_ms = round(wait_s * 1000)
        row["waits"] += 1
        row["loads"] += is_load
        row["wait_ms"] += wait_ms
        row["most_wait_ms"] = max(row["most_wait_ms"], wait_ms)
        row["late"] += bool(arrival.target_s) and wait_s > arrival.target_s
        if is_load:
            service = arrival.replica.service
            known = self._load_s.get(service, wait_s)
            self._load_s[service] = known * (1 - LATEST_LOAD_WEIGHT) + wait_s * LATEST_LOAD_WEIGHT

    def _end_cold_arrival(self, arrival: Arrival, *, is_run: bool) -> bool:
        """Ends an arrival that found the adapter not loaded.

        Returns:
            Whether it is counted as a load; of several arrivals that wait for the same load only the first is.
        """
        key = (arrival.key.replica, arrival.key.model, arrival.key.adapter)
        load = self._loads.get(key)
        if load is None:
            return False
        load.open_arrivals -= 1
        is_first = is_run and not load.is_counted
        load.is_counted = load.is_counted or is_run
        if load.open_arrivals <= 0:
            del self._loads[key]
        return is_first

    def _roll_window(self) -> None:
        """Starts a new window if the current one has ended."""
        window = int((self._now() - self._began) / self._window_s)
        if window == self._window:
            return
        self._closed = [self._next_report()] if self._rows or self._overflow else []
        self._window = window
        self._rows = {}
        self._overflow = 0
        self._is_changed = False

    def _next_report(self) -> WindowReport:
        self._number += 1
        return WindowReport(self._window, self._number, count_table.pack(counts=self._rows, overflow=self._overflow))
