"""Tests that the documentation matches the sources: files, pages, log events and tests that it names."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
PAGES = sorted([*ROOT.glob("*.md"), *ROOT.glob("docs/**/*.md")])
SOURCE_PATH = re.compile(r"(?<![\w/])ploverward/[\w/]*\w(?:\.py)?(?![\w*])")
SOURCE_FILE = re.compile(r"`([\w/]*\w\.py)`")
# In a call of a logger, or as an event of a `FailureSpell`.
LOGGED_EVENT = re.compile(
    r'(?:\b_log\.(?:debug|info|warning|error|exception)\(\s*|\b(?:failed|recovered)_event=)"(\w+)"'
)
LISTED_EVENT = re.compile(r"^\| `(\w+)` \|", re.MULTILINE)
PAGE_LINK = re.compile(r"`(?:docs/)?([\w/-]+\.md)`")


def names(pattern, page: pathlib.Path) -> set:
    return set(pattern.findall(page.read_text(encoding="utf-8")))


def has_source(name: str) -> bool:
    """Returns whether a path or a bare file name is that of a source file or folder."""
    return (ROOT / name).exists() or any(path.match(name) for path in ROOT.glob("ploverward/**/*.py"))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_source_files_named_in_a_page_exist(page):
    missing = {name for name in names(SOURCE_PATH, page) | names(SOURCE_FILE, page) if not has_source(name)}
    assert not missing


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.relative_to(ROOT).as_posix())
def test_pages_named_in_a_page_exist(page):
    missing = {
        name
        for name in names(PAGE_LINK, page)
        if not any((ROOT / folder / name).exists() for folder in ("", "docs", "docs/incidents"))
    }
    assert not missing


def test_readme_links_to_each_page():
    """Each page of docs/ is reachable from the README; incidents and the journal from the pages that name them."""
    listed = names(PAGE_LINK, ROOT / "README.md")
    assert {page.name for page in ROOT.glob("docs/*.md")} <= listed


def test_the_runbook_lists_each_log_event():
    """The on-call engineer can look up what an event means and what to do about it."""
    logged = set()
    for path in ROOT.glob("ploverward/**/*.py"):
        if "simulation" not in path.parts and not path.name.startswith("test_"):
            logged |= names(LOGGED_EVENT, path)
    runbook = (ROOT / "docs" / "operations.md").read_text(encoding="utf-8")
    listed = set(LISTED_EVENT.findall(runbook.partition("## Log events")[2]))
    assert logged == listed


def test_rules_page_names_existing_tests_and_scenario_files():
    """Each row of a rule names the test that covers it; what is missing is marked "open"."""
    page = ROOT / "docs" / "rules.md"
    defined = set()
    for path in ROOT.glob("ploverward/**/test_*.py"):
        defined |= names(re.compile(r"^def (test_\w+)", re.MULTILINE), path)
    assert names(re.compile(r"`(test_\w+)`"), page) <= defined
    rows = [line.split("|")[1:-1] for line in page.read_text(encoding="utf-8").splitlines() if line.startswith("| ")]
    days = {path.stem for path in ROOT.glob("days/*.toml")} | {"site", "open"}
    for _rule, module, test, day in (row for row in rows if row[0].strip() not in ("line", "---")):
        assert module.strip() and test.strip()
        assert {re.sub(r"\s*\(.*", "", name.strip()) for name in day.split(",")} <= days, day
