"""Tests of resolving X-Model to a model, to an adapter of exactly one model, or to nothing known."""

import pytest

from ploverward.data_plane.adapter_cache import adapter_names

ADAPTERS = {"drafts": {"m"}, "reviews": {"m"}, "both": {"m", "n"}}


@pytest.mark.parametrize(
    "text, expected",
    [
        ("m", ("m", "", True)),
        ("", ("", "", True)),
        ("drafts", ("m", "drafts", True)),
        ("both", ("both", "", False)),
        ("nobody", ("nobody", "", False)),
        ("m/drafts", ("m/drafts", "", False)),
    ],
)
def test_resolve_knows_only_models_and_unambiguous_adapters(text, expected):
    assert adapter_names.resolve(text=text, models=("m", "n"), adapters=ADAPTERS) == expected
