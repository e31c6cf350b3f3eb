"""A model of roll-outs: the real holder, judge and proxies' side on a simulated network, with versions good and bad.

One replicated register (linearizable, as `pw.sim.control` checks the real one), three core nodes of which one holds the
duty, proxies with traffic, replicas of two versions. Troubles cut, freeze and kill nodes. `play(seed)` is one day.
"""

import collections
import dataclasses
import random
import types

from pw.base import records
from pw.ctl.rollouts import duty as duties
from pw.ctl.rollouts import ledger as ledgers
from pw.ctl.rollouts import leases
from pw.ctl.rollouts import orders
from pw.ctl.rollouts import plan
from pw.ctl.rollouts import state
from pw.dat import attempts
from pw.dat import rollouts
from pw.dat.digest import source as sources
from pw.sim import world as worlds

SERVICE, FORMER, NEW = "pool", "v1", "v2"
BEAT_S = 0.4
CONTACT_S = 6.0
RECEIPT_S = 8.0
ROLLBACK_S = 5.0
EXPOSURE = plan.Exposure(share=0.1, slack=50.0)
ORDER_AT = 2.0
END_AT = 30.0
ZONES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
ROUTES = ("draft", "query")
BAD_KINDS = ("errors", "slow", "one_class", "late")
TROUBLES = (
    "none",
    "cut_proxies",
    "freeze_proxies",
    "kill_proxies",
    "kill_holder",
    "cut_holder",
    "kill_all",
    "faulty_replica",
    "former_fails",
    "slow_all",
)
CORES = ("k1", "k2", "k3")
ALLOWED_STAGES = dict(state.NEXT_STAGES)  # as they should be, whatever is planted
BAD_ANSWERS = 50
TAKE_OVER_S = 1.5


@dataclasses.dataclass(frozen=True)
class Finding:
    """A check that a day broke."""

    check: str
    when: float
    text: str


@dataclasses.dataclass
class Report:
    """What came of one day."""

    seed: int
    kind: str  # "good", or how the version is bad
    troubles: tuple
    stage: str = ""
    ended_s: float = 0.0  # the age of the order at its end
    sent: int = 0
    sent_new: int = 0
    findings: list = dataclasses.field(default_factory=list)


class Settings:
    """Bounds of the model deployment."""

    def bound(self, *, name, default=0.0):
        return {"exposureShare": EXPOSURE.share, "exposureSlack": EXPOSURE.slack}.get(name, default)

    def bound_s(self, *, name, default=0.0):
        return {"rollbackMs": ROLLBACK_S}.get(name, default)


class Replica:
    """One replica; `fault` is its own, whatever its version."""

    def __init__(self, *, name: str, zone: str, edition: str):
        self.id = name
        self.key = records.key_of(name)
        self.zone = zone
        self.edition = edition
        self.is_gone = False
        self.is_faulty = False

    def row(self, *, cold: bool) -> dict:
        return {
            "id": self.id,
            "service": SERVICE,
            "zone": self.zone,
            "edition": self.edition,
            "berths": 16,
            "is_clearing": False,
            "cold_ms": 100.0 if cold else 0.0,
        }


class Core:
    """A core node: what it knows of the register, and the duty while it holds it."""

    def __init__(self, *, day, name: str):
        self.day = day
        self.name = name
        self.is_cut = False
        self.contact_until = 0.0
        self.start()

    def start(self) -> None:
        day = self.day
        self.is_up = True
        self.proxies = {}  # Origin: when it was heard
        self.duty = duties.RolloutDuty(
            settings=Settings(),
            now=day.world.now,
            change=self._change,
            listed=day.listed,
            zones=lambda: ZONES,
            out_zones=lambda: (),
            proxies=self._in_touch,
            contact_s=CONTACT_S,
            receipt_s=RECEIPT_S,
        )
        self.duty.install(day.payload)

    def _in_touch(self) -> list:
        now = self.day.world.now()
        return [origin for origin, when in self.proxies.items() if now - when < CONTACT_S / 5]

    def _change(self, *, name, edit, done) -> None:
        day, duty = self.day, self.duty
        if self.is_cut:
            day.world.later(RECEIPT_S / 2, lambda: done(TimeoutError("no majority"), 0, None, None))
            return
        # The round's end comes to the holder later than the choice.
        day.world.later(day.chance.uniform(0.02, 0.3), lambda: day.edit(edit))
        day.world.later(day.chance.uniform(0.3, 0.6), lambda: done(None, 0, None, None) if duty is self.duty else None)

    def beat(self) -> None:
        now = self.day.world.now()
        if not self.is_cut:
            self.contact_until = now + 0.3 * CONTACT_S
        if self.is_up and self.day.holds_duty(self) and now < self.contact_until:
            self.duty.tend()
        else:
            self.duty.rest()


