"""Names of the singleton roles, and the choice of proxies that own those of regions and zones.

A role has one owner in the system at a time: the first live node in an order on which all nodes agree (design 4,
docs/digest.md 4). This module has pure functions; the register of owners is in
`ploverward.control_plane.cluster.singleton_role_table`.
"""

import hashlib
import math
import typing
from collections.abc import Callable
from collections.abc import Iterable

MAX_PROXIES_WITHOUT_DIGEST = 3  # a zone with at most this many proxies has no digest: each is its own one
PROXIES_PER_DIGEST = 14  # maximum number of proxies per digest; a zone with more proxies has several digests
# A surplus digest with a live owner is removed only once the digests before it would serve less than this share of
# `PROXIES_PER_DIGEST` each, so that a zone that shrinks a little keeps its digests.
DIGEST_REMOVAL_FILL = 0.6

COORDINATOR = "watch"  # the cluster coordinator, a core node
RELAY = "relay"
DIGEST = "digest"


class RoleOwner(typing.NamedTuple):
    """The owner of a role and its epoch."""

    epoch: int  # increases with each change of owner; 0 if the role never had one
    address: str  # empty while the role is not needed
    incarnation: str  # identifier of one start of the owner's process


NO_OWNER = RoleOwner(epoch=0, address="", incarnation="")


class NodeIncarnation(typing.NamedTuple):
    """One start of one node's process."""

    address: str
    incarnation: str


UNASSIGNED = NodeIncarnation(address="", incarnation="")  # owner of a role that is not needed now


class ProxyIdentity(typing.NamedTuple):
    """A proxy that may own roles."""

    address: str
    incarnation: str
    zone: str
    region: str


FindRole = Callable[[str], tuple[int, str, str]]  # takes the name of a role, returns the fields of its `RoleOwner`


def relay_name(*, region: str) -> str:
    """Returns the role name of a region's relay."""
    return f"{RELAY}/{region}"


def digest_name(*, zone: str, number: int = 0) -> str:
    """Returns the role name of one of a zone's digests; that of the first digest has no number."""
    return f"{DIGEST}/{zone}/{number}" if number else f"{DIGEST}/{zone}"


def is_digest_of(*, name: str, zone: str) -> bool:
    """Whether this is the role name of a digest of this zone."""
    return name == digest_name(zone=zone) or name.startswith(f"{DIGEST}/{zone}/")


def digest_for(*, names: Iterable[str], address: str) -> str:
    """Returns the role name of the digest that serves this proxy.

    The digest is chosen by rendezvous hashing, so that few proxies change their digest when one is added or removed.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{name} {address}".encode(), digest_size=8).digest()

    return max(names, key=weight)


def role_changes(*, proxies: Iterable[tuple[str, str, str, str]], find_role: FindRole) -> dict[str, RoleOwner]:
    """Returns the new owner of each role of a region or zone that needs another one, with the role's current epoch.

    Relays go to the lowest addresses and digests to the highest ones, so that one node seldom has both.

    Args:
        proxies: Fields of the `ProxyIdentity` of each proxy that may own roles.
        find_role: Returns the current owner of a role.
    """
    by_region: dict[str, list[NodeIncarnation]] = {}
    by_zone: dict[str, list[NodeIncarnation]] = {}
    for address, incarnation, zone, region in proxies:
        proxy = NodeIncarnation(address, incarnation)
        by_region.setdefault(region, []).append(proxy)
        by_zone.setdefault(zone, []).append(proxy)
    rows = {}
    for region, live in by_region.items():
        epoch, *assigned = find_role(relay_name(region=region))
        if tuple(assigned) not in live:
            rows[relay_name(region=region)] = RoleOwner(epoch, *min(live))
    for zone, live in by_zone.items():
        rows.update(_digest_changes(zone=zone, live=live, find_role=find_role))
    return rows


def _digest_owners(*, zone: str, find_role: FindRole) -> list[tuple]:
    """Returns the owner of each digest that the zone has ever had, in the order of their numbers."""
    found: list[tuple] = []
    while True:
        epoch, *assigned = find_role(digest_name(zone=zone, number=len(found)))
        if not epoch:
            return found
        found.append(tuple(assigned))


def _digest_changes(*, zone: str, live: list[NodeIncarnation], find_role: FindRole) -> dict[str, RoleOwner]:
    """Returns the new owners of a zone's digests that have lost theirs, and `UNASSIGNED` for digests to be removed."""
    rows = {}
    wanted = math.ceil(len(live) / PROXIES_PER_DIGEST)
    busy = set(_digest_owners(zone=zone, find_role=find_role))
    free = sorted((proxy for proxy in live if proxy not in busy), reverse=True)
    number = 0
    while True:
        name = digest_name(zone=zone, number=number)
        epoch, *assigned = find_role(name)
        owner = tuple(assigned)
        if number < wanted:
            if owner not in live and len(live) > MAX_PROXIES_WITHOUT_DIGEST and free:
                rows[name] = RoleOwner(epoch, *free.pop(0))
        elif not epoch:
            return rows
        elif owner != UNASSIGNED and (
            owner not in live or len(live) < number * PROXIES_PER_DIGEST * DIGEST_REMOVAL_FILL
        ):
            rows[name] = RoleOwner(epoch, *UNASSIGNED)
        number += 1
