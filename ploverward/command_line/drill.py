"""`ploverward drill`: evacuates a zone, checks the promises meanwhile, and restores the zone (docs/drill.md).

Once the evacuation has been ordered, the zone is ordered back in any case, also on SIGINT and SIGTERM.
"""

import enum
import signal
import time
from collections.abc import Callable
from typing import Any

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import custody
from ploverward.command_line import drill_check
from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output
from ploverward.common import errors

POLL_INTERVAL_S = 0.5
RETRIES_PER_RECEIPT_BOUND = 10  # an order is sent again at least this often within receiptMs
MAX_CLOCK_SKEW_S = 1.0  # maximum difference between the nodes' times of day
ENDS_WITHOUT_EXECUTION = ("not sent", "421")  # ends of attempts that no replica executed
INTERRUPTION_NOTE = "interrupted"


class Verdict(enum.StrEnum):
    """Result of checking a promise."""

    KEPT = "kept"
    BROKEN = "broken"
    NOT_SEEN = "not seen"


class Promise(enum.StrEnum):
    """Promises that a drill checks."""

    EVACUATED = "evacuation acknowledged in time"
    EMPTY = "nothing new is sent to the zone"
    SERVING = "serving goes on"
    HOMES = "homed requests stay home"
    RESTORED = "zone taken back in time"


class DrillInterruptedError(errors.PloverwardError):
    """The operator interrupted the drill; raised by the signal handlers to end the watch at once."""


class Drill:
    """Drill of one zone, with access to the system only by `call` and `trails`, and to time by `clock` and `pause`.

    Args:
        zone: The zone to evacuate.
        call: Calls the core.
        trails: Returns the custody trails that arrived since the previous call.
        clock: Returns the time of day in seconds, as used in trails.
        pause: Waits for a number of seconds.
        watch_s: Seconds for which the zone stays out after `evacuate_s`.
        receipt_s: The bound receiptMs in seconds: an order must be acknowledged within it.
        evacuate_s: The bound evacuateMs in seconds: nothing new may be sent to the zone after it.
        max_clock_skew_s: Maximum difference between the nodes' times of day, in seconds.
        out: Receives each line.

    Attributes:
        promises: Verdict on each promise.
        notes: Details of broken promises, and how long orders took.
    """

    def __init__(
        self,
        *,
        zone: str,
        call: drill_check.Call,
        trails: Callable[[], list[custody.Trail]],
        clock: Callable[[], float],
        pause: Callable[[float], object],
        watch_s: float,
        receipt_s: float,
        evacuate_s: float,
        max_clock_skew_s: float,
        out: output.LineWriter,
    ) -> None:
        self.zone = zone
        self.call = call
        self.trails = trails
        self.clock = clock
        self.pause = pause
        self.watch_s = watch_s
        self.receipt_s = receipt_s
        self.evacuate_s = evacuate_s
        self.max_clock_skew_s = max_clock_skew_s
        self.out = out
        self.promises = dict.fromkeys(Promise, Verdict.NOT_SEEN)
        self.notes: list[str] = []
        self._zones: dict[str, str] = {}  # region by zone
        self._refused_requests = 0  # requests answered with 5xx before any was served

    def run(self) -> int:
        """Runs the drill and prints its report.

        Returns:
            The first that applies of `NOT_RESTORED`, `INTERRUPTED`, `FAILURE` and `SUCCESS`.

        Raises:
            DrillRefusedError: The zone can't be evacuated; nothing was done.
        """
        self._zones = drill_check.check(zone=self.zone, call=self.call)
        was_restored = False
        try:
            self._evacuate_and_watch()
        except DrillInterruptedError:
            self.out("interrupted: the zone is taken back")
            self.notes.append(INTERRUPTION_NOTE)
        finally:
            was_restored = self._restore()
        self._report()
        if not was_restored:
            self.out(f"{self.zone} could NOT be taken back: send DELETE /ploverward/evacuation/{self.zone}")
            return exit_codes.ExitCode.NOT_RESTORED
        if INTERRUPTION_NOTE in self.notes:
            return exit_codes.ExitCode.INTERRUPTED
        is_broken = Verdict.BROKEN in self.promises.values()
        return exit_codes.ExitCode.FAILURE if is_broken else exit_codes.ExitCode.SUCCESS

    def result(self) -> dict[str, Any]:
        """Returns the report as a JSON object, for programs."""
        return {"zone": self.zone, "promises": self.promises, "notes": self.notes}

    def _report(self) -> None:
        for promise, verdict in self.promises.items():
            self.out(f"{verdict:>9}  {promise}")
        for note in self.notes:
            self.out(f"           {note}")

    def _record_verdict(self, promise: Promise, verdict: Verdict, note: str = "") -> None:
        """Records a verdict; a promise that was broken once stays broken."""
        if self.promises[promise] is not Verdict.BROKEN:
            self.promises[promise] = verdict
        if note:
            self.notes.append(f"{promise}: {note}")

    def _send_order(self, method: str) -> tuple[bool, float]:
        """Sends an order until it is acknowledged or late.

        Returns:
            Whether it was acknowledged in time, and the seconds that it took.
        """
        started_at = self.clock()
        while True:
            try:
                status, _body = self.call(method, f"/ploverward/evacuation/{self.zone}")
            except errors.CoreUnreachableError:
                status = 0
            took_s = self.clock() - started_at
            if 200 <= status < 300:
                return took_s <= self.receipt_s, took_s
            if took_s >= self.receipt_s:
                return False, took_s
            self.pause(min(POLL_INTERVAL_S, self.receipt_s / RETRIES_PER_RECEIPT_BOUND))

    def _evacuate_and_watch(self) -> None:
        is_in_time, took_s = self._send_order("POST")
        verdict = Verdict.KEPT if is_in_time else Verdict.BROKEN
        self._record_verdict(Promise.EVACUATED, verdict, f"{took_s:.2f} s of {self.receipt_s:g} s")
        if not is_in_time:
            return
        empty_from = self.clock() + self.evacuate_s + self.max_clock_skew_s
        end = self.clock() + self.evacuate_s + self.watch_s
        while self.clock() < end:
            self.pause(POLL_INTERVAL_S)
            for trail in self.trails():
                self._check_trail(trail, empty_from=empty_from)

    def _check_trail(self, trail: custody.Trail, *, empty_from: float) -> None:
        arrived = trail["arrived"]
        attempts = [attempt for attempt in trail["goes"] if attempt["end"] not in ENDS_WITHOUT_EXECUTION]
        for attempt in attempts:
            self._check_homes(attempt, request_id=trail["id"])
        if arrived > empty_from - self.evacuate_s:
            self._check_serving(trail["status"])
        if any(
            attempt["zone"] == self.zone and arrived + attempt["from_ms"] / 1000.0 > empty_from for attempt in attempts
        ):
            self._record_verdict(Promise.EMPTY, Verdict.BROKEN, f"{trail['id']} after {self.evacuate_s:g} s")
        elif arrived > empty_from:
            self._record_verdict(Promise.EMPTY, Verdict.KEPT)

    def _check_homes(self, attempt: dict[str, Any], *, request_id: str) -> None:
        if not attempt["homes"]:
            return
        if self._zones.get(attempt["zone"]) in attempt["homes"]:
            self._record_verdict(Promise.HOMES, Verdict.KEPT)
        else:
            where = f"{attempt['replica']} in {attempt['zone']}"
            self._record_verdict(Promise.HOMES, Verdict.BROKEN, f"{request_id} at {where}")

    def _check_serving(self, status: int) -> None:
        if 200 <= status < 300:
            self._record_verdict(Promise.SERVING, Verdict.KEPT)
        elif self.promises[Promise.SERVING] is Verdict.NOT_SEEN and status >= 500:
            self._refused_requests += 1

    def _restore(self) -> bool:
        if self.promises[Promise.SERVING] is Verdict.NOT_SEEN and self._refused_requests:
            self._record_verdict(
                Promise.SERVING, Verdict.BROKEN, f"{self._refused_requests} requests seen, none served"
            )
        try:
            is_in_time, took_s = self._send_order("DELETE")
            status, evacuations = self.call("GET", "/ploverward/evacuation")
        except errors.PloverwardError as error:
            self._record_verdict(Promise.RESTORED, Verdict.BROKEN, str(error))
            return False
        is_back = status == 200 and self.zone not in evacuations["zones"]
        verdict = Verdict.KEPT if is_in_time and is_back else Verdict.BROKEN
        self._record_verdict(Promise.RESTORED, verdict, f"{took_s:.2f} s of {self.receipt_s:g} s")
        return is_back


