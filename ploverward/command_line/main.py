"""ploverward: serves a language model across regions. One command line for nodes and operators."""

import gc
import signal
import sys
import time

from absl import flags

from ploverward.common import errors
from ploverward.common import event_log
from ploverward.common import settings as settings_files

NODE_ROLES = ("core", "proxy")
COLLECTOR_THRESHOLDS = (10000, 20, 20)  # of gc.set_threshold: objects, then collections of the younger generation

FLAGS = flags.FLAGS
flags.DEFINE_bool("chatty", False, "nodes: write every note at once, not only when something goes wrong")
flags.DEFINE_list("core", [], "operator tools: dispatch addresses of core nodes, ADDRESS:PORT, by commas")
flags.DEFINE_bool("json", False, "operator tools: machine-readable output")
flags.DEFINE_bool("audit", False, "custody: check all trails that are kept")
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
flags.DEFINE_float("over_s", 0.0, "rollout start: seconds within which the traffic is to have moved")
flags.DEFINE_float("watch_s", 10.0, "drill: how long the zone stays out after evacuateMs")
flags.DEFINE_enum("world", "control", ["control", "rollouts"], "simulate: which model is played")
flags.DEFINE_integer("seeds", 100, "simulate: how many days are played")
flags.DEFINE_integer("first", 0, "simulate: the first day's seed")
flags.DEFINE_integer("machines", 0, "simulate: core machines, 3, 5, 6 or 7; 0: drawn by the seed")
flags.DEFINE_integer("tolerate", 0, "simulate: machines that may be lost at once; 0: drawn by the seed")
flags.DEFINE_string("troubles", "", "simulate: only these kinds, by commas")
flags.DEFINE_integer("jobs", 1, "simulate: processes that play at the same time")
flags.DEFINE_integer("history", -1, "simulate: prints all that happens on the day of this seed")
flags.DEFINE_bool("planted", False, "simulate: shows that the checks find each planted fault")
USAGE = """usage: python3 -m ploverward VERB [flags]

Nodes, started with a settings file named by PLOVERWARD_NODE_FILE:
  core               register, leases, duties, dispatch and directory
  proxy              carries the traffic; hosts its region's relay by duty
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
  core-set           who votes, who learns, how far each core node is, and how many further losses are borne
  pins               which adapters keep arriving cold, and which each replica should keep pinned
  keep FOLDER        keeps the configuration in force in a Git repository; keep FOLDER EDITION prints a kept one
  simulate           plays days of a simulated control plane and checks their histories (docs/simulate.md)

Exit codes: 0 well; 1 a promise or rule broken, or nothing found; 2 usage or settings;
3 well as far as seen, with parts missing; 4 a zone could not be taken back; 5 interrupted.
"""


def _tune_collector() -> None:
    """What a node starts with lives as long as it does; of the rest, most ends without the cyclic collector."""
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def _node(role: str) -> int:
    settings = settings_files.load()
    event_log.start(node=settings.node, role=role, is_verbose=FLAGS.chatty)
    if role == "core":
        from ploverward.control_plane import core_node

        _tune_collector()
        return core_node.Core(settings=settings).run()
    from ploverward.data_plane import proxy_node

    _tune_collector()
    return proxy_node.Proxy(settings=settings).run()


def _core_client():
    from ploverward.command_line import core_client as core_clients

    addresses = FLAGS.core
    if not addresses:
        addresses = ["%s:%d" % seed for seed in settings_files.load().seeds]
    for address in addresses:
        settings_files.parse_address(text=address, field="--core")
    return core_clients.CoreClient(addresses=addresses)


def _drill(zone: str) -> int:
    from ploverward.command_line import custody
    from ploverward.command_line import drill

    core_client = _core_client()
    status, nodes = core_client.any(method="GET", path="/ploverward/nodes")
    if status != 200:
        raise errors.PloverwardError(f"the core answers {status}", step="drill")
    bounds = nodes["bounds"]

    def interrupt(*_about):
        raise drill.DrillInterruptedError("interrupted", step="drill")

    signal.signal(signal.SIGINT, interrupt)
    signal.signal(signal.SIGTERM, interrupt)
    lines = []
    cursors = {}
    custody.collect(core_client=core_client, cursors=cursors)  # what went before the drill is none of its matter
    work = drill.Drill(
        zone=zone,
        trails=lambda: custody.collect(core_client=core_client, cursors=cursors)[0],
        call=lambda method, path: core_client.any(method=method, path=path),
        clock=time.time,
        pause=time.sleep,
        watch_s=FLAGS.watch_s,
        receipt_s=bounds["receiptMs"] / 1000.0,
        evacuate_s=bounds["evacuateMs"] / 1000.0,
        slack_s=1.0,
        out=lines.append if FLAGS.json else print,
    )
    code = work.run()
    if FLAGS.json:
        print(drill.as_json(work))
    return code


def _evacuate(zone: str, method: str) -> int:
    status, body = _core_client().any(method=method, path=f"/ploverward/evacuation/{zone}")
    if 200 <= status < 300:
        print(f"{zone}: {'out' if method == 'POST' else 'back'}")
        return 0
    print(f"{zone}: {(body or {}).get('error', status)}", file=sys.stderr)
    return 1


