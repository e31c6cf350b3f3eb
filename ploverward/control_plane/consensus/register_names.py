"""Names of the replicated registers, as they are sent and stored."""

CONFIGURATION = "spec"
EVACUATIONS = "evac"
SINGLETON_ROLES = "duty"
ROLLOUTS = "rollouts"  # admitted versions and roll-outs (ploverward/control_plane/rollouts/state.py)
ARCHIVE = "orders"  # ids of orders applied long ago (ploverward/control_plane/configuration/order_archive.py)
CORE_SET = "cores"  # last: it moves after the others
REGISTERS = (CONFIGURATION, EVACUATIONS, ROLLOUTS, SINGLETON_ROLES, ARCHIVE, CORE_SET)
# A starting proxy serves only with versions of these at least as new as any that may have been acknowledged.
MINIMUM_VERSION_REGISTERS = (CONFIGURATION, EVACUATIONS, ROLLOUTS)
