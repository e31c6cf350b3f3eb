"""How often each adapter arrives cold, as one proxy sees it (docs/pins.md 2, 3)."""

import json

MAX_ROWS = 2000  # (service, model, adapter, replica, route) in one window; what is past them is counted in one number
FIELDS = ("warm", "cold", "unknown", "loads", "waits", "wait_ms", "most_wait_ms", "late")
WARM, COLD, UNKNOWN = "warm", "cold", "unknown"
UNSTABLE_ADAPTER_SHARE = 0.25  # of a load, for what is held but not for long
FIRST_LOAD_S = 1.0  # before a load was seen; ours


def resolve(*, text: str, models, adapters: dict) -> tuple:
    """(model, adapter, is it known) that X-Model names (docs/pins.md 1).

    A model's own name is the model. A name that the list or the configuration gives as an adapter of just one model is
    that adapter. Anything else is unknown: never guessed.
    """
    if not text or text in models:
        return text, "", True
    owners = adapters.get(text, ())
    if len(owners) == 1:
        return next(iter(owners)), text, True
    return text, "", False


class Arrival:
    """One attempt at a replica, for a request that needs an adapter."""

    __slots__ = ("key", "replica", "state", "sent_at", "is_over", "target_s")

    def __init__(self, *, key, replica, state, sent_at, target_s):
        self.key = key
        self.replica = replica
        self.state = state
        self.sent_at = sent_at
        self.target_s = target_s
        self.is_over = False


class Counter:
    def __init__(self, *, now, window_s: float, trust_s: float):
        self._now = now
        self._window_s = window_s
        self._trust_s = trust_s
        self._steady_s = trust_s * 4
        self._began = now()
        self._window = 0
        self._number = 0
        self._rows = {}  # (service, model, adapter, replica, route): {field: number}
        self._over = 0  # arrivals that found no row
        self._is_changed = False
        self._closed = []  # (window, number, data) of the window before, told again with the next ones
        self._loading = {}  # (replica, model, adapter): [open arrivals, is counted]
        self._seen = {}  # (replica, model, adapter): until when our own evidence says that it is loaded
        self.load_s = {}  # service: how long a cold arrival waits, lately

    def state(self, *, replica, model: str, adapter: str) -> str:
        """What is known of this life of the replica now."""
        if self._seen.get((replica.id, model, adapter), 0.0) > self._now():
            return WARM
        if replica.adapters is None:
            return UNKNOWN
        return WARM if (model, adapter) in replica.adapters else COLD

    def cost_s(self, *, replica, model: str, adapter: str) -> float:
        """What the choice has to expect of a load: nothing where it is held."""
        state = self.state(replica=replica, model=model, adapter=adapter)
        if state == WARM:
            # What came lately may be pushed out again before the list says so; what stays is worth going to.
            since = (replica.adapters or {}).get((model, adapter))
            is_steady = since is not None and self._now() - since >= self._steady_s
            return 0.0 if is_steady else self.load_s.get(replica.service, FIRST_LOAD_S) * UNSTABLE_ADAPTER_SHARE
        return self.load_s.get(replica.service, FIRST_LOAD_S) * (0.5 if state == UNKNOWN else 1.0)

    def begin(self, *, replica, service: str, model: str, adapter: str, route: str, target_s: float) -> Arrival:
        """Sent. Whether it counts shows when it has run."""
        state = self.state(replica=replica, model=model, adapter=adapter) if adapter else UNKNOWN
        arrival = Arrival(
            key=(service, model, adapter, replica.id, route),
            replica=replica,
            state=state,
            sent_at=self._now(),
            target_s=target_s,
        )
        if state == COLD:
            self._loading.setdefault((replica.id, model, adapter), [0, False])[0] += 1
        return arrival

    def ran(self, arrival: Arrival) -> None:
        """The first event: it ran, and the adapter is loaded there."""
        if arrival.is_over:
            return
        arrival.is_over = True
        now = self._now()
        self._roll()
        _service, model, adapter, replica, _route = arrival.key
        if adapter:
            self._seen[(replica, model, adapter)] = now + self._trust_s
        if len(self._seen) > 4 * MAX_ROWS:
            self._seen = {key: until for key, until in self._seen.items() if until > now}
        row = self._rows.get(arrival.key)
        if row is None and len(self._rows) < MAX_ROWS:
            row = self._rows[arrival.key] = dict.fromkeys(FIELDS, 0)
        self._is_changed = True
        is_load = self._close(arrival, is_run=True)
        if row is None:
            self._over += 1
            return
        row[arrival.state] += 1
        if arrival.state == COLD:
            wait_s = now - arrival.sent_at
            wait_ms = round(wait_s * 1000)
            row["waits"] += 1
            row["loads"] += is_load
            row["wait_ms"] += wait_ms
            row["most_wait_ms"] = max(row["most_wait_ms"], wait_ms)
            row["late"] += bool(arrival.target_s) and wait_s > arrival.target_s
            if is_load:
                known = self.load_s.get(arrival.replica.service, wait_s)
                self.load_s[arrival.replica.service] = known * 0.8 + wait_s * 0.2

    def note_not_run(self, arrival: Arrival) -> None:
        """Turned away, lost or given up before its first event: no load of ours is known."""
        if not arrival.is_over:
            arrival.is_over = True
            self._close(arrival, is_run=False)

    def _close(self, arrival, *, is_run: bool) -> bool:
        """Whether this arrival stands for a load that no other one counted: two that meet one load are one load."""
        if arrival.state != COLD:
            return False
        _service, model, adapter, replica, _route = arrival.key
        loading = self._loading.get((replica, model, adapter))
        if loading is None:
            return False
        loading[0] -= 1
        is_first = is_run and not loading[1]
        loading[1] = loading[1] or is_run
        if loading[0] <= 0:
            del self._loading[(replica, model, adapter)]
        return is_first

    def _roll(self) -> None:
        window = int((self._now() - self._began) / self._window_s)
        if window != self._window:
            if self._rows or self._over:
                self._number += 1
                self._closed = [(self._window, self._number, self._pack())]
            else:
                self._closed = []
            self._window = window
            self._rows = {}
            self._over = 0
            self._is_changed = False

    def _pack(self) -> bytes:
        rows = [[*key, *(row[field] for field in FIELDS)] for key, row in sorted(self._rows.items())]
        return json.dumps({"rows": rows, "over": self._over}, separators=(",", ":")).encode()

    def report(self) -> list:
        """[(window, number, data)]: whole windows, so that a resend or another way to the core counts nothing twice."""
        self._roll()
        found = list(self._closed)
        if self._is_changed:
            self._is_changed = False
            self._number += 1
            found.append((self._window, self._number, self._pack()))
        return found