class Proxy:
    """A proxy: its roll-outs, its traffic and its beat."""

    def __init__(self, *, day, name: str, per_s: float):
        self.day = day
        self.name = name
        self.per_s = per_s
        self.is_cut = False
        self.frozen_until = 0.0
        self.cut_since = None
        self.life = 0
        self.start()

    def start(self) -> None:
        self.life += 1
        self.running = collections.Counter()  # edition: attempts under way
        self.asked_at = 0.0  # when its last report was sent
        self.answered_at = 0.0  # the latest of its reports that was answered by leases
        self.rollouts = rollouts.Rollouts(
            now=self.day.world.now,
            chance=self.day.chance.random,
            running=lambda service, target: self._elsewhere(target),
        )
        self.install(self.day.payload)
        self.core = "k1"

    def _elsewhere(self, target: str) -> int:
        return sum(count for edition, count in self.running.items() if edition != target)

    def install(self, payload) -> None:
        if payload is not None:
            self.rollouts.install(payload)

    @property
    def is_in_touch(self) -> bool:
        return not self.is_cut and self.day.world.now() >= self.frozen_until

    def beat(self) -> None:
        day = self.day
        if self.is_cut or day.world.now() < self.frozen_until:
            return
        report = self.rollouts.report()
        self.asked_at = day.world.now()
        origin = ledgers.Origin(address=self.name, life=str(self.life))
        if day.chance.random() < 0.3 or not day.cores[self.core].is_up:
            self.core = day.holder  # news of the duty come late
        core = day.cores[self.core]
        rollout = self.rollouts
        day.world.later(day.chance.uniform(0.005, 0.08), lambda: self._told(core, origin, report, rollout))

    def _told(self, core: Core, origin, report, rollout) -> None:
        if not core.is_up:
            return
        core.proxies[origin] = self.day.world.now()
        if report is None:
            return
        number, data = report
        answer = core.duty.take_evidence(origin=origin, data=data)
        if answer is None:
            return
        self.day.note_answered(core)
        asked_at = self.asked_at

        def take():
            if rollout is self.rollouts and not self.is_cut:
                self.answered_at = max(self.answered_at, asked_at)
                rollout.take_leases(number=number, life_s=core.duty.lease_s, leases=leases.unpack(answer))

        self.day.world.later(self.day.chance.uniform(0.005, 0.4), take)

    def request(self) -> None:
        """One request: to a pool's replica, and on to the former version where it fails."""
        day = self.day
        if day.world.now() < self.frozen_until:
            return
        self.send(route=day.chance.choice(ROUTES), is_first=True)

    def send(self, *, route: str, is_first: bool) -> None:
        day = self.day
        replica = None
        for pool in self.rollouts.pools(service=SERVICE, is_first=is_first):
            there = [
                one
                for one in day.replicas
                if (pool is None or pool.has(one))
                and not one.is_gone
                and one.id in day.seen_rows
                and (pool is None or not pool.replicas or one.id in pool.replicas)
            ]
            if there:
                replica = day.chance.choice(there)
                break
        if replica is None:
            day.unserved += 1
            return
        self.rollouts.note_send(service=SERVICE, replica=replica)
        self.running[replica.edition] += 1
        day.note_send(self, replica)
        attempt = day.attempt(replica, route)
        rollout, life = self.rollouts, self.life

        def end():
            if life != self.life:
                return
            self.running[replica.edition] -= 1
            is_cut_off = replica.is_gone
            kind = sources.FAILED if is_cut_off or attempt.status >= 500 else sources.DONE
            attempt.is_complete = not is_cut_off
            rollout.note_end(service=SERVICE, route=route, attempt=attempt, kind=kind, aim_s=0.8, expected_s=0.05)
            day.note_answer(replica, attempt)
            if kind == sources.FAILED and is_first:
                self.send(route=route, is_first=False)

        day.world.later(attempt.last_at - attempt.sent_at, end)


