"""Seeded histories of batch jobs while the configuration changes, on real sockets (docs/batch.md 8).

The production code of two proxies and three stores runs on the loopback range. One proxy learns of each configuration
later than the other. Routes are withdrawn, renamed, moved and put back, and their names are used for other routes;
stores restart or lose their disks, one at a time; replicas answer some items with 500 at each run. `JobHistory` checks
every answer and every request at the replicas against the configurations that it sent and the answers of 500.

python3 -m ploverward.simulation.job_history --first 1000 --seeds 50 --jobs 4
"""

from __future__ import annotations

import argparse
import collections
import collections.abc
import concurrent.futures
import dataclasses
import functools
import json
import pathlib
import random
import re
import shutil
import sys
import tempfile
import typing

from ploverward.simulation import batch_scene
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene

HOST, PREFIX = "h", "/lots/"  # of the route on which the history submits its jobs
STEPS = 60  # steps of a history
PAUSE_S = (0.0, 0.12)  # bounds of the time between two steps
NEWS_DELAY_S = (0.0, 0.6)  # bounds of the time after which the second proxy learns of a configuration
ROUTING_SLACK_S = 0.3  # time after a change of the configuration in which items may arrive by the former one
PROMPT_CLIENT_CHANCE = 0.5  # that a client uses a new configuration before the second proxy has learned of it
RENAMING_CHANCE = 0.3  # that a new configuration keeps the route in place, often under another name
FAILING_ITEM_SHARE = 0.15  # share of the items that replicas answer with 500
MAX_ANSWERS = 3 * batch_scene.JOB_TRIES  # of 500, after which an item may not reach a replica again
COMPLETION_S = 20.0  # time without changes and faults within which all jobs have to be complete


class BatchRoute(typing.NamedTuple):
    """A batch route of a configuration."""

    name: str
    host: str
    prefix: str

    def covers(self, host: str, path: str) -> bool:
        """Returns whether a request with this host and path is on the route."""
        return host == self.host and path.startswith(self.prefix)


class Configuration(typing.NamedTuple):
    """A configuration that the history sent, with at most one batch route."""

    edition: int
    route: BatchRoute | None

    def covers(self, host: str, path: str) -> bool:
        """Returns whether a request with this host and path is on its batch route."""
        return self.route is not None and self.route.covers(host, path)


@dataclasses.dataclass
class JobRecord:
    """What the clients know of one job.

    Attributes:
        key: An API key of its tenant.
        paths: The path of each item.
        edition: The configuration of the proxy that accepted it.
        results: The longest list of results that was read.
    """

    key: str
    paths: dict[str, str]
    edition: int
    results: list[dict[str, str]] = dataclasses.field(default_factory=list)


