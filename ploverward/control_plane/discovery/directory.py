"""Look-ups of clients and the views that operator tools read (design 4, 10)."""

from ploverward.common import residency
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.operator_api import router

MAX_ADDRESSES = 64  # the protocol's figure
RETRY_LATER = ((b"Retry-After", b"1"),)


class Directory:
    """Tells user agents where to go (design 4, 10)."""

    def __init__(self, *, loop, members, is_core_live, proxies, configuration, ttl_s: int, contact_s: float):
        self._loop = loop
        self._members = members
        self._is_core_live = is_core_live
        self._proxies = proxies
        self._configuration = configuration  # the body in force as far as this node knows, or None
        self._ttl_s = ttl_s
        self._contact_s = contact_s
        self._isolated_since = None

    def rules(self) -> list:
        return [router.Rule("GET", "/ploverward/lookup", self._get_lookup)]

    def _get_lookup(self, call) -> None:
        host = call.query.get("name", "")
        region = call.query.get("region", "")
        zone = call.query.get("zone", "")
        if self.is_isolated():
            call.answer(status=503, body={"error": "cut off from the core; call another node"}, headers=RETRY_LATER)
            return
        listed = self._proxies()
        regions = {peer.region for peer in listed}
        # Cut off for long, this node may know older homes: it names proxies of the client's own region alone.
        configuration = None if self._isolated_since is not None else self._configuration()
        allowed = residency.lookup_regions(configuration=configuration, host=host, region=region, serving=regions)
        chosen = [peer for peer in listed if peer.region in allowed]
        if not chosen:
            call.answer(status=503, body={"error": "no node may serve this now"}, headers=RETRY_LATER)
            return
        near = [peer for peer in chosen if peer.zone == zone]
        chosen = near or chosen
        addresses = sorted(peer.public for peer in chosen)[:MAX_ADDRESSES]
        call.answer(status=200, body={"addressList": addresses, "ttlS": self._ttl_s})

    def is_isolated(self) -> bool:
        """Cut off from most of the core while others may see more: they tell user agents where to go. When that
        lasts, the others are taken for lost, and this node answers with what it sees."""
        members = self._members()
        if ballots.has_majority(of=members, among={host for host in members if self._is_core_live(host)}):
            self._isolated_since = None
            return False
        if self._isolated_since is None:
            self._isolated_since = self._loop.now()
        return self._loop.now() - self._isolated_since < self._contact_s * 2


class Views:
    """What operator tools read of this node."""

    def __init__(self, *, publisher, proxies, settings, votes, members, singleton_roles, core_set):
        self._publisher = publisher
        self._core_set = core_set
        self._proxies = proxies
        self._settings = settings
        self._votes = votes
        self._members = members
        self._singleton_roles = singleton_roles

    def rules(self) -> list:
        return [
            router.Rule("GET", "/ploverward/replicas", self._get_replicas),
            router.Rule("GET", "/ploverward/nodes", self._get_nodes),
            router.Rule("GET", "/ploverward/core-set", lambda call: call.answer(status=200, body=self._core_set())),
        ]

    def _get_replicas(self, call) -> None:
        current = self._publisher.get("list")
        if current is None:
            call.answer(status=503, body={"error": "no list of replicas yet"}, headers=RETRY_LATER)
            return
        epoch, number = current.version
        rows = endpoint_list.unpack_list(current.data).sorted_rows()
        call.answer(status=200, body={"epoch": epoch, "number": number, "replicas": rows})

    def _get_nodes(self, call) -> None:
        """The nodes in touch with this one."""
        settings = self._settings()
        body = {
            "node": settings.node,
            "votes": self._votes(),
            "members": list(self._members()),
            "zones": settings.zones,
            "duties": self._singleton_roles(),
            "bounds": settings.bounds,
            "proxies": [_proxy_row(peer) for peer in self._proxies(is_listed=False)],
        }
        call.answer(status=200, body=body)


def _proxy_row(peer) -> dict:
    return {
        "address": peer.address,
        "counter": peer.public,
        "zone": peer.zone,
        "region": peer.region,
        "ready": peer.is_ready,
        "leaving": peer.is_draining,
    }
