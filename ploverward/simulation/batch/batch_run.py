"""One run of the stores in simulated time: faults by a seed, callers, a coordinator, checks (docs/batch.md 8).

The coordinator's decisions are the product's (`partition_placement`); its register is modelled as one value that is
changed by comparing epochs. No more disks are lost at once than the copies allow for; machines and links may fail in
any number.
"""

from __future__ import annotations

import dataclasses
import functools
import json
import random
import typing
from collections.abc import Callable

from ploverward.common import batch_partitions
from ploverward.control_plane.cluster import partition_placement
from ploverward.simulation.batch import job_model
from ploverward.simulation.batch import simulated_store
from ploverward.simulation.batch import store_network
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_disk
from ploverward.transport import batch_messages
from ploverward.transport.batch_messages import Condition
from ploverward.transport.batch_messages import Outcome

CORE = "core"  # the name that links to the coordinator have
TENANT = "t0"
NUMBER = batch_partitions.partition_of(TENANT)
COPIES = 3
CATCH_UP_S = 6.0
PATIENCE = partition_placement.Patience(failover_s=0.5, replacement_s=3.0)
COORDINATION_S = 0.2
SILENCE_S = 0.8
MAX_QUEUED_TOKENS = 400
CALL_S = 0.025  # between two calls of clients, on average
FAULT_KINDS = (
    "kill",
    "power",
    "wipe",
    "wipe two",
    "cut",
    "cut core",
    "one way",
    "freeze",
    "all",
    "coordinator",
    "half",
)
FAULT_PAUSES_S = (0.8, 2.5, 7.0)  # between two faults, on average; disks can only be lost where it is long
DUE_MS = 1000
RESUBMISSION_S = 3.0
ANSWER_S = 0.9  # after which a caller waits no more


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What one run is made of.

    Attributes:
        seed: Of the run.
        stores: How many there are, each in one of five zones.
        length_s: For how long there are faults.
        fault_s: Between two faults, on average; 0: drawn by the seed.
        kinds: Of faults.
        sync_s: Bounds of how long a sync takes; None: drawn by the seed.
    """

    seed: int
    stores: int = 6
    length_s: float = 30.0
    fault_s: float = 0.0
    kinds: tuple[str, ...] = FAULT_KINDS
    sync_s: tuple[float, float] | None = None


class Caller:
    """One end of a call: takes the first reply with its number."""

    def __init__(self, run: BatchRun) -> None:
        self._run = run
        self.name = "caller"
        self.replies: dict[int, tuple] = {}

    def send(self, message: tuple) -> None:
        """A store's reply."""
        self.replies[message.number] = message  # type: ignore[attr-defined]


