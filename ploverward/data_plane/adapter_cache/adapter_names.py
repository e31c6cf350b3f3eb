"""Resolves the model and adapter that a request names (docs/pins.md 1). No other code decides this."""

import collections.abc
import typing


class ResolvedModel(typing.NamedTuple):
    """The model and adapter that a request names.

    Attributes:
        model: The model; the text of the request if it names nothing known.
        adapter: The adapter of that model, or "".
        is_known: Whether the text is empty or names a known model or adapter.
    """

    model: str
    adapter: str
    is_known: bool


def resolve(
    *,
    text: str,
    models: collections.abc.Container[str],
    adapters: collections.abc.Mapping[str, collections.abc.Collection[str]],
) -> ResolvedModel:
    """Resolves the value of the header X-Model.

    The name of a model resolves to that model. A name that the endpoint list or the configuration lists as an adapter
    of exactly one model resolves to that adapter. Any other name is unknown.

    Args:
        text: The value of the header, or "".
        models: The models of the service.
        adapters: The models that have an adapter, by adapter.
    """
    if not text or text in models:
        return ResolvedModel(text, "", True)
    owners = adapters.get(text, ())
    if len(owners) == 1:
        return ResolvedModel(next(iter(owners)), text, True)
    return ResolvedModel(text, "", False)
