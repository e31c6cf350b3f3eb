"""Simulated applications that add to tallies and read them, one next to each core machine (docs/simulate.md 6).

An application calls the core machine of its own slot first. After a refusal, or without an answer within
`CALL_TIMEOUT_S`, it retries at another machine with the same id. The answers are kept for `tally_checks.py`. The
applications draw from a random generator of their own, so that they don't change the histories of runs without them.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import random
from collections.abc import Callable

from ploverward.simulation.control_plane import fault_log
from ploverward.simulation.control_plane import fleet as fleets
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_http
from ploverward.simulation.control_plane import simulated_network

TALLIES = ("t0", "t1", "t2", "t3")
CALL_GAP_S = (0.02, 0.5)  # bounds of the pause between two calls of one application
CALL_TIMEOUT_S = 1.0
MAX_ADD_ATTEMPTS = 5
RETRY_DELAY_S = 0.05
MAX_AMOUNT = 1_000_000
READ_CHANCE = 0.4
REPEAT_CHANCE = 0.1  # chance that an application repeats an earlier add
MERGE_S = 3.0  # nodes agree within this time if no fault begins or ends
REFUSALS = (429, 503)  # statuses that guarantee that the add was not made
FIRST_CALL_S = 1.0
MAX_LAST_READ_ATTEMPTS = 8
LAST_READ_RETRY_DELAY_S = 0.3


@dataclasses.dataclass(slots=True)
class AddAttempt:
    """One attempt of an add: a call to one core machine.

    Attributes:
        host: Address of the core machine.
        process: The newest process of the machine when the call was sent.
        sent_at: Simulated time of the call, in seconds.
        answered_at: Simulated time of the answer; None without an answer.
        status: Status of the answer; 0 without an answer.
        is_partitioned: Whether a link of the machine was cut when the answer arrived.
    """

    host: str
    process: machines.Program | None
    sent_at: float
    answered_at: float | None = None
    status: int = 0
    is_partitioned: bool = False


@dataclasses.dataclass(slots=True)
class Add:
    """One add with its id and all attempts to make it."""

    add_id: str
    tally: str
    amount: int
    attempts: list[AddAttempt] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TallyRead:
    """One successful read of a tally."""

    host: str
    process: machines.Program | None
    tally: str
    begun_at: float
    ended_at: float
    total: int
    is_calm: bool  # whether, when it began, the core had no fault and none had begun or ended for `MERGE_S`


class TallyCallers:
    """All applications of a run.

    Attributes:
        adds: All adds, by id.
        reads: All successful reads.
        last_reads: Totals by host and tally that were read after all faults had ended; None if not answered.
        is_stopped: Whether the applications begin no further calls.
    """

    def __init__(
        self,
        *,
        seed: int,
        network: simulated_network.Network,
        fleet: fleets.Fleet,
        faults: fault_log.FaultLog,
        recorder: recorders.Recorder,
        max_repeat_age_s: float,
    ) -> None:
        """Creates the applications; they repeat no add that was first sent more than `max_repeat_age_s` ago."""
        self._max_repeat_age_s = max_repeat_age_s
        self._faults = faults
        self.adds: dict[str, Add] = {}
        self.reads: list[TallyRead] = []
        self.last_reads: dict[tuple[str, str], int | None] = {}
        self.is_stopped = False
        self._network = network
        self._clock = network.clock
        self._fleet = fleet
        self._recorder = recorder
        self._chance = random.Random(f"tallies {seed}")
        self._on_next_add: Callable[[], object] | None = None

    def start(self) -> None:
        """Starts one application next to each core machine."""
        for slot in self._fleet.slots:
            self._clock.later(delay=FIRST_CALL_S, callback=functools.partial(self._begin_call, slot))

    def call_at_next_add(self, callback: Callable[[], object]) -> None:
        """Calls `callback` once, right after the next acknowledged add."""
        self._on_next_add = callback

    def _begin_call(self, slot: fleets.Slot) -> None:
        if self.is_stopped:
            return
        if self._chance.random() < READ_CHANCE:
            self._read(slot)
        else:
            self._add(slot, self._draw_add(), self._draw_hosts(slot))
        self._clock.later(delay=self._chance.uniform(*CALL_GAP_S), callback=lambda: self._begin_call(slot))

    def _draw_add(self) -> Add:
        oldest = self._clock.time - self._max_repeat_age_s
        recent = [add for add in self.adds.values() if add.attempts[0].sent_at >= oldest]
        if recent and self._chance.random() < REPEAT_CHANCE:
            return self._chance.choice(recent)
        add = Add(f"a{len(self.adds)}", self._chance.choice(TALLIES), self._chance.randint(1, MAX_AMOUNT))
        self.adds[add.add_id] = add
        return add

    def _draw_hosts(self, slot: fleets.Slot) -> list[str]:
        others = [host for host in self._fleet.core_hosts() if host != slot.machine.host]
        self._chance.shuffle(others)
        return [slot.machine.host, *others][:MAX_ADD_ATTEMPTS]

    # Adds.
    def _add(self, slot: fleets.Slot, add: Add, hosts: list[str]) -> None:
        host, rest = hosts[0], hosts[1:]
        call = AddAttempt(host=host, process=self._process(host), sent_at=self._clock.time)
        add.attempts.append(call)

        def done(answer: simulated_http.Answer | None) -> None:
            self._record_answer(add, call, answer)
            if call.status != 200 and rest:
                self._clock.later(delay=RETRY_DELAY_S, callback=lambda: self._add(slot, add, rest))

        body = json.dumps({"id": add.add_id, "actor": add.amount}).encode()
        self._call(slot.machine.host, host, "POST", add.tally, body, done)

    def _record_answer(self, add: Add, call: AddAttempt, answer: simulated_http.Answer | None) -> None:
        if answer is None:
            return
        call.answered_at, call.status = self._clock.time, answer.status
        call.is_partitioned = self._network.is_host_partitioned(call.host)
        self._recorder.record("tally add", add=add.add_id, host=call.host, status=answer.status)
        if answer.status == 200 and self._on_next_add is not None:
            callback, self._on_next_add = self._on_next_add, None
            callback()

    # Reads.
    def _read(self, slot: fleets.Slot) -> None:
        host, tally, begun_at = slot.machine.host, self._chance.choice(TALLIES), self._clock.time
        process, is_calm = self._process(host), self._is_calm()

        def done(answer: simulated_http.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                read = TallyRead(
                    host=host,
                    process=process if self._process(host) is process else None,
                    tally=tally,
                    begun_at=begun_at,
                    ended_at=self._clock.time,
                    total=json.loads(answer.body)["total"],
                    is_calm=is_calm,
                )
                self.reads.append(read)
                self._recorder.record("tally read", host=host, tally=tally, total=read.total)

        self._call(host, host, "GET", tally, b"", done)

    def read_back(self) -> None:
        """Reads each tally at each core machine and stores the totals in `last_reads`."""
        for host in self._fleet.core_hosts():
            for tally in TALLIES:
                self.last_reads[host, tally] = None
                self._read_last(host, tally, MAX_LAST_READ_ATTEMPTS)

    def _read_last(self, host: str, tally: str, attempts: int) -> None:
        def done(answer: simulated_http.Answer | None) -> None:
            if answer is not None and answer.status == 200:
                self.last_reads[host, tally] = json.loads(answer.body)["total"]
            elif attempts > 1:
                self._clock.later(
                    delay=LAST_READ_RETRY_DELAY_S, callback=lambda: self._read_last(host, tally, attempts - 1)
                )

        self._call(host, host, "GET", tally, b"", done)

    def _call(
        self, source: str, host: str, method: str, tally: str, body: bytes, done: simulated_http.OnAnswer
    ) -> None:
        simulated_http.Caller(network=self._network, host=source).call(
            host=host,
            port=machines.CONTROL_PORT,
            method=method,
            target=f"/ploverward/tallies/{tally}",
            body=body,
            limit_s=CALL_TIMEOUT_S,
            done=done,
        )

    def _is_calm(self) -> bool:
        is_disturbed = any(slot.faults for slot in self._fleet.slots)
        return not is_disturbed and self._clock.time - self._faults.edges[-1] >= MERGE_S

    def _process(self, host: str) -> machines.Program | None:
        return self._network.machines[host].process
