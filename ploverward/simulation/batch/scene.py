"""What the parts of a run of the stores share: the partition that is played, its stores, the clock and the model."""

import dataclasses
import random
from collections.abc import Callable

from ploverward.common import batch_partitions
from ploverward.simulation.batch import job_model
from ploverward.simulation.batch import simulated_store
from ploverward.simulation.batch import store_network
from ploverward.simulation.control_plane import simulated_clock

CORE = "core"  # the name that links to the coordinator have
TENANT = "t0"
PARTITION = batch_partitions.partition_of(TENANT)  # of the partition
COPIES = 3
MAX_QUEUED_TOKENS = 400


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreScene:
    """One run, as its callers and its faults see it.

    Attributes:
        clock: The simulated time.
        chance: Draws what happens.
        network: Joins the stores and the coordinator.
        stores: By name.
        model: What callers were told.
        rows: Returns the singleton roles as the register has them.
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
        """Who has the partition, as the register has it."""
        return batch_partitions.owners_of(partition=PARTITION, roles=self.rows())
