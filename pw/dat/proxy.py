"""The proxy program: follows the core, carries the traffic, hosts its region's relay by duty (design 1, 5, 6, 7, 9)."""
import json
import signal
import uuid

from pw.base import inlet
from pw.base import link as links
from pw.base import loop as loops
from pw.base import problems
from pw.base import residency
from pw.base import ring
from pw.base import settings as settings_files
from pw.ctl.news import desk as desks
from pw.ctl.register import ballots
from pw.dat import choice
from pw.dat import custody
from pw.dat import mirror
from pw.dat import passage as passages
from pw.dat import quota as quotas
from pw.dat import replicas
from pw.dat import routes as route_tables
from pw.dat.relay import host as relay_hosts


class FollowMixin:
    """Held connections to the core: news, leases, grant entries (design 4, 5, 8)."""

    def start_following(self) -> None:
        self.core_dialers = {}
        self.near_cores = set()
        self.near_links = set()
        self.floors = {}  # core host: floor of the spec
        self.follower = desks.Follower(now=self.loop.now, patience_s=self.contact_s / 12, on_image=self._on_image,
                                        is_near=lambda link: link in self.near_links)
        self.core_members = tuple(sorted({host for host, _port in self.settings.seeds}))
        self._dial_cores()

    def _dial_cores(self) -> None:
        wanted = set(self.core_members) | {host for host, _port in self.settings.seeds}
        for host in wanted - self.core_dialers.keys():
            self.core_dialers[host] = links.Dialer(
                loop=self.loop, address=(host, self.settings.core_port), on_up=self._hail,
                on_message=lambda link, message, host=host: self._take_news(host, link, message),
                on_end=self._core_gone, silence_s=self.silence_s,
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
            (name, self.table.replicas[name].zone) for name in sorted(found) if name in self.table.replicas)

    def tell_trails(self, *, is_last: bool = False) -> None:
        """To the core node of this region, or to the first other one in reach."""
        link = None
        for host, dialer in sorted(self.core_dialers.items()):
            if dialer.link is not None and dialer.link.is_up:
                if link is None or host in self.near_cores:
                    link = dialer.link
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
                self.table.services = route_tables.services(body=payload["body"])
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
            head_bytes=int(body.get("labelBytes", 16384)), body_bytes=int(body.get("parcelBytes", 4194304)),
            head_s=float(body.get("labelMs", 3000)) / 1000.0, idle_s=float(body.get("idleMs", 15000)) / 1000.0,
        )


