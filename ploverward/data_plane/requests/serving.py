"""Serving: listeners, readiness, what attempts tell of replicas, and leaving (design 7, 9)."""

from ploverward.transport import http_server
from ploverward.common import event_log
from ploverward.data_plane.requests import graceful_shutdown
from ploverward.data_plane.requests import request_handler


class ServeMixin:
    """Traffic, readiness, leaving (design 7, 9)."""

    def start_serving(self) -> None:
        self.passages = set()
        self.has_ended = False
        self._number = 0
        self.hall = http_server.Hall(
            loop=self.loop,
            address=self.settings.bindings["counter"],
            on_request=self._on_request,
            limits=lambda: self.limits,
            silence_s=self.contact_s * 2,
            most_doors=int(self.settings.handles * 0.6),
            most_bytes=int(self.settings.memory_mb * 1024 * 1024 * 0.3),
        )
        if "readiness" in self.settings.bindings:
            self.ready_hall = http_server.Hall(
                loop=self.loop,
                address=self.settings.bindings["readiness"],
                on_request=self._on_ready_request,
                limits=lambda: http_server.Limits(head_bytes=8192, body_bytes=8192, head_s=3.0, idle_s=10.0),
                silence_s=self.contact_s,
                most_doors=100,
            )

    def next_number(self) -> int:
        self._number += 1
        return self._number

    def _on_request(self, request) -> None:
        if self.has_ended:
            request.reply(status=503)
            return
        passage = request_handler.Passage(proxy=self, request=request)
        self.passages.add(passage)
        passage.begin()

    def _on_ready_request(self, request) -> None:
        is_ready = self.is_serving and not self.is_leaving and request.target.partition(b"?")[0] == b"/ploverward/ready"
        request.reply(status=200 if is_ready else 503)

    def suspect(self, replica) -> None:
        self.table.suspect(replica)

    def note_fault(self, *, replica, reason: str, was_up: bool) -> None:
        event_log.note("attempt failed", replica=replica.id, reason=reason)
        if not was_up:
            self.table.suspect(replica)

    def wrong_replica(self, replica) -> None:
        """421: another life has the address. The list will say; until then it is left alone."""
        replica.close_idle()
        replica.away_until = self.loop.now() + self.contact_s / 2

    def full(self, replica) -> None:
        replica.away_until = max(replica.away_until, self.loop.now() + self.contact_s / 60)

    def leave(self) -> None:
        """SIGTERM: out of the lists at once, on with the work while old lookups live, out inside graceS."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self.leaving.begin()
        self._tell_core(("state", False, True))
        self.hall.leave()
        grace_s = self.settings.bound(name="graceS")
        self.loop.after(delay=grace_s * 0.6, act=self._last_calls)
        self.loop.after(delay=grace_s * graceful_shutdown.END_SHARE, act=self._end)

    def _end(self) -> None:
        self.has_ended = True
        self.hall.stop_listening()
        end_requests(self.passages)
        self.tell_trails(is_last=True)
        self.tell_adapters()
        self.loop.after(delay=grace_end_s(self.settings), act=self.loop.stop)

    def _last_calls(self) -> None:
        self.hall.close_idle()
        if not self.hall.doors and not self.passages:
            self._end()
            return
        self.loop.after(delay=0.05, act=self._last_calls)


def end_requests(passages_left) -> None:
    """At the end of leaving: a request that no replica got is refused, which is a promise that holds."""
    for passage in list(passages_left):
        passage.cut_short()


def grace_end_s(settings) -> float:
    """Time for the last batch to leave."""
    return settings.bound(name="graceS") / 80
