"""Leases of a new version, on their way from the holder of the watch duty to the proxies (docs/rollouts.md 3)."""

import dataclasses
import json

from ploverward.common import errors


@dataclasses.dataclass(frozen=True)
class Lease:
    """What proxies may send to a new version: a part of a service's requests, to these replicas or (empty) to all."""

    service: str
    number: int
    step: int
    share: float
    replicas: tuple


def pack(leases: list) -> bytes:
    return json.dumps([dataclasses.astuple(lease) for lease in leases], separators=(",", ":")).encode()


def unpack(data: bytes) -> list:
    """Raises FrameProblem where the bytes are no leases."""
    try:
        return [
            Lease(str(service), int(number), int(step), float(share), tuple(str(name) for name in names))
            for service, number, step, share, names in json.loads(data)
        ]
    except (ValueError, TypeError) as failure:
        raise errors.FrameError(f"no leases: {failure}", step="leases") from None
