"""One run of the stores in simulated time: seeded faults, callers, a coordinator and checks (docs/batch.md 8).

The coordinator runs the production code for its decisions (`partition_placement`); its register is modelled as one
value that is changed by compare-and-set on the epoch. The number of disks lost at once stays within what the copies
tolerate; any number of machines and links may fail.
"""

from __future__ import annotations

import dataclasses
import random
import typing
from collections.abc import Callable

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import partition_placement
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.cluster import store_retirement
from ploverward.simulation.batch import job_model
from ploverward.simulation.batch import scene
from ploverward.simulation.batch import simulated_store
from ploverward.simulation.batch import store_callers
from ploverward.simulation.batch import store_faults
from ploverward.simulation.batch import store_network
from ploverward.simulation.batch import store_operator
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_disk
from ploverward.transport import batch_messages

TIMEOUTS = partition_placement.PlacementTimeouts(failover_s=0.5, replacement_s=3.0)
COORDINATION_INTERVAL_S = 0.2
DISCONNECT_DETECTION_S = 0.8  # after which the coordinator notices a partition or a frozen process
FAULT_START_S = 4.0
RECOVERY_S = 12.0  # fault-free time before the final check


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """Parameters of one run.

    Attributes:
        seed: Seed of the run's random generators.
        stores: Number of stores, which are spread over five zones.
        length_s: Duration of the phase with faults.
        fault_s: Mean interval between faults; 0 to draw it from the run's generator.
        kinds: Kinds of faults to draw from.
        sync_s: Bounds of the duration of a disk sync; None to draw them from the run's generator.
        skipped_faults: Numbers of faults that are drawn but not begun.
    """

    seed: int
    stores: int = 6
    length_s: float = 30.0
    fault_s: float = 0.0
    kinds: tuple[str, ...] = store_faults.FAULT_KINDS
    sync_s: tuple[float, float] | None = None
    skipped_faults: frozenset[int] = frozenset()


