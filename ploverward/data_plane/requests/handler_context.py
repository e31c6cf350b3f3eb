"""What a request handler needs of the proxy that it runs in.

`HandlerContext` is a structural type: the proxy node provides it in production, `LoopbackProxy` in tests. A handler
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
    """The proxy, as far as a request handler uses it.

    Attributes:
        incarnation: Id of this run of the process.
        failover_s: Seconds in which another node takes over, or a lost one returns: the pause for a client whose
            request no replica can serve.
        drain_window: What may still be accepted after SIGTERM.
        quota: This proxy's share of the global limits: retries and slow starts.
        quota_allowance: What may be admitted of each tenant.
        credential_freshness: How old a configuration may be that keys are checked by.
        rollouts: Which versions of a service an attempt may go to.
        table: The replicas.
        chooser: Scores replicas.
        adapters: Counts of adapter loads.
        batches: Custody trails that are being sent to the core nodes.
        handlers: The handlers of all requests in progress; a handler removes itself at its end.
    """

    incarnation: str
    failover_s: float
    drain_window: graceful_shutdown.DrainWindow
    quota: shared_limits.SharedLimits
    quota_allowance: quota_allowance.QuotaAllowance
    credential_freshness: credential_freshness.CredentialFreshness
    rollouts: version_routing.VersionRouter
    table: replica_table.Table
    chooser: replica_chooser.Chooser
    adapters: adapter_counts.AdapterCounter
    batches: custody_trails.TrailBatches
    handlers: set[request_handler.RequestHandler]

    @property
    def settings(self) -> settings_files.Settings:
        """Of this node."""

    @property
    def loop(self) -> event_loop.Loop:
        """The event loop; its clock is the clock of all deadlines."""

    @property
    def is_serving(self) -> bool:
        """Whether this proxy has what it needs to serve (docs/control.md)."""

    @property
    def routes(self) -> route_table.Routes:
        """The routes of the configuration in force."""

    def permitted(
        self, *, route: route_table.Route, first_homes: Collection[str], tenant: tenant_directory.Tenant | None
    ) -> frozenset[str] | None:
        """Returns the regions that may serve a request, None for all; `first_homes` bind as well as those in force."""

    def configuration_age_s(self) -> float:
        """Returns how long ago it is certain that nothing newer than this proxy's configuration was acknowledged."""

    def next_number(self) -> int:
        """Returns a number that no other attempt of this process has."""

    def report_attempt(self, *, replica: replica_table.Replica, kind: int) -> None:
        """An attempt begins, was read or ends: `kind` is one of `report_source`'s."""

    def report_prefill(
        self, *, replica: replica_table.Replica, service: str, model: str, parts: tuple, salt: str = ""
    ) -> None:
        """A replica has read these prompt parts and caches them from now on."""

    def note_attempt_failure(self, *, replica: replica_table.Replica, reason: str, was_up: bool) -> None:
        """An attempt failed; `was_up`: whether its connection was established."""

    def note_request_started(self, tenant: str) -> None:
        """A request of a tenant began to run at a replica."""

    def note_wrong_replica(self, replica: replica_table.Replica) -> None:
        """421: another replica has the address."""

    def note_replica_full(self, replica: replica_table.Replica) -> None:
        """The replica declined a request: it is not used for a moment."""
