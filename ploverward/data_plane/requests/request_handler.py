"""The way of a request through a proxy: filters, attempts at replicas, and one final answer (design 7, docs/requests.md)."""

import logging
import random

from ploverward.data_plane.load_reports import report_source
from ploverward.data_plane.requests import admission_filters
from ploverward.data_plane.requests import attempts
from ploverward.data_plane.requests import custody_trails
from ploverward.data_plane.requests import retry_policy
from ploverward.data_plane.requests import stream_resumption
from ploverward.transport import http_server

_log = logging.getLogger(__name__)

BUFFER_LIMIT = 512 * 1024
LIMITED_STATUSES = (408, 421, 429, 503)
QUEUE_WAIT_SHARE = 0.2  # of the aim: how long a request waits for a replica that can be named
STREAM_WAIT_FACTOR = 3  # of the aim: the same for a stream that was begun
RETRY_INTERVAL_SHARE = 0.05  # of the aim, between two looks for a replica
RETRY_AFTER_SHARE = 0.3  # of the aim: the pause that a refused client is told
MIN_SILENCE_TIMEOUT_S = 0.2
DRAINING_RETRY_AFTER_S = 0.02  # the pause that a client is told whose node ends: another one takes it at once
LATE_RETRY_AFTER_S = 0.1  # the pause that a client is told whose time is over


