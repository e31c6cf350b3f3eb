"""Names of the replicated registers."""

CONFIGURATION = "spec"
EVACUATIONS = "evac"
SINGLETON_ROLES = "duty"
ROLLOUTS = "rollouts"  # admitted versions and roll-outs (ploverward/control_plane/rollouts/state.py)
ARCHIVE = "orders"  # marks of orders taken long ago (ploverward/control_plane/configuration/order_archive.py)
CORE_SET = "cores"  # last: it moves after the others
REGISTERS = (CONFIGURATION, EVACUATIONS, ROLLOUTS, SINGLETON_ROLES, ARCHIVE, CORE_SET)
MINIMUM_VERSION_REGISTERS = (
    CONFIGURATION,
    EVACUATIONS,
    ROLLOUTS,
)  # a starting proxy serves only with what may have been acknowledged
