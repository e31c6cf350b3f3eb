"""Compares what the program reads from settings and deploy files with the files in ploverward/command_line/golden."""

import dataclasses
import json
import pathlib
import re
import tomllib

import pytest

from ploverward.common import errors
from ploverward.common import settings

HERE = pathlib.Path(__file__).parent
FOLDER = HERE / "golden"
TEXT = (FOLDER / "settings.txt").read_text(encoding="utf-8")
SETTINGS = json.loads((FOLDER / "settings.json").read_text(encoding="utf-8"))
DEPLOY = json.loads((FOLDER / "deploy.json").read_text(encoding="utf-8"))
COMMAND = re.compile(r"python3 .*\b(\w+)$")

# This section refers to names inside the program.
ROOT = HERE.parent.parent
# Left out: simulations, and operators' tools, which read bounds from responses of core nodes, not from a settings file.
OTHER_READERS = {"simulation", "command_line"}
SOURCES = sorted(
    path
    for path in (ROOT / "ploverward").rglob("*.py")
    if not OTHER_READERS & set(path.relative_to(ROOT).parts) and not path.name.startswith("test_")
)
BOUND_READ = re.compile(r"\bbound(?:_s)?\(\s*name=\"(\w+)\"|\bbounds\[\"(\w+)\"\]")
BINDING_READ = re.compile(r"\bbindings\[\"(\w+)\"\]|\"(\w+)\" in [\w.]*bindings\b")


def read_settings(text: str) -> dict:
    """Returns the settings that the program reads from a text, as JSON values."""
    return json.loads(json.dumps(dataclasses.asdict(settings.parse_settings(text=text))))


def settings_error(text: str) -> str:
    with pytest.raises(errors.SettingsError) as raised:
        settings.parse_settings(text=text)
    return str(raised.value)


def fields_read() -> list:
    """Returns the names of the fields that are read one by one, without those read by prefix (bounds, zones, bindings)."""
    names = set()

    class RecordingDict(dict):
        def get(self, name, default=None):
            names.add(name)
            return super().get(name, default)

        def __getitem__(self, name):
            names.add(name)
            return super().__getitem__(name)

    parse = settings.parse_lines
    settings.parse_lines = lambda *, text: RecordingDict(parse(text=text))
    try:
        parsed = settings.parse_settings(text=TEXT)
        assert parsed.tolerated_machines == 2
    finally:
        settings.parse_lines = parse
    return sorted(name for name in names if not name.startswith(("bounds.", "zones.", "bindings.")))


def names_in_sources(pattern) -> list:
    found = set()
    for path in SOURCES:
        for row in pattern.findall(path.read_text(encoding="utf-8")):
            found.add("".join(row))
    return sorted(found)


# From here on, only published interfaces are used.


def without(name: str) -> str:
    return "".join(line for line in TEXT.splitlines(keepends=True) if not line.startswith(name + "="))


def test_complete_settings_file_parses_to_the_published_values():
    assert read_settings(TEXT) == SETTINGS["values"]


def test_settings_fields_read_match_the_published_list():
    assert fields_read() == SETTINGS["fields"]


def test_bounds_and_bindings_are_read_by_their_published_names():
    assert names_in_sources(BOUND_READ) == SETTINGS["bounds"]
    assert names_in_sources(BINDING_READ) == SETTINGS["bindings"]


@pytest.mark.parametrize("name", SETTINGS["missing"])
def test_missing_field_takes_its_default_or_is_named_in_the_error(name):
    expected = SETTINGS["missing"][name]
    if "error" in expected:
        assert settings_error(without(name)) == expected["error"] and name in expected["error"]
    else:
        values = read_settings(without(name))
        assert {key: value for key, value in values.items() if key != "raw"} == expected["values"]


@pytest.mark.parametrize("line", SETTINGS["malformed"])
def test_malformed_field_gives_the_published_error(line):
    assert settings_error(TEXT + line + "\n") == SETTINGS["malformed"][line]


def deployed() -> dict:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))


def test_deploy_file_matches_the_published_roles_and_names():
    held = deployed()
    for name, role in held["roles"].items():
        command = COMMAND.fullmatch(role.pop("run"))
        assert command and command[1] == name
    assert held == DEPLOY
