"""Following the core: held connections, news, leases, grant entries, and when to serve (design 4, 5, 8)."""

from ploverward.transport import http_server
from ploverward.transport import peer_connection
from ploverward.common import residency
from ploverward.common import event_log
from ploverward.common import tenant_usage
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.cluster import coordinator as coordinators
from ploverward.control_plane.distribution import publisher
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.rollouts import leases
from ploverward.data_plane.requests import route_table


RENEWALS_KEPT = 16  # entries that answer older renewals have run out


class FollowMixin:
    """Held connections to the core: news, leases, grant entries (design 4, 5, 8)."""

    def start_following(self) -> None:
        self.core_dialers = {}
        self._renewal = 0
        self._renewed_at = {}  # number of a renewal: when it was sent
        self.near_cores = set()
        self.near_links = set()
        self.floors = {}  # core host: floor of the spec
        self.follower = publisher.Follower(
            now=self.loop.now,
            patience_s=self.contact_s / 12,
            on_image=self._on_image,
            is_near=lambda link: link in self.near_links,
            unwanted=(register_names.ARCHIVE,),
            on_change=self._on_change,
            stepwise=("list",),
        )
        self.core_members = tuple(sorted({host for host, _port in self.settings.seeds}))
        self._dial_cores()

    def _dial_cores(self) -> None:
        wanted = set(self.core_members) | {host for host, _port in self.settings.seeds}
        for host in wanted - self.core_dialers.keys():
            self.core_dialers[host] = peer_connection.Dialer(
                loop=self.loop,
                address=(host, self.settings.core_port),
                on_up=self._hail,
                on_message=lambda link, message, host=host: self._take_news(host, link, message),
                on_end=lambda link, _reason, host=host: self._core_gone(host, link),
                silence_s=self.silence_s,
            )
        for host in [host for host in self.core_dialers if host not in wanted]:
            self.core_dialers.pop(host).stop()

    def _hail(self, link) -> None:
        public = "%s:%d" % self.settings.bindings["counter"]
        link.send(("hello", "proxy", self.settings.ip, self.settings.zone, self.settings.region, self.life, public))
        link.send(("state", self.is_serving and not self.is_leaving, self.is_leaving))

    def _core_gone(self, host: str, link) -> None:
        self.allowance.forget(core=host)
        self.near_links.discard(link)
        self.follower.drop(link)

    def _tell_core(self, message: tuple) -> None:
        for dialer in self.core_dialers.values():
            if dialer.link is not None and dialer.link.is_up:
                dialer.link.send(message)

    def _take_news(self, host: str, link, message: tuple) -> None:
        kind = message[0]
        if kind == "hello":
            if message[4] == self.settings.region:
                self.near_cores.add(host)
                self.near_links.add(link)
        elif kind == "offer":
            self.follower.take_offer(link, message)
        elif kind == "image":
            if self.follower.take_image(link, message):
                self._tell_held(message[1])
        elif kind == "changes":
            if self.follower.take_changes(link, message):
                self._tell_held(message[1])
        elif kind == "floor":
            if host not in self.floors:
                event_log.note("floor", host=host)
            self.floors[host] = dict(message[1])
            self._check_serving()
        elif kind == "keeps":
            link.send(("kept", message[1], self._keepers(message[2], message[3], message[4])))
        elif kind == "entry":
            self._take_entry(link, message)
        elif kind == "standing":
            self._take_standing(host, message)
        elif kind == "leases":
            _kind, number, life_s, pace, data = message
            self.rollouts.pace = max(1, pace)
            self.rollouts.take_leases(number=number, life_s=life_s, leases=leases.unpack(data))

    def _tell_held(self, topic: str) -> None:
        if not self.is_serving:
            event_log.note("has", topic=topic)
        self._tell_core(("have", ((topic, *self.follower.serials[topic]),)))

    def renew_entries(self) -> None:
        """Asks each core node for this proxy's entry; the entry counts from now, whenever it comes (docs/control.md 2)."""
        self._renewal += 1
        self._renewed_at[self._renewal] = self.loop.now()
        self._renewed_at.pop(self._renewal - RENEWALS_KEPT, None)
        for host, dialer in self.core_dialers.items():
            if dialer.link is not None and dialer.link.is_up:
                usage = self.allowance.report(core=host) if self.allowance.is_on else b""
                dialer.link.send(("renew", self._renewal, usage))
        self.allowance.end_report()

    def _take_entry(self, link, message: tuple) -> None:
        sent_at = self._renewed_at.get(message[-1])
        if sent_at is not None:
            # By the core node's address: the entry of an ended link and that of its successor are one.
            self.quota.take_entry(link.peer, message[:-1], sent_at=sent_at)

    def _take_standing(self, host: str, message: tuple) -> None:
        """How fresh the configuration here is, and what may be admitted: as of when it was asked."""
        _kind, number, version, age_s, proxies, credits = message
        asked_at = self._renewed_at.get(number)
        if asked_at is not None:
            self.standing.take(core=host, version=version, asked_at=asked_at, age_s=age_s)
            self.allowance.take(
                core=host, asked_at=asked_at, proxies=proxies, credits=tenant_usage.unpack_credits(credits)
            )

    def configuration_age_s(self) -> float:
        """Seconds since a moment at which nothing newer was acknowledged than what this proxy has."""
        return self.standing.age_s(version=self.follower.serials.get(register_names.CONFIGURATION, (0, 0))[1])

    def tell_evidence(self) -> None:
        """What was counted of roll-outs under way, to the holder of the watch duty, which answers with leases."""
        _epoch, holder, _life = self.duties.get(coordinators.WATCH, (0, "", ""))
        dialer = self.core_dialers.get(holder)
        if dialer is None or dialer.link is None or not dialer.link.is_up:
            return
        report = self.rollouts.report()
        if report is not None:
            dialer.link.send(("evidence", *report))

    def _keepers(self, service: str, model: str, hashes) -> tuple:
        """Replicas that, by the mirrors, still keep any of these parts."""
        by_key = {replica.key: replica for replica in self.table.replicas.values()}
        found = set()
        for region in self.regions.values():
            rows = [full_hash for (full_hash,) in hashes]
            found |= region.keepers(service=service, model=model, hashes=rows, keys=by_key)
        return tuple(sorted((by_key[key].id, by_key[key].zone) for key in found))

    def _near_core(self):
        link = None
        for host, dialer in sorted(self.core_dialers.items()):
            if dialer.link is not None and dialer.link.is_up:
                if link is None or host in self.near_cores:
                    link = dialer.link
        return link

    def tell_trails(self, *, is_last: bool = False) -> None:
        """To the core node of this region, or to the first other one in reach."""
        link = self._near_core()
        if link is None:
            return
        self.batches.cut(is_last=is_last)
        for number, is_end, rows in self.batches.drain():
            link.send(("trails", self.settings.node, self.life, number, is_end, rows))

    def _check_serving(self) -> None:
        """Serves nothing before it has what a majority of the core may have acknowledged (design 5)."""
        if self.is_serving:
            return
        if not ballots.has_majority(of=self.core_members, among=self.floors):
            return
        for name in register_names.FLOORED:
            floor = max(floors.get(name, 0) for floors in self.floors.values())
            if self.follower.serials.get(name, (0, 0))[1] < floor:
                return
        if self.follower.serials.get("spec", (0, 0))[1] < 1 or "list" not in self.follower.serials:
            return
        if "cores" not in self.follower.serials:
            return  # the floors may be those of seeds that no longer vote
        self.is_serving = True
        event_log.note("serving", edition=self.routes.edition)
        self._tell_core(("state", True, self.is_leaving))

    def _on_image(self, topic: str, epoch: int, number: int, data: bytes) -> None:
        if topic in (*register_names.FLOORED, register_names.DUTIES, register_names.CORE_SET):
            members, payload = ballots.unpack(data)
            if topic == "spec" and payload:
                self._keep_older_homes()
                self.routes = route_table.Routes(body=payload["body"])
                self.table.install_services(route_table.services(body=payload["body"]))
                self._set_limits(payload["body"].get("limits") or {})
                self.allowance.install(payload["body"])
            elif topic == "evac":
                self.table.install_evacuations((payload or {}).get("zones", ()))
            elif topic == register_names.ROLLOUTS:
                self.rollouts.install(payload)
            elif topic == "duty":
                self.duties = payload or {}
                self._follow_duties()
            elif topic == "cores":
                self.core_members = members
                self._dial_cores()
        elif topic == "list":
            self.table.install_list(endpoint_list.unpack_list(data).in_order())
        self.loop.command(act=self._check_serving)
        if topic in ("spec", "list") and self.relay is not None:
            self._sync_relay()

    def _on_change(self, _topic: str, _epoch: int, _number: int, data: bytes) -> None:
        """One step of the list of replicas."""
        change = endpoint_list.unpack_change(data)
        self.table.change_list(rows=change.rows, gone=change.gone)
        if self.relay is not None:
            self._sync_relay()

    def _keep_older_homes(self) -> None:
        """Until the older configuration is gone everywhere, the stricter of the two binds (design 10)."""
        now = self.loop.now()
        self.older_homes = [row for row in self.older_homes if row[0] > now]
        if self.routes.edition:
            until = now + self.settings.bound_s(name="applyMs")
            self.older_homes.append((until, self.routes.homes(), self.routes.sender_homes()))

    def permitted(self, *, route, first_homes, sender=None):
        """The regions that a request of this route and tenant may go to, None for all; both bind, and so do older ones."""
        now = self.loop.now()
        bound = [first_homes]
        for until, homes, sender_homes in self.older_homes:
            if until > now:
                bound.append(homes.get(route.name, ()))
                bound.append(sender_homes.get(sender.name, ()) if sender is not None else ())
        if sender is not None:
            bound.append(sender.homes)
        return residency.permitted(homes=route.homes, older=tuple(bound))

    def _set_limits(self, body: dict) -> None:
        self.limits = http_server.Limits(
            head_bytes=int(body.get("labelBytes", 16384)),
            body_bytes=int(body.get("parcelBytes", 4194304)),
            head_s=float(body.get("labelMs", 3000)) / 1000.0,
            idle_s=float(body.get("idleMs", 15000)) / 1000.0,
        )
