"""Tests that names on which other processes, stored data and operators rely still occur in the sources.

Guards against an internal rename that changes a published name by mistake: a JSON key, a settings key, a
stored field, a flag or a log event.
"""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
NAMES_FILE = ROOT / "docs" / "external-names.txt"
# The fields of these classes are written out under their own names.
NAMED_FIELD_BASES = {"typing.TypedDict", "pydantic.BaseModel", "_OpenModel"}
NAMED_FIELD_CLASSES = {
    "AdapterKey",
    "AttemptRow",
    "Evidence",
    "Filter",
    "FrameCount",
    "Rollout",
    "WorkCounts",
}


def listed_names() -> list[str]:
    lines = NAMES_FILE.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line and not line.startswith("#")]


def has_named_fields(node: ast.ClassDef) -> bool:
    return node.name in NAMED_FIELD_CLASSES or not NAMED_FIELD_BASES.isdisjoint(map(ast.unparse, node.bases))


def docstrings(tree: ast.Module) -> set[int]:
    """Returns the ids of the docstring nodes; a name in a docstring is not written out."""
    return {
        id(node.body[0].value)
        for node in ast.walk(tree)
        if isinstance(node, (ast.Module, ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef))
        and node.body
        and isinstance(node.body[0], ast.Expr)
    }


def names_in(source: str) -> set[str]:
    """Returns the string constants of a module, and the fields that are written out under their own names."""
    tree = ast.parse(source)
    skipped = docstrings(tree)
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in skipped:
            value = node.value.decode("latin-1") if isinstance(node.value, bytes) else node.value
            names |= {value} if isinstance(value, str) else set()
        if isinstance(node, ast.ClassDef) and has_named_fields(node):
            names |= {part.target.id for part in node.body if isinstance(part, ast.AnnAssign)}
    return names


@pytest.fixture(scope="module")
def source_names() -> set[str]:
    paths = [path for path in ROOT.glob("ploverward/**/*.py") if not path.name.startswith("test_")]
    return set().union(*(names_in(path.read_text(encoding="utf-8")) for path in paths))


@pytest.mark.parametrize("name", listed_names())
def test_external_name_occurs_in_the_sources(name, source_names):
    assert name in source_names


def test_external_names_are_unique_and_sorted():
    names = listed_names()
    assert names == sorted(set(names))


def test_names_in_ignores_docstrings_and_fields_of_other_classes():
    source = '"""docstring"""\nclass A:\n    internal: int\nclass Evidence:\n    stage: str\nkey = "value"\n'
    assert names_in(source) == {"stage", "value"}