class BatchRun:
    """One run of the simulation.

    Attributes:
        model: Checks the answers that callers receive.
        findings: Descriptions of failed checks.
        faults: Draws and begins faults.
        history: (time, text) of each fault, arrangement and finding.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.clock = simulated_clock.Clock(seed=plan.seed)
        self.chance = random.Random(plan.seed + 1)
        self.network = store_network.Network(self.clock)
        self.model = job_model.JobModel(
            max_queued_tokens=scene.MAX_QUEUED_TOKENS,
            max_tries=scene.MAX_TRIES,
            on_finding=lambda text: self.record(f"FINDING {text}"),
        )
        self.history: list[tuple[float, str]] = []
        self.rows: dict[str, typing.Any] = {}
        self.rounds = 0
        self._known: dict[str, batch_messages.StoreIdentity] = {}
        self._reports: dict[int, tuple[str, float, batch_messages.CopyReport]] = {}
        fault_s = plan.fault_s or self.chance.choice(store_faults.FAULT_INTERVALS_S)
        sync_s = plan.sync_s or self.chance.choice(simulated_disk.SPEEDS_S[:3])
        self.stores = {
            f"s{number}": simulated_store.SimulatedStore(
                name=f"s{number}",
                zone=f"z{number % 5}",
                network=self.network,
                find=lambda name: self.stores[name],
                sync_s=sync_s,
                send_report=self._record_report,
                on_failure=lambda process, text: self.model.note_finding(f"step of {process.name}: {text}"),
            )
            for number in range(plan.stores)
        }
        self._faults_until = FAULT_START_S + plan.length_s
        run_scene = scene.StoreScene(
            clock=self.clock,
            chance=self.chance,
            network=self.network,
            stores=self.stores,
            model=self.model,
            rows=lambda: self.rows,
            record=self.record,
        )
        self._operator = store_operator.StoreOperator(
            run_scene=run_scene,
            register=store_operator.Register(
                roles=lambda: self.rows, change=self._change_register, known=self._known_stores
            ),
            lost_machines=self._lost_machines,
            until=self._faults_until,
        )
        self.faults = store_faults.StoreFaults(
            run_scene=run_scene,
            kinds=plan.kinds,
            skipped=plan.skipped_faults,
            pause_s=fault_s,
            until=self._faults_until,
            publish=self._publish,
            store_operator=self._operator,
        )
        self._callers = store_callers.StoreCallers(run_scene=run_scene, until=self._faults_until)

    @property
    def findings(self) -> list[str]:
        """Descriptions of failed checks."""
        return self.model.findings

    def record(self, text: str) -> None:
        """Adds a line to the history."""
        self.history.append((self.clock.time, text))

    def play(self) -> list[str]:
        """Plays the run and returns the descriptions of failed checks."""
        for store in self.stores.values():
            store.start()
        self.clock.later(delay=0.5, callback=lambda: self._coordinate(may_place=True))
        self.clock.run(until=FAULT_START_S)
        self._callers.schedule()
        self.faults.schedule()
        self.clock.run(until=self._faults_until)
        self.faults.heal()
        self.clock.run(until=self.clock.time + RECOVERY_S)
        self._check_final_state()
        return self.findings

    def _lost_machines(self) -> set[str]:
        return self.faults.lost_machines()

    # Coordinator.
    def _record_report(self, name: str, report: batch_messages.CopyReport) -> None:
        if self.network.is_reachable(name, scene.CORE):
            self._reports[report.partition] = (name, self.clock.time, report)

    def _coordinate(self, *, may_place: bool = False) -> None:
        self.clock.later(delay=COORDINATION_INTERVAL_S, callback=self._coordinate)
        if self.clock.time < self.faults.coordinator_down_until:
            return
        view = self._placement_view(may_place=may_place)
        name = batch_partitions.role_name(scene.PARTITION)
        row = partition_placement.arrangement_changes(view).get(name)
        if row is not None:
            self._change_register(lambda roles: self._with_arrangement(roles, name, row))
        self._complete_retirements()

    def _complete_retirements(self) -> None:
        completed = store_retirement.completed_retirements(
            self.rows,
            known=self._known_stores(),
            copies=scene.COPIES,
            is_removed=lambda name: self._disconnected_for_s(self.stores[name]) >= store_operator.REMOVED_AFTER_S,
        )
        if completed:
            self._change_register(
                lambda roles: {
                    **roles,
                    **{
                        name: (row.epoch + 1, row.address, row.incarnation)
                        for name, row in completed.items()
                        if roles[name][0] == row.epoch
                    },
                }
            )

    def _with_arrangement(
        self, roles: store_retirement.Roles, name: str, row: singleton_roles.RoleOwner
    ) -> store_retirement.Roles:
        """Returns the register with an arrangement, unless another round has changed it or the store is retiring."""
        is_current = roles.get(name, (0,))[0] == row.epoch
        if not is_current or not store_retirement.admits(roles, name, row, known=self._known_stores()):
            return roles
        return {**roles, name: (row.epoch + 1, row.address, row.incarnation)}

    def _change_register(self, change: Callable[[store_retirement.Roles], store_retirement.Roles]) -> None:
        """Models a round of the register, which applies a change to the value that it has at the end of the round."""

        def apply() -> None:
            changed = change(self.rows)
            if changed == self.rows:
                return
            for name in changed.keys() | self.rows.keys():
                if changed.get(name) != self.rows.get(name):
                    self.record(f"{_described(name)} {changed.get(name)}")
            self.rows = dict(changed)
            self.rounds += 1
            self._operator.check_arrangement()
            for store in self.stores.values():
                self._publish(store)

        is_slow = self.chance.random() < store_operator.SLOW_ROUND_CHANCE
        bounds = store_operator.SLOW_ROUND_S if is_slow else store_operator.ROUND_S
        self.clock.later(delay=self.chance.uniform(*bounds), callback=apply)

    def _known_stores(self) -> dict[str, batch_messages.StoreIdentity]:
        """Returns the identities of the stores as they were when the core was last connected to them."""
        for name, store in self.stores.items():
            if store.is_alive and store.disk.is_ready and self._disconnected_for_s(store) == 0.0:
                self._known[name] = batch_messages.StoreIdentity(name, store.disk.identity, store.incarnation)
        return self._known

    def _publish(self, store: simulated_store.SimulatedStore) -> None:
        delay = self.chance.uniform(0.002, 0.05) if self.chance.random() < 0.9 else self.chance.uniform(0.05, 1.5)
        rows = self.rows

        def arrive() -> None:
            if store.is_alive and self.network.is_reachable(scene.CORE, store.name):
                store.install(rows)

        self.clock.later(delay=delay, callback=arrive, process=store.process)

    def _placement_view(self, *, may_place: bool) -> partition_placement.PlacementView:
        arrangements = {scene.PARTITION: batch_partitions.owners_of(partition=scene.PARTITION, roles=self.rows)}
        arrangements = {number: owners for number, owners in arrangements.items() if owners.members}
        reports = {
            number: report
            for number, (name, at, report) in self._reports.items()
            if number in arrangements
            and (name, report.epoch) == (arrangements[number].primary, arrangements[number].epoch)
            and self.clock.time - at <= 1.0
        }
        return partition_placement.PlacementView(
            stores={name: self._store_state(store) for name, store in self.stores.items()},
            arrangements=arrangements,
            reports=reports,
            copies=scene.COPIES,
            may_place=may_place,
            timeouts=TIMEOUTS,
            never_connected_for_s=1e9,
        )

    def _store_state(self, store: simulated_store.SimulatedStore) -> partition_placement.StoreState:
        disconnected_for_s = self._disconnected_for_s(store)
        is_ready = store.is_alive and store.disk.is_ready
        return partition_placement.StoreState(
            address=store.name,
            zone=store.zone,
            disk=store.disk.identity,
            process=store.incarnation,
            is_connected=is_ready and disconnected_for_s == 0.0,
            disconnected_for_s=disconnected_for_s,
            is_retiring=store.name in store_retirement.retiring_addresses(self.rows, known=self._known_stores()),
        )

    def _disconnected_for_s(self, store: simulated_store.SimulatedStore) -> float:
        """Returns for how long the core has received nothing; partitions and frozen processes show with a delay."""
        is_partitioned = not self.network.is_reachable(store.name, scene.CORE) or not self.network.is_reachable(
            scene.CORE, store.name
        )
        if store.is_alive and store.process is not None and not store.process.is_frozen and not is_partitioned:
            return 0.0
        since = store.down_since
        return max(0.0, self.clock.time - since - (0.0 if not store.is_alive else DISCONNECT_DETECTION_S))

    # Final check.
    def _check_final_state(self) -> None:
        """Checks that, after the faults, all copies exist again, a primary serves, and no answered data is missing."""
        self._operator.check_end()
        owners = batch_partitions.owners_of(partition=scene.PARTITION, roles=self.rows)
        if len(owners.members) < scene.COPIES or owners.learners:
            self.model.note_finding(f"not whole again: {owners}")
        primary = self.stores[owners.primary]
        owned = primary.primary.owned.get(scene.PARTITION)
        if owned is None or not owned.is_serving:
            self.model.note_finding(f"nobody serves: {owners}")
            return
        for job_id in self.model.jobs:
            self._callers.read_from(primary, job_id)
        self.clock.run(until=self.clock.time + 1.0)


def _described(role: str) -> str:
    return "retirement" if role.startswith(store_retirement.ROLE_PREFIX) else "arrangement"
