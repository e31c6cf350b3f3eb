"""The interface of the proxy that request handlers use.

`HandlerContext` is a structural type: the proxy node implements it in production, `LoopbackProxy` in tests. A handler
reads these attributes at each use, because a new configuration replaces some of them while requests are in progress.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from collections.abc import Collection

    from ploverward.common import settings as settings_files
    from ploverward.data_plane.adapter_cache import adapter_counts
    from ploverward.data_plane.load_balancing import replica_chooser
    from ploverward.data_plane.load_balancing import replica_table
    from ploverward.data_plane.quotas import credential_freshness
    from ploverward.data_plane.quotas import quota_allowance
    from ploverward.data_plane.quotas import shared_limits
    from ploverward.data_plane.quotas import tenant_directory
    from ploverward.data_plane.requests import custody_trails
    from ploverward.data_plane.requests import graceful_shutdown
    from ploverward.data_plane.requests import request_handler
    from ploverward.data_plane.requests import route_table
    from ploverward.data_plane.rollouts import version_routing
    from ploverward.transport import event_loop


class HandlerContext(typing.Protocol):
    """The part of the proxy that request handlers use.

    Attributes:
        incarnation: Id of this run of the process.
        failover_s: Seconds until another node takes over or a lost one returns; the Retry-After of a request that no
            replica can serve.
        drain_window: Decides which requests are still accepted after SIGTERM.
        quota: This proxy's share of the global limits on retries and slow starts.
        quota_allowance: Limits what is admitted of each tenant.
        credential_freshness: Limits the age of a configuration by which keys are checked.
        rollouts: Decides which versions of a service an attempt may use.
        table: The replicas.
        chooser: Scores replicas.
        adapters: Counts adapter loads.
        batches: Batches of custody trails for the core nodes.
        handlers: The handlers of all requests in progress; a handler removes itself at its end.
    """

    incarnation: str
    failover_s: float
    drain_window: graceful_shutdown.DrainWindow
    quota: shared_limits.SharedLimits
    quota_allowance: quota_allowance.QuotaAllowance
    credential_freshness: credential_freshness.CredentialFreshness
    rollouts: version_routing.VersionRouter
    table: replica_table.ReplicaTable
    chooser: replica_chooser.ReplicaChooser
    adapters: adapter_counts.AdapterCounter
    batches: custody_trails.TrailBatches
    handlers: set[request_handler.RequestHandler]

    @property
    def settings(self) -> settings_files.Settings:
        """The settings of this node."""

    @property
    def loop(self) -> event_loop.Loop:
        """The event loop; its clock is the clock of all deadlines."""

    @property
    def is_serving(self) -> bool:
        """Whether this proxy has all that it needs to serve requests (docs/control.md)."""

    @property
    def routes(self) -> route_table.Routes:
        """The routes of the configuration in force."""

    def permitted(
        self, *, route: route_table.Route, first_homes: Collection[str], tenant: tenant_directory.Tenant | None
    ) -> frozenset[str] | None:
        """Returns the regions that may serve a request, None for all.

        Args:
            route: The route in force for the request.
            first_homes: The permitted regions when the request arrived, which apply in addition to the current ones;
                empty for all.
            tenant: The tenant that sent the request, None if unknown.
        """

    def configuration_age_s(self) -> float:
        """Returns the seconds since the current configuration was last known to be the newest acknowledged one."""

    def next_attempt_number(self) -> int:
        """Returns a number for an attempt, unique within this process."""

    def report_attempt(self, *, replica: replica_table.Replica, kind: int) -> None:
        """Reports that an attempt started, was prefilled or ended; `kind` is a kind of `report_source`."""

    def report_prefill(
        self, *, replica: replica_table.Replica, service: str, model: str, parts: tuple, salt: str = ""
    ) -> None:
        """Reports that a replica prefilled these prompt parts and caches them from now on."""

    def note_attempt_failure(self, *, replica: replica_table.Replica, reason: str, was_up: bool) -> None:
        """Records a failed attempt; `was_up`: whether its connection was established."""

    def note_request_started(self, tenant: str) -> None:
        """Records that a replica began to run a request of a tenant."""

    def note_wrong_replica(self, replica: replica_table.Replica) -> None:
        """Records that a replica answered 421, because another process has its address."""

    def note_replica_full(self, replica: replica_table.Replica) -> None:
        """Records that a replica refused a request because it is full, so that it is not used for a short time."""
