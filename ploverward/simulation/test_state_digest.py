"""Tests of the digests of the code that a simulation runs."""

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
def test_digest_covers_only_non_test_modules_of_its_paths(package, changed, is_same):
    before = state_digest.digest(["store"])
    (package / changed).write_text("changed")
    assert (state_digest.digest(["store"]) == before) == is_same


def test_renamed_module_changes_the_digest(package):
    before = state_digest.digest(["store"])
    (package / "store/log.py").rename(package / "store/journal.py")
    assert state_digest.digest(["store"]) != before


def test_missing_path_raises_file_not_found_error(package):
    with pytest.raises(FileNotFoundError):
        state_digest.digest(["stores"])
