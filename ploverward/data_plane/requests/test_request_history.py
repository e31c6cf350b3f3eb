"""Tests random request histories: random clients and replicas with one proxy between them.

The histories are seeded and use real sockets; waiting times are skipped on the loop's clock.
`request_history.HistoryChecker` compares what the replicas ran with what the clients sent and received, independently
of the proxy. Injected faults show that the checker can fail (docs/requests.md 5).
"""

import dataclasses
import random

import pytest

from ploverward.data_plane.requests import attempts
from ploverward.data_plane.requests import http_front_end
from ploverward.data_plane.requests import retry_policy
from ploverward.data_plane.requests import route_table
from ploverward.data_plane.requests import stream_resumption
from ploverward.data_plane.upstream import response_reader
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import random_replica
from ploverward.simulation import request_history
from ploverward.simulation import request_log
from ploverward.transport import http_request


class World:
    """Random clients and replicas, and the proxy between them."""

    def __init__(self, *, seed: int):
        self.chance = random.Random(seed)
        self.loop = loopback.new_loop()
        self.log = request_log.RequestLog()
        self.replicas = [
            random_replica.Replica(loop=self.loop, chance=self.chance, log=self.log, name=f"i{number}")
            for number in range(3)
        ]
        self.proxy = loopback_proxy.LoopbackProxy(loop=self.loop, peers=[(replica, "za") for replica in self.replicas])
        self.users = []
        self.number = 0

    def until(self, condition) -> bool:
        for _ in range(request_history.MAX_STEPS):
            if condition():
                return True
            self.loop.step_or_skip()
        return False

    def wait(self, *, seconds: float) -> None:
        end = self.loop.now() + seconds
        self.loop.after(delay=seconds, callback=lambda: None)
        assert self.until(lambda: self.loop.now() >= end)

    def pick_user(self):
        """Returns an idle client connection, or a new one."""
        idle = [user for user in self.users if not user.is_closed and user.requests and user.is_done()]
        if idle and self.chance.random() < 0.6:
            return self.chance.choice(idle)
        user = request_history.HistoryClient(loop=self.loop, address=self.proxy.address)
        self.users.append(user)
        return user

    def send(self, user) -> None:
        self.number += 1
        chance = self.chance
        lead = chance.choice(("once", "once", "resume", "resume", "safe", "unsafe", "unsafe"))
        request_id = b"a%d" % self.number
        method = chance.choice((b"POST", b"POST", b"PUT", b"GET"))
        body = b"" if method == b"GET" else request_id * chance.choice((1, 10, 900))
        target = b"/%s/x%d?of=%s" % (lead.encode(), self.number, request_id)
        lines = [
            method + b" " + target + b" HTTP/1.1",
            b"Host: h",
            b"X-Attempt-Id: " + request_id,
            b"X-Model: m",
            b"X-Time-Left-Ms: %d" % chance.choice((200, 600, 2000)),
        ]
        if chance.random() < 0.1:
            lines.append(b"Expect: 100-continue")
        if body and chance.random() < 0.4:
            lines.append(b"Transfer-Encoding: chunked")
            split_offset = chance.randrange(len(body))
            tail = (
                b"".join(random_replica.chunk(part) for part in (body[:split_offset], body[split_offset:]) if part)
                + b"0\r\n\r\n"
            )
        else:
            lines.append(b"Content-Length: %d" % len(body))
            tail = body
        sent = request_log.SentRequest(id=request_id, lead=lead, method=method, target=target, body=body)
        data = b"\r\n".join(lines) + b"\r\n\r\n" + tail
        if tail and chance.random() < 0.05:
            data = data[: -chance.randrange(1, len(tail) + 1)]  # the client will disconnect within the body
            sent.is_complete = False
        self.log.sent[request_id] = sent
        user.requests.append(sent)
        try:
            user.send(data)
        except OSError:
            return
        if not sent.is_complete or chance.random() < 0.08:
            is_reset = chance.random() < 0.5
            self.loop.after(delay=chance.uniform(0.0, 0.4), callback=lambda: user.leave(is_reset=is_reset))

    def inject_fault(self) -> None:
        chance = self.chance
        fault = chance.random()
        if fault < 0.15:  # a process freeze, after which all timers are due at once
            self.loop.skip(seconds=chance.choice((0.3, 3.0, 20.0)))
        elif fault < 0.3:
            index = chance.randrange(len(self.replicas))
            name = f"life{self.number}of{index}"
            self.replicas[index].replace(name)
            self.proxy.rows[index] = dict(self.proxy.rows[index], id=name)
            lag_s = chance.choice((0.0, 0.2, 1.0))
            self.loop.after(delay=lag_s, callback=lambda: self.proxy.table.install_list(self.proxy.list_rows()))
        elif fault < 0.4:
            self.proxy.table.mark_suspected(chance.choice(list(self.proxy.table.replicas.values())))
        elif fault < 0.6:
            self.wait(seconds=chance.choice((0.05, 0.5, 3.0, 11.0)))

    def run(self, *, rounds: int) -> list:
        for _ in range(rounds):
            self.inject_fault()
            for _ in range(self.chance.choice((1, 2, 6))):
                user = self.pick_user()
                for _ in range(self.chance.choice((1, 1, 1, 3))):  # pipelined requests
                    self.send(user)
                    if not user.requests[-1].is_complete:
                        break
            if self.chance.random() < 0.5:
                assert self.until(lambda: not self.proxy.handlers and all(user.is_done() for user in self.users))
        self.stop()
        return request_history.HistoryChecker(log=self.log, users=self.users).violations()

    def stop(self) -> None:
        """Shuts the proxy down as after SIGTERM, while attempts are in progress, then ends the process."""
        self.proxy.server.leave()
        if self.chance.random() < 0.5:
            self.wait(seconds=self.chance.uniform(0.0, 0.5))
            self.proxy.server.close_idle()
            http_front_end.end_requests(self.proxy.handlers)
        else:
            assert self.until(lambda: not self.proxy.handlers and all(user.is_done() for user in self.users))
        for handler in list(self.proxy.handlers):
            handler.on_client_gone()
        for http_connection in list(self.proxy.server.connections):
            http_connection.close(may_reset=True)
        self.proxy.server.stop_listening()
        self.wait(seconds=3.0)  # time for the replicas to run their remaining requests


