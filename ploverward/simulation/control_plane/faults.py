"""Troubles of the model world, each a method that begins one and says when it ends. No more than the tolerated number of
counted machines are lost at once; what would lose more waits its turn (docs/simulate.md)."""

FREEZE_S = (0.3, 12.0)
DOWN_S = (0.3, 8.0)
PARTITION_DURATION_S = (1.0, 14.0)
DISK_S = (1.0, 8.0)
CLOSING_S = 3.0
WEIGHTS = {
    "kill": 3,
    "power": 3,
    "empty": 2,
    "freeze": 3,
    "cut": 4,
    "cut_one_way": 2,
    "reset": 2,
    "slow": 1,
    "disk": 3,
    "replace": 3,
    "replace_at_once": 3,
    "replace_in_order": 2,
    "proxy_kill": 1,
    "proxy_freeze": 1,
    "proxy_cut": 1,
    "lose_answers": 1,
    "platform": 1,
    "probe": 2,
    "all_killed": 0.3,
    "all_power": 0.3,
}
CLOSING = ("all_killed", "all_power", "disks_lost", "disks_lost_others_power", "")
DISK_FAULT_KINDS = ("slow", "stall", "refuse", "refuse_late", "full")


class FaultInjector:
    """Draws troubles and plays them on a day (ploverward/simulation/control_plane/scenario.py)."""

    def __init__(self, *, simulation, kinds: tuple, gap_s: float):
        self._simulation = simulation
        self._clock = simulation.clock
        self._chance = simulation.clock.chance
        self._kinds = [kind for kind in kinds if kind in WEIGHTS]
        self._weights = [WEIGHTS[kind] for kind in self._kinds]
        self._gap_s = gap_s
        self._until = 0.0
        self.is_over = False

    def start(self, *, begin: float, until: float) -> None:
        self._until = until
        if self._kinds:
            self._clock.schedule(when=begin, callback=self._next)

    def _next(self) -> None:
        if self.is_over or self._clock.time >= self._until:
            return
        kind = self._chance.choices(self._kinds, self._weights)[0]
        getattr(self, f"_{kind}")()
        self._clock.later(delay=self._chance.uniform(0.1, 2.0) * self._gap_s, callback=self._next)

    def _span(self, bounds: tuple) -> float:
        """Short ones are as likely as long ones, and none outlasts the time for troubles."""
        low, high = bounds
        span = low * (high / low) ** self._chance.random()
        return max(0.05, min(span, self._until - self._clock.time))

    def _pick(self):
        """Slots that may be lost now, on top of those that are; often several at once."""
        simulation = self._simulation
        free = simulation.tolerated - len(simulation.lost_slots())
        healthy = [slot for slot in simulation.slots if not simulation.is_lost(slot)]
        if free <= 0 or not healthy:
            return []
        count = min(len(healthy), self._chance.randint(1, free))
        return self._chance.sample(healthy, count)

    def _lose(self, name: str, slots) -> None:
        for slot in slots:
            self._simulation.lose(slot)
        self._simulation.record_fault_edge(f"{name} begins", slots)

    def _recover(self, name: str, slots) -> None:
        for slot in slots:
            self._simulation.recover(slot)
        self._simulation.record_fault_edge(f"{name} ends", slots)

    def _kill(self) -> None:
        self._down("kill", is_power_lost=False)

    def _power(self) -> None:
        self._down("power", is_power_lost=True)

    def _empty(self) -> None:
        self._down("empty", is_power_lost=self._chance.random() < 0.5, is_emptied=True)

    def _down(self, name: str, *, is_power_lost: bool, is_emptied: bool = False, slots=None) -> None:
        slots = self._pick() if slots is None else slots
        if not slots:
            return
        span = self._span(DOWN_S)
        self._lose(name, slots)
        for slot in slots:
            self._simulation.stop(slot, is_power_lost=is_power_lost)
            if is_emptied:
                slot.machine.disk.empty()

        def end():
            for slot in slots:
                self._simulation.restart(slot, is_emptied=is_emptied)
            self._recover(name, slots)

        self._clock.later(delay=span, callback=end)

    def _freeze(self) -> None:
        slots = self._pick()
        if not slots:
            return
        span = self._span(FREEZE_S)
        self._lose("freeze", slots)
        processes = [slot.machine.process for slot in slots]
        for process in processes:
            process.is_frozen = True

        def end():
            for process in processes:
                if process.is_alive:
                    process.thaw()
            self._recover("freeze", slots)

        self._clock.later(delay=span, callback=end)

    def _pairs(self, slots, *, span: float, is_out: bool, is_in: bool) -> list:
        """From and to all other machines; with the proxies of a region at times on the lost side."""
        own = [slot.machine.host for slot in slots]
        beside = [host for host in self._simulation.proxy_hosts() if self._chance.random() < 0.4]
        inside = set(own) | set(beside)
        others = [
            host for host in (*self._simulation.core_hosts(), *self._simulation.proxy_hosts()) if host not in inside
        ]
        if self._chance.random() < 0.5:
            inside = own  # the proxies reach both sides
            others = [host for host in self._simulation.core_hosts() if host not in own]
        for host in set(inside) - set(own):
            self._simulation.proxy_fault_until[host] = self._clock.time + span
        pairs = [(one, other) for one in sorted(inside) for other in others]
        return (pairs if is_out else []) + ([(other, one) for one, other in pairs] if is_in else [])

    def _cut(self) -> None:
        self._isolate("cut", is_out=True, is_in=True)

    def _cut_one_way(self) -> None:
        is_out = self._chance.random() < 0.5
        self._isolate("cut one way", is_out=is_out, is_in=not is_out)

    def _isolate(self, name: str, *, is_out: bool, is_in: bool) -> None:
        slots = self._pick()
        if not slots:
            return
        span = self._span(PARTITION_DURATION_S)
        pairs = self._pairs(slots, span=span, is_out=is_out, is_in=is_in)
        self._lose(name, slots)
        self._simulation.network.partition(pairs=pairs, is_reset=self._chance.random() < 0.3)
        for slot in slots:
            self._simulation.isolated_since[slot.machine.host] = self._clock.time

        def end():
            for slot in slots:
                self._simulation.isolated_since.pop(slot.machine.host, None)
            self._simulation.network.join(pairs=pairs)
            self._recover(name, slots)

        self._clock.later(delay=span, callback=end)

    def _reset(self) -> None:
        """Connections of one machine are reset; nothing is lost by it."""
        host = self._chance.choice(self._simulation.core_hosts())
        others = [other for other in (*self._simulation.core_hosts(), *self._simulation.proxy_hosts()) if other != host]
        self._simulation.record_fault_edge(f"reset of {host}", ())
        self._simulation.network.reset(pairs=[(host, other) for other in others])

    def _slow(self) -> None:
        slots = self._pick()
        if not slots:
            return
        span = self._span(PARTITION_DURATION_S)
        self._lose("slow", slots)
        hosts = [slot.machine.host for slot in slots]
        for host in hosts:
            self._simulation.network.slow[host] = self._chance.uniform(0.05, 0.6)

        def end():
            for host in hosts:
                self._simulation.network.slow.pop(host, None)
            self._recover("slow", slots)

        self._clock.later(delay=span, callback=end)

    def _disk(self) -> None:
        slots = self._pick()
        if not slots:
            return
        span = self._span(DISK_S)
        kind = self._chance.choice(DISK_FAULT_KINDS)
        self._lose(f"disk {kind}", slots)
        disks = [slot.machine.disk for slot in slots]
        for disk in disks:
            disk.fault = kind
            disk.stalled_until = self._clock.time + span if kind == "stall" else 0.0

        def end():
            for disk in disks:
                disk.fault = ""
            self._recover(f"disk {kind}", slots)

        self._clock.later(delay=span, callback=end)

    # Replacement: the slot stays, its machine is another one, at a new address.
    def _replace(self) -> None:
        """Unplanned: the machine is gone, its successor starts later."""
        self._replace_slots("replace", pause=self._span((0.2, 6.0)), is_in_order=False)

    def _replace_at_once(self) -> None:
        self._replace_slots("replace at once", pause=0.0, is_in_order=False)

    def _replace_in_order(self) -> None:
        """Planned: SIGTERM, and the successor starts before or after it."""
        self._replace_slots("replace in order", pause=self._chance.uniform(-2.0, 2.0), is_in_order=True)

    def _replace_slots(self, name: str, *, pause: float, is_in_order: bool) -> None:
        slots = self._pick()
        if not slots:
            return
        self._lose(name, slots)
        for slot in slots:
            before = slot.machine
            if pause < 0:
                self._simulation.start_successor(slot)
                self._clock.later(
                    delay=-pause,
                    callback=lambda before=before: self._simulation.remove(before, is_in_order=is_in_order),
                )
            else:
                self._simulation.remove(before, is_in_order=is_in_order)
                if pause:
                    self._clock.later(delay=pause, callback=lambda slot=slot: self._simulation.start_successor(slot))
                else:
                    self._simulation.start_successor(slot)
        self._clock.later(delay=max(pause, -pause), callback=lambda: self._recover(name, slots))

    # Proxies, operators, platform: nothing of the core is lost.
    def _proxy_kill(self) -> None:
        host = self._chance.choice(self._simulation.proxy_hosts())
        self._simulation.recorder.record("proxy killed", host=host)
        self._simulation.stop_proxy(host, is_power_lost=self._chance.random() < 0.5)
        self._clock.later(delay=self._span(DOWN_S), callback=lambda: self._simulation.start_proxy(host))

    def _proxy_freeze(self) -> None:
        host = self._chance.choice(self._simulation.proxy_hosts())
        process = self._simulation.network.machines[host].process
        if process is None or not process.is_alive or process.is_frozen:
            return
        self._simulation.recorder.record("proxy frozen", host=host)
        process.is_frozen = True

        self._disturb(host, self._span(FREEZE_S), lambda: process.thaw() if process.is_alive else None)

    def _disturb(self, host: str, span: float, end) -> None:
        """A trouble of one proxy, which is not calm until contactMs after it."""
        until = max(self._simulation.proxy_fault_until.get(host, 0.0), self._clock.time + span)
        self._simulation.proxy_fault_until[host] = until
        self._clock.later(delay=span, callback=end)

    def _proxy_cut(self) -> None:
        host = self._chance.choice(self._simulation.proxy_hosts())
        others = [other for other in self._simulation.core_hosts() if self._chance.random() < 0.7]
        pairs = [(host, other) for other in others] + [(other, host) for other in others]
        self._simulation.recorder.record("proxy cut", host=host, others=",".join(others))
        self._simulation.network.partition(pairs=pairs, is_reset=self._chance.random() < 0.3)
        self._disturb(host, self._span(PARTITION_DURATION_S), lambda: self._simulation.network.join(pairs=pairs))

    def _lose_answers(self) -> None:
        operators = self._simulation.operators
        operators.loses_answers = True
        self._clock.later(
            delay=self._span(PARTITION_DURATION_S), callback=lambda: setattr(operators, "loses_answers", False)
        )

    def _platform(self) -> None:
        platform = self._simulation.platform
        platform.change()
        if self._chance.random() < 0.5:
            platform.is_up = False
            self._clock.later(delay=self._span(PARTITION_DURATION_S), callback=lambda: setattr(platform, "is_up", True))

    def _probe(self) -> None:
        """An order sent to a node that is cut off now."""
        hosts = sorted(self._simulation.isolated_since)
        if hosts:
            self._simulation.probe(self._chance.choice(hosts))

    # All at once: disks stay, but for the closing faults that say so.
    def _all_killed(self) -> None:
        self._simulation.at_moment(lambda: self._all("all_killed", emptied=[]))

    def _all_power(self) -> None:
        self._simulation.at_moment(lambda: self._all("all_power", emptied=[]))

    def close(self, kind: str) -> None:
        """The closing fault, right after an acknowledgement. Those still lost stay within what is tolerated."""
        simulation = self._simulation
        self._until = self._clock.time + CLOSING_S
        if kind in ("all_killed", "all_power"):
            self._all(kind, emptied=[])
            return
        free = simulation.tolerated - len(simulation.lost_slots())
        healthy = [slot for slot in simulation.slots if not simulation.is_lost(slot)]
        emptied = self._chance.sample(healthy, min(free, len(healthy))) if free > 0 else []
        if kind == "disks_lost_others_power":
            self._all("all_power", emptied=emptied)
        elif emptied:
            self._down("disks lost", is_power_lost=True, is_emptied=True, slots=emptied)

    def _all(self, kind: str, *, emptied) -> None:
        slots = [slot for slot in self._simulation.slots if not slot.is_down]
        self._lose(kind, slots)
        for slot in slots:
            self._simulation.stop(slot, is_power_lost=kind == "all_power")
            if slot in emptied:
                slot.machine.disk.empty()

        def end():
            for slot in slots:
                self._simulation.restart(slot, is_emptied=slot in emptied)
            self._recover(kind, slots)

        self._clock.later(delay=self._chance.uniform(0.3, 3.0), callback=end)
