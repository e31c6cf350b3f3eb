"""Tests of batch jobs from submission to results on real sockets: a proxy, three stores and scripted replicas."""

import shutil

import pytest

from ploverward.data_plane.batch import job_request
from ploverward.simulation import batch_scene
from ploverward.simulation import request_scene
from ploverward.transport import peer_connection


@pytest.fixture(name="scene")
def streaming_scene(tmp_path):
    return batch_scene.BatchScene(tmp_path, batch_scene.streaming(b"one", b"two"))


def statuses_until_read(scene, job):
    """Reads a job until the status is 200; returns the statuses of all reads."""
    answers = []
    assert scene.until(lambda: answers.append(scene.results(job).status) or answers[-1] == 200)
    return set(answers)


def test_each_item_of_a_submitted_job_runs_once_and_is_listed_once(scene):
    assert scene.submit("l1", [batch_scene.item(name) for name in ("a", "b", "c")]).status == 202
    results = scene.all_results("l1")
    assert {row["id"] for row in results} == {"a", "b", "c"} and len(results) == 3
    assert all(row == {"id": row["id"], "condition": "delivered", "text": "one\ntwo"} for row in results)
    assert sorted(scene.arrivals()) == [b"a", b"b", b"c"]
    assert scene.submit("l1", [batch_scene.item("a")]).status == 202  # a repeated submission
    assert scene.all_results("l1") == results


def test_a_202_is_sent_only_after_each_store_has_the_job_on_disk(scene):
    assert scene.submit("l1", [batch_scene.item("a")]).status == 202
    for address in scene.stores:
        log = scene.log_of(address)
        positions = [
            position for position, entry in enumerate(log.after(log.base), log.base + 1) if b'{"job":' in entry.data
        ]
        assert len(positions) == 1 and log.durable >= positions[0]


def test_pages_begin_after_the_given_revision_for_any_key_of_the_tenant(scene):
    scene.submit("l1", [batch_scene.item(name) for name in "abcd"])
    results = scene.all_results("l1")
    page = scene.results("l1", after=3, key="key-2").json
    assert page["results"] == results[3:] and page["nextPage"] == 4 and page["total"] == 4
    assert scene.results("l1", after=4).json["results"] == []


@pytest.mark.parametrize("key, status", [("key-3", 404), ("nobody", 401)])
def test_reading_a_job_fails_for_another_tenant_and_for_an_unknown_key(scene, key, status):
    scene.submit("l1", [batch_scene.item("a")])
    assert scene.results("l1", key=key).status == status


def test_ending_a_job_is_idempotent_and_keeps_its_results(scene):
    scene.submit("l1", [batch_scene.item("a")])
    results = scene.all_results("l1")
    for _attempt in range(2):
        assert scene.call("DELETE", "/ploverward/lots/l1").status == 200
    assert scene.results("l1").json["results"] == results
    assert scene.call("DELETE", "/ploverward/lots/other").status == 404


def test_an_item_answered_with_422_becomes_a_dead_letter(tmp_path):
    script = request_scene.respond_with(status=b"422 Never")
    scene = batch_scene.BatchScene(tmp_path, script)
    scene.submit("l1", [batch_scene.item("a")])
    assert scene.all_results("l1") == [{"id": "a", "condition": "dead_letter", "text": ""}]


def test_queued_items_can_be_read_and_count_against_the_token_quota(tmp_path):
    scene = batch_scene.BatchScene(tmp_path, lambda _number, _received: None)  # the replica never answers
    assert scene.submit("l1", [batch_scene.item("a", body=b"\x00\xff exactly", tokens=900)]).status == 202
    answer = scene.call("GET", "/ploverward/items/l1?id=a")
    assert (answer.status, answer.body) == (200, b"\x00\xff exactly")
    assert scene.call("GET", "/ploverward/items/l1?id=z").status == 404
    assert scene.submit("l2", [batch_scene.item("b", tokens=101)]).status == 429
    assert scene.submit("l2", [batch_scene.item("b", tokens=100)]).status == 202
    assert scene.call("DELETE", "/ploverward/lots/l1").status == 200
    assert scene.submit("l3", [batch_scene.item("c", tokens=900)]).status == 202