class RelayMixin:
    """The relay by duty, and this proxy as a subscriber of every region's relay (design 6)."""

    def start_relay(self) -> None:
        self.relay = None
        self.regions = {}
        self.relay_dialers = {}  # region: (holder, dialer)
        self._sends = {}
        self._reads = {}
        self._waiting = {}  # subscribers that came before this node knew of its duty
        self.port = links.Port(
            loop=self.loop, address=(self.settings.ip, self.settings.proxy_port), on_link=lambda link: None,
            on_message=self._take_relayed, on_end=self._subscriber_gone, silence_s=self.silence_s,
        )

    def _follow_duties(self) -> None:
        for name, (epoch, holder, life) in self.duties.items():
            if not name.startswith("relay/"):
                continue
            region = name.partition("/")[2]
            if region not in self.regions:
                self.regions[region] = mirror.Region(now=self.loop.now, trust_s=self.contact_s)
            if region == self.settings.region:
                self._keep_relay(epoch, holder, life)
            known = self.relay_dialers.get(region)
            if known is None or known[0] != (epoch, holder):
                if known is not None:
                    known[1].stop()
                self.regions[region].fail()
                self.relay_dialers[region] = ((epoch, holder), links.Dialer(
                    loop=self.loop, address=(holder, self.settings.proxy_port),
                    on_up=lambda link, epoch=epoch: self._subscribe(link, epoch),
                    on_message=lambda link, message, region=region: self._take_publication(region, link, message),
                    on_end=lambda link, reason, region=region: self._publication_broke(region, link),
                    silence_s=self.silence_s,
                ))

    def _keep_relay(self, epoch: int, holder: str, life: str) -> None:
        is_mine = holder == self.settings.ip and life == self.life
        if self.relay is not None and (not is_mine or self.relay.epoch != epoch):
            self.relay = None
        if is_mine and self.relay is None:
            self.relay = relay_hosts.Host(
                region=self.settings.region, epoch=epoch, now=self.loop.now, suspect_s=self.contact_s / 4)
            self._sync_relay()
            for link, region in self._waiting.items():
                if link.is_open:
                    self.relay.subscribe(link, region=region)
            self._waiting.clear()

    def _sync_relay(self) -> None:
        rows = [
            {"id": replica.id, "service": replica.service, "region": replica.region, "models": replica.models}
            for replica in self.table.replicas.values()
        ]
        services = {name: row for name, row in self.table.services.items() if row["cache_tokens"]}
        self.relay.sync(services=services, replicas=rows)

    def _subscribe(self, link, epoch: int) -> None:
        link.send(("subscribe", epoch, self.settings.region))

    def _take_relayed(self, link, message: tuple) -> None:
        kind = message[0]
        if kind == "subscribe":
            if self.relay is None or self.relay.epoch < message[1]:
                self._waiting[link] = message[2]
            else:
                self.relay.subscribe(link, region=message[2])
        elif self.relay is not None:
            if kind == "sends":
                self.relay.take_sends(link, message)
            elif kind == "reads":
                self.relay.take_reads(message)

    def _subscriber_gone(self, link, _reason) -> None:
        self._waiting.pop(link, None)
        if self.relay is not None:
            self.relay.end(link)

    def _take_publication(self, region: str, link, message: tuple) -> None:
        try:
            self.regions[region].take(message)
        except problems.FrameProblem as fault:
            ring.note("relay stream broken", fault=str(fault))
            link.close(reason=str(fault))

    def _publication_broke(self, region: str, _link) -> None:
        self.regions[region].fail()

    def tell_send(self, *, replica, kind: int, tokens: int, number: int) -> None:
        if self.table.services.get(replica.service, {}).get("cache_tokens"):
            self._sends.setdefault(replica.region, []).append((replica.id, kind, tokens, number))

    def tell_read(self, *, replica, service: str, model: str, parts) -> None:
        self._reads.setdefault(replica.region, []).append(
            (replica.id, service, model, tuple((part.encode("latin-1"), tokens) for part, tokens in parts)))

    def _relay_tick(self) -> None:
        for table, kind in ((self._sends, "sends"), (self._reads, "reads")):
            for region, rows in list(table.items()):
                known = self.relay_dialers.get(region)
                link = known[1].link if known is not None else None
                if link is not None and link.is_up:
                    link.send((kind, tuple(rows)))
                del table[region]
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
            loop=self.loop, address=self.settings.bindings["counter"], on_ask=self._on_ask,
            limits=lambda: self.limits, silence_s=self.contact_s * 2, most_doors=int(self.settings.handles * 0.6),
            most_bytes=int(self.settings.memory_mb * 1024 * 1024 * 0.3),
        )
        if "readiness" in self.settings.bindings:
            self.ready_hall = inlet.Hall(
                loop=self.loop, address=self.settings.bindings["readiness"], on_ask=self._on_ready_ask,
                limits=lambda: inlet.Limits(head_bytes=8192, body_bytes=8192, head_s=3.0, idle_s=10.0),
                silence_s=self.contact_s, most_doors=100,
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
            table=self.table, settings=self.settings, regions=self.regions, quota=self.quota, now=self.loop.now)
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
        for _key, dialer in self.relay_dialers.values():
            if dialer.link is not None and dialer.link.is_up:
                dialer.link.send(("beat", 0))
        for link in list(self.relay._links) if self.relay is not None else ():
            link.send(("beat", 0))
        self.table.sweep()
        self.table.try_suspects()
        self.beats += 1
        if self.beats % 4 == 0:
            self.tell_trails()
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
