"""Nodes of the model of roll-outs (ploverward/simulation/rollout_simulation.py): replicas of two versions, core nodes and proxies with the real
holder and the real proxies' side. `day` is the `rollout_world.Day` that they belong to."""

import collections

from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import exposure
from ploverward.control_plane.rollouts import manager
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.rollouts import version_routing
from ploverward.transport import row_codec

SERVICE, FORMER, NEW = "pool", "v1", "v2"
CONTACT_S = 6.0
RECEIPT_S = 8.0
ROLLBACK_S = 5.0
EXPOSURE = exposure.ExposureBound(share=0.1, slack=50.0)
ZONES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
ROUTES = ("draft", "query")


class Settings:
    """Bounds of the model deployment."""

    def bound(self, *, name, default=0.0):
        return {"exposureShare": EXPOSURE.share, "exposureSlack": EXPOSURE.slack}.get(name, default)

    def bound_s(self, *, name, default=0.0):
        return {"rollbackMs": ROLLBACK_S}.get(name, default)


class Replica:
    """One replica; `fault` is its own, whatever its version."""

    def __init__(self, *, name: str, zone: str, edition: str):
        self.id = name
        self.key = row_codec.key_of(name)
        self.zone = zone
        self.edition = edition
        self.is_gone = False
        self.is_faulty = False

    def row(self, *, cold: bool) -> dict:
        return {
            "id": self.id,
            "service": SERVICE,
            "zone": self.zone,
            "edition": self.edition,
            "berths": 16,
            "is_clearing": False,
            "cold_ms": 100.0 if cold else 0.0,
        }


class Core:
    """A core node: what it knows of the register, and the duty while it holds it."""

    def __init__(self, *, simulation, name: str):
        self.simulation = simulation
        self.name = name
        self.is_partitioned = False
        self.contact_until = 0.0
        self.start()

    def start(self) -> None:
        simulation = self.simulation
        self.is_up = True
        self.proxies = {}  # Origin: when it was heard
        self.rollout_manager = manager.RolloutManager(
            settings=Settings(),
            now=simulation.world.now,
            change=self._change,
            listed=simulation.listed,
            zones=lambda: ZONES,
            evacuated_zones=lambda: (),
            proxies=self._in_touch,
            contact_s=CONTACT_S,
            receipt_s=RECEIPT_S,
        )
        self.rollout_manager.install(simulation.payload)

    def _in_touch(self) -> list:
        now = self.simulation.world.now()
        return [origin for origin, when in self.proxies.items() if now - when < CONTACT_S / 5]

    def _change(self, *, name, edit, done) -> None:
        simulation, rollout_manager = self.simulation, self.rollout_manager
        if self.is_partitioned:
            simulation.world.later(RECEIPT_S / 2, lambda: done(TimeoutError("no majority"), 0, None, None))
            return
        # The round's end comes to the holder later than the choice.
        simulation.world.later(simulation.chance.uniform(0.02, 0.3), lambda: simulation.edit(edit))
        simulation.world.later(
            simulation.chance.uniform(0.3, 0.6),
            lambda: done(None, 0, None, None) if rollout_manager is self.rollout_manager else None,
        )

    def send_heartbeats(self) -> None:
        now = self.simulation.world.now()
        if not self.is_partitioned:
            self.contact_until = now + 0.3 * CONTACT_S
        if self.is_up and self.simulation.holds_coordinator_role(self) and now < self.contact_until:
            self.rollout_manager.reconcile()
        else:
            self.rollout_manager.deactivate()


class Proxy:
    """A proxy: its roll-outs, its traffic and its beat."""

    def __init__(self, *, simulation, name: str, per_s: float):
        self.simulation = simulation
        self.name = name
        self.per_s = per_s
        self.is_partitioned = False
        self.frozen_until = 0.0
        self.partitioned_since = None
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        self.incarnation += 1
        self.running = collections.Counter()  # edition: attempts under way
        self.asked_at = 0.0  # when its last report was sent
        self.answered_at = 0.0  # the latest of its reports that was answered by leases
        self.rollouts = version_routing.VersionRouter(
            now=self.simulation.world.now,
            chance=self.simulation.chance.random,
            running=lambda service, target: self._elsewhere(target),
        )
        self.install(self.simulation.payload)
        self.core = "k1"

    def _elsewhere(self, target: str) -> int:
        return sum(count for edition, count in self.running.items() if edition != target)

    def install(self, payload) -> None:
        if payload is not None:
            self.rollouts.install(payload)

    @property
    def is_in_touch(self) -> bool:
        return not self.is_partitioned and self.simulation.world.now() >= self.frozen_until

    def send_heartbeats(self) -> None:
        simulation = self.simulation
        if self.is_partitioned or simulation.world.now() < self.frozen_until:
            return
        report = self.rollouts.report()
        self.asked_at = simulation.world.now()
        origin = evidence_table.Origin(address=self.name, incarnation=str(self.incarnation))
        if simulation.chance.random() < 0.3 or not simulation.cores[self.core].is_up:
            self.core = simulation.coordinator  # news of the duty come late
        core = simulation.cores[self.core]
        rollout = self.rollouts
        simulation.world.later(
            simulation.chance.uniform(0.005, 0.08), lambda: self._handle_report(core, origin, report, rollout)
        )

    def _handle_report(self, core: Core, origin, report, rollout) -> None:
        if not core.is_up:
            return
        core.proxies[origin] = self.simulation.world.now()
        if report is None:
            return
        answer = core.rollout_manager.handle_evidence(origin=origin, message=report, proxy_count=len(core.proxies))
        if answer is None:
            return
        self.simulation.note_answered(core)
        asked_at = self.asked_at

        def take():
            if rollout is self.rollouts and not self.is_partitioned:
                self.answered_at = max(self.answered_at, asked_at)
                rollout.handle_leases(answer)

        self.simulation.world.later(self.simulation.chance.uniform(0.005, 0.4), take)

    def request(self) -> None:
        """One request: to a pool's replica, and on to the former version where it fails."""
        simulation = self.simulation
        if simulation.world.now() < self.frozen_until:
            return
        self.send(route=simulation.chance.choice(ROUTES), is_first=True)

    def send(self, *, route: str, is_first: bool) -> None:
        simulation = self.simulation
        replica = None
        for pool in self.rollouts.pools(service=SERVICE, is_first=is_first):
            there = [
                one
                for one in simulation.replicas
                if (pool is None or pool.has(one))
                and not one.is_gone
                and one.id in simulation.seen_rows
                and (pool is None or not pool.replicas or one.id in pool.replicas)
            ]
            if there:
                replica = simulation.chance.choice(there)
                break
        if replica is None:
            simulation.unserved += 1
            return
        self.rollouts.note_send(service=SERVICE, replica=replica)
        self.running[replica.edition] += 1
        simulation.note_send(self, replica)
        attempt = simulation.attempt(replica, route)
        rollout, incarnation = self.rollouts, self.incarnation

        def end():
            if incarnation != self.incarnation:
                return
            self.running[replica.edition] -= 1
            is_interrupted = replica.is_gone
            kind = report_source.FAILED if is_interrupted or attempt.status >= 500 else report_source.DONE
            attempt.is_complete = not is_interrupted
            rollout.note_end(
                service=SERVICE, route=route, attempt=attempt, kind=kind, latency_target_s=0.8, expected_s=0.05
            )
            simulation.note_answer(replica, attempt)
            if kind == report_source.FAILED and is_first:
                self.send(route=route, is_first=False)

        simulation.world.later(attempt.last_at - attempt.sent_at, end)
