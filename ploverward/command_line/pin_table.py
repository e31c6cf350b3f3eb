"""Formats the report of `ploverward pins` as lines for people (docs/pins.md 6)."""

from typing import Any

from ploverward.command_line import output

Json = dict[str, Any]


def format_report(*, results: Json) -> list[str]:
    """Returns the lines of a report from `pin_report.build_report`."""
    lines = []
    if not results["evidence"]:
        lines.append("no adapters seen: nothing to pin")
    else:
        suggestion = results["suggestion"]
        lines += _evidence_lines(results["evidence"])
        lines.append("")
        lines += _replica_lines(suggestion, capacity=results["capacity"])
        lines += _new_replica_lines(suggestion["new"])
        lines.append("")
        lines += _outcome_lines(suggestion)
    return lines + _coverage_lines(results["coverage"])


def _evidence_lines(evidence: list[Json]) -> list[str]:
    lines = [
        f"{'ADAPTER':<24} {'REGION':<14} {'WARM':>6} {'COLD':>6} {'UNKNOWN':>7} {'LOADS':>6} {'WAIT MS':>8} {'LATE':>5}"
    ]
    for row in evidence:
        mean_wait_ms = round(row["wait_ms"] / row["waits"]) if row["waits"] else 0
        name = f"{row['model']}/{row['adapter'] or '(unknown)'}"
        lines.append(
            f"{name:<24} {row['region']:<14} {row['warm']:>6} {row['cold']:>6} {row['unknown']:>7}"
            f" {row['loads']:>6} {mean_wait_ms:>8} {row['late']:>5}"
        )
    return lines


def _replica_lines(suggestion: Json, *, capacity: dict[str, int]) -> list[str]:
    lines = [f"{'REPLICA':<24} {'ZONE':<18} KEEP PINNED (+ is to be loaded)"]
    for name, row in sorted(suggestion["replicas"].items(), key=lambda item: (item[1]["zone"], item[0])):
        if row["pins"] or capacity.get(row["service"]):
            note = "" if row["is_known"] else "  (what it holds is not known)"
            lines.append(f"{name:<24} {row['zone']:<18} {_pin_names(row) or '-'}{note}")
    return lines


def _pin_names(row: Json) -> str:
    to_load = [tuple(pair) for pair in row["to_load"]]
    return ", ".join(f"{'+' if (model, adapter) in to_load else ''}{model}/{adapter}" for model, adapter in row["pins"])


def _new_replica_lines(new: Json) -> list[str]:
    return [
        f"{'a new one of ' + service:<24} {zone:<18} {', '.join('/'.join(pair) for pair in pairs)}"
        for service, zones in new.items()
        for zone, pairs in zones.items()
        if pairs
    ]


def _outcome_lines(suggestion: Json) -> list[str]:
    saving = suggestion["saving"]
    lines = [
        f"expected saving: {saving['cold_waits']} of {saving['of_cold_waits']} cold waits,"
        f" {saving['wait_ms']} ms of waiting"
    ]
    lines += [
        f"missing: {row['model']}/{row['adapter']} {row['region']}: {row['why']}" for row in suggestion["missing"]
    ]
    lines += [
        f"too little evidence: {row['model']}/{row['adapter']} {row['region']}: {row['arrivals']} arrivals"
        for row in suggestion["too_little_evidence"]
    ]
    return lines


def _coverage_lines(coverage: Json) -> list[str]:
    lines = [
        f"evidence: {coverage['windows']} windows of {coverage['proxies_heard']} of {coverage['proxies_in_touch']}"
        f" proxies in touch, {coverage['newest_s']:.0f} to {coverage['oldest_s']:.0f} s old"
    ]
    if coverage["uncounted"]:
        lines.append(f"counted without a row of their own: {coverage['uncounted']} arrivals")
    if coverage["malformed_counts"] or coverage["malformed_replicas"]:
        lines.append(
            f"skipped as malformed: {coverage['malformed_counts']} counts;"
            f" adapters of {', '.join(coverage['malformed_replicas']) or 'no replica'}"
        )
    template = "unreachable: {address} ({why}); what only it knows is missing"
    return lines + output.unreachable_lines(coverage["unreachable"], template=template)
