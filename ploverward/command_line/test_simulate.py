"""The start of simulation runs: strings hash alike in each process."""

import sys

from ploverward.command_line import simulate


def test_the_program_starts_anew_as_it_was_called_where_strings_hash_by_chance(monkeypatch):
    started = []
    monkeypatch.setattr(simulate.os, "execve", lambda *about: started.append(about))
    monkeypatch.setattr(sys, "orig_argv", ["python3", "-m", "ploverward", "simulate", "--seeds", "1"])
    monkeypatch.setenv("PYTHONHASHSEED", "random")
    simulate.fix_hash_seed()
    ((program, words, environment),) = started
    assert program == sys.executable and words == [sys.executable, "-m", "ploverward", "simulate", "--seeds", "1"]
    assert environment["PYTHONHASHSEED"] == simulate.HASH_SEED


def test_the_program_goes_on_where_they_do(monkeypatch):
    monkeypatch.setattr(simulate.os, "execve", lambda *_about: 1 / 0)
    monkeypatch.setenv("PYTHONHASHSEED", simulate.HASH_SEED)
    simulate.fix_hash_seed()
