"""The duty of usage: the coordinator closes each window, agrees on its report, and sends it (docs/platform-duties.md).

The owner of the duty is the cluster coordinator, and the fence is the coordinator's epoch: it belongs to one process
of one machine, and rises with each change. The coordinator acts only while it has the majority lease. A new one waits
until the lease of its predecessor, and the calls that it may have under way, have ended.

`UsageReporter` owns what this process knows of reports: which window was accepted, and what is under way. There is one
step under way at a time: an agreement or a call.
"""

from __future__ import annotations

import logging
import typing
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.discovery import platform_connection
from ploverward.control_plane.usage import usage_report
from ploverward.control_plane.usage import usage_table

_log = logging.getLogger(__name__)

MIN_WAIT_S = 1.5  # from the end of a window until it is closed at the earliest
CLOSE_SHARE = 0.6  # of the time that a report may take: then a window is closed whoever has not reported
MIN_RETRY_S = 0.5  # from a call that was not accepted to the next one
MAX_RETRY_S = 4.0
CALL_TIMEOUT_S = 1.0
_OK, _CONFLICT = 200, 409

Roles = Mapping[str, typing.Sequence]


class Ownership(typing.NamedTuple):
    """The right to act.

    Attributes:
        node: Name of this node.
        epoch: Of the coordinator: the fence of all calls.
        since: When this process began to act on it, by the loop's clock.
    """

    node: str
    epoch: int
    since: float


class Timing(typing.NamedTuple):
    """Durations in seconds.

    Attributes:
        window_s: Length of a window.
        report_due_s: When the report of a window is due after its end.
        takeover_pause_s: For how long a new owner waits.
    """

    window_s: float
    report_due_s: float
    takeover_pause_s: float


class Post(typing.Protocol):
    """Sends a call to the platform."""

    def __call__(
        self,
        *,
        path: str,
        headers: Collection[str],
        body: object,
        timeout_s: float,
        done: Callable[[platform_connection.PlatformResponse], None],
    ) -> None:
        """Sends a POST with a JSON body and calls `done` once."""


class UsageReporter:
    """Makes the reports while this node may.

    Args:
        now: The loop's clock, in seconds.
        wall_time: The time of day, in seconds.
        ownership: Returns the right to act, None where this node does not have it at this moment.
        incarnations: Returns the connected proxies.
        roles: The register of singleton roles.
        change: Starts a round of a register.
        post: Sends a call to the platform.
        timing: Durations.

    Attributes:
        table: What proxies counted.
        accepted: Number of the last window whose report the platform accepted, as far as this process knows.
        refused_epoch: Under which the platform refused a call since it has seen a higher fence; 0: none.
    """

    def __init__(
        self,
        *,
        now: Callable[[], float],
        wall_time: Callable[[], float],
        ownership: Callable[[], Ownership | None],
        incarnations: Callable[[], Collection[str]],
        roles: Callable[[], Roles],
        change: Callable[..., None],
        post: Post,
        timing: Timing,
    ) -> None:
        self._now = now
        self._wall_time = wall_time
        self._ownership = ownership
        self._incarnations = incarnations
        self._roles = roles
        self._change = change
        self._post = post
        self._timing = timing
        self._first_window: int | None = None
        self._is_busy = False
        self._retry_s = MIN_RETRY_S
        self._retry_at = 0.0
        self.table = usage_table.UsageTable()
        self.accepted = -1
        self.refused_epoch = 0

    def tick(self) -> None:
        """Takes the next step, if there is one; to be called again and again."""
        owner = self._ownership()
        if owner is None or self._is_busy or owner.epoch == self.refused_epoch:
            return
        if self._first_window is None:
            self._first_window = int(self._wall_time() // self._timing.window_s)
        if self._now() < max(owner.since + self._timing.takeover_pause_s, self._retry_at):
            return
        report = usage_report.report_of(self._roles())
        if report is not None and report.window > self.accepted:
            self._send(owner, report)
            return
        window = self._first_window if report is None else report.window + 1
        if self._is_closed(window):
            self._agree(owner, usage_report.UsageReport(window, self.table.totals(window)))

    def _is_closed(self, window: int) -> bool:
        """Whether nothing more is expected of a window: all proxies have reported, or it is time."""
        end = (window + 1) * self._timing.window_s
        waited_s = self._wall_time() - end
        if waited_s >= self._timing.report_due_s * CLOSE_SHARE:
            return True
        return waited_s >= MIN_WAIT_S and self.table.is_complete(until=end, incarnations=self._incarnations())

    # Agreement.
    def _agree(self, owner: Ownership, report: usage_report.UsageReport) -> None:
        self._is_busy = True

        def edit(payload: Roles | None) -> tuple[Roles | None, None]:
            current = self._ownership()
            if payload is None or current is None or current.epoch != owner.epoch:
                return payload, None
            return usage_report.with_report(payload, report), None

        def done(_error: object, _revision: int, _payload: object, _result: object) -> None:
            self._is_busy = False

        self._change(name=register_names.SINGLETON_ROLES, edit=edit, done=done)

    # Calls.
    def _send(self, owner: Ownership, report: usage_report.UsageReport) -> None:
        self._is_busy = True
        self._post(
            path="/usage",
            headers=(f"X-Duty-Holder: {owner.node}", f"X-Fence-Number: {owner.epoch}"),
            body={"windowNo": report.window, "tallies": report.tallies},
            timeout_s=CALL_TIMEOUT_S,
            done=lambda response: self._handle_response(owner, report, response),
        )

    def _handle_response(
        self, owner: Ownership, report: usage_report.UsageReport, response: platform_connection.PlatformResponse
    ) -> None:
        self._is_busy = False
        if response.status == _OK:
            self.accepted = max(self.accepted, report.window)
            self._retry_s = MIN_RETRY_S
            _log.debug("usage_reported", extra={"window": report.window})
            self.tick()
            return
        if response.status == _CONFLICT:
            self.refused_epoch = owner.epoch
            _log.warning("duty_refused", extra={"duty": "usage", "epoch": owner.epoch})
            return
        self._retry_at = self._now() + self._retry_s
        self._retry_s = min(2 * self._retry_s, MAX_RETRY_S)
