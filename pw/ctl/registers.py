"""Names of the replicated registers."""

CONFIGURATION = "spec"
EVACUATIONS = "evac"
DUTIES = "duty"
ARCHIVE = "orders"  # marks of orders taken long ago (pw/ctl/configuration/archive.py)
CORE_SET = "cores"  # last: it moves after the others
REGISTERS = (CONFIGURATION, EVACUATIONS, DUTIES, ARCHIVE, CORE_SET)