class BatchRun:
    """One run.

    Attributes:
        model: What callers were told.
        findings: What broke a check.
    """

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.clock = simulated_clock.Clock(seed=plan.seed)
        self.chance = random.Random(plan.seed + 1)
        self.network = store_network.Network(self.clock)
        self.model = job_model.JobModel(max_queued_tokens=MAX_QUEUED_TOKENS)
        self.rows: dict[str, tuple] = {}
        self.rounds = 0
        self._reports: dict[int, tuple[str, float, batch_messages.CopyReport]] = {}
        self._next_number = 0
        self._jobs = 0
        self._runs = 0
        self._coordinator_down_until = 0.0
        self._fault_s = plan.fault_s or self.chance.choice(FAULT_PAUSES_S)
        sync_s = plan.sync_s or self.chance.choice(simulated_disk.SPEEDS_S[:3])
        self.stores = {
            f"s{number}": simulated_store.SimulatedStore(
                name=f"s{number}",
                zone=f"z{number % 5}",
                network=self.network,
                find=lambda name: self.stores[name],
                sync_s=sync_s,
                send_report=self._record_report,
                on_failure=lambda process, text: self.model.findings.append(f"step of {process.name}: {text}"),
            )
            for number in range(plan.stores)
        }

    @property
    def findings(self) -> list[str]:
        """What broke a check."""
        return self.model.findings

    def play(self) -> list[str]:
        """Plays the run; returns what broke a check."""
        for store in self.stores.values():
            store.start()
        self.clock.later(delay=0.5, callback=lambda: self._coordinate(may_place=True))
        self.clock.run(until=4.0)
        self._schedule_calls()
        self._schedule_faults()
        self.clock.run(until=4.0 + self.plan.length_s)
        self._heal()
        self.clock.run(until=self.clock.time + 12.0)
        self._check_end()
        return self.findings

    # The coordinator.
    def _record_report(self, name: str, report: batch_messages.CopyReport) -> None:
        if self.network.is_reachable(name, CORE):
            self._reports[report.partition] = (name, self.clock.time, report)

    def _coordinate(self, *, may_place: bool = False) -> None:
        self.clock.later(delay=COORDINATION_S, callback=self._coordinate)
        if self.clock.time < self._coordinator_down_until:
            return
        view = self._view(may_place=may_place)
        name = batch_partitions.role_name(NUMBER)
        row = partition_placement.arrangement_changes(view).get(name)
        if row is not None:
            delay = self.chance.uniform(0.002, 0.15)
            self.clock.later(delay=delay, callback=functools.partial(self._choose, name, tuple(row)))

    def _choose(self, name: str, row: tuple) -> None:
        """The register's round: it fails where another one came between."""
        if self.rows.get(name, (0,))[0] != row[0]:
            return
        self.rows = {name: (row[0] + 1, *row[1:])}
        self.rounds += 1
        for store in self.stores.values():
            self._publish(store)

    def _publish(self, store: simulated_store.SimulatedStore) -> None:
        delay = self.chance.uniform(0.002, 0.05) if self.chance.random() < 0.9 else self.chance.uniform(0.05, 1.5)
        rows = self.rows

        def arrive() -> None:
            if store.is_alive and self.network.is_reachable(CORE, store.name):
                store.install(rows)

        self.clock.later(delay=delay, callback=arrive, process=store.process)

    def _view(self, *, may_place: bool) -> partition_placement.PlacementView:
        arrangements = {NUMBER: batch_partitions.owners_of(partition=NUMBER, roles=self.rows)}
        arrangements = {number: owners for number, owners in arrangements.items() if owners.members}
        reports = {
            number: report
            for number, (name, at, report) in self._reports.items()
            if number in arrangements
            and (name, report.epoch) == (arrangements[number].primary, arrangements[number].epoch)
            and self.clock.time - at <= 1.0
        }
        return partition_placement.PlacementView(
            stores={name: self._state(store) for name, store in self.stores.items()},
            arrangements=arrangements,
            reports=reports,
            copies=COPIES,
            may_place=may_place,
            patience=PATIENCE,
            unseen_s=1e9,
        )

    def _state(self, store: simulated_store.SimulatedStore) -> partition_placement.StoreState:
        lost_for_s = self._lost_for_s(store)
        is_ready = store.is_alive and store.disk.is_ready
        return partition_placement.StoreState(
            address=store.name,
            zone=store.zone,
            disk=store.disk.identity,
            process=store.incarnation,
            is_connected=is_ready and lost_for_s == 0.0,
            lost_for_s=lost_for_s,
            is_retiring=False,
        )

    def _lost_for_s(self, store: simulated_store.SimulatedStore) -> float:
        """For how long the core hears nothing; a partition and a frozen process show after a while."""
        is_hidden = not self.network.is_reachable(store.name, CORE) or not self.network.is_reachable(CORE, store.name)
        if store.is_alive and store.process is not None and not store.process.is_frozen and not is_hidden:
            return 0.0
        since = store.down_since
        return max(0.0, self.clock.time - since - (0.0 if not store.is_alive else SILENCE_S))

    # Faults.
    def _schedule_faults(self) -> None:
        self.clock.later(delay=self.chance.expovariate(1 / self._fault_s), callback=self._fault)

    def _fault(self) -> None:
        if self.clock.time > 4.0 + self.plan.length_s - 1.0:
            return
        self._schedule_faults()
        kind = self.chance.choice(self.plan.kinds)
        store = self.chance.choice(list(self.stores.values()))
        span = self.chance.uniform(0.3, 4.0)
        getattr(self, "_fault_" + kind.replace(" ", "_"))(store, span)

    def _lost_machines(self) -> set[str]:
        """Machines that count as lost: down, hidden, frozen, or back for less than the time to catch up."""
        return {
            name
            for name, store in self.stores.items()
            if not store.is_alive
            or (store.process is not None and store.process.is_frozen)
            or any(name in pair for pair in self.network.partitions)
            or self.clock.time - store.back_at < CATCH_UP_S
        }

    def _stop(self, store: simulated_store.SimulatedStore, span: float, **how: bool) -> None:
        if not store.is_alive:
            return
        store.stop(**how)
        self.clock.later(delay=span, callback=lambda: self._restart(store))

    def _restart(self, store: simulated_store.SimulatedStore) -> None:
        if not store.is_alive:
            store.start()
            self.clock.later(delay=self.chance.uniform(0.05, 0.4), callback=lambda: self._publish(store))

    def _fault_kill(self, store: simulated_store.SimulatedStore, span: float) -> None:
        self._stop(store, span)

    def _fault_power(self, store: simulated_store.SimulatedStore, span: float) -> None:
        self._stop(store, span, has_power=False)

    def _fault_wipe(self, store: simulated_store.SimulatedStore, span: float) -> None:
        if len(self._lost_machines() | {store.name}) < COPIES:
            self._stop(store, span, keeps_disk=False)

    def _fault_wipe_two(self, _store: simulated_store.SimulatedStore, span: float) -> None:
        """Two disks of one partition go; sometimes all other machines lose power in that moment."""
        members = list(batch_partitions.owners_of(partition=NUMBER, roles=self.rows).stores)
        chosen = self.chance.sample(members, min(2, len(members)))
        if self._lost_machines() - set(chosen) or len(chosen) < COPIES - 1:
            return
        for name in chosen:
            self._stop(self.stores[name], span, keeps_disk=False)
        if self.chance.random() < 0.5:
            for other in self.stores.values():
                self._stop(other, self.chance.uniform(0.3, 2.0), has_power=False)

    def _fault_all(self, _store: simulated_store.SimulatedStore, _span: float) -> None:
        has_power = self.chance.random() < 0.5
        for store in self.stores.values():
            self._stop(store, self.chance.uniform(0.3, 2.0), has_power=has_power)

    def _cut(self, pairs: set[tuple[str, str]], span: float) -> None:
        new = pairs - self.network.partitions
        self.network.partitions |= new
        for name in {name for pair in new for name in pair if name in self.stores}:
            self.stores[name].down_since = self.clock.time

        def heal() -> None:
            self.network.partitions -= new
            for name in {name for pair in new for name in pair if name in self.stores}:
                self.stores[name].back_at = self.clock.time
                self._publish(self.stores[name])

        self.clock.later(delay=span, callback=heal)

    def _fault_cut(self, store: simulated_store.SimulatedStore, span: float) -> None:
        others = [name for name in (*self.stores, CORE) if name != store.name]
        if self.chance.random() < 0.5:
            others = self.chance.sample(others, 2)
        self._cut({pair for name in others for pair in ((name, store.name), (store.name, name))}, span)

    def _fault_cut_core(self, store: simulated_store.SimulatedStore, span: float) -> None:
        self._cut({(CORE, store.name), (store.name, CORE)}, span)

    def _fault_one_way(self, store: simulated_store.SimulatedStore, span: float) -> None:
        others = [name for name in (*self.stores, CORE) if name != store.name]
        is_deaf = self.chance.random() < 0.5
        self._cut({(name, store.name) if is_deaf else (store.name, name) for name in others}, span)

    def _fault_half(self, _store: simulated_store.SimulatedStore, span: float) -> None:
        side = set(self.chance.sample(list(self.stores), len(self.stores) // 2))
        rest = set(self.stores) - side
        self._cut({pair for one in side for two in rest for pair in ((one, two), (two, one))}, span)

    def _fault_freeze(self, store: simulated_store.SimulatedStore, span: float) -> None:
        process = store.process
        if process is None or not process.is_alive or process.is_frozen:
            return
        process.is_frozen = True
        store.down_since = self.clock.time

        def thaw() -> None:
            if process.is_alive and process.is_frozen:
                store.back_at = self.clock.time
                process.thaw()
                self._publish(store)

        self.clock.later(delay=span, callback=thaw)

    def _fault_coordinator(self, _store: simulated_store.SimulatedStore, span: float) -> None:
        self._coordinator_down_until = self.clock.time + span

    def _heal(self) -> None:
        self.network.partitions.clear()
        self._coordinator_down_until = 0.0
        for store in self.stores.values():
            if store.process is not None and store.process.is_frozen:
                store.process.thaw()
            self._restart(store)
            self._publish(store)

    # Callers.
    def _schedule_calls(self) -> None:
        self.clock.later(delay=self.chance.expovariate(1 / CALL_S), callback=self._call)

    def _call(self) -> None:
        if self.clock.time > 4.0 + self.plan.length_s + 6.0:
            return
        self._schedule_calls()
        if self.clock.time > 4.0 + self.plan.length_s or not self.model.jobs or self.chance.random() < 0.1:
            if self.clock.time <= 4.0 + self.plan.length_s:
                self._submit_new()
            return
        self.chance.choice((self._read, self._read, self._resubmit, self._pull, self._pull, self._end))()

    def _some_store(self) -> simulated_store.SimulatedStore:
        """The primary as the register has it, or any store: proxies may know an older arrangement."""
        primary = batch_partitions.owners_of(partition=NUMBER, roles=self.rows).primary
        if primary and self.chance.random() < 0.6:
            return self.stores[primary]
        return self.chance.choice(list(self.stores.values()))

    def _ask(
        self,
        store: simulated_store.SimulatedStore,
        make_message: Callable[[int], tuple],
        then: Callable[[typing.Any], object],
    ) -> None:
        """Calls a store; `then` is called with the reply, or with None after a while."""
        self._next_number += 1
        number = self._next_number
        caller = Caller(self)
        process = store.process
        if store.is_alive:
            arrival = functools.partial(store.accept, caller, make_message(number))
            self.clock.later(delay=self.chance.uniform(0.001, 0.02), callback=arrival, process=process)
        began = self.clock.time

        def wait() -> None:
            reply = caller.replies.get(number)
            if reply is not None or self.clock.time - began > ANSWER_S:
                then(reply)
            else:
                self.clock.later(delay=0.01, callback=wait)

        self.clock.later(delay=0.01, callback=wait)

    def _submit_new(self) -> None:
        self._jobs += 1
        job_id = f"j{self._jobs}"
        items = {f"{job_id}i{number}": self.chance.randint(5, 20) for number in range(self.chance.randint(1, 4))}
        self.model.jobs[job_id] = job_model.JobRecord(tokens=items, made_at=self.clock.time)
        self._submit(job_id)

    def _resubmit(self) -> None:
        """Clients send a job again within some seconds; later it may be forgotten, and would be taken anew."""
        recent = [
            job_id for job_id, record in self.model.jobs.items() if self.clock.time - record.made_at < RESUBMISSION_S
        ]
        if recent:
            self._submit(self.chance.choice(recent))

    def _may_be_forgotten(self, record: job_model.JobRecord) -> bool:
        is_over = record.is_ended or record.finished.keys() >= record.tokens.keys()
        return is_over and self.clock.time - record.made_at > DUE_MS / 1000 + simulated_store.STATUS_S

    def _submit(self, job_id: str) -> None:
        record = self.model.jobs[job_id]
        rows = [
            {"id": item, "path": "/x", "envelope": {}, "parcel": "", "tokens": tokens}
            for item, tokens in record.tokens.items()
        ]
        body = json.dumps({"requests": rows}).encode()
        was_uncertain = record.is_uncertain
        record.is_uncertain = True  # until it is answered

        def then(reply: batch_messages.JobReply | None) -> None:
            if reply is None or reply.outcome == Outcome.NOT_KNOWN:
                return
            if reply.outcome == Outcome.DONE:
                self.model.note_taken(job_id)
            elif not was_uncertain and self._pending.get(job_id, 0) == 1:
                record.is_uncertain = False
            self._pending[job_id] -= 1

        self._pending[job_id] = self._pending.get(job_id, 0) + 1
        self._ask(
            self._some_store(),
            lambda number: batch_messages.SubmitJob(number, TENANT, job_id, "r", DUE_MS, 3, MAX_QUEUED_TOKENS, body),
            then,
        )

    @functools.cached_property
    def _pending(self) -> dict[str, int]:
        """By job: attempts to hand it in that are not answered."""
        return {}

    def _read(self) -> None:
        job_id = self.chance.choice(list(self.model.jobs))
        self._read_from(self._some_store(), job_id)

    def _read_from(self, store: simulated_store.SimulatedStore, job_id: str) -> None:
        record = self.model.jobs[job_id]
        was_taken, known = record.is_taken, len(record.results)

        def then(reply: batch_messages.JobPage | None) -> None:
            if reply is None or self._may_be_forgotten(record):
                return
            if reply.outcome == Outcome.NOT_FOUND:
                self.model.note_missing(job_id, was_taken=was_taken)
            elif reply.outcome == Outcome.DONE:
                page = [job_model.Result(*row) for row in reply.results]
                self.model.note_page(job_id, after=0, total=reply.total, page=page)
                self.model.note_short(job_id, known=known, listed=len(page))

        self._ask(store, lambda number: batch_messages.ReadJob(number, TENANT, job_id, 0), then)

    def _end(self) -> None:
        if self.chance.random() > 0.1:
            return
        job_id = self.chance.choice(list(self.model.jobs))
        record = self.model.jobs[job_id]
        record.is_ended = True

        def then(reply: batch_messages.JobReply | None) -> None:
            record.is_end_known |= reply is not None and reply.outcome == Outcome.DONE

        self._ask(self._some_store(), lambda number: batch_messages.EndJob(number, TENANT, job_id), then)

    def _pull(self) -> None:
        store = self._some_store()
        ended = {job_id for job_id, record in self.model.jobs.items() if record.is_end_known}

        def then(reply: batch_messages.PulledItems | None) -> None:
            for item in reply.items if reply is not None else ():
                self.model.note_run(item.job, is_ended=item.job in ended)
                self.clock.later(
                    delay=self.chance.uniform(0.05, 3.0), callback=functools.partial(self._finish, item, 1)
                )

        self._ask(store, lambda number: batch_messages.PullItems(number, self.chance.randint(1, 3)), then)

    def _finish(self, item: batch_messages.PulledItem, attempt: int) -> None:
        """A run ended; its text differs from those of other runs, so that two listings can be told apart."""
        if attempt == 1:
            self._runs += 1
            self.model.jobs[item.job].finished.setdefault(item.item, set()).add(b"run %d" % self._runs)
        text = b"run %d" % self._runs if attempt == 1 else max(self.model.jobs[item.job].finished[item.item])

        def then(reply: batch_messages.JobReply | None) -> None:
            is_kept = reply is not None and reply.outcome not in (Outcome.NOT_OWNER, Outcome.NOT_KNOWN)
            if not is_kept and attempt < 20:
                self.clock.later(delay=0.3, callback=functools.partial(self._finish, item, attempt + 1))

        self._ask(
            self._some_store(),
            lambda number: batch_messages.FinishItem(
                number, TENANT, item.job, item.item, int(Condition.DELIVERED), text
            ),
            then,
        )

    # The end.
    def _check_end(self) -> None:
        """Once all faults are over, all copies are there again and answer, and nothing that was told is missing."""
        owners = batch_partitions.owners_of(partition=NUMBER, roles=self.rows)
        if len(owners.members) < COPIES or owners.learners:
            self.findings.append(f"not whole again: {owners}")
        primary = self.stores[owners.primary]
        owned = primary.primary.owned.get(NUMBER)
        if owned is None or not owned.is_serving:
            self.findings.append(f"nobody serves: {owners}")
            return
        for job_id in self.model.jobs:
            self._read_from(primary, job_id)
        self.clock.run(until=self.clock.time + 1.0)
