"""`ploverward core`, `ploverward proxy` and `ploverward store`: run a node until it is ended by SIGTERM."""

import gc

from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.common import event_log
from ploverward.common import settings as settings_files

ROLES = ("core", "proxy", "store")
# Of gc.set_threshold: objects, then collections of the younger generation. Most of what a node makes ends without the
# cyclic collector, so it runs less often than by default (700, 10, 10).
COLLECTOR_THRESHOLDS = (10000, 20, 20)


def command(verb: str, arguments: list[str]) -> int:
    """Runs a node of the role that the verb names; returns once it has shut down."""
    if arguments:
        raise exit_codes.UsageError
    settings = settings_files.load()
    event_log.start(node=settings.node, role=verb, is_verbose=options.FLAGS.chatty)
    if verb == "core":
        from ploverward.control_plane import core_node

        _tune_collector()
        return core_node.CoreNode(settings=settings).run()
    if verb == "store":
        from ploverward.store import store_node

        _tune_collector()
        return store_node.StoreNode(settings=settings).run()
    from ploverward.data_plane import proxy_node

    _tune_collector()
    return proxy_node.ProxyNode(settings=settings).run()


def _tune_collector() -> None:
    """Exempts what a node starts with: it lives as long as the node."""
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
