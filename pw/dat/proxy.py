"""The proxy program: follows the core, carries the traffic, hosts its region's relay by duty (design 1, 5, 6, 7, 9)."""

import json
import signal
import uuid

from pw.base import inlet
from pw.base import link as links
from pw.base import loop as loops
from pw.base import problems
from pw.base import residency
from pw.base import records
from pw.base import ring
from pw.base import settings as settings_files
from pw.base import wire
from pw.ctl.news import desk as desks
from pw.ctl.register import ballots
from pw.dat import choice
from pw.dat import custody
from pw.dat import mirror
from pw.dat import passage as passages
from pw.dat import quota as quotas
from pw.dat import replicas
from pw.dat import routes as route_tables
from pw.dat.adapters import counts as adapter_counts
from pw.dat.digest import source as sources
from pw.dat.digest import sums
from pw.dat.relay import host as relay_hosts
from pw.dat.relay import hub as hubs

MOST_ADAPTER_ROWS = 2000
OWN = "own"  # this proxy, as a member of its own sums


class FollowMixin:
    """Held connections to the core: news, leases, grant entries (design 4, 5, 8)."""

    def start_following(self) -> None:
        self.core_dialers = {}
        self.near_cores = set()
        self.near_links = set()
        self.floors = {}  # core host: floor of the spec
        self.follower = desks.Follower(
            now=self.loop.now,
            patience_s=self.contact_s / 12,
            on_image=self._on_image,
            is_near=lambda link: link in self.near_links,
        )
        self.core_members = tuple(sorted({host for host, _port in self.settings.seeds}))
        self._dial_cores()

    def _dial_cores(self) -> None:
        wanted = set(self.core_members) | {host for host, _port in self.settings.seeds}
        for host in wanted - self.core_dialers.keys():
            self.core_dialers[host] = links.Dialer(
                loop=self.loop,
                address=(host, self.settings.core_port),
                on_up=self._hail,
                on_message=lambda link, message, host=host: self._take_news(host, link, message),
                on_end=self._core_gone,
                silence_s=self.silence_s,
            )
        for host in [host for host in self.core_dialers if host not in wanted]:
            self.core_dialers.pop(host).stop()

    def _hail(self, link) -> None:
        public = "%s:%d" % self.settings.bindings["counter"]
        link.send(("hello", "proxy", self.settings.ip, self.settings.zone, self.settings.region, self.life, public))
        link.send(("state", self.is_serving and not self.is_leaving, self.is_leaving))

    def _core_gone(self, link, _reason) -> None:
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
                topic = message[1]
                if not self.is_serving:
                    ring.note("has", topic=topic)
                self._tell_core(("have", ((topic, *self.follower.serials[topic]),)))
        elif kind == "floor":
            if host not in self.floors:
                ring.note("floor", host=host)
            self.floors[host] = dict(message[1])
            self._check_serving()
        elif kind == "keeps":
            link.send(("kept", message[1], self._keepers(message[2], message[3], message[4])))
        elif kind == "entry":
            self.quota.take_entry(link, message)

    def _keepers(self, service: str, model: str, hashes) -> tuple:
        """Replicas that, by the mirrors, still keep any of these parts."""
        found = set()
        for region in self.regions.values():
            for (full_hash,) in hashes:
                found |= region.owners(service=service, model=model, full_hash=full_hash)
        return tuple(
            sorted(
                (replica.id, replica.zone)
                for replica in self.table.replicas.values()
                if records.key_of(replica.id) in found
            )
        )

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
        for name in ("spec", "evac"):
            floor = max(floors.get(name, 0) for floors in self.floors.values())
            if self.follower.serials.get(name, (0, 0))[1] < floor:
                return
        if self.follower.serials.get("spec", (0, 0))[1] < 1 or "list" not in self.follower.serials:
            return
        self.is_serving = True
        ring.note("serving", edition=self.routes.edition)
        self._tell_core(("state", True, self.is_leaving))

    def _on_image(self, topic: str, epoch: int, number: int, data: bytes) -> None:
        if topic in ("spec", "evac", "duty", "cores"):
            members, payload = ballots.unpack(data)
            if topic == "spec" and payload:
                self._keep_older_homes()
                self.routes = route_tables.Routes(body=payload["body"])
                self.table.install_services(route_tables.services(body=payload["body"]))
                self._set_limits(payload["body"].get("limits") or {})
            elif topic == "evac":
                self.table.install_evacuations((payload or {}).get("zones", ()))
            elif topic == "duty":
                self.duties = payload or {}
                self._follow_duties()
            elif topic == "cores":
                self.core_members = members
                self._dial_cores()
        elif topic == "list":
            self.table.install_list(json.loads(data)["replicas"])
        self.loop.command(act=self._check_serving)
        if topic in ("spec", "list") and self.relay is not None:
            self._sync_relay()

    def _keep_older_homes(self) -> None:
        """Until the older configuration is gone everywhere, the stricter of the two binds (design 10)."""
        now = self.loop.now()
        self.older_homes = [row for row in self.older_homes if row[0] > now]
        if self.routes.edition:
            self.older_homes.append((now + self.settings.bound_s(name="applyMs"), self.routes.homes()))

    def permitted(self, *, route, first_homes):
        now = self.loop.now()
        older = [homes.get(route.name, ()) for until, homes in self.older_homes if until > now]
        return residency.permitted(homes=route.homes, older=(*older, first_homes))

    def _set_limits(self, body: dict) -> None:
        self.limits = inlet.Limits(
            head_bytes=int(body.get("labelBytes", 16384)),
            body_bytes=int(body.get("parcelBytes", 4194304)),
            head_s=float(body.get("labelMs", 3000)) / 1000.0,
            idle_s=float(body.get("idleMs", 15000)) / 1000.0,
        )


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
            if passage.go is not None:
                found[passage.go.replica.id] = passage.go.replica
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


