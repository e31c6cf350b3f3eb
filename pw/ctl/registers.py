"""Names of the replicated registers."""

CONFIGURATION = "spec"
EVACUATIONS = "evac"
DUTIES = "duty"
CORE_SET = "cores"
REGISTERS = (CONFIGURATION, EVACUATIONS, DUTIES, CORE_SET)
