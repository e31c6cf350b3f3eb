"""Entry point of the command line, for nodes and operators.

Looks up the verb's module, runs it and maps errors to exit codes. A verb's module is imported only when the verb is
called: a node has to start quickly and must not keep the operators' tools in memory.
"""

import importlib
import sys
from types import ModuleType

from absl import flags

from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.command_line import output
from ploverward.common import errors

NODE_VERBS = ("core", "proxy", "store")
STAND_IN_VERB = "stand-in"
HELP_FLAGS = {"--help", "-h"}
MODULES = {
    "core": "node",
    "proxy": "node",
    "store": "node",
    "check": "check",
    "custody": "custody",
    "drill": "drill",
    "evacuate": "evacuate",
    "restore": "evacuate",
    "nodes": "nodes",
    "rollout": "rollout",
    "tenants": "tenants",
    "tallies": "tallies",
    "core-set": "core_set",
    "pins": "pins",
    "keep": "keep",
    "simulate": "simulate",
    STAND_IN_VERB: "stand_in",
}
USAGE = """usage: python3 -m ploverward VERB [flags]

Nodes, started with a settings file named by PLOVERWARD_NODE_FILE:
  core               register, leases, duties, dispatch and directory
  proxy              carries the traffic; hosts its region's relay by duty
  store              keeps the lots of the batch tier
  check              reads the settings file and says whether it is whole

Operators (--core ADDRESS:PORT[,...], or the seeds of PLOVERWARD_NODE_FILE):
  custody ID         which nodes held the text and cache of the request with this X-Attempt-Id
  custody --audit    checks all trails kept against the permitted regions
  drill ZONE         takes a zone out, watches the promises, takes it back
  evacuate ZONE      takes a zone out; restore ZONE takes it back
  nodes              the nodes in touch with each core node
  rollout start SERVICE VERSION --over_s S   moves a service to another version of its software, if it proves good
  rollout status [SERVICE]                   where each roll-out stands, why, and on which evidence
  rollout watch SERVICE                      the same, until it is delivered (0) or returned (1)
  tenants            limits of tenants, how they stand, their keys by digest
  tallies [NAME]     sums of tallies, whether all core nodes agree, and how far behind each one is
  core-set           who votes, who learns, how far each core node is, and how many further losses are borne
  pins               which adapters keep arriving cold, and which each replica should keep pinned
  keep FOLDER        keeps the configuration in force in a Git repository; keep FOLDER EDITION prints a kept one
  simulate           plays days of a simulated control plane and checks their histories (docs/simulate.md)

Exit codes: 0 well; 1 a promise or rule broken, or nothing found; 2 usage or settings;
3 well as far as seen, with parts missing; 4 a zone could not be taken back; 5 interrupted.
"""


def run(argv: list[str]) -> int:
    """Runs one verb.

    Args:
        argv: The program, the verb and its arguments, without flags.

    Returns:
        The exit code.
    """
    verb, arguments = (argv[1], argv[2:]) if len(argv) > 1 else ("", [])
    try:
        return _load_module(verb).command(verb, arguments)
    except exit_codes.UsageError:
        print(USAGE, file=sys.stderr)
    except errors.PloverwardError as error:
        output.print_error(error)
    return exit_codes.ExitCode.USAGE_ERROR


def _load_module(verb: str) -> ModuleType:
    if verb not in MODULES:
        raise exit_codes.UsageError
    return importlib.import_module(f"ploverward.command_line.{MODULES[verb]}")


def parse_flags(argv: list[str]) -> list[str]:
    """Parses the flags and returns the other arguments; exits with `USAGE_ERROR` if a flag is malformed."""
    try:
        return options.FLAGS(argv)
    except flags.Error as error:
        output.print_error(str(error))
        sys.exit(exit_codes.ExitCode.USAGE_ERROR)


def print_help(verb: str) -> int:
    """Prints the help of a verb."""
    from ploverward.command_line import verb_help  # imported here, as nodes do not need it

    print(verb_help.help_text(verb))
    return exit_codes.ExitCode.SUCCESS


def start() -> None:
    """Runs the verb given in `sys.argv` and exits with its exit code."""
    verb = sys.argv[1] if len(sys.argv) > 1 else ""
    if verb in MODULES and verb != STAND_IN_VERB and not HELP_FLAGS.isdisjoint(sys.argv[2:]):
        sys.exit(print_help(verb))
    if verb == STAND_IN_VERB:
        sys.exit(run(sys.argv))  # this verb parses its own flags
    if verb in NODE_VERBS:
        sys.exit(run(parse_flags(sys.argv)))  # without `absl.app`, a node starts faster and uses less memory
    from absl import app

    app.run(run, flags_parser=parse_flags)
