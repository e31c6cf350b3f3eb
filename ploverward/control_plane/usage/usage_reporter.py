"""Performs the usage duty: closes each window, agrees on its report, and sends it (docs/platform-duties.md).

The owner of the duty is the cluster coordinator, and the fence of its calls is the coordinator's epoch, which belongs
to one process on one machine and rises with each change of the owner. The coordinator acts only while it has the
majority lease. A new coordinator waits until the lease of its predecessor and any calls that it had in progress have
ended.

`UsageReporter` records which window was accepted and which step is in progress. At most one step is in progress at a
time: an agreement or a call.
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

MIN_CLOSE_DELAY_S = 1.5  # a window is closed no earlier than this after its end
# A window is closed after this share of `report_due_s` even if some proxies have not reported.
CLOSE_DEADLINE_SHARE = 0.6
MIN_RETRY_DELAY_S = 0.5  # delay after a failed call; it doubles with each further failure
MAX_RETRY_DELAY_S = 4.0
CALL_TIMEOUT_S = 1.0
_OK, _CONFLICT = 200, 409

Roles = Mapping[str, typing.Sequence]


class Ownership(typing.NamedTuple):
    """The right of this node to perform the duty.

    Attributes:
        node: Name of this node.
        epoch: Epoch of the coordinator, the fence of all calls.
        since: Time of the loop's clock at which this process began to act as the coordinator.
    """

    node: str
    epoch: int
    since: float


class Timing(typing.NamedTuple):
    """Durations of the usage duty, in seconds.

    Attributes:
        window_s: Duration of a window.
        report_due_s: Time after the end of a window by which its report is due.
        takeover_pause_s: Time that a new owner waits before its first step.
    """

    window_s: float
    report_due_s: float
    takeover_pause_s: float


class Post(typing.Protocol):
    """The interface for sending a POST call to the platform."""

    def __call__(
        self,
        *,
        path: str,
        headers: Collection[str],
        body: object,
        timeout_s: float,
        done: Callable[[platform_connection.PlatformResponse], None],
    ) -> None:
        """Sends a POST with a JSON body and calls `done` once with the response."""


class UsageReporter:
    """Agrees on usage reports and sends them while this node owns the duty.

    Args:
        now: Returns the time of the loop's clock in seconds.
        wall_time: Returns the wall-clock time in seconds.
        ownership: Returns the right to perform the duty, or None if this node does not have it now.
        incarnations: Returns the incarnations of the connected proxies.
        roles: Returns the value of the singleton-roles register.
        change: Starts a change of a register.
        post: Sends a call to the platform.
        timing: Durations of the duty.

    Attributes:
        table: The counts that proxies reported.
        accepted: Number of the last window whose report the platform accepted, as far as this process knows.
        refused_epoch: Epoch under which the platform refused a call because it had seen a higher fence; 0 if none.
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
        self._retry_delay_s = MIN_RETRY_DELAY_S
        self._next_call_at = 0.0
        self.table = usage_table.UsageTable()
        self.accepted = -1
        self.refused_epoch = 0

    def tick(self) -> None:
        """Starts the next step, if one is due. To be called at short intervals."""
        owner = self._ownership()
        if owner is None or self._is_busy or owner.epoch == self.refused_epoch:
            return
        if self._first_window is None:
            self._first_window = int(self._wall_time() // self._timing.window_s)
        if self._now() < max(owner.since + self._timing.takeover_pause_s, self._next_call_at):
            return
        report = usage_report.agreed_report(self._roles())
        if report is not None and report.window > self.accepted:
            self._send(owner, report)
            return
        window = self._first_window if report is None else report.window + 1
        if self._can_close(window):
            self._propose(owner, usage_report.UsageReport(window, self.table.totals(window)))

    def _can_close(self, window: int) -> bool:
        """Returns whether a window can be closed: all proxies have reported, or its deadline has passed."""
        end = (window + 1) * self._timing.window_s
        waited_s = self._wall_time() - end
        if waited_s >= self._timing.report_due_s * CLOSE_DEADLINE_SHARE:
            return True
        return waited_s >= MIN_CLOSE_DELAY_S and self.table.is_complete(until=end, incarnations=self._incarnations())

    def _propose(self, owner: Ownership, report: usage_report.UsageReport) -> None:
        self._is_busy = True

        def edit(payload: Roles | None) -> tuple[Roles | None, None]:
            current = self._ownership()
            if payload is None or current is None or current.epoch != owner.epoch:
                return payload, None
            return usage_report.with_report(payload, report), None

        def done(_error: object, _revision: int, _payload: object, _result: object) -> None:
            self._is_busy = False

        self._change(name=register_names.SINGLETON_ROLES, edit=edit, done=done)

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
            self._retry_delay_s = MIN_RETRY_DELAY_S
            _log.debug("usage_reported", extra={"window": report.window})
            self.tick()
            return
        if response.status == _CONFLICT:
            self.refused_epoch = owner.epoch
            _log.warning("duty_refused", extra={"duty": "usage", "epoch": owner.epoch})
            return
        self._next_call_at = self._now() + self._retry_delay_s
        self._retry_delay_s = min(2 * self._retry_delay_s, MAX_RETRY_DELAY_S)
