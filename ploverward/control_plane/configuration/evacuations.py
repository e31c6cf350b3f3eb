"""Evacuations: {"zones": those evacuated, "turns": {zone: how often it changed}}."""

from ploverward.common import errors


def zones_of(payload) -> set:
    return set((payload or {}).get("zones", ()))


def turns_of(payload) -> dict:
    return (payload or {}).get("turns", {})


def edit_for(*, zone: str, is_out: bool, is_late):
    """The edit of the register for one order to evacuate a zone (`is_out`) or to take it back.

    A round may make several attempts. The first one that sees the value binds the order to that moment: where the zone
    changed since, by this order itself or by another, it is not changed again, as that would undo a later order.
    Where no attempt saw the value before `is_late()`, the order is left: its caller was told that it has no answer.
    """
    first_seen = []

    def edit(payload):
        change_count = turns_of(payload).get(zone, 0)
        if not first_seen:
            if is_late():
                raise errors.QuorumUnavailableError("no majority in time", step="evacuation", peer=zone)
            first_seen.append(change_count)
        zones = zones_of(payload)
        if change_count != first_seen[0] or (zone in zones) == is_out:
            return payload, None
        wanted = zones | {zone} if is_out else zones - {zone}
        return {"zones": sorted(wanted), "turns": {**turns_of(payload), zone: change_count + 1}}, None

    return edit
