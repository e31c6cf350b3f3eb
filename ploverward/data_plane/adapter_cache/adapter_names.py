"""Which model and adapter a request names (docs/pins.md 1). This is the only place that decides it."""

import collections.abc
import typing


class ResolvedModel(typing.NamedTuple):
    """What a request names.

    Attributes:
        model: the model; the text of the request where that is not known.
        adapter: the adapter of that model, or "".
        is_known: whether the text names a model or an adapter, or nothing.
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
    """Finds out what X-Model names.

    The name of a model is that model. A name that the endpoint list or the configuration gives as an adapter of exactly
    one model is that adapter. Anything else is unknown; nothing is guessed.

    Args:
        text: the value of the header, or "".
        models: the models of the service.
        adapters: of each adapter the models that have it.
    """
    if not text or text in models:
        return ResolvedModel(text, "", True)
    owners = adapters.get(text, ())
    if len(owners) == 1:
        return ResolvedModel(next(iter(owners)), text, True)
    return ResolvedModel(text, "", False)
