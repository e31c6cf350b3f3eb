"""Tests of `ploverward keep`: commits by edition, rejected editions, digests of keys."""

import pytest

from ploverward.command_line import keep
from ploverward.common import errors


def body(edition, **more):
    return {"edition": edition, "routes": [], "destinations": [{"name": "d"}], **more}


def test_each_edition_is_committed_once_and_read_back_unchanged(tmp_path):
    repository = keep.ConfigurationRepository(folder=str(tmp_path / "specs"))
    assert repository.log() == []
    first = repository.keep(body=body(3))
    assert repository.keep(body=body(3)) is None
    second = repository.keep(body=body(7, limits={"idleMs": 5}))
    assert first != second and [edition for edition, _commit in repository.log()] == [7, 3]
    repository.close()
    again = keep.ConfigurationRepository(folder=str(tmp_path / "specs"))
    assert again.show(edition=3) == body(3) and again.show(edition=7) == body(7, limits={"idleMs": 5})
    with pytest.raises(errors.KeptEditionError):
        again.show(edition=5)
    again.close()


def test_edition_not_above_the_newest_kept_is_rejected(tmp_path):
    repository = keep.ConfigurationRepository(folder=str(tmp_path))
    repository.keep(body=body(7))
    for older in (body(6), body(7, limits={})):
        with pytest.raises(errors.KeptEditionError):
            repository.keep(body=older)
    assert [edition for edition, _commit in repository.log()] == [7]
    repository.close()


def test_tenant_keys_are_stored_only_as_digests(tmp_path):
    repository = keep.ConfigurationRepository(folder=str(tmp_path))
    body = {"edition": 3, "senders": [{"name": "clerks", "apiKeys": ["a-key"], "perS": 2}]}
    assert repository.keep(body=body) and repository.keep(body=body) is None
    kept = repository.show(edition=3)
    assert kept["senders"][0]["apiKeys"][0].startswith("digest:") and "a-key" not in str(kept)
    assert body["senders"][0]["apiKeys"] == ["a-key"]
    for path in tmp_path.rglob("*"):
        assert not path.is_file() or b"a-key" not in path.read_bytes()
