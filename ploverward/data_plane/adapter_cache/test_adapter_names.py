"""What X-Model names: a model, an adapter of exactly one model, or nothing that is known."""

import pytest

from ploverward.data_plane.adapter_cache import adapter_names

ADAPTERS = {"drafts": {"m"}, "reviews": {"m"}, "both": {"m", "n"}}


@pytest.mark.parametrize(
    "text, found",
    [
        ("m", ("m", "", True)),
        ("", ("", "", True)),
        ("drafts", ("m", "drafts", True)),
        ("both", ("both", "", False)),
        ("nobody", ("nobody", "", False)),
        ("m/drafts", ("m/drafts", "", False)),
    ],
)
def test_resolve_knows_only_models_and_unambiguous_adapters(text, found):
    assert adapter_names.resolve(text=text, models=("m", "n"), adapters=ADAPTERS) == found
