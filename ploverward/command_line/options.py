"""Flags of all verbs.

They are defined here rather than in the modules of their verbs: a process knows its verb only after all flags are
parsed, and a starting node must not load the modules of operators' verbs to define their flags.
"""

from absl import flags

FLAGS = flags.FLAGS

# Nodes.
flags.DEFINE_bool("chatty", False, "nodes: write every note at once, not only when something goes wrong")
flags.DEFINE_float("work_log_s", 0.0, "nodes: seconds between two log events with counts of their work; 0: none")

# Operators' verbs that call core nodes.
flags.DEFINE_list("core", [], "operator tools: dispatch addresses of core nodes, ADDRESS:PORT, by commas")
flags.DEFINE_bool("json", False, "operator tools: machine-readable output")

# custody
flags.DEFINE_bool("audit", False, "custody: check all trails that are kept")

# pins
flags.DEFINE_integer("capacity", 0, "pins: adapters that a replica can keep pinned; 0: as many as one is seen to hold")
flags.DEFINE_string(
    "previous",
    "",
    "pins: a file with an earlier output of pins --json, which the suggestion changes no more than it must",
)
flags.DEFINE_string("service", "", "pins: only this service")
flags.DEFINE_string("model", "", "pins: only this model")
flags.DEFINE_string("zone", "", "pins: only replicas of this zone")
flags.DEFINE_string("replica", "", "pins: only this replica")

# rollout
flags.DEFINE_float("over_s", 0.0, "rollout start: seconds within which the traffic is to have moved")

# drill
flags.DEFINE_float("watch_s", 10.0, "drill: how long the zone stays out after evacuateMs")

# simulate
flags.DEFINE_enum("world", "control", ["control", "rollouts"], "simulate: which model is played")
flags.DEFINE_integer("seeds", 100, "simulate: how many days are played")
flags.DEFINE_integer("first", 0, "simulate: the first day's seed")
flags.DEFINE_integer("machines", 0, "simulate: core machines, 3, 5, 6 or 7; 0: drawn by the seed")
flags.DEFINE_integer("tolerate", 0, "simulate: machines that may be lost at once; 0: drawn by the seed")
flags.DEFINE_string("troubles", "", "simulate: only these kinds, by commas")
flags.DEFINE_bool("tallies", False, "simulate: applications use tallies, and there are long partitions")
flags.DEFINE_integer("jobs", 1, "simulate: processes that play at the same time")
flags.DEFINE_integer("history", -1, "simulate: prints all that happens on the day of this seed")
flags.DEFINE_bool("state", False, "simulate: prints a digest of the modules that are played")
flags.DEFINE_bool("planted", False, "simulate: shows that the checks find each planted fault")
