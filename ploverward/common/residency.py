"""The one place that computes where a request may be served, cached and sent (design 10)."""


def permitted(*, homes, older=()):
    """The permitted regions, or None for all. `older`: the homes of each configuration that may still be in
    force, or under which the ask arrived; all that name homes bind. An empty set permits no region."""
    bound = [frozenset(regions) for regions in (homes, *older) if regions]
    if not bound:
        return None
    return frozenset.intersection(*bound)


def lookup_regions(*, configuration, host: str, region: str, serving) -> frozenset:
    """The regions whose proxies a user agent of `region` may be told of for this host.

    Its own region first. Else, regions that are homes of every homed route of that host; without
    homed routes, any. Empty means that the lookup fails openly.
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