class Day:
    """One day, with all its nodes."""

    def __init__(self, *, seed: int, kind: str = "", troubles: tuple | None = None):
        self.chance = random.Random(seed)
        self.world = worlds.World(seed=seed)
        self.kind = kind or self.chance.choice(("good", *BAD_KINDS))
        self.troubles = (
            tuple(self.chance.sample(TROUBLES, self.chance.randint(1, 2))) if troubles is None else tuple(troubles)
        )
        self.report = Report(seed=seed, kind=self.kind, troubles=self.troubles)
        self.over_s = self.chance.uniform(12.0, 18.0)
        self.late_s = self.chance.uniform(2.0, 3.5)
        admitted = state.Rollout(admitted=(FORMER,), step=1)
        self.payload = state.with_rollout(None, service=SERVICE, rollout=admitted)
        self.stages = []
        self.replicas = [self._replica(FORMER, number) for number in range(24)]
        self.seen_rows = {one.id for one in self.replicas}
        self.new_from = None
        self.unserved = 0
        self.sends = []  # (when, is new, is in touch)
        self.bad_answers = []
        self.cores = {name: Core(day=self, name=name) for name in CORES}
        self.holder = "k1"
        self.holder_lost_at = None
        self.is_slow = self.former_fails = False
        per_s = self.chance.choice((40.0, 120.0, 200.0))
        count = self.chance.choice((12, 30, 60))
        self.proxies = [
            Proxy(day=self, name=f"p{number}", per_s=per_s / count * self.chance.uniform(0.3, 1.7))
            for number in range(count)
        ]

    def _replica(self, edition: str, number: int) -> Replica:
        zones = tuple(ZONES)
        return Replica(name=f"{edition}-{number}", zone=zones[number % len(zones)], edition=edition)

    # The world.
    def listed(self) -> list:
        now = self.world.now()
        return [
            one.row(cold=one.edition == NEW and now < self.new_from + 2.0)
            for one in self.replicas
            if one.id in self.seen_rows and not one.is_gone
        ]

    def edit(self, edit) -> None:
        """One round of the register: the value is chosen now, and comes to each node later."""
        chosen, said = edit(self.payload)
        if chosen is self.payload:
            return
        self.payload = chosen
        row = state.rollouts_of(chosen).get(SERVICE, state.Rollout())
        self._note_stage(row)
        for core in self.cores.values():
            self._tell_core(core, chosen)
        for proxy in self.proxies:
            self._tell_proxy(proxy, chosen)

    def _tell_core(self, core: Core, chosen) -> None:
        def tell():
            if core.is_cut:
                self.world.later(0.3, tell)
            elif core.is_up and chosen is self.payload:
                core.duty.install(chosen)

        self.world.later(self.chance.uniform(0.0, 0.1), tell)

    def _tell_proxy(self, proxy: Proxy, chosen) -> None:
        life = proxy.life

        def tell():
            if proxy.life != life or chosen is not self.payload:
                return
            if proxy.is_in_touch:
                proxy.install(chosen)
            else:
                self.world.later(0.3, tell)

        self.world.later(self.chance.uniform(0.02, 0.8), tell)

    def holds_duty(self, core: Core) -> bool:
        return self.holder == core.name or core.name == getattr(self, "former_holder", None)

    def attempt(self, replica: Replica, route: str):
        now = self.world.now()
        is_bad = self._is_bad(replica, route, now)
        failed = is_bad and self.kind != "slow"
        if replica.is_faulty:
            failed = failed or self.chance.random() < 0.5
        if self.former_fails:
            failed = failed or self.chance.random() < 0.15
        first_s = 0.05 + self.chance.expovariate(1 / 0.03)
        rest_s = self.chance.expovariate(1 / 0.8)
        if self.is_slow:
            first_s, rest_s = first_s * 4, rest_s * 3
        if is_bad and self.kind == "slow":
            first_s, rest_s = first_s * 8, rest_s * 8
        if failed:
            first_s, rest_s = 0.02, 0.0
        pieces = 1 if failed else 10
        return types.SimpleNamespace(
            replica=replica,
            outlet=types.SimpleNamespace(is_unsent=False),
            meaning=attempts.Meaning.FAILURE if failed else attempts.Meaning.SUCCESS,
            status=500 if failed else 200,
            is_complete=True,
            is_bad=is_bad,
            arrival=None,
            sent_at=now,
            first_at=now + first_s,
            last_at=now + first_s + rest_s,
            pieces=pieces,
        )

    def _is_bad(self, replica: Replica, route: str, now: float) -> bool:
        if self.kind == "good" or replica.edition != NEW or self.chance.random() >= 0.5:
            return False
        if self.kind == "one_class":
            return route == ROUTES[0]
        return self.kind != "late" or now >= self.new_from + self.late_s

    # Checks.
    def _find(self, check: str, text: str) -> None:
        self.report.findings.append(Finding(check=check, when=round(self.world.now(), 3), text=text))

    def _note_stage(self, row: state.Rollout) -> None:
        if not row.number or (self.stages and self.stages[-1] == row.stage):
            return
        known = self.stages[-1] if self.stages else None
        if known is not None and row.stage not in ALLOWED_STAGES.get(known, ()):
            self._find("stage", f"{row.stage} after {known}")
        self.stages.append(row.stage)
        if row.stage in state.ENDED:
            self.report.ended_s = self.world.now() - ORDER_AT
        if row.stage == state.Stage.DELIVERED:
            self._deliver()

    def _deliver(self) -> None:
        """The former replicas stop at once."""
        is_forced = self.world.now() - ORDER_AT >= plan.DELIVER_SILENT_PART * self.over_s
        running = sum(proxy.running[FORMER] for proxy in self.proxies if proxy.is_in_touch)
        if running and not is_forced and not self._had_losses():
            self._find("delivered", f"{running} attempts run at the former version")
        for replica in self.replicas:
            replica.is_gone = replica.is_gone or replica.edition == FORMER

    def _had_losses(self) -> bool:
        return bool({"cut_proxies", "freeze_proxies", "kill_proxies", "kill_all"} & set(self.troubles))

    def note_send(self, proxy: Proxy, replica: Replica) -> None:
        now = self.world.now()
        is_new = replica.edition == NEW
        if is_new and not self.stages:
            self._find("admitted", "a request to a version that nobody let in")
        self._check_lease(proxy, is_new, now)
        is_in_touch = proxy.is_in_touch
        self.sends.append((now, is_new, is_in_touch))
        if is_new and is_in_touch and self.kind != "good" and len(self.bad_answers) >= BAD_ANSWERS:
            if now > self.bad_answers[BAD_ANSWERS - 1] + ROLLBACK_S:
                self._find("rollback", f"{now - self.bad_answers[BAD_ANSWERS - 1]:.2f} s after the bad answers")

    def _check_lease(self, proxy: Proxy, is_new: bool, now: float) -> None:
        """Before all are to go there, a request to the new version wants a lease that was asked for lately."""
        is_leased = self.stages and self.stages[-1] in (state.Stage.CANARY, state.Stage.PROMOTING, state.Stage.RETURNED)
        if is_new and is_leased and now - proxy.answered_at > ROLLBACK_S * duties.LEASE_PART + 0.01:
            if state.Stage.DRAINING not in self.stages:
                self._find("lease", f"{now - proxy.answered_at:.2f} s after its last lease was asked for")

    def note_answered(self, core: Core) -> None:
        """A core node hands out leases: it must be in contact, or have been so a moment ago."""
        if self.world.now() > core.contact_until + CONTACT_S / 5:
            self._find("holder", f"{core.name} hands out leases without contact")

    def note_answer(self, replica: Replica, attempt) -> None:
        if replica.edition == NEW and attempt.is_bad:
            self.bad_answers.append(self.world.now())

    def _check_exposure(self) -> None:
        term = ORDER_AT + self.over_s
        during = [row for row in self.sends if ORDER_AT <= row[0] <= term]
        self.report.sent = len(during)
        self.report.sent_new = sum(is_new for _when, is_new, is_in_touch in during if is_in_touch)
        allowed = EXPOSURE.share * len(during) + EXPOSURE.slack
        if self.kind != "good" and self.report.sent_new > allowed:
            self._find("exposure", f"{self.report.sent_new} of {len(during)}, {allowed:.0f} allowed")

    # Troubles.
    def _trouble(self, name: str) -> None:
        chance = self.chance
        when = chance.uniform(ORDER_AT - 1.0, ORDER_AT + self.over_s)
        for_s = chance.uniform(1.0, 7.0)
        some = [proxy for proxy in self.proxies if chance.random() < 0.3]
        acts = {
            "cut_proxies": lambda: self._cut(some, for_s),
            "freeze_proxies": lambda: self._freeze(some, for_s),
            "kill_proxies": lambda: [proxy.start() for proxy in some],
            "kill_holder": lambda: self._kill(self.cores[self.holder], 1.0),
            "cut_holder": lambda: self._cut_holder(for_s),
            "kill_all": lambda: [self._kill(core, 0.8) for core in self.cores.values()],
            "faulty_replica": lambda: self._make_faulty(for_s),
            "former_fails": lambda: self._set("former_fails", for_s),
            "slow_all": lambda: self._set("is_slow", for_s),
            "none": lambda: None,
        }
        self.world.later(when, acts[name])

    def _set(self, name: str, for_s: float) -> None:
        setattr(self, name, True)
        self.world.later(for_s, lambda: setattr(self, name, False))

    def _make_faulty(self, for_s: float) -> None:
        fresh = [one for one in self.replicas if one.edition == NEW] or self.replicas
        replica = self.chance.choice(fresh)
        replica.is_faulty = True
        self.world.later(for_s, lambda: setattr(replica, "is_faulty", False))

    def _cut(self, proxies: list, for_s: float) -> None:
        for proxy in proxies:
            proxy.is_cut = True
            self.world.later(for_s, lambda proxy=proxy: setattr(proxy, "is_cut", False))

    def _freeze(self, proxies: list, for_s: float) -> None:
        for proxy in proxies:
            proxy.frozen_until = self.world.now() + for_s

    def _kill(self, core: Core, down_s: float) -> None:
        core.is_up = False
        core.duty.rest()

        def back():
            core.start()
            core.is_cut = False

        self.world.later(down_s, back)
        self.world.later(TAKE_OVER_S, self._take_over)

    def _cut_holder(self, for_s: float) -> None:
        """It goes on until its contact runs out; another one takes the duty before it knows."""
        core = self.cores[self.holder]
        core.is_cut = True
        self.former_holder = core.name
        self.world.later(for_s, lambda: setattr(core, "is_cut", False))
        self.world.later(min(for_s, TAKE_OVER_S), self._take_over)
        self.world.later(for_s + 0.5, lambda: setattr(self, "former_holder", None))

    def _take_over(self) -> None:
        others = [
            name for name in CORES if name != self.holder and self.cores[name].is_up and not self.cores[name].is_cut
        ]
        if others:
            self.holder = others[0]

    # The day.
    def _order(self) -> None:
        order = orders.Order(service=SERVICE, target=NEW, over_s=self.over_s)
        self.edit(orders.edit_for(order=order, is_late=lambda: False))

    def _start_new(self) -> None:
        self.new_from = self.world.now()
        fresh = [self._replica(NEW, number) for number in range(24)]
        self.replicas += fresh
        self.world.later(self.chance.uniform(0.0, 1.0), lambda: self.seen_rows.update(one.id for one in fresh))

    def _repeat(self, gap: float, act) -> None:
        def again():
            act()
            self.world.later(gap, again)

        self.world.later(self.chance.uniform(0.0, gap), again)

    def _arrive(self, proxy: Proxy) -> None:
        proxy.request()
        self.world.later(self.chance.expovariate(proxy.per_s), lambda: self._arrive(proxy))

    def play(self) -> Report:
        for core in self.cores.values():
            self._repeat(BEAT_S, core.beat)
        for proxy in self.proxies:
            self._repeat(BEAT_S, proxy.beat)
            self.world.later(self.chance.expovariate(proxy.per_s), lambda proxy=proxy: self._arrive(proxy))
        self.world.later(ORDER_AT, self._order)
        self.world.later(
            ORDER_AT + self.chance.uniform(-1.0, 0.5), self._start_new
        )  # the list may be ahead of the order
        for name in self.troubles:
            self._trouble(name)
        self.world.run(until=END_AT)
        self._check_exposure()
        row = state.rollouts_of(self.payload)[SERVICE]
        self.report.stage = str(row.stage)
        return self.report


def play(seed: int, *, kind: str = "", troubles: tuple | None = None) -> Report:
    """One day of the model."""
    return Day(seed=seed, kind=kind, troubles=troubles).play()
