"""Links to proxies and core nodes, leases, duties and the core set (design 4, 5)."""

import json


from pw.base import ring
from pw.ctl import duties
from pw.ctl.register import ballots
from pw.ctl import registers


class Peer:
    """What this core node knows of one proxy or core node, while its link lives."""

    def __init__(self, *, link, role, address, zone, region, life, public):
        self.link = link
        self.role = role
        self.address = address
        self.zone = zone
        self.region = region
        self.life = life
        self.public = public
        self.is_ready = False
        self.is_leaving = False


class MembersMixin:
    """Links to the other core nodes, leases of the proxies, duties and the core set (design 4, 5)."""

    def start_members(self) -> None:
        self.peers = {}  # link: Peer
        self.dialers = {}
        self.core_lost = {}  # core address: since when out of touch
        self.port = self.runtime.port(
            loop=self.loop,
            address=(self.settings.ip, self.settings.core_port),
            on_link=lambda link: None,
            on_message=self._take,
            on_end=self._ended,
            silence_s=self.silence_s,
        )

    def members(self) -> tuple:
        return self.proposer.members("cores")

    def _dial_cores(self) -> None:
        wanted = set(self.members()) | {host for host, _port in self.settings.seeds} | self.known_cores()
        wanted.discard(self.own)
        for host in wanted - self.dialers.keys():
            self.dialers[host] = self.runtime.dialer(
                loop=self.loop,
                address=(host, self.settings.core_port),
                on_up=self._hail,
                on_message=self._take,
                on_end=self._ended,
                silence_s=self.silence_s,
            )
        for host in self.dialers.keys() - wanted:
            self.dialers.pop(host).stop()

    def known_cores(self) -> set:
        return {peer.address for peer in self.peers.values() if peer.role == "core"}

    def _hail(self, link) -> None:
        link.send(("hello", "core", self.own, self.settings.zone, self.settings.region, self.life, ""))

    def _ended(self, link, reason) -> None:
        peer = self.peers.pop(link, None)
        self.desk.leave(link)
        self.follower.drop(link)
        if peer is not None and peer.role == "proxy":
            ring.note("proxy gone", peer=peer.address, reason=reason)
            self._members_changed = True
            self.interfaces.applying.check()

    def _take(self, link, message: tuple) -> None:
        kind = message[0]
        if kind == "hello":
            _kind, role, address, zone, region, life, public = message
            for old, peer in list(self.peers.items()):
                if peer.address == address and old is not link:
                    old.close(reason="a newer link of the same node")
            self.peers[link] = Peer(
                link=link, role=role, address=address, zone=zone, region=region, life=life, public=public
            )
            link.hello = (role, address)
            if role == "core" and address not in self.dialers:
                self._dial_cores()
            if role == "core" and self.acceptor.votes:
                self._read_unknown()
            if role == "proxy":
                self._members_changed = True
            if role in ("core", "proxy"):
                self.desk.join(link)
                if role == "proxy":
                    self._hail(link)
                    self._tell_floor(link)
            return
        if kind == "offer":
            self.follower.take_offer(link, message)
        elif kind == "image":
            self.follower.take_image(link, message)
        elif kind == "want":
            self.desk.take_want(link, message)
        elif kind == "have":
            self.desk.take_have(link, message)
            self.interfaces.applying.check()
        elif kind == "trails":
            _kind, node, life, number, is_last, rows = message
            self.interfaces.custody.ledger.take(node=node, life=life, number=number, is_last=is_last, rows=rows)
        elif kind == "adapters":
            for node, zone, region, life, window, number, data in message[1]:
                self.interfaces.adapters.ledger.take(
                    node=node, zone=zone, region=region, life=life, window=window, number=number, data=data
                )
        elif kind == "kept":
            self.interfaces.custody.take_kept(number=message[1], rows=message[2])
        elif kind == "state":
            peer = self.peers.get(link)
            if peer is not None:
                if (peer.is_ready, peer.is_leaving) != (message[1], message[2]):
                    self._members_changed = True
                peer.is_ready, peer.is_leaving = message[1], message[2]
        else:
            member = self._member_of(link)
            if member:
                self._take_register(member, link, message)

    def _member_of(self, link) -> str:
        if link.hello is not None:
            return link.hello[1] if link.hello[0] == "core" else ""
        for host, dialer in self.dialers.items():
            if dialer.link is link:
                return host
        return ""

    def _tell_floor(self, link) -> None:
        """What this node may have accepted: a starting proxy must reach the most of a majority (design 5)."""
        if self.acceptor.votes:
            link.send(("floor", tuple((name, self.acceptor.get(name)[2]) for name in registers.REGISTERS)))

    def proxies(self, *, is_listed=True) -> list:
        return [
            peer
            for peer in self.peers.values()
            if peer.role == "proxy" and (not is_listed or (peer.is_ready and not peer.is_leaving))
        ]

    def is_core_live(self, host: str) -> bool:
        if host == self.own:
            return True
        dialer = self.dialers.get(host)
        return dialer is not None and dialer.link is not None and dialer.link.is_up

    def has_majority_contact(self) -> bool:
        """Whether this node has links to a majority of the core set."""
        members = self.members()
        return ballots.has_majority(of=members, among={host for host in members if self.is_core_live(host)})

    def _beat(self) -> None:
        message = ("beat", 0)
        for link, peer in list(self.peers.items()):
            if peer.role == "proxy":
                # A leaving proxy spends what it holds until that runs out.
                link.send(("beat", 0) if peer.is_leaving else ("entry", *self._grant(peer)))
                if not peer.is_ready:
                    self._tell_floor(link)
            else:
                link.send(message)
        for dialer in self.dialers.values():
            if dialer.link is not None and dialer.link.is_up:
                dialer.link.send(message)
        self._beats += 1
        if self._beats % 4 == 0 and self.file_watch.is_changed():
            self._reread()
        self._dial_cores()
        self.follower.tick()
        self._mend()
        self._watch_over()

    def _grant(self, peer) -> tuple:
        members = self.members()
        if self.own not in members:
            return 0.0, 0.0, self.lease_s, 0.0, 0, 0
        live = len(self.proxies(is_listed=False))
        part = 1.0 / len(members)
        return (
            self.slacks.renew(node=peer.address, part=part, live=live),
            self.rates.renew(node=peer.address, part=part, live=live),
            self.lease_s,
            part,
            *(self.slots.renew(node=peer.address) if self.loop.now() >= self.rates_from else (0, 0)),
        )

    def duty(self, name: str) -> tuple:
        """(epoch, holder, the holder's life): a new life of the same node needs a new epoch."""
        held = self.duties.get(name)
        return tuple(held) if held else (0, "", "")

    def _watch_over(self) -> None:
        """The first live core node in the agreed order watches the platform and names the relays."""
        members = self.members()
        now = self.loop.now()
        for host in members:
            if self.is_core_live(host):
                self.core_lost.pop(host, None)
            else:
                self.core_lost.setdefault(host, now)
        live = [host for host in members if self.is_core_live(host)]
        has_most = len(live) >= ballots.majority(members)
        epoch, holder, life = self.duty("watch")
        if holder == self.own and life == self.life:
            if not has_most or self.own not in members:
                self.watch.stop()
                return
            self.watch.start()
            self._name_holders()
            self._tend_core_set(members, now)
            self._tell_members()
            return
        if "list" in self.desk.topics:
            self.watch.stop()
        if not self.acceptor.votes or self.own not in members or not has_most:
            return
        if holder != self.own and live[0] != self.own:
            return
        is_lost = (
            holder not in members
            or holder == self.own
            or (not self.is_core_live(holder) and now - self.core_lost.get(holder, now) >= self.silence_s / 4)
        )
        if is_lost and not self._is_taking:
            self._take_duties({"watch": (epoch, self.own, self.life)})

    def _take_duties(self, rows: dict) -> None:
        """rows: duty -> (epoch seen, holder, life). One change for all that are open."""

        def edit(payload):
            payload = payload or {}
            new = {
                name: [seen + 1, holder, life]
                for name, (seen, holder, life) in rows.items()
                if payload.get(name, [0])[0] == seen
            }
            return ({**payload, **new} if new else payload), None

        def done(_fault, _rev, _payload, _result):
            self._is_taking = False

        self._is_taking = True
        self.proposer.change(name="duty", edit=edit, done=done)

    def _name_holders(self) -> None:
        if self._is_taking:
            return
        rows = duties.named(
            proxies=[(peer.address, peer.life, peer.zone, peer.region) for peer in self.proxies()], duty=self.duty
        )
        if rows:
            self._take_duties(rows)

    def _tend_core_set(self, members: tuple, now: float) -> None:
        """One machine at a time: a newcomer is added; a member long gone leaves once one can spare it."""
        if self._is_moving:
            return
        fresh = sorted(
            peer.address
            for peer in self.peers.values()
            if peer.role == "core"
            and peer.address not in members
            and self.is_core_live(peer.address)
            and now - peer.link.opened_at > self.silence_s / 2
        )
        gone = [host for host in members if now - self.core_lost.get(host, now) > self.contact_s]
        size = max(len(self.proposer.seeds), 1)
        if fresh and len(members) <= size:
            self._move(tuple(sorted({*members, fresh[0]})))
        elif gone and len(members) > size:
            self._move(tuple(host for host in members if host != gone[0]))

    def _move(self, new_set: tuple) -> None:
        """Each register moves to the new set on its own; the set itself last (design 4)."""
        self._is_moving = True
        names = list(registers.REGISTERS)
        ring.note("core set moves", to=list(new_set))

        def step(fault=None, _rev=0, _payload=None, _result=None):
            if fault is not None or not names:
                self._is_moving = False
                return
            name = names.pop(0)
            edit = (
                (lambda payload: ((payload or 0) + 1, None)) if name == "cores" else (lambda payload: (payload, None))
            )
            self.proposer.change(name=name, edit=edit, done=step, next_set=new_set)

        step()

    def _tell_members(self) -> None:
        if not self._members_changed:
            return
        self._members_changed = False
        rows = sorted((peer.address, peer.public, peer.zone, peer.region) for peer in self.proxies(is_listed=False))
        epoch = self.duty("watch")[0]
        data = json.dumps(rows, separators=(",", ":")).encode()
        held = self.desk.get("members")
        if held is None or held[2] != data:
            number = held[1] + 1 if held and held[0] == epoch else 1
            self.desk.publish(topic="members", epoch=epoch, number=number, data=data)

    def _on_list(self, rows: list, at: float) -> None:
        epoch, holder, life = self.duty("watch")
        if holder != self.own or life != self.life:
            # A core node that has just started reads once by itself. Epoch 0 is below every holder's:
            # it serves only those that have no list at all.
            self.desk.publish(
                topic="list", epoch=0, number=1, data=json.dumps({"replicas": rows}, separators=(",", ":")).encode()
            )
            self.watch.stop()
            return
        held = self.desk.get("list")
        if self.roll.differs(rows=rows, at=at) or held is None or held[0] != epoch:
            data = json.dumps({"replicas": rows}, separators=(",", ":")).encode()
            number = held[1] + 1 if held and held[0] == epoch else 1
            self.desk.publish(topic="list", epoch=epoch, number=number, data=data)
            ring.note("list", epoch=epoch, number=number)

    def _on_image(self, topic: str, epoch: int, number: int, data: bytes) -> None:
        """News from another core node."""
        if topic in registers.REGISTERS:
            self._publish(topic, number, data)
        elif epoch >= self.duty("watch")[0] or not epoch:
            self.desk.publish(topic=topic, epoch=epoch, number=number, data=data)
