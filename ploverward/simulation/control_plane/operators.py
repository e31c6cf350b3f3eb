"""Model operators: orders that are sent until they have a clear answer, races, repeats, invalid ones, and reads."""

import dataclasses
import json
import urllib.parse

from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import simulated_http

LOST_PART = 0.3  # of the answers, while answers are lost
CALLER_TIMEOUT_S = 1.0  # callers go to another node after so long
MAX_REDIRECTS = 2
MAX_REJECTIONS = 3
CLEAR = (400, 409, 412, 413, 422)
PATH = "/ploverward/configuration"
PUT, PATCH, EVACUATE, RESTORE = "put", "patch", "evacuate", "restore"
SENT, READ = "sent", "read"  # moments, with ACKNOWLEDGED; a read counts where it tells a version not yet acknowledged
ACKNOWLEDGED, REFUSED, GIVEN_UP = "acknowledged", "refused", "given up"


@dataclasses.dataclass
class Attempt:
    """One sending of an order to one node."""

    host: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    body: bytes = b""


@dataclasses.dataclass
class Order:
    """One change that an operator wants."""

    name: str
    kind: str
    base: int = 0
    edition: int = 0
    zone: str = ""
    is_valid: bool = True
    is_alone: bool = True  # no other order on the same base
    request: tuple = ()  # (method, target, headers, body)
    begun_at: float = 0.0
    ended_at: float | None = None
    outcome: str = ""
    attempts: list = dataclasses.field(default_factory=list)
    is_repeat: bool = False
    lost_at: float | None = None  # when an acknowledgement was lost on its way


@dataclasses.dataclass
class ReadRequest:
    """One reading of the configuration or the evacuations that was answered."""

    what: str
    host: str
    begun_at: float
    ended_at: float
    value: object


def configuration(*, edition: int, order_name: str, is_valid: bool = True) -> dict:
    return {
        "edition": edition,
        "routes": [_route(order_name=order_name, is_valid=is_valid)],
        "destinations": [{"name": "llm"}],
    }


def _route(*, order_name: str, is_valid: bool = True) -> dict:
    return {
        "name": "r",
        "host": "h.example",
        "pathLead": "/a/",
        "kind": "streaming",
        "expiryMs": 5000,
        "destination": "llm" if is_valid else "nobody",
        "note": order_name,
    }


