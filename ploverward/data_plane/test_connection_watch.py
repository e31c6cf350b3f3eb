"""Tests of when a proxy logs its number of connections."""

import logging

import pytest

from ploverward.data_plane import connection_watch


class Scene:
    def __init__(self, caplog):
        caplog.set_level(logging.INFO, logger="ploverward")
        self.caplog = caplog
        self.clients, self.upstream = 0, 0
        self.watch = connection_watch.ConnectionWatch(
            max_handles=2000,
            clients=lambda: self.clients,
            upstream=lambda: self.upstream,
            stale_regions=lambda: ["west"],
        )

    def logged(self, *, clients, upstream):
        self.clients, self.upstream = clients, upstream
        self.caplog.clear()
        self.watch.check()
        return [record.getMessage() for record in self.caplog.records]


@pytest.fixture
def scene(caplog):
    return Scene(caplog)


def test_count_below_first_level_is_not_logged(scene):
    assert scene.logged(clients=40, upstream=59) == []


def test_first_level_and_each_doubling_are_logged_once(scene):
    assert scene.logged(clients=50, upstream=50) == ["many_connections"]
    assert scene.caplog.records[0].regions_unknown == ["west"]
    assert scene.logged(clients=60, upstream=100) == []
    assert scene.logged(clients=400, upstream=100) == ["many_connections"]
    assert scene.logged(clients=400, upstream=200) == []


def test_return_to_normal_is_logged_below_clear_level(scene):
    scene.logged(clients=100, upstream=50)
    assert scene.logged(clients=50, upstream=40) == []
    assert scene.logged(clients=50, upstream=20) == ["usual_connections"]
    assert scene.logged(clients=50, upstream=20) == []
    assert scene.logged(clients=100, upstream=50) == ["many_connections"]
