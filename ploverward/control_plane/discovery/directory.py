"""Chooses the proxies that a client may connect to (design 4, 10, docs/residency.md).

Owns the time since which this node has been isolated, that is out of contact with a majority of the core nodes. At
first the other nodes may serve a client better, and it is referred to them (docs/incidents/region-cut-lookups.md),
unless nothing that it needs is out of reach: its region is complete, and each route of its host has a home in reach.
Later the others count as lost, and this node answers from its own state. It sends no client out of its own region.
"""

import collections.abc
import typing

from ploverward.common import errors
from ploverward.common import residency
from ploverward.control_plane.consensus import ballots

MAX_ADDRESSES = 64  # of one answer; the protocol's figure
SILENT_CONTACTS = 2  # an isolated node refuses look-ups for so many contactMs


class LookupRefusedError(errors.PloverwardError):
    """No proxy can be named now; the client retries, here or at another node."""


class ListedProxy(typing.Protocol):
    """A proxy that may be named to clients."""

    zone: str
    region: str
    public_address: str  # ADDRESS:PORT that clients reach


class Directory:
    """Answers look-ups from this node's state.

    Args:
        now: the clock, in seconds.
        members: addresses of the voting core nodes.
        is_core_live: whether this node is connected to the core node with this address.
        proxies: lists the proxies that may be named.
        configuration: the newest configuration that this node knows to be chosen, or None.
        zones: zone to region, of the settings.
        contact_s: `contactMs` of the settings, in seconds.
    """

    def __init__(
        self,
        *,
        now: collections.abc.Callable[[], float],
        members: collections.abc.Callable[[], collections.abc.Collection[str]],
        is_core_live: collections.abc.Callable[[str], bool],
        proxies: collections.abc.Callable[[], collections.abc.Sequence[ListedProxy]],
        configuration: collections.abc.Callable[[], dict[str, typing.Any] | None],
        zones: collections.abc.Callable[[], collections.abc.Mapping[str, str]],
        contact_s: float,
    ) -> None:
        self._now = now
        self._members = members
        self._is_core_live = is_core_live
        self._proxies = proxies
        self._configuration = configuration
        self._zones = zones
        self._contact_s = contact_s
        self._isolated_since: float | None = None

    def find_addresses(self, *, host: str, region: str, zone: str) -> list[str]:
        """Finds proxies for a client: those in its zone, else any that may serve the host.

        Args:
            host: the host that the client looks up.
            region: the client's region, or "".
            zone: the client's zone, or "".

        Returns:
            ADDRESS:PORT of each proxy, at least one.

        Raises:
            LookupRefusedError: this node must not answer now, or no proxy may serve the host.
        """
        listed = self._proxies()
        if self.is_isolated() and not self._has_all_in_reach(host=host, region=region, listed=listed):
            raise LookupRefusedError("cut off from the core; call another node")
        # An isolated node may not know the newest home regions, so it names proxies of the client's own region alone.
        configuration = None if self._isolated_since is not None else self._configuration()
        allowed = residency.lookup_regions(
            configuration=configuration, host=host, region=region, serving={proxy.region for proxy in listed}
        )
        candidates = [proxy for proxy in listed if proxy.region in allowed]
        if not candidates:
            raise LookupRefusedError("no node may serve this now")
        in_zone = [proxy for proxy in candidates if proxy.zone == zone]
        return sorted(proxy.public_address for proxy in in_zone or candidates)[:MAX_ADDRESSES]

    def is_isolated(self) -> bool:
        """Whether this node lost the majority so recently that other nodes may know more."""
        members = self._members()
        live = {host for host in members if self._is_core_live(host)}
        if ballots.has_majority(of=members, among=live):
            self._isolated_since = None
            return False
        if self._isolated_since is None:
            self._isolated_since = self._now()
        return self._now() - self._isolated_since < self._contact_s * SILENT_CONTACTS

    def _has_all_in_reach(self, *, host: str, region: str, listed: collections.abc.Sequence[ListedProxy]) -> bool:
        """Whether a client of this region loses nothing if it stays there while this node is isolated.

        That is so where the region is complete, so that the cut goes around it and not through it, and where each route
        of the host has a home in reach. Which side has a majority, or whether any has, does not matter then: this node
        can't know it.
        """
        zones = {zone for zone, its_region in self._zones().items() if its_region == region}
        if not zones or not zones <= {proxy.zone for proxy in listed}:
            return False
        regions = {proxy.region for proxy in listed}
        configuration = self._configuration()
        if configuration is None:
            return False
        return all(
            not route.get("homeRegions") or regions & set(route["homeRegions"])
            for route in configuration.get("routes", ())
            if route.get("host", "").lower() == host.lower()
        )
