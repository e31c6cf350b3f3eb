"""Tests of reloading the settings while a node runs."""

import types

from ploverward.common import errors
from ploverward.common import reloadable_settings


class FakeFileWatch:
    """Fake `FileWatch` for which the test sets `changes`."""

    def __init__(self):
        self.changes = 0

    def is_changed(self):
        is_changed, self.changes = bool(self.changes), 0
        return is_changed


def make_reloadable(*contents):
    remaining = list(contents)

    def load():
        content = remaining.pop(0)
        if isinstance(content, Exception):
            raise content
        return content

    watch = FakeFileWatch()
    initial = types.SimpleNamespace(node="first")
    return reloadable_settings.ReloadableSettings(initial=initial, load=load, file_watch=watch), watch


def test_reload_keeps_settings_if_file_is_invalid():
    reloadable, _watch = make_reloadable(
        errors.SettingsError("no node", step="settings"), types.SimpleNamespace(node="second")
    )
    reloadable.reload()
    assert reloadable.current.node == "first"
    reloadable.reload()
    assert reloadable.current.node == "second"


def test_reload_if_changed_reads_file_only_after_a_change():
    reloadable, watch = make_reloadable(types.SimpleNamespace(node="second"))
    assert not reloadable.reload_if_changed() and reloadable.current.node == "first"
    watch.changes = 1
    assert reloadable.reload_if_changed() and reloadable.current.node == "second"
    assert not reloadable.reload_if_changed()