def _nodes() -> int:
    import json

    told, missed = _core_client().all(path="/ploverward/nodes")
    print(
        json.dumps(
            {"told": {address: body for address, (_status, body) in told.items()}, "unreachable": missed}, indent=2
        )
    )
    return 3 if missed else 0


def _keep(folder: str, edition: str) -> int:
    import json

    from ploverward.command_line import keep

    repository = keep.ConfigurationRepository(folder=folder)
    if edition:
        print(json.dumps(repository.show(edition=int(edition)), indent=2, sort_keys=True))
        return 0
    status, body = _core_client().any(method="GET", path="/ploverward/configuration")
    if status != 200:
        raise errors.PloverwardError(f"the core answers {status}", step="keep")
    made = repository.keep(body=body)
    print(f"edition {body['edition']}: {made or 'kept already'}")
    return 0


def _rollout(what: str, *about: str) -> int:
    from ploverward.command_line import rollout

    core_client = _core_client()

    def call(method: str, path: str, data: bytes) -> tuple:
        return core_client.any(method=method, path=path, data=data)

    if what == "start" and len(about) == 2 and FLAGS.over_s > 0:
        return rollout.start(call=call, service=about[0], edition=about[1], over_s=FLAGS.over_s, out=print)
    if what == "status" and len(about) <= 1:
        return rollout.status(call=call, service="".join(about), as_json=FLAGS.json, out=print)
    if what == "watch" and len(about) == 1:
        return rollout.watch(call=call, service=about[0], as_json=FLAGS.json, out=print)
    print(USAGE, file=sys.stderr)
    return 2


def _simulate() -> int:
    from ploverward.command_line import simulate

    simulate.fix_hash_seed()
    if FLAGS.world == "rollouts":
        from ploverward.command_line import simulate_rollouts

        return simulate_rollouts.run(first=FLAGS.first, seeds=FLAGS.seeds, jobs=FLAGS.jobs, out=print)
    if FLAGS.planted:
        return simulate.run_planted(jobs=FLAGS.jobs, out=print)
    is_one = FLAGS.history >= 0
    plans = simulate.plans(
        first=FLAGS.history if is_one else FLAGS.first,
        seeds=1 if is_one else FLAGS.seeds,
        machines=FLAGS.machines,
        tolerated=FLAGS.tolerate,
        troubles=FLAGS.troubles,
    )
    if is_one:
        return simulate.show(plan=plans[0], out=print)
    return simulate.run(plans=plans, jobs=FLAGS.jobs, out=print)


def main(argv) -> int:
    verb, rest = (argv[1], argv[2:]) if len(argv) > 1 else ("", [])
    if verb in NODE_ROLES and not rest:
        return _node(verb)
    if verb == "check" and not rest:
        settings = settings_files.load()
        print(f"{settings.node}: settings are whole")
        return 0
    if verb == "custody" and len(rest) == (0 if FLAGS.audit else 1):
        from ploverward.command_line import custody

        if FLAGS.audit:
            return custody.audit(core_client=_core_client(), as_json=FLAGS.json, out=print)
        return custody.show(core_client=_core_client(), request_id=rest[0], as_json=FLAGS.json, out=print)
    if verb == "drill" and len(rest) == 1:
        return _drill(rest[0])
    if verb in ("evacuate", "restore") and len(rest) == 1:
        return _evacuate(rest[0], "POST" if verb == "evacuate" else "DELETE")
    if verb == "keep" and (len(rest) == 1 or len(rest) == 2 and rest[1].isdigit()):
        return _keep(*rest, *[""] * (2 - len(rest)))
    if verb == "pins" and not rest:
        from ploverward.command_line import pins

        return pins.run(
            core_client=_core_client(),
            as_json=FLAGS.json,
            out=print,
            capacity=FLAGS.capacity,
            previous=FLAGS.previous,
            wanted=pins.Filter(service=FLAGS.service, model=FLAGS.model, zone=FLAGS.zone, replica=FLAGS.replica),
        )
    if verb == "rollout" and rest:
        return _rollout(*rest)
    if verb == "core-set" and not rest:
        from ploverward.command_line import core_set

        return core_set.run(core_client=_core_client(), as_json=FLAGS.json, out=print)
    if verb == "tenants" and not rest:
        from ploverward.command_line import tenants

        return tenants.run(core_client=_core_client(), as_json=FLAGS.json, out=print)
    if verb == "nodes" and not rest:
        return _nodes()
    if verb == "simulate" and not rest:
        return _simulate()
    print(USAGE, file=sys.stderr)
    return 2


def run(argv) -> int:
    try:
        return main(argv)
    except errors.PloverwardError as fault:
        print(f"ploverward: {fault}", file=sys.stderr)
        return 2


def parse(argv):
    try:
        return FLAGS(argv)
    except flags.Error as fault:
        print(f"ploverward: {fault}", file=sys.stderr)
        sys.exit(2)


__doc__ = f"{__doc__}\n\n{USAGE}"  # what --help prints


def start() -> None:
    """Runs the verb of this process's arguments and ends the process with its exit code."""
    if sys.argv[1:2] and sys.argv[1] in NODE_ROLES:
        sys.exit(run(parse(sys.argv)))
    from absl import app  # a node starts sooner, and smaller, without it

    app.run(run, flags_parser=parse)
