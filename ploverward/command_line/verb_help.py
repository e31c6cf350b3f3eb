"""Texts of `python3 -m ploverward VERB --help`: purpose, arguments, flags, exit codes and an example of each verb.

`options` defines the flags of all verbs; this module lists them by verb, with the unit of each value.
"""

import dataclasses
import textwrap

from ploverward.command_line import exit_codes

WIDTH = 110
CORE_FLAG = "--core ADDRESS:PORT[,...]"
CORE_TEXT = "core nodes to call, by commas; without it, the seeds of PLOVERWARD_NODE_FILE"
JSON_FLAG = "--json"
JSON_TEXT = "machine-readable output"
CORE_FLAGS = {CORE_FLAG: CORE_TEXT}
CORE_AND_JSON_FLAGS = {**CORE_FLAGS, JSON_FLAG: JSON_TEXT}
NODE_FLAGS = {
    "--chatty": "write every log event at once, not only errors and steps of roll-outs",
    "--work_log_s S": "log turns of the loop, calls and frames by kind, each S seconds (0: never)",
}
NODE_CODES = {
    exit_codes.ExitCode.SUCCESS: "the node was shut down by SIGTERM",
    exit_codes.ExitCode.USAGE_ERROR: "a settings file that is missing or malformed",
}
CALL_CODES = {
    exit_codes.ExitCode.SUCCESS: "done",
    exit_codes.ExitCode.FAILURE: "refused",
    exit_codes.ExitCode.USAGE_ERROR: "wrong arguments, or no core node answered",
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class VerbHelp:
    """Help of one verb.

    Attributes:
        synopses: Forms of its call, without the program name.
        description: One or two sentences on what it does.
        codes: Meaning of each exit code for this verb.
        example: A complete command.
        flags: Meaning of each flag, by the flag with its value and unit.
        page: Page of the documentation with details.
    """

    synopses: tuple[str, ...]
    description: str
    codes: dict[exit_codes.ExitCode, str]
    example: str
    flags: dict[str, str] = dataclasses.field(default_factory=dict)
    page: str


HELP = {
    "core": VerbHelp(
        synopses=("core",),
        description="Runs a core node: consensus registers, leases, singleton roles, operator API and look-ups.",
        codes=NODE_CODES,
        flags=NODE_FLAGS,
        example="PLOVERWARD_NODE_FILE=/etc/ploverward/core.settings python3 -m ploverward core",
        page="docs/operations.md",
    ),
    "proxy": VerbHelp(
        synopses=("proxy",),
        description="Runs a proxy, which carries the traffic; some proxies also own a relay or a digest.",
        codes=NODE_CODES,
        flags=NODE_FLAGS,
        example="PLOVERWARD_NODE_FILE=/etc/ploverward/proxy.settings python3 -m ploverward proxy",
        page="docs/operations.md",
    ),
    "store": VerbHelp(
        synopses=("store",),
        description="Runs a store, which keeps the lots of the batch tier on its disk and gives their items to "
        "proxies.",
        codes=NODE_CODES,
        flags=NODE_FLAGS,
        example="PLOVERWARD_NODE_FILE=/etc/ploverward/store.settings python3 -m ploverward store",
        page="docs/batch.md",
    ),
    "check": VerbHelp(
        synopses=("check",),
        description="Reads the settings file named by PLOVERWARD_NODE_FILE and says whether a node can start with it.",
        codes={
            exit_codes.ExitCode.SUCCESS: "the file is complete",
            exit_codes.ExitCode.USAGE_ERROR: "it is missing or malformed; the output names the field",
        },
        example="PLOVERWARD_NODE_FILE=/etc/ploverward/core.settings python3 -m ploverward check",
        page="docs/operations.md",
    ),
    "custody": VerbHelp(
        synopses=("custody ID", "custody --audit"),
        description="Shows which nodes held the text and the cache of the request with this X-Attempt-Id, or checks "
        "all trails that are kept against the permitted regions.",
        codes={
            exit_codes.ExitCode.SUCCESS: "found; with --audit, no trail breaks a rule",
            exit_codes.ExitCode.FAILURE: "no trail with this id; with --audit, a trail leaves its regions",
            exit_codes.ExitCode.USAGE_ERROR: "wrong arguments, or no core node answered",
            exit_codes.ExitCode.INCOMPLETE: "as far as seen; some core nodes were out of reach",
        },
        flags={"--audit": "check all trails that are kept", **CORE_AND_JSON_FLAGS},
        example="python3 -m ploverward custody 7f3a9c --core 10.1.0.16:8166",
        page="docs/residency.md",
    ),
    "drill": VerbHelp(
        synopses=("drill ZONE",),
        description="Takes a zone out of service, watches what must hold meanwhile, and takes it back in any case.",
        codes={
            exit_codes.ExitCode.SUCCESS: "all that must hold was seen to hold",
            exit_codes.ExitCode.FAILURE: "something that must hold did not",
            exit_codes.ExitCode.USAGE_ERROR: "refused before anything was done",
            exit_codes.ExitCode.NOT_RESTORED: "the zone could not be taken back: do so by 'restore ZONE'",
            exit_codes.ExitCode.INTERRUPTED: "interrupted; the zone was taken back",
        },
        flags={"--watch_s S": "seconds for which the zone stays out after evacuateMs (10)", **CORE_AND_JSON_FLAGS},
        example="python3 -m ploverward drill znorth --watch_s 20 --core 10.1.0.16:8166",
        page="docs/drill.md",
    ),
    "evacuate": VerbHelp(
        synopses=("evacuate ZONE",),
        description="Takes a zone out of service: its replicas get no further requests.",
        codes=CALL_CODES,
        flags=CORE_FLAGS,
        example="python3 -m ploverward evacuate znorth --core 10.1.0.16:8166",
        page="docs/operations.md",
    ),
    "restore": VerbHelp(
        synopses=("restore ZONE",),
        description="Takes a zone back into service; its replicas count as warming up for their warmupS.",
        codes=CALL_CODES,
        flags=CORE_FLAGS,
        example="python3 -m ploverward restore znorth --core 10.1.0.16:8166",
        page="docs/operations.md",
    ),
    "nodes": VerbHelp(
        synopses=("nodes",),
        description="Prints, as JSON, the nodes that are connected to each core node.",
        codes={
            exit_codes.ExitCode.SUCCESS: "all core nodes answered",
            exit_codes.ExitCode.USAGE_ERROR: "wrong arguments",
            exit_codes.ExitCode.INCOMPLETE: "some core nodes, or all, were out of reach",
        },
        flags=CORE_FLAGS,
        example="python3 -m ploverward nodes --core 10.1.0.16:8166,10.2.0.33:8166",
        page="docs/operations.md",
    ),
    "rollout": VerbHelp(
        synopses=("rollout start SERVICE VERSION --over_s S", "rollout status [SERVICE]", "rollout watch SERVICE"),
        description="Moves a service to another version of its software if that proves good, shows where each roll-out "
        "stands and on which evidence, or watches one to its end. Ages are seconds since the order; the score of a "
        "fault is a sum of log likelihood ratios, bad from 8 on.",
        codes={
            exit_codes.ExitCode.SUCCESS: "ordered; shown; delivered",
            exit_codes.ExitCode.FAILURE: "refused, with the reason; returned to the former version",
            exit_codes.ExitCode.USAGE_ERROR: "wrong arguments, or no core node is certain",
            exit_codes.ExitCode.INCOMPLETE: "there is no such roll-out",
        },
        flags={"--over_s S": "seconds within which the traffic is to have moved (start only)", **CORE_AND_JSON_FLAGS},
        example="python3 -m ploverward rollout start tutor v2 --over_s 30 --core 10.1.0.16:8166",
        page="docs/rollouts.md",
    ),
    "tenants": VerbHelp(
        synopses=("tenants",),
        description="Shows the limits of tenants in requests a second, how they stand, and their keys by digest.",
        codes={
            exit_codes.ExitCode.SUCCESS: "shown",
            exit_codes.ExitCode.USAGE_ERROR: "wrong arguments, or no core node answered",
            exit_codes.ExitCode.INCOMPLETE: "there are no tenants, or some core nodes were out of reach",
        },
        flags=CORE_AND_JSON_FLAGS,
        example="python3 -m ploverward tenants --core 10.1.0.16:8166",
        page="docs/quotas.md",
    ),
    "core-set": VerbHelp(
        synopses=("core-set",),
        description="Shows the agreed core set: who votes, who learns, whose disk refuses writes, how far each "
        "register of each node is (on disk/known), and how many further losses are tolerated.",
        codes={
            exit_codes.ExitCode.SUCCESS: "as many losses are tolerated as the settings want",
            exit_codes.ExitCode.FAILURE: "fewer are, a move is in progress, a member does not vote, or nobody answered",
            exit_codes.ExitCode.USAGE_ERROR: "wrong arguments",
            exit_codes.ExitCode.INCOMPLETE: "well, but some nodes were out of reach",
        },
        flags=CORE_AND_JSON_FLAGS,
        example="python3 -m ploverward core-set --core 10.1.0.16:8166",
        page="docs/core-set.md",
    ),
    "tallies": VerbHelp(
        synopses=("tallies [NAME]",),
        description="Shows the sum of each tally, whether all core nodes agree on it, and how many adds the others "
        "lack. While regions are apart, each side has sums of its own; they agree within mergeMs of the end.",
        codes={
            exit_codes.ExitCode.SUCCESS: "all core nodes answer and agree",
            exit_codes.ExitCode.FAILURE: "sums differ, a node has not merged yet, or there is no tally of this name",
            exit_codes.ExitCode.USAGE_ERROR: "wrong arguments, or no core node answered",
            exit_codes.ExitCode.INCOMPLETE: "those that answer agree, but some were out of reach",
        },
        flags=CORE_AND_JSON_FLAGS,
        example="python3 -m ploverward tallies --core 10.1.0.16:8166",
        page="docs/tallies.md",
    ),
    "pins": VerbHelp(
        synopses=("pins",),
        description="Shows which adapters keep arriving cold, and suggests which each replica should keep pinned.",
        codes={
            exit_codes.ExitCode.SUCCESS: "complete, also where no adapters were seen",
            exit_codes.ExitCode.USAGE_ERROR: "an unknown service, model, zone or replica, an unreadable file, "
            "or no answer",
            exit_codes.ExitCode.INCOMPLETE: "some core nodes were out of reach; their counts are missing",
        },
        flags={
            "--capacity N": "adapters that a replica can keep pinned; 0: as many as one is seen to hold",
            "--previous FILE": "an earlier output of pins --json, which is changed no more than it must",
            "--service NAME": "only this service",
            "--model NAME": "only this model",
            "--zone NAME": "only replicas of this zone",
            "--replica NAME": "only this replica",
            **CORE_AND_JSON_FLAGS,
        },
        example="python3 -m ploverward pins --capacity 3 --previous last.json --core 10.1.0.16:8166,10.2.0.33:8166",
        page="docs/pins.md",
    ),
    "keep": VerbHelp(
        synopses=("keep FOLDER", "keep FOLDER EDITION"),
        description="Keeps the configuration in force in a Git repository, keys as digests, or prints a kept edition.",
        codes={
            exit_codes.ExitCode.SUCCESS: "kept, or printed",
            exit_codes.ExitCode.USAGE_ERROR: "wrong arguments, no such edition is kept, or no core node is certain",
        },
        flags=CORE_FLAGS,
        example="python3 -m ploverward keep /var/lib/ploverward/configurations --core 10.1.0.16:8166",
        page="docs/operations.md",
    ),
    "simulate": VerbHelp(
        synopses=("simulate",),
        description="Plays runs ('days') of a simulated control plane, or of roll-outs, and checks their histories. A "
        "run that breaks a check is shortened to the faults that it needs.",
        codes={
            exit_codes.ExitCode.SUCCESS: "no check broke; with --planted, each planted fault was found",
            exit_codes.ExitCode.FAILURE: "a check broke, or a planted fault was missed",
            exit_codes.ExitCode.USAGE_ERROR: "wrong arguments",
        },
        flags={
            "--world control|rollouts": "which model is played",
            "--seeds N": "how many runs are played (100)",
            "--first N": "the first run's seed",
            "--machines N": "core machines: 3, 5, 6 or 7; 0: drawn by the seed",
            "--tolerate N": "machines that may be lost at once; 0: drawn by the seed",
            "--troubles KIND[,...]": "only these kinds of faults",
            "--tallies": "applications use tallies, and there are long partitions",
            "--jobs N": "processes that play at the same time",
            "--history SEED": "prints all that happens in the run of this seed",
            "--state": "prints a digest of the modules that are played (the roll-outs' line has it always)",
            "--planted": "shows that the checks find each planted fault",
        },
        example="python3 -m ploverward simulate --seeds 1000 --jobs 8",
        page="docs/simulate.md",
    ),
}


def help_text(verb: str) -> str:
    """Returns the help of a verb, with its description wrapped to lines of at most `WIDTH` characters."""
    verb_help = HELP[verb]
    lines = [
        *(
            f"{'usage:' if not number else '      '} python3 -m ploverward {form}"
            for number, form in _numbered_synopses(verb_help)
        ),
        "",
        *textwrap.wrap(verb_help.description, WIDTH),
    ]
    if verb_help.flags:
        lines += ["", "Flags:", *_table(verb_help.flags)]
    lines += ["", "Exit codes:", *_table({str(int(code)): meaning for code, meaning in verb_help.codes.items()})]
    lines += ["", f"Example: {verb_help.example}", f"More: {verb_help.page}"]
    return "\n".join(lines)


def _numbered_synopses(verb_help: VerbHelp) -> list[tuple[int, str]]:
    return list(enumerate(verb_help.synopses))


def _table(rows: dict[str, str]) -> list[str]:
    width = max(len(name) for name in rows)
    return [f"  {name:<{width}}  {meaning}" for name, meaning in rows.items()]
