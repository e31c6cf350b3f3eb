"""The core program: register, leases, duties, news, dispatch and directory (design 1, 4, 5, 9)."""
import json
import os
import random
import signal
import uuid

import werkzeug.exceptions
import werkzeug.routing
import werkzeug.sansio.request
import werkzeug.datastructures

from pw.base import inlet
from pw.base import link as links
from pw.base import loop as loops
from pw.base import problems
from pw.base import residency
from pw.base import ring
from pw.base import settings as settings_files
from pw.ctl import duties
from pw.ctl import grants
from pw.ctl import platform
from pw.ctl.adapters import ledger as adapter_ledgers
from pw.ctl.custody import ledger as ledgers
from pw.ctl.news import desk as desks
from pw.ctl.register import acceptor as acceptors
from pw.ctl.register import ballots
from pw.ctl.register import proposer as proposers
from pw.ctl.register import store as stores
from pw.ctl.spec import models

CUSTODY_CONTACTS = 720  # trails are kept for so many contactMs: an hour, at 5 s
RATE_WINDOW_S = 1.5  # the cold bound is stated for one second
REGISTERS = ("spec", "evac", "duty", "cores")

_URLS = werkzeug.routing.Map([
    werkzeug.routing.Rule("/ploverward/configuration", endpoint="spec", methods=["GET", "PUT", "PATCH"]),
    werkzeug.routing.Rule("/ploverward/evacuation/<zone>", endpoint="evac", methods=["POST", "DELETE"]),
    werkzeug.routing.Rule("/ploverward/evacuation", endpoint="evacs", methods=["GET"]),
    werkzeug.routing.Rule("/ploverward/lookup", endpoint="lookup", methods=["GET"]),
    werkzeug.routing.Rule("/ploverward/custody/<ask_id>", endpoint="trail", methods=["GET"]),
    werkzeug.routing.Rule("/ploverward/custody", endpoint="trails", methods=["GET"]),
    werkzeug.routing.Rule("/ploverward/replicas", endpoint="replicas", methods=["GET"]),
    werkzeug.routing.Rule("/ploverward/adapters", endpoint="adapters", methods=["GET"]),
    werkzeug.routing.Rule("/ploverward/nodes", endpoint="nodes", methods=["GET"]),
])


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


