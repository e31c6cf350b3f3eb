"""The way of a request through a proxy: a chain of filters that each may answer (design 7)."""

import random

import h11

from pw.base import inlet
from pw.base import ring
from pw.dat import custody
from pw.dat import outlet as outlets
from pw.dat.digest import source as sources
from pw.dat.relay import ckf

BUFFER_LIMIT = 512 * 1024
LIMITED_STATUSES = (408, 421, 429, 503)


class Events:
    """Cuts a stream into whole events and follows their ids (design 7)."""

    def __init__(self):
        self._buffer = b""
        self.last_id = None

    def take(self, data: bytes) -> list:
        self._buffer += data
        events = []
        while True:
            cut = _event_end(self._buffer)
            if cut < 0:
                return events
            events.append(self._buffer[:cut])
            self._buffer = self._buffer[cut:]

    def rest(self) -> bytes:
        rest, self._buffer = self._buffer, b""
        return rest


def _event_end(data: bytes) -> int:
    places = [place + len(mark) for mark in (b"\n\n", b"\r\n\r\n", b"\r\r") if (place := data.find(mark)) >= 0]
    return min(places) if places else -1


def event_id(event: bytes):
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip()
    return None


def parse_parts(text: str) -> tuple:
    """X-Prompt-Lead: ID:TOKENS, by commas."""
    rows = []
    for item in text.split(","):
        part, colon, tokens = item.strip().partition(":")
        if not colon or not tokens.isdigit():
            return ()
        rows.append((part, int(tokens)))
    return tuple(rows)


class Attempt:
    """One attempt at one replica."""

    def __init__(self, *, passage, replica, number, to_read, permitted):
        self.passage = passage
        self.replica = replica
        self.number = number
        self.to_read = to_read
        self.permitted = permitted
        self.request_id = passage.request_id
        self.outlet = None
        self.status = 0
        self.is_over = False
        self.is_read = False
        self.sent_at = 0.0
        self.heard_at = 0.0
        self.row = None
        self.arrival = None  # of an adapter (docs/pins.md 2)

    def on_head(self, **fields) -> None:
        if not self.is_over:
            self.heard_at = self.passage.loop.now()
            self.passage.take_head(self, **fields)

    def on_data(self, data: bytes) -> None:
        if not self.is_over:
            self.heard_at = self.passage.loop.now()
            self.passage.take_data(self, data)

    def on_end(self) -> None:
        if not self.is_over:
            self.passage.take_end(self)

    def on_fail(self, *, reason: str, was_sent: bool, was_up: bool) -> None:
        if not self.is_over:
            self.passage.take_fail(self, reason=reason, was_sent=was_sent, was_up=was_up)


