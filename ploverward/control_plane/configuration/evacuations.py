"""The register of evacuated zones: its stored form and the edit for one order (docs/orders.md 4).

The payload is `{"zones": [evacuated zones], "turns": {zone: number of changes}}`. Values written by earlier versions of
the software lack "turns". Invariant: the change count of a zone rises by one with each change of that zone, and only
then.
"""

import collections.abc

from ploverward.common import errors
from ploverward.control_plane.configuration.register_payloads import Edit
from ploverward.control_plane.configuration.register_payloads import Payload

ZONES_KEY = "zones"
CHANGE_COUNTS_KEY = "turns"


def zones_of(payload: Payload) -> set[str]:
    """Returns the evacuated zones."""
    return set((payload or {}).get(ZONES_KEY, ()))


def _change_counts_of(payload: Payload) -> dict[str, int]:
    return (payload or {}).get(CHANGE_COUNTS_KEY, {})


def edit_for(*, zone: str, is_evacuated: bool, is_late: collections.abc.Callable[[], bool]) -> Edit:
    """Returns the edit for one order to evacuate a zone or to end its evacuation.

    A consensus round may apply the edit several times. The first application records the change count of the zone. If
    a later one finds another count, the zone has changed since, by this order or by another, and is left as it is:
    a further change would undo a later order (docs/incidents/evacuation-undone.md).

    Args:
        zone: The zone.
        is_evacuated: True to evacuate the zone, False to end its evacuation.
        is_late: Returns whether the caller has been answered already. If so at the first application, the order is
            dropped.

    Returns:
        The edit. It raises `QuorumUnavailableError` if the order is dropped.
    """
    first_change_count: list[int] = []  # one entry after the first application

    def edit(payload: Payload) -> tuple[Payload, None]:
        change_count = _change_counts_of(payload).get(zone, 0)
        if not first_change_count:
            if is_late():
                raise errors.QuorumUnavailableError("no majority in time", step="evacuation", peer=zone)
            first_change_count.append(change_count)
        zones = zones_of(payload)
        if change_count != first_change_count[0] or (zone in zones) == is_evacuated:
            return payload, None
        wanted = zones | {zone} if is_evacuated else zones - {zone}
        change_counts = {**_change_counts_of(payload), zone: change_count + 1}
        return {ZONES_KEY: sorted(wanted), CHANGE_COUNTS_KEY: change_counts}, None

    return edit
