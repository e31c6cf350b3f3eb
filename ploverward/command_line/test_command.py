"""Tests of the command line as a new user calls it: clear messages and exit codes, no tracebacks."""

import importlib
import inspect
import os
import subprocess
import sys

import pytest

from ploverward.command_line import main
from ploverward.simulation import loopback_proxy

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def run(*words, settings=""):
    env = {**os.environ, "PLOVERWARD_NODE_FILE": settings}
    env["PYTHONPATH"] = os.pathsep.join(sys.path)
    return subprocess.run(
        [sys.executable, "-m", "ploverward", *words], cwd=ROOT, env=env, capture_output=True, text=True, timeout=60
    )


@pytest.mark.parametrize(
    "words", [(), ("nothing",), ("drill",), ("custody",), ("keep",), ("core", "more"), ("--nonsense",)]
)
def test_misuse_is_reported_and_exits_2(words):
    done = run(*words)
    assert done.returncode == 2
    assert done.stderr and "Traceback" not in done.stderr


@pytest.mark.parametrize("role", ["core", "proxy", "check"])
def test_missing_or_malformed_settings_exit_2_with_one_error_line(role, tmp_path):
    for text in (None, "node=x\n", loopback_proxy.SETTINGS.replace("bounds.contactMs=4000", "bounds.contactMs=soon")):
        path = tmp_path / "boot.conf"
        if text is not None:
            path.write_text(text)
        done = run(role, settings=str(path))
        assert done.returncode == 2 and done.stderr.startswith("ploverward: ") and done.stderr.count("\n") == 1


def test_check_accepts_valid_settings(tmp_path):
    path = tmp_path / "boot.conf"
    path.write_text(loopback_proxy.SETTINGS)
    done = run("check", settings=str(path))
    assert done.returncode == 0 and "whole" in done.stdout


def test_unreachable_core_address_is_printed():
    for words in (("custody", "a1"), ("drill", "za"), ("nodes",)):
        done = run(*words, "--core", "127.0.0.1:9")
        assert done.returncode != 0 and "127.0.0.1:9" in done.stdout + done.stderr and "Traceback" not in done.stderr


def test_stand_in_help_lists_its_own_flags():
    done = run("stand-in", "--help")
    assert done.returncode == 0 and "--for_s" in done.stdout


def test_each_verb_module_defines_command():
    for name in set(main.MODULES.values()):
        module = importlib.import_module(f"ploverward.command_line.{name}")
        assert list(inspect.signature(module.command).parameters)[1] == "arguments"
