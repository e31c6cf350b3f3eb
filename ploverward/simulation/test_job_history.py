"""Seeded histories of batch jobs while routes change: none fails a check, and each planted fault makes one fail."""

import pathlib
import tempfile

import pytest

from ploverward.data_plane.batch import batch_api
from ploverward.data_plane.batch import failed_attempts
from ploverward.data_plane.batch import item_puller
from ploverward.data_plane.requests import route_table
from ploverward.simulation import job_history
from ploverward.store import job_table
from ploverward.transport.batch_messages import Condition

MAX_SEEDS = 12


@pytest.mark.parametrize("seed", range(4))
def test_history_of_jobs_with_changing_routes_violates_no_check(seed, tmp_path):
    history = job_history.JobHistory(tmp_path, seed=seed)
    assert history.play() == []
    assert len(history.jobs) >= 3  # guards against a history that tests nothing


def require_a_route(monkeypatch):
    original = batch_api.BatchApi.handle

    def handle(self, request):
        has_route = self._node.routes.find_batch_route(host=request.text(b"host")) is not None
        return has_route and original(self, request)

    monkeypatch.setattr(batch_api.BatchApi, "handle", handle)


def route_by_name(monkeypatch):
    def find_route(self, item):
        route = self._node.routes.find_by_name(item.route)
        return route if route is not None and route.batch is not None else None

    monkeypatch.setattr(item_puller.ItemPuller, "_find_route", find_route)


def give_nothing_up(monkeypatch):
    def release(self, item):
        self._report_outcome(item, Condition.RELEASED, b"")

    monkeypatch.setattr(item_puller.ItemPuller, "_report_without_route", release)


def give_up_by_an_older_configuration(monkeypatch):
    original = item_puller.ItemPuller._report_without_route
    monkeypatch.setattr(
        item_puller.ItemPuller,
        "_report_without_route",
        lambda self, item: original(self, item._replace(edition=0)),
    )


def ignore_hosts(monkeypatch):
    original = route_table.Routes.find_batch_route

    def find(self, *, host, path=""):
        routes = [original(self, host=other, path=path) for other in (host, "h", "other")]
        return next((route for route in routes if route is not None), None)

    monkeypatch.setattr(route_table.Routes, "find_batch_route", find)


def count_no_failed_attempts(monkeypatch):
    monkeypatch.setattr(failed_attempts.FailedAttemptReports, "report", lambda _self, _key, **_arguments: None)


def give_up_at_the_first_failure(monkeypatch):
    monkeypatch.setattr(job_table.Job, "has_failed_too_often", lambda _self, item, **_arguments: item.failures > 0)


@pytest.mark.parametrize(
    "plant",
    [
        require_a_route,
        route_by_name,
        give_nothing_up,
        give_up_by_an_older_configuration,
        ignore_hosts,
        count_no_failed_attempts,
        give_up_at_the_first_failure,
    ],
)
def test_checks_find_the_planted_fault(plant, monkeypatch):
    plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        with tempfile.TemporaryDirectory() as folder:
            if job_history.JobHistory(pathlib.Path(folder), seed=seed).play():
                return
    pytest.fail(f"not found in {MAX_SEEDS} histories")
