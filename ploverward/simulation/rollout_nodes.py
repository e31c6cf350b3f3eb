"""Nodes of the simulation of roll-outs: replicas of two versions, core nodes and proxies.

The manager of a core node and the router of a proxy are the real ones; requests, heartbeats and the network are
simulated (`ploverward.simulation.rollout_simulation`, which each node belongs to).
"""

from __future__ import annotations

import collections
import dataclasses
import typing
from collections.abc import Callable
from typing import Any

from ploverward.common import settings as settings_files
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import exposure
from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.rollouts import orders
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.load_balancing import replica as replicas
from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import attempts
from ploverward.data_plane.rollouts import version_routing
from ploverward.transport import messages
from ploverward.transport import row_codec

if typing.TYPE_CHECKING:
    from ploverward.simulation import rollout_simulation

SERVICE, FORMER, NEW = "pool", "v1", "v2"
CONTACT_S = 6.0
RECEIPT_S = 8.0
ROLLBACK_S = 5.0
EXPOSURE = exposure.ExposureBound(share=0.1, slack=50.0)
ZONES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}  # zone: region
ROUTES = ("draft", "query")
BATCH_SLOTS = 16  # of a replica
LATENCY_TARGET_S = 0.8
EXPECTED_S = 0.05  # to the first piece
CONTACT_DIVISOR = 5  # of contactMs: a proxy that was heard later than this is out of contact


class Settings:
    """Bounds of the simulated deployment."""

    def bound(self, *, name: str, default: float = 0.0) -> float:
        """A bound by its name."""
        return {"exposureShare": EXPOSURE.share, "exposureSlack": EXPOSURE.slack}.get(name, default)

    def bound_s(self, *, name: str, default: float = 0.0) -> float:
        """A bound that is a time, in seconds."""
        return {"rollbackMs": ROLLBACK_S}.get(name, default)


class Replica:
    """One replica; `is_faulty` is its own fault, whatever its version."""

    def __init__(self, *, name: str, zone: str, edition: str) -> None:
        self.id = name
        self.key = row_codec.replica_key(name)
        self.zone = zone
        self.edition = edition
        self.is_gone = False
        self.is_faulty = False

    def row(self, *, is_warming_up: bool) -> dict[str, Any]:
        """Its row of the platform's list."""
        return {
            "id": self.id,
            "service": SERVICE,
            "zone": self.zone,
            "edition": self.edition,
            "berths": BATCH_SLOTS,
            "is_clearing": False,
            "cold_ms": 100.0 if is_warming_up else 0.0,
        }

    @property
    def as_real(self) -> replicas.Replica:
        """The same, for a router: it reads no more of a replica than this one has."""
        return typing.cast(replicas.Replica, self)


@dataclasses.dataclass(frozen=True)
class SimulatedConnection:
    """A connection whose request was sent."""

    is_unsent: bool = False


@dataclasses.dataclass(kw_only=True)
class SimulatedAttempt:
    """One attempt, with the fields of `ploverward.data_plane.requests.attempts.Attempt` that a router reads.

    Its answer is known from the start; `is_bad`: it shows that its version is bad.
    """

    replica: Replica
    response_class: attempts.ResponseClass
    status: int
    is_bad: bool
    sent_at: float
    first_event_at: float
    last_event_at: float
    event_count: int
    is_complete: bool = True
    is_first_event_counted: bool = False
    arrival: None = None
    connection: SimulatedConnection = SimulatedConnection()


