"""Tests of the settings file of a node."""

import pytest

from ploverward.common import errors
from ploverward.common import settings
from ploverward.simulation import loopback_proxy


def test_parse_settings_ignores_unknown_fields_and_names_missing_ones():
    found = settings.parse_settings(text=loopback_proxy.SETTINGS + "later.field=1\n")
    assert found.zones == {"za": "north", "zb": "south"} and found.bound_s(name="contactMs") == 4.0
    for name in ("node", "seedNodes", "bounds.contactMs", "innerPortRange"):
        text = "\n".join(line for line in loopback_proxy.SETTINGS.splitlines() if not line.startswith(name + "="))
        with pytest.raises(errors.SettingsError) as caught:
            settings.parse_settings(text=text)
        assert name in str(caught.value)


@pytest.mark.parametrize(
    "line",
    ["no equals sign", "seedNodes=10.0.0.1", "bounds.contactMs=soon", "firstStart=perhaps", "innerPortRange=9,1"],
)
def test_malformed_settings_raise_single_line_error(line):
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse_settings(text=loopback_proxy.SETTINGS + line + "\n")
    assert "\n" not in str(caught.value)


def test_file_watch_detects_a_changed_file(tmp_path, monkeypatch):
    path = tmp_path / "boot.conf"
    path.write_text(loopback_proxy.SETTINGS)
    monkeypatch.setenv(settings.PATH_VARIABLE, str(path))
    watch = settings.FileWatch()
    assert not watch.is_changed()
    path.write_text(loopback_proxy.SETTINGS + "later=1\n")
    assert watch.is_changed() and not watch.is_changed()
    path.unlink()
    assert not watch.is_changed()