@pytest.mark.parametrize("seed", range(12))
def test_random_history_violates_no_rule(seed):
    """No response reaches another request, nothing runs too often, and a status that says not run is true."""
    world = World(seed=seed)
    assert world.run(rounds=25) == []
    complete_successes = [
        answer
        for user in world.users
        for answer in user.answers()[0].values()
        if answer.status == 200 and answer.is_complete
    ]
    assert len(complete_successes) > 15 and len(world.log.runs) > 30


def _treat_all_requests_as_idempotent(monkeypatch):
    parse = route_table.Route.of
    monkeypatch.setattr(route_table.Route, "of", lambda body: dataclasses.replace(parse(body), is_idempotent=True))


def _match_responses_by_position(monkeypatch):
    monkeypatch.setattr(response_reader.ResponseReader, "_is_ours", lambda self, *, status, reported_id: True)


def _never_count_attempts_as_unresolved(monkeypatch):
    monkeypatch.setattr(
        retry_policy.RetryPolicy,
        "unresolved_attempts",
        property(lambda self: 0, lambda self, _value: None),
        raising=False,
    )


def _accept_any_success(monkeypatch):
    monkeypatch.setattr(
        attempts, "classify_response", lambda *, status, table, is_framed: _classify_without_checks(status, table)
    )


def _classify_without_checks(status, table):
    if status == 421 or b"x-not-run" in table:
        return attempts.ResponseClass.NOT_RUN
    return attempts.ResponseClass.SUCCESS if status == 200 else attempts.ResponseClass.FAILURE


def _forward_repeated_events(monkeypatch):
    def accept(self, event):
        self.last_id = stream_resumption.event_id(event)
        return True

    monkeypatch.setattr(stream_resumption.ResumableStream, "_accept", accept)


def _end_aborted_responses_normally(monkeypatch):
    monkeypatch.setattr(http_request.Request, "abort", http_request.Request.end)


def _ignore_tries(monkeypatch):
    monkeypatch.setattr(retry_policy.RetryPolicy, "may_retry", lambda self, **_arguments: True)
    monkeypatch.setattr(
        retry_policy.RetryPolicy, "sent_attempts", property(lambda self: 0, lambda self, _value: None), raising=False
    )


def _accept_surplus_responses(monkeypatch):
    monkeypatch.setattr(
        response_reader.ResponseReader,
        "_is_ours",
        lambda self, *, status, reported_id: reported_id != b"elsewhere",
    )


@pytest.mark.parametrize(
    "inject, rule",
    [
        (_treat_all_requests_as_idempotent, "TWICE"),
        (_match_responses_by_position, "MIXED"),
        (_accept_surplus_responses, "MIXED"),
        (_never_count_attempts_as_unresolved, "REFUSED"),
        (_accept_any_success, "MIXED"),
        (_forward_repeated_events, "ORDER"),
        (_end_aborted_responses_normally, "ORDER"),
        (_ignore_tries, "BUDGET"),
    ],
)
def test_checker_detects_injected_fault(inject, rule, monkeypatch):
    inject(monkeypatch)
    violations = []
    for seed in range(8):
        violations += World(seed=seed).run(rounds=25)
        if any(violation.startswith(rule) for violation in violations):
            return
    raise AssertionError(violations)
