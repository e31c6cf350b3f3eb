"""The replicas as this proxy sees them: one owner of the table (design 5, 7, 8)."""

import collections
import math

from ploverward.data_plane.adapter_cache import adapter_names
from ploverward.data_plane.load_balancing import replica_subset
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.upstream import upstream_connection
from ploverward.transport import row_codec

MAX_CONCURRENT_PROBES = 24  # suspects to which connections are opened at a time


class Replica:
    def __init__(self, *, row: dict, endpoint: tuple, region: str, now: float):
        self.id = row["id"]
        self.key = row_codec.key_of(row["id"])
        self.service = row["service"]
        self.endpoint = endpoint
        self.zone = row["zone"]
        self.region = region
        self.batch_slots = row["berths"]
        self.edition = row.get("edition", "")
        self.models = row["models"]
        self.adapters = None
        self.update_adapters(row, now=now)
        self.is_clearing = row["is_clearing"]
        self.is_listed = True
        self.warming_up_until = 0.0
        self.idle = []
        self.connections = set()
        self.heard_at = now
        self.backoff_until = 0.0  # not to be chosen before then
        self.is_suspected = False  # not to be chosen before a connection of ours came up
        self.is_probe_failed = False  # the last connection of ours did not come up; suspects of its zone's sake are not
        self.network_latency_s = None
        self.probe_connection = None
        self.running = 0
        self.prefill_tokens = {}  # attempt number: tokens still to be read
        self.sends = collections.deque()
        self.on_probe_failed = None
        self._failures = collections.deque()  # when attempts of ours at it failed although it was up

    def update_adapters(self, row: dict, *, now: float) -> None:
        """Pairs of model and adapter that it holds, as the list says, and since when; None where the list can't tell."""
        pairs = row.get("adapters", ())
        before = self.adapters or {}
        self.adapters = (
            None if pairs is None else {(model, adapter): before.get((model, adapter), now) for model, adapter in pairs}
        )

    def forget(self, connection) -> None:
        self.connections.discard(connection)
        if connection is self.probe_connection:
            self.probe_connection = None
            if not connection.is_up and self.on_probe_failed is not None:
                self.on_probe_failed(self)
        if connection in self.idle:
            self.idle.remove(connection)

    def close_idle(self) -> None:
        for connection in list(self.idle):
            connection.close()

    def note_failure(self, *, now: float, span: float) -> None:
        """A fault may be seen by some callers only: what this one saw stays with it."""
        self._failures.append(now + span)
        if len(self._failures) > 8:
            self._failures.popleft()

    def recent_failures(self, *, now: float) -> int:
        while self._failures and self._failures[0] <= now:
            self._failures.popleft()
        return len(self._failures)

    def sent_within(self, *, span: float, now: float) -> int:
        while self.sends and now - self.sends[0] > span:
            self.sends.popleft()
        return sum(1 for when in self.sends if now - when <= span)


