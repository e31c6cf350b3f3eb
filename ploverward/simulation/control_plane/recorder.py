"""What happened in one day of the model world, and the checks that look at each step of it (docs/simulate.md)."""

import dataclasses
import functools
import json

from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import register_names

EPSILON = 1e-6
MAX_FINDINGS = 3  # of one check on one day
SLACKS, RATES = "slacks", "rates"
RATE_WINDOW_S = 1.05  # the span over which a proxy counts what it sends to a cold replica
unpack = functools.lru_cache(maxsize=4096)(ballots.unpack)


@dataclasses.dataclass(frozen=True)
class Finding:
    """A check that was broken."""

    when: float
    check: str
    text: str


@dataclasses.dataclass
class ChosenConfiguration:
    """One value of the configuration's register."""

    version: int
    edition: int
    order_name: str
    seen_at: float


def order_name_of(body: dict) -> str:
    """The order that made this configuration: it stands in the first route."""
    routes = body.get("routes") or [{}]
    return routes[0].get("note", "")


class Recorder:
    """Collects what nodes and proxies do, and checks what can be told at once."""

    def __init__(self, *, clock, window_s: float, keeps_history: bool):
        self._clock = clock
        self._windows = {SLACKS: window_s, RATES: RATE_WINDOW_S}
        self._keeps_history = keeps_history
        self.history = []
        self.findings = []
        self.values = {}  # (register, version): (members, payload)
        self.newest = {}  # register: version
        self.configurations = []  # Chosen, in the order of their editions' first sight
        self._by_edition = {}
        self.owners = {}  # (duty, epoch): (holder, life)
        self._topics = {}  # (topic, epoch, number): data
        self._shares = {}  # proxy life: {kind: [(from, share)]}
        self._proxies = {}  # proxy life: Proxy
        self.most = {SLACKS: 0.0, RATES: 0.0}

    def record(self, text: str, **about) -> None:
        if self._keeps_history:
            described = " ".join(f"{name}={value}" for name, value in about.items())
            self.history.append((self._clock.time, f"{text} {described}"))

    def find(self, check: str, text: str) -> None:
        if sum(1 for finding in self.findings if finding.check == check) < MAX_FINDINGS:
            self.findings.append(Finding(when=self._clock.time, check=check, text=text))
        self.record(f"FINDING {check}: {text}")

    def failed_step(self, process, text: str) -> None:
        self.find("a step failed", f"{process.name}: {text.strip()}")

    # Registers and topics, as core nodes publish them.
    def watch(self, core) -> None:
        publish = core.publisher.publish
        own = (core.own, core.incarnation)

        def watched(*, topic, version, data, delta=None):
            is_new = publish(topic=topic, version=version, data=data, delta=delta)
            if is_new:
                self.published(own, topic, *version, data)
            return is_new

        core.publisher.publish = watched

    def published(self, own: tuple, topic: str, epoch: int, number: int, data: bytes) -> None:
        if topic in register_names.REGISTERS:
            self._handle_value(own[0], topic, number, data)
        else:
            self._handle_topic(own, topic, epoch, number, data)

    def _handle_value(self, node: str, name: str, version: int, data: bytes) -> None:
        value = unpack(data)
        known = self.values.get((name, version))
        if known is not None:
            if known != value:
                self.find("agreement", f"{name} {version}: {node} has {value}, another has {known}")
            return
        self.values[name, version] = value
        members, payload = value
        self.record("chosen", register=name, version=version, node=node, members=",".join(members))
        if version > self.newest.get(name, 0):
            self.newest[name] = version
        if name == register_names.CONFIGURATION and payload:
            self._handle_configuration(version, payload)
        elif name == register_names.SINGLETON_ROLES:
            self._check_role_holders(payload or {})

    def _handle_configuration(self, version: int, payload: dict) -> None:
        edition, order_name = payload["edition"], order_name_of(payload["body"])
        known = self._by_edition.get(edition)
        if known is not None:
            if known.order_name != order_name:
                self.find("configurations", f"edition {edition} stands for {known.order_name} and for {order_name}")
            return
        chosen = ChosenConfiguration(version=version, edition=edition, order_name=order_name, seen_at=self._clock.time)
        self._by_edition[edition] = chosen
        self.configurations.append(chosen)
        self.record("configuration chosen", edition=edition, order_name=order_name, version=version)

    def _check_role_holders(self, payload: dict) -> None:
        for role, (epoch, owner, incarnation) in payload.items():
            known = self.owners.setdefault((role, epoch), (owner, incarnation))
            if known != (owner, incarnation):
                self.find("duties", f"{role}, epoch {epoch}: {known} and {(owner, incarnation)}")

    def _handle_topic(self, own: tuple, topic: str, epoch: int, number: int, data: bytes) -> None:
        known = self._topics.get((topic, epoch, number))
        if known is None:
            self._topics[topic, epoch, number] = data
            self.record("told", topic=topic, epoch=epoch, number=number, node=own[0])
            if epoch and self.owners.get(("watch", epoch)) != own:
                owner = self.owners.get(("watch", epoch))
                self.find("topics", f"{topic} of epoch {epoch} comes from {own}; the duty was held by {owner}")
        elif known != data and epoch:
            self.find("topics", f"{topic} ({epoch}, {number}) has two contents")

    def body_of(self, edition: int):
        return self._by_edition.get(edition)

    # Proxies.
    def applied(self, proxy, topic: str, epoch: int, number: int, data: bytes) -> None:
        before = proxy.versions.get(topic, (0, 0))
        if (epoch, number) <= before:
            self.find("back", f"{proxy.host} goes from {topic} {before} to {(epoch, number)}")
        proxy.versions[topic] = (epoch, number)
        if topic not in register_names.REGISTERS:
            if self._topics.get((topic, epoch, number)) != data and epoch:
                self.find("topics", f"{proxy.host} has another {topic} ({epoch}, {number}) than was told")
            return
        if self.values.get((topic, number)) != unpack(data):
            self.find("agreement", f"{proxy.host} has a {topic} {number} that no core node has")
        payload = unpack(data)[1]
        if topic == register_names.CONFIGURATION and payload:
            if payload["edition"] < proxy.edition:
                self.find("back", f"{proxy.host} goes from edition {proxy.edition} to {payload['edition']}")
            proxy.edition = payload["edition"]
            self.record("applied", proxy=proxy.host, edition=proxy.edition)
        elif topic == register_names.EVACUATIONS:
            self.record("applied", proxy=proxy.host, evacuations=json.dumps(payload))

    def shares(self, proxy) -> None:
        """A proxy took an entry: what it may use from now on, and what all may have used within a bound's window."""
        now, offset = self._clock.time, proxy.process.offset
        rows = self._shares.setdefault(proxy.incarnation, {SLACKS: [], RATES: []})
        self._proxies[proxy.incarnation] = proxy
        entries = [lease for lease in proxy.quota.leases.values() if lease.until - offset > now]
        ends = sorted({lease.until for lease in entries})
        for column, kind in enumerate((SLACKS, RATES)):
            since = now - self._windows[kind]
            known = rows[kind]
            before = max((row for row in known if row[0] <= now), default=(0.0, 0.0))[1]
            known = [row for row, after in zip(known, [*known[1:], (now, 0.0)], strict=False) if after[0] > since]
            known = [row for row in known if row[0] < now]
            # Without a further entry the share falls as those held run out.
            for begin in (now + offset, *ends):
                share = sum(lease[column] for lease in entries if lease.until > begin)
                if not known or known[-1][1] != share:
                    known.append((begin - offset, share))
            rows[kind] = known
            if rows[kind] and sum(lease[column] for lease in entries) > before:
                self._check_sum(kind, now)

    def _check_sum(self, kind: str, now: float) -> None:
        since = now - self._windows[kind]
        total = 0.0
        parts = {}
        for incarnation, rows in self._shares.items():
            proxy = self._proxies[incarnation]
            if not proxy.process.is_alive:
                continue
            known = rows[kind]
            while len(known) > 1 and known[1][0] <= since:
                known.pop(0)
            parts[proxy.host] = max((share for begin, share in known if begin <= now), default=0.0)
            total += parts[proxy.host]
        self.most[kind] = max(self.most[kind], total)
        if total > 1.0 + EPSILON:
            described = ", ".join(f"{host} {share:.3f}" for host, share in sorted(parts.items()))
            self.find("grants", f"the shares of {kind} sum to {total:.3f}: {described}")
