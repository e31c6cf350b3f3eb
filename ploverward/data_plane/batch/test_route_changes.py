"""Batch jobs whose route is withdrawn, renamed, moved or replaced while they are kept, on real sockets."""

import pytest

from ploverward.simulation import batch_scene
from ploverward.simulation import loopback_proxy

LOTS = loopback_proxy.route("jobs", "/lots/", **batch_scene.JOB_ROUTE)
SAFE = batch_scene.SAFE_ROUTE


def batch_route(name="jobs", prefix="/lots/", **more):
    return loopback_proxy.route(name, prefix, **{**batch_scene.JOB_ROUTE, **more})


@pytest.fixture(name="scene")
def streaming_scene(tmp_path):
    return batch_scene.BatchScene(tmp_path, batch_scene.streaming(b"one", b"two"))


@pytest.fixture(name="waiting")
def waiting_scene(tmp_path):
    """A scene with the job l1, whose items no proxy has pulled yet."""
    scene = batch_scene.BatchScene(tmp_path, batch_scene.streaming(b"one", b"two"))
    scene.proxy.is_draining_batch = True
    assert scene.submit("l1", [batch_scene.item(name) for name in "abc"]).status == 202
    return scene


def conditions(scene, job="l1"):
    return {row["id"]: row["condition"] for row in scene.all_results(job)}


def test_results_of_a_job_are_readable_after_its_route_was_withdrawn(scene):
    """Guards against 404 for an accepted job because no batch route is left for its host (review/3)."""
    scene.submit("l1", [batch_scene.item(name) for name in "ab"])
    results = scene.all_results("l1")
    scene.proxy.install_routes([SAFE], edition=5)
    answer = scene.results("l1")
    assert (answer.status, answer.json["results"]) == (200, results)
    assert scene.call("GET", "/ploverward/items/l1?id=a").status == 200
    assert scene.call("DELETE", "/ploverward/lots/l1").status == 200
    assert scene.results("other").status == 404


@pytest.mark.parametrize("key, status", [("key-2", 200), ("key-3", 404), ("nobody", 401)])
def test_keys_are_checked_for_a_job_without_a_route(scene, key, status):
    scene.submit("l1", [batch_scene.item("a")])
    scene.all_results("l1")
    scene.proxy.install_routes([SAFE], edition=5)
    assert scene.results("l1", key=key).status == status


def test_waiting_items_of_a_withdrawn_route_become_dead_letters(waiting):
    """Guards against open jobs that are never complete because no configuration lets their items run any more."""
    waiting.proxy.install_routes([SAFE], edition=5)
    waiting.proxy.is_draining_batch = False
    assert conditions(waiting) == dict.fromkeys("abc", "dead_letter")
    assert not waiting.arrivals()


def test_many_waiting_items_of_a_withdrawn_route_are_given_up_within_seconds(waiting):
    """Guards against a proxy without batch routes that pulls one item at a time."""
    items = [batch_scene.item(f"i{number}", tokens=0) for number in range(200)]
    assert waiting.submit("l2", items).status == 202
    waiting.proxy.install_routes([SAFE], edition=5)
    waiting.proxy.is_draining_batch = False
    assert set(conditions(waiting, "l2").values()) == {"dead_letter"}


def test_items_run_on_a_route_of_another_name_at_their_place(waiting):
    """Guards against items that wait for ever because their route was renamed."""
    waiting.proxy.install_routes([batch_route("renamed"), SAFE], edition=5)
    waiting.proxy.is_draining_batch = False
    assert conditions(waiting) == dict.fromkeys("abc", "delivered")


@pytest.mark.parametrize(
    "route", [batch_route(host="other"), batch_route(prefix="/else/")], ids=["another host", "another prefix"]
)
def test_items_do_not_run_on_a_new_route_that_has_the_name_of_theirs(waiting, route):
    """Guards against items that go to a service to which no configuration ever sent their path."""
    waiting.proxy.install_routes([route, SAFE], edition=5)
    waiting.proxy.is_draining_batch = False
    assert conditions(waiting) == dict.fromkeys("abc", "dead_letter")
    assert not waiting.arrivals()


def test_proxy_with_an_older_configuration_gives_no_item_up(waiting):
    """Guards against dead letters of a proxy that does not know the job's route yet."""
    accepted_by = waiting.proxy.routes.edition
    waiting.proxy.install_routes([SAFE], edition=accepted_by - 1)
    waiting.proxy.is_draining_batch = False
    waiting.wait(1.5)
    assert waiting.results("l1").json["results"] == []
    waiting.proxy.install_routes([LOTS, SAFE], edition=accepted_by)
    assert conditions(waiting) == dict.fromkeys("abc", "delivered")


def test_an_item_whose_run_ends_after_its_route_was_withdrawn_becomes_a_dead_letter(tmp_path):
    scene = batch_scene.BatchScene(tmp_path, lambda _number, _received: None)  # the replica never answers
    scene.submit("l1", [batch_scene.item("a")])
    assert scene.until(scene.arrivals)
    scene.proxy.install_routes([SAFE], edition=5)
    scene.wait(1.0)
    assert scene.results("l1").json["results"] == []  # the run in progress may still deliver the item
    scene.peers[0].end(0, is_reset=True)
    assert conditions(scene) == {"a": "dead_letter"}


def test_tokens_of_a_renamed_route_count_against_its_quota(waiting):
    """Guards against a tenant that has twice its quota waiting because the route's name changed."""
    waiting.proxy.install_routes([batch_route("renamed"), SAFE], edition=5)
    assert waiting.submit("l2", [batch_scene.item("d", tokens=971)]).status == 429
    assert waiting.submit("l2", [batch_scene.item("d", tokens=970)]).status == 202
    assert waiting.submit("l3", [batch_scene.item("e", tokens=1)]).status == 429


def test_jobs_of_an_earlier_version_are_routed_by_name_and_wait_without_a_route(waiting, monkeypatch):
    waiting.proxy.install_routes([batch_route("renamed"), SAFE], edition=5)
    leased = waiting.stores[waiting.owners().primary]
    for owned in leased.primary.owned.values():
        for job in owned.table.jobs.values():
            job.origin = job.origin._replace(host="", edition=0)
    waiting.proxy.is_draining_batch = False
    waiting.wait(1.5)
    assert waiting.results("l1").json["results"] == []
    waiting.proxy.install_routes([LOTS, SAFE], edition=6)
    assert conditions(waiting) == dict.fromkeys("abc", "delivered")


def test_items_run_at_a_store_that_knows_no_handshake(waiting):
    """Guards against a proxy that can't read what a store of an earlier version answers."""
    for store in waiting.stores.values():
        store._jobs._identified.clear()
    waiting.proxy.is_draining_batch = False
    assert conditions(waiting) == dict.fromkeys("abc", "delivered")
