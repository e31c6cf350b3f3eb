"""Roll-outs for operators: start one, see where it stands and why, watch it to its end (docs/rollouts.md 8)."""

import json
import time

from ploverward.common import errors
from ploverward.control_plane.rollouts import state

PATH = "/ploverward/rollouts"
WATCH_INTERVAL_S = 1.0
DONE, WRONG, MISSING = 0, 1, 3


def start(*, call, service: str, edition: str, over_s: float, out) -> int:
    """Orders a roll-out. 0: taken, or known already; 1: refused, with the reason."""
    body = json.dumps({"destination": service, "targetEdition": edition, "overS": over_s}).encode()
    status, answer = call("POST", PATH, body)
    if 200 <= status < 300:
        out(f"{service}: roll-out to {edition} over {over_s:g} s is ordered")
        return DONE
    out(f"{service}: {(answer or {}).get('error', status)}")
    return WRONG


def read(*, call, service: str = "") -> dict:
    """Service: what the core says of its roll-out. Raises Problem where the core can't be sure."""
    status, answer = call("GET", PATH, b"")
    if status != 200:
        raise errors.PloverwardError(f"the core answers {status}", step="roll-outs")
    rows = answer["rollouts"]
    return {name: row for name, row in rows.items() if not service or name == service}


def lines(*, service: str, row: dict) -> list:
    """What stands, and the evidence of each step, for people."""
    if not row["number"]:
        return [f"{service}: no roll-out; versions in service: {', '.join(row['admitted']) or 'all'}"]
    lines = [f"{service}: {row['stage']} ({row['condition']}), to {row['targetEdition']} over {row['overS']:g} s"]
    if row["reason"]:
        lines.append(f"  why: {row['reason']}")
    lines.append(f"  versions in service without a lease: {', '.join(row['admitted']) or 'all but the target'}")
    for step in row["record"]:
        lines.append(
            f"  {step['age_s']:7.1f} s  {step['stage']:<10} {step['sent_new']} of {step['sent']} requests: {step['reason']}"
        )
        for route, (former, former_failed, new, new_failed, broken) in step["routes"].items():
            lines.append(
                f"             {route}: former {former} answers, {former_failed} failed;"
                f" new {new} answers, {new_failed} failed, {broken} broken off"
            )
    return lines


def status(*, call, service: str, as_json: bool, out) -> int:
    """3 where the service named has no roll-out and no admitted version is known."""
    rows = read(call=call, service=service)
    if as_json:
        out(json.dumps(rows, indent=2))
    else:
        for name, row in sorted(rows.items()):
            for line in lines(service=name, row=row):
                out(line)
        if not rows:
            out(f"{service or 'no service'}: nothing is known")
    return DONE if rows else MISSING


def watch(*, call, service: str, as_json: bool, out, pause=time.sleep, clock=time.monotonic, limit_s=None) -> int:
    """Tells each change until the roll-out is done: 0 delivered, 1 returned, 3 not known or over `limit_s`."""
    begun, last = clock(), None
    while limit_s is None or clock() - begun < limit_s:
        row = read(call=call, service=service).get(service)
        if row is None or not row["number"]:
            out(f"{service}: no roll-out")
            return MISSING
        shown = (row["stage"], row["reason"], row["number"])
        if shown != last:
            last = shown
            out(json.dumps(row) if as_json else "\n".join(lines(service=service, row=row)))
        if row["stage"] == state.Stage.DELIVERED:
            return DONE
        if row["stage"] == state.Stage.RETURNED:
            return WRONG
        pause(WATCH_INTERVAL_S)
    return MISSING
