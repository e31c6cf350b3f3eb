"""The one place that computes where a request may be served, cached and sent (docs/residency.md)."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

Regions = frozenset[str]


def permitted(*, homes: Collection[str], older: Iterable[Collection[str]] = ()) -> Regions | None:
    """Computes the regions in which a request may be served.

    Args:
        homes: The home regions that the configuration in force gives the request's route; empty where it gives none.
        older: The same by each configuration that may still be in force, or under which the request arrived. All that
            name regions bind: a proxy can't know which of them the others apply.

    Returns:
        The permitted regions, None for all of them. An empty set permits no region.
    """
    bound = [frozenset(regions) for regions in (homes, *older) if regions]
    if not bound:
        return None
    return frozenset.intersection(*bound)


def lookup_regions(
    *, configuration: Mapping[str, Any] | None, host: str, region: str, serving: Iterable[str]
) -> Regions:
    """Computes the regions whose proxies a client may be given for a host.

    Its own region where that has proxies. Else the regions that are homes of every route of the host with home regions;
    without such routes, any.

    Args:
        configuration: The configuration in force, as operators send it; None where it is not known.
        host: The host that the client looks up.
        region: The client's region.
        serving: Regions with proxies that serve.

    Returns:
        The regions. Empty means that the look-up has to fail openly: an answer could lead out of the home regions.
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
