"""Leases of a new version, as the coordinator sends them to proxies (docs/rollouts.md 3)."""

import dataclasses
import json
from collections.abc import Iterable

from ploverward.common import errors


@dataclasses.dataclass(frozen=True)
class CanaryLease:
    """A permission to send a share of a service's requests to the new version until the lease expires.

    Attributes:
        service: The service.
        number: The number of the order that the lease belongs to.
        step: The step of the service's row that it was granted on.
        share: The permitted share of the proxy's own requests, 0 to 1.
        replicas: Ids of the replicas that these requests may be sent to. If empty, all replicas of the new version.
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
        FrameError: The bytes are not a list of encoded leases.
    """
    try:
        return [
            CanaryLease(str(service), int(number), int(step), float(share), tuple(str(name) for name in names))
            for service, number, step, share, names in json.loads(data)
        ]
    except (ValueError, TypeError) as error:
        raise errors.FrameError(f"not a JSON list of encoded leases: {error}", step="leases") from None
