"""Check that the shares that all proxies may use never sum to more than the whole limit (docs/simulate.md).

`ShareChecks` owns, for each incarnation of a proxy, the shares that it may use and from when on. Within a window a
proxy may have used a limit up to its highest share in that window, so the check sums these highest shares.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from collections.abc import Sequence
from typing import TYPE_CHECKING
from typing import NamedTuple

from ploverward.data_plane.quotas import shared_limits
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_clock

if TYPE_CHECKING:
    from ploverward.simulation.control_plane import proxies

EPSILON = 1e-6  # tolerance for rounding in sums of floats
RATE_WINDOW_S = 1.05  # window over which a proxy counts the requests that it sends to a cold replica


class ShareKind(enum.StrEnum):
    """Kinds of limits that are shared among proxies."""

    SLACKS = "slacks"  # limits that are spent over a window
    RATES = "rates"  # limits per second

    def of(self, lease: shared_limits.Lease) -> float:
        """Returns the share of this kind that a lease grants."""
        return lease.slack_share if self is ShareKind.SLACKS else lease.rate_share


class ShareStep(NamedTuple):
    """A share that a proxy may use until its next step begins.

    Attributes:
        begin: Start of the step, in seconds of simulated time.
        share: The share, from 0 to 1.
    """

    begin: float
    share: float


NO_SHARE = ShareStep(0.0, 0.0)


class ShareChecks:
    """Checks the leases of all proxies whenever one of them takes a lease.

    Attributes:
        peaks: The highest sum of shares so far, by kind.
    """

    def __init__(self, *, clock: simulated_clock.Clock, recorder: recorders.Recorder, slack_window_s: float) -> None:
        """Initializes the check; `slack_window_s` is the window over which slacks are spent."""
        self.peaks = dict.fromkeys(ShareKind, 0.0)
        self._clock = clock
        self._recorder = recorder
        self._windows_s = {ShareKind.SLACKS: slack_window_s, ShareKind.RATES: RATE_WINDOW_S}
        self._steps: dict[str, dict[ShareKind, list[ShareStep]]] = {}  # by the proxy's incarnation
        self._proxies: dict[str, proxies.Proxy] = {}  # by incarnation

    def handle_lease(self, proxy: proxies.Proxy) -> None:
        """Records the shares that a proxy may use after it took a lease, and checks the sums of shares that grew."""
        now, offset = self._clock.time, proxy.process.offset
        steps = self._steps.setdefault(proxy.incarnation, {kind: [] for kind in ShareKind})
        self._proxies[proxy.incarnation] = proxy
        leases = [lease for lease in proxy.quota.leases.values() if lease.until - offset > now]
        for kind in ShareKind:
            before = max((step for step in steps[kind] if step.begin <= now), default=NO_SHARE).share
            past = _past_steps(steps[kind], since=now - self._windows_s[kind], now=now)
            steps[kind] = _with_upcoming_steps(past, leases, kind=kind, now=now, offset=offset)
            if steps[kind] and sum(kind.of(lease) for lease in leases) > before:
                self._check_sum(kind, now)

    def _check_sum(self, kind: ShareKind, now: float) -> None:
        since = now - self._windows_s[kind]
        total = 0.0
        highest = {}
        for incarnation, steps_by_kind in self._steps.items():
            proxy = self._proxies[incarnation]
            if not proxy.process.is_alive:
                continue
            steps = steps_by_kind[kind]
            while len(steps) > 1 and steps[1].begin <= since:
                steps.pop(0)
            highest[proxy.host] = max((step.share for step in steps if step.begin <= now), default=0.0)
            total += highest[proxy.host]
        self.peaks[kind] = max(self.peaks[kind], total)
        if total > 1.0 + EPSILON:
            described = ", ".join(f"{host} {share:.3f}" for host, share in sorted(highest.items()))
            self._recorder.add_finding("grants", f"the shares of {kind} sum to {total:.3f}: {described}")


def _past_steps(steps: Sequence[ShareStep], *, since: float, now: float) -> list[ShareStep]:
    """Returns the steps that began before now and lasted until after `since`."""
    ends = [*(step.begin for step in steps[1:]), now]
    return [step for step, end in zip(steps, ends, strict=False) if end > since and step.begin < now]


def _with_upcoming_steps(
    past: list[ShareStep], leases: Iterable[shared_limits.Lease], *, kind: ShareKind, now: float, offset: float
) -> list[ShareStep]:
    """Returns past steps and the upcoming ones: without a further lease the share falls as each lease expires."""
    steps = list(past)
    for begin in (now + offset, *sorted({lease.until for lease in leases})):
        share = sum(kind.of(lease) for lease in leases if lease.until > begin)
        if not steps or steps[-1].share != share:
            steps.append(ShareStep(begin - offset, share))
    return steps
