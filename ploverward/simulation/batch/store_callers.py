"""Callers in a run of the stores: clients that submit, read and end jobs, and proxies that run their items.

`StoreCallers` draws the next call from the run's random generator and records the answers in the run's model.
"""

from __future__ import annotations

import collections
import functools
import json
import random
import typing
from collections.abc import Callable

from ploverward.simulation.batch import job_model
from ploverward.simulation.batch import scene
from ploverward.simulation.batch import simulated_store
from ploverward.transport import batch_messages
from ploverward.transport.batch_messages import Condition
from ploverward.transport.batch_messages import Outcome

CALL_INTERVAL_S = 0.025  # mean interval between calls
JOB_DUE_MS = 1000  # from the submission until all results are due
RESUBMISSION_S = 3.0  # for how long after its first submission clients resend a job
REPLY_TIMEOUT_S = 0.9
POLL_INTERVAL_S = 0.01  # between checks for a reply
CALLS_AFTER_FAULTS_S = 6.0  # for how long calls continue after the phase with faults
FAILING_ITEM_SHARE = 0.3  # share of the items that each replica answers with 500
ANSWER_S = (0.05, 0.5)  # bounds of the time until a replica answers with 500
FURTHER_ATTEMPT_CHANCE = 0.5  # that a run makes another attempt after a failed one
KILL_CHANCE = 0.1  # that a proxy is killed with an answer that it has not reported
MAX_LOST_ANSWERS = 1  # for each item
REPETITION_CHANCE = 0.3  # that a report arrives once more after it was answered
REPORT_RETRY_S = 0.05
NEW_JOB_CHANCE = 0.1  # probability that a call submits a new job
END_CHANCE = 0.1  # probability that a drawn request to end a job is sent
MAX_FINISH_ATTEMPTS = 20
FINISH_RETRY_DELAY_S = 0.3


class ReplyBox:
    """Caller's end of a connection: stores replies by their number."""

    def __init__(self) -> None:
        self.name = "caller"
        self.replies: dict[int, tuple] = {}

    def send(self, message: tuple) -> None:
        """Stores a reply."""
        self.replies[message.number] = message  # type: ignore[attr-defined]