class Operators:
    """All operators of a day. `hosts()` are the nodes that they know of."""

    def __init__(self, *, network, recorder, hosts, gap_s: float, receipt_s: float):
        self.orders = []
        self.reads = []
        self.taken = []  # acknowledged configuration orders
        self.edition = 0  # newest acknowledged or read
        self.zones = {}  # zone: the evacuation order under way or the last one
        self.on_taken = lambda _order: None
        self.moments = {}  # SENT, ACKNOWLEDGED, READ: what is to be called at the next such moment
        self.loses_answers = False
        self.is_stopped = False
        self._clock = network.clock
        self._chance = network.clock.chance
        self._recorder = recorder
        self._hosts = hosts
        self._gap_s = gap_s
        self._receipt_s = receipt_s
        self._caller = simulated_http.Caller(network=network, host="operators")
        self._top = 0  # highest edition used in any order

    def start(self) -> None:
        self._clock.later(delay=0.4, callback=self._next_change)
        self._clock.later(delay=2.0, callback=self._next_evacuation)
        self._clock.later(delay=1.0, callback=self._next_read)

    # Configurations: the next one follows the one before, as an operator does.
    def _next_change(self) -> None:
        if self.is_stopped:
            return
        roll = self._chance.random()
        if self.edition and roll < 0.12:
            self._race()
        elif self.taken and roll < 0.27:
            self._repeat()
        elif self.edition and roll < 0.33:
            self._invalid()
        else:
            self._change(then=self._pause)

    def _pause(self, _order=None) -> None:
        self._clock.later(delay=self._chance.uniform(0.2, 1.8) * self._gap_s, callback=self._next_change)

    def _new_edition(self) -> int:
        self._top = max(self._top, self.edition) + self._chance.randint(1, 3)
        return self._top

    def _make(self, *, edition: int, is_valid: bool = True) -> Order:
        name = f"o{len(self.orders)}"
        order = Order(name=name, kind=PUT, base=self.edition, edition=edition, is_valid=is_valid)
        if self.edition and self._chance.random() < 0.4:
            order.kind = PATCH
            patch = {"edition": edition, "upsert": {"routes": [_route(order_name=name, is_valid=is_valid)]}}
            body = json.dumps(patch).encode()
        else:
            body = json.dumps(configuration(edition=edition, order_name=name, is_valid=is_valid)).encode()
        headers = (("If-Match", str(order.base)), ("Content-Type", "application/json"))
        order.request = (order.kind.upper(), PATH, headers, body)
        return order

    def _change(self, *, then) -> None:
        order = self._make(edition=self._new_edition())
        self._send(order, then=lambda done: self._learn(done, then))

    def _learn(self, order: Order, then) -> None:
        """After a refusal the operator reads what is in force."""
        if order.outcome == ACKNOWLEDGED:
            then(order)
            return
        self.read(what="configuration", then=lambda _read: then(order))

    def _race(self) -> None:
        first = self._make(edition=self._new_edition())
        second = self._make(edition=first.edition if self._chance.random() < 0.5 else self._new_edition())
        second.name += "b"
        method, target, headers, body = second.request
        second.request = (
            method,
            target,
            headers,
            body.replace(first.name.encode() + b'"', second.name.encode() + b'"'),
        )
        first.is_alone = second.is_alone = False
        left = [first, second]

        def ended(order):
            left.remove(order)
            if not left:
                self.read(what="configuration", then=self._pause)

        for order in (first, second):
            self._send(order, then=ended)

    def _repeat(self) -> None:
        """An order taken at any time before, sent again as it was."""
        earlier = self._chance.choice(self.taken)
        order = dataclasses.replace(earlier, outcome="", attempts=[], is_repeat=True, ended_at=None)
        self._send(order, then=self._pause, most=6)

    def _invalid(self) -> None:
        if self._chance.random() < 0.5:
            order = self._make(edition=self._new_edition(), is_valid=False)
        else:
            order = self._make(edition=self._chance.randint(0, self.edition), is_valid=True)
            order.is_valid = False
        self._send(order, then=self._pause, most=4)

    # Evacuations: one at a time for each zone.
    def _next_evacuation(self) -> None:
        if self.is_stopped:
            return
        zone = self._chance.choice(sorted(machines.ZONES))
        previous = self.zones.get(zone)
        if previous is None or previous.outcome:
            kind = RESTORE if previous is not None and previous.kind == EVACUATE else EVACUATE
            if previous is not None and previous.outcome == GIVEN_UP:
                kind = previous.kind
            order = Order(name=f"e{len(self.orders)}", kind=kind, zone=zone)
            method = "POST" if kind == EVACUATE else "DELETE"
            order.request = (method, f"/ploverward/evacuation/{zone}", (), b"")
            self.zones[zone] = order
            self._send(order, then=lambda _order: None, limit_s=self._receipt_s)
        self._clock.later(delay=self._chance.uniform(0.5, 2.0) * max(1.0, self._gap_s), callback=self._next_evacuation)

    def _next_read(self) -> None:
        if self.is_stopped:
            return
        self.read(what=self._chance.choice(("configuration", "evacuation")), then=lambda _read: None, most=1)
        self._clock.later(delay=self._chance.uniform(0.05, 1.0), callback=self._next_read)

    def read(self, *, what: str, then, most: int = 60, host: str = "") -> None:
        """Reads until it is answered, at most so many times."""
        begun_at = self._clock.time
        hosts = [host] if host else self._shuffled()
        node = hosts[most % len(hosts)]

        def answered(answer):
            if answer is not None and answer[0] == 200:
                body = json.loads(answer[2])
                value = body["edition"] if what == "configuration" else frozenset(body["zones"])
                self._note_read(what, node, begun_at, value)
                then(value)
            elif answer is not None and answer[0] == 404 and what == "configuration":
                self._note_read(what, node, begun_at, 0)
                then(0)
            elif most > 1:
                self._clock.later(delay=0.2, callback=lambda: self.read(what=what, then=then, most=most - 1, host=host))
            else:
                then(None)

        target = PATH if what == "configuration" else "/ploverward/evacuation"
        self._follow(node, "GET", target, (), b"", answered, redirects=MAX_REDIRECTS)

    def _note_read(self, what: str, host: str, begun_at: float, value) -> None:
        self._recorder.record("read", what=what, host=host, value=value)
        read = ReadRequest(what=what, host=host, begun_at=begun_at, ended_at=self._clock.time, value=value)
        self.reads.append(read)
        if what == "configuration" and value > self.edition:
            self.edition = value
            self._moment(READ)

    # Sending.
    def _shuffled(self) -> list:
        hosts = sorted(self._hosts())
        self._chance.shuffle(hosts)
        return hosts

    def _send(self, order: Order, *, then, most: int = 10_000, limit_s: float = 10_000.0) -> None:
        order.begun_at = self._clock.time
        self.orders.append(order)
        self._recorder.record("order", name=order.name, kind=order.kind, base=order.base, edition=order.edition)
        self._moment(SENT)
        state = {"pause": 0.05, "hosts": self._shuffled(), "number": 0, "refusals": 0}

        def end(outcome):
            order.outcome = outcome
            order.ended_at = self._clock.time
            self._recorder.record("order ended", name=order.name, outcome=outcome, zone=order.zone)
            if outcome == ACKNOWLEDGED:
                self._acknowledged(order)
            then(order)

        def attempt():
            if order.outcome:
                return
            if state["number"] >= most or self._clock.time - order.begun_at >= limit_s:
                end(GIVEN_UP)
                return
            if state["number"] and state["number"] % len(state["hosts"]) == 0:
                state["hosts"] = self._shuffled()
            host = state["hosts"][state["number"] % len(state["hosts"])]
            state["number"] += 1
            made = Attempt(host=host, sent_at=self._clock.time)
            order.attempts.append(made)
            self._follow(
                host,
                *order.request,
                lambda answer: answered(made, answer),
                redirects=MAX_REDIRECTS,
                on_lost=lost if self.loses_answers and self._chance.random() < LOST_PART else None,
            )

        def lost(answer):
            if answer is not None and answer[0] == 200 and order.lost_at is None:
                order.lost_at = self._clock.time

        def answered(made, answer):
            made.answered_at = self._clock.time
            if answer is not None:
                made.status, made.body = answer[0], answer[2]
            self._recorder.record("answer", order=order.name, host=made.host, status=made.status, body=made.body[:90])
            status = made.status
            if status == 200:
                end(ACKNOWLEDGED)
            elif status in CLEAR:
                end(REFUSED)
            elif 400 <= status < 500 and status not in (408, 429):
                state["refusals"] += 1
                if state["refusals"] >= MAX_REJECTIONS:
                    end(REFUSED)
                else:
                    again()
            else:
                again()

        def again():
            pause = state["pause"]
            state["pause"] = min(pause * 1.6, 0.5)
            self._clock.later(delay=pause, callback=attempt)

        attempt()

    def _follow(self, host, method, target, headers, body, done, *, redirects: int, on_lost=None) -> None:
        def answered(answer):
            if answer is not None and answer[0] == 307 and redirects:
                location = urllib.parse.urlsplit(answer[1].get("location", ""))
                self._follow(
                    location.hostname or host,
                    method,
                    location.path or target,
                    headers,
                    body,
                    done,
                    redirects=redirects - 1,
                    on_lost=on_lost,
                )
            else:
                done(answer)

        self._caller.call(
            host=host,
            port=machines.CONTROL_PORT,
            method=method,
            target=target,
            headers=headers,
            body=body,
            limit_s=CALLER_TIMEOUT_S,
            done=answered,
            on_lost=on_lost,
        )

    def _acknowledged(self, order: Order) -> None:
        if order.kind in (PUT, PATCH) and not order.is_repeat and order.is_valid:
            self.edition = max(self.edition, order.edition)
            self.taken.append(order)
            self.on_taken(order)
        self._moment(ACKNOWLEDGED)

    def _moment(self, kind: str) -> None:
        callback = self.moments.pop(kind, None)
        if callback is not None:
            callback()
