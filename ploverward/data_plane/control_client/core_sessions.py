"""Following the core: held connections, news, leases, grant entries, and when to serve (design 4, 5, 8)."""

import logging

from ploverward.common import residency
from ploverward.common import tenant_usage
from ploverward.control_plane.cluster import coordinator as coordinators
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.distribution import subscriber
from ploverward.control_plane.rollouts import leases
from ploverward.data_plane.requests import route_table
from ploverward.transport import http_request
from ploverward.transport import legacy_messages
from ploverward.transport import messages
from ploverward.transport import peer_connection

_log = logging.getLogger(__name__)

MAX_PENDING_RENEWALS = 16  # entries that answer older renewals have run out


class FollowMixin:
    """Held connections to the core: news, leases, grant entries (design 4, 5, 8)."""

    def start_following(self) -> None:
        self.core_connectors = {}
        self._renewal = 0
        self._renewed_at = {}  # number of a renewal: when it was sent
        self.near_cores = set()
        self.near_links = set()
        self.minimum_versions = {}  # core host: floor of the spec
        self.subscriber = subscriber.Subscriber(
            now=self.loop.now,
            fetch_timeout_s=self.contact_s / 12,
            on_snapshot=self._on_snapshot,
            is_near=lambda link: link in self.near_links,
            ignored_topics=(register_names.ARCHIVE,),
            on_delta=self._on_delta,
            delta_topics=("list",),
        )
        self.core_members = tuple(sorted({host for host, _port in self.settings.seeds}))
        self._connect_to_cores()

    def _connect_to_cores(self) -> None:
        wanted = set(self.core_members) | {host for host, _port in self.settings.seeds}
        for host in wanted - self.core_connectors.keys():
            self.core_connectors[host] = peer_connection.Connector(
                loop=self.loop,
                address=(host, self.settings.core_port),
                on_up=self._send_handshake,
                on_message=lambda link, message, host=host: self._handle_core_message(host, link, message),
                on_end=lambda link, _reason, host=host: self._on_core_gone(host, link),
                peer_timeout_s=self.peer_timeout_s,
            )
        for host in [host for host in self.core_connectors if host not in wanted]:
            self.core_connectors.pop(host).stop()

    def _send_handshake(self, link) -> None:
        public = "%s:%d" % self.settings.bindings["counter"]
        link.send(
            ("hello", "proxy", self.settings.ip, self.settings.zone, self.settings.region, self.incarnation, public)
        )
        link.send(("state", self.is_serving and not self.is_draining, self.is_draining))

    def _on_core_gone(self, host: str, link) -> None:
        self.quota_allowance.forget(core=host)
        self.near_links.discard(link)
        self.subscriber.drop(link)

    def _send_to_cores(self, message: tuple) -> None:
        for connector in self.core_connectors.values():
            if connector.link is not None and connector.link.is_up:
                connector.link.send(message)

    def _handle_core_message(self, host: str, link, message: tuple) -> None:
        kind = message[0]
        if kind == "hello":
            if message[4] == self.settings.region:
                self.near_cores.add(host)
                self.near_links.add(link)
        elif kind == "offer":
            self.subscriber.handle_announcement(link, legacy_messages.to_typed(message))
        elif kind == "image":
            if self.subscriber.handle_snapshot(link, legacy_messages.to_typed(message)):
                self._acknowledge_version(message[1])
        elif kind == "changes":
            if self.subscriber.handle_deltas(link, legacy_messages.to_typed(message)):
                self._acknowledge_version(message[1])
        elif kind == "floor":
            if host not in self.minimum_versions:
                _log.debug("minimum_version_received", extra={"host": host})
            self.minimum_versions[host] = dict(message[1])
            self._check_serving()
        elif kind == "keeps":
            link.send(("kept", message[1], self._find_cache_owners(message[2], message[3], message[4])))
        elif kind == "entry":
            self._handle_share_lease(link, message)
        elif kind == "standing":
            self._handle_quota_status(host, message)
        elif kind == "leases":
            _kind, number, lease_s, pace, data = message
            self.rollouts.pace = max(1, pace)
            self.rollouts.handle_leases(number=number, lease_s=lease_s, leases=leases.unpack(data))

    def _acknowledge_version(self, topic: str) -> None:
        if not self.is_serving:
            _log.debug("topic_received", extra={"topic": topic})
        self._send_to_cores(("have", ((topic, *self.subscriber.versions[topic]),)))

    def renew_entries(self) -> None:
        """Asks each core node for this proxy's entry; the entry counts from now, whenever it comes (docs/control.md 2)."""
        self._renewal += 1
        self._renewed_at[self._renewal] = self.loop.now()
        self._renewed_at.pop(self._renewal - MAX_PENDING_RENEWALS, None)
        for host, connector in self.core_connectors.items():
            if connector.link is not None and connector.link.is_up:
                usage = self.quota_allowance.report(core=host) if self.quota_allowance.is_on else b""
                connector.link.send(("renew", self._renewal, usage))
        self.quota_allowance.end_report()

    def _handle_share_lease(self, link, message: tuple) -> None:
        lease = legacy_messages.to_typed(message)
        sent_at = self._renewed_at.get(lease.number)
        if sent_at is not None:
            # By the core node's address: the entry of an ended link and that of its successor are one.
            self.quota.handle_share_lease(link.peer, lease, sent_at=sent_at)

    def _handle_quota_status(self, host: str, message: tuple) -> None:
        """How fresh the configuration here is, and what may be admitted: as of when it was asked."""
        status = legacy_messages.to_typed(message)
        asked_at = self._renewed_at.get(status.number)
        if asked_at is not None:
            self.configuration_freshness.record(
                core=host, version=status.configuration_version, asked_at=asked_at, age_s=status.age_s
            )
            self.quota_allowance.record(
                core=host,
                asked_at=asked_at,
                proxy_count=status.proxy_count,
                credits=tenant_usage.unpack_credits(status.credit_rows),
            )

    def configuration_age_s(self) -> float:
        """Seconds since a moment at which nothing newer was acknowledged than what this proxy has."""
        return self.configuration_freshness.age_s(
            version=self.subscriber.versions.get(register_names.CONFIGURATION, (0, 0))[1]
        )

    def send_rollout_evidence(self) -> None:
        """What was counted of roll-outs under way, to the holder of the watch duty, which answers with leases."""
        _epoch, owner, _incarnation = self.singleton_roles.get(coordinators.WATCH, (0, "", ""))
        connector = self.core_connectors.get(owner)
        if connector is None or connector.link is None or not connector.link.is_up:
            return
        report = self.rollouts.report()
        if report is not None:
            connector.link.send(("evidence", *report))

    def _find_cache_owners(self, service: str, model: str, hashes) -> tuple:
        """Replicas that, by the mirrors, still keep any of these parts."""
        by_key = {replica.key: replica for replica in self.table.replicas.values()}
        found = set()
        for region in self.regions.values():
            rows = [full_hash for (full_hash,) in hashes]
            found |= region.find_cache_owners(service=service, model=model, hashes=rows, keys=by_key)
        return tuple(sorted((by_key[key].id, by_key[key].zone) for key in found))

    def _near_core(self):
        link = None
        for host, connector in sorted(self.core_connectors.items()):
            if connector.link is not None and connector.link.is_up:
                if link is None or host in self.near_cores:
                    link = connector.link
        return link

    def send_custody_trails(self, *, is_last: bool = False) -> None:
        """To the core node of this region, or to the first other one in reach."""
        link = self._near_core()
        if link is None:
            return
        self.batches.close_batch(is_last=is_last)
        for number, is_end, rows in self.batches.drain():
            link.send(("trails", self.settings.node, self.incarnation, number, is_end, rows))

    def _check_serving(self) -> None:
        """Serves nothing before it has what a majority of the core may have acknowledged (design 5)."""
        if self.is_serving:
            return
        if not ballots.has_majority(of=self.core_members, among=self.minimum_versions):
            return
        for name in register_names.MINIMUM_VERSION_REGISTERS:
            minimum_version = max(minimum_versions.get(name, 0) for minimum_versions in self.minimum_versions.values())
            if self.subscriber.versions.get(name, (0, 0))[1] < minimum_version:
                return
        if self.subscriber.versions.get("spec", (0, 0))[1] < 1 or "list" not in self.subscriber.versions:
            return
        if "cores" not in self.subscriber.versions:
            return  # the floors may be those of seeds that no longer vote
        self.is_serving = True
        _log.debug("serving_started", extra={"edition": self.routes.edition})
        self._send_to_cores(("state", True, self.is_draining))

    def _on_snapshot(self, snapshot: messages.Snapshot) -> None:
        topic, _version, data = snapshot
        if topic in (
            *register_names.MINIMUM_VERSION_REGISTERS,
            register_names.SINGLETON_ROLES,
            register_names.CORE_SET,
        ):
            members, payload = ballots.unpack(data)
            if topic == "spec" and payload:
                self._keep_older_homes()
                self.routes = route_table.Routes(body=payload["body"])
                self.table.install_services(route_table.services(body=payload["body"]))
                self._set_limits(payload["body"].get("limits") or {})
                self.quota_allowance.install(payload["body"])
            elif topic == "evac":
                self.table.install_evacuations((payload or {}).get("zones", ()))
            elif topic == register_names.ROLLOUTS:
                self.rollouts.install(payload)
            elif topic == "duty":
                self.singleton_roles = payload or {}
                self.relay_client.update_roles(self.singleton_roles)
            elif topic == "cores":
                self.core_members = members
                self._connect_to_cores()
        elif topic == "list":
            self.table.install_list(endpoint_list.unpack_list(data).sorted_rows())
        self.loop.command(callback=self._check_serving)
        if topic in ("spec", "list"):
            self.relay_client.sync_relay()

    def _on_delta(self, _topic: str, delta: messages.Delta) -> None:
        """One delta of the list of replicas."""
        change = endpoint_list.unpack_delta(delta.data)
        self.table.change_list(rows=change.rows, gone=change.removed)
        self.relay_client.sync_relay()

    def _keep_older_homes(self) -> None:
        """Until the older configuration is gone everywhere, the stricter of the two binds (design 10)."""
        now = self.loop.now()
        self.older_homes = [row for row in self.older_homes if row[0] > now]
        if self.routes.edition:
            until = now + self.settings.bound_s(name="applyMs")
            self.older_homes.append((until, self.routes.homes(), self.routes.tenant_homes()))

    def permitted(self, *, route, first_homes, tenant=None):
        """The regions that a request of this route and tenant may go to, None for all; both bind, and so do older ones."""
        now = self.loop.now()
        bound = [first_homes]
        for until, homes, tenant_homes in self.older_homes:
            if until > now:
                bound.append(homes.get(route.name, ()))
                bound.append(tenant_homes.get(tenant.name, ()) if tenant is not None else ())
        if tenant is not None:
            bound.append(tenant.homes)
        return residency.permitted(homes=route.homes, older=tuple(bound))

    def _set_limits(self, body: dict) -> None:
        self.limits = http_request.Limits(
            head_bytes=int(body.get("labelBytes", 16384)),
            body_bytes=int(body.get("parcelBytes", 4194304)),
            head_s=float(body.get("labelMs", 3000)) / 1000.0,
            idle_s=float(body.get("idleMs", 15000)) / 1000.0,
        )
