"""Nodes of the roll-out simulation: replicas of two versions, core nodes and proxies.

The manager of a core node and the router of a proxy are the real ones; requests, heartbeats and the network are
simulated. Each node belongs to a `ploverward.simulation.rollout_simulation.RolloutSimulation`.
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
BATCH_SLOTS = 16  # per replica
LATENCY_TARGET_S = 0.8
EXPECTED_FIRST_EVENT_S = 0.05  # from sending a request to its first event
CONTACT_DIVISOR = 5  # a proxy whose last report is older than contactMs / CONTACT_DIVISOR is out of contact


class Settings:
    """Settings of the simulated deployment: the bounds that the roll-out manager reads."""

    def bound(self, *, name: str, default: float = 0.0) -> float:
        """Returns a bound by its name."""
        return {"exposureShare": EXPOSURE.share, "exposureSlack": EXPOSURE.slack}.get(name, default)

    def bound_s(self, *, name: str, default: float = 0.0) -> float:
        """Returns a bound that is a duration, in seconds."""
        return {"rollbackMs": ROLLBACK_S}.get(name, default)


class Replica:
    """A replica of one version.

    Attributes:
        id: Its identifier.
        key: Its key in rows.
        zone: Its zone.
        edition: Its version.
        is_gone: Whether it has stopped.
        is_faulty: Whether it fails some requests, independently of its version.
    """

    def __init__(self, *, name: str, zone: str, edition: str) -> None:
        self.id = name
        self.key = row_codec.replica_key(name)
        self.zone = zone
        self.edition = edition
        self.is_gone = False
        self.is_faulty = False

    def row(self, *, is_warming_up: bool) -> dict[str, Any]:
        """Returns its row in the platform's list."""
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
        """This replica as the type that routers expect; they read only the fields that it has."""
        return typing.cast(replicas.Replica, self)


@dataclasses.dataclass(frozen=True)
class SimulatedConnection:
    """A connection on which the request was sent."""

    is_unsent: bool = False


