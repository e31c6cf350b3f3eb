"""Troubles of the model world, each a method that begins one and says when it ends. No more than the tolerated number of
counted machines are lost at once; what would lose more waits its turn (docs/simulate.md)."""

FREEZE_S = (0.3, 12.0)
DOWN_S = (0.3, 8.0)
CUT_S = (1.0, 14.0)
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
DISK_TROUBLES = ("slow", "stall", "refuse", "refuse_late", "full")


class Troubles:
    """Draws troubles and plays them on a day (ploverward/simulation/control_plane/scenario.py)."""

    def __init__(self, *, day, kinds: tuple, gap_s: float):
        self._day = day
        self._clock = day.clock
        self._chance = day.clock.chance
        self._kinds = [kind for kind in kinds if kind in WEIGHTS]
        self._weights = [WEIGHTS[kind] for kind in self._kinds]
        self._gap_s = gap_s
        self._until = 0.0
        self.is_over = False

    def start(self, *, begin: float, until: float) -> None:
        self._until = until
        if self._kinds:
            self._clock.schedule(when=begin, act=self._next)

    def _next(self) -> None:
        if self.is_over or self._clock.time >= self._until:
            return
        kind = self._chance.choices(self._kinds, self._weights)[0]
        getattr(self, f"_{kind}")()
        self._clock.later(delay=self._chance.uniform(0.1, 2.0) * self._gap_s, act=self._next)

    def _span(self, bounds: tuple) -> float:
        """Short ones are as likely as long ones, and none outlasts the time for troubles."""
        low, high = bounds
        span = low * (high / low) ** self._chance.random()
        return max(0.05, min(span, self._until - self._clock.time))

    def _pick(self):
        """Slots that may be lost now, on top of those that are; often several at once."""
        day = self._day
        free = day.tolerated - len(day.lost_slots())
        healthy = [slot for slot in day.slots if not day.is_lost(slot)]
        if free <= 0 or not healthy:
            return []
        count = min(len(healthy), self._chance.randint(1, free))
        return self._chance.sample(healthy, count)

    def _lose(self, name: str, slots) -> None:
        for slot in slots:
            self._day.lose(slot)
        self._day.edge(f"{name} begins", slots)

    def _back(self, name: str, slots) -> None:
        for slot in slots:
            self._day.come_back(slot)
        self._day.edge(f"{name} ends", slots)

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
            self._day.stop(slot, is_power_lost=is_power_lost)
            if is_emptied:
                slot.machine.disk.empty()

        def end():
            for slot in slots:
                self._day.restart(slot, is_emptied=is_emptied)
            self._back(name, slots)

        self._clock.later(delay=span, act=end)

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
            self._back("freeze", slots)

        self._clock.later(delay=span, act=end)

    def _pairs(self, slots, *, span: float, is_out: bool, is_in: bool) -> list:
        """From and to all other machines; with the proxies of a region at times on the lost side."""
        own = [slot.machine.host for slot in slots]
        beside = [host for host in self._day.proxy_hosts() if self._chance.random() < 0.4]
        inside = set(own) | set(beside)
        others = [host for host in (*self._day.core_hosts(), *self._day.proxy_hosts()) if host not in inside]
        if self._chance.random() < 0.5:
            inside = own  # the proxies reach both sides
            others = [host for host in self._day.core_hosts() if host not in own]
        for host in set(inside) - set(own):
            self._day.proxy_trouble[host] = self._clock.time + span
        pairs = [(one, other) for one in sorted(inside) for other in others]
        return (pairs if is_out else []) + ([(other, one) for one, other in pairs] if is_in else [])

    def _cut(self) -> None:
        self._cut_off("cut", is_out=True, is_in=True)

    def _cut_one_way(self) -> None:
        is_out = self._chance.random() < 0.5
        self._cut_off("cut one way", is_out=is_out, is_in=not is_out)

    def _cut_off(self, name: str, *, is_out: bool, is_in: bool) -> None:
        slots = self._pick()
        if not slots:
            return
        span = self._span(CUT_S)
        pairs = self._pairs(slots, span=span, is_out=is_out, is_in=is_in)
        self._lose(name, slots)
        self._day.network.cut(pairs=pairs, is_reset=self._chance.random() < 0.3)
        for slot in slots:
            self._day.isolated_since[slot.machine.host] = self._clock.time

        def end():
            for slot in slots:
                self._day.isolated_since.pop(slot.machine.host, None)
            self._day.network.join(pairs=pairs)
            self._back(name, slots)

        self._clock.later(delay=span, act=end)

    def _reset(self) -> None:
        """Connections of one machine are reset; nothing is lost by it."""
        host = self._chance.choice(self._day.core_hosts())
        others = [other for other in (*self._day.core_hosts(), *self._day.proxy_hosts()) if other != host]
        self._day.edge(f"reset of {host}", ())
        self._day.network.reset(pairs=[(host, other) for other in others])

    def _slow(self) -> None:
        slots = self._pick()
        if not slots:
            return
        span = self._span(CUT_S)
        self._lose("slow", slots)
        hosts = [slot.machine.host for slot in slots]
        for host in hosts:
            self._day.network.slow[host] = self._chance.uniform(0.05, 0.6)

        def end():
            for host in hosts:
                self._day.network.slow.pop(host, None)
            self._back("slow", slots)

        self._clock.later(delay=span, act=end)

    def _disk(self) -> None:
        slots = self._pick()
        if not slots:
            return
        span = self._span(DISK_S)
        kind = self._chance.choice(DISK_TROUBLES)
        self._lose(f"disk {kind}", slots)
        disks = [slot.machine.disk for slot in slots]
        for disk in disks:
            disk.trouble = kind
            disk.stalled_until = self._clock.time + span if kind == "stall" else 0.0

        def end():
            for disk in disks:
                disk.trouble = ""
            self._back(f"disk {kind}", slots)

        self._clock.later(delay=span, act=end)

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
                self._day.start_successor(slot)
                self._clock.later(
                    delay=-pause, act=lambda before=before: self._day.remove(before, is_in_order=is_in_order)
                )
            else:
                self._day.remove(before, is_in_order=is_in_order)
                if pause:
                    self._clock.later(delay=pause, act=lambda slot=slot: self._day.start_successor(slot))
                else:
                    self._day.start_successor(slot)
        self._clock.later(delay=max(pause, -pause), act=lambda: self._back(name, slots))

    # Proxies, operators, platform: nothing of the core is lost.
    def _proxy_kill(self) -> None:
        host = self._chance.choice(self._day.proxy_hosts())
        self._day.recorder.note("proxy killed", host=host)
        self._day.stop_proxy(host, is_power_lost=self._chance.random() < 0.5)
        self._clock.later(delay=self._span(DOWN_S), act=lambda: self._day.start_proxy(host))

    def _proxy_freeze(self) -> None:
        host = self._chance.choice(self._day.proxy_hosts())
        process = self._day.network.machines[host].process
        if process is None or not process.is_alive or process.is_frozen:
            return
        self._day.recorder.note("proxy frozen", host=host)
        process.is_frozen = True

        self._disturb(host, self._span(FREEZE_S), lambda: process.thaw() if process.is_alive else None)

    def _disturb(self, host: str, span: float, end) -> None:
        """A trouble of one proxy, which is not calm until contactMs after it."""
        until = max(self._day.proxy_trouble.get(host, 0.0), self._clock.time + span)
        self._day.proxy_trouble[host] = until
        self._clock.later(delay=span, act=end)

    def _proxy_cut(self) -> None:
        host = self._chance.choice(self._day.proxy_hosts())
        others = [other for other in self._day.core_hosts() if self._chance.random() < 0.7]
        pairs = [(host, other) for other in others] + [(other, host) for other in others]
        self._day.recorder.note("proxy cut", host=host, others=",".join(others))
        self._day.network.cut(pairs=pairs, is_reset=self._chance.random() < 0.3)
        self._disturb(host, self._span(CUT_S), lambda: self._day.network.join(pairs=pairs))

    def _lose_answers(self) -> None:
        operators = self._day.operators
        operators.loses_answers = True
        self._clock.later(delay=self._span(CUT_S), act=lambda: setattr(operators, "loses_answers", False))

    def _platform(self) -> None:
        platform = self._day.platform
        platform.change()
        if self._chance.random() < 0.5:
            platform.is_up = False
            self._clock.later(delay=self._span(CUT_S), act=lambda: setattr(platform, "is_up", True))

    def _probe(self) -> None:
        """An order sent to a node that is cut off now."""
        hosts = sorted(self._day.isolated_since)
        if hosts:
            self._day.probe(self._chance.choice(hosts))

    # All at once: disks stay, but for the closing faults that say so.
    def _all_killed(self) -> None:
        self._day.at_moment(lambda: self._all("all_killed", emptied=[]))

    def _all_power(self) -> None:
        self._day.at_moment(lambda: self._all("all_power", emptied=[]))

    def close(self, kind: str) -> None:
        """The closing fault, right after an acknowledgement. Those still lost stay within what is tolerated."""
        day = self._day
        self._until = self._clock.time + CLOSING_S
        if kind in ("all_killed", "all_power"):
            self._all(kind, emptied=[])
            return
        free = day.tolerated - len(day.lost_slots())
        healthy = [slot for slot in day.slots if not day.is_lost(slot)]
        emptied = self._chance.sample(healthy, min(free, len(healthy))) if free > 0 else []
        if kind == "disks_lost_others_power":
            self._all("all_power", emptied=emptied)
        elif emptied:
            self._down("disks lost", is_power_lost=True, is_emptied=True, slots=emptied)

    def _all(self, kind: str, *, emptied) -> None:
        slots = [slot for slot in self._day.slots if not slot.is_down]
        self._lose(kind, slots)
        for slot in slots:
            self._day.stop(slot, is_power_lost=kind == "all_power")
            if slot in emptied:
                slot.machine.disk.empty()

        def end():
            for slot in slots:
                self._day.restart(slot, is_emptied=slot in emptied)
            self._back(kind, slots)

        self._clock.later(delay=self._chance.uniform(0.3, 3.0), act=end)
