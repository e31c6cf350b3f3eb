"""Data residency: the only code that computes in which regions a request may be processed (docs/residency.md).

This covers where a request may be served, cached and sent.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

Regions = frozenset[str]


def permitted(*, homes: Collection[str], older_homes: Iterable[Collection[str]] = ()) -> Regions | None:
    """Returns the regions in which a request may be served.

    Args:
        homes: Home regions of the request's route in the current configuration; empty if it has none.
        older_homes: Home regions of the route in each configuration that may still be in use, or under which the
            request arrived. The result is in the home regions of all of them, as a proxy can't know which configuration
            the other nodes apply; configurations without home regions do not restrict it.

    Returns:
        The permitted regions, or None if all are permitted. An empty set permits no region.
    """
    restrictions = [frozenset(regions) for regions in (homes, *older_homes) if regions]
    if not restrictions:
        return None
    return frozenset.intersection(*restrictions)


def lookup_regions(
    *, configuration: Mapping[str, Any] | None, host: str, region: str, serving: Iterable[str]
) -> Regions:
    """Returns the regions whose proxies a lookup of a host may return to a client.

    This is the client's own region if it has serving proxies. Otherwise it is the serving regions that are home regions
    of every route of the host that has home regions, or all serving regions if there is no such route.

    Args:
        configuration: The current configuration, in the form that operators send; None if it is not known.
        host: The host that the client looks up.
        region: The region of the client.
        serving: Regions that have serving proxies.

    Returns:
        The regions. If empty, the lookup must fail visibly, as any proxy could be outside the home regions.
    """
    serving = frozenset(serving)
    if region in serving:
        return frozenset((region,))
    if configuration is None:
        return frozenset()
    allowed = serving
    for route in configuration.get("routes", ()):
        if route.get("host", "").lower() == host.lower() and route.get("homeRegions"):
            allowed &= frozenset(route["homeRegions"])
    return allowed
