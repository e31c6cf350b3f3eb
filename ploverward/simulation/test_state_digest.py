"""Digests of the code that a simulation plays."""

import pytest

from ploverward.simulation import state_digest


@pytest.fixture
def package(tmp_path, monkeypatch):
    monkeypatch.setattr(state_digest, "PACKAGE", tmp_path)
    for name in ("store/log.py", "store/test_log.py", "other/main.py"):
        (tmp_path / name).parent.mkdir(exist_ok=True)
        (tmp_path / name).write_text(name)
    return tmp_path


@pytest.mark.parametrize(
    "changed, is_same", [("store/log.py", False), ("store/test_log.py", True), ("other/main.py", True)]
)
def test_only_what_is_played_counts(package, changed, is_same):
    before = state_digest.digest(["store"])
    (package / changed).write_text("changed")
    assert (state_digest.digest(["store"]) == before) == is_same


def test_a_module_that_moves_is_another_state(package):
    before = state_digest.digest(["store"])
    (package / "store/log.py").rename(package / "store/journal.py")
    assert state_digest.digest(["store"]) != before


def test_a_path_that_does_not_exist_is_refused(package):
    with pytest.raises(FileNotFoundError):
        state_digest.digest(["stores"])