class Core:
    """A core node: what it knows of the register, and the coordinator's role while it has it."""

    def __init__(self, *, simulation: rollout_simulation.RolloutSimulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.is_partitioned = False
        self.contact_until = 0.0
        self.start()

    def start(self) -> None:
        """Starts the process anew; the register is on its disk."""
        simulation = self.simulation
        self.is_up = True
        self.proxies: dict[evidence_table.Origin, float] = {}  # when each was heard
        self.rollout_manager = manager.RolloutManager(
            settings=typing.cast(settings_files.Settings, Settings()),
            now=simulation.world.now,
            change=self._change,
            listed=simulation.listed,
            zones=lambda: ZONES,
            evacuated_zones=lambda: (),
            proxies=self._in_contact,
            contact_s=CONTACT_S,
            receipt_s=RECEIPT_S,
        )
        self.rollout_manager.install(simulation.payload)

    def _in_contact(self) -> list[evidence_table.Origin]:
        now = self.simulation.world.now()
        return [origin for origin, at in self.proxies.items() if now - at < CONTACT_S / CONTACT_DIVISOR]

    def _change(self, *, name: str, edit: orders.Edit, done: Callable[..., None]) -> None:
        simulation, rollout_manager = self.simulation, self.rollout_manager
        if self.is_partitioned:
            simulation.world.later(RECEIPT_S / 2, lambda: done(TimeoutError("no majority"), 0, None, None))
            return
        # The coordinator learns of the end of a round later than the value is chosen.
        simulation.world.later(simulation.chance.uniform(0.02, 0.3), lambda: simulation.edit(edit))
        simulation.world.later(
            simulation.chance.uniform(0.3, 0.6),
            lambda: done(None, 0, None, None) if rollout_manager is self.rollout_manager else None,
        )

    def tick(self) -> None:
        """One heartbeat."""
        now = self.simulation.world.now()
        if not self.is_partitioned:
            self.contact_until = now + 0.3 * CONTACT_S
        if self.is_up and self.simulation.holds_coordinator_role(self) and now < self.contact_until:
            self.rollout_manager.reconcile()
        else:
            self.rollout_manager.deactivate()


class Proxy:
    """A proxy: its router, its traffic of `per_s` requests a second, and its heartbeats."""

    def __init__(self, *, simulation: rollout_simulation.RolloutSimulation, name: str, per_s: float) -> None:
        self.simulation = simulation
        self.name = name
        self.per_s = per_s
        self.is_partitioned = False
        self.frozen_until = 0.0
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Starts the process anew."""
        self.incarnation += 1
        self.running: collections.Counter[str] = collections.Counter()  # by version: attempts in progress
        self.asked_at = 0.0  # when its last report was sent
        self.answered_at = 0.0  # when the newest of its reports that was answered by leases was sent
        self.router = version_routing.VersionRouter(
            now=self.simulation.world.now,
            chance=self.simulation.chance.random,
            running=lambda _service, target: self._running_elsewhere(target),
        )
        self.install(self.simulation.payload)
        self.core = "k1"

    def _running_elsewhere(self, target: str) -> int:
        return sum(count for version, count in self.running.items() if version != target)

    def install(self, payload: state.Payload) -> None:
        """Installs the register's value."""
        if payload is not None:
            self.router.install(payload)

    @property
    def is_in_contact(self) -> bool:
        """Whether it runs and reaches the core nodes."""
        return not self.is_partitioned and self.simulation.world.now() >= self.frozen_until

    def send_report(self) -> None:
        """Reports to the coordinator that it knows, as at each heartbeat."""
        simulation = self.simulation
        if not self.is_in_contact:
            return
        report = self.router.report()
        self.asked_at = simulation.world.now()
        origin = evidence_table.Origin(address=self.name, incarnation=str(self.incarnation))
        if simulation.chance.random() < 0.3 or not simulation.cores[self.core].is_up:
            self.core = simulation.coordinator  # it learns late of another coordinator
        core, router = simulation.cores[self.core], self.router
        simulation.world.later(
            simulation.chance.uniform(0.005, 0.08), lambda: self._handle_report(core, origin, report, router)
        )

    def _handle_report(
        self,
        core: Core,
        origin: evidence_table.Origin,
        report: messages.RolloutEvidence | None,
        router: version_routing.VersionRouter,
    ) -> None:
        """The arrival at the core node, which answers with leases."""
        if not core.is_up:
            return
        core.proxies[origin] = self.simulation.world.now()
        if report is None:
            return
        answer = core.rollout_manager.handle_evidence(origin=origin, message=report, proxy_count=len(core.proxies))
        if answer is None:
            return
        self.simulation.checks.note_leases(core)
        asked_at = self.asked_at

        def handle_leases() -> None:
            if router is self.router and not self.is_partitioned:
                self.answered_at = max(self.answered_at, asked_at)
                router.handle_leases(answer)

        self.simulation.world.later(self.simulation.chance.uniform(0.005, 0.4), handle_leases)

    def request(self) -> None:
        """One request, retried at the former version where it fails."""
        simulation = self.simulation
        if simulation.world.now() >= self.frozen_until:
            self._send(route=simulation.chance.choice(ROUTES), is_first=True)

    def _choose(self, *, is_first: bool) -> Replica | None:
        for pool in self.router.pools(service=SERVICE, is_first=is_first):
            usable = [
                replica
                for replica in self.simulation.replicas
                if (pool is None or pool.has(replica.as_real))
                and not replica.is_gone
                and replica.id in self.simulation.listed_ids
                and (pool is None or not pool.replicas or replica.id in pool.replicas)
            ]
            if usable:
                return self.simulation.chance.choice(usable)
        return None

    def _send(self, *, route: str, is_first: bool) -> None:
        simulation, router, incarnation = self.simulation, self.router, self.incarnation
        replica = self._choose(is_first=is_first)
        if replica is None:
            return
        router.note_send(service=SERVICE, replica=replica.as_real)
        self.running[replica.edition] += 1
        simulation.checks.note_send(self, replica)
        attempt = simulation.attempt(replica, route)

        def begin() -> None:
            if (
                incarnation == self.incarnation
                and attempt.response_class is attempts.ResponseClass.SUCCESS
                and not replica.is_gone
            ):
                router.note_first_event(
                    service=SERVICE,
                    route=route,
                    attempt=typing.cast(attempts.Attempt, attempt),
                    expected_s=EXPECTED_S,
                )

        def end() -> None:
            if incarnation != self.incarnation:
                return
            self.running[replica.edition] -= 1
            is_failed = replica.is_gone or attempt.status >= 500
            kind = report_source.AttemptEvent.FAILED if is_failed else report_source.AttemptEvent.DONE
            attempt.is_complete = not replica.is_gone
            router.note_attempt_end(
                service=SERVICE,
                route=route,
                attempt=typing.cast(attempts.Attempt, attempt),
                kind=kind,
                latency_target_s=LATENCY_TARGET_S,
                expected_s=EXPECTED_S,
            )
            simulation.checks.note_answer(attempt)
            if is_failed and is_first:
                self._send(route=route, is_first=False)

        simulation.world.later(attempt.first_event_at - attempt.sent_at, begin)
        simulation.world.later(attempt.last_event_at - attempt.sent_at, end)
