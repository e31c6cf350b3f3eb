"""ploverward pins: which adapters keep arriving cold, and which each replica should keep pinned (docs/pins.md)."""

import collections
import json

from ploverward.common import errors
from ploverward.control_plane.adapter_cache import adapter_usage
from ploverward.control_plane.adapter_cache import pin_suggestion
from ploverward.data_plane.adapter_cache import adapter_counts


class Filter:
    """What the operator wants to see; a name that nobody knows is an error, not an empty table."""

    def __init__(self, *, service="", model="", zone="", replica=""):
        self.wanted = {"service": service, "model": model, "zone": zone, "replica": replica}

    def check(self, *, known: dict) -> None:
        for kind, name in self.wanted.items():
            if name and name not in known[kind]:
                raise errors.PloverwardError(
                    f"unknown {kind} '{name}'; known: {', '.join(sorted(known[kind])) or 'none'}", step="pins"
                )


def collect(*, core_client) -> dict:
    """All that the core nodes in reach know, each window of a life once."""
    results, missed = core_client.all(path="/ploverward/adapters")
    bodies = []
    for address, (status, body) in sorted(results.items()):
        if status == 200 and body:
            bodies.append(body)
        else:
            missed[address] = f"answered {status}"
    if not bodies:
        raise errors.PloverwardError(
            "no core node could be reached: " + "; ".join(f"{host} ({why})" for host, why in sorted(missed.items())),
            step="pins",
        )
    newest = max(bodies, key=lambda body: len(body["replicas"]))
    return {
        "windows": list(adapter_usage.merge(tables=[body["windows"] for body in bodies]).values()),
        "replicas": newest["replicas"],
        "zones": newest["zones"],
        "unreachable": missed,
        "window_s": newest["window_s"],
        "malformed": sum(body["malformed"] for body in bodies),
        "malformed_replicas": newest["malformed_replicas"],
        "proxies": {row["life"]: row for body in bodies for row in body["proxies"]},
    }


def routes_of(*, body) -> dict:
    return {
        row["name"]: {
            "homes": row.get("homeRegions") or [],
            "urgency": row.get("urgency") or 0,
            "target_ms": row.get("targetMs") or 0,
        }
        for row in (body or {}).get("routes", ())
    }


def capacity_of(*, replicas, given: int) -> dict:
    """Pins a replica: as the operator says, else the most that any replica of the service is seen to hold at once."""
    found = collections.Counter()
    for row in replicas:
        found[row["service"]] = max(found[row["service"]], given or len(row["adapters"] or ()))
    return dict(found)


def read_previous(*, path: str) -> dict:
    if not path:
        return {}
    try:
        with open(path, encoding="utf-8") as handle:
            body = json.load(handle)
        made = body["suggestion"]
        return {
            "new": made["new"],
            "replicas": {
                name: {"pins": [tuple(pair) for pair in row["pins"]]} for name, row in made["replicas"].items()
            },
        }
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as fault:
        raise errors.PloverwardError(f"{path} is no earlier output of pins --json: {fault}", step="pins") from None


def report(*, seen: dict, routes: dict, capacity: int, previous: dict, wanted: Filter) -> dict:
    replicas = [
        {**row, "adapters": None if row["adapters"] is None else [tuple(pair) for pair in row["adapters"]]}
        for row in seen["replicas"]
        if not row["is_clearing"]
    ]
    wanted.check(
        known={
            "service": {row["service"] for row in seen["replicas"]},
            "zone": set(seen["zones"]),
            "model": {model for row in seen["replicas"] for model in row["models"]},
            "replica": {row["id"] for row in seen["replicas"]},
        }
    )
    caps = capacity_of(replicas=replicas, given=capacity)
    made = pin_suggestion.suggest(
        windows=seen["windows"], replicas=replicas, routes=routes, capacity=caps, previous=previous
    )
    filters = wanted.wanted
    evidence = []
    for (service, model, adapter), regions in sorted(
        pin_suggestion.demand(windows=seen["windows"], routes=routes).items()
    ):
        for region, row in sorted(regions.items()):
            if filters["service"] in ("", service) and filters["model"] in ("", model):
                evidence.append(
                    {
                        "service": service,
                        "model": model,
                        "adapter": adapter,
                        "region": region,
                        **{field: row[field] for field in adapter_counts.FIELDS},
                    }
                )
    made["replicas"] = {
        name: row
        for name, row in made["replicas"].items()
        if filters["service"] in ("", row["service"])
        and filters["zone"] in ("", row["zone"])
        and filters["replica"] in ("", name)
    }
    heard = {window["life"] for window in seen["windows"]}
    return {
        "suggestion": made,
        "evidence": evidence,
        "nodes": _by_node(seen["windows"]),
        "capacity": caps,
        "coverage": {
            "windows": len(seen["windows"]),
            "oldest_s": max((row["age_s"] for row in seen["windows"]), default=0),
            "newest_s": min((row["age_s"] for row in seen["windows"]), default=0),
            "proxies_in_touch": len(seen["proxies"]),
            "proxies_heard": len(heard & set(seen["proxies"])),
            "unreachable": seen["unreachable"],
            "malformed_counts": seen["malformed"],
            "malformed_replicas": seen["malformed_replicas"],
            "uncounted": sum(row["over"] for row in seen["windows"]),
        },
    }