class VotingMixin:
    """Acceptor, proposer, disk and the refill of an emptied node (design 4)."""

    def start_voting(self) -> None:
        self.store = stores.Store(
            disk=stores.Disk(folder=self.settings.data_dir or "/tmp"),
            limit_bytes=int(max(self.settings.disk_mb, 8) * 1024 * 1024 / 16),
        )
        self._unsafe = []  # (row, send when safe)
        self._is_writing = False
        self._refill_number = 0
        self._refilled = {}
        self.is_damaged = False
        try:
            incarnation, rows = self.store.load()
            ring.note("register read", incarnation=incarnation, registers={name: row[5] for name, row in rows.items()})
        except (problems.StoreProblem, OSError) as fault:
            ring.spill(f"the register's file can't be read, this node refills: {fault}")
            incarnation, rows = "", {}
            self.is_damaged = True
        self.acceptor = acceptors.Acceptor(incarnation=incarnation, rows=rows)
        self.proposer = proposers.Proposer(
            own=f"{self.own}/{uuid.uuid4().hex[:6]}",
            seeds=tuple(sorted(host for host, _port in self.settings.seeds)),
            send=self._send_core, later=lambda delay, act: self.loop.after(delay=delay, act=act),
            now=self.loop.now, chance=random.random, on_chosen=self._on_chosen,
            limit_s=self.receipt_s / 2, patience_s=self.receipt_s / 10,
        )
        for name in self.acceptor.table:
            value = self.acceptor.get(name)[3]
            self.proposer.note_top(name=name, number=self.acceptor.get(name)[0][0])
            if value:
                self.proposer.known[name] = ballots.unpack(value)[0]
        if not incarnation and self.settings.first_start:
            self.acceptor.incarnation = uuid.uuid4().hex[:12]
            self._make_safe(None, None)
        if not self.acceptor.votes:
            self._ask_refill()

    def _send_core(self, member: str, message: tuple) -> None:
        if member == self.own:
            self.loop.command(act=lambda: self._take_register(self.own, None, message))
            return
        dialer = self.dialers.get(member)
        if dialer is not None and dialer.link is not None:
            dialer.link.send(message)

    def _answer(self, member: str, link, message: tuple) -> None:
        if link is None:
            self._take_register(member, None, message)
        else:
            link.send(message)

    def _take_register(self, member: str, link, message: tuple) -> bool:
        kind = message[0]
        if kind in ("prepare", "accept"):
            act = self.acceptor.prepare if kind == "prepare" else self.acceptor.accept
            answer, row = act(message)
            self.proposer.note_top(name=message[2], number=self.acceptor.get(message[2])[0][0])
            self._make_safe(row, lambda: self._answer(member, link, answer))
        elif kind == "promise":
            self.proposer.take_promise(member, message)
        elif kind == "peek":
            answer = self.acceptor.peek(message)
            self._make_safe(None, lambda: self._answer(member, link, answer))
        elif kind == "peeked":
            self.proposer.take_peeked(member, message)
        elif kind == "accepted":
            self.proposer.take_accepted(member, message)
        elif kind == "chosen":
            _kind, name, ballot_n, ballot_p, rev = message
            _promised, accepted, _rev, value = self.acceptor.get(name)
            if accepted == (ballot_n, ballot_p):
                self._publish(name, rev, value)
        elif kind == "refill":
            is_intact = self.acceptor.votes
            link.send(("refilled", message[1], is_intact, self.acceptor.rows() if is_intact else ()))
        elif kind == "refilled":
            self._take_refilled(member, message)
        else:
            return False
        return True

    def _make_safe(self, row, act) -> None:
        """`act` runs once all that came before it is on the disk."""
        if row is None and act is not None and not self._unsafe and not self._is_writing:
            act()
            return
        self._unsafe.append((row, act))
        self._write_next()

    def _write_next(self) -> None:
        if self._is_writing or not self._unsafe:
            return
        batch, self._unsafe = self._unsafe, []
        rows = tuple(row for row, _act in batch if row is not None)
        incarnation, table = self.acceptor.incarnation, self.acceptor.rows()
        self._is_writing = True

        def done(future):
            self._is_writing = False
            fault = future.exception()
            if fault is not None:
                ring.spill(f"the disk refused a write, this node does not answer for it: {fault}")
                # What was not made safe is written whole with the next try; nothing was answered.
                self.loop.after(delay=self.receipt_s / 20, act=self._write_whole)
                return
            for _row, act in batch:
                if act is not None:
                    act()
            self._write_next()

        self.loop.offload(work=lambda: self.store.write(rows=rows, incarnation=incarnation, table=table), done=done)

    def _write_whole(self) -> None:
        for row in self.acceptor.rows():
            self._unsafe.append((row, None))
        self._write_next()

    def _ask_refill(self) -> None:
        if self.acceptor.votes:
            return
        self._refill_number += 1
        ring.note("refill asked", had={member: len(rows) for member, rows in self._refilled.items()})
        self._refilled = {}
        for member, dialer in self.dialers.items():
            if dialer.link is not None and dialer.link.is_up:
                dialer.link.send(("refill", self._refill_number))
        self.loop.after(delay=self.contact_s / 16, act=self._ask_refill)

    def _take_refilled(self, member: str, message: tuple) -> None:
        _kind, number, is_intact, rows = message
        if self.acceptor.votes or number != self._refill_number or not is_intact:
            return
        self._refilled[member] = rows
        newest = {}
        for states in self._refilled.values():
            for row in states:
                if row[6] and (row[3], row[4]) > newest.get(row[0], (ballots.NONE, b""))[0]:
                    newest[row[0]] = ((row[3], row[4]), row[6])
        members = self.proposer.seeds
        sets = [ballots.unpack(value)[0] for _ballot, value in newest.values()] or [members]
        for members in sets:
            others = [other for other in members if other != self.own]
            need = len(members) - ballots.majority(members) + 1
            if self.own not in members:
                need = ballots.majority(members)
            if sum(1 for other in others if other in self._refilled) < min(need, len(others)):
                return
        incarnation = uuid.uuid4().hex[:12]
        self.acceptor.refill(incarnation="", states=tuple(self._refilled.values()))
        staged = acceptors.Acceptor(incarnation=incarnation, rows={row[0]: row for row in self.acceptor.rows()})
        self.acceptor = staged
        for row in staged.rows():
            if row[6]:
                self.proposer.known[row[0]] = ballots.unpack(row[6])[0]
            self._unsafe.append((row, None))
        self._unsafe.append((None, self._refill_over))
        self._write_next()

    def _refill_over(self) -> None:
        ring.note("refilled", incarnation=self.acceptor.incarnation)
        self._read_all()

    def _read_all(self) -> None:
        for name in REGISTERS:
            self._repair(name)

    def _read_unknown(self) -> None:
        """What is on the disk but not yet known as chosen."""
        for name in REGISTERS:
            if not self.desk.serial(name)[1] and name not in self._reading:
                self._repair(name)

    def _repair(self, name: str) -> None:
        self._reading.add(name)
        self.proposer.read(name=name, done=lambda fault, rev, payload, result: self._reading.discard(name))

    def _on_chosen(self, name: str, ballot: tuple, rev: int, value: bytes, is_news: bool) -> None:
        self._publish(name, rev, value)
        if not is_news:
            return
        for member in self.members():
            if member != self.own:
                self._send_core(member, ("chosen", name, *ballot, rev))

    def _publish(self, name: str, rev: int, value: bytes) -> None:
        if not value or not self.desk.publish(topic=name, epoch=0, number=rev, data=value):
            return
        ring.note("chosen", register=name, rev=rev)
        members, payload = ballots.unpack(value)
        self.proposer.known[name] = members
        self._apply(name, payload, members)

    def _mend(self) -> None:
        """A value accepted here but not known as chosen for a while is finished by a read."""
        if not self.acceptor.votes:
            return
        members = self.members()
        turn = 2 + (members.index(self.own) if self.own in members else len(members))
        for name in REGISTERS:
            rev = self.acceptor.get(name)[2]
            if rev <= self.desk.serial(name)[1]:
                self._behind.pop(name, None)
                continue
            known, beats = self._behind.get(name, (rev, 0))
            beats = beats + 1 if known == rev else 1
            if beats >= turn:  # in turn, so that the core nodes do not meet in it
                self._repair(name)
                beats = 0
            self._behind[name] = (rev, beats)


