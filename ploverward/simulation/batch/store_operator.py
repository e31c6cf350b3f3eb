"""Operator in a run of the stores: has stores emptied, removes them, and replaces them (docs/batch.md 6, 8).

The operator acts on the answers of the production code (`store_retirement`). A machine that was reported as emptied is
removed with its disk, which does not count as a loss. Disks of other stores may be lost right after.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Callable

from ploverward.common import batch_partitions
from ploverward.common import errors
from ploverward.control_plane.cluster import store_retirement
from ploverward.simulation.batch import scene
from ploverward.simulation.batch import simulated_store

REMOVED_AFTER_S = 8.0  # time after which an emptied store that is away counts as removed
POLL_INTERVAL_S = 0.3
ROUND_S = (0.002, 0.15)  # bounds of the duration of a round of the register
SLOW_ROUND_S = (0.15, 1.0)  # the same for a round that meets lost messages or machines
SLOW_ROUND_CHANCE = 0.1
REMOVAL_DELAY_S = (0.0, 1.0)  # bounds of the time between the answer and the removal of the machine
REPLACEMENT_DELAY_S = (1.0, 14.0)  # bounds of the time until another machine has the name of the removed one
WITHDRAWAL_CHANCE = 0.5  # that the operator withdraws the retirement when a machine with the same name is added


@dataclasses.dataclass(frozen=True, kw_only=True)
class Register:
    """The register of singleton roles, as the operator uses it.

    Attributes:
        roles: Returns the value.
        change: Replaces the value by the result of a function of it.
        known: Returns the identities of the stores that the core knows.
    """

    roles: Callable[[], store_retirement.Roles]
    change: Callable[[Callable[[store_retirement.Roles], store_retirement.Roles]], None]
    known: Callable[[], store_retirement.KnownStores]


class StoreOperator:
    """The operator of one run.

    Args:
        run_scene: The run's stores, clock and model.
        register: The register of singleton roles.
        lost_machines: Returns the names of the stores that count as lost.
        until: Simulated time in seconds after which no machine is replaced.

    Attributes:
        removed: Names of the stores whose machines are removed and not replaced yet.
        pending: Names of the stores that are to be emptied and were not reported as emptied yet.
    """

    def __init__(
        self, *, run_scene: scene.StoreScene, register: Register, lost_machines: Callable[[], set[str]], until: float
    ) -> None:
        self.removed: set[str] = set()
        self.pending: set[str] = set()
        self._scene = run_scene
        self._clock = run_scene.clock
        self._chance = run_scene.chance
        self._register = register
        self._lost_machines = lost_machines
        self._until = until
        self._ordering: set[str] = set()  # the round of the order is in progress
        self._emptied: set[str] = set()  # reported as emptied; nothing may be placed there before it is replaced

    def retire(self, store: simulated_store.SimulatedStore, *, on_removed: Callable[[], None]) -> None:
        """Orders the retirement of a store.

        Args:
            store: The store.
            on_removed: Called right after its machine was removed.
        """
        busy = {*self.removed, *self.pending, *self._emptied, *self._ordering}
        if store.name in busy or store.name not in self._register.known():
            return
        self._ordering.add(store.name)

        def change(roles: store_retirement.Roles) -> store_retirement.Roles:
            self._ordering.discard(store.name)
            known = self._register.known()
            try:
                changed = store_retirement.with_retirement(
                    roles,
                    name=store.name,
                    address=store.name,
                    known=known,
                    zones={name: other.zone for name, other in self._scene.stores.items() if other.is_alive},
                    copies=scene.COPIES,
                )
            except errors.TooFewStoresError:
                return roles
            self.pending.add(store.name)
            delay = self._chance.uniform(0.0, POLL_INTERVAL_S)
            self._clock.later(delay=delay, callback=functools.partial(self._poll, store, on_removed))
            return changed

        self._register.change(change)

    def _poll(self, store: simulated_store.SimulatedStore, on_removed: Callable[[], None]) -> None:
        """Asks whether the store is emptied, as `RetireHandlers` answers it; if so, removes its machine."""
        roles = self._register.roles()
        retirement = store_retirement.retirement_of(roles, store.name)
        addresses = store_retirement.addresses_of(store.name, retirement, known=self._register.known())
        if not retirement.is_ordered or not store_retirement.is_emptied(roles, addresses, copies=scene.COPIES):
            self._clock.later(delay=POLL_INTERVAL_S, callback=functools.partial(self._poll, store, on_removed))
            return
        self._scene.record(f"{store.name} is reported as emptied")
        self.pending.discard(store.name)
        self._emptied.add(store.name)
        self.check_arrangement()
        self._check_copies(store)
        delay = self._chance.uniform(*REMOVAL_DELAY_S)
        self._clock.later(delay=delay, callback=functools.partial(self._remove, store, on_removed))

    def _remove(self, store: simulated_store.SimulatedStore, on_removed: Callable[[], None]) -> None:
        self._scene.record(f"{store.name} is removed")
        self.removed.add(store.name)
        store.stop(keeps_disk=False)
        on_removed()
        delay = self._chance.uniform(*REPLACEMENT_DELAY_S)
        self._clock.later(delay=delay, callback=functools.partial(self._replace, store))

    def _replace(self, store: simulated_store.SimulatedStore) -> None:
        """Adds an empty machine with the name of a removed one."""
        if self._clock.time > self._until:
            return
        is_withdrawn = self._chance.random() < WITHDRAWAL_CHANCE
        self._scene.record(f"{store.name} is replaced{', its retirement is withdrawn' if is_withdrawn else ''}")
        if is_withdrawn:
            self._register.change(functools.partial(self._withdraw, store))
        else:
            self._start_replacement(store)

    def _withdraw(self, store: simulated_store.SimulatedStore, roles: store_retirement.Roles) -> store_retirement.Roles:
        self._start_replacement(store)
        return store_retirement.without_retirement(roles, name=store.name)

    def _start_replacement(self, store: simulated_store.SimulatedStore) -> None:
        self.removed.discard(store.name)
        self._emptied.discard(store.name)
        store.start()

    def _check_copies(self, emptied: simulated_store.SimulatedStore) -> None:
        """Checks that a store is reported as emptied only when other stores have enough copies.

        From then on it does not count as lost, so that many more disks may be lost at once.
        """
        owners = self._scene.owners
        lost = self._lost_machines() - {emptied.name}
        if owners.members and len(owners.members) + len(lost) < scene.COPIES:
            self._scene.model.note_finding(f"RETIRED {emptied.name}: reported as emptied with copies at {owners}")

    def check_arrangement(self) -> None:
        """Checks that no store that was reported as emptied is named by an arrangement."""
        owners = batch_partitions.owners_of(partition=scene.PARTITION, roles=self._register.roles())
        for name in sorted(self._emptied & {*owners.stores, *owners.learners}):
            self._scene.model.note_finding(f"RETIRED {name}: reported as emptied, but named by {owners}")

    def check_end(self) -> None:
        """Checks that each store that was to be emptied was reported as emptied."""
        for name in sorted(self.pending):
            self._scene.model.note_finding(f"RETIRED {name}: not emptied in the time without faults")