class JobHistory:
    """One history.

    Args:
        folder: The folder that holds the stores' disks.
        seed: Seed of the random generator.

    Attributes:
        findings: Descriptions of failed checks.
        steps: What the history did: (time, text).
        jobs: The jobs that were accepted, by id.
    """

    def __init__(self, folder: pathlib.Path, *, seed: int) -> None:
        self.findings: list[str] = []
        self.steps: list[tuple[float, str]] = []
        self.jobs: dict[str, JobRecord] = {}
        self._chance = random.Random(seed)
        self._answer = batch_scene.streaming(b"one", b"two")
        self._scene = batch_scene.BatchScene(folder, self._run, self._run, proxies=2)
        first = Configuration(self._scene.proxy.routes.edition, BatchRoute("jobs", HOST, PREFIX))
        self._configurations = [first]
        self._installed = [[(0.0, first)] for _proxy in self._scene.proxies]  # (time, configuration) by proxy
        self._seen_requests: set[bytes] = set()
        self._failing_items: set[str] = set()
        self._failed_answers: collections.Counter[str] = collections.Counter()  # by item
        self._hidden_until = 0.0  # replicas do not answer before
        self._submitted = 0

    def play(self) -> list[str]:
        """Plays the history and returns the descriptions of failed checks."""
        actions = (*[self._submit] * 4, *[self._read] * 3, self._read_body, self._configure, self._disturb)
        for _step in range(STEPS):
            self._chance.choice(actions)()
            self._scene.wait(self._chance.uniform(*PAUSE_S))
        self._hidden_until = 0.0
        self._check_end()
        return self.findings

    def _note(self, text: str) -> None:
        self.steps.append((self._scene.loop.now(), text))

    def _fail(self, text: str) -> None:
        self._note(f"FINDING {text}")
        self.findings.append(text)

    # Replicas.
    def _run(self, number: int, received: bytes) -> collections.abc.Iterable[loopback.Action] | None:
        """A script of a replica: checks the request of an item, and answers unless replicas are slow at the time."""
        if not request_scene.is_complete(received):
            return None
        self._check_request(received)
        if self._scene.loop.now() < self._hidden_until:
            return ["reset"]
        which = request_scene.request_id(received)
        if which.decode() in self._failing_items:
            self._failed_answers[which.decode()] += 1
            return [request_scene.answer(which, status=b"500 Failed")]
        return self._answer(number, received)

    def _check_request(self, received: bytes) -> None:
        found = re.match(rb"POST (\S+) .*?\r\n", received)
        host, item = (re.search(rb"(?i)\r\n%s: (\S+)" % name, received) for name in (b"host", b"x-attempt-id"))
        if found is None or host is None or item is None:
            self._fail(f"UNASKED: {received[:80]!r}")
            return
        path, host_text, item_id = found[1].decode(), host[1].decode(), item[1].decode()
        if host_text != HOST or not path.startswith(f"{PREFIX}3/{item_id}"):
            self._fail(f"ROUTE: {item_id} runs as {host_text}{path}")
        if self._failed_answers[item_id] >= MAX_ANSWERS:
            self._fail(f"BUDGET: {item_id} runs after {self._failed_answers[item_id]} answers of 500")
        since = self._scene.loop.now() - ROUTING_SLACK_S
        if not any(
            configuration.covers(host_text, path)
            for installed in self._installed
            for index, (_at, configuration) in enumerate(installed)
            if index == len(installed) - 1 or installed[index + 1][0] >= since
        ):
            self._fail(f"CONFIG: {item_id} runs though no proxy has a route for it")

    # Clients.
    def _draw_proxy(self) -> tuple[int, batch_scene.BatchProxy]:
        number = self._chance.randrange(len(self._scene.proxies))
        return number, self._scene.proxies[number]

    def _submit(self) -> None:
        self._submit_at(self._draw_proxy()[0])

    def _submit_at(self, number: int) -> None:
        proxy = self._scene.proxies[number]
        edition = proxy.routes.edition
        self._submitted += 1
        job, key = f"l{self._submitted}", self._chance.choice(("key-1", "key-2", "key-3"))
        items = [batch_scene.item(f"{job}i{index}", tokens=1) for index in range(self._chance.randint(1, 6))]
        self._failing_items |= {row["id"] for row in items if self._chance.random() < FAILING_ITEM_SHARE}
        answer = self._scene.call(
            "POST",
            f"{PREFIX}x",
            body=json.dumps({"requests": items}).encode(),
            key=key,
            more=f"X-Attempt-Id: {job}\r\n",
            proxy=proxy,
        )
        self._note(f"{job} with {len(items)} items at proxy {number}, edition {edition}: {answer.status}")
        if answer.status == 202:
            # The proxy may have installed a configuration during the call: it accepts a job only by one with the route.
            accepting = (known.edition for _at, known in self._installed[number] if known.covers(HOST, PREFIX))
            edition = min(known for known in accepting if known >= edition)
            self.jobs[job] = JobRecord(key, {row["id"]: row["path"] for row in items}, edition)

    def _read(self) -> None:
        if self.jobs:
            self._read_job(self._chance.choice(list(self.jobs)))

    def _read_job(self, job: str) -> bool:
        """Reads a job at any proxy, checks the answer, and returns whether all its items are listed."""
        record, (number, proxy) = self.jobs[job], self._draw_proxy()
        answer = self._scene.call("GET", f"/ploverward/lots/{job}?afterRevision=0", key=record.key, proxy=proxy)
        if answer.status == 503:
            return False
        if answer.status != 200:
            self._fail(f"LOST: {job} is answered {answer.status} at proxy {number}")
            return False
        results = answer.json["results"]
        if results[: len(record.results)] != record.results:
            self._fail(f"TWICE: {job} had {record.results}, has {results}")
        for row in results[len(record.results) :]:
            self._check_result(job, record, row)
        record.results = max(results, record.results, key=len)
        return len(results) == len(record.paths)

    def _check_result(self, job: str, record: JobRecord, row: dict[str, str]) -> None:
        if any(known["id"] == row["id"] for known in record.results):
            self._fail(f"TWICE: {row['id']} at a second position of {job}")
        if row["condition"] == "delivered":
            if row["text"] != "one\ntwo" or row["id"] in self._failing_items:
                self._fail(f"MIXED: {row}")
            return
        if self._failed_answers[row["id"]] >= batch_scene.JOB_TRIES:
            return
        later = [known for known in self._configurations if known.edition >= record.edition]
        if all(known.covers(HOST, record.paths[row["id"]]) for known in later):
            self._fail(f"MIXED: {row['id']} is a dead letter, its route did not end and it did not fail often enough")

    def _read_body(self) -> None:
        if not self.jobs:
            return
        job = self._chance.choice(list(self.jobs))
        record = self.jobs[job]
        item = self._chance.choice(list(record.paths))
        answer = self._scene.call(
            "GET", f"/ploverward/items/{job}?id={item}", key=record.key, proxy=self._draw_proxy()[1]
        )
        if answer.status != 503 and (answer.status, answer.body) != (200, b"body"):
            self._fail(f"LOST: the body of {item} is answered {answer.status} {answer.body!r}")

    # Operator.
    def _configure(self) -> None:
        """Sends a configuration that one of the proxies learns of at once, the other one later.

        The results of all jobs are read before, so that they are checked against the configurations until then. Often
        a client submits a job at the first proxy before the other one knows its route.
        """
        for job in list(self.jobs):
            self._read_job(job)
        name = self._chance.choice(("jobs", f"jobs{len(self._configurations)}"))
        elsewhere = (None, BatchRoute(name, "other", PREFIX), BatchRoute(name, HOST, "/else/"))
        has_route = self._configurations[-1].covers(HOST, PREFIX)
        if has_route and self._chance.random() > RENAMING_CHANCE:
            route = self._chance.choice(elsewhere)
        else:
            route = BatchRoute(name, HOST, PREFIX)
        early = self._send_configuration(route, delay_s=self._chance.uniform(*NEWS_DELAY_S))
        if self._chance.random() < PROMPT_CLIENT_CHANCE:
            self._submit_at(early)  # which installs it as the call arrives

    def _send_configuration(self, route: BatchRoute | None, *, delay_s: float) -> int:
        """Sends a configuration; returns the number of the proxy that learns of it at once."""
        configuration = Configuration(self._configurations[-1].edition + self._chance.randint(1, 3), route)
        self._configurations.append(configuration)
        self._note(f"{configuration}")
        early = self._chance.randrange(len(self._scene.proxies))
        for number in range(len(self._scene.proxies)):
            self._scene.loop.after(
                delay=0.0 if number == early else delay_s,
                callback=functools.partial(self._install, number, configuration),
            )
        return early

    def _install(self, number: int, configuration: Configuration) -> None:
        proxy, route = self._scene.proxies[number], configuration.route
        if proxy.routes.edition >= configuration.edition:
            return
        rows = [batch_scene.SAFE_ROUTE]
        if route is not None:
            more = {**batch_scene.JOB_ROUTE, "host": route.host}
            rows.append(loopback_proxy.route(route.name, route.prefix, **more))
        proxy.install_routes(rows, edition=configuration.edition)
        self._installed[number].append((self._scene.loop.now(), configuration))

    # Faults.
    def _disturb(self) -> None:
        """Restarts a store, sometimes without its disk, or has the replicas fail for a while."""
        if self._chance.random() < 0.5:
            self._hidden_until = self._scene.loop.now() + self._chance.uniform(0.1, 2.0)
            self._note("replicas reset their connections")
            return
        if not self._scene.is_serving():
            return
        address = self._chance.choice(list(self._scene.stores))
        keeps_disk = self._chance.random() < 0.5
        self._note(f"{address} restarts{'' if keeps_disk else ' with an empty disk'}")
        self._scene.stop_store(address)
        if not keeps_disk:
            shutil.rmtree(self._scene.folder / address)
        self._scene.start_store(address)
        self._scene.stores[address].install_roles(self._scene.roles)

    # Final check.
    def _check_end(self) -> None:
        """Checks that all jobs become complete under the last configuration, whatever it is."""
        self._scene.wait(NEWS_DELAY_S[1])
        left = set(self.jobs)
        until = self._scene.loop.now() + COMPLETION_S
        while left and self._scene.loop.now() < until:
            left = {job for job in left if not self._read_job(job)}
            self._scene.wait(0.2)
        for job in sorted(left):
            self._fail(f"LOST: {job} is not complete under {self._configurations[-1]}")


