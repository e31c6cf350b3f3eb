"""Checks custody trails against the rules, by the trails and the zones alone (docs/residency.md)."""


def violations_of(*, trail: dict, zones: dict) -> list:
    """What in one trail stands outside the permitted regions. `zones`: zone -> region, told by the core."""
    found = []
    for go in trail["goes"]:
        if go["end"] == "not sent":
            continue  # no byte left the proxy
        homes = go["homes"]
        region = zones.get(go["zone"])
        if region is None:
            found.append(f"{trail['id']}: {go['replica']} is in a zone that nobody knows, {go['zone']}")
        elif homes and region not in homes:
            found.append(
                f"{trail['id']}: {go['replica']} in {region} held text and cache; permitted were {', '.join(homes)}"
            )
        elif homes and trail["homes"] and region not in trail["homes"]:
            found.append(
                f"{trail['id']}: {go['replica']} in {region}; at its arrival permitted were {', '.join(trail['homes'])}"
            )
    homes = [set(go["homes"]) for go in trail["goes"] if go["homes"]]
    for kept in trail.get("kept", ()):
        region = zones.get(kept["zone"], kept["zone"])
        if any(region not in permitted for permitted in homes):
            found.append(
                f"{trail['id']}: {kept['replica']} in {region} still keeps parts outside the permitted regions"
            )
    return found


def summary(*, trails: list, coverage: list, zones: dict) -> dict:
    found = []
    for trail in trails:
        found += violations_of(trail=trail, zones=zones)
    gaps = [row for row in coverage if row["missing_batches"] or not (row["is_closed"] or row["is_live"])]
    return {
        "trails": len(trails),
        "homed": sum(1 for trail in trails if trail["homes"]),
        "outside": found,
        "lives": len(coverage),
        "lives_with_parts_missing": [
            {
                "node": row["node"],
                "life": row["life"],
                "missing_batches": row["missing_batches"],
                "ended_without_closing": not (row["is_closed"] or row["is_live"]),
            }
            for row in gaps
        ],
    }