class Table:
    def __init__(self, *, loop, settings, share):
        self._loop = loop
        self.share = share
        # Before the first entry: as if there were a few dozen proxies.
        self.last_share = 0.04
        self.ways = {}  # zone: seconds
        self._settings = settings
        self.replicas = {}
        self.by_service = {}
        self.evacuated_zones = frozenset()
        self.services = {}
        self.adapters = {}  # service: {adapter: models}, as the list or the configuration ever named them
        self._has_list = False
        self._subsets = replica_subset.Subsets(own=settings.ip, region=settings.region)
        self._fleet = 0.0  # proxies of a region that the subsets were made for
        self._is_subset_old = True
        self._counts = collections.Counter()  # (service, region): listed replicas
        self._points = replica_subset.Points()
        self._rings = {}  # (service, region): subset.Ring, of services of which this proxy looks at a subset
        self._by_tag = {}  # service: {tag of a replica's key: replica}
        self._idle_trust = {}  # service: (seconds of rest that its connections bear, until when this is believed)

    def install_services(self, services: dict) -> None:
        self.services = services
        for name, row in services.items():
            for model, adapter in row.get("adapters", ()):
                self.adapters.setdefault(name, {}).setdefault(adapter, set()).add(model)

    def resolve(self, *, service: str, text: str) -> tuple:
        """(model, adapter, is it known) that X-Model names for this service."""
        return adapter_names.resolve(
            text=text, models=self.services.get(service, {}).get("models", ()), adapters=self.adapters.get(service, {})
        )

    def region_of(self, zone: str) -> str:
        return self._settings.zones.get(zone, "")

    def install_list(self, rows: list) -> None:
        """The whole list, as rows of `ploverward.control_plane.discovery.platform_replicas.read_row`."""
        gone = self.replicas.keys() - {row["id"] for row in rows}
        self.change_list(rows=rows, gone=gone)
        self._has_list = True

    def change_list(self, *, rows, gone) -> None:
        """Rows that are new or differ, and ids that are gone."""
        now = self._loop.now()
        for row in rows:
            self._apply_row(row, now=now)
        for name in gone:
            replica = self.replicas.pop(name, None)
            if replica is not None:
                replica.is_listed = False
                replica.close_idle()
                self._subsets.forget(name)
                self._points.forget(name)
        self._is_subset_old = True
        self.by_service = {}
        self._counts = collections.Counter()
        for replica in self.replicas.values():
            self.by_service.setdefault(replica.service, []).append(replica)
            self._counts[replica.service, replica.region] += 1

    def count(self, *, service: str, region: str) -> int:
        """Replicas of a service that are listed in a region."""
        return self._counts[service, region]

    def _apply_row(self, row: dict, *, now: float) -> None:
        replica = self.replicas.get(row["id"])
        if replica is None:
            host, _colon, port = row["address"].rpartition(":")
            replica = Replica(row=row, endpoint=(host, int(port)), region=self.region_of(row["zone"]), now=now)
            self.replicas[replica.id] = replica
            replica.on_probe_failed = self.mark_suspected
            if self._has_list:
                # A life that began during traffic: unknown counts as cold.
                replica.warming_up_until = now + self.services.get(replica.service, {}).get("warmup_s", 0.0)
        replica.is_clearing = row["is_clearing"]
        replica.update_adapters(row, now=now)
        for model, adapter in replica.adapters or ():
            self.adapters.setdefault(replica.service, {}).setdefault(adapter, set()).add(model)
        if row["cold_ms"] > 0:
            replica.warming_up_until = max(replica.warming_up_until, now + row["cold_ms"] / 1000.0)
        if replica.is_clearing:
            replica.close_idle()

    # The subset that this proxy looks at.
    def _proxies(self) -> float:
        """About how many proxies a region has, by this one's share of what all have; rounded up to a power of two."""
        share = self.share()
        if share <= 0:
            return self._fleet
        regions = max(1, len(set(self._settings.zones.values())))
        return 2.0 ** math.ceil(math.log2(max(1.0, 1.0 / (share * regions))))

    def _is_in_service(self, replica) -> bool:
        """Neither leaving nor in an evacuated zone."""
        return not replica.is_clearing and replica.zone not in self.evacuated_zones

    def _refresh_subsets(self) -> None:
        if not self._is_subset_old:
            return
        self._is_subset_old = False
        self._fleet = self._proxies()
        self._subsets.clear()
        self._by_tag = {}
        self._rings = {}
        for service, rows in self.by_service.items():
            usable = [replica for replica in rows if self._is_in_service(replica)]
            self._subsets.install(service=service, replicas=usable, proxies=self._fleet)
            if not self._subsets.has_all_replicas(service):
                self._by_tag[service] = {replica.key[: cuckoo_filter.TAG_SIZE]: replica for replica in usable}

    def _ring(self, service: str, region: str):
        ring = self._rings.get((service, region))
        if ring is None:
            rows = self.by_service[service]
            usable = [replica for replica in rows if replica.region == region and self._is_in_service(replica)]
            ring = self._rings[service, region] = replica_subset.Ring(replicas=usable, points=self._points)
        return ring

    def prefill_owner(self, *, service: str, part: bytes, permitted, is_usable):
        """The replica that all proxies of this region agree on for a part that nobody keeps: here, or where it is permitted."""
        self._refresh_subsets()
        own = self._settings.region
        regions = sorted({region for name, region in self._counts if name == service})
        for region in sorted(regions, key=lambda name: name != own):
            if permitted is None or region in permitted:
                found = self._ring(service, region).first(part=part, is_usable=is_usable)
                if found is not None:
                    return found
        return None

    def refresh_fleet_size(self) -> None:
        """By the clock: the subsets follow the size of the fleet."""
        if self._proxies() != self._fleet:
            self._is_subset_old = True

    def has_all_replicas(self, service: str) -> bool:
        """Whether this proxy looks at all replicas of the service."""
        self._refresh_subsets()
        return self._subsets.has_all_replicas(service)

    def subset(self, service: str) -> list:
        """The replicas of the service that this proxy looks at."""
        self._refresh_subsets()
        return (
            self.by_service.get(service, []) if self._subsets.has_all_replicas(service) else self._subsets.of(service)
        )

    def by_tags(self, *, service: str, tags) -> list:
        """Replicas of a service of which the proxy looks at a subset, by the tags that a mirror names."""
        self._refresh_subsets()
        table = self._by_tag.get(service, {})
        return [table[tag] for tag in tags if tag in table]

    def followed_keys(self):
        """Keys of all replicas that this proxy looks at; None: all that are listed."""
        self._refresh_subsets()
        if all(self._subsets.has_all_replicas(service) for service in self.by_service):
            return None
        return frozenset(replica.key for service in self.by_service for replica in self.subset(service))

    def install_evacuations(self, zones) -> None:
        zones = frozenset(zones)
        self._is_subset_old = True
        back = self.evacuated_zones - zones
        now = self._loop.now()
        for replica in self.replicas.values():
            if replica.zone in back:
                warmup_s = self.services.get(replica.service, {}).get("warmup_s", 0.0)
                replica.warming_up_until = max(replica.warming_up_until, now + warmup_s)
            if replica.zone in zones:
                replica.close_idle()
        self.evacuated_zones = zones

    def _max_connections(self, replica) -> int:
        """This proxy's share of maxConns. Without an entry the last share goes on: too many connections
        are reset, which breaks no bound, while too few would refuse what there is room for."""
        self.last_share = self.share() or self.last_share
        return max(4, int(self.services.get(replica.service, {}).get("max_conns", 64) * self.last_share * 0.9))

    def has_capacity(self, *, replica) -> bool:
        return bool(replica.idle) or len(replica.connections) < self._max_connections(replica)

    def connection(self, *, replica, request_id: bytes = b""):
        """An idle connection, or a new one inside this proxy's share of maxConns, or None."""
        now = self._loop.now()
        for connection in list(replica.idle):
            if now >= connection.idle_until:
                connection.close()
        trusted_s = self._trusted_s(service=replica.service, now=now) if self._idle_trust else None
        while replica.idle:
            connection = replica.idle.pop()
            is_trusted = trusted_s is None or now - connection.idle_since <= trusted_s
            if is_trusted and connection.is_reusable_for(request_id=request_id):
                return connection
            connection.close()
        if len(replica.connections) >= self._max_connections(replica):
            return None
        return self._open(replica)

    def note_stale_connection(self, *, replica, idle_for_s: float) -> None:
        """An idle connection was gone without a word: for a while, none of its service that rested half as long is used.

        The request that found it is lost where it may not be repeated; this keeps it at one for each service.
        """
        if idle_for_s < upstream_connection.UNCHECKED_IDLE_S:
            return  # it had not rested: its end says nothing of the others
        now = self._loop.now()
        trusted_s = max(upstream_connection.UNCHECKED_IDLE_S, idle_for_s / 2)
        known_s = self._trusted_s(service=replica.service, now=now)
        if known_s is not None:
            trusted_s = min(trusted_s, known_s)
        self._idle_trust[replica.service] = (trusted_s, now + self._settings.bound_s(name="contactMs"))

    def _trusted_s(self, *, service: str, now: float):
        trusted_s, until = self._idle_trust.get(service, (None, 0.0))
        if until <= now:
            self._idle_trust.pop(service, None)
            return None
        return trusted_s

    def _open(self, replica):
        contact_s = self._settings.bound_s(name="contactMs")
        known = self.estimate_latency_s(replica)
        connection = upstream_connection.UpstreamConnection(
            loop=self._loop,
            replica=replica,
            connect_s=contact_s / 50 + 3 * known if known is not None else contact_s / 14,
            peer_timeout_s=contact_s * 2,
            on_free=self._free,
            on_connected=self._record_connect,
        )
        replica.connections.add(connection)
        return connection

    def probe(self, *, replica) -> None:
        """A new connection tells whether a silent replica is there; if it does not come up, it is suspect."""
        if (
            replica.probe_connection is not None
            and replica.probe_connection.is_open
            and not replica.probe_connection.is_up
        ):
            return
        replica.probe_connection = self._open(replica)

    def estimate_latency_s(self, replica):
        """Seconds there and back, as connections took to come up: to it, or to others of its zone."""
        return replica.network_latency_s if replica.network_latency_s is not None else self.ways.get(replica.zone)

    def _record_connect(self, replica, took_s: float) -> None:
        replica.is_suspected = False
        replica.is_probe_failed = False
        replica.network_latency_s = (
            took_s if replica.network_latency_s is None else min(took_s, replica.network_latency_s * 1.1)
        )
        self.ways[replica.zone] = min(took_s, self.ways.get(replica.zone, took_s) * 1.1)

    def mark_suspected(self, replica) -> None:
        """It did not come up, or went silent. Where a second one of a zone does so, the zone is looked at whole."""
        now = self._loop.now()
        replica.is_suspected = True
        replica.is_probe_failed = True
        replica.close_idle()
        zone_peers = [other for other in self.replicas.values() if other.zone == replica.zone and other is not replica]
        if any(other.is_suspected for other in zone_peers):
            for other in zone_peers:
                if not other.is_suspected and now - other.heard_at > self._settings.bound_s(name="contactMs") / 10:
                    other.is_suspected = True
                    other.close_idle()
        self._loop.command(callback=self.check_suspected_replicas)

    def check_suspected_replicas(self) -> None:
        """A connection to each suspect, some at a time, in the background: no request is spent on finding out."""
        tried = 0
        for service in self.by_service:
            for replica in self.subset(service):
                if tried < MAX_CONCURRENT_PROBES and self._needs_probe(replica):
                    tried += 1
                    self.connection(replica=replica)

    def _needs_probe(self, replica) -> bool:
        return replica.is_suspected and self._is_in_service(replica) and not replica.connections

    def _free(self, connection) -> None:
        replica = connection.replica
        if not replica.is_listed or replica.is_clearing or replica.zone in self.evacuated_zones:
            connection.close()
            return
        replica.idle.append(connection)

    def sweep(self) -> None:
        now = self._loop.now()
        for replica in self.replicas.values():
            for connection in list(replica.idle):
                if now >= connection.idle_until:
                    connection.close()
