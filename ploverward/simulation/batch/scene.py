"""What the parts of a run of the stores share: the one partition that is played, its tenant, its copies."""

from ploverward.common import batch_partitions

CORE = "core"  # the name that links to the coordinator have
TENANT = "t0"
NUMBER = batch_partitions.partition_of(TENANT)  # of the partition
COPIES = 3
MAX_QUEUED_TOKENS = 400
