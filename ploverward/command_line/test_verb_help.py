"""Tests of `VERB --help`: complete for each verb, and in agreement with the flags that are defined."""

import re

import pytest

from ploverward.command_line import main
from ploverward.command_line import options
from ploverward.command_line import verb_help
from ploverward.testing import test_docs

VERBS = sorted(main.MODULES.keys() - {main.STAND_IN_VERB})


def test_each_verb_has_help():
    assert sorted(verb_help.HELP) == VERBS


@pytest.mark.parametrize("verb", VERBS)
def test_help_has_example_exit_codes_page_and_lines_within_the_width(verb):
    text = verb_help.help_text(verb)
    one = verb_help.HELP[verb]
    assert text.startswith(f"usage: python3 -m ploverward {verb}")
    assert f"python3 -m ploverward {verb}" in one.example
    assert 0 in one.codes and 2 in one.codes and (test_docs.ROOT / one.page).exists()
    assert max(map(len, text.splitlines())) <= 120


@pytest.mark.parametrize("verb", VERBS)
def test_flags_in_help_and_example_are_defined(verb):
    one = verb_help.HELP[verb]
    named = {re.match(r"--(\w+)", flag)[1] for flag in one.flags}
    assert named <= set(options.FLAGS)
    assert set(re.findall(r"--(\w+)", one.example)) <= named


def test_each_flag_is_listed_in_the_help_of_its_verb():
    """The help text of a flag begins with the verb that it belongs to."""
    for name in ("audit", "capacity", "previous", "over_s", "watch_s", "seeds", "planted", "history", "troubles"):
        verb = re.match(r"[\w-]+", options.FLAGS[name].help)[0]
        assert any(flag.startswith(f"--{name}") for flag in verb_help.HELP[verb].flags), name


@pytest.mark.parametrize("flag", sorted(main.HELP_FLAGS))
@pytest.mark.parametrize("verb", ["rollout", "core", "core-set"])
def test_help_flag_prints_the_help_and_exits_0(verb, flag, monkeypatch, capsys):
    monkeypatch.setattr(main.sys, "argv", ["ploverward", verb, flag])
    with pytest.raises(SystemExit) as ended:
        main.start()
    assert ended.value.code == 0
    assert capsys.readouterr().out == verb_help.help_text(verb) + "\n"