def _by_node(windows) -> list:
    """Which adapters arrive cold as each proxy sees it: where the work lands."""
    table = collections.defaultdict(lambda: [0, 0])
    for window in windows:
        for service, model, adapter, _replica, _route, *numbers in window["rows"]:
            row = table[(window["node"], window["zone"], service, model, adapter)]
            fields = dict(zip(adapter_counts.FIELDS, numbers, strict=False))
            row[0] += fields["cold"]
            row[1] += pin_suggestion.arrivals(fields)
    return [
        {
            "node": node,
            "zone": zone,
            "service": service,
            "model": model,
            "adapter": adapter,
            "cold": cold,
            "arrivals": count,
        }
        for (node, zone, service, model, adapter), (cold, count) in sorted(
            table.items(), key=lambda one: (-one[1][0], one[0])
        )
        if cold
    ]


def lines_of(*, results: dict) -> list:
    made, coverage = results["suggestion"], results["coverage"]
    lines = []
    if not results["evidence"]:
        lines.append("no adapters seen: nothing to pin")
    else:
        lines.append(
            f"{'ADAPTER':<24} {'REGION':<14} {'WARM':>6} {'COLD':>6} {'UNKNOWN':>7} {'LOADS':>6} {'WAIT MS':>8} {'LATE':>5}"
        )
        for row in results["evidence"]:
            mean = round(row["wait_ms"] / row["waits"]) if row["waits"] else 0
            name = f"{row['model']}/{row['adapter'] or '(unknown)'}"
            lines.append(
                f"{name:<24} {row['region']:<14} {row['warm']:>6} {row['cold']:>6} {row['unknown']:>7} {row['loads']:>6} {mean:>8} {row['late']:>5}"
            )
        lines.append("")
        lines.append(f"{'REPLICA':<24} {'ZONE':<18} KEEP PINNED (+ is to be loaded)")
        for name, row in sorted(made["replicas"].items(), key=lambda one: (one[1]["zone"], one[0])):
            if row["pins"] or results["capacity"].get(row["service"]):
                prefixes = ["+" if pair in [tuple(one) for one in row["to_load"]] else "" for pair in row["pins"]]
                names = ", ".join(
                    f"{prefix}{model}/{adapter}"
                    for prefix, (model, adapter) in zip(prefixes, row["pins"], strict=False)
                )
                lines.append(
                    f"{name:<24} {row['zone']:<18} {names or '-'}{'' if row['is_known'] else '  (what it holds is not known)'}"
                )
        for service, zones in made["new"].items():
            for zone, pairs in zones.items():
                if pairs:
                    lines.append(
                        f"{'a new one of ' + service:<24} {zone:<18} {', '.join('/'.join(pair) for pair in pairs)}"
                    )
        saving = made["saving"]
        lines.append("")
        lines.append(
            f"expected saving: {saving['cold_waits']} of {saving['of_cold_waits']} cold waits, {saving['wait_ms']} ms of waiting"
        )
        for row in made["missing"]:
            lines.append(f"missing: {row['model']}/{row['adapter']} {row['region']}: {row['why']}")
        for row in made["too_little_evidence"]:
            lines.append(
                f"too little evidence: {row['model']}/{row['adapter']} {row['region']}: {row['arrivals']} arrivals"
            )
    lines.append(
        f"evidence: {coverage['windows']} windows of {coverage['proxies_heard']} of {coverage['proxies_in_touch']} proxies in touch,"
        f" {coverage['newest_s']:.0f} to {coverage['oldest_s']:.0f} s old"
    )
    if coverage["uncounted"]:
        lines.append(f"counted without a row of their own: {coverage['uncounted']} arrivals")
    if coverage["malformed_counts"] or coverage["malformed_replicas"]:
        lines.append(
            f"skipped as malformed: {coverage['malformed_counts']} counts; adapters of {', '.join(coverage['malformed_replicas']) or 'no replica'}"
        )
    for address, why in sorted(coverage["unreachable"].items()):
        lines.append(f"unreachable: {address} ({why}); what only it knows is missing")
    return lines


def run(*, core_client, as_json: bool, out, capacity: int = 0, previous: str = "", wanted=None) -> int:
    if capacity < 0:
        raise errors.PloverwardError("--capacity must not be below 0", step="pins")
    seen = collect(core_client=core_client)
    try:
        status, body = core_client.any(method="GET", path="/ploverward/configuration")
    except errors.QuorumUnavailableError:
        status, body = 503, None
    if status != 200:
        raise errors.PloverwardError(
            "the configuration can't be read: homes are not known, so nothing is suggested", step="pins"
        )
    results = report(
        seen=seen,
        routes=routes_of(body=body),
        capacity=capacity,
        previous=read_previous(path=previous),
        wanted=wanted or Filter(),
    )
    if as_json:
        out(json.dumps(results, indent=2))
    else:
        for line in lines_of(results=results):
            out(line)
    return 3 if seen["unreachable"] else 0