class ServeMixin:
    """Traffic, readiness, leaving (design 7, 9)."""

    def start_serving(self) -> None:
        self.passages = set()
        self._number = 0
        self.hall = inlet.Hall(
            loop=self.loop,
            address=self.settings.bindings["counter"],
            on_ask=self._on_ask,
            limits=lambda: self.limits,
            silence_s=self.contact_s * 2,
            most_doors=int(self.settings.handles * 0.6),
            most_bytes=int(self.settings.memory_mb * 1024 * 1024 * 0.3),
        )
        if "readiness" in self.settings.bindings:
            self.ready_hall = inlet.Hall(
                loop=self.loop,
                address=self.settings.bindings["readiness"],
                on_ask=self._on_ready_ask,
                limits=lambda: inlet.Limits(head_bytes=8192, body_bytes=8192, head_s=3.0, idle_s=10.0),
                silence_s=self.contact_s,
                most_doors=100,
            )

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def _on_ask(self, ask) -> None:
        passage = passages.Passage(proxy=self, ask=ask)
        self.passages.add(passage)
        passage.begin()

    def _on_ready_ask(self, ask) -> None:
        is_ready = self.is_serving and not self.is_leaving and ask.target.partition(b"?")[0] == b"/ploverward/ready"
        ask.reply(status=200 if is_ready else 503)

    def suspect(self, replica) -> None:
        self.table.suspect(replica)

    def note_fault(self, *, replica, reason: str, was_up: bool) -> None:
        ring.note("go failed", replica=replica.id, reason=reason)
        if not was_up:
            self.table.suspect(replica)

    def wrong_replica(self, replica) -> None:
        """421: another life has the address. The list will say; until then it is left alone."""
        replica.close_idle()
        replica.away_until = self.loop.now() + self.contact_s / 2

    def full(self, replica) -> None:
        replica.away_until = max(replica.away_until, self.loop.now() + self.contact_s / 60)

    def leave(self) -> None:
        """SIGTERM: out of the lists at once, on with the work while old lookups live, out inside graceS."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self._tell_core(("state", False, True))
        self.hall.leave()
        grace_s = self.settings.bound(name="graceS")
        self.loop.after(delay=grace_s * 0.6, act=self._last_calls)
        self.loop.after(delay=grace_s * 0.92, act=self._end)

    def _end(self) -> None:
        self.tell_trails(is_last=True)
        self.tell_adapters()
        self.loop.after(delay=grace_end_s(self.settings), act=self.loop.stop)

    def _last_calls(self) -> None:
        self.hall.close_idle()
        if not self.hall.doors and not self.passages:
            self._end()
            return
        self.loop.after(delay=0.05, act=self._last_calls)


def grace_end_s(settings) -> float:
    """Time for the last batch to leave."""
    return settings.bound(name="graceS") / 80


class Proxy(FollowMixin, RelayMixin, ServeMixin):
    def __init__(self, *, settings):
        self.settings = settings
        self.life = uuid.uuid4().hex[:12]
        self.loop = loops.Loop(on_fault=lambda fault: ring.spill("a step failed", fault=fault))
        self.contact_s = settings.bound_s(name="contactMs")
        self.silence_s = self.contact_s / 5
        self.reach_s = self.contact_s / 16  # in about this time somebody else is found, or it comes back
        self.is_serving = False
        self.is_leaving = False
        self.duties = {}
        self.routes = route_tables.Routes()
        self.older_homes = []  # (until, homes by route name)
        self.batches = custody.Batches(most=200)
        self._set_limits({})
        self.quota = quotas.Quota(now=self.loop.now, settings=settings)
        self.table = replicas.Table(loop=self.loop, settings=settings, share=self.quota.rate_share)

    def run(self) -> int:
        self.beats = 0
        self.file_watch = settings_files.FileWatch()
        self.start_relay()
        self.chooser = choice.Chooser(
            table=self.table,
            settings=self.settings,
            regions=self.regions,
            quota=self.quota,
            now=self.loop.now,
            counted=self.source.counted,
        )
        self.start_serving()
        self.start_following()
        self._relay_tick()
        self.loop.every(gap=self.silence_s / 3, act=self._beat)
        signal.signal(signal.SIGTERM, lambda *_: self.loop.command(act=self.leave))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.command(act=self._reread))
        self.loop.run()
        return 0

    def _beat(self) -> None:
        self._tell_core(("beat", 0))
        self._beat_inner()
        self.table.sweep()
        self.table.try_suspects()
        self.beats += 1
        if self.beats % 4 == 0:
            self.tell_trails()
            self.tell_adapters()
            if self.file_watch.is_changed():
                self._reread()
        self._check_serving()

    def _reread(self) -> None:
        try:
            self.settings = settings_files.load()
        except problems.SettingsProblem as fault:
            ring.spill(f"the new settings are kept out: {fault}")
            return
        self._dial_cores()
