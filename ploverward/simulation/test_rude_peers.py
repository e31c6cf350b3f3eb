"""Seeded histories of rude peers at a proxy: none fails a check, and each planted fault makes one fail."""

import pytest

from ploverward.data_plane.upstream import response_reader
from ploverward.data_plane.upstream import upstream_connection
from ploverward.simulation import rude_peers
from ploverward.transport import event_loop
from ploverward.transport import http_connection
from ploverward.transport import read_share

MAX_SEEDS = 6


@pytest.mark.parametrize("seed", range(6))
def test_history_of_rude_peers_violates_no_check(seed):
    history = rude_peers.RudePeersHistory(seed=seed)
    assert history.play() == []
    assert history.answered >= 50  # guards against a history that tests nothing
    assert history.largest >= read_share.MAX_EVENTS_PER_TURN  # and against one without rude peers


def process_all_events_of_a_read(monkeypatch):
    monkeypatch.setattr(read_share, "MAX_EVENTS_PER_TURN", 100_000)


def forget_bytes_in_the_parser(monkeypatch):
    def pause(self):
        self._has_unparsed_bytes = False

    monkeypatch.setattr(http_connection.HttpConnection, "_pause_reading", pause)


def forget_answers_in_the_parser(monkeypatch):
    monkeypatch.setattr(upstream_connection.UpstreamConnection, "_queue_continuation", lambda _self: None)


def serve_the_last_continuation_first(monkeypatch):
    """Leaves clients whose turn never comes, as long as others go on."""

    def run(self):
        if self._continuations:
            self._run_callback(self._continuations.pop())

    def continue_again(self):
        self._is_paused = False
        self._is_continuation = True
        if self._state is not http_connection.State.CLOSED:
            self._read_events()
            self.loop.continue_later(callback=lambda: continue_again(self))

    monkeypatch.setattr(event_loop.Loop, "_run_continuations", run)
    monkeypatch.setattr(http_connection.HttpConnection, "_continue_reading", continue_again)


def parse_heads_as_they_arrive(monkeypatch):
    monkeypatch.setattr(read_share, "may_be_long_head", lambda _unparsed: False)


def parse_trailers_of_clients_as_they_arrive(monkeypatch):
    is_in_chunks = property(lambda _self: False, lambda _self, _value: None)
    monkeypatch.setattr(http_connection.HttpConnection, "_has_chunks", is_in_chunks, raising=False)


def parse_trailers_of_replicas_as_they_arrive(monkeypatch):
    is_in_chunks = property(lambda _self: False, lambda _self, _value: None)
    monkeypatch.setattr(response_reader.ResponseReader, "_has_chunks", is_in_chunks, raising=False)


@pytest.mark.parametrize(
    "plant",
    [
        process_all_events_of_a_read,
        forget_bytes_in_the_parser,
        forget_answers_in_the_parser,
        serve_the_last_continuation_first,
        parse_heads_as_they_arrive,
        parse_trailers_of_clients_as_they_arrive,
        parse_trailers_of_replicas_as_they_arrive,
    ],
)
def test_checks_find_the_planted_fault(plant, monkeypatch):
    plant(monkeypatch)
    monkeypatch.setattr(rude_peers, "FINAL_TURNS", 1500)
    if not any(rude_peers.RudePeersHistory(seed=seed).play() for seed in range(MAX_SEEDS)):
        pytest.fail(f"not found in {MAX_SEEDS} histories")
