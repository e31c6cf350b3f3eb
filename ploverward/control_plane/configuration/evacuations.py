"""The register of evacuated zones: how it is stored and the edit for one order (docs/orders.md 4).

The payload is `{"zones": [evacuated zones], "turns": {zone: how many times it changed}}`. Values written by earlier
versions lack "turns". Invariant: the change count of a zone rises with each change and with nothing else.
"""

import collections.abc

from ploverward.common import errors
from ploverward.control_plane.configuration.register_payloads import Edit
from ploverward.control_plane.configuration.register_payloads import Payload

ZONES_KEY = "zones"
CHANGE_COUNTS_KEY = "turns"


def zones_of(payload: Payload) -> set[str]:
    """The zones that are evacuated."""
    return set((payload or {}).get(ZONES_KEY, ()))


def _change_counts_of(payload: Payload) -> dict[str, int]:
    return (payload or {}).get(CHANGE_COUNTS_KEY, {})


def edit_for(*, zone: str, is_evacuated: bool, is_late: collections.abc.Callable[[], bool]) -> Edit:
    """Makes the edit for one order to evacuate a zone or to end its evacuation.

    A consensus round may make several attempts. The first attempt that sees the value binds the order to that moment:
    if the zone has changed since, by this order or by another, it is not changed again, as that would undo a later
    order (docs/incidents/evacuation-undone.md).

    Args:
        zone: the zone.
        is_evacuated: True to evacuate it, False to end the evacuation.
        is_late: whether the caller was answered already. An order that no attempt has seen by then is dropped.

    Returns:
        The edit. It raises `QuorumUnavailableError` where the order is dropped.
    """
    first_seen: list[int] = []

    def edit(payload: Payload) -> tuple[Payload, None]:
        change_count = _change_counts_of(payload).get(zone, 0)
        if not first_seen:
            if is_late():
                raise errors.QuorumUnavailableError("no majority in time", step="evacuation", peer=zone)
            first_seen.append(change_count)
        zones = zones_of(payload)
        if change_count != first_seen[0] or (zone in zones) == is_evacuated:
            return payload, None
        wanted = zones | {zone} if is_evacuated else zones - {zone}
        change_counts = {**_change_counts_of(payload), zone: change_count + 1}
        return {ZONES_KEY: sorted(wanted), CHANGE_COUNTS_KEY: change_counts}, None

    return edit