class Passage:
    """One request, from the filters to its final answer."""

    def __init__(self, *, proxy, request):
        self.proxy = proxy
        self.loop = proxy.loop
        self.request = request
        self.request_id = request.header(b"x-attempt-id")
        self.route = None
        self.service = ""
        self.permitted = None
        self.first_homes = ()
        self.model_text = request.text(b"x-model")
        self.model = self.model_text
        self.adapter = ""
        self.is_adapter_known = True
        self.parts = ()
        self.chain = ()
        self.prompt_tokens = 0
        self.deadline = 0.0
        self.attempt = None
        self.attempts = 0
        self.turns = 0
        self.arrivals = 0
        self.avoid = set()
        self.is_over = False
        self.is_lost = False  # bytes of unclear fate left for a replica
        self.has_head = False
        self.is_streaming = False
        self.buffer = None
        self.events = None
        self.last_id = request.header(b"last-event-id") or None
        self.retry_timer = None
        self.watch_timer = None
        self.limit_timer = None
        self.wait_until = 0.0
        self.aim_s = 0.0
        self.come_back_s = 0.0
        self.custody = []  # one row an attempt (design 10)
        self.edition = proxy.routes.edition
        self.trail = []  # (seconds from the request, step, replica): written to the ring where the request was slow
        request.on_gone = self.gone

    # Filters. Each may answer; each edits the head in place.
    def begin(self) -> None:
        for act in (self.filter_ready, self.filter_route, self.filter_time, self.filter_prompt):
            act()
            if self.is_over:
                return
        self.proxy.quota.note_ask(self.service)
        self.limit_timer = self.loop.at(when=self.deadline, act=self.out_of_time)
        self.wait_until = self.request.at + self.aim_s * 0.2
        self.try_attempt()

    def filter_ready(self) -> None:
        if not self.proxy.is_serving:
            self.reject(after_s=0.5)

    def filter_route(self) -> None:
        route = self.proxy.routes.find(host=self.request.text(b"host"), target=self.request.target)
        if route is None:
            self.answer(status=404)
            return
        self.route = route
        self.first_homes = tuple(sorted(self.proxy.permitted(route=route, first_homes=()) or ()))
        self.service = route.pick(random.random())

    def filter_time(self) -> None:
        given = self.request.text(b"x-time-left-ms")
        left_s = self.route.expiry_s
        try:
            left_s = min(left_s, float(given) / 1000.0) if given else left_s
        except ValueError:
            self.answer(status=400)
            return
        self.deadline = self.request.begun_at + left_s
        self.aim_s = self.route.target_s or left_s * 0.25

    def filter_prompt(self) -> None:
        self.resolve_model()
        counts = self.request.text(b"x-token-count").split(",")
        if counts[0].strip().isdigit():
            self.prompt_tokens = int(counts[0])
        lead = self.request.text(b"x-prompt-lead")
        if lead and self.route.is_sticky:
            self.parts = parse_parts(lead)
            self.chain = ckf.chain(model=self.model_text, parts=self.parts)
            self.prompt_tokens = max(self.prompt_tokens, sum(tokens for _part, tokens in self.parts))

    def resolve_model(self) -> None:
        self.model, self.adapter, self.is_adapter_known = self.proxy.table.resolve(
            service=self.service, text=self.model_text
        )

    @property
    def is_repeatable(self) -> bool:
        return self.route.is_repeatable

    def mark(self, step: str, *about) -> None:
        self.trail.append((round(self.loop.now() - self.request.at, 3), step, *about))

    # Attempts.
    def try_attempt(self) -> None:
        if self.is_over:
            return
        if self.turns:
            # A later turn stands under the configuration now in force, and the stricter homes of both.
            route = self.proxy.routes.find(host=self.request.text(b"host"), target=self.request.target)
            if route is None:
                self.give_up()
                return
            if not any(name == self.service for name, _share in route.portions):
                self.service = route.pick(random.random())
                self.resolve_model()
            self.route = route
        self.turns += 1
        self.permitted = self.proxy.permitted(route=self.route, first_homes=self.first_homes)
        replica, to_read, is_any = self.proxy.chooser.choose(
            service=self.service,
            permitted=self.permitted,
            model=self.model if self.route.is_sticky else "",
            chain=self.chain,
            prompt_tokens=self.prompt_tokens,
            avoid=self.avoid,
            aim_s=self.aim_s,
            load_s=self.adapter_cost if self.adapter else None,
        )
        if replica is None:
            # Nobody in reach comes back less soon than somebody full.
            self.come_back_s = self.aim_s * 0.3 if is_any else max(self.aim_s * 0.3, self.proxy.reach_s)
            self.wait_or_reject()
            return
        self.come_back_s = self.aim_s * 0.3
        if self.arrivals and not self.proxy.quota.try_extra(self.service):
            self.give_up()
            return
        outlet = self.proxy.table.outlet(replica=replica)
        if outlet is None:
            self.avoid.add(replica.id)
            self.wait_or_reject()
            return
        self.attempts += 1
        now = self.loop.now()
        attempt = Attempt(
            passage=self, replica=replica, number=self.proxy.next_number(), to_read=to_read, permitted=self.permitted
        )
        attempt.sent_at = attempt.heard_at = now
        attempt.outlet = outlet
        self.attempt = attempt
        replica.running += 1
        replica.to_read[attempt.number] = to_read
        self.proxy.quota.note_send(replica=replica, service=self.proxy.table.services.get(self.service, {}))
        self.mark("send", replica.id, replica.zone, to_read, *self.proxy.chooser.load(replica))
        self.proxy.chooser.note_send(replica=replica, chain=self.chain)
        self.proxy.tell_send(replica=replica, kind=sources.SENT)
        if self.needs_adapter:
            attempt.arrival = self.proxy.adapters.begin(
                replica=replica,
                service=self.service,
                model=self.model,
                adapter=self.adapter,
                route=self.route.name,
                target_s=self.route.target_s,
            )
        attempt.row = custody.attempt_row(attempt=attempt, passage=self, proxy=self.proxy)
        self.custody.append(attempt.row)
        outlet.take(attempt, head=self.head_for(replica, now), body=self.request.body)
        if attempt is self.attempt and self.is_repeatable:
            self.watch_silence()

    @property
    def needs_adapter(self) -> bool:
        """One that is not known counts too, as unknown: it is never guessed."""
        return self.route.is_sticky and bool(self.adapter or not self.is_adapter_known)

    def adapter_cost(self, replica) -> float:
        return self.proxy.adapters.cost_s(replica=replica, model=self.model, adapter=self.adapter)

    def head_for(self, replica, now: float) -> h11.Request:
        headers = []
        left_ms = max(1, int((self.deadline - now) * 1000))
        for name, value in self.request.headers:
            if name in outlets.HOP_NAMES or name in (
                b"content-length",
                b"expect",
                b"x-time-left-ms",
                b"x-addressed-replica",
                b"last-event-id",
                b"x-urgency",
            ):
                continue
            headers.append((name, value))
        headers.append((b"X-Time-Left-Ms", b"%d" % left_ms))
        headers.append((b"X-Addressed-Replica", replica.id.encode()))
        if self.route.is_sticky:
            headers.append((b"X-Urgency", b"%d" % max(0, min(9, self.route.urgency))))
        if self.last_id is not None:
            headers.append((b"Last-Event-Id", self.last_id))
        if self.request.body or self.request.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"Content-Length", b"%d" % len(self.request.body)))
        return h11.Request(method=self.request.method, target=self.request.target, headers=headers)

    def watch_silence(self) -> None:
        """A replica that says nothing on any connection for longer than it should is left for another one."""
        attempt = self.attempt
        if self.is_over or attempt is None or attempt.is_over:
            return
        gap_s = self.route.gap_s or self.aim_s
        patience = max(0.2, gap_s * 0.45) if attempt.is_read else max(0.2, self.aim_s * 0.5)
        now = self.loop.now()
        quiet = now - max(attempt.heard_at, attempt.replica.heard_at)
        pause = patience - quiet
        if quiet >= patience and attempt.outlet.is_up and not attempt.outlet.is_paused:
            # Long reads make a busy replica silent too. A connection to it tells which it is.
            if attempt.replica.is_suspect and self.may_try_again() and self.proxy.quota.has_extra(self.service):
                self.mark("silent")
                outlet = attempt.outlet
                self.end_attempt(attempt, kind=sources.BROKEN)
                outlet.drop_attempt()
                self.after_loss(attempt)
                return
            if not attempt.replica.is_suspect:
                self.proxy.table.prove(replica=attempt.replica)
            pause = patience * 0.1
        self.watch_timer = self.loop.after(delay=max(0.02, pause), act=self.watch_silence)

    def may_try_again(self) -> bool:
        return self.arrivals_next() <= self.route.tries and self.loop.now() < self.deadline - 0.05

    def arrivals_next(self) -> int:
        return self.arrivals + 1 + (1 if self.attempt is not None and not self.attempt.outlet.is_unsent else 0)

    def end_attempt(self, attempt, *, kind: int) -> None:
        """the attempt is over; what it did to the replica's load ends with it."""
        if attempt.is_over:
            return
        attempt.is_over = True
        attempt.row["to_ms"] = round((self.loop.now() - self.request.begun_at) * 1000)
        attempt.row["end"] = (
            "not sent" if attempt.outlet.is_unsent else ("%d" % attempt.status if attempt.status else "no answer")
        )
        if attempt.arrival is not None:
            self.proxy.adapters.not_run(attempt.arrival)  # nothing where it has run already
        attempt.replica.running -= 1
        attempt.replica.to_read.pop(attempt.number, None)
        if not attempt.outlet.is_unsent:
            self.arrivals += 1
        if kind in (sources.FAILED, sources.BROKEN):
            attempt.replica.note_failure(now=self.loop.now(), span=self.proxy.settings.bound_s(name="contactMs"))
        self.proxy.tell_send(replica=attempt.replica, kind=kind)
        self.loop.cancel(timer=self.watch_timer)
        if self.attempt is attempt:
            self.attempt = None

    def take_head(self, attempt, *, status, headers, table, is_framed) -> None:
        attempt.status = status
        if status == 421 or b"x-not-run" in table:
            return  # decided at its end: the replica did not run it
        if 200 <= status < 300:
            if b"x-postmark" not in table or b"content-encoding" in table or not is_framed:
                self.spoil(attempt)
                return
            if self.has_head:
                return  # a resumed stream keeps the head and stamp of its first replica
            self.kept_headers = [(name, value) for name, value in headers if name not in outlets.HOP_NAMES]
            is_stream = self.route.is_stream or table.get(b"content-type", b"").startswith(b"text/event-stream")
            if is_stream:
                self.is_streaming = True
                self.events = Events()
                self.kept_headers = [(name, value) for name, value in self.kept_headers if name != b"content-length"]
                self.length = table.get(b"content-length")
            else:
                self.buffer = bytearray()
            return
        self.kept_headers = [(name, value) for name, value in headers if name not in outlets.HOP_NAMES]
        self.buffer = bytearray()

    def spoil(self, attempt) -> None:
        outlet = attempt.outlet
        self.end_attempt(attempt, kind=sources.BROKEN)
        outlet.drop_attempt()
        self.after_loss(attempt)

    def open_stream(self) -> None:
        if not self.has_head:
            self.has_head = True
            self.request.start(
                status=200 if self.attempt is None else self.attempt.status,
                headers=[*self.kept_headers, (b"Transfer-Encoding", b"chunked")],
            )

    def mark_read(self, attempt) -> None:
        """The first event shows that the prompt was read: it counts as kept from now on."""
        if attempt.is_read:
            return
        attempt.is_read = True
        if attempt.arrival is not None:
            self.proxy.adapters.ran(attempt.arrival)
        self.mark("read")
        attempt.replica.to_read.pop(attempt.number, None)
        attempt.replica.is_suspect = False
        way_s = self.proxy.table.way(attempt.replica) or 0.0
        self.proxy.chooser.note_read(
            service=self.service, tokens=attempt.to_read, took_s=self.loop.now() - attempt.sent_at - way_s
        )
        self.proxy.tell_send(replica=attempt.replica, kind=sources.READ)
        if self.parts:
            self.proxy.tell_read(
                replica=attempt.replica, service=self.service, model=self.model, parts=self.parts, salt=self.model_text
            )

    def take_data(self, attempt, data: bytes) -> None:
        if attempt.status == 421 or (self.buffer is None and not self.is_streaming):
            return
        if self.is_streaming and 200 <= attempt.status < 300:
            self.mark_read(attempt)
            for event in self.events.take(data):
                self.pass_event(event)
            return
        if self.buffer is not None:
            self.buffer += data
            if len(self.buffer) > BUFFER_LIMIT and not self.has_head:
                self.has_head = True
                self.request.start(status=attempt.status, headers=self.kept_headers)
                self.request.data(bytes(self.buffer))
                self.buffer = bytearray()
            elif self.has_head:
                self.request.data(bytes(self.buffer))
                self.buffer = bytearray()

    def pass_event(self, event: bytes) -> None:
        number = event_id(event)
        if number is not None:
            if self.last_id is not None and self.has_head and _is_not_after(number, self.last_id):
                return  # already passed on
            self.last_id = number
        self.open_stream()
        self.request.data(event)
        if self.request.door.queued() > inlet.OUT_HIGH and self.attempt is not None:
            self.attempt.outlet.pause()
            self.request.on_drain = self.drained

    def drained(self) -> None:
        self.request.on_drain = None
        if self.attempt is not None:
            self.attempt.heard_at = self.loop.now()
            self.attempt.outlet.resume()

    def take_end(self, attempt) -> None:
        status = attempt.status
        if status == 421 or (status >= 400 and self.buffer is None):
            self.end_attempt(attempt, kind=sources.DONE)
            self.after_not_run(attempt)
            return
        if self.is_streaming and 200 <= status < 300:
            rest = self.events.rest()
            self.end_attempt(attempt, kind=sources.DONE)
            self.open_stream_after(attempt)
            if rest:
                self.request.data(rest)
            self.finish(status=status)
            self.request.end()
            return
        self.end_attempt(attempt, kind=sources.FAILED if status >= 500 else sources.DONE)
        if status >= 500 and self.is_repeatable and not self.has_head and self.may_try_again():
            self.after_loss(attempt)
            return
        if self.has_head and self.is_streaming:
            self.break_off()  # a failure in place of the rest of a stream
            return
        if not self.has_head:
            body = bytes(self.buffer)
            headers = [(name, value) for name, value in self.kept_headers if name != b"content-length"]
            if status in LIMITED_STATUSES:
                status = 502  # without X-Not-Run it is no promise of the replica, and may be none of ours
                headers = []
                body = b""
            self.finish(status=status)
            self.request.reply(status=status, headers=headers, body=body)
            return
        self.finish(status=status)
        if self.buffer:
            self.request.data(bytes(self.buffer))
        self.request.end()

    def open_stream_after(self, attempt) -> None:
        if not self.has_head:
            self.has_head = True
            self.request.start(status=attempt.status, headers=[*self.kept_headers, (b"Transfer-Encoding", b"chunked")])

    def take_fail(self, attempt, *, reason: str, was_sent: bool, was_up: bool) -> None:
        self.mark("failed", reason)
        self.proxy.note_fault(replica=attempt.replica, reason=reason, was_up=was_up)
        # A connection that idled and is reset at once was forgotten by its replica: that says nothing of the replica.
        is_stale = (
            attempt.outlet.served > 0
            and not attempt.status
            and self.loop.now() - attempt.sent_at < 0.05 + 2 * (attempt.replica.way_s or 0.0)
        )
        self.end_attempt(
            attempt,
            kind=sources.BROKEN if not was_up else sources.FAILED if was_sent and not is_stale else sources.DONE,
        )
        if not was_sent:
            # No byte left this node: it has not run and is not an arrival.
            self.avoid.add(attempt.replica.id)
            if self.attempts < 6 and self.loop.now() < self.deadline:
                self.try_attempt()
            else:
                self.give_up()
            return
        self.after_loss(attempt)

    def after_not_run(self, attempt) -> None:
        """The replica did not run it: another one may, inside tries and budget."""
        if attempt.status == 421:
            self.proxy.wrong_replica(attempt.replica)
        else:
            self.proxy.full(attempt.replica)
        self.avoid.add(attempt.replica.id)
        if self.may_try_again():
            self.try_attempt()
            return
        self.give_up()

    def after_loss(self, attempt) -> None:
        """Bytes of unclear fate."""
        self.avoid.add(attempt.replica.id)
        self.is_lost = True
        if self.is_repeatable and self.may_try_again() and (not self.has_head or self.is_streaming):
            if self.is_streaming:
                self.events = Events()
            self.buffer = None
            self.try_attempt()
            return
        self.give_up()

    def wait_or_reject(self) -> None:
        """No replica can be named now: a short wait within the aim, then an open refusal."""
        now = self.loop.now()
        if (
            not self.has_head
            and now >= self.wait_until
            or now >= self.deadline
            or (self.has_head and now > self.request.at + self.aim_s * 3)
        ):
            self.give_up()
            return
        self.avoid = set() if not self.arrivals else self.avoid
        self.retry_timer = self.loop.after(delay=max(0.02, self.aim_s * 0.05), act=self.try_attempt)

    def give_up(self) -> None:
        if self.has_head:
            self.break_off()
        elif self.is_lost:
            self.answer(status=502)
        else:
            self.reject(after_s=max(0.05, self.come_back_s))

    def out_of_time(self) -> None:
        if self.is_over:
            return
        attempt = self.attempt
        if attempt is not None:
            is_unsent = attempt.outlet.is_unsent
            outlet = attempt.outlet
            self.end_attempt(attempt, kind=self.silent_kind(attempt))
            outlet.drop_attempt()
            self.is_lost = self.is_lost or not is_unsent
        if self.has_head:
            self.break_off()
        elif self.is_lost:
            self.answer(status=504)
        else:
            self.reject(after_s=0.1)

    # Final answers.
    def reject(self, *, after_s: float) -> None:
        """It has not run and never will; the user agent is told when to come back."""
        self.answer(status=503, headers=[(b"Retry-After", b"%.2f" % after_s)])

    def answer(self, *, status: int, headers=()) -> None:
        self.finish(status=status)
        self.request.reply(status=status, headers=headers)

    def break_off(self) -> None:
        self.finish()
        self.request.abort()

    def finish(self, *, status: int = 0) -> None:
        self.is_over = True
        if self.trail and self.route is not None and self.is_slow():
            ring.note("slow request", route=self.route.name, trail=self.trail)
        for timer in (self.retry_timer, self.watch_timer, self.limit_timer):
            self.loop.cancel(timer=timer)
        self.proxy.passages.discard(self)
        if self.route is not None:
            self.proxy.batches.add(custody.trail_of(passage=self, proxy=self.proxy, status=status))

    def is_slow(self) -> bool:
        reads = [row[0] for row in self.trail if row[1] == "read"]
        return len(self.trail) > 2 or (reads[0] if reads else self.loop.now() - self.request.at) > self.aim_s

    def silent_kind(self, attempt) -> int:
        """An attempt that was given up: the replica failed where it said nothing for longer than the aim."""
        quiet = self.loop.now() - max(attempt.sent_at, attempt.heard_at)
        return sources.FAILED if not attempt.outlet.is_unsent and quiet > self.aim_s * 1.5 else sources.DONE

    def gone(self) -> None:
        """The user agent left."""
        if self.is_over:
            return
        attempt = self.attempt
        if attempt is not None:
            outlet = attempt.outlet
            self.end_attempt(attempt, kind=self.silent_kind(attempt))
            outlet.drop_attempt()
        self.finish()


def _is_not_after(number: bytes, last: bytes) -> bool:
    try:
        return int(number) <= int(last)
    except ValueError:
        return number == last
