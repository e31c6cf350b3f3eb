"""ploverward custody: which nodes held a request's text and cache, and the audit of all trails (docs/residency.md)."""

import json
import urllib.parse

from ploverward.common import errors
from ploverward.control_plane.audit import trail_audit


def show(*, core_client, request_id: str, as_json: bool, out) -> int:
    responses, missed = core_client.all(path="/ploverward/custody/" + urllib.parse.quote(request_id, safe=""))
    trails = []
    kept_known = True
    for _address, (status, body) in sorted(responses.items()):
        if status == 200 and body:
            trails += body["trails"]
            kept_known = kept_known and body["kept_known"]
    if as_json:
        out(json.dumps({"id": request_id, "trails": trails, "unreachable": missed, "kept_known": kept_known}, indent=2))
    else:
        for trail in trails:
            for line in lines_of(trail=trail, kept_known=kept_known):
                out(line)
        for address, why in sorted(missed.items()):
            out(f"unreachable: {address} ({why}); its part of the trail is missing")
    if not trails:
        if not as_json:
            out(f"no trail of '{request_id}' on the nodes in reach: never seen, too long ago, or lost with its proxy")
        return 1
    return 3 if missed else 0


def lines_of(*, trail: dict, kept_known: bool) -> list:
    homes = ", ".join(trail["homes"]) or "any region"
    lines = [
        f"{trail['id']}  route {trail['route']}  configuration {trail['edition']}  permitted: {homes}",
        f"  proxy    {trail['proxy']} ({trail['region']})  held the text from arrival for {trail['lasted_ms']} ms, answered {trail['status'] or 'nothing whole'}",
    ]
    for go in trail["goes"]:
        what = "resumed at" if go["is_resumption"] else "sent to"
        end = "until now" if go["to_ms"] is None else f"to {go['to_ms']} ms"
        lines.append(f"  {what:<10} {go['replica']} in {go['zone']}  from {go['from_ms']} ms {end}  ({go['end']})")
    if trail.get("kept"):
        for kept in trail["kept"]:
            lines.append(f"  keeps parts, as modelled: {kept['replica']} in {kept['zone']}")
    elif trail["parts"]:
        lines.append("  keeps parts: " + ("none, as modelled" if kept_known else "could not be asked"))
    return lines


def collect(*, core_client, cursors=None) -> tuple:
    """(trails, coverage, unreachable, zones) of all core nodes; `marks` keeps the place in each between calls."""
    cursors = {} if cursors is None else cursors
    trails, coverage, missed, zones = [], [], {}, {}
    for address in core_client.addresses:
        while True:
            try:
                status, body = core_client.one(
                    address=address, method="GET", path=f"/ploverward/custody?after={cursors.get(address, 0)}"
                )
            except errors.QuorumUnavailableError as fault:
                missed[address] = fault.text
                break
            if status != 200 or not body:
                missed[address] = f"answered {status}"
                break
            trails += body["trails"]
            zones.update(body["zones"])
            cursors[address] = body["last"]
            if not body["has_more"]:
                coverage += body["coverage"]
                break
    return trails, coverage, missed, zones


def audit(*, core_client, as_json: bool, out) -> int:
    """0: all trails clean and covered; 1: a node outside held something; 3: clean as far as seen, with parts missing."""
    trails, coverage, missed, zones = collect(core_client=core_client)
    found = trail_audit.summary(trails=trails, coverage=coverage, zones=zones)
    found["unreachable"] = missed
    if as_json:
        out(json.dumps(found, indent=2))
    else:
        out(f"{found['trails']} trails, {found['homed']} of them bound to regions; {found['lives']} proxy lives")
        for line in found["outside"]:
            out(f"OUTSIDE: {line}")
        for row in found["lives_with_parts_missing"]:
            why = (
                "ended without closing"
                if row["ended_without_closing"]
                else f"{row['missing_batches']} batches did not come"
            )
            out(f"missing: {row['node']} life {row['life']}: {why}")
        for address, why in sorted(missed.items()):
            out(f"unreachable: {address} ({why})")
        out("outside: none" if not found["outside"] else f"outside: {len(found['outside'])}")
    if found["outside"]:
        return 1
    return 3 if found["lives_with_parts_missing"] or missed or not trails else 0
