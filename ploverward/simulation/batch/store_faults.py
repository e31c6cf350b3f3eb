"""Faults in a run of the stores: draws their kind and time, and injects them (docs/batch.md 8).

`StoreFaults` draws from the run's random generator. The number of disks lost at once stays within what the copies
tolerate; any number of machines and links may fail.
"""

from __future__ import annotations

from collections.abc import Callable

from ploverward.simulation.batch import scene
from ploverward.simulation.batch import simulated_store
from ploverward.simulation.batch import store_operator as store_operators

CATCH_UP_S = 6.0  # for how long a machine still counts as lost after its return
FAULT_KINDS = (
    "kill",
    "power",
    "wipe",
    "wipe two",
    "cut",
    "cut core",
    "one way",
    "freeze",
    "all",
    "coordinator",
    "half",
    "retire",
    "retire, wipe",
    "retire two",
)
FAULT_INTERVALS_S = (0.8, 2.5, 7.0)  # mean intervals; only long ones leave enough copies to lose a disk
FAULT_FREE_END_S = 1.0  # at the end of the phase with faults, in which no new fault begins

Injector = Callable[[simulated_store.SimulatedStore, float], None]  # (store, seconds)


class StoreFaults:
    """The faults of one run.

    Args:
        run_scene: The run's stores, clock and network.
        kinds: Kinds of faults to draw from.
        skipped: Numbers of faults that are drawn but not begun.
        pause_s: Mean interval between faults.
        until: Simulated time in seconds at which the phase with faults ends.
        publish: Sends a store the newest arrangement.
        store_operator: Has stores emptied and removes them.

    Attributes:
        coordinator_down_until: Simulated time at which the coordinator is back.
        drawn: Number of faults drawn so far; faults are numbered from 0.
    """

    def __init__(
        self,
        *,
        run_scene: scene.StoreScene,
        kinds: tuple[str, ...],
        skipped: frozenset[int],
        pause_s: float,
        until: float,
        publish: Callable[[simulated_store.SimulatedStore], None],
        store_operator: store_operators.StoreOperator,
    ) -> None:
        self.coordinator_down_until = 0.0
        self.drawn = 0
        self._scene = run_scene
        self._skipped = skipped
        self._record = run_scene.record
        self._clock = run_scene.clock
        self._chance = run_scene.chance
        self._network = run_scene.network
        self._stores = run_scene.stores
        self._kinds = kinds
        self._pause_s = pause_s
        self._until = until
        self._publish = publish
        self._operator = store_operator
        self._injectors: dict[str, Injector] = {
            "kill": self._stop,
            "power": lambda store, duration_s: self._stop(store, duration_s, has_power=False),
            "wipe": self._wipe,
            "wipe two": self._wipe_two,
            "cut": self._cut_off,
            "cut core": self._cut_core,
            "one way": self._cut_one_way,
            "freeze": self._freeze,
            "all": self._stop_all,
            "coordinator": self._stop_coordinator,
            "half": self._cut_in_half,
            "retire": self._retire,
            "retire, wipe": self._retire_and_wipe,
            "retire two": self._retire_two,
        }

    def schedule(self) -> None:
        """Draws the time of the next fault."""
        self._clock.later(delay=self._chance.expovariate(1 / self._pause_s), callback=self._inject_next)

    def _inject_next(self) -> None:
        if self._clock.time > self._until - FAULT_FREE_END_S:
            return
        self.schedule()
        kind = self._chance.choice(self._kinds)
        store = self._chance.choice(list(self._stores.values()))
        duration_s = self._chance.uniform(0.3, 4.0)
        number = self.drawn
        self.drawn += 1
        if number not in self._skipped:
            self._record(f"== {kind}, drawn for {store.name} and {duration_s:.2f} s")
            self._injectors[kind](store, duration_s)

    def lost_machines(self) -> set[str]:
        """Returns the machines that count as lost: down, partitioned, frozen, or back for less than `CATCH_UP_S`."""
        return {
            name
            for name, store in self._stores.items()
            if name not in self._operator.removed and self._is_lost(name, store)
        }

    def _is_lost(self, name: str, store: simulated_store.SimulatedStore) -> bool:
        return (
            not store.is_alive
            or (store.process is not None and store.process.is_frozen)
            or any(name in pair for pair in self._network.partitions)
            or self._clock.time - store.back_at < CATCH_UP_S
        )

    def _stop(self, store: simulated_store.SimulatedStore, duration_s: float, **options: bool) -> None:
        if not store.is_alive:
            return
        store.stop(**options)
        self._clock.later(delay=duration_s, callback=lambda: self._restart(store))

    def _restart(self, store: simulated_store.SimulatedStore) -> None:
        if not store.is_alive and store.name not in self._operator.removed:
            store.start()
            self._clock.later(delay=self._chance.uniform(0.05, 0.4), callback=lambda: self._publish(store))

    def _wipe(self, store: simulated_store.SimulatedStore, duration_s: float) -> None:
        if len(self.lost_machines() | {store.name}) < scene.COPIES:
            self._stop(store, duration_s, keeps_disk=False)

    def _wipe_two(self, _store: simulated_store.SimulatedStore, duration_s: float) -> None:
        """Wipes two disks of the partition; sometimes all other machines lose power at the same time."""
        members = list(self._scene.owners.stores)
        chosen = self._chance.sample(members, min(2, len(members)))
        if self.lost_machines() - set(chosen) or len(chosen) < scene.COPIES - 1:
            return
        for name in chosen:
            self._stop(self._stores[name], duration_s, keeps_disk=False)
        if self._chance.random() < 0.5:
            for other in self._stores.values():
                self._stop(other, self._chance.uniform(0.3, 2.0), has_power=False)

    def _stop_all(self, _store: simulated_store.SimulatedStore, _duration_s: float) -> None:
        has_power = self._chance.random() < 0.5
        for store in self._stores.values():
            self._stop(store, self._chance.uniform(0.3, 2.0), has_power=has_power)

    def _cut(self, pairs: set[tuple[str, str]], duration_s: float) -> None:
        new = pairs - self._network.partitions
        self._network.partitions |= new
        for name in {name for pair in new for name in pair if name in self._stores}:
            self._stores[name].down_since = self._clock.time

        def heal() -> None:
            self._network.partitions -= new
            for name in {name for pair in new for name in pair if name in self._stores}:
                self._stores[name].back_at = self._clock.time
                self._publish(self._stores[name])

        self._clock.later(delay=duration_s, callback=heal)

    def _cut_off(self, store: simulated_store.SimulatedStore, duration_s: float) -> None:
        others = [name for name in (*self._stores, scene.CORE) if name != store.name]
        if self._chance.random() < 0.5:
            others = self._chance.sample(others, 2)
        self._cut({pair for name in others for pair in ((name, store.name), (store.name, name))}, duration_s)

    def _retire(self, store: simulated_store.SimulatedStore, duration_s: float) -> None:
        """Has a store emptied; sometimes two disks are lost right after its machine was removed."""
        has_losses = self._chance.random() < 0.5
        if store.is_alive:
            self._operator.retire(store, on_removed=lambda: self._wipe_two(store, duration_s) if has_losses else None)

    def _retire_and_wipe(self, store: simulated_store.SimulatedStore, duration_s: float) -> None:
        """Has a store emptied that loses its disk in the meantime."""
        delay = self._chance.choice((0.0, 0.3, 1.0))
        if store.is_alive:
            self._operator.retire(store, on_removed=lambda: self._wipe_two(store, duration_s))
            self._clock.later(delay=delay, callback=lambda: self._wipe(store, self._chance.uniform(0.3, 1.5)))

    def _retire_two(self, store: simulated_store.SimulatedStore, duration_s: float) -> None:
        """Has two stores emptied at once."""
        self._retire(store, duration_s)
        other = self._chance.choice(list(self._stores.values()))
        delay = self._chance.uniform(0.0, 0.5)
        self._clock.later(delay=delay, callback=lambda: self._retire(other, duration_s))

    def _cut_core(self, store: simulated_store.SimulatedStore, duration_s: float) -> None:
        self._cut({(scene.CORE, store.name), (store.name, scene.CORE)}, duration_s)

    def _cut_one_way(self, store: simulated_store.SimulatedStore, duration_s: float) -> None:
        others = [name for name in (*self._stores, scene.CORE) if name != store.name]
        is_inbound = self._chance.random() < 0.5
        self._cut({(name, store.name) if is_inbound else (store.name, name) for name in others}, duration_s)

    def _cut_in_half(self, _store: simulated_store.SimulatedStore, duration_s: float) -> None:
        side = set(self._chance.sample(list(self._stores), len(self._stores) // 2))
        rest = set(self._stores) - side
        self._cut({pair for one in side for two in rest for pair in ((one, two), (two, one))}, duration_s)

    def _freeze(self, store: simulated_store.SimulatedStore, duration_s: float) -> None:
        process = store.process
        if process is None or not process.is_alive or process.is_frozen:
            return
        process.is_frozen = True
        store.down_since = self._clock.time

        def thaw() -> None:
            if process.is_alive and process.is_frozen:
                store.back_at = self._clock.time
                process.thaw()
                self._publish(store)

        self._clock.later(delay=duration_s, callback=thaw)

    def _stop_coordinator(self, _store: simulated_store.SimulatedStore, duration_s: float) -> None:
        self.coordinator_down_until = self._clock.time + duration_s

    def heal(self) -> None:
        """Ends all remaining faults."""
        self._network.partitions.clear()
        self.coordinator_down_until = 0.0
        for store in self._stores.values():
            if store.process is not None and store.process.is_frozen:
                store.process.thaw()
            self._restart(store)
            self._publish(store)
