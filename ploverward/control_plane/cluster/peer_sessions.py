"""Links to proxies and core nodes, leases, duties and the core set (design 4, 5)."""

import logging

from ploverward.common import tenant_usage
from ploverward.control_plane.cluster import coordinator as coordinators
from ploverward.control_plane.cluster import majority_lease
from ploverward.control_plane.cluster import voting_set
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.rollouts import evidence_table
from ploverward.transport import legacy_messages
from ploverward.transport import messages

_log = logging.getLogger(__name__)

UNKNOWN_AGE_S = 1e6  # of a configuration of which this node knows nothing certain


class Peer:
    """What this core node knows of one proxy or core node, while its link lives."""

    def __init__(self, *, link, role, address, zone, region, incarnation, public):
        self.link = link
        self.role = role
        self.address = address
        self.zone = zone
        self.region = region
        self.incarnation = incarnation
        self.public = public
        self.is_ready = False
        self.is_draining = False


class MembersMixin:
    """Links to the other core nodes, leases of the proxies, duties and the core set (design 4, 5)."""

    def start_members(self) -> None:
        self.peers = {}  # link: Peer
        self.proxy_count = 0
        self.connectors = {}
        self.core_lost = {}  # core address: since when out of touch
        self.core_unanswering = {}  # core address: since when it answers no heartbeat, in touch or not
        self.port = self.runtime.port(
            loop=self.loop,
            address=(self.settings.ip, self.settings.core_port),
            on_link=lambda link: None,
            on_message=self._handle_message,
            on_end=self._ended,
            peer_timeout_s=self.peer_timeout_s,
        )

    def members(self) -> tuple:
        return self.proposer.members("cores")

    def _connect_to_cores(self) -> None:
        wanted = set(self.members()) | {host for host, _port in self.settings.seeds} | self.known_cores()
        wanted.discard(self.own)
        for host in wanted - self.connectors.keys():
            self.connectors[host] = self.runtime.connector(
                loop=self.loop,
                address=(host, self.settings.core_port),
                on_up=self._send_handshake,
                on_message=self._handle_message,
                on_end=self._ended,
                peer_timeout_s=self.peer_timeout_s,
            )
        for host in self.connectors.keys() - wanted:
            self.connectors.pop(host).stop()

    def known_cores(self) -> set:
        return {peer.address for peer in self.peers.values() if peer.role == "core"}

    def _send_handshake(self, link) -> None:
        link.send(("hello", "core", self.own, self.settings.zone, self.settings.region, self.incarnation, ""))
        if self.is_draining:
            link.send(("state", False, True))

    def _ended(self, link, reason) -> None:
        peer = self.peers.pop(link, None)
        self.publisher.leave(link)
        self.subscriber.drop(link)
        if peer is not None and peer.role == "proxy":
            self.proxy_count -= 1
            _log.debug("proxy_disconnected", extra={"peer": peer.address, "reason": reason})
            self.interfaces.check_applied()

    def _handle_message(self, link, message: tuple) -> None:
        kind = message[0]
        if kind == "hello":
            _kind, role, address, zone, region, incarnation, public = message
            for old, peer in list(self.peers.items()):
                if peer.address == address and old is not link:
                    old.close(reason="a newer link of the same node")
            former = self.peers.get(link)
            self.peers[link] = Peer(
                link=link, role=role, address=address, zone=zone, region=region, incarnation=incarnation, public=public
            )
            self.proxy_count += (role == "proxy") - (former is not None and former.role == "proxy")
            link.hello = (role, address)
            if role == "core" and address not in self.connectors:
                self._connect_to_cores()
            if role == "core" and self.acceptor.votes:
                self._read_unknown()
            if role in ("core", "proxy"):
                self.publisher.join(link)
                if role == "proxy":
                    self._send_handshake(link)
                    self._send_minimum_versions(link)
            return
        if kind == "offer":
            self.subscriber.handle_announcement(link, legacy_messages.to_typed(message))
        elif kind == "image":
            self.subscriber.handle_snapshot(link, legacy_messages.to_typed(message))
        elif kind == "changes":
            self.subscriber.handle_deltas(link, legacy_messages.to_typed(message))
        elif kind == "want":
            self.publisher.handle_fetch(link, legacy_messages.to_typed(message))
        elif kind == "have":
            self.publisher.handle_acknowledgement(link, legacy_messages.to_typed(message))
            self.interfaces.check_applied()
        elif kind == "trails":
            self.interfaces.handle_custody_trails(legacy_messages.to_typed(message))
        elif kind == "adapters":
            self.interfaces.handle_adapter_counts(legacy_messages.to_typed(message))
        elif kind == "kept":
            self.interfaces.handle_cache_owners(legacy_messages.to_typed(message))
        elif kind == "renew":
            self._renew(link, message)
        elif kind == "evidence":
            self._handle_evidence(link, message)
        elif kind == "heartbeat":
            self._answer_heartbeat(link, message)
        elif kind == "heartbeat_answer":
            self._handle_heartbeat_answer(link, message)
        elif kind == "state":
            peer = self.peers.get(link)
            if peer is not None:
                peer.is_ready, peer.is_draining = message[1], message[2]
        else:
            member = self._member_of(link)
            if member:
                self._handle_register_message(member, link, message)

    def _member_of(self, link) -> str:
        if link.hello is not None:
            return link.hello[1] if link.hello[0] == "core" else ""
        for host, connector in self.connectors.items():
            if connector.link is link:
                return host
        return ""

    def _send_minimum_versions(self, link) -> None:
        """What this node's disk holds as accepted: a starting proxy must reach the most of a majority (design 5). A chosen
        value is on the disks of a majority, so no majority of floors lies below it."""
        if self.voting.write_ahead_log.durable.votes:
            link.send(("floor", self.voting.minimum_versions()))

    def proxies(self, *, is_listed=True) -> list:
        return [
            peer
            for peer in self.peers.values()
            if peer.role == "proxy" and (not is_listed or (peer.is_ready and not peer.is_draining))
        ]

    def is_core_live(self, host: str) -> bool:
        if host == self.own:
            return True
        connector = self.connectors.get(host)
        link = connector.link if connector is not None else None
        return link is not None and link.is_up and link.has_heard

    def has_majority_contact(self) -> bool:
        """Whether a majority of the agreed core set confirmed it to this node within the lease (docs/control.md 2)."""
        members, version = self.agreed_set()
        is_supporting = (
            self.voting.is_voter and self._accepted_version(register_names.CORE_SET) <= version
        )  # as any other voter's answer
        return self.contact.has_majority(members=members, version=version, is_supporting=is_supporting)

    def agreed_set(self) -> tuple:
        """(members, version) of the newest core set that this node knows as chosen; version 0: the first start's."""
        version = self.publisher.version(register_names.CORE_SET)[1]
        return (self.core_members if version else self.members()), version

    def _accepted_version(self, name: str) -> int:
        """The newest version of a register that this node accepted, chosen or not."""
        return max(self.acceptor.get(name)[2], self.publisher.version(name)[1])

    def _answer_heartbeat(self, link, message: tuple) -> None:
        _kind, number, version = message
        if self.voting.is_voter:
            configuration = self._accepted_version(register_names.CONFIGURATION)
            link.send(("heartbeat_answer", number, self._accepted_version(register_names.CORE_SET), configuration))
        self._catch_up(version)

    def _handle_heartbeat_answer(self, link, message: tuple) -> None:
        _kind, number, version, configuration = message
        member = self._member_of(link)
        if member:
            answer = majority_lease.Answer(number=number, version=version, configuration=configuration)
            self.contact.handle_answer(member=member, answer=answer)
        self._catch_up(version)

    def _catch_up(self, version: int) -> None:
        """Reads the core set where another node knows a newer version of it."""
        is_behind = version > self.publisher.version(register_names.CORE_SET)[1]
        if is_behind and self.acceptor.votes and not self.voting.is_reading(register_names.CORE_SET):
            self._repair(register_names.CORE_SET)

    def _on_heartbeat_tick(self) -> None:
        for link, peer in list(self.peers.items()):
            link.send(("beat", 0))
            if peer.role == "proxy" and not peer.is_ready:
                self._send_minimum_versions(link)
        heartbeat = self.contact.next_heartbeat(version=self.agreed_set()[1])
        self._broadcast_to_cores(("heartbeat", heartbeat.number, heartbeat.version))
        self._beats += 1
        if self._beats % 4 == 0 and self.file_watch.is_changed():
            self._reread()
        self._connect_to_cores()
        self.subscriber.tick()
        self._run_anti_entropy()
        self._reconcile_roles()

    def _renew(self, link, message: tuple) -> None:
        """A proxy asks for its entry. A leaving one gets none: it spends what it holds until that runs out.

        None is told without contact with a majority of the agreed core set; older ones run out by themselves.
        """
        peer = self.peers.get(link)
        if peer is None or peer.role != "proxy" or not self.has_majority_contact():
            return
        _kind, number, usage = message
        if not peer.is_draining:
            link.send(("entry", *self._grant(peer), number))
        if self.has_tenants:
            self.meter.record(proxy=peer.address, incarnation=peer.incarnation, rows=tenant_usage.unpack_usage(usage))
            credits = tenant_usage.pack_credits(self.meter.credits(proxy=peer.address))
            link.send(("standing", number, *self._freshness(), self.meter.proxy_count(), credits))

    def _freshness(self) -> tuple:
        """(newest configuration known as chosen, for how many seconds none newer may have been acknowledged)."""
        members, version = self.agreed_set()
        known = self.publisher.version(register_names.CONFIGURATION)[1]
        as_of = self.contact.fresh_as_of(
            members=members,
            version=version,
            known=known,
            accepted=self._accepted_version(register_names.CONFIGURATION),
            is_supporting=self.voting.is_voter and self._accepted_version(register_names.CORE_SET) <= version,
        )
        return known, min(UNKNOWN_AGE_S, self.loop.now() - as_of)

    def proxy_origins(self) -> list:
        """The lives of proxies in touch, as they sign their evidence."""
        return [
            evidence_table.Origin(address=peer.address, incarnation=peer.incarnation)
            for peer in self.proxies(is_listed=False)
        ]

    def _handle_evidence(self, link, message: tuple) -> None:
        """A proxy tells what it counted of roll-outs; where this node may hand out leases, they are the answer."""
        peer = self.peers.get(link)
        if peer is None or peer.role != "proxy":
            return
        origin = evidence_table.Origin(address=peer.address, incarnation=peer.incarnation)
        leases = self.rollout_manager.handle_evidence(
            origin=origin, message=legacy_messages.to_typed(message), proxy_count=self.proxy_count
        )
        if leases is not None and self.has_majority_contact():
            link.send(leases)

    def part_of(self, members) -> float:
        """The part of every bound that this node owns under a core set."""
        return 1.0 / len(members) if self.own in members else 0.0

    def _grant(self, peer) -> tuple:
        """Shares of the bounds for one proxy."""
        members, version = self.agreed_set()
        own_part = self.part_of(members)
        self.owned_slack_share.install(share=own_part, version=version)
        self.owned_rate_share.install(share=own_part, version=version)
        live = self.proxy_count
        rate_part = self.owned_rate_share.value()
        slot = (0, 0)
        if rate_part > 0 and self.loop.now() >= self.rates_from:
            slot = self.slots.renew(node=peer.address)
        return (
            self.slacks.renew(node=peer.address, owned_share=self.owned_slack_share.value(), live_nodes=live),
            self.rates.renew(node=peer.address, owned_share=rate_part, live_nodes=live),
            self.lease_s,
            rate_part,
            *slot,
        )

    def _reconcile_roles(self) -> None:
        """The first live core node in the agreed order watches the platform and names the relays."""
        members = self.members()
        now = self.loop.now()
        for host in members:
            if self.is_core_live(host):
                self.core_lost.pop(host, None)
            else:
                self.core_lost.setdefault(host, now)
            if self.contact.answered_within(member=host, span_s=self.peer_timeout_s):
                self.core_unanswering.pop(host, None)
            else:
                self.core_unanswering.setdefault(host, now)
        is_acting = self.cluster_coordinator.reconcile(
            members=members,
            live=[host for host in members if self.is_core_live(host)],
            lost_since=self.core_lost,
            has_majority=self.has_majority_contact(),
            may_acquire=self.acceptor.votes and not self.is_draining,
        )
        if not is_acting:
            self.rollout_manager.deactivate()
            return
        if self.is_draining:
            self._hand_over()
            return
        listed = self.proxies()
        self.cluster_coordinator.assign_owners(
            proxies=[(peer.address, peer.incarnation, peer.zone, peer.region) for peer in listed]
        )
        self.rollout_manager.reconcile()
        self._reconcile_core_set()

    def core_view(self) -> voting_set.View:
        """What this node sees of the core machines."""
        members = self.members()
        now = self.loop.now()

        def lost_for(span_s: float) -> tuple:
            """Out of touch for so long, or voting for nothing for longer still: its disk refuses, or it learns."""
            lost = {}
            for host in members:
                out_since = self.core_lost.get(host, now)
                mute_since = self.core_unanswering.get(host, now) + self.peer_timeout_s
                since = min(out_since, mute_since)
                if host != self.own and now - since > span_s:
                    lost[host] = since
            return tuple(sorted(lost, key=lost.get))

        lost = lost_for(self.peer_timeout_s / 2)
        core_peers = [peer for peer in self.peers.values() if peer.role == "core"]
        learners = sorted(
            (peer.link.opened_at, peer.address)
            for peer in core_peers
            if peer.address not in members
            and not peer.is_draining
            and now - peer.link.opened_at > self.peer_timeout_s / 2
            and self.contact.answered_within(member=peer.address, span_s=self.peer_timeout_s)
        )
        newest = max((opened_at for opened_at, _address in learners), default=now)

        def has_answered(host: str) -> bool:
            return host not in self.core_lost and self.contact.answered_since(member=host, when=newest)

        return voting_set.View(
            members=tuple(members),
            learners=tuple(address for _opened_at, address in learners),
            silent=tuple(host for host in members if host not in lost and not has_answered(host)),
            lost=lost,
            gone=lost_for(self.peer_timeout_s * 2),
            leaving=tuple(sorted(peer.address for peer in core_peers if peer.is_draining)),
        )

    def _reconcile_core_set(self) -> None:
        """Moves the registers to the set that should stand next, and finishes what another holder left half done."""
        view = self.core_view()
        if not view.members:
            return
        target = voting_set.next_set(view=view, wanted=self.wanted_voters)
        is_agreed = self.publisher.version(register_names.CORE_SET)[1] > 0
        if not is_agreed or target != tuple(sorted(view.members)) or self.core_set_changer.needs_move(target=target):
            self.core_set_changer.move(target=target)

    def core_set_status(self) -> dict:
        """For operators: who votes, who learns, how far this node is, and what may still be lost."""
        view = self.core_view()
        agreed, version = self.agreed_set()
        known = set(self.members()) | self.known_cores() | {self.own}
        in_touch = sorted(host for host in known if self.is_core_live(host))
        accepted_state = dict(self.voting.minimum_versions())
        _epoch, owner, _incarnation = self.role_table.owner(coordinators.WATCH)
        return {
            "node": self.settings.node,
            "address": self.own,
            "votes": self.acceptor.votes,
            "members": list(agreed),
            "version": version,
            "has_majority_contact": self.has_majority_contact(),
            "wanted_voters": self.wanted_voters,
            "losses_borne": voting_set.tolerated_losses(members=agreed, in_touch=in_touch),
            "in_touch": in_touch,
            "learners": list(view.learners),
            "leaving": list(view.leaving),
            "is_moving": self.core_set_changer.is_moving,
            "watch": owner,
            "registers": {
                name: {
                    "known": self.publisher.version(name)[1],
                    "on_disk": accepted_state.get(name, 0),
                    "members": list(self.proposer.members(name)),
                }
                for name in register_names.REGISTERS
            },
        }

    # Leaving in order.
    def _hand_over(self) -> None:
        """Gives the watch duty to another live member."""
        members = self.members()
        for peer in sorted(self.peers.values(), key=lambda peer: peer.address):
            if peer.role == "core" and not peer.is_draining and peer.address in members:
                if self.is_core_live(peer.address):
                    self.cluster_coordinator.hand_over(successor=peer.address, incarnation=peer.incarnation)
                    return

    def may_end(self) -> bool:
        """Whether the others go on without this node: no duty here, no successor waiting, a majority beside it."""
        members = self.members()
        if all(self.own not in self.proposer.members(name) for name in register_names.REGISTERS):
            return True
        if self.cluster_coordinator.is_owner and self.has_majority_contact():
            return False
        view = self.core_view()
        if view.learners or len(members) > self.wanted_voters or self.own not in members:
            return False  # the holder of the watch takes this node out of the set first
        leaving = set(view.leaving)
        staying = [host for host in members if host != self.own and host not in leaving and self.is_core_live(host)]
        return len(staying) >= ballots.majority(members)

    def _on_snapshot(self, snapshot: messages.Snapshot) -> None:
        """A value from another core node."""
        topic, version, data = snapshot
        if topic in register_names.REGISTERS:
            self._publish(topic, version.number, data)
        elif self.cluster_coordinator.may_follow(epoch=version.epoch):
            self.publisher.publish(topic=topic, version=version, data=data)

    def _on_delta(self, _topic: str, delta: messages.Delta) -> None:
        """A delta of the list from another core node."""
        epoch, number = delta.version
        if self.cluster_coordinator.may_follow(epoch=epoch):
            self.cluster_coordinator.follow_change(epoch=epoch, number=number, data=delta.data)
