"""`ploverward rollout`: starts a roll-out, prints its state and evidence, or watches it (docs/rollouts.md 8)."""

import json
import time
from collections.abc import Callable
from typing import Any

from ploverward.command_line import core_client as core_clients
from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output
from ploverward.common import errors
from ploverward.control_plane.rollouts import state

PATH = "/ploverward/rollouts"
WATCH_INTERVAL_S = 1.0

Call = Callable[[str, str, bytes], core_clients.Response]  # method, path, body
Row = dict[str, Any]  # state of one service's roll-out, as the core returns it


def command(_verb: str, arguments: list[str]) -> int:
    """Runs one of `start`, `status` and `watch`."""
    if not arguments:
        raise exit_codes.UsageError
    core_client = core_clients.connect()

    def call(method: str, path: str, data: bytes) -> core_clients.Response:
        return core_client.call_any(method=method, path=path, data=data)

    as_json, over_s = options.FLAGS.json, options.FLAGS.over_s
    match arguments:
        case ["start", service, edition] if over_s > 0:
            return start(call=call, service=service, edition=edition, over_s=over_s, out=print)
        case ["status"]:
            return status(call=call, service="", as_json=as_json, out=print)
        case ["status", service]:
            return status(call=call, service=service, as_json=as_json, out=print)
        case ["watch", service]:
            return watch(call=call, service=service, as_json=as_json, out=print)
    raise exit_codes.UsageError


def start(*, call: Call, service: str, edition: str, over_s: float, out: output.LineWriter) -> int:
    """Orders a roll-out.

    Returns:
        `SUCCESS` if the order is accepted or was accepted before; `FAILURE` if it is refused, with the reason printed.
    """
    body = json.dumps({"destination": service, "targetEdition": edition, "overS": over_s}).encode()
    answer_status, answer = call("POST", PATH, body)
    if 200 <= answer_status < 300:
        out(f"{service}: roll-out to {edition} over {over_s:g} s is ordered")
        return exit_codes.ExitCode.SUCCESS
    out(f"{service}: {(answer or {}).get('error', answer_status)}")
    return exit_codes.ExitCode.FAILURE


def read_rollouts(*, call: Call, service: str = "") -> dict[str, Row]:
    """Returns the state of each service's roll-out, or only of the given service's.

    Raises:
        UnexpectedAnswerError: The core answers with another status than 200, as when it is not certain of the state.
    """
    answer_status, answer = call("GET", PATH, b"")
    if answer_status != 200:
        raise errors.UnexpectedAnswerError(status=answer_status, step="roll-outs")
    return {name: row for name, row in answer["rollouts"].items() if not service or name == service}


def format_rollout(*, service: str, row: Row) -> list[str]:
    """Returns lines for people: the stage of the roll-out and the evidence of each step."""
    if not row["number"]:
        return [f"{service}: no roll-out; versions in service: {', '.join(row['admitted']) or 'all'}"]
    lines = [f"{service}: {row['stage']} ({row['condition']}), to {row['targetEdition']} over {row['overS']:g} s"]
    if row["reason"]:
        lines.append(f"  why: {row['reason']}")
    lines.append(f"  versions in service without a lease: {', '.join(row['admitted']) or 'all but the target'}")
    for step in row["record"]:
        lines += _step_lines(step)
    return lines


def _step_lines(step: Row) -> list[str]:
    lines = [
        f"  {step['age_s']:7.1f} s  {step['stage']:<10} {step['sent_new']} of {step['sent']} requests: {step['reason']}"
    ]
    for route, (former, former_failed, new, new_failed, broken) in step["routes"].items():
        lines.append(
            f"             {route}: former {former} answers, {former_failed} failed;"
            f" new {new} answers, {new_failed} failed, {broken} broken off"
        )
    return lines


def status(*, call: Call, service: str, as_json: bool, out: output.LineWriter) -> int:
    """Prints the state of each roll-out, or only of the given service's.

    Returns:
        `INCOMPLETE` if nothing is known of the service, or of any service; else `SUCCESS`.
    """
    rows = read_rollouts(call=call, service=service)
    if as_json:
        output.print_json(rows, out=out)
    else:
        for name, row in sorted(rows.items()):
            output.print_lines(format_rollout(service=name, row=row), out=out)
        if not rows:
            out(f"{service or 'no service'}: nothing is known")
    return exit_codes.ExitCode.SUCCESS if rows else exit_codes.ExitCode.INCOMPLETE


def watch(
    *,
    call: Call,
    service: str,
    as_json: bool,
    out: output.LineWriter,
    pause: Callable[[float], object] = time.sleep,
    clock: Callable[[], float] = time.monotonic,
    limit_s: float | None = None,
) -> int:
    """Prints each change of a roll-out until it has ended.

    Returns:
        `SUCCESS` if it is delivered, `FAILURE` if it was rolled back, `INCOMPLETE` if there is none or it has not ended
        after `limit_s` seconds.
    """
    started_at, last = clock(), None
    while limit_s is None or clock() - started_at < limit_s:
        row = read_rollouts(call=call, service=service).get(service)
        if row is None or not row["number"]:
            out(f"{service}: no roll-out")
            return exit_codes.ExitCode.INCOMPLETE
        shown = (row["stage"], row["reason"], row["number"])
        if shown != last:
            last = shown
            out(json.dumps(row) if as_json else "\n".join(format_rollout(service=service, row=row)))
        if row["stage"] == state.Stage.DELIVERED:
            return exit_codes.ExitCode.SUCCESS
        if row["stage"] == state.Stage.RETURNED:
            return exit_codes.ExitCode.FAILURE
        pause(WATCH_INTERVAL_S)
    return exit_codes.ExitCode.INCOMPLETE
