"""Nodes of the model of roll-outs (ploverward/simulation/rollout_simulation.py): replicas of two versions, core nodes and proxies with the real
holder and the real proxies' side. `day` is the `rollout_world.Day` that they belong to."""

import collections

from ploverward.transport import row_codec
from ploverward.control_plane.rollouts import manager
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import evidence_table
from ploverward.control_plane.rollouts import planner
from ploverward.data_plane.rollouts import version_routing
from ploverward.data_plane.load_reports import report_source

SERVICE, FORMER, NEW = "pool", "v1", "v2"
CONTACT_S = 6.0
RECEIPT_S = 8.0
ROLLBACK_S = 5.0
EXPOSURE = planner.Exposure(share=0.1, slack=50.0)
ZONES = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
ROUTES = ("draft", "query")


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
        self.key = row_codec.key_of(name)
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
        self.duty = manager.RolloutDuty(
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
        self.rollouts = version_routing.Rollouts(
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
        origin = evidence_table.Origin(address=self.name, life=str(self.life))
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
            kind = report_source.FAILED if is_cut_off or attempt.status >= 500 else report_source.DONE
            attempt.is_complete = not is_cut_off
            rollout.note_end(service=SERVICE, route=route, attempt=attempt, kind=kind, aim_s=0.8, expected_s=0.05)
            day.note_answer(replica, attempt)
            if kind == report_source.FAILED and is_first:
                self.send(route=route, is_first=False)

        day.world.later(attempt.last_at - attempt.sent_at, end)
