"""Checks custody trails against the residency rules, using only the trails and the zones (docs/residency.md).

The check is a pure function and shares no code with the request path, so that it does not repeat that code's errors.
"""

import collections.abc
import typing

Json: typing.TypeAlias = dict[str, typing.Any]

# Keys of a trail, as `ploverward.data_plane.requests.custody_trails` writes it.
REQUEST_ID = "id"
HOME_REGIONS = "homes"  # in a trail: regions permitted when the request arrived; in an attempt: when it was sent
ATTEMPTS = "goes"
END = "end"  # how the attempt ended
NOT_SENT = "not sent"  # value of `END` of an attempt that sent no byte
REPLICA = "replica"
ZONE = "zone"
CACHED_AT = "kept"  # replicas that still have parts of the prompt in their caches


def find_violations(*, trail: Json, zones: collections.abc.Mapping[str, str]) -> list[str]:
    """Checks where one request was sent and cached against its permitted regions.

    Args:
        trail: The trail of the request.
        zones: The region of each zone.

    Returns:
        One line of text for each violation.
    """
    violations = [
        violation
        for attempt in trail[ATTEMPTS]
        if (violation := _find_attempt_violation(trail, attempt, zones)) is not None
    ]
    permitted = [set(attempt[HOME_REGIONS]) for attempt in trail[ATTEMPTS] if attempt[HOME_REGIONS]]
    for cached in trail.get(CACHED_AT, ()):
        region = zones.get(cached[ZONE], cached[ZONE])
        if any(region not in regions for regions in permitted):
            violations.append(
                f"{trail[REQUEST_ID]}: {cached[REPLICA]} in {region} still caches parts of the prompt,"
                " outside the permitted regions"
            )
    return violations


def _find_attempt_violation(trail: Json, attempt: Json, zones: collections.abc.Mapping[str, str]) -> str | None:
    if attempt[END] == NOT_SENT:
        return None
    request_id, replica, permitted = trail[REQUEST_ID], attempt[REPLICA], attempt[HOME_REGIONS]
    region = zones.get(attempt[ZONE])
    if region is None:
        return f"{request_id}: {replica} is in the unknown zone {attempt[ZONE]}"
    if permitted and region not in permitted:
        return f"{request_id}: {replica} in {region} held text and cache; permitted were {', '.join(permitted)}"
    if permitted and trail[HOME_REGIONS] and region not in trail[HOME_REGIONS]:
        at_arrival = ", ".join(trail[HOME_REGIONS])
        return f"{request_id}: {replica} in {region}; at its arrival permitted were {at_arrival}"
    return None


def summary(
    *,
    trails: collections.abc.Collection[Json],
    coverage: collections.abc.Collection[Json],
    zones: collections.abc.Mapping[str, str],
) -> Json:
    """Audits many trails and summarizes the result.

    Args:
        trails: The trails.
        coverage: Rows returned by `trail_store.TrailStore.coverage`.
        zones: The region of each zone.

    Returns:
        Counts, the violations ("outside"), and the incarnations of proxies whose trails are incomplete.
    """
    incomplete = [row for row in coverage if row["missing_batches"] or _ended_without_closing(row)]
    return {
        "trails": len(trails),
        "homed": sum(1 for trail in trails if trail[HOME_REGIONS]),
        "outside": [violation for trail in trails for violation in find_violations(trail=trail, zones=zones)],
        "lives": len(coverage),
        "lives_with_parts_missing": [
            {
                "node": row["node"],
                "life": row["life"],
                "missing_batches": row["missing_batches"],
                "ended_without_closing": _ended_without_closing(row),
            }
            for row in incomplete
        ],
    }


def _ended_without_closing(row: Json) -> bool:
    return not (row["is_closed"] or row["is_live"])
