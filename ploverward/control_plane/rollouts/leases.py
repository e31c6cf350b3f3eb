"""Leases of a new version, as the coordinator sends them to proxies (docs/rollouts.md 3)."""

import dataclasses
import json
from collections.abc import Iterable

from ploverward.common import errors


@dataclasses.dataclass(frozen=True)
class CanaryLease:
    """How much of a service's requests a proxy may send to the new version.

    Attributes:
        service: The service.
        number: The order that the lease belongs to.
        step: The step of the service's row that it was granted on.
        share: Of the proxy's own requests, 0 to 1.
        replicas: The replicas that they may go to; empty: all of the new version.
    """

    service: str
    number: int
    step: int
    share: float
    replicas: tuple[str, ...]


def pack(leases: Iterable[CanaryLease]) -> bytes:
    """Encodes leases for `ploverward.transport.messages.RolloutLeases`."""
    return json.dumps([dataclasses.astuple(lease) for lease in leases], separators=(",", ":")).encode()


def unpack(data: bytes) -> list[CanaryLease]:
    """Decodes leases.

    Raises:
        FrameError: The bytes are no leases.
    """
    try:
        return [
            CanaryLease(str(service), int(number), int(step), float(share), tuple(str(name) for name in names))
            for service, number, step, share, names in json.loads(data)
        ]
    except (ValueError, TypeError) as error:
        raise errors.FrameError(f"no leases: {error}", step="leases") from None
