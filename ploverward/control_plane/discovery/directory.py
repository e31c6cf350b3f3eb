"""Chooses the proxies that a client may connect to (design 4, 10, docs/residency.md).

The directory records since when this node has been isolated, that is without contact with a majority of the core nodes.
At first other core nodes may serve a client better, so this node refers the client to them
(docs/incidents/region-cut-lookups.md). It answers at once only if the client needs nothing that is unreachable: its
region is complete, and each route of its host has a reachable home region. After `REFUSAL_CONTACTS` contact periods the
other nodes count as lost, and this node answers from its own state. An isolated node sends no client out of the
client's region.
"""

import collections.abc
import typing

from ploverward.common import errors
from ploverward.common import residency
from ploverward.control_plane.consensus import ballots

MAX_ADDRESSES = 64  # per answer, as the look-up protocol specifies
REFUSAL_CONTACTS = 2  # time for which an isolated node refuses look-ups, in multiples of contactMs


class LookupRefusedError(errors.PloverwardError):
    """No proxy can be returned now; the client retries at this node or at another one."""


class ListedProxy(typing.Protocol):
    """A proxy whose address may be returned to clients."""

    zone: str
    region: str
    public_address: str  # ADDRESS:PORT at which clients connect


class Directory:
    """Answers look-ups of clients from this node's state.

    Args:
        now: returns the time of the clock in seconds.
        members: returns the addresses of the voting core nodes.
        is_core_live: returns whether this node is connected to the core node with this address.
        proxies: returns the proxies whose addresses may be returned.
        configuration: returns the newest configuration that this node knows to be chosen, or None.
        zones: returns the region of each zone, from the settings.
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
        """Finds proxies for a client: those in its zone, or else all that may serve the host.

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
        if self.is_isolated() and not self._can_serve_while_isolated(host=host, region=region, listed=listed):
            raise LookupRefusedError("cut off from the core; call another node")
        # An isolated node may not know the newest home regions, so it returns proxies of the client's own region only.
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
        """Returns whether this node lost contact with the majority so recently that other nodes may know more."""
        members = self._members()
        live = {host for host in members if self._is_core_live(host)}
        if ballots.has_majority(of=members, among=live):
            self._isolated_since = None
            return False
        if self._isolated_since is None:
            self._isolated_since = self._now()
        return self._now() - self._isolated_since < self._contact_s * REFUSAL_CONTACTS

    def _can_serve_while_isolated(
        self, *, host: str, region: str, listed: collections.abc.Sequence[ListedProxy]
    ) -> bool:
        """Returns whether proxies of this region can serve the host in full while this node is isolated.

        This holds if the region is complete, so that the cut runs around the region and not through it, and if each
        route of the host has a reachable home region. It then does not matter which side of the cut has a majority, if
        any: this node cannot know.
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
