"""Look-ups of clients and the views that operator tools read (design 4, 10)."""

import json


from pw.base import residency
from pw.ctl.register import ballots


class DirectoryMixin:
    """Where user agents should go (design 4, 10)."""

    def _get_lookup(self, ask, request) -> None:
        host = request.args.get("name", "")
        region = request.args.get("region", "")
        zone = request.args.get("zone", "")
        if self._is_aside():
            self._json(ask, 503, {"error": "cut off from the core; ask another node"}, headers=[(b"Retry-After", b"1")])
            return
        listed = self.proxies()
        regions = {peer.region for peer in listed}
        allowed = residency.lookup_regions(spec=self.spec, host=host, region=region, serving=regions)
        chosen = [peer for peer in listed if peer.region in allowed]
        if not chosen:
            self._json(ask, 503, {"error": "no node may serve this now"}, headers=[(b"Retry-After", b"1")])
            return
        near = [peer for peer in chosen if peer.zone == zone]
        chosen = near or chosen
        addresses = sorted(peer.public for peer in chosen)[:64]
        self._json(ask, 200, {"addressList": addresses, "ttlS": self.ttl_s})

    def _is_aside(self) -> bool:
        """Cut off from most of the core while others may see more: they tell user agents where to go. When that
        lasts, the others are taken for lost, and this node answers with what it sees."""
        members = self.members()
        if ballots.has_majority(of=members, among={host for host in members if self.is_core_live(host)}):
            self._aside_since = None
            return False
        if self._aside_since is None:
            self._aside_since = self.loop.now()
        return self.loop.now() - self._aside_since < self.contact_s * 2

    def _get_replicas(self, ask, _request) -> None:
        held = self.desk.get("list")
        if held is None:
            self._json(ask, 503, {"error": "no list of replicas yet"}, headers=[(b"Retry-After", b"1")])
            return
        self._json(ask, 200, {"epoch": held[0], "number": held[1], **json.loads(held[2])})

    def _get_nodes(self, ask, _request) -> None:
        """For operator tools: the nodes in touch with this one."""
        self._json(
            ask,
            200,
            {
                "node": self.settings.node,
                "votes": self.acceptor.votes,
                "members": list(self.members()),
                "zones": self.settings.zones,
                "duties": self.duties,
                "bounds": self.settings.bounds,
                "proxies": [
                    {
                        "address": peer.address,
                        "counter": peer.public,
                        "zone": peer.zone,
                        "region": peer.region,
                        "ready": peer.is_ready,
                        "leaving": peer.is_leaving,
                    }
                    for peer in self.proxies(is_listed=False)
                ],
            },
        )