def test_a_restarted_store_keeps_jobs_and_results(scene):
    scene.submit("l1", [batch_scene.item(name) for name in "ab"])
    results = scene.all_results("l1")
    for address in list(scene.stores):
        scene.restart_store(address)
        assert statuses_until_read(scene, "l1") <= {200, 503}
        assert scene.results("l1").json["results"] == results
        assert scene.until(scene.is_serving)


@pytest.mark.parametrize("emptied", [(0,), (1,), (0, 1), (0, 2), (1, 2)])
def test_jobs_and_results_survive_the_loss_of_up_to_two_disks(scene, emptied):
    scene.submit("l1", [batch_scene.item(name) for name in "ab"])
    results = scene.all_results("l1")
    addresses = list(scene.stores)
    for number in emptied:
        scene.stop_store(addresses[number])
        shutil.rmtree(scene.folder / addresses[number])
    for number in emptied:
        scene.start_store(addresses[number])
        scene.stores[addresses[number]].install_roles(scene.roles)
    assert statuses_until_read(scene, "l1") <= {200, 503}  # never "no such job"
    assert scene.results("l1").json["results"] == results
    assert scene.until(lambda: scene.submit("l2", [batch_scene.item("c")]).status == 202)
    scene.all_results("l2")
    assert scene.until(scene.is_serving)
    logs = [scene.log_of(address) for address in scene.stores]
    assert scene.until(lambda: len({log.last for log in logs}) == 1 and all(log.durable == log.last for log in logs))
    rows = [[entry for entry in log.after(log.base) if entry.data] for log in logs]
    assert rows[0] == rows[1] == rows[2] and sum(b'{"job":' in entry.data for entry in rows[0]) == 2


@pytest.mark.parametrize("lost", [(0,), (1,), (0, 1), (0, 2), (1, 2)])
def test_remaining_stores_serve_jobs_after_the_loss_of_up_to_two_stores(scene, lost):
    scene.submit("l1", [batch_scene.item(name) for name in "ab"])
    results = scene.all_results("l1")
    addresses = [*scene.owners().stores]
    for number in lost:
        scene.stop_store(addresses[number])
    assert scene.until(lambda: scene.submit("l2", [batch_scene.item("c")]).status == 202)
    assert scene.results("l1").json["results"] == results
    assert {row["id"] for row in scene.all_results("l2")} == {"c"}
    assert not set(scene.owners().stores) & {addresses[number] for number in lost}
    for number in lost:
        scene.start_store(addresses[number])
        scene.stores[addresses[number]].install_roles(scene.roles)
    assert scene.until(scene.is_serving)  # all three are members again
    assert scene.results("l1").json["results"] == results


def test_a_submission_is_answered_with_504_while_a_backup_is_lost(scene):
    scene.is_coordinating = False  # no coordinator removes the lost store
    scene.stop_store(scene.owners().backups[1])
    answer = scene.submit("l1", [batch_scene.item("a")])
    assert answer.status == 504  # the outcome is unknown: the job may still be stored later
    assert scene.results("l1").status in (404, 503)
    assert not scene.arrivals()


def test_requests_of_other_routes_are_not_handled_as_jobs(tmp_path):
    scene = batch_scene.BatchScene(tmp_path, request_scene.respond_with())
    more = "X-Attempt-Id: a1\r\nX-Time-Left-Ms: 3000\r\n"
    assert scene.call("POST", "/safe/x", body=b"body", more=more) == batch_scene.Answer(200, b"ok")
    assert scene.proxy.started_tenants == ["clerks"]  # the usage report counts the request once


def test_usage_reports_do_not_count_items(scene):
    scene.submit("l1", [batch_scene.item("a")])
    scene.all_results("l1")
    assert not scene.proxy.started_tenants


def test_ending_a_job_cancels_its_running_items(tmp_path):
    scene = batch_scene.BatchScene(tmp_path, lambda _number, _received: None)  # the replica never answers
    scene.submit("l1", [batch_scene.item("a")])
    assert scene.until(lambda: scene.proxy.batch._puller._running)
    assert scene.call("DELETE", "/ploverward/lots/l1").status == 200
    assert scene.until(lambda: not scene.proxy.batch._puller._running)


