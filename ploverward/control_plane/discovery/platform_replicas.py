"""The codec of the platform's interface: pages of replicas in its words, rows in the terms of the code (design 5)."""

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
        rows: its replicas.
        next_token: what the request for the next page has to name; None where this is the last one.
    """

    rows: list[Row]
    next_token: str | None


def read_page(body: bytes) -> Page | None:
    """Reads the body of an answer; None where it can't be read."""
    try:
        answer = json.loads(body)
        rows = [read_row(platform_replica=platform_replica) for platform_replica in answer["replicas"]]
        return Page(rows=rows, next_token=answer.get("nextPage"))
    except (ValueError, KeyError, TypeError):
        return None


def read_row(*, platform_replica: Json) -> Row:
    """Reads one replica.

    Args:
        platform_replica: the replica as the platform gives it.

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
    """The adapters that a replica has loaded, as pairs with their model (docs/pins.md 1).

    A replica without adapters has no such field. Where it is not known what it has loaded, the field is None; then
    `is_malformed` is whether the platform named adapters that can't be read.
    """
    pairs: list[list[str]] = []
    for model in platform_replica.get("models") or []:
        named = model.get("adapters")
        if not isinstance(named, list) or not all(isinstance(name, str) for name in named):
            return {"adapters": None, "is_malformed": named is not None}
        pairs += [[str(model["name"]), name] for name in named]
    return {"adapters": pairs} if pairs else {}
