"""Chooses the proxies that a client may connect to (design 4, 10, docs/residency.md).

Owns the time since which this node has been isolated, that is out of contact with a majority of the core nodes. At
first the other nodes are better informed, and clients are referred to them (docs/incidents/region-cut-lookups.md).
Later they count as lost, and this node answers from its own state, but sends no client out of its own region.
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
    public: str  # ADDRESS:PORT that clients reach


class Directory:
    """Answers look-ups from this node's state.

    Args:
        now: the clock, in seconds.
        members: addresses of the voting core nodes.
        is_core_live: whether this node is connected to the core node with this address.
        proxies: lists the proxies that may be named.
        configuration: the newest configuration that this node knows to be chosen, or None.
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
        contact_s: float,
    ) -> None:
        self._now = now
        self._members = members
        self._is_core_live = is_core_live
        self._proxies = proxies
        self._configuration = configuration
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
        if self.is_isolated():
            raise LookupRefusedError("cut off from the core; call another node")
        listed = self._proxies()
        # Isolated for long, this node may not know the newest home regions, so it names proxies of the client's own
        # region alone.
        configuration = None if self._isolated_since is not None else self._configuration()
        allowed = residency.lookup_regions(
            configuration=configuration, host=host, region=region, serving={proxy.region for proxy in listed}
        )
        candidates = [proxy for proxy in listed if proxy.region in allowed]
        if not candidates:
            raise LookupRefusedError("no node may serve this now")
        in_zone = [proxy for proxy in candidates if proxy.zone == zone]
        return sorted(proxy.public for proxy in in_zone or candidates)[:MAX_ADDRESSES]

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