def test_a_run_continues_after_failover_to_the_next_primary(tmp_path):
    scene = batch_scene.BatchScene(tmp_path, lambda _number, _received: None)
    scene.submit("l1", [batch_scene.item("a")])
    assert scene.until(lambda: len(scene.arrivals()) == 1)
    scene.stop_store(scene.owners().primary)
    assert scene.until(lambda: scene.results("l1").status == 200)
    scene.wait(2.5)
    assert len(scene.arrivals()) == 1  # its lease was renewed, so the item is not run a second time


@pytest.mark.parametrize(
    "change, text",
    [
        ({"id": ""}, "id"),
        ({"path": "/other/x"}, "path"),
        ({"path": "/lots/a b"}, "path"),
        ({"parcel": "no base64!"}, "parcel"),
        ({"tokens": -1}, "tokens"),
        ({"tokens": True}, "tokens"),
        ({"envelope": {"X Y": "1"}}, "envelope"),
        ({"envelope": {"Authorization": "1"}}, "envelope"),
        ({"envelope": {"X-Model": "a\r\nHost: b"}}, "X-Model"),
    ],
)
def test_a_malformed_item_rejects_the_whole_job_and_the_error_names_the_field(scene, change, text):
    answer = scene.submit("l1", [batch_scene.item("a"), {**batch_scene.item("b"), **change}])
    assert answer.status == 400 and text in answer.json["error"]
    assert scene.results("l1").status == 404


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"requests":[]}', b'{"requests":{}}', b'{"requests":[1]}', b"\xff"]
)
def test_a_body_that_is_not_a_job_is_rejected_with_400(scene, body):
    answer = scene.call("POST", "/lots/x", body=body, more="X-Attempt-Id: l1\r\n")
    assert answer.status == 400 and answer.json["error"]


def test_too_many_items_or_a_duplicate_id_reject_the_job(scene):
    many = [batch_scene.item(f"i{number}") for number in range(201)]
    assert "200" in scene.submit("l1", many).json["error"]
    assert "twice" in scene.submit("l1", [batch_scene.item("a"), batch_scene.item("a")]).json["error"]
    assert scene.results("l1").status == 404


def test_an_idle_store_connection_stays_open_while_heartbeats_are_sent(tmp_path):
    """Guards against idle connections to stores being closed and reopened.

    The proxies of a sweep with 300 machines made 147 new connections a second to each store.
    """
    scene = batch_scene.BatchScene(tmp_path)
    ended = []
    connector = peer_connection.Connector(
        loop=scene.loop,
        address=(next(iter(scene.stores)), scene.port),
        on_up=lambda _connection: None,
        on_message=lambda _connection, _message: None,
        on_end=lambda _connection, reason: ended.append(reason),
        peer_timeout_s=1.0,
    )
    scene.loop.every(interval_s=0.3, callback=lambda: connector.link and connector.link.keep_alive())
    scene.wait(4.0)
    connector.stop()
    assert ended == ["stopped"]


MANY_VALUES = b'{"requests":[' + b"[]," * 200_000 + b"[]]}"


def test_a_body_of_too_many_values_is_rejected_before_it_is_parsed(scene, monkeypatch):
    """Guards against a tenant's body that keeps the loop of a proxy, and of each store, in the parser."""
    monkeypatch.setattr(job_request.json, "loads", lambda _body: pytest.fail("the body was parsed"))
    answer = scene.call("POST", "/lots/x", body=MANY_VALUES, more="X-Attempt-Id: l1\r\n")
    assert answer.status == 400 and b"400004 values in the body, 20000 are allowed" in answer.body


def test_the_body_of_a_caller_without_a_key_is_not_parsed(scene, monkeypatch):
    """Guards against peers that are no tenants and keep a proxy busy with their bodies."""
    monkeypatch.setattr(job_request.json, "loads", lambda _body: pytest.fail("the body was parsed"))
    answer = scene.call("POST", "/lots/x", key="nobody", body=b"{}", more="X-Attempt-Id: l1\r\n")
    assert answer.status == 401


def test_a_job_of_200_items_with_as_many_headers_as_a_server_takes_is_accepted(scene):
    headers = {f"X-Header-{number}": "a" for number in range(90)}
    items = [batch_scene.item(f"i{number}", envelope=headers, tokens=1) for number in range(200)]
    assert scene.submit("l1", items).status == 202
