"""The table of the replicas of all services, kept up to date from the endpoint list (design 5, 7, 8).

`ReplicaTable` owns the replicas and the services. Each of its components owns one rule: `subsets` (the replicas that
this proxy uses), `pool` (connections), `outliers` (suspected replicas), `latencies` (network latencies). Callers use
the table and need not know its components.
"""

from __future__ import annotations

import collections
import typing

from ploverward.data_plane.adapter_cache import adapter_names
from ploverward.data_plane.load_balancing import connection_pool
from ploverward.data_plane.load_balancing import network_latency
from ploverward.data_plane.load_balancing import outlier_detection
from ploverward.data_plane.load_balancing import replica as replicas_of
from ploverward.data_plane.load_balancing import replica_subset
from ploverward.data_plane.load_balancing import slow_start

if typing.TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from ploverward.common import settings as settings_files
    from ploverward.transport import event_loop

Row = typing.Mapping[str, typing.Any]  # a row of the endpoint list: `control_plane.discovery.platform_client.read_row`
Replica = replicas_of.Replica


class ReplicaTable:
    """The replicas of all services, with the components that decide on their use.

    Args:
        loop: The event loop.
        settings: The settings of this node.
        share: Returns this proxy's share of the global limits, 0 without a lease.

    Attributes:
        replicas: The listed replicas by id.
        by_service: The listed replicas by service.
        services: The configuration of each service (`route_table.services`).
        adapters: By service and adapter: the models that the endpoint list or the configuration ever named with it.
        evacuated_zones: Zones to which no request is sent.
        latencies: Network latencies.
        pool: The connections.
        subsets: The subsets of replicas that this proxy uses.
        outliers: Marks replicas as suspected and probes them.
    """

    def __init__(self, *, loop: event_loop.Loop, settings: settings_files.Settings, share: Callable[[], float]) -> None:
        self._loop = loop
        self._settings = settings
        self.replicas: dict[str, Replica] = {}
        self.by_service: dict[str, list[Replica]] = {}
        self.services: dict[str, dict[str, typing.Any]] = {}
        self.adapters: dict[str, dict[str, set[str]]] = {}
        self.evacuated_zones: frozenset[str] = frozenset()
        self._has_list = False
        self._counts: collections.Counter[tuple[str, str]] = collections.Counter()  # by service and region
        self.latencies = network_latency.NetworkLatencies()
        self.pool = connection_pool.ConnectionPool(
            loop=loop,
            settings=settings,
            share=share,
            max_connections=self._max_connections,
            may_use=self.is_in_service,
            latencies=self.latencies,
        )
        self.subsets = replica_subset.SubsetView(
            own=settings.ip,
            region=settings.region,
            share=share,
            region_count=lambda: len(set(self._settings.zones.values())),
            is_in_service=self.is_in_service,
        )
        self.outliers = outlier_detection.OutlierDetection(
            loop=loop, table=self, pool=self.pool, contact_s=settings.bound_s(name="contactMs")
        )
        # Methods of the components that callers use through the table.
        self.connection = self.pool.connection
        self.note_stale_connection = self.pool.note_stale
        self.mark_suspected = self.outliers.mark_suspected
        self.check_suspected_replicas = self.outliers.check_suspected
        self.estimate_latency_s = self.latencies.estimate_s
        self.has_all_replicas = self.subsets.has_all_replicas
        self.subset = self.subsets.replicas_for
        self.by_tags = self.subsets.by_tags
        self.followed_keys = self.subsets.followed_keys
        self.prefill_owner = self.subsets.prefill_owner
        self.refresh_fleet_size = self.subsets.refresh_fleet_size

    # Services.
    def install_services(self, services: dict[str, dict[str, typing.Any]]) -> None:
        """Installs the services of a new configuration."""
        self.services = services
        for name, row in services.items():
            for model, adapter in row.get("adapters", ()):
                self._note_adapter(service=name, model=model, adapter=adapter)

    def _note_adapter(self, *, service: str, model: str, adapter: str) -> None:
        self.adapters.setdefault(service, {}).setdefault(adapter, set()).add(model)

    def _service(self, name: str) -> Mapping[str, typing.Any]:
        return self.services.get(name, {})

    def _max_connections(self, service: str) -> int:
        limit: int = self._service(service).get("max_conns", connection_pool.DEFAULT_MAX_CONNECTIONS)
        return limit

    def resolve(self, *, service: str, text: str) -> tuple[str, str, bool]:
        """Resolves an X-Model header for a service: returns the model, the adapter, and whether the name is known."""
        return adapter_names.resolve(
            text=text, models=self._service(service).get("models", ()), adapters=self.adapters.get(service, {})
        )

    # The endpoint list.
    def region_of(self, zone: str) -> str:
        """Returns the region of a zone, empty if the settings do not name the zone."""
        return self._settings.zones.get(zone, "")

    def install_list(self, rows: Sequence[Row]) -> None:
        """Installs a complete endpoint list."""
        gone = self.replicas.keys() - {row["id"] for row in rows}
        self.change_list(rows=rows, gone=gone)
        self._has_list = True

    def change_list(self, *, rows: Iterable[Row], gone: Iterable[str]) -> None:
        """Applies a change of the endpoint list: rows that are new or differ, and ids that were removed."""
        now = self._loop.now()
        for row in rows:
            self._apply_row(row, now=now)
        for name in gone:
            replica = self.replicas.pop(name, None)
            if replica is not None:
                replica.is_listed = False
                replica.close_idle()
                self.subsets.forget(name)
        self.by_service = {}
        self._counts = collections.Counter()
        for replica in self.replicas.values():
            self.by_service.setdefault(replica.service, []).append(replica)
            self._counts[replica.service, replica.region] += 1
        self.subsets.install(self.by_service)

    def _apply_row(self, row: Row, *, now: float) -> None:
        replica = self.replicas.get(row["id"])
        if replica is None:
            host, _colon, port = row["address"].rpartition(":")
            replica = Replica(row=row, endpoint=(host, int(port)), region=self.region_of(row["zone"]), now=now)
            self.replicas[replica.id] = replica
            replica.on_probe_failed = self.outliers.mark_suspected
            if self._has_list:
                # It started during traffic, so it is warming up even if the list does not say so.
                slow_start.begin(replica, service=self._service(replica.service), now=now)
        replica.is_draining = row["is_clearing"]
        replica.update_adapters(row, now=now)
        for model, adapter in replica.adapters or ():
            self._note_adapter(service=replica.service, model=model, adapter=adapter)
        slow_start.follow_list(replica, left_ms=row["cold_ms"], now=now)
        if replica.is_draining:
            replica.close_idle()

    def count(self, *, service: str, region: str) -> int:
        """Returns how many replicas of a service are listed in a region."""
        return self._counts[service, region]

    def install_evacuations(self, zones: Iterable[str]) -> None:
        """Installs the evacuated zones. Replicas of a zone that returns begin with a slow start."""
        evacuated = frozenset(zones)
        restored = self.evacuated_zones - evacuated
        now = self._loop.now()
        for replica in self.replicas.values():
            if replica.zone in restored:
                slow_start.begin(replica, service=self._service(replica.service), now=now)
            if replica.zone in evacuated:
                replica.close_idle()
        self.evacuated_zones = evacuated
        self.subsets.mark_stale()

    def is_in_service(self, replica: Replica) -> bool:
        """Returns whether a replica is neither draining nor in an evacuated zone."""
        return not replica.is_draining and replica.zone not in self.evacuated_zones

    # Connections.
    def has_capacity(self, *, replica: Replica) -> bool:
        """Returns whether the connection limit allows one more request to the replica now."""
        return self.pool.has_capacity(replica)

    def probe(self, *, replica: Replica) -> None:
        """Checks a replica that timed out, by opening a new connection to it."""
        self.outliers.probe(replica)

    def sweep(self) -> None:
        """Closes connections that were idle for too long; called periodically."""
        self.pool.close_expired(self.replicas.values())
