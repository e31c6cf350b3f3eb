"""The relay and the digest by duty, and this proxy as a member of a digest (design 6, docs/digest.md, docs/scale.md)."""

import logging
import random

from ploverward.common import errors
from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.load_reports import digest
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.relay import gateway as gateways
from ploverward.data_plane.relay import host
from ploverward.data_plane.relay import mirror
from ploverward.transport import legacy_messages
from ploverward.transport import peer_connection
from ploverward.transport import row_codec

_log = logging.getLogger(__name__)

MAX_ADAPTER_ROWS = 2000
SOLO_DELAY_SHARE = (0.25, 0.75)  # of silence_s: how long a proxy waits for its zone's digest before it goes on alone
LARGE_ZONE_PACE = 2
TICKS_PER_CONTACT = 80  # reports in a contactMs, in a zone of one digest


class RelayMixin:
    """The relay by duty, the zone's digest by duty, and this proxy as a member of one (design 6, docs/digest.md).

    A proxy whose zone has no digest in reach is its own: the same sums, with itself as the only member.
    """

    def start_relay(self) -> None:
        names = tuple(sorted(set(self.settings.zones.values()) | {self.settings.region}))
        self.relay = None
        self.gateway = None
        self.region_names = names
        self.regions = {name: mirror.Region(now=self.loop.now, trust_s=self.contact_s) for name in names}
        self.source = report_source.Source(now=self.loop.now, regions=names, suspicion_s=self.contact_s / 4)
        self.digest_role = ""  # the duty that this proxy holds
        self.digest = self._new_digest(digest.DigestIdentity(region=self.settings.region, zone=self.settings.zone))
        self.digest_connector = None  # (duty, Holder, dialer) to the digest that serves this proxy
        self.is_enrolled = False
        self.follows = None  # keys of the replicas whose load this proxy asked its digest for; None: all
        self._solo_from = self.loop.now() + self.peer_timeout_s * random.uniform(*SOLO_DELAY_SHARE)
        self.loop.after(delay=self.peer_timeout_s * SOLO_DELAY_SHARE[1], callback=self._start_solo)
        self.adapters = adapter_counts.Counter(
            now=self.loop.now, window_s=self.contact_s * 6, trust_s=self.contact_s / 2
        )
        self._adapter_rows = {}  # (life, window): what members told, until the next telling
        self._waiting = {}  # links that came before this node knew of its duty: the message
        self.port = peer_connection.PeerListener(
            loop=self.loop,
            address=(self.settings.ip, self.settings.proxy_port),
            on_link=lambda link: None,
            on_message=self._handle_peer_message,
            on_end=self._on_peer_gone,
            peer_timeout_s=self.peer_timeout_s,
        )

    def _new_digest(self, identity: digest.DigestIdentity) -> digest.Digest:
        return digest.Digest(
            loop=self.loop,
            identity=identity,
            port=self.settings.proxy_port,
            peer_timeout_s=self.peer_timeout_s,
            regions=self.region_names,
            mirrors=self.regions,
            on_credit=lambda region, number: self.source.credit(region=region, number=number),
            on_broke=lambda region: self.source.mark_lost(region=region),
        )

    # Duties.
    def _relays(self) -> dict:
        """Region: who holds its relay, where somebody does."""
        found = {}
        for region in self.region_names:
            epoch, owner, _incarnation = self.singleton_roles.get(
                singleton_roles.relay_name(region=region), (0, "", "")
            )
            if owner:
                found[region] = digest.RoleOwner(epoch=epoch, address=owner)
        return found

    def _follow_singleton_roles(self) -> None:
        own = singleton_roles.relay_name(region=self.settings.region)
        if own in self.singleton_roles:
            self._keep_relay(*self.singleton_roles[own])
        self._follow_digests()
        self._connect_to_relays()
        for link, message in list(self._waiting.items()):
            self._admit(link, message)

    def _follow_digests(self) -> None:
        """Which of the zone's digests this proxy holds, or which one serves it."""
        zone = self.settings.zone
        assigned = {
            name: (epoch, owner, incarnation)
            for name, (epoch, owner, incarnation) in self.singleton_roles.items()
            if owner and singleton_roles.is_digest_of(name=name, zone=zone)
        }
        mine = sorted(
            name
            for name, (_epoch, owner, incarnation) in assigned.items()
            if (owner, incarnation) == (self.settings.ip, self.incarnation)
        )
        self._hold_digest(mine[0] if mine else "", assigned[mine[0]][0] if mine else 0)
        others = [name for name, (_epoch, owner, _incarnation) in assigned.items() if owner != self.settings.ip]
        if mine or not others:
            self._follow_digest("", None)
            return
        name = singleton_roles.digest_for(names=others, address=self.settings.ip)
        epoch, owner, _incarnation = assigned[name]
        self._follow_digest(name, digest.RoleOwner(epoch=epoch, address=owner))

    def _hold_digest(self, name: str, epoch: int) -> None:
        """A digest under another duty, another epoch or none starts anew: its members come back with all they have."""
        if (name, epoch) == (self.digest_role, self.digest.identity.epoch):
            return
        self.digest_role = name
        former = self.digest
        former.stop()
        former.close_members(reason="the digest is another's")
        identity = digest.DigestIdentity(region=self.settings.region, zone=name or self.settings.zone, epoch=epoch)
        self.digest = self._new_digest(identity)

    def _follow_digest(self, name: str, owner: digest.RoleOwner | None) -> None:
        known = self.digest_connector[:2] if self.digest_connector is not None else ("", None)
        if known == (name, owner):
            return
        if self.digest_connector is not None:
            connector = self.digest_connector[2]
            self.digest_connector = None
            connector.stop()
        if owner is None:
            return
        if not self.digest.is_dialled:
            self._wait_for_digest()
        connector = peer_connection.Connector(
            loop=self.loop,
            address=(owner.address, self.settings.proxy_port),
            on_up=lambda link: link.send(("enroll", owner.epoch, self.settings.ip)),
            on_message=self._handle_digest_message,
            on_end=self._on_digest_gone,
            peer_timeout_s=self.peer_timeout_s,
        )
        self.digest_connector = (name, owner, connector)

    def _wait_for_digest(self) -> None:
        """Many proxies that lose or find a digest at once must not all dial the relays."""
        delay = self.peer_timeout_s * random.uniform(*SOLO_DELAY_SHARE)
        self._solo_from = self.loop.now() + delay
        self.loop.after(delay=delay * 1.01, callback=self._start_solo)

    def _start_solo(self) -> None:
        if not self.is_enrolled:
            self._connect_to_relays()

    def _keep_relay(self, epoch: int, owner: str, incarnation: str) -> None:
        is_mine = owner == self.settings.ip and incarnation == self.incarnation
        if self.relay is not None and (not is_mine or self.relay.epoch != epoch):
            former, self.relay = self.relay, None
            for link in list(former.subscribers):
                link.close(reason="the relay is another's")
            gateway, self.gateway = self.gateway, None
            gateway.stop()
        if is_mine and self.relay is None:
            self.relay = host.Host(
                region=self.settings.region, epoch=epoch, now=self.loop.now, suspicion_s=self.contact_s / 4
            )
            self._sync_relay()
            self.gateway = gateways.Gateway(
                loop=self.loop,
                region=self.settings.region,
                epoch=epoch,
                port=self.settings.proxy_port,
                peer_timeout_s=self.peer_timeout_s,
                regions=self.region_names,
                trust_s=self.contact_s,
            )

    # As a member.
    def _digest_link(self):
        return self.digest_connector[2].link if self.digest_connector is not None else None

    def _handle_digest_message(self, link, message: tuple) -> None:
        """What the holder of the zone's digest says to this member."""
        kind = message[0]
        if self._digest_link() is not link:
            return
        if kind == "enrolled":
            self.is_enrolled = True
            self.digest.stop()
            self.digest.remove_own_report()
            self.follows = None
            link.send(("report", *self.source.checkpoint(replicas=self._own_load())))
            self._send_followed_keys()
        elif not self.is_enrolled:
            return
        elif kind == "relayed":
            if message[1] in self.regions:
                self._apply_publication(message[1], link, legacy_messages.unpack(message[2]))
        elif kind == "credited":
            self.source.credit(region=message[1], number=message[2])
        elif kind == "broke":
            self._region_broke(message[1])

    def _send_followed_keys(self) -> None:
        """Tells the digest which replicas' loads this proxy looks at, where these are not all."""
        follows = self.table.followed_keys()
        if not self.is_enrolled or follows == self.follows:
            return
        self.follows = follows
        link = self._digest_link()
        if link is not None:
            link.send(("follow", follows is None, b"".join(sorted(follows or ()))))

    def _on_digest_gone(self, _link, _reason) -> None:
        if not self.is_enrolled:
            return
        self.is_enrolled = False
        for region in self.regions:
            self._region_broke(region)
        self._wait_for_digest()

    def _region_broke(self, region: str) -> None:
        if region in self.regions:
            self.regions[region].fail()
        self.source.mark_lost(region=region)

    def _apply_publication(self, region: str, link, message: tuple) -> None:
        try:
            self.regions[region].take(message)
        except errors.FrameError as fault:
            _log.debug("relay_stream_broken", extra={"fault": str(fault)})
            link.close(reason=str(fault))

    def _own_load(self) -> list:
        """Replicas that this proxy has attempts at, gone from the list or not."""
        found = {}
        for handler in self.passages:
            if handler.attempt is not None:
                found[handler.attempt.replica.id] = handler.attempt.replica
        return list(found.values())

    # Being a digest: of the zone by duty, or of this proxy alone.
    def _connect_to_relays(self) -> None:
        relays = self._relays()
        if self.gateway is not None:
            self.gateway.follow(relays=relays)
        if self.is_enrolled:
            return
        is_digest_owner = bool(self.digest_role)
        if not is_digest_owner and not self.digest.is_dialled and self.loop.now() < self._solo_from:
            return
        is_fresh = not self.digest.is_dialled
        own = self.settings.region
        for region, owner in relays.items():
            if region == own or not is_digest_owner:
                self.digest.follow_relay(region=region, owner=owner)
        if is_digest_owner:
            far = [region for region in self.region_names if region != own]
            self.digest.follow_gateway(owner=relays.get(own), regions=far)
        if is_fresh and self.digest.is_dialled:
            self.digest.remove_own_report()
            self.digest.handle_own_report(self.source.checkpoint(replicas=self._own_load()))

    # Links that others opened to this node: subscribers of its relay, members of its digest or of its gateway.
    def _handle_peer_message(self, link, message: tuple) -> None:
        kind = message[0]
        if kind in ("subscribe", "enroll", "enroll_digest"):
            self._waiting[link] = message
            self._admit(link, message)
        elif kind == "sums":
            if self.relay is not None:
                self.relay.handle_aggregates(link, message)
        elif link in self.digest.fanout.members:
            self._handle_member_message(link, message)
        elif self.gateway is not None and link in self.gateway.digest.fanout.members and kind == "report":
            self.gateway.digest.handle_report(link, message)

    def _handle_member_message(self, link, message: tuple) -> None:
        kind = message[0]
        if kind == "report":
            self.digest.handle_report(link, message)
        elif kind == "adapters":
            self._handle_adapter_report(message[1])
        elif kind == "follow":
            _kind, is_all, data = message
            self.digest.follow(link, keys=None if is_all else frozenset(row_codec.keys(data=data)))

    def _admit(self, link, message: tuple) -> None:
        kind, epoch, *about = message
        if kind == "enroll":
            if self.digest_role and self.digest.identity.epoch >= epoch:
                self._waiting.pop(link, None)
                self.digest.admit(link, address=about[0])
            return
        if self.relay is None or self.relay.epoch < epoch:
            return
        self._waiting.pop(link, None)
        if kind == "subscribe":
            region, zone, zone_epoch = about
            self.relay.subscribe(link, region=region, zone=zone, zone_epoch=zone_epoch)
        else:
            zone, zone_epoch = about
            self.gateway.enroll(link, zone=zone, zone_epoch=zone_epoch)

    def _on_peer_gone(self, link, _reason) -> None:
        self._waiting.pop(link, None)
        self.digest.end(link)
        if self.gateway is not None:
            self.gateway.end(link)
        if self.relay is not None:
            self.relay.end(link)

    def _send_peer_heartbeats(self) -> None:
        self.table.refresh_fleet_size()
        self._send_followed_keys()
        self.digest.send_heartbeats()
        if self.gateway is not None:
            self.gateway.digest.send_heartbeats()
        link = self._digest_link()
        if link is not None and link.is_up:
            link.send(("beat", 0))
        for link in list(self.relay.subscribers) if self.relay is not None else ():
            link.send(("beat", 0))

    def _sync_relay(self) -> None:
        rows = [
            {
                "id": replica.id,
                "service": replica.service,
                "region": replica.region,
                "models": replica.models,
                "berths": replica.batch_slots,
            }
            for replica in self.table.replicas.values()
        ]
        services = {name: row for name, row in self.table.services.items() if row["cache_tokens"]}
        self.relay.sync(services=services, replicas=rows)

    def report_attempt(self, *, replica, kind: int) -> None:
        self.source.record(replica=replica, kind=kind)

    def report_prefill(self, *, replica, service: str, model: str, parts, salt: str = "") -> None:
        self.source.note_read(replica=replica, service=service, model=model, parts=parts, salt=salt)

    # What was counted of adapters goes to the core by way of the digest, in whole windows (docs/pins.md 3).
    def send_adapter_counts(self) -> None:
        rows = [
            (self.settings.node, self.settings.zone, self.settings.region, self.incarnation, window, number, data)
            for window, number, data in self.adapters.report()
        ]
        rows += self._adapter_rows.values()
        self._adapter_rows = {}
        if not rows:
            return
        link = self._digest_link() if self.is_enrolled else self._near_core()
        if link is not None:
            link.send(("adapters", tuple(rows)))

    def _handle_adapter_report(self, rows: tuple) -> None:
        """Of a member: a newer telling of a window replaces an older one that still waits here."""
        for row in rows:
            key = row[3:5]
            if key in self._adapter_rows or len(self._adapter_rows) < MAX_ADAPTER_ROWS:
                self._adapter_rows[key] = row

    def _pace(self) -> int:
        """Reports go at half the pace where the zone has several digests."""
        second = singleton_roles.digest_name(zone=self.settings.zone, number=1)
        _epoch, owner, _incarnation = self.singleton_roles.get(second, (0, "", ""))
        return LARGE_ZONE_PACE if owner else 1

    def _relay_tick(self) -> None:
        report = self.source.take_batch()
        if report is not None:
            link = self._digest_link()
            if not self.is_enrolled:
                self.digest.handle_own_report(report)
            elif link is not None:
                link.send(("report", *report))
        if not self.is_enrolled or self.digest.fanout.members:
            self.digest.tick()
        if self.gateway is not None:
            self.gateway.digest.tick()
        if self.relay is not None:
            self.relay.tick()
        self.subscriber.tick()
        self.loop.after(delay=self.contact_s / TICKS_PER_CONTACT * self._pace(), callback=self._relay_tick)
