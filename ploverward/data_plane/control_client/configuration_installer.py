"""Applies the values distributed to this proxy: configuration, evacuations, roll-outs, replicas (docs/design.md 5).

Registers arrive as consensus payloads; the endpoint list arrives as a full list or as a delta (docs/scale.md 2). The
installer owns the current routes, the limits of HTTP messages and the singleton roles; everything else in a value is
passed to the object that owns it. The installer does not check versions: `Subscriber` delivers each value once, in
ascending order of versions.
"""

import typing
from collections.abc import Callable

from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.data_plane.control_client import residency_history
from ploverward.data_plane.load_balancing import replica_table
from ploverward.data_plane.quotas import quota_allowance as quota_allowances
from ploverward.data_plane.requests import route_table
from ploverward.data_plane.rollouts import version_routing
from ploverward.transport import http_request
from ploverward.transport import messages

Payload = dict[str, typing.Any] | None  # value of a register; None if it was never written

DEFAULT_HEAD_BYTES = 16384
DEFAULT_BODY_BYTES = 4194304
DEFAULT_HEAD_MS = 3000
DEFAULT_IDLE_MS = 15000


def http_limits(body: dict[str, typing.Any]) -> http_request.Limits:
    """Returns the limits of HTTP messages from the `limits` section of a configuration."""
    return http_request.Limits(
        head_bytes=int(body.get("labelBytes", DEFAULT_HEAD_BYTES)),
        body_bytes=int(body.get("parcelBytes", DEFAULT_BODY_BYTES)),
        head_s=float(body.get("labelMs", DEFAULT_HEAD_MS)) / 1000.0,
        idle_s=float(body.get("idleMs", DEFAULT_IDLE_MS)) / 1000.0,
    )


class ConfigurationInstaller:
    """Installs the values of topics at this proxy.

    Attributes:
        routes: Routes of the current configuration; empty until one is installed.
        limits: Limits of HTTP messages.
        singleton_roles: Maps the name of each role to (epoch, address, incarnation) of its owner.
    """

    def __init__(
        self,
        *,
        table: replica_table.ReplicaTable,
        rollouts: version_routing.VersionRouter,
        quota_allowance: quota_allowances.QuotaAllowance,
        residency: residency_history.ResidencyHistory,
        on_core_set: Callable[[tuple[str, ...]], None],
        on_singleton_roles: Callable[[dict[str, tuple]], None],
    ) -> None:
        """Creates an installer without installed values.

        Args:
            table: Receives services, replicas and evacuations.
            rollouts: Receives the admitted versions and roll-outs.
            quota_allowance: Receives the limits of the tenants.
            residency: Receives the routes that are replaced.
            on_core_set: Called with the members of a newer core set.
            on_singleton_roles: Called with newer `singleton_roles`.
        """
        self._table = table
        self._rollouts = rollouts
        self._quota_allowance = quota_allowance
        self._residency = residency
        self._on_core_set = on_core_set
        self._on_singleton_roles = on_singleton_roles
        self.routes = route_table.Routes()
        self.limits = http_limits({})
        self.singleton_roles: dict[str, tuple] = {}
        self._installers: dict[str, Callable[[tuple[str, ...], Payload], None]] = {
            register_names.CONFIGURATION: self._install_configuration,
            register_names.EVACUATIONS: self._install_evacuations,
            register_names.ROLLOUTS: self._install_rollouts,
            register_names.SINGLETON_ROLES: self._install_singleton_roles,
            register_names.CORE_SET: self._install_core_set,
        }

    def install(self, snapshot: messages.Snapshot) -> None:
        """Installs the complete value of a topic; ignores topics that proxies do not use."""
        if snapshot.topic == endpoint_list.TOPIC:
            self._table.install_list(endpoint_list.unpack_list(snapshot.data).sorted_rows())
            return
        installer = self._installers.get(snapshot.topic)
        if installer is not None:
            installer(*ballots.unpack(snapshot.data))

    def install_delta(self, delta: messages.Delta) -> None:
        """Installs a delta of the endpoint list, the only topic that has deltas."""
        change = endpoint_list.unpack_delta(delta.data)
        self._table.change_list(rows=change.rows, gone=change.removed)

    def _install_configuration(self, _members: tuple[str, ...], payload: Payload) -> None:
        if not payload:
            return
        body = payload["body"]
        self._residency.add_replaced(self.routes)
        self.routes = route_table.Routes(body=body)
        self._table.install_services(route_table.services(body=body))
        self.limits = http_limits(body.get("limits") or {})
        self._quota_allowance.install(body)

    def _install_evacuations(self, _members: tuple[str, ...], payload: Payload) -> None:
        self._table.install_evacuations((payload or {}).get("zones", ()))

    def _install_rollouts(self, _members: tuple[str, ...], payload: Payload) -> None:
        self._rollouts.install(payload)

    def _install_singleton_roles(self, _members: tuple[str, ...], payload: Payload) -> None:
        self.singleton_roles = payload or {}
        self._on_singleton_roles(self.singleton_roles)

    def _install_core_set(self, members: tuple[str, ...], _payload: Payload) -> None:
        self._on_core_set(members)
