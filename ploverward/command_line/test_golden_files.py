"""The settings file and the deploy file, as ploverward/command_line/golden holds what they mean."""

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

# What follows names parts of the program.
ROOT = HERE.parent.parent
# Operators' tools read bounds from what core nodes answer, not from a settings file; the script that did so stood outside the package.
OTHER_READERS = {"simulation", "command_line"}
SOURCES = sorted(
    path
    for path in (ROOT / "ploverward").rglob("*.py")
    if not OTHER_READERS & set(path.relative_to(ROOT).parts) and not path.name.startswith("test_")
)
BOUND_READ = re.compile(r"\bbound(?:_s)?\(\s*name=\"(\w+)\"|\bbounds\[\"(\w+)\"\]")
BINDING_READ = re.compile(r"\bbindings\[\"(\w+)\"\]|\"(\w+)\" in [\w.]*bindings\b")


def read(text: str) -> dict:
    """What the program makes of a settings file."""
    return json.loads(json.dumps(dataclasses.asdict(settings.check(text=text))))


def fault(text: str) -> str:
    with pytest.raises(errors.SettingsError) as raised:
        settings.check(text=text)
    return str(raised.value)


def fields_read() -> list:
    """Names that are asked for one by one, besides those taken by their beginning (bounds, zones, bindings)."""
    asked = set()

    class Noting(dict):
        def get(self, name, default=None):
            asked.add(name)
            return super().get(name, default)

        def __getitem__(self, name):
            asked.add(name)
            return super().__getitem__(name)

    parse = settings.parse_lines
    settings.parse_lines = lambda *, text: Noting(parse(text=text))
    try:
        made = settings.check(text=TEXT)
        assert made.tolerated_machines == 2
    finally:
        settings.parse_lines = parse
    return sorted(name for name in asked if not name.startswith(("bounds.", "zones.", "bindings.")))


def names_in_sources(pattern) -> list:
    found = set()
    for path in SOURCES:
        for row in pattern.findall(path.read_text(encoding="utf-8")):
            found.add("".join(row))
    return sorted(found)


# What follows knows the interfaces alone.


def without(name: str) -> str:
    return "".join(line for line in TEXT.splitlines(keepends=True) if not line.startswith(name + "="))


def test_complete_settings_file_parses_to_the_published_values():
    assert read(TEXT) == SETTINGS["values"]


def test_settings_fields_read_match_the_published_list():
    assert fields_read() == SETTINGS["fields"]


def test_bounds_and_bindings_are_read_by_their_published_names():
    assert names_in_sources(BOUND_READ) == SETTINGS["bounds"]
    assert names_in_sources(BINDING_READ) == SETTINGS["bindings"]


@pytest.mark.parametrize("name", SETTINGS["missing"])
def test_missing_field_takes_its_default_or_is_named_in_the_error(name):
    wanted = SETTINGS["missing"][name]
    if "error" in wanted:
        assert fault(without(name)) == wanted["error"] and name in wanted["error"]
    else:
        values = read(without(name))
        assert {key: value for key, value in values.items() if key != "raw"} == wanted["values"]


@pytest.mark.parametrize("line", SETTINGS["malformed"])
def test_malformed_field_gives_the_published_error(line):
    assert fault(TEXT + line + "\n") == SETTINGS["malformed"][line]


def deployed() -> dict:
    return tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))


def test_deploy_file_matches_the_published_roles_and_names():
    held = deployed()
    for name, role in held["roles"].items():
        command = COMMAND.fullmatch(role.pop("run"))
        assert command and command[1] == name
    assert held == DEPLOY