class StoreCallers:
    """The callers of one run.

    Args:
        run_scene: The run's stores, clock and model.
        until: Simulated time in seconds after which no new jobs are submitted.
    """

    def __init__(self, *, run_scene: scene.StoreScene, until: float) -> None:
        self._scene = run_scene
        self._clock = run_scene.clock
        self._chance = run_scene.chance
        self._stores = run_scene.stores
        self._model = run_scene.model
        self._until = until
        self._next_number = 0
        self._jobs = 0
        self._runs = 0
        self._pending: collections.Counter[str] = collections.Counter()  # unanswered submissions by job

    def schedule(self) -> None:
        """Draws the time of the next call."""
        self._clock.later(delay=self._chance.expovariate(1 / CALL_INTERVAL_S), callback=self._make_call)

    def _make_call(self) -> None:
        if self._clock.time > self._until + CALLS_AFTER_FAULTS_S:
            return
        self.schedule()
        is_late = self._clock.time > self._until
        if is_late or not self._model.jobs or self._chance.random() < NEW_JOB_CHANCE:
            if not is_late:
                self._submit_new()
            return
        self._chance.choice(
            (self._read_job, self._read_job, self._resubmit, self._pull_items, self._pull_items, self._end_job)
        )()

    def _draw_store(self) -> simulated_store.SimulatedStore:
        """Returns the primary according to the register, or any store, as proxies may know an older arrangement."""
        primary = self._scene.owners.primary
        if primary and self._chance.random() < 0.6:
            return self._stores[primary]
        return self._chance.choice(list(self._stores.values()))

    def _send_request(
        self,
        store: simulated_store.SimulatedStore,
        make_message: Callable[[int], tuple],
        on_reply: Callable[[typing.Any], object],
    ) -> None:
        """Sends a request to a store; calls `on_reply` with the reply, or with None after a timeout."""
        self._next_number += 1
        number = self._next_number
        caller = ReplyBox()
        process = store.process
        if store.is_alive:
            arrival = functools.partial(store.accept, caller, make_message(number))
            self._clock.later(delay=self._chance.uniform(0.001, 0.02), callback=arrival, process=process)
        began = self._clock.time

        def poll() -> None:
            reply = caller.replies.get(number)
            if reply is not None or self._clock.time - began > REPLY_TIMEOUT_S:
                on_reply(reply)
            else:
                self._clock.later(delay=POLL_INTERVAL_S, callback=poll)

        self._clock.later(delay=POLL_INTERVAL_S, callback=poll)

    def _submit_new(self) -> None:
        self._jobs += 1
        job_id = f"j{self._jobs}"
        items = {f"{job_id}i{number}": self._chance.randint(5, 20) for number in range(self._chance.randint(1, 4))}
        self._model.jobs[job_id] = job_model.JobRecord(tokens=items, submitted_at=self._clock.time)
        self._submit(job_id)

    def _resubmit(self) -> None:
        """Resends a recent job; an older one may have been forgotten, and would be accepted as a new job."""
        recent = [
            job_id
            for job_id, record in self._model.jobs.items()
            if self._clock.time - record.submitted_at < RESUBMISSION_S
        ]
        if recent:
            self._submit(self._chance.choice(recent))

    def _may_be_forgotten(self, record: job_model.JobRecord) -> bool:
        is_over = record.is_end_requested or self._model.may_be_complete(record)
        return is_over and self._clock.time - record.submitted_at > JOB_DUE_MS / 1000 + simulated_store.STATUS_S

    def _submit(self, job_id: str) -> None:
        record = self._model.jobs[job_id]
        rows = [
            {"id": item, "path": "/x", "envelope": {}, "parcel": "", "tokens": tokens}
            for item, tokens in record.tokens.items()
        ]
        body = json.dumps({"requests": rows}).encode()
        was_uncertain = record.is_uncertain
        record.is_uncertain = True  # until it is answered

        def on_reply(reply: batch_messages.JobReply | None) -> None:
            if reply is None or reply.outcome == Outcome.NOT_KNOWN:
                return
            if reply.outcome == Outcome.DONE:
                self._model.note_acknowledged(job_id)
            elif not was_uncertain and self._pending[job_id] == 1:
                record.is_uncertain = False
            self._pending[job_id] -= 1

        self._pending[job_id] += 1
        self._send_request(
            self._draw_store(),
            lambda number: batch_messages.SubmitJob(
                number, scene.TENANT, job_id, "r", JOB_DUE_MS, scene.MAX_TRIES, scene.MAX_QUEUED_TOKENS, body
            ),
            on_reply,
        )

    def _read_job(self) -> None:
        job_id = self._chance.choice(list(self._model.jobs))
        self.read_from(self._draw_store(), job_id)

    def read_from(self, store: simulated_store.SimulatedStore, job_id: str) -> None:
        """Reads a job from position 0 at one store and records the answer."""
        record = self._model.jobs[job_id]
        was_acknowledged, known = record.is_acknowledged, len(record.results)

        def on_reply(reply: batch_messages.JobPage | None) -> None:
            if reply is None or self._may_be_forgotten(record):
                return
            if reply.outcome == Outcome.NOT_FOUND:
                self._model.note_missing(job_id, was_acknowledged=was_acknowledged)
            elif reply.outcome == Outcome.DONE:
                page = [job_model.Result(*row) for row in reply.results]
                self._model.note_page(job_id, after=0, total=reply.total, page=page)
                self._model.note_page_length(job_id, known=known, listed=len(page))

        self._send_request(store, lambda number: batch_messages.ReadJob(number, scene.TENANT, job_id, 0), on_reply)

    def _end_job(self) -> None:
        if self._chance.random() > END_CHANCE:
            return
        job_id = self._chance.choice(list(self._model.jobs))
        record = self._model.jobs[job_id]
        record.is_end_requested = True

        def on_reply(reply: batch_messages.JobReply | None) -> None:
            record.is_end_acknowledged |= reply is not None and reply.outcome == Outcome.DONE

        self._send_request(
            self._draw_store(), lambda number: batch_messages.EndJob(number, scene.TENANT, job_id), on_reply
        )

    def _pull_items(self) -> None:
        store = self._draw_store()
        ended = {job_id for job_id, record in self._model.jobs.items() if record.is_end_acknowledged}

        def on_reply(reply: batch_messages.PulledItems | None) -> None:
            for item in reply.items if reply is not None else ():
                self._model.note_pulled_item(item.job, item.item, was_end_acknowledged=item.job in ended)
                if self._fails(item):
                    self._start_failing_attempt(item)
                    continue
                self._clock.later(
                    delay=self._chance.uniform(0.05, 3.0), callback=functools.partial(self._finish_item, item, 1)
                )

        self._send_request(store, lambda number: batch_messages.PullItems(number, self._chance.randint(1, 3)), on_reply)

    # Failing items.
    def _fails(self, item: batch_messages.PulledItem) -> bool:
        """Returns whether replicas answer an item with 500, as they do at each run of it."""
        return random.Random(f"{item.job} {item.item}").random() < FAILING_ITEM_SHARE

    def _start_failing_attempt(self, item: batch_messages.PulledItem) -> None:
        self._clock.later(
            delay=self._chance.uniform(*ANSWER_S), callback=functools.partial(self._receive_failure, item)
        )

    def _receive_failure(self, item: batch_messages.PulledItem) -> None:
        """Counts an answer of 500 in the model, and reports it, unless its proxy is killed in this moment."""
        record = self._model.jobs[item.job]
        record.failed[item.item] += 1
        if record.lost[item.item] < MAX_LOST_ANSWERS and self._chance.random() < KILL_CHANCE:
            record.lost[item.item] += 1
            return
        self._runs += 1
        self._report_failure(item, f"attempt {self._runs}".encode())

    def _report_failure(self, item: batch_messages.PulledItem, attempt: bytes) -> None:
        """Reports a failed attempt until a store has counted it; the run goes on only after that."""

        def on_reply(reply: batch_messages.JobReply | None) -> None:
            if reply is None or reply.outcome in (Outcome.NOT_OWNER, Outcome.NOT_KNOWN):
                self._clock.later(delay=REPORT_RETRY_S, callback=functools.partial(self._report_failure, item, attempt))
            elif reply.outcome == Outcome.DONE and self._chance.random() < FURTHER_ATTEMPT_CHANCE:
                self._start_failing_attempt(item)

        message = batch_messages.FinishItem(0, scene.TENANT, item.job, item.item, int(Condition.FAILED), attempt)
        self._send_request(self._draw_store(), lambda number: message._replace(number=number), on_reply)
        if self._chance.random() < REPETITION_CHANCE:
            self._send_request(self._draw_store(), lambda number: message._replace(number=number), lambda _reply: None)

    def _finish_item(self, item: batch_messages.PulledItem, attempt: int) -> None:
        """Sends the output of an item's run; each run has its own text, so that a second listing is detected."""
        if attempt == 1:
            self._runs += 1
            self._model.jobs[item.job].finished.setdefault(item.item, set()).add(b"run %d" % self._runs)
        text = b"run %d" % self._runs if attempt == 1 else max(self._model.jobs[item.job].finished[item.item])

        def on_reply(reply: batch_messages.JobReply | None) -> None:
            is_kept = reply is not None and reply.outcome not in (Outcome.NOT_OWNER, Outcome.NOT_KNOWN)
            if not is_kept and attempt < MAX_FINISH_ATTEMPTS:
                self._clock.later(
                    delay=FINISH_RETRY_DELAY_S, callback=functools.partial(self._finish_item, item, attempt + 1)
                )

        self._send_request(
            self._draw_store(),
            lambda number: batch_messages.FinishItem(
                number, scene.TENANT, item.job, item.item, int(Condition.DELIVERED), text
            ),
            on_reply,
        )
