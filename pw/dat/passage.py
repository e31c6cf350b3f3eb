"""The way of an ask through a proxy: a chain of filters that each may answer (design 7)."""

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


class Go:
    """One attempt at one replica."""

    def __init__(self, *, passage, replica, number, to_read, permitted):
        self.passage = passage
        self.replica = replica
        self.number = number
        self.to_read = to_read
        self.permitted = permitted
        self.ask_id = passage.ask_id
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
    """One ask, from the filters to its final answer."""

    def __init__(self, *, proxy, ask):
        self.proxy = proxy
        self.loop = proxy.loop
        self.ask = ask
        self.ask_id = ask.header(b"x-attempt-id")
        self.route = None
        self.service = ""
        self.permitted = None
        self.first_homes = ()
        self.model_text = ask.text(b"x-model")
        self.model = self.model_text
        self.adapter = ""
        self.is_adapter_known = True
        self.parts = ()
        self.chain = ()
        self.prompt_tokens = 0
        self.deadline = 0.0
        self.go = None
        self.goes = 0
        self.turns = 0
        self.arrivals = 0
        self.avoid = set()
        self.is_over = False
        self.is_lost = False  # bytes of unclear fate left for a replica
        self.has_head = False
        self.is_streaming = False
        self.buffer = None
        self.events = None
        self.last_id = ask.header(b"last-event-id") or None
        self.retry_timer = None
        self.watch_timer = None
        self.limit_timer = None
        self.wait_until = 0.0
        self.aim_s = 0.0
        self.come_back_s = 0.0
        self.custody = []  # one row a go (design 10)
        self.edition = proxy.routes.edition
        self.trail = []  # (seconds from the ask, step, replica): written to the ring where the ask was slow
        ask.on_gone = self.gone

    # Filters. Each may answer; each edits the head in place.
    def begin(self) -> None:
        for act in (self.filter_ready, self.filter_route, self.filter_time, self.filter_prompt):
            act()
            if self.is_over:
                return
        self.proxy.quota.note_ask(self.service)
        self.limit_timer = self.loop.at(when=self.deadline, act=self.out_of_time)
        self.wait_until = self.ask.at + self.aim_s * 0.2
        self.try_go()

    def filter_ready(self) -> None:
        if not self.proxy.is_serving:
            self.reject(after_s=0.5)

    def filter_route(self) -> None:
        route = self.proxy.routes.find(host=self.ask.text(b"host"), target=self.ask.target)
        if route is None:
            self.answer(status=404)
            return
        self.route = route
        self.first_homes = tuple(sorted(self.proxy.permitted(route=route, first_homes=()) or ()))
        self.service = route.pick(random.random())

    def filter_time(self) -> None:
        given = self.ask.text(b"x-time-left-ms")
        left_s = self.route.expiry_s
        try:
            left_s = min(left_s, float(given) / 1000.0) if given else left_s
        except ValueError:
            self.answer(status=400)
            return
        self.deadline = self.ask.begun_at + left_s
        self.aim_s = self.route.target_s or left_s * 0.25

    def filter_prompt(self) -> None:
        self.resolve_model()
        counts = self.ask.text(b"x-token-count").split(",")
        if counts[0].strip().isdigit():
            self.prompt_tokens = int(counts[0])
        lead = self.ask.text(b"x-prompt-lead")
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
        self.trail.append((round(self.loop.now() - self.ask.at, 3), step, *about))

    # Goes.
    def try_go(self) -> None:
        if self.is_over:
            return
        if self.turns:
            # A later turn stands under the configuration now in force, and the stricter homes of both.
            route = self.proxy.routes.find(host=self.ask.text(b"host"), target=self.ask.target)
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
        self.goes += 1
        now = self.loop.now()
        go = Go(
            passage=self, replica=replica, number=self.proxy.next_number(), to_read=to_read, permitted=self.permitted
        )
        go.sent_at = go.heard_at = now
        go.outlet = outlet
        self.go = go
        replica.running += 1
        replica.to_read[go.number] = to_read
        self.proxy.quota.note_send(replica=replica, service=self.proxy.table.services.get(self.service, {}))
        self.mark("send", replica.id, replica.zone, to_read, *self.proxy.chooser.load(replica))
        self.proxy.chooser.note_send(replica=replica, chain=self.chain)
        self.proxy.tell_send(replica=replica, kind=sources.SENT)
        if self.needs_adapter:
            go.arrival = self.proxy.adapters.begin(
                replica=replica,
                service=self.service,
                model=self.model,
                adapter=self.adapter,
                route=self.route.name,
                target_s=self.route.target_s,
            )
        go.row = custody.go_row(go=go, passage=self, proxy=self.proxy)
        self.custody.append(go.row)
        outlet.take(go, head=self.head_for(replica, now), body=self.ask.body)
        if go is self.go and self.is_repeatable:
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
        for name, value in self.ask.headers:
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
        if self.ask.body or self.ask.method in (b"POST", b"PUT", b"PATCH"):
            headers.append((b"Content-Length", b"%d" % len(self.ask.body)))
        return h11.Request(method=self.ask.method, target=self.ask.target, headers=headers)

    def watch_silence(self) -> None:
        """A replica that says nothing on any connection for longer than it should is left for another one."""
        go = self.go
        if self.is_over or go is None or go.is_over:
            return
        gap_s = self.route.gap_s or self.aim_s
        patience = max(0.2, gap_s * 0.45) if go.is_read else max(0.2, self.aim_s * 0.5)
        now = self.loop.now()
        quiet = now - max(go.heard_at, go.replica.heard_at)
        pause = patience - quiet
        if quiet >= patience and go.outlet.is_up and not go.outlet.is_paused:
            # Long reads make a busy replica silent too. A connection to it tells which it is.
            if go.replica.is_suspect and self.may_go_on() and self.proxy.quota.has_extra(self.service):
                self.mark("silent")
                outlet = go.outlet
                self.end_go(go, kind=sources.BROKEN)
                outlet.drop_go()
                self.after_loss(go)
                return
            if not go.replica.is_suspect:
                self.proxy.table.prove(replica=go.replica)
            pause = patience * 0.1
        self.watch_timer = self.loop.after(delay=max(0.02, pause), act=self.watch_silence)

    def may_go_on(self) -> bool:
        return self.arrivals_next() <= self.route.tries and self.loop.now() < self.deadline - 0.05

    def arrivals_next(self) -> int:
        return self.arrivals + 1 + (1 if self.go is not None and not self.go.outlet.is_unsent else 0)

    def end_go(self, go, *, kind: int) -> None:
        """The go is over; what it did to the replica's load ends with it."""
        if go.is_over:
            return
        go.is_over = True
        go.row["to_ms"] = round((self.loop.now() - self.ask.begun_at) * 1000)
        go.row["end"] = "not sent" if go.outlet.is_unsent else ("%d" % go.status if go.status else "no answer")
        if go.arrival is not None:
            self.proxy.adapters.not_run(go.arrival)  # nothing where it has run already
        go.replica.running -= 1
        go.replica.to_read.pop(go.number, None)
        if not go.outlet.is_unsent:
            self.arrivals += 1
        if kind in (sources.FAILED, sources.BROKEN):
            go.replica.note_failure(now=self.loop.now(), span=self.proxy.settings.bound_s(name="contactMs"))
        self.proxy.tell_send(replica=go.replica, kind=kind)
        self.loop.cancel(timer=self.watch_timer)
        if self.go is go:
            self.go = None

    def take_head(self, go, *, status, headers, table, is_framed) -> None:
        go.status = status
        if status == 421 or b"x-not-run" in table:
            return  # decided at its end: the replica did not run it
        if 200 <= status < 300:
            if b"x-postmark" not in table or b"content-encoding" in table or not is_framed:
                self.spoil(go)
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

    def spoil(self, go) -> None:
        outlet = go.outlet
        self.end_go(go, kind=sources.BROKEN)
        outlet.drop_go()
        self.after_loss(go)

    def open_stream(self) -> None:
        if not self.has_head:
            self.has_head = True
            self.ask.start(
                status=200 if self.go is None else self.go.status,
                headers=[*self.kept_headers, (b"Transfer-Encoding", b"chunked")],
            )

    def mark_read(self, go) -> None:
        """The first event shows that the prompt was read: it counts as kept from now on."""
        if go.is_read:
            return
        go.is_read = True
        if go.arrival is not None:
            self.proxy.adapters.ran(go.arrival)
        self.mark("read")
        go.replica.to_read.pop(go.number, None)
        go.replica.is_suspect = False
        way_s = self.proxy.table.way(go.replica) or 0.0
        self.proxy.chooser.note_read(
            service=self.service, tokens=go.to_read, took_s=self.loop.now() - go.sent_at - way_s
        )
        self.proxy.tell_send(replica=go.replica, kind=sources.READ)
        if self.parts:
            self.proxy.tell_read(
                replica=go.replica, service=self.service, model=self.model, parts=self.parts, salt=self.model_text
            )

    def take_data(self, go, data: bytes) -> None:
        if go.status == 421 or (self.buffer is None and not self.is_streaming):
            return
        if self.is_streaming and 200 <= go.status < 300:
            self.mark_read(go)
            for event in self.events.take(data):
                self.pass_event(event)
            return
        if self.buffer is not None:
            self.buffer += data
            if len(self.buffer) > BUFFER_LIMIT and not self.has_head:
                self.has_head = True
                self.ask.start(status=go.status, headers=self.kept_headers)
                self.ask.data(bytes(self.buffer))
                self.buffer = bytearray()
            elif self.has_head:
                self.ask.data(bytes(self.buffer))
                self.buffer = bytearray()

    def pass_event(self, event: bytes) -> None:
        number = event_id(event)
        if number is not None:
            if self.last_id is not None and self.has_head and _is_not_after(number, self.last_id):
                return  # already passed on
            self.last_id = number
        self.open_stream()
        self.ask.data(event)
        if self.ask.door.queued() > inlet.OUT_HIGH and self.go is not None:
            self.go.outlet.pause()
            self.ask.on_drain = self.drained

    def drained(self) -> None:
        self.ask.on_drain = None
        if self.go is not None:
            self.go.heard_at = self.loop.now()
            self.go.outlet.resume()

    def take_end(self, go) -> None:
        status = go.status
        if status == 421 or (status >= 400 and self.buffer is None):
            self.end_go(go, kind=sources.DONE)
            self.after_not_run(go)
            return
        if self.is_streaming and 200 <= status < 300:
            rest = self.events.rest()
            self.end_go(go, kind=sources.DONE)
            self.open_stream_after(go)
            if rest:
                self.ask.data(rest)
            self.finish(status=status)
            self.ask.end()
            return
        self.end_go(go, kind=sources.FAILED if status >= 500 else sources.DONE)
        if status >= 500 and self.is_repeatable and not self.has_head and self.may_go_on():
            self.after_loss(go)
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
            self.ask.reply(status=status, headers=headers, body=body)
            return
        self.finish(status=status)
        if self.buffer:
            self.ask.data(bytes(self.buffer))
        self.ask.end()

    def open_stream_after(self, go) -> None:
        if not self.has_head:
            self.has_head = True
            self.ask.start(status=go.status, headers=[*self.kept_headers, (b"Transfer-Encoding", b"chunked")])

    def take_fail(self, go, *, reason: str, was_sent: bool, was_up: bool) -> None:
        self.mark("failed", reason)
        self.proxy.note_fault(replica=go.replica, reason=reason, was_up=was_up)
        # A connection that idled and is reset at once was forgotten by its replica: that says nothing of the replica.
        is_stale = (
            go.outlet.served > 0
            and not go.status
            and self.loop.now() - go.sent_at < 0.05 + 2 * (go.replica.way_s or 0.0)
        )
        self.end_go(
            go, kind=sources.BROKEN if not was_up else sources.FAILED if was_sent and not is_stale else sources.DONE
        )
        if not was_sent:
            # No byte left this node: it has not run and is not an arrival.
            self.avoid.add(go.replica.id)
            if self.goes < 6 and self.loop.now() < self.deadline:
                self.try_go()
            else:
                self.give_up()
            return
        self.after_loss(go)

    def after_not_run(self, go) -> None:
        """The replica did not run it: another one may, inside tries and budget."""
        if go.status == 421:
            self.proxy.wrong_replica(go.replica)
        else:
            self.proxy.full(go.replica)
        self.avoid.add(go.replica.id)
        if self.may_go_on():
            self.try_go()
            return
        self.give_up()

    def after_loss(self, go) -> None:
        """Bytes of unclear fate."""
        self.avoid.add(go.replica.id)
        self.is_lost = True
        if self.is_repeatable and self.may_go_on() and (not self.has_head or self.is_streaming):
            if self.is_streaming:
                self.events = Events()
            self.buffer = None
            self.try_go()
            return
        self.give_up()

    def wait_or_reject(self) -> None:
        """No replica can be named now: a short wait within the aim, then an open refusal."""
        now = self.loop.now()
        if (
            not self.has_head
            and now >= self.wait_until
            or now >= self.deadline
            or (self.has_head and now > self.ask.at + self.aim_s * 3)
        ):
            self.give_up()
            return
        self.avoid = set() if not self.arrivals else self.avoid
        self.retry_timer = self.loop.after(delay=max(0.02, self.aim_s * 0.05), act=self.try_go)

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
        go = self.go
        if go is not None:
            is_unsent = go.outlet.is_unsent
            outlet = go.outlet
            self.end_go(go, kind=self.silent_kind(go))
            outlet.drop_go()
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
        self.ask.reply(status=status, headers=headers)

    def break_off(self) -> None:
        self.finish()
        self.ask.abort()

    def finish(self, *, status: int = 0) -> None:
        self.is_over = True
        if self.trail and self.route is not None and self.is_slow():
            ring.note("slow ask", route=self.route.name, trail=self.trail)
        for timer in (self.retry_timer, self.watch_timer, self.limit_timer):
            self.loop.cancel(timer=timer)
        self.proxy.passages.discard(self)
        if self.route is not None:
            self.proxy.batches.add(custody.trail_of(passage=self, proxy=self.proxy, status=status))

    def is_slow(self) -> bool:
        reads = [row[0] for row in self.trail if row[1] == "read"]
        return len(self.trail) > 2 or (reads[0] if reads else self.loop.now() - self.ask.at) > self.aim_s

    def silent_kind(self, go) -> int:
        """An attempt that was given up: the replica failed where it said nothing for longer than the aim."""
        quiet = self.loop.now() - max(go.sent_at, go.heard_at)
        return sources.FAILED if not go.outlet.is_unsent and quiet > self.aim_s * 1.5 else sources.DONE

    def gone(self) -> None:
        """The user agent left."""
        if self.is_over:
            return
        go = self.go
        if go is not None:
            outlet = go.outlet
            self.end_go(go, kind=self.silent_kind(go))
            outlet.drop_go()
        self.finish()


def _is_not_after(number: bytes, last: bytes) -> bool:
    try:
        return int(number) <= int(last)
    except ValueError:
        return number == last
