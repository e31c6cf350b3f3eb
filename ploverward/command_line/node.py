"""`ploverward core`, `ploverward proxy` and `ploverward store`: run a node until it receives SIGTERM."""

import dataclasses
import gc
import logging
import typing

from ploverward.command_line import exit_codes
from ploverward.command_line import options
from ploverward.common import event_log
from ploverward.common import settings as settings_files
from ploverward.transport import event_loop
from ploverward.transport import work_counter

_log = logging.getLogger(__name__)

ROLES = ("core", "proxy", "store")
# Arguments of gc.set_threshold: net allocations, then collections of the next younger generation. Most objects of a
# node are freed by reference counting, so the cyclic collector runs less often than by default (700, 10, 10).
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
        return _run(core_node.CoreNode(settings=settings))
    if verb == "store":
        from ploverward.store import store_node

        _tune_collector()
        return _run(store_node.StoreNode(settings=settings))
    from ploverward.data_plane import proxy_node

    _tune_collector()
    return _run(proxy_node.ProxyNode(settings=settings))


class _Node(typing.Protocol):
    loop: event_loop.Loop

    def run(self) -> int:
        """Serves until SIGTERM and returns the exit status of the process."""


def _run(node: _Node) -> int:
    interval_s = options.FLAGS.work_log_s
    if interval_s > 0:
        _log_work(node.loop, interval_s)
    return node.run()


def _log_work(loop: event_loop.Loop, interval_s: float) -> None:
    """Counts the work of an event loop and logs the counts of each interval."""
    work = loop.work = work_counter.WorkCounter()

    def log() -> None:
        counts = dataclasses.asdict(work.take_counts())
        _log.info("work_counted", extra={"interval_s": interval_s, **counts})

    loop.every(interval_s=interval_s, callback=log)


def _tune_collector() -> None:
    """Raises the thresholds of the cyclic collector and exempts the objects made at start.

    Those live as long as the node, so scanning them again would find nothing to free.
    """
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)
