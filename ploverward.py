"""ploverward: serves a language model across regions. One command line for nodes and operators."""
import sys

from absl import app
from absl import flags

from pw.base import problems
from pw.base import ring
from pw.base import settings as settings_files

FLAGS = flags.FLAGS
flags.DEFINE_bool("chatty", False, "write every note at once, not only when something goes wrong")
USAGE = """usage: python3 ploverward.py NODE_ROLE

Node roles, started with a settings file named by PLOVERWARD_NODE_FILE:
  core      register, leases, duties, dispatch and directory
  proxy     carries the traffic; hosts its region's relay by duty
  check     reads the settings file and says whether it is whole
"""


def _node(role: str) -> int:
    settings = settings_files.load()
    ring.start(node=settings.node, role=role, is_chatty=FLAGS.chatty)
    if role == "core":
        from pw.ctl import core
        return core.Core(settings=settings).run()
    from pw.dat import proxy
    return proxy.Proxy(settings=settings).run()


def main(argv) -> int:
    verb = argv[1] if len(argv) > 1 else ""
    if verb in ("core", "proxy") and len(argv) == 2:
        return _node(verb)
    if verb == "check" and len(argv) == 2:
        settings = settings_files.load()
        print(f"{settings.node}: settings are whole")
        return 0
    print(USAGE, file=sys.stderr)
    return 2


def run(argv) -> int:
    try:
        return main(argv)
    except problems.Problem as fault:
        print(f"ploverward: {fault}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    app.run(run)
