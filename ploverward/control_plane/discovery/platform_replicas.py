"""Decodes pages of the platform's replica list into rows of the endpoint list (design 5)."""

import dataclasses
import json
import typing

from ploverward.control_plane.distribution.endpoint_list import Row

ACCEPTING = "accepting"  # the condition of a replica that accepts requests

Json: typing.TypeAlias = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of the platform's list.

    Attributes:
        rows: the replicas of the page, as rows of the endpoint list.
        next_token: token for requesting the next page; None on the last page.
    """

    rows: list[Row]
    next_token: str | None


def read_page(body: bytes) -> Page | None:
    """Decodes the body of a response; returns None if it is malformed."""
    try:
        answer = json.loads(body)
        rows = [read_row(platform_replica=platform_replica) for platform_replica in answer["replicas"]]
        return Page(rows=rows, next_token=answer.get("nextPage"))
    except (ValueError, KeyError, TypeError):
        return None


def read_row(*, platform_replica: Json) -> Row:
    """Decodes one replica.

    Args:
        platform_replica: the replica as the platform sends it.

    Returns:
        A row of the endpoint list.
    """
    return {
        "id": str(platform_replica["id"]),
        "service": str(platform_replica["destination"]),
        "address": str(platform_replica["address"]),
        "zone": str(platform_replica["zone"]),
        "edition": str(platform_replica.get("edition") or ""),
        "berths": int(platform_replica.get("berths", 1)),
        "is_clearing": platform_replica.get("condition") != ACCEPTING,
        "cold_ms": float(platform_replica.get("warmupLeftMs") or 0),
        "left_ms": platform_replica.get("timeLeftMs"),
        "models": [model["name"] for model in platform_replica.get("models") or []],
        **_adapter_fields(platform_replica),
    }


def _adapter_fields(platform_replica: Json) -> Json:
    """Returns the field of the adapters that a replica has loaded, as (model, adapter) pairs (docs/pins.md 1).

    The field is missing if the replica has no adapters, and None if it is unknown which ones it has loaded. In the
    latter case `is_malformed` states whether the platform sent adapters that cannot be decoded.
    """
    pairs: list[list[str]] = []
    for model in platform_replica.get("models") or []:
        named = model.get("adapters")
        if not isinstance(named, list) or not all(isinstance(name, str) for name in named):
            return {"adapters": None, "is_malformed": named is not None}
        pairs += [[str(model["name"]), name] for name in named]
    return {"adapters": pairs} if pairs else {}
