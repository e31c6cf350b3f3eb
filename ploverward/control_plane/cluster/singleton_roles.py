"""Names of the singleton roles, and which proxies own those of regions and zones (design 4, docs/digest.md 4).

A role has one owner in the system at a time: the first live node in an order on which all agree. This module has
pure functions; the register of owners is in `ploverward.control_plane.cluster.singleton_role_table`.
"""

import hashlib
import math
import typing
from collections.abc import Callable
from collections.abc import Iterable

MAX_PROXIES_WITHOUT_DIGEST = 3  # a zone of so few proxies has no digest: each is its own
PROXIES_PER_DIGEST = 14  # proxies that one digest serves; a zone of more has several digests
KEPT_SHARE = 0.6  # a further digest ends once the zone could do without it if each digest served this share of proxies

COORDINATOR = "watch"  # the cluster coordinator, a core node
RELAY = "relay"
DIGEST = "digest"


class RoleOwner(typing.NamedTuple):
    """Who owns a role."""

    epoch: int  # rises with each owner; 0: there never was one
    address: str  # empty where the role is not needed now
    incarnation: str  # identifies one start of the owner's process


NO_OWNER = RoleOwner(epoch=0, address="", incarnation="")


class NodeIncarnation(typing.NamedTuple):
    """One start of one node's process."""

    address: str
    incarnation: str


NOBODY = NodeIncarnation(address="", incarnation="")  # the owner of a role that is not needed now


class ProxyIdentity(typing.NamedTuple):
    """A proxy that may own roles."""

    address: str
    incarnation: str
    zone: str
    region: str


FindRole = Callable[[str], tuple[int, str, str]]  # role: the fields of its `RoleOwner`


def relay_name(*, region: str) -> str:
    """Returns the role of a region's relay."""
    return f"{RELAY}/{region}"


def digest_name(*, zone: str, number: int = 0) -> str:
    """Returns the role of one of a zone's digests; the first one's is the zone's name alone."""
    return f"{DIGEST}/{zone}/{number}" if number else f"{DIGEST}/{zone}"


def is_digest_of(*, name: str, zone: str) -> bool:
    """Whether this is the role of a digest of this zone."""
    return name == digest_name(zone=zone) or name.startswith(f"{DIGEST}/{zone}/")


def digest_for(*, names: Iterable[str], address: str) -> str:
    """Returns which of a zone's digests serves this proxy.

    By rendezvous hashing, so that few proxies change their digest when one is added or ends.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{name} {address}".encode(), digest_size=8).digest()

    return max(names, key=weight)


def role_changes(*, proxies: Iterable[tuple[str, str, str, str]], find_role: FindRole) -> dict[str, RoleOwner]:
    """Returns the new owner of each role whose owner is lost, with the epoch that was seen.

    Relays are assigned by address from the front, digests from the back, so that they seldom meet on one node.

    Args:
        proxies: The fields of the `ProxyIdentity` of each proxy that may serve.
        find_role: Finds the present owner of a role.
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
    """The owner of each digest that the zone ever had, in order."""
    found: list[tuple] = []
    while True:
        epoch, *assigned = find_role(digest_name(zone=zone, number=len(found)))
        if not epoch:
            return found
        found.append(tuple(assigned))


def _digest_changes(*, zone: str, live: list[NodeIncarnation], find_role: FindRole) -> dict[str, RoleOwner]:
    """The digests of one zone that need an owner, or that are not needed any more."""
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
        elif owner != NOBODY and (owner not in live or len(live) < number * PROXIES_PER_DIGEST * KEPT_SHARE):
            rows[name] = RoleOwner(epoch, *NOBODY)
        number += 1