@dataclasses.dataclass(kw_only=True)
class SimulatedAttempt:
    """An attempt, with the fields of `ploverward.data_plane.requests.attempts.Attempt` that a router reads.

    Its answer is drawn when it is sent. `is_bad` says whether the answer shows the defect of a bad version.
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
    """A core node: its roll-out manager and its contact with proxies and with the other core nodes.

    Attributes:
        simulation: The simulation that it belongs to.
        name: Its name.
        is_partitioned: Whether the network cuts it off.
        contact_until: Simulated time until which it counts as in contact with a majority.
        is_up: Whether its process runs.
        proxies: Time of the last report of each proxy.
        rollout_manager: The real manager, active while the node has the coordinator's role.
    """

    def __init__(self, *, simulation: rollout_simulation.RolloutSimulation, name: str) -> None:
        self.simulation = simulation
        self.name = name
        self.is_partitioned = False
        self.contact_until = 0.0
        self.start()

    def start(self) -> None:
        """Restarts the process, which reads the register from its disk."""
        simulation = self.simulation
        self.is_up = True
        self.proxies: dict[evidence_table.Origin, float] = {}
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
        # The coordinator is notified of the end of a round after the value is chosen.
        simulation.world.later(simulation.chance.uniform(0.02, 0.3), lambda: simulation.apply_edit(edit))
        simulation.world.later(
            simulation.chance.uniform(0.3, 0.6),
            lambda: done(None, 0, None, None) if rollout_manager is self.rollout_manager else None,
        )

    def run_heartbeat(self) -> None:
        """Runs one heartbeat: reconciles as coordinator while in contact, else deactivates the manager."""
        now = self.simulation.world.now()
        if not self.is_partitioned:
            self.contact_until = now + 0.3 * CONTACT_S
        if self.is_up and self.simulation.holds_coordinator_role(self) and now < self.contact_until:
            self.rollout_manager.reconcile()
        else:
            self.rollout_manager.deactivate()


class Proxy:
    """A proxy: its router, its traffic and its heartbeats.

    Args:
        simulation: The simulation that it belongs to.
        name: Its name.
        per_s: Mean rate of its requests, per second.

    Attributes:
        is_partitioned: Whether the network cuts it off from the core nodes.
        frozen_until: Simulated time until which its process is frozen.
        incarnation: Number of starts of its process.
        running: Number of attempts in progress, by version.
        report_sent_at: Time at which it sent its last report.
        lease_report_sent_at: Time at which it sent the newest report that was answered with leases.
        router: The real version router.
        core: Name of the core node that it takes for the coordinator.
    """

    def __init__(self, *, simulation: rollout_simulation.RolloutSimulation, name: str, per_s: float) -> None:
        self.simulation = simulation
        self.name = name
        self.per_s = per_s
        self.is_partitioned = False
        self.frozen_until = 0.0
        self.incarnation = 0
        self.start()

    def start(self) -> None:
        """Restarts the process."""
        self.incarnation += 1
        self.running: collections.Counter[str] = collections.Counter()
        self.report_sent_at = 0.0
        self.lease_report_sent_at = 0.0
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
        """Installs the value of the register."""
        if payload is not None:
            self.router.install(payload)

    @property
    def is_in_contact(self) -> bool:
        """Whether it is neither frozen nor partitioned from the core nodes."""
        return not self.is_partitioned and self.simulation.world.now() >= self.frozen_until

    def send_report(self) -> None:
        """Sends a report to the core node that it takes for the coordinator, as at each heartbeat."""
        simulation = self.simulation
        if not self.is_in_contact:
            return
        report = self.router.report()
        self.report_sent_at = simulation.world.now()
        origin = evidence_table.Origin(address=self.name, incarnation=str(self.incarnation))
        if simulation.chance.random() < 0.3 or not simulation.cores[self.core].is_up:
            self.core = simulation.coordinator  # it detects a change of coordinator with a delay
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
        """Handles the arrival of a report at a core node, which may answer with leases."""
        if not core.is_up:
            return
        core.proxies[origin] = self.simulation.world.now()
        if report is None:
            return
        answer = core.rollout_manager.handle_evidence(origin=origin, message=report, proxy_count=len(core.proxies))
        if answer is None:
            return
        self.simulation.checks.note_leases(core)
        report_sent_at = self.report_sent_at

        def handle_leases() -> None:
            if router is self.router and not self.is_partitioned:
                self.lease_report_sent_at = max(self.lease_report_sent_at, report_sent_at)
                router.handle_leases(answer)

        self.simulation.world.later(self.simulation.chance.uniform(0.005, 0.4), handle_leases)

    def request(self) -> None:
        """Sends one request, which is retried once, at the former version, if it fails."""
        simulation = self.simulation
        if simulation.world.now() >= self.frozen_until:
            self._send(route=simulation.chance.choice(ROUTES), is_first=True)

    def _choose_replica(self, *, is_first: bool) -> Replica | None:
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
        replica = self._choose_replica(is_first=is_first)
        if replica is None:
            return
        router.note_send(service=SERVICE, replica=replica.as_real)
        self.running[replica.edition] += 1
        simulation.checks.note_send(self, replica)
        attempt = simulation.make_attempt(replica, route)

        def handle_first_event() -> None:
            if (
                incarnation == self.incarnation
                and attempt.response_class is attempts.ResponseClass.SUCCESS
                and not replica.is_gone
            ):
                router.note_first_event(
                    service=SERVICE,
                    route=route,
                    attempt=typing.cast(attempts.Attempt, attempt),
                    expected_s=EXPECTED_FIRST_EVENT_S,
                )

        def handle_end() -> None:
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
                expected_s=EXPECTED_FIRST_EVENT_S,
            )
            simulation.checks.note_answer(attempt)
            if is_failed and is_first:
                self._send(route=route, is_first=False)

        simulation.world.later(attempt.first_event_at - attempt.sent_at, handle_first_event)
        simulation.world.later(attempt.last_event_at - attempt.sent_at, handle_end)
