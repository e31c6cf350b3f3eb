"""Serving: listeners, readiness, what attempts tell of replicas, and leaving (design 7, 9)."""

import logging

from ploverward.data_plane.requests import graceful_shutdown
from ploverward.data_plane.requests import request_handler
from ploverward.transport import http_request
from ploverward.transport import http_server

_log = logging.getLogger(__name__)


class ServeMixin:
    """Traffic, readiness, leaving (design 7, 9)."""

    def start_serving(self) -> None:
        self.passages = set()
        self.has_ended = False
        self._number = 0
        self.server = http_server.HttpServer(
            loop=self.loop,
            address=self.settings.bindings["counter"],
            on_request=self._on_request,
            limits=lambda: self.limits,
            peer_timeout_s=self.contact_s * 2,
            max_connections=int(self.settings.handles * 0.6),
            max_bytes=int(self.settings.memory_mb * 1024 * 1024 * 0.3),
        )
        if "readiness" in self.settings.bindings:
            self.readiness_server = http_server.HttpServer(
                loop=self.loop,
                address=self.settings.bindings["readiness"],
                on_request=self._on_ready_request,
                limits=lambda: http_request.Limits(head_bytes=8192, body_bytes=8192, head_s=3.0, idle_s=10.0),
                peer_timeout_s=self.contact_s,
                max_connections=100,
            )

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def _on_request(self, request) -> None:
        if self.has_ended:
            request.reply(status=503)
            return
        handler = request_handler.RequestHandler(context=self, request=request)
        self.passages.add(handler)
        handler.begin()

    def _on_ready_request(self, request) -> None:
        is_ready = (
            self.is_serving and not self.is_draining and request.target.partition(b"?")[0] == b"/ploverward/ready"
        )
        request.reply(status=200 if is_ready else 503)

    def mark_suspected(self, replica) -> None:
        self.table.mark_suspected(replica)

    def note_fault(self, *, replica, reason: str, was_up: bool) -> None:
        _log.debug("attempt_failed", extra={"replica": replica.id, "reason": reason})
        if not was_up:
            self.table.mark_suspected(replica)

    def note_wrong_replica(self, replica) -> None:
        """421: another life has the address. The list will say; until then it is left alone."""
        replica.close_idle()
        replica.backoff_until = self.loop.now() + self.contact_s / 2

    def full(self, replica) -> None:
        replica.backoff_until = max(replica.backoff_until, self.loop.now() + self.contact_s / 60)

    def leave(self) -> None:
        """SIGTERM: out of the lists at once, on with the work while old lookups live, out inside graceS."""
        if self.is_draining:
            return
        self.is_draining = True
        self.drain_window.begin()
        self._send_to_cores(("state", False, True))
        self.server.leave()
        grace_s = self.settings.bound(name="graceS")
        self.loop.after(delay=grace_s * 0.6, callback=self._end_when_idle)
        self.loop.after(delay=grace_s * graceful_shutdown.END_SHARE, callback=self._end)

    def _end(self) -> None:
        self.has_ended = True
        self.server.stop_listening()
        end_requests(self.passages)
        self.send_custody_trails(is_last=True)
        self.relay_client.send_adapter_counts()
        self.loop.after(delay=flush_grace_s(self.settings), callback=self.loop.stop)

    def _end_when_idle(self) -> None:
        self.server.close_idle()
        if not self.server.connections and not self.passages:
            self._end()
            return
        self.loop.after(delay=0.05, callback=self._end_when_idle)


def end_requests(handlers_left) -> None:
    """At the end of leaving: a request that no replica got is refused, which is a promise that holds."""
    for handler in list(handlers_left):
        handler.abort_for_shutdown()


def flush_grace_s(settings) -> float:
    """Time for the last batch to leave."""
    return settings.bound(name="graceS") / 80
