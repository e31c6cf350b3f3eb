"""The names of the replicated registers, as they are sent and stored."""

CONFIGURATION = "spec"
EVACUATIONS = "evac"
SINGLETON_ROLES = "duty"
ROLLOUTS = "rollouts"  # admitted versions and rollouts (ploverward/control_plane/rollouts/state.py)
ARCHIVE = "orders"  # ids of orders applied long ago (ploverward/control_plane/configuration/order_archive.py)
CORE_SET = "cores"
REGISTERS = (CONFIGURATION, EVACUATIONS, ROLLOUTS, SINGLETON_ROLES, ARCHIVE, CORE_SET)  # CORE_SET moves last
# A starting proxy serves only once its versions of these registers are as new as any that may have been acknowledged.
MINIMUM_VERSION_REGISTERS = (CONFIGURATION, EVACUATIONS, ROLLOUTS)