def command(_verb: str, arguments: list[str]) -> int:
    """Runs a drill of one zone."""
    if len(arguments) != 1:
        raise exit_codes.UsageError
    core_client = core_clients.connect()
    status, nodes = core_client.call_any(method="GET", path="/ploverward/nodes")
    if status != 200:
        raise errors.UnexpectedAnswerError(status=status, step="drill")
    bounds = nodes["bounds"]
    signal.signal(signal.SIGINT, _interrupt)
    signal.signal(signal.SIGTERM, _interrupt)
    cursors: custody.Cursors = {}
    custody.collect(core_client=core_client, cursors=cursors)  # skips the trails recorded before the drill
    suppressed_lines: list[str] = []
    drill = Drill(
        zone=arguments[0],
        call=lambda method, path: core_client.call_any(method=method, path=path),
        trails=lambda: custody.collect(core_client=core_client, cursors=cursors).trails,
        clock=time.time,
        pause=time.sleep,
        watch_s=options.FLAGS.watch_s,
        receipt_s=bounds["receiptMs"] / 1000.0,
        evacuate_s=bounds["evacuateMs"] / 1000.0,
        max_clock_skew_s=MAX_CLOCK_SKEW_S,
        out=suppressed_lines.append if options.FLAGS.json else print,
    )
    code = drill.run()
    if options.FLAGS.json:
        output.print_json(drill.result(), out=print)
    return code


def _interrupt(*_about: object) -> None:
    raise DrillInterruptedError("interrupted", step="drill")