def play(seed: int) -> tuple[int, list[str], list[tuple[float, str]]]:
    """Plays the history of a seed and returns the seed, the descriptions of failed checks, and the steps."""
    with tempfile.TemporaryDirectory() as folder:
        history = JobHistory(pathlib.Path(folder), seed=seed)
        findings = history.play()
        return seed, findings, history.steps


def main(arguments: list[str] | None = None) -> int:
    """Plays histories of a range of seeds, prints those that fail a check, and returns 1 if one does."""
    parser = argparse.ArgumentParser(prog="python3 -m ploverward.simulation.job_history", description=__doc__)
    parser.add_argument("--first", type=int, default=0, help="seed of the first history")
    parser.add_argument("--seeds", type=int, default=10, help="number of histories")
    parser.add_argument("--jobs", type=int, default=1, help="number of parallel processes")
    options = parser.parse_args(arguments)
    broken = 0
    with concurrent.futures.ProcessPoolExecutor(max_workers=options.jobs) as pool:
        for seed, findings, steps in pool.map(play, range(options.first, options.first + options.seeds)):
            if findings:
                broken += 1
                print(f"seed {seed}: {findings[0]}")
                for when, text in steps:
                    print(f"{when:9.3f} {text}")
    print(f"{options.seeds} histories of jobs, {broken} broke a check")
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main())
