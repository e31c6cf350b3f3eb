"""State shared by the parts of a run: the simulated partition, its stores, the clock and the model."""

import dataclasses
import random
from collections.abc import Callable

from ploverward.common import batch_partitions
from ploverward.simulation.batch import job_model
from ploverward.simulation.batch import simulated_store
from ploverward.simulation.batch import store_network
from ploverward.simulation.control_plane import simulated_clock

CORE = "core"  # name of the coordinator on the network
TENANT = "t0"
PARTITION = batch_partitions.partition_of(TENANT)  # the only partition of the simulation
COPIES = 3
MAX_QUEUED_TOKENS = 400
MAX_TRIES = 3


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreScene:
    """One run, as its callers and its faults access it.

    Attributes:
        clock: Simulated clock.
        chance: Random generator of the run.
        network: Connects the stores and the coordinator.
        stores: Stores by name.
        model: Checks the answers that callers receive.
        rows: Returns the singleton roles stored in the register.
        record: Adds a line to the history.
    """

    clock: simulated_clock.Clock
    chance: random.Random
    network: store_network.Network
    stores: dict[str, simulated_store.SimulatedStore]
    model: job_model.JobModel
    rows: Callable[[], dict[str, tuple]]
    record: Callable[[str], None]

    @property
    def owners(self) -> batch_partitions.PartitionOwners:
        """Owners of the partition according to the register."""
        return batch_partitions.owners_of(partition=PARTITION, roles=self.rows())