class MembersMixin:
    """Links to the other core nodes, leases of the proxies, duties and the core set (design 4, 5)."""

    def start_members(self) -> None:
        self.peers = {}  # link: Peer
        self.dialers = {}
        self.core_lost = {}  # core address: since when out of touch
        self.port = links.Port(
            loop=self.loop, address=(self.settings.ip, self.settings.core_port), on_link=lambda link: None,
            on_message=self._take, on_end=self._ended, silence_s=self.silence_s,
        )

    def members(self) -> tuple:
        return self.proposer.members("cores")

    def _dial_cores(self) -> None:
        wanted = set(self.members()) | {host for host, _port in self.settings.seeds} | self.known_cores()
        wanted.discard(self.own)
        for host in wanted - self.dialers.keys():
            self.dialers[host] = links.Dialer(
                loop=self.loop, address=(host, self.settings.core_port), on_up=self._hail,
                on_message=self._take, on_end=self._ended, silence_s=self.silence_s,
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
            self._check_waits()

    def _take(self, link, message: tuple) -> None:
        kind = message[0]
        if kind == "hello":
            _kind, role, address, zone, region, life, public = message
            for old, peer in list(self.peers.items()):
                if peer.address == address and old is not link:
                    old.close(reason="a newer link of the same node")
            self.peers[link] = Peer(link=link, role=role, address=address, zone=zone, region=region, life=life, public=public)
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
            self._check_waits()
        elif kind == "trails":
            _kind, node, life, number, is_last, rows = message
            self.ledger.take(node=node, life=life, number=number, is_last=is_last, rows=rows)
        elif kind == "adapters":
            for node, zone, region, life, window, number, data in message[1]:
                self.adapters.take(node=node, zone=zone, region=region, life=life, window=window, number=number, data=data)
        elif kind == "kept":
            done = self._kept_asked.pop(message[1], None)
            if done is not None:
                done([{"replica": replica, "zone": zone} for replica, zone in message[2]])
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
            link.send(("floor", tuple((name, self.acceptor.get(name)[2]) for name in REGISTERS)))

    def proxies(self, *, is_listed=True) -> list:
        return [
            peer for peer in self.peers.values()
            if peer.role == "proxy" and (not is_listed or (peer.is_ready and not peer.is_leaving))
        ]

    def is_core_live(self, host: str) -> bool:
        if host == self.own:
            return True
        dialer = self.dialers.get(host)
        return dialer is not None and dialer.link is not None and dialer.link.is_up

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
            self.rates.renew(node=peer.address, part=part, live=live), self.lease_s, part,
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
            holder not in members or holder == self.own
            or (not self.is_core_live(holder) and now - self.core_lost.get(holder, now) >= self.silence_s / 4)
        )
        if is_lost and not self._is_taking:
            self._take_duties({"watch": (epoch, self.own, self.life)})

    def _take_duties(self, rows: dict) -> None:
        """rows: duty -> (epoch seen, holder, life). One change for all that are open."""
        def edit(payload):
            payload = payload or {}
            new = {
                name: [seen + 1, holder, life] for name, (seen, holder, life) in rows.items()
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
            proxies=[(peer.address, peer.life, peer.zone, peer.region) for peer in self.proxies()], duty=self.duty)
        if rows:
            self._take_duties(rows)

    def _tend_core_set(self, members: tuple, now: float) -> None:
        """One machine at a time: a newcomer is added; a member long gone leaves once one can spare it."""
        if self._is_moving:
            return
        fresh = sorted(
            peer.address for peer in self.peers.values()
            if peer.role == "core" and peer.address not in members and self.is_core_live(peer.address)
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
        names = list(REGISTERS)
        ring.note("core set moves", to=list(new_set))

        def step(fault=None, _rev=0, _payload=None, _result=None):
            if fault is not None or not names:
                self._is_moving = False
                return
            name = names.pop(0)
            edit = (lambda payload: ((payload or 0) + 1, None)) if name == "cores" else (lambda payload: (payload, None))
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
            self.desk.publish(topic="list", epoch=0, number=1, data=json.dumps({"replicas": rows}, separators=(",", ":")).encode())
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
        if topic in REGISTERS:
            self._publish(topic, number, data)
        elif epoch >= self.duty("watch")[0] or not epoch:
            self.desk.publish(topic=topic, epoch=epoch, number=number, data=data)


class DispatchMixin:
    """The operator's calls (design 5, 9)."""

    def start_dispatch(self) -> None:
        self._waits = []  # (topic, rev, answer, deadline timer)
        bindings = self.settings.bindings
        limits = lambda: inlet.Limits(  # noqa: E731
            head_bytes=65536, body_bytes=16 * 1024 * 1024, head_s=self.contact_s, idle_s=self.contact_s * 4)
        self.halls = []
        for name in ("control", "directory"):
            if name in bindings:
                self.halls.append(inlet.Hall(
                    loop=self.loop, address=bindings[name], on_ask=self._on_ask, limits=limits, silence_s=self.contact_s,
                    most_doors=max(200, self.settings.handles // 2),
                ))

    def _on_ask(self, ask) -> None:
        request = werkzeug.sansio.request.Request(
            ask.method.decode(), "http", None, "", *_split_target(ask.target),
            werkzeug.datastructures.Headers([(name.decode("latin-1"), value.decode("latin-1")) for name, value in ask.headers]), None,
        )
        try:
            endpoint, values = _URLS.bind("core").match(request.path, method=request.method)
        except werkzeug.exceptions.HTTPException as fault:
            self._json(ask, fault.code or 404, {"error": fault.name})
            return
        getattr(self, f"_{request.method.lower()}_{endpoint}")(ask, request, **values)

    def _json(self, ask, status: int, body, headers=()) -> None:
        ask.reply(
            status=status, headers=[(b"Content-Type", b"application/json"), *headers],
            body=json.dumps(body, separators=(",", ":")).encode(),
        )

    def _unavailable(self, ask, fault) -> None:
        self._json(ask, 503, {"error": str(fault)}, headers=[(b"Retry-After", b"0.3")])

    def _get_spec(self, ask, _request) -> None:
        def done(fault, _rev, payload, _result):
            if fault is not None:
                self._unavailable(ask, fault)
            elif not payload:
                self._json(ask, 404, {"error": "no configuration yet"})
            else:
                self._json(ask, 200, payload["body"], headers=[(b"ETag", b'"%d"' % payload["edition"])])

        self.proposer.read(name="spec", done=done)

    def _put_spec(self, ask, request) -> None:
        match = (request.headers.get("If-Match") or "").strip().strip('"')
        if not match.isdigit():
            self._json(ask, 400, {"error": "If-Match is missing or not a number", "place": "If-Match"})
            return
        base = int(match)
        data = ask.body
        method = request.method

        def checked(future):
            fault = future.exception()
            if fault is not None:
                self._reject(ask, fault)
                return
            edit = models.edit_for(method=method, base=base, data=data, body=future.result())
            self.proposer.change(
                name="spec", edit=edit,
                done=lambda problem, rev, _payload, _result: self._changed(ask, "spec", problem, rev),
            )

        def work():
            body = models.read_json(data=data)
            if method == "PUT":
                models.check(body=body)
            return body

        self.loop.offload(work=work, done=checked)

    _patch_spec = _put_spec

    def _reject(self, ask, fault) -> None:
        if isinstance(fault, problems.StaleBase):
            self._json(ask, 412, {"error": str(fault), "edition": fault.current})
        elif isinstance(fault, problems.SpecProblem):
            self._json(ask, 400, {"error": fault.text, "place": fault.place})
        elif isinstance(fault, problems.Problem):
            self._unavailable(ask, fault)
        else:
            ring.spill("a configuration broke the check", fault=fault)
            self._json(ask, 400, {"error": "not a configuration"})

    def _changed(self, ask, topic: str, fault, rev: int) -> None:
        if fault is not None:
            self._reject(ask, fault)
            return
        self._answer_when_applied(ask, topic, rev)

    def _answer_when_applied(self, ask, topic: str, rev: int) -> None:
        wait = [topic, rev, ask, None]
        wait[3] = self.loop.after(delay=self.receipt_s / 8, act=lambda: self._end_wait(wait))
        self._waits.append(wait)
        self._check_waits()

    def _check_waits(self) -> None:
        for wait in list(self._waits):
            topic, rev, _ask, _timer = wait
            proxy_links = [peer.link for peer in self.proxies(is_listed=False)]
            if not self.desk.lagging(topic=topic, serial=(0, rev), links=proxy_links):
                self._end_wait(wait)

    def _end_wait(self, wait) -> None:
        if wait not in self._waits:
            return
        self._waits.remove(wait)
        self.loop.cancel(timer=wait[3])
        self._json(wait[2], 200, {"serial": wait[1]})

    def _evacuate(self, ask, zone: str, is_out: bool) -> None:
        if zone not in self.settings.zones:
            self._json(ask, 404, {"error": f"unknown zone '{zone}'"})
            return

        def edit(payload):
            zones = set((payload or {}).get("zones", ()))
            wanted = zones | {zone} if is_out else zones - {zone}
            if payload is not None and wanted == zones:
                return payload, None
            return {"zones": sorted(wanted)}, None

        self.proposer.change(
            name="evac", edit=edit, done=lambda fault, rev, _payload, _result: self._changed(ask, "evac", fault, rev))

    def _post_evac(self, ask, _request, zone: str) -> None:
        self._evacuate(ask, zone, True)

    def _delete_evac(self, ask, _request, zone: str) -> None:
        self._evacuate(ask, zone, False)

    def _get_evacs(self, ask, _request) -> None:
        self.proposer.read(name="evac", done=lambda fault, _rev, payload, _result: (
            self._unavailable(ask, fault) if fault is not None else self._json(ask, 200, payload or {"zones": []})))


class DirectoryMixin:
    """Where user agents should go (design 4, 10)."""

    def _get_lookup(self, ask, request) -> None:
        host = request.args.get("name", "")
        region = request.args.get("region", "")
        zone = request.args.get("zone", "")
        if self._is_aside():
            self._json(ask, 503, {"error": "cut off from the core; ask another node"}, headers=[(b"Retry-After", b"1")])
            return
        listed = self.proxies()
        regions = {peer.region for peer in listed}
        allowed = residency.lookup_regions(spec=self.spec, host=host, region=region, serving=regions)
        chosen = [peer for peer in listed if peer.region in allowed]
        if not chosen:
            self._json(ask, 503, {"error": "no node may serve this now"}, headers=[(b"Retry-After", b"1")])
            return
        near = [peer for peer in chosen if peer.zone == zone]
        chosen = near or chosen
        addresses = sorted(peer.public for peer in chosen)[:64]
        self._json(ask, 200, {"addressList": addresses, "ttlS": self.ttl_s})

    def _is_aside(self) -> bool:
        """Cut off from most of the core while others may see more: they tell user agents where to go. When that
        lasts, the others are taken for lost, and this node answers with what it sees."""
        members = self.members()
        if ballots.has_majority(of=members, among={host for host in members if self.is_core_live(host)}):
            self._aside_since = None
            return False
        if self._aside_since is None:
            self._aside_since = self.loop.now()
        return self.loop.now() - self._aside_since < self.contact_s * 2

    def _get_replicas(self, ask, _request) -> None:
        held = self.desk.get("list")
        if held is None:
            self._json(ask, 503, {"error": "no list of replicas yet"}, headers=[(b"Retry-After", b"1")])
            return
        self._json(ask, 200, {"epoch": held[0], "number": held[1], **json.loads(held[2])})

    def _get_nodes(self, ask, _request) -> None:
        """For operator tools: the nodes in touch with this one."""
        self._json(ask, 200, {
            "node": self.settings.node, "votes": self.acceptor.votes, "members": list(self.members()),
            "zones": self.settings.zones, "duties": self.duties,
            "bounds": self.settings.bounds,
            "proxies": [
                {"address": peer.address, "counter": peer.public, "zone": peer.zone, "region": peer.region,
                 "ready": peer.is_ready, "leaving": peer.is_leaving}
                for peer in self.proxies(is_listed=False)
            ],
        })


class AdaptersMixin:
    """What the proxies counted of adapters, for operators (docs/pins.md)."""

    def start_adapters(self) -> None:
        self.adapters = adapter_ledgers.Ledger(now=self.loop.now, window_s=self.contact_s * 6)

    def _get_adapters(self, ask, _request) -> None:
        held = self.desk.get("list")
        listed = json.loads(held[2])["replicas"] if held is not None else []
        self._json(ask, 200, {
            "node": self.settings.node, "window_s": self.contact_s * 6, "windows": self.adapters.rows(),
            "malformed": self.adapters.malformed, "malformed_replicas": [row["id"] for row in listed if row.get("is_malformed")],
            "zones": self.settings.zones, "replicas": [
                {"id": row["id"], "service": row["service"], "zone": row["zone"], "region": self.settings.zones.get(row["zone"], ""),
                 "is_clearing": row["is_clearing"], "models": row["models"], "adapters": row.get("adapters", [])} for row in listed],
            "proxies": [{"address": peer.address, "life": peer.life, "zone": peer.zone} for peer in self.proxies(is_listed=False)],
        })


class CustodyMixin:
    """Custody trails, for operators (design 10, docs/residency.md)."""

    def start_custody(self) -> None:
        self.ledger = ledgers.Ledger(
            now=self.loop.now, keep_s=self.contact_s * CUSTODY_CONTACTS, most=int(self.settings.memory_mb * 60))
        self._kept_asked = {}
        self._kept_number = 0

    def _get_trail(self, ask, _request, ask_id: str) -> None:
        trails = self.ledger.find(ask_id)
        if not trails:
            self._json(ask, 404, {"error": f"no trail of '{ask_id}' here", "node": self.settings.node})
            return
        waiting = [trail for trail in trails if trail["parts"]]
        if not waiting or not self.proxies():
            self._json(ask, 200, {"node": self.settings.node, "trails": trails, "kept_known": not waiting})
            return
        trail = waiting[-1]

        def done(rows):
            self.loop.cancel(timer=timer)
            if rows is not None:
                trail["kept"] = rows
            self._json(ask, 200, {"node": self.settings.node, "trails": trails, "kept_known": rows is not None})

        self._kept_number += 1
        number = self._kept_number
        self._kept_asked[number] = done
        timer = self.loop.after(
            delay=self.receipt_s / 12, act=lambda: done(None) if self._kept_asked.pop(number, None) else None)
        self.proxies()[0].link.send(
            ("keeps", number, trail["service"], trail["model"], tuple((bytes.fromhex(part),) for part in trail["parts"])))

    def _get_trails(self, ask, request) -> None:
        after = request.args.get("after", "0")
        rows, last, has_more = self.ledger.page(after=int(after) if after.isdigit() else 0, most=500)
        live_lives = {peer.life for peer in self.proxies(is_listed=False)}
        live = {key for key in self.ledger.lives if key[1] in live_lives}
        self._json(ask, 200, {
            "node": self.settings.node, "trails": rows, "last": last, "has_more": has_more, "coverage": self.ledger.coverage(live=live),
            "zones": self.settings.zones, "keep_s": self.contact_s * CUSTODY_CONTACTS,
        })


def _split_target(target: bytes) -> tuple:
    path, _mark, query = target.partition(b"?")
    return path.decode("latin-1"), query


class Core(VotingMixin, MembersMixin, DispatchMixin, DirectoryMixin, AdaptersMixin, CustodyMixin):
    def __init__(self, *, settings):
        self.settings = settings
        self.own = settings.ip
        self.life = uuid.uuid4().hex[:12]
        self.loop = loops.Loop(on_fault=lambda fault: ring.spill("a step failed", fault=fault))
        self.contact_s = settings.bound_s(name="contactMs")
        self.receipt_s = settings.bound_s(name="receiptMs")
        self.silence_s = self.contact_s / 5
        self.lease_s = self.silence_s * 1.5
        window_s = settings.bound(name="retryWindowS", default=10)
        self.ttl_s = max(1, int(settings.bound(name="ttl_max_s", default=5) * 0.2))
        start = self.loop.now()
        quiet_s = self.silence_s * 2 if settings.first_start else self.lease_s + window_s
        # Two kinds of bound: what is spent counts for retryWindowS, a rate only for its second (and a little).
        self.slacks = grants.Book(now=self.loop.now, life_s=self.lease_s, window_s=window_s, quiet_until=start + quiet_s)
        rate_quiet_s = min(quiet_s, self.lease_s + RATE_WINDOW_S)
        self.rates = grants.Book(
            now=self.loop.now, life_s=self.lease_s, window_s=RATE_WINDOW_S, quiet_until=start + rate_quiet_s)
        self.slots = grants.Slots(now=self.loop.now, hold_s=self.lease_s + RATE_WINDOW_S)
        self.rates_from = start + rate_quiet_s
        self.desk = desks.Desk()
        self.follower = desks.Follower(now=self.loop.now, patience_s=self.contact_s / 12, on_image=self._on_image)
        self.roll = platform.Roll()
        self.duties = {}
        self.spec = None
        self._beats = 0
        self.file_watch = settings_files.FileWatch()
        self._behind = {}
        self._reading = set()
        self._is_taking = False
        self._is_moving = False
        self._aside_since = None
        self._members_changed = True
        self.watch = platform.Watch(
            loop=self.loop, address=settings.cloud_address,
            gap_s=max(settings.bound_s(name="drainMs") / 8, 4 / settings.cloud_per_s),
            limit_s=self.contact_s / 4, on_list=self._on_list,
        )

    def _apply(self, name: str, payload, members: tuple) -> None:
        if name == "duty":
            self.duties = payload or {}
            self.loop.command(act=self._watch_over)
        elif name == "spec":
            self.spec = payload["body"] if payload else None
        elif name == "cores":
            self._dial_cores()

    def run(self) -> int:
        os.makedirs(self.settings.data_dir or "/tmp", exist_ok=True)
        self.start_members()
        self.start_custody()
        self.start_adapters()
        self.start_voting()
        self._dial_cores()
        self.start_dispatch()
        self.watch.start()
        self.loop.every(gap=self.silence_s / 3, act=self._beat)
        signal.signal(signal.SIGTERM, lambda *_: self.loop.command(act=self._leave))
        signal.signal(signal.SIGHUP, lambda *_: self.loop.command(act=self._reread))
        ring.note("core up", own=self.own, first=self.settings.first_start)
        self.loop.run()
        return 0

    def _leave(self) -> None:
        for hall in self.halls:
            hall.stop_listening()
            hall.leave()
        self.watch.stop()
        self.loop.after(delay=self.receipt_s / 6, act=self.loop.stop)

    def _reread(self) -> None:
        try:
            self.settings = settings_files.load()
        except problems.SettingsProblem as fault:
            ring.spill(f"the new settings are kept out: {fault}")
