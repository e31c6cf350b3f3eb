"""The relay and the digest by duty, and this proxy as a member of a digest (design 6, docs/digest.md)."""

from pw.base import link as links
from pw.base import problems
from pw.base import ring
from pw.base import wire
from pw.dat import mirror
from pw.dat.adapters import counts as adapter_counts
from pw.dat.digest import source as sources
from pw.dat.digest import sums
from pw.dat.relay import host as relay_hosts
from pw.dat.relay import hub as hubs

MOST_ADAPTER_ROWS = 2000
OWN = "own"  # this proxy, as a member of its own sums


class RelayMixin:
    """The relay by duty, the zone's digest by duty, and this proxy as a member of one (design 6, docs/digest.md).

    A proxy whose zone has no digest in reach is its own: the same sums, with itself as the only member.
    """

    def start_relay(self) -> None:
        names = tuple(sorted(set(self.settings.zones.values()) | {self.settings.region}))
        self.relay = None
        self.regions = {}
        self.relay_dialers = {}  # region: ((epoch, holder), dialer), while this proxy is a digest
        self.source = sources.Source(now=self.loop.now, regions=names, suspect_s=self.contact_s / 4)
        self.sums = sums.Sums(regions=names)
        self.region_names = names
        self.digest_epoch = 0  # of the duty that this proxy holds; 0: it holds none
        self.digest_dialer = None  # ((epoch, holder), dialer) to the digest of the zone
        self.is_enrolled = False
        self.adapters = adapter_counts.Counter(
            now=self.loop.now, window_s=self.contact_s * 6, trust_s=self.contact_s / 2
        )
        self._adapter_rows = {}  # (life, window): what members told, until the next telling
        self._members = {}  # link of a member: its address
        self._waiting = {}  # links that came before this node knew of its duty: the message
        self.port = links.Port(
            loop=self.loop,
            address=(self.settings.ip, self.settings.proxy_port),
            on_link=lambda link: None,
            on_message=self._take_inner,
            on_end=self._inner_gone,
            silence_s=self.silence_s,
        )

    def _follow_duties(self) -> None:
        for name, (epoch, holder, life) in self.duties.items():
            kind, _slash, place = name.partition("/")
            if kind == "relay" and place in self.region_names:
                if place not in self.regions:
                    self.regions[place] = mirror.Region(now=self.loop.now, trust_s=self.contact_s)
                if place == self.settings.region:
                    self._keep_relay(epoch, holder, life)
            elif kind == "digest" and place == self.settings.zone:
                self._keep_digest(epoch, holder, life)
        self._dial_relays()
        for link, message in list(self._waiting.items()):
            self._admit(link, message)

    # The zone's digest.
    def _keep_digest(self, epoch: int, holder: str, life: str) -> None:
        is_mine = holder == self.settings.ip and life == self.life
        held_epoch, self.digest_epoch = self.digest_epoch, epoch if is_mine else 0
        if held_epoch and held_epoch != self.digest_epoch:
            for link in list(self._members):
                link.close(reason="the digest is another's")
        wanted = None if is_mine or not holder or holder == self.settings.ip else (epoch, holder)
        known = self.digest_dialer[0] if self.digest_dialer is not None else None
        if known == wanted:
            if held_epoch != self.digest_epoch:
                self._stop_relays()
            return
        if self.digest_dialer is not None:
            dialer, self.digest_dialer = self.digest_dialer[1], None
            dialer.stop()
        if wanted is not None:
            self.digest_dialer = (
                wanted,
                links.Dialer(
                    loop=self.loop,
                    address=(holder, self.settings.proxy_port),
                    on_up=lambda link: link.send(("enroll", epoch, self.settings.ip)),
                    on_message=self._take_digest,
                    on_end=self._digest_gone,
                    silence_s=self.silence_s,
                ),
            )
        elif is_mine:
            self._stop_relays()  # dialled again under the duty's epoch

    def _take_digest(self, link, message: tuple) -> None:
        """What the holder of the zone's digest says to this member."""
        kind = message[0]
        if self.digest_dialer is None or self.digest_dialer[1].link is not link:
            return
        if kind == "enrolled":
            self.is_enrolled = True
            self._stop_relays()
            self.sums.end(OWN)
            link.send(("report", *self.source.checkpoint(replicas=self._own_load())))
        elif not self.is_enrolled:
            return
        elif kind == "relayed":
            if message[1] in self.regions:
                self._take_publication(message[1], link, wire.unpack(message[2]))
        elif kind == "credited":
            self.source.credit(region=message[1], number=message[2])
        elif kind == "broke":
            self._region_broke(message[1])

    def _digest_gone(self, _link, _reason) -> None:
        if not self.is_enrolled:
            return
        self.is_enrolled = False
        for region in self.regions:
            self._region_broke(region)
        self._dial_relays()

    def _region_broke(self, region: str) -> None:
        if region in self.regions:
            self.regions[region].fail()
        self.source.lose(region=region)

    def _own_load(self) -> list:
        """Replicas that this proxy has attempts at, gone from the list or not."""
        found = {}
        for passage in self.passages:
            if passage.attempt is not None:
                found[passage.attempt.replica.id] = passage.attempt.replica
        return list(found.values())

    # Being a digest: of the zone by duty, or of this proxy alone.
    def _dial_relays(self) -> None:
        if self.is_enrolled:
            return
        is_fresh = not self.relay_dialers
        for region in self.regions:
            epoch, holder, _life = self.duties.get(f"relay/{region}", (0, "", ""))
            known = self.relay_dialers.get(region)
            if not holder or (known is not None and known[0] == (epoch, holder)):
                continue
            if known is not None:
                known[1].stop()
            self.regions[region].fail()
            self.relay_dialers[region] = (
                (epoch, holder),
                links.Dialer(
                    loop=self.loop,
                    address=(holder, self.settings.proxy_port),
                    on_up=lambda link, region=region, epoch=epoch: self._subscribe(region, link, epoch),
                    on_message=lambda link, message, region=region: self._take_relay(region, link, message),
                    on_end=lambda link, reason, region=region: self._publication_broke(region, link),
                    silence_s=self.silence_s,
                ),
            )
        if is_fresh and self.relay_dialers:
            self.sums.end(OWN)
            self.sums.take(OWN, *self.source.checkpoint(replicas=self._own_load()))

    def _stop_relays(self) -> None:
        dialers, self.relay_dialers = self.relay_dialers, {}
        for _known, dialer in dialers.values():
            dialer.stop()

    def _subscribe(self, region: str, link, epoch: int) -> None:
        link.send(("subscribe", epoch, self.settings.region, self.settings.zone, self.digest_epoch))
        link.send(("sums", *self.sums.checkpoint(region=region)))

    def _take_relay(self, region: str, link, message: tuple) -> None:
        """A frame of a region's relay: taken here, and passed on unchanged to the members."""
        known = self.relay_dialers.get(region)
        if known is None or known[1].link is not link:
            return
        if message[0] == "counted":
            for member, number in self.sums.counted(region=region, number=message[1]).items():
                if member is OWN:
                    self.source.credit(region=region, number=number)
                else:
                    member.send(("credited", region, number))
            return
        if not self._take_publication(region, link, message):
            return
        if self._members:
            self._tell_members(wire.pack(("relayed", region, link.frame)))

    def _tell_members(self, frame: bytes) -> None:
        for link in list(self._members):
            if link.queued() > hubs.QUEUE_LIMIT_BYTES:
                link.close(reason="digest queue overflow")
                continue
            link.send_bytes(frame)

    def _publication_broke(self, region: str, _link) -> None:
        known = self.relay_dialers.get(region)
        if known is None:
            return  # stopped by this node
        self._region_broke(region)
        self._tell_members(wire.pack(("broke", region)))

    def _take_publication(self, region: str, link, message: tuple) -> bool:
        try:
            self.regions[region].take(message)
            return True
        except problems.FrameProblem as fault:
            ring.note("relay stream broken", fault=str(fault))
            link.close(reason=str(fault))
            return False

    # Links that others opened to this node: subscribers of its relay, members of its digest.
    def _take_inner(self, link, message: tuple) -> None:
        kind = message[0]
        if kind in ("subscribe", "enroll"):
            self._waiting[link] = message
            self._admit(link, message)
        elif kind == "sums":
            if self.relay is not None:
                self.relay.take_sums(link, message)
        elif kind == "adapters" and link in self._members:
            self._take_adapters(message[1])
        elif kind == "report" and link in self._members:
            self.sums.take(link, *message[1:])

    def _admit(self, link, message: tuple) -> None:
        if message[0] == "subscribe":
            _kind, epoch, region, zone, zone_epoch = message
            if self.relay is None or self.relay.epoch < epoch:
                return
            self._waiting.pop(link, None)
            self.relay.subscribe(link, region=region, zone=zone, zone_epoch=zone_epoch)
            return
        _kind, epoch, address = message
        if not self.digest_epoch or self.digest_epoch < epoch:
            return
        self._waiting.pop(link, None)
        for other in [other for other, held in self._members.items() if held == address]:
            other.close(reason="a newer link of the same member")
        self._members[link] = address
        link.send(("enrolled", self.digest_epoch))
        for region, state in self.regions.items():
            if state.broken_at is None:
                for frame in state.frames():
                    link.send(("relayed", region, wire.pack(frame)))
            else:
                link.send(("broke", region))

    def _inner_gone(self, link, _reason) -> None:
        self._waiting.pop(link, None)
        if self._members.pop(link, None) is not None:
            self.sums.end(link)
        if self.relay is not None:
            self.relay.end(link)

    def _beat_inner(self) -> None:
        dialers = [dialer for _known, dialer in self.relay_dialers.values()]
        if self.digest_dialer is not None:
            dialers.append(self.digest_dialer[1])
        for dialer in dialers:
            if dialer.link is not None and dialer.link.is_up:
                dialer.link.send(("beat", 0))
        for link in [*self._members, *(self.relay.subscribers if self.relay is not None else ())]:
            link.send(("beat", 0))

    def _keep_relay(self, epoch: int, holder: str, life: str) -> None:
        is_mine = holder == self.settings.ip and life == self.life
        if self.relay is not None and (not is_mine or self.relay.epoch != epoch):
            former, self.relay = self.relay, None
            for link in list(former.subscribers):
                link.close(reason="the relay is another's")
        if is_mine and self.relay is None:
            self.relay = relay_hosts.Host(
                region=self.settings.region, epoch=epoch, now=self.loop.now, suspect_s=self.contact_s / 4
            )
            self._sync_relay()

    def _sync_relay(self) -> None:
        rows = [
            {"id": replica.id, "service": replica.service, "region": replica.region, "models": replica.models}
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
        link = self.digest_dialer[1].link if self.is_enrolled else self._near_core()
        if link is not None:
            link.send(("adapters", tuple(rows)))

    def _take_adapters(self, rows: tuple) -> None:
        """Of a member: a newer telling of a window replaces an older one that still waits here."""
        for row in rows:
            key = row[3:5]
            if key in self._adapter_rows or len(self._adapter_rows) < MOST_ADAPTER_ROWS:
                self._adapter_rows[key] = row

    def _relay_tick(self) -> None:
        report = self.source.cut()
        if report is not None:
            if not self.is_enrolled:
                self.sums.take(OWN, *report)
            elif self.digest_dialer is not None and self.digest_dialer[1].link is not None:
                self.digest_dialer[1].link.send(("report", *report))
        for region, (_known, dialer) in self.relay_dialers.items():
            if dialer.link is None or not dialer.link.is_up:
                self.sums.discard(region=region)
                continue
            cut = self.sums.cut(region=region)
            if cut is not None:
                dialer.link.send(("sums", *cut))
        if self.relay is not None:
            self.relay.tick()
        self.follower.tick()
        self.loop.after(delay=self.contact_s / 80, act=self._relay_tick)