class RequestHandler:
    """One request, from the filters to its final answer."""

    def __init__(self, *, proxy, request):
        self.proxy = proxy
        self.loop = proxy.loop
        self.request = request
        self.request_id = request.header(b"x-attempt-id")
        self.route = None
        self.service = ""
        self.tenant = None
        self.is_counted = False  # against the tenant's quota
        self.permitted = None
        self.first_homes = ()
        self.model = admission_filters.NO_MODEL
        self.prompt = admission_filters.NO_PROMPT
        self.deadline = 0.0
        self.latency_target_s = 0.0
        self.attempt = None
        self.turns = 0
        self.policy = retry_policy.RetryPolicy()
        self.avoid = set()
        self.is_over = False
        self.has_head = False
        self.forwarded_headers = []
        self.buffer = None
        self.stream = None
        self.last_id = request.header(b"last-event-id") or None
        self.retry_timer = None
        self.watch_timer = None
        self.limit_timer = None
        self.wait_until = 0.0
        self.retry_after_s = 0.0
        self.custody = []  # one row an attempt (design 10)
        self.edition = proxy.routes.edition
        self.trail = []  # (seconds from the request, step, replica): written to the ring where the request was slow
        request.on_gone = self.on_client_gone

    # Filters. Each may refuse.
    def begin(self) -> None:
        refused = self.filter()
        if refused is not None:
            if refused.status in (429, 503):
                self.answer(status=refused.status, headers=[(b"Retry-After", b"%.2f" % refused.after_s)])
            else:
                self.answer(status=refused.status)
            return
        self.proxy.quota.record_request(self.service)
        self.limit_timer = self.loop.at(when=self.deadline, callback=self.on_deadline)
        self.wait_until = self.request.at + self.latency_target_s * QUEUE_WAIT_SHARE
        self.try_attempt()

    def filter(self):
        """None, or why the request is refused before any replica is looked for."""
        if not self.proxy.is_serving:
            return admission_filters.Refused(status=503, after_s=admission_filters.NOT_SERVING_RETRY_AFTER_S)
        route = admission_filters.find_route(request=self.request, routes=self.proxy.routes)
        if route is None:
            return admission_filters.Refused(status=404)
        tenant = admission_filters.authenticate_tenant(request=self.request, route=route, proxy=self.proxy)
        if isinstance(tenant, admission_filters.Refused):
            return tenant
        self.route = route
        self.tenant = tenant
        self.first_homes = tuple(sorted(self.proxy.permitted(route=route, first_homes=(), tenant=tenant) or ()))
        self.service = route.pick(random.random())
        self.resolve_model()
        times = admission_filters.read_times(request=self.request, route=route)
        if isinstance(times, admission_filters.Refused):
            return times
        self.deadline, self.latency_target_s = times.deadline, times.latency_target_s
        if self.loop.now() >= self.deadline:
            return admission_filters.Refused(
                status=503, after_s=LATE_RETRY_AFTER_S
            )  # read late, by a freeze or a slow client
        if not self.proxy.drain_window.may_accept(deadline=self.deadline):
            return admission_filters.Refused(status=503, after_s=DRAINING_RETRY_AFTER_S)
        if not self.is_within_quota():
            return admission_filters.Refused(status=429, after_s=self.latency_target_s * RETRY_AFTER_SHARE)
        self.prompt = admission_filters.read_prompt(
            request=self.request, model_text=self.model.text, is_sticky=route.is_sticky
        )
        return None

    def is_within_quota(self) -> bool:
        """The last filter: what it lets in counts against the tenant's quota."""
        if self.tenant is None or self.tenant.limit is None:
            return True
        self.is_counted = self.proxy.quota_allowance.admit(self.tenant.key)
        return self.is_counted

    def resolve_model(self) -> None:
        self.model = admission_filters.read_model(
            text=self.request.text(b"x-model"), service=self.service, table=self.proxy.table
        )

    @property
    def is_idempotent(self) -> bool:
        return self.route.is_idempotent

    def record_step(self, step: str, *about) -> None:
        self.trail.append((round(self.loop.now() - self.request.at, 3), step, *about))

    # Attempts.
    def try_attempt(self) -> None:
        if self.is_over:
            return
        if self.turns and not self.follow_configuration():
            self.give_up()
            return
        self.turns += 1
        self.permitted = self.proxy.permitted(route=self.route, first_homes=self.first_homes, tenant=self.tenant)
        replica, prefill_tokens, is_any = self.choose()
        if replica is None:
            # Nobody in reach comes back less soon than somebody full.
            self.retry_after_s = self.latency_target_s * RETRY_AFTER_SHARE
            if not is_any:
                self.retry_after_s = max(self.retry_after_s, self.proxy.failover_s)
            self.wait_or_reject()
            return
        self.retry_after_s = self.latency_target_s * RETRY_AFTER_SHARE
        if self.policy.arrivals and not self.proxy.quota.charge_retry(self.service):
            self.give_up()
            return
        connection = self.proxy.table.connection(replica=replica, request_id=self.request_id)
        if connection is None:
            self.avoid.add(replica.id)
            self.wait_or_reject()
            return
        self.begin_attempt(replica=replica, connection=connection, prefill_tokens=prefill_tokens)

    def follow_configuration(self) -> bool:
        """Whether a later turn may be, under the configuration now in force, and the stricter homes of both."""
        route = admission_filters.find_route(request=self.request, routes=self.proxy.routes)
        if route is None or not self.policy.may_continue_under(route):
            return False
        tenant = admission_filters.authenticate_tenant(request=self.request, route=route, proxy=self.proxy)
        if isinstance(tenant, admission_filters.Refused):
            return False  # its key was taken away meanwhile
        self.tenant = tenant
        if not any(name == self.service for name, _share in route.portions):
            self.service = route.pick(random.random())
            self.resolve_model()
        self.route = route
        return True

    def choose(self, *, avoid=None) -> tuple:
        """(replica or None, tokens to read there, whether any could be named), of the versions that may be asked."""
        is_any = False
        for pool in self.proxy.rollouts.pools(
            service=self.service, is_first=self.policy.next_arrival(is_sending=self.is_sending) == 1
        ):
            replica, prefill_tokens, is_named = self._choose_of(pool=pool, avoid=avoid)
            if replica is not None:
                return replica, prefill_tokens, True
            is_any = is_any or is_named
        return None, 0, is_any

    def _choose_of(self, *, pool, avoid) -> tuple:
        return self.proxy.chooser.choose(
            pool=pool,
            service=self.service,
            permitted=self.permitted,
            model=self.model.name if self.route.is_sticky else "",
            chain=self.prompt.chain,
            prompt_tokens=self.prompt.tokens,
            avoid=self.avoid if avoid is None else avoid,
            latency_target_s=self.latency_target_s,
            load_s=self.adapter_cost if self.model.adapter else None,
        )

    def begin_attempt(self, *, replica, connection, prefill_tokens: int) -> None:
        self.policy.on_attempt_started()
        now = self.loop.now()
        attempt = attempts.Attempt(
            handler=self,
            replica=replica,
            connection=connection,
            number=self.proxy.next_number(),
            prefill_tokens=prefill_tokens,
            permitted=self.permitted,
            now=now,
        )
        self.attempt = attempt
        replica.running += 1
        replica.prefill_tokens[attempt.number] = prefill_tokens
        self.proxy.rollouts.note_send(service=self.service, replica=replica)
        self.proxy.quota.note_send(replica=replica, service=self.proxy.table.services.get(self.service, {}))
        self.record_step("send", replica.id, replica.zone, prefill_tokens, *self.proxy.chooser.load(replica))
        self.proxy.chooser.note_send(replica=replica, chain=self.prompt.chain)
        self.proxy.report_attempt(replica=replica, kind=report_source.SENT)
        if self.needs_adapter:
            attempt.arrival = self.proxy.adapters.begin(
                replica=replica,
                service=self.service,
                model=self.model.name,
                adapter=self.model.adapter,
                route=self.route.name,
                target_s=self.route.target_s,
            )
        attempt.row = custody_trails.attempt_row(attempt=attempt, handler=self, proxy=self.proxy)
        self.custody.append(attempt.row)
        head = attempts.request_head(
            request=self.request,
            route=self.route,
            replica_id=replica.id,
            left_s=self.deadline - now,
            last_id=self.stream.last_id if self.stream is not None else self.last_id,
            has_tenants=self.proxy.routes.tenant_directory is not None,
            tenant=self.tenant,
        )
        connection.take(attempt, head=head, body=self.request.body)
        if attempt is self.attempt and self.is_idempotent:
            self.check_replica_timeout()

    @property
    def needs_adapter(self) -> bool:
        """One that is not known counts too, as unknown: it is never guessed."""
        return self.route.is_sticky and bool(self.model.adapter or not self.model.is_adapter_known)

    def adapter_cost(self, replica) -> float:
        return self.proxy.adapters.cost_s(replica=replica, model=self.model.name, adapter=self.model.adapter)

    def check_replica_timeout(self) -> None:
        """A replica that says nothing on any connection for longer than it should is left for another one."""
        attempt = self.attempt
        if self.is_over or attempt is None or attempt.is_over:
            return
        gap_s = self.route.gap_s or self.latency_target_s
        silence_timeout_s = max(MIN_SILENCE_TIMEOUT_S, gap_s * 0.45 if attempt.is_read else self.latency_target_s * 0.5)
        now = self.loop.now()
        quiet = now - max(attempt.heard_at, attempt.replica.heard_at)
        pause = silence_timeout_s - quiet
        if quiet >= silence_timeout_s and attempt.connection.is_up and not attempt.connection.is_paused:
            # Long reads make a busy replica silent too. A connection to it tells which it is.
            if attempt.replica.is_probe_failed and self.may_fail_over(attempt):
                self.record_step("silent")
                self.drop(attempt, kind=report_source.BROKEN)
                self.on_unresolved_attempt(attempt)
                return
            self.proxy.table.probe(replica=attempt.replica)
            pause = silence_timeout_s * 0.1
        self.watch_timer = self.loop.after(delay=max(0.02, pause), callback=self.check_replica_timeout)

    def may_fail_over(self, attempt) -> bool:
        """Whether another replica can take what a silent one runs, now: else its silence ends nothing."""
        if not self.may_retry() or not self.proxy.quota.has_retry_budget(self.service):
            return False
        replica, _to_read, _is_any = self.choose(avoid=self.avoid | {attempt.replica.id})
        return replica is not None and self.proxy.table.has_capacity(replica=replica)

    def may_retry(self) -> bool:
        return self.policy.may_retry(
            route=self.route, now=self.loop.now(), deadline=self.deadline, is_sending=self.is_sending
        )

    @property
    def is_sending(self) -> bool:
        """Whether a byte of a running attempt has left."""
        return self.attempt is not None and not self.attempt.connection.is_unsent

    def end_attempt(self, attempt, *, kind: int) -> None:
        """The attempt is over; what it did to the replica's load ends with it."""
        if attempt.is_over:
            return
        attempt.is_over = True
        attempt.row["to_ms"] = round((self.loop.now() - self.request.begun_at) * 1000)
        attempt.row["end"] = (
            "not sent" if attempt.connection.is_unsent else ("%d" % attempt.status if attempt.status else "no answer")
        )
        if attempt.arrival is not None:
            self.proxy.adapters.note_not_run(attempt.arrival)  # nothing where it has run already
        self.proxy.rollouts.note_end(
            service=self.service,
            route=self.route.name,
            attempt=attempt,
            kind=kind,
            latency_target_s=self.latency_target_s,
            expected_s=self.proxy.chooser.expected_s(
                replica=attempt.replica, tokens=attempt.prefill_tokens, is_connected=attempt.was_connected
            ),
        )
        attempt.replica.running -= 1
        attempt.replica.prefill_tokens.pop(attempt.number, None)
        self.policy.on_attempt_ended(is_unsent=attempt.connection.is_unsent, is_known_not_run=attempt.is_known_not_run)
        if kind in (report_source.FAILED, report_source.BROKEN):
            attempt.replica.note_failure(now=self.loop.now(), span=self.proxy.settings.bound_s(name="contactMs"))
        self.proxy.report_attempt(replica=attempt.replica, kind=kind)
        self.loop.cancel(timer=self.watch_timer)
        if self.attempt is attempt:
            self.attempt = None

    def drop(self, attempt, *, kind: int) -> None:
        """Ends an attempt that is under way: its connection is closed with it, so nothing of it can come later."""
        connection = attempt.connection
        self.end_attempt(attempt, kind=kind)
        connection.drop_attempt()

    # What the replica answers.
    def handle_head(self, attempt, *, headers, table) -> None:
        if attempt.meaning is attempts.Meaning.NOT_RUN:
            return  # decided at its end
        if attempt.meaning is attempts.Meaning.UNUSABLE:
            self.drop(attempt, kind=report_source.BROKEN)
            self.on_unresolved_attempt(attempt)
            return
        if attempt.meaning is attempts.Meaning.SUCCESS and self.has_head:
            return  # a resumed stream keeps the head and stamp of its first replica
        if self.has_head:
            return  # a failure in place of the rest of a stream: none of its bytes belong there
        self.forwarded_headers = attempts.forwarded_headers(headers=headers, table=table)
        is_stream = self.route.is_stream or table.get(b"content-type", b"").startswith(b"text/event-stream")
        if attempt.meaning is attempts.Meaning.SUCCESS and is_stream:
            self.forwarded_headers = [
                (name, value) for name, value in self.forwarded_headers if name != b"content-length"
            ]
            if self.stream is None:
                self.stream = stream_resumption.ResumableStream(last_id=self.last_id)
            self.stream.begin_run()
            return
        self.stream = None
        self.buffer = bytearray()

    def handle_data(self, attempt, data: bytes) -> None:
        if attempt.meaning is attempts.Meaning.NOT_RUN:
            return
        if self.stream is not None and attempt.meaning is attempts.Meaning.SUCCESS:
            self.record_prompt_read(attempt)
            for event in self.stream.receive_data(data):
                attempt.note_event(now=self.loop.now())
                self.forward_event(event)
            return
        if self.buffer is None:
            return
        self.buffer += data
        if len(self.buffer) > BUFFER_LIMIT and not self.has_head:
            self.has_head = True
            self.request.start(status=attempt.status, headers=self.forwarded_headers)
        if self.has_head:
            self.request.data(bytes(self.buffer))
            self.buffer = bytearray()

    def record_prompt_read(self, attempt) -> None:
        """The first event shows that the prompt was read: it counts as kept from now on."""
        if attempt.is_read:
            return
        attempt.is_read = True
        if attempt.arrival is not None:
            self.proxy.adapters.ran(attempt.arrival)
        self.record_step("read")
        attempt.replica.prefill_tokens.pop(attempt.number, None)
        attempt.replica.is_suspected = False
        network_latency_s = self.proxy.table.estimate_latency_s(attempt.replica) or 0.0
        self.proxy.chooser.note_read(
            service=self.service,
            tokens=attempt.prefill_tokens,
            took_s=self.loop.now() - attempt.sent_at - network_latency_s,
        )
        self.proxy.report_attempt(replica=attempt.replica, kind=report_source.READ)
        if self.prompt.parts:
            self.proxy.report_prefill(
                replica=attempt.replica,
                service=self.service,
                model=self.model.name,
                parts=self.prompt.parts,
                salt=self.model.text,
            )

    def open_stream(self, *, status: int) -> None:
        if not self.has_head:
            self.has_head = True
            headers = [*self.forwarded_headers, (b"Transfer-Encoding", b"chunked")]
            self.request.start(status=status, headers=headers)

    def forward_event(self, event: bytes) -> None:
        self.open_stream(status=200 if self.attempt is None else self.attempt.status)
        self.request.data(event)
        if self.request.http_connection.queued() > http_server.SEND_HIGH_WATERMARK_BYTES and self.attempt is not None:
            self.attempt.connection.pause()
            self.request.on_drain = self.on_client_drained

    def on_client_drained(self) -> None:
        self.request.on_drain = None
        if self.attempt is not None:
            self.attempt.heard_at = self.loop.now()
            self.attempt.connection.resume()

    def handle_end(self, attempt) -> None:
        if attempt.meaning is attempts.Meaning.NOT_RUN:
            attempt.is_known_not_run = True
            self.end_attempt(attempt, kind=report_source.DONE)
            self.on_attempt_not_run(attempt)
        elif self.stream is not None and attempt.meaning is attempts.Meaning.SUCCESS:
            self.end_stream(attempt)
        else:
            self.end_answer(attempt)

    def end_stream(self, attempt) -> None:
        rest = self.stream.take_remainder()
        self.end_attempt(attempt, kind=report_source.DONE)
        self.open_stream(status=attempt.status)
        if rest:
            self.request.data(rest)
        self.finish(status=attempt.status)
        self.request.end()

    def end_answer(self, attempt) -> None:
        """A whole answer that is no stream, or a failure."""
        status = attempt.status
        self.end_attempt(attempt, kind=report_source.FAILED if status >= 500 else report_source.DONE)
        if status >= 500 and self.may_resend():
            self.on_unresolved_attempt(attempt)
            return
        if self.has_head and self.stream is not None:
            self.abort_response()  # a failure in place of the rest of a stream
            return
        if self.has_head:
            self.finish(status=status)
            self.request.data(bytes(self.buffer))
            self.request.end()
            return
        if status in LIMITED_STATUSES:
            self.answer(status=502)  # without X-Not-Run it is no promise of the replica, and may be none of ours
            return
        headers = [(name, value) for name, value in self.forwarded_headers if name != b"content-length"]
        self.finish(status=status)
        self.request.reply(status=status, headers=headers, body=bytes(self.buffer))

    def handle_failure(self, attempt, *, reason: str, was_sent: bool, was_up: bool) -> None:
        self.record_step("failed", reason)
        self.proxy.note_fault(replica=attempt.replica, reason=reason, was_up=was_up)
        kind = report_source.DONE
        if not was_up:
            kind = report_source.BROKEN
        elif self.is_stale(attempt):
            idle_for_s = attempt.sent_at - attempt.connection.idle_since
            self.proxy.table.note_stale_connection(replica=attempt.replica, idle_for_s=idle_for_s)
        elif was_sent:
            kind = report_source.FAILED
        self.end_attempt(attempt, kind=kind)
        if was_sent:
            self.on_unresolved_attempt(attempt)
            return
        # No byte left this node: it has not run and is not an arrival.
        self.avoid.add(attempt.replica.id)
        if self.policy.may_reconnect(now=self.loop.now(), deadline=self.deadline):
            self.try_attempt()
        else:
            self.give_up()

    def is_stale(self, attempt) -> bool:
        """A connection that idled and is reset at once was forgotten by its replica: that says nothing of the replica."""
        network_latency_s = attempt.replica.network_latency_s or 0.0
        return (
            attempt.connection.served > 0
            and not attempt.status
            and self.loop.now() - attempt.sent_at < 0.05 + 2 * network_latency_s
        )

    def on_attempt_not_run(self, attempt) -> None:
        """The replica did not run it: another one may, inside tries and budget."""
        if attempt.status == 421:
            self.proxy.note_wrong_replica(attempt.replica)
        else:
            self.proxy.full(attempt.replica)
        self.avoid.add(attempt.replica.id)
        if self.may_retry():
            self.try_attempt()
            return
        self.give_up()

    def may_resend(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.policy.may_resend(
            route=self.route,
            now=self.loop.now(),
            deadline=self.deadline,
            has_head=self.has_head,
            stream=self.stream,
            is_sending=self.is_sending,
        )

    def on_unresolved_attempt(self, attempt) -> None:
        """Bytes of unclear fate."""
        self.avoid.add(attempt.replica.id)
        if self.may_resend():
            if self.stream is not None:
                self.stream.begin_run()
            self.buffer = None
            self.try_attempt()
            return
        self.give_up()

    def wait_or_reject(self) -> None:
        """No replica can be named now: a short wait within the aim, then an open refusal."""
        now = self.loop.now()
        until = self.request.at + self.latency_target_s * STREAM_WAIT_FACTOR if self.has_head else self.wait_until
        if now >= min(until, self.deadline):
            self.give_up()
            return
        if not self.policy.arrivals:
            self.avoid = set()
        self.retry_timer = self.loop.after(
            delay=max(0.02, self.latency_target_s * RETRY_INTERVAL_SHARE), callback=self.try_attempt
        )

    def give_up(self) -> None:
        if self.has_head:
            self.abort_response()
        else:
            self.reject(after_s=max(0.05, self.retry_after_s))

    def abort_for_shutdown(self) -> None:
        """The process ends soon. Who was not sent to a replica is told so now; who was sent is left to what comes."""
        if self.is_over or (self.attempt is not None and not self.attempt.connection.is_unsent):
            return
        if self.attempt is not None:
            self.drop(self.attempt, kind=report_source.DONE)
        self.give_up()

    def on_deadline(self) -> None:
        if self.is_over:
            return
        attempt = self.attempt
        if attempt is not None:
            self.drop(attempt, kind=self.silent_kind(attempt))
        if self.has_head:
            self.abort_response()
        elif self.policy.unresolved_attempts:
            self.answer(status=504)
        else:
            self.reject(after_s=LATE_RETRY_AFTER_S)

    # Final answers.
    def reject(self, *, after_s: float) -> None:
        """It has not run and never will, and the client is told when to come back; where that is unclear, 502."""
        if self.policy.unresolved_attempts:
            self.answer(status=502)
            return
        self.answer(status=503, headers=[(b"Retry-After", b"%.2f" % after_s)])

    def answer(self, *, status: int, headers=()) -> None:
        self.finish(status=status)
        self.request.reply(status=status, headers=headers)

    def abort_response(self) -> None:
        self.finish()
        self.request.abort()

    def finish(self, *, status: int = 0) -> None:
        if self.is_over:
            return
        self.is_over = True
        if self.trail and self.route is not None and self.is_slow():
            _log.debug("request_slow", extra={"route": self.route.name, "trail": self.trail})
        for timer in (self.retry_timer, self.watch_timer, self.limit_timer):
            self.loop.cancel(timer=timer)
        self.proxy.passages.discard(self)
        if self.is_counted and not self.has_head and self.policy.is_promise_kept(status=status):
            self.proxy.quota_allowance.return_admission(self.tenant.key)
        if self.route is not None:
            self.proxy.batches.add(custody_trails.trail_of(handler=self, proxy=self.proxy, status=status))

    def is_slow(self) -> bool:
        reads = [row[0] for row in self.trail if row[1] == "read"]
        return len(self.trail) > 2 or (reads[0] if reads else self.loop.now() - self.request.at) > self.latency_target_s

    def silent_kind(self, attempt) -> int:
        """An attempt that was given up: the replica failed where it said nothing for longer than the aim."""
        quiet = self.loop.now() - max(attempt.sent_at, attempt.heard_at)
        return (
            report_source.FAILED
            if not attempt.connection.is_unsent and quiet > self.latency_target_s * 1.5
            else report_source.DONE
        )

    def on_client_gone(self) -> None:
        """The client left."""
        if self.is_over:
            return
        attempt = self.attempt
        if attempt is not None:
            self.drop(attempt, kind=self.silent_kind(attempt))
        self.finish()
