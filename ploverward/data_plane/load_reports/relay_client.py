"""The relay and the digest by duty, and this proxy as a member of a digest (design 6, docs/digest.md, docs/scale.md)."""

import random

from ploverward.transport import peer_connection
from ploverward.common import errors
from ploverward.transport import row_codec
from ploverward.common import event_log
from ploverward.transport import frames
from ploverward.control_plane.cluster import singleton_roles
from ploverward.data_plane.relay import mirror
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.load_reports import digest
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.relay import gateway as gateways
from ploverward.data_plane.relay import host

MOST_ADAPTER_ROWS = 2000
ALONE_SHARE = (0.25, 0.75)  # of silence_s: how long a proxy waits for its zone's digest before it goes on alone
LARGE_PACE = 2
TICKS_CONTACT = 80  # reports in a contactMs, in a zone of one digest


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
        self.source = report_source.Source(now=self.loop.now, regions=names, suspect_s=self.contact_s / 4)
        self.digest_duty = ""  # the duty that this proxy holds
        self.digest = self._new_digest(digest.Place(region=self.settings.region, zone=self.settings.zone))
        self.digest_dialer = None  # (duty, Holder, dialer) to the digest that serves this proxy
        self.is_enrolled = False
        self.follows = None  # keys of the replicas whose load this proxy asked its digest for; None: all
        self._alone_from = self.loop.now() + self.silence_s * random.uniform(*ALONE_SHARE)
        self.loop.after(delay=self.silence_s * ALONE_SHARE[1], act=self._go_alone)
        self.adapters = adapter_counts.Counter(
            now=self.loop.now, window_s=self.contact_s * 6, trust_s=self.contact_s / 2
        )
        self._adapter_rows = {}  # (life, window): what members told, until the next telling
        self._waiting = {}  # links that came before this node knew of its duty: the message
        self.port = peer_connection.Port(
            loop=self.loop,
            address=(self.settings.ip, self.settings.proxy_port),
            on_link=lambda link: None,
            on_message=self._take_inner,
            on_end=self._inner_gone,
            silence_s=self.silence_s,
        )

    def _new_digest(self, place: digest.Place) -> digest.Digest:
        return digest.Digest(
            loop=self.loop,
            place=place,
            port=self.settings.proxy_port,
            silence_s=self.silence_s,
            regions=self.region_names,
            mirrors=self.regions,
            on_credit=lambda region, number: self.source.credit(region=region, number=number),
            on_broke=lambda region: self.source.lose(region=region),
        )

    # Duties.
    def _relays(self) -> dict:
        """Region: who holds its relay, where somebody does."""
        found = {}
        for region in self.region_names:
            epoch, holder, _life = self.duties.get(singleton_roles.relay_name(region=region), (0, "", ""))
            if holder:
                found[region] = digest.Holder(epoch=epoch, address=holder)
        return found

    def _follow_duties(self) -> None:
        own = singleton_roles.relay_name(region=self.settings.region)
        if own in self.duties:
            self._keep_relay(*self.duties[own])
        self._follow_digests()
        self._dial_relays()
        for link, message in list(self._waiting.items()):
            self._admit(link, message)

    def _follow_digests(self) -> None:
        """Which of the zone's digests this proxy holds, or which one serves it."""
        zone = self.settings.zone
        held = {
            name: (epoch, holder, life)
            for name, (epoch, holder, life) in self.duties.items()
            if holder and singleton_roles.is_digest_of(name=name, zone=zone)
        }
        mine = sorted(
            name for name, (_epoch, holder, life) in held.items() if (holder, life) == (self.settings.ip, self.life)
        )
        self._hold_digest(mine[0] if mine else "", held[mine[0]][0] if mine else 0)
        others = [name for name, (_epoch, holder, _life) in held.items() if holder != self.settings.ip]
        if mine or not others:
            self._follow_digest("", None)
            return
        name = singleton_roles.digest_for(names=others, address=self.settings.ip)
        epoch, holder, _life = held[name]
        self._follow_digest(name, digest.Holder(epoch=epoch, address=holder))

    def _hold_digest(self, name: str, epoch: int) -> None:
        """A digest under another duty, another epoch or none starts anew: its members come back with all they have."""
        if (name, epoch) == (self.digest_duty, self.digest.place.epoch):
            return
        self.digest_duty = name
        former = self.digest
        former.stop()
        former.close_members(reason="the digest is another's")
        place = digest.Place(region=self.settings.region, zone=name or self.settings.zone, epoch=epoch)
        self.digest = self._new_digest(place)

    def _follow_digest(self, name: str, holder: digest.Holder | None) -> None:
        known = self.digest_dialer[:2] if self.digest_dialer is not None else ("", None)
        if known == (name, holder):
            return
        if self.digest_dialer is not None:
            dialer = self.digest_dialer[2]
            self.digest_dialer = None
            dialer.stop()
        if holder is None:
            return
        if not self.digest.is_dialled:
            self._wait_for_digest()
        dialer = peer_connection.Dialer(
            loop=self.loop,
            address=(holder.address, self.settings.proxy_port),
            on_up=lambda link: link.send(("enroll", holder.epoch, self.settings.ip)),
            on_message=self._take_digest,
            on_end=self._digest_gone,
            silence_s=self.silence_s,
        )
        self.digest_dialer = (name, holder, dialer)

    def _wait_for_digest(self) -> None:
        """Many proxies that lose or find a digest at once must not all dial the relays."""
        delay = self.silence_s * random.uniform(*ALONE_SHARE)
        self._alone_from = self.loop.now() + delay
        self.loop.after(delay=delay * 1.01, act=self._go_alone)

    def _go_alone(self) -> None:
        if not self.is_enrolled:
            self._dial_relays()

    def _keep_relay(self, epoch: int, holder: str, life: str) -> None:
        is_mine = holder == self.settings.ip and life == self.life
        if self.relay is not None and (not is_mine or self.relay.epoch != epoch):
            former, self.relay = self.relay, None
            for link in list(former.subscribers):
                link.close(reason="the relay is another's")
            gateway, self.gateway = self.gateway, None
            gateway.stop()
        if is_mine and self.relay is None:
            self.relay = host.Host(
                region=self.settings.region, epoch=epoch, now=self.loop.now, suspect_s=self.contact_s / 4
            )
            self._sync_relay()
            self.gateway = gateways.Gateway(
                loop=self.loop,
                region=self.settings.region,
                epoch=epoch,
                port=self.settings.proxy_port,
                silence_s=self.silence_s,
                regions=self.region_names,
                trust_s=self.contact_s,
            )

    # As a member.
    def _digest_link(self):
        return self.digest_dialer[2].link if self.digest_dialer is not None else None

    def _take_digest(self, link, message: tuple) -> None:
        """What the holder of the zone's digest says to this member."""
        kind = message[0]
        if self._digest_link() is not link:
            return
        if kind == "enrolled":
            self.is_enrolled = True
            self.digest.stop()
            self.digest.end_own()
            self.follows = None
            link.send(("report", *self.source.checkpoint(replicas=self._own_load())))
            self._tell_follows()
        elif not self.is_enrolled:
            return
        elif kind == "relayed":
            if message[1] in self.regions:
                self._take_publication(message[1], link, frames.unpack(message[2]))
        elif kind == "credited":
            self.source.credit(region=message[1], number=message[2])
        elif kind == "broke":
            self._region_broke(message[1])

    def _tell_follows(self) -> None:
        """Tells the digest which replicas' loads this proxy looks at, where these are not all."""
        follows = self.table.followed_keys()
        if not self.is_enrolled or follows == self.follows:
            return
        self.follows = follows
        link = self._digest_link()
        if link is not None:
            link.send(("follow", follows is None, b"".join(sorted(follows or ()))))

    def _digest_gone(self, _link, _reason) -> None:
        if not self.is_enrolled:
            return
        self.is_enrolled = False
        for region in self.regions:
            self._region_broke(region)
        self._wait_for_digest()

    def _region_broke(self, region: str) -> None:
        if region in self.regions:
            self.regions[region].fail()
        self.source.lose(region=region)

    def _take_publication(self, region: str, link, message: tuple) -> None:
        try:
            self.regions[region].take(message)
        except errors.FrameProblem as fault:
            event_log.note("relay stream broken", fault=str(fault))
            link.close(reason=str(fault))

    def _own_load(self) -> list:
        """Replicas that this proxy has attempts at, gone from the list or not."""
        found = {}
        for passage in self.passages:
            if passage.attempt is not None:
                found[passage.attempt.replica.id] = passage.attempt.replica
        return list(found.values())

    # Being a digest: of the zone by duty, or of this proxy alone.
    def _dial_relays(self) -> None:
        relays = self._relays()
        if self.gateway is not None:
            self.gateway.follow(relays=relays)
        if self.is_enrolled:
            return
        is_holder = bool(self.digest_duty)
        if not is_holder and not self.digest.is_dialled and self.loop.now() < self._alone_from:
            return
        is_fresh = not self.digest.is_dialled
        own = self.settings.region
        for region, holder in relays.items():
            if region == own or not is_holder:
                self.digest.follow_relay(region=region, holder=holder)
        if is_holder:
            far = [region for region in self.region_names if region != own]
            self.digest.follow_gateway(holder=relays.get(own), regions=far)
        if is_fresh and self.digest.is_dialled:
            self.digest.end_own()
            self.digest.take_own(self.source.checkpoint(replicas=self._own_load()))

    # Links that others opened to this node: subscribers of its relay, members of its digest or of its gateway.
    def _take_inner(self, link, message: tuple) -> None:
        kind = message[0]
        if kind in ("subscribe", "enroll", "enroll_digest"):
            self._waiting[link] = message
            self._admit(link, message)
        elif kind == "sums":
            if self.relay is not None:
                self.relay.take_sums(link, message)
        elif link in self.digest.fanout.members:
            self._take_member(link, message)
        elif self.gateway is not None and link in self.gateway.digest.fanout.members and kind == "report":
            self.gateway.digest.take_report(link, message)

    def _take_member(self, link, message: tuple) -> None:
        kind = message[0]
        if kind == "report":
            self.digest.take_report(link, message)
        elif kind == "adapters":
            self._take_adapters(message[1])
        elif kind == "follow":
            _kind, is_all, data = message
            self.digest.follow(link, keys=None if is_all else frozenset(row_codec.keys(data=data)))

    def _admit(self, link, message: tuple) -> None:
        kind, epoch, *about = message
        if kind == "enroll":
            if self.digest_duty and self.digest.place.epoch >= epoch:
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

    def _inner_gone(self, link, _reason) -> None:
        self._waiting.pop(link, None)
        self.digest.end(link)
        if self.gateway is not None:
            self.gateway.end(link)
        if self.relay is not None:
            self.relay.end(link)

    def _beat_inner(self) -> None:
        self.table.look_at_fleet()
        self._tell_follows()
        self.digest.beat()
        if self.gateway is not None:
            self.gateway.digest.beat()
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
                "berths": replica.berths,
            }
            for replica in self.table.replicas.values()
        ]
        services = {name: row for name, row in self.table.services.items() if row["cache_tokens"]}
        self.relay.sync(services=services, replicas=rows)

    def tell_send(self, *, replica, kind: int) -> None:
        self.source.note(replica=replica, kind=kind)

    def tell_read(self, *, replica, service: str, model: str, parts, salt: str = "") -> None:
        self.source.note_read(replica=replica, service=service, model=model, parts=parts, salt=salt)

    # What was counted of adapters goes to the core by way of the digest, in whole windows (docs/pins.md 3).
    def tell_adapters(self) -> None:
        rows = [
            (self.settings.node, self.settings.zone, self.settings.region, self.life, window, number, data)
            for window, number, data in self.adapters.report()
        ]
        rows += self._adapter_rows.values()
        self._adapter_rows = {}
        if not rows:
            return
        link = self._digest_link() if self.is_enrolled else self._near_core()
        if link is not None:
            link.send(("adapters", tuple(rows)))

    def _take_adapters(self, rows: tuple) -> None:
        """Of a member: a newer telling of a window replaces an older one that still waits here."""
        for row in rows:
            key = row[3:5]
            if key in self._adapter_rows or len(self._adapter_rows) < MOST_ADAPTER_ROWS:
                self._adapter_rows[key] = row

    def _pace(self) -> int:
        """Reports go at half the pace where the zone has several digests."""
        second = singleton_roles.digest_name(zone=self.settings.zone, number=1)
        _epoch, holder, _life = self.duties.get(second, (0, "", ""))
        return LARGE_PACE if holder else 1

    def _relay_tick(self) -> None:
        report = self.source.cut()
        if report is not None:
            link = self._digest_link()
            if not self.is_enrolled:
                self.digest.take_own(report)
            elif link is not None:
                link.send(("report", *report))
        if not self.is_enrolled or self.digest.fanout.members:
            self.digest.tick()
        if self.gateway is not None:
            self.gateway.digest.tick()
        if self.relay is not None:
            self.relay.tick()
        self.follower.tick()
        self.loop.after(delay=self.contact_s / TICKS_CONTACT * self._pace(), act=self._relay_tick)
