"""Counts requests whose adapter was not loaded, and measures how long loads take (docs/pins.md 2, 3, 5).

A proxy owns one `AdapterCounter`. An attempt is recorded when it is sent and counted when its first event arrives;
attempts that never ran are not counted. Counts are reported in complete, numbered windows, so a report that is
resent, or that reaches another core node, is counted once.
"""

import collections.abc
import dataclasses
import enum
import typing

from ploverward.data_plane.adapter_cache import count_table
from ploverward.data_plane.adapter_cache.count_table import CountKey

MAX_ROWS = 2000  # of one window; arrivals that find no row are counted in one number
UNSTABLE_ADAPTER_SHARE = 0.25  # of a load: the cost of an adapter that is loaded, but may be evicted soon
UNKNOWN_ADAPTER_SHARE = 0.5  # of a load: the cost where it is not known whether it is loaded
FIRST_LOAD_S = 1.0  # the load time that is expected before one was measured
STEADY_TRUSTS = 4  # an adapter that is listed for so many times the trust is not expected to be evicted soon
MAX_EVIDENCE = 4 * MAX_ROWS  # of what is known to be loaded by this proxy's own requests, before old rows are dropped
LATEST_LOAD_WEIGHT = 0.2  # of the newest load in the moving average


class AdapterState(enum.StrEnum):
    """Whether a replica has an adapter loaded. The values are the names of the counts."""

    WARM = "warm"
    COLD = "cold"
    UNKNOWN = "unknown"


# Names of the module: access to a member of an enum costs more, and the choice of a replica reads one per candidate.
WARM, COLD, UNKNOWN = AdapterState


class Replica(typing.Protocol):
    """A replica as the choice of one sees it (`ploverward.data_plane.load_balancing`)."""

    @property
    def id(self) -> str:
        """The identifier; another incarnation has another one."""

    @property
    def service(self) -> str:
        """The service."""

    @property
    def adapters(self) -> collections.abc.Mapping[tuple[str, str], float] | None:
        """Loaded adapters by (model, adapter), and since when they are listed; None where that is not known."""


@dataclasses.dataclass(slots=True, eq=False)
class Arrival:
    """One attempt at a replica.

    Attributes:
        key: the row that it counts in.
        replica: the replica.
        state: what was known of the adapter there when the attempt was sent.
        sent_at: when that was, seconds on the counter's clock.
        target_s: the latency target of the route, in seconds; 0 for none.
        is_over: whether it ran, or is known not to run.
    """

    key: CountKey
    replica: Replica
    state: AdapterState
    sent_at: float
    target_s: float
    is_over: bool = False


class WindowReport(typing.NamedTuple):
    """The counts of one window; a higher number replaces an earlier report of the window."""

    window: int
    number: int
    data: bytes


@dataclasses.dataclass(slots=True)
class _Load:
    """A load of an adapter by a replica, as this proxy infers it from arrivals that found it not loaded."""

    open_arrivals: int = 0
    is_counted: bool = False


class AdapterCounter:
    """Counts of this proxy.

    Args:
        now: the clock, in seconds.
        window_s: duration of a window.
        trust_s: how long an adapter is assumed to be loaded after a request of this proxy ran with it.
    """

    def __init__(self, *, now: collections.abc.Callable[[], float], window_s: float, trust_s: float) -> None:
        self._now = now
        self._window_s = window_s
        self._trust_s = trust_s
        self._steady_s = trust_s * STEADY_TRUSTS
        self._began = now()
        self._window = 0
        self._number = 0
        self._rows: dict[CountKey, dict[str, int]] = {}
        self._over = 0  # arrivals that found no row
        self._is_changed = False
        self._closed: list[WindowReport] = []  # of the window before; reported again with the next ones
        self._loads: dict[tuple[str, str, str], _Load] = {}  # by replica, model, adapter
        self._loaded_until: dict[tuple[str, str, str], float] = {}  # by this proxy's own evidence
        self._load_s: dict[str, float] = {}  # by service: moving average of measured loads

    def state(self, *, replica: Replica, model: str, adapter: str) -> AdapterState:
        """Whether a replica has an adapter loaded, as far as this proxy knows now."""
        if self._loaded_until.get((replica.id, model, adapter), 0.0) > self._now():
            return WARM
        if replica.adapters is None:
            return UNKNOWN
        return WARM if (model, adapter) in replica.adapters else COLD

    def expected_load_s(self, *, replica: Replica, model: str, adapter: str) -> float:
        """How long a request is expected to wait for a load of the adapter, in seconds; 0 where it is loaded."""
        state = self.state(replica=replica, model=model, adapter=adapter)
        load_s = self._load_s.get(replica.service, FIRST_LOAD_S)
        if state is WARM:
            # An adapter that was loaded recently may be evicted before the list shows it; one that stays is preferred.
            since = (replica.adapters or {}).get((model, adapter))
            is_steady = since is not None and self._now() - since >= self._steady_s
            return 0.0 if is_steady else load_s * UNSTABLE_ADAPTER_SHARE
        return load_s * (UNKNOWN_ADAPTER_SHARE if state is UNKNOWN else 1.0)

    def note_sent(
        self, *, replica: Replica, service: str, model: str, adapter: str, route: str, target_s: float
    ) -> Arrival:
        """Notes that an attempt was sent.

        Args:
            replica: where it was sent.
            service: the service of its route.
            model: the model that the request names.
            adapter: the adapter, or "".
            route: the name of the route.
            target_s: the latency target of the route, in seconds; 0 for none.

        Returns:
            The argument of a later `note_run` or `note_not_run`.
        """
        state = self.state(replica=replica, model=model, adapter=adapter) if adapter else UNKNOWN
        if state is COLD:
            self._loads.setdefault((replica.id, model, adapter), _Load()).open_arrivals += 1
        key = CountKey(service, model, adapter, replica.id, route)
        return Arrival(key, replica, state, self._now(), target_s)

    def note_run(self, arrival: Arrival) -> None:
        """Counts an attempt whose first event arrived: it ran, so its adapter is loaded there."""
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
            self._over += 1
            return
        row[arrival.state] += 1
        if arrival.state is COLD:
            self._count_wait(row, arrival, wait_s=now - arrival.sent_at, is_load=is_load)

    def note_not_run(self, arrival: Arrival) -> None:
        """Notes that an attempt was rejected, lost or given up before its first event: no load of it is known."""
        if not arrival.is_over:
            arrival.is_over = True
            if arrival.state is COLD:
                self._end_cold_arrival(arrival, is_run=False)

    def report(self) -> list[WindowReport]:
        """What is new: the window that ended last, and the present one where it changed since it was reported."""
        self._roll_window()
        reports = list(self._closed)
        if self._is_changed:
            self._is_changed = False
            reports.append(self._next_report())
        return reports

    def _note_loaded(self, key: CountKey, now: float) -> None:
        if key.adapter:
            self._loaded_until[(key.replica, key.model, key.adapter)] = now + self._trust_s
        if len(self._loaded_until) > MAX_EVIDENCE:
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
            Whether it counts as a load: of several arrivals that wait for the same load only one does.
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
        """Begins a new window where the time of the present one is over."""
        window = int((self._now() - self._began) / self._window_s)
        if window == self._window:
            return
        self._closed = [self._next_report()] if self._rows or self._over else []
        self._window = window
        self._rows = {}
        self._over = 0
        self._is_changed = False

    def _next_report(self) -> WindowReport:
        self._number += 1
        return WindowReport(self._window, self._number, count_table.pack(counts=self._rows, overflow=self._over))
