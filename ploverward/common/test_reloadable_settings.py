"""Settings that are read again while a node runs."""

import types

from ploverward.common import errors
from ploverward.common import reloadable_settings


class Watch:
    """A settings file whose changes the test makes."""

    def __init__(self):
        self.changes = 0

    def is_changed(self):
        is_changed, self.changes = bool(self.changes), 0
        return is_changed


def make(*contents):
    remaining = list(contents)

    def load():
        content = remaining.pop(0)
        if isinstance(content, Exception):
            raise content
        return content

    watch = Watch()
    initial = types.SimpleNamespace(node="first")
    return reloadable_settings.ReloadableSettings(initial=initial, load=load, file_watch=watch), watch


def test_a_file_that_is_not_valid_leaves_the_settings_as_they_are():
    reloadable, _watch = make(errors.SettingsError("no node", step="settings"), types.SimpleNamespace(node="second"))
    reloadable.reload()
    assert reloadable.current.node == "first"
    reloadable.reload()
    assert reloadable.current.node == "second"


def test_a_file_is_read_again_only_where_it_was_changed():
    reloadable, watch = make(types.SimpleNamespace(node="second"))
    assert not reloadable.reload_if_changed() and reloadable.current.node == "first"
    watch.changes = 1
    assert reloadable.reload_if_changed() and reloadable.current.node == "second"
    assert not reloadable.reload_if_changed()
