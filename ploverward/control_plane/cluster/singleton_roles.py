"""Which proxies hold the duties of regions and zones: the first live one in an agreed order (design 4, docs/digest.md 4)."""

import hashlib
import math

MAX_PROXIES_WITHOUT_DIGEST = 3  # a zone of so few proxies has no digest: each is its own
PROXIES_PER_DIGEST = 14  # proxies that one digest serves; a zone of more has several digests
KEPT_SHARE = 0.6  # a further digest ends once the zone could do without it, had it so much less room

RELAY = "relay"
DIGEST = "digest"
NOBODY = ("", "")  # the holder, and its life, of a duty that is not needed now


def relay_name(*, region: str) -> str:
    return f"{RELAY}/{region}"


def digest_name(*, zone: str, number: int = 0) -> str:
    """The first digest of a zone bears the zone's name alone."""
    return f"{DIGEST}/{zone}/{number}" if number else f"{DIGEST}/{zone}"


def is_digest_of(*, name: str, zone: str) -> bool:
    return name == digest_name(zone=zone) or name.startswith(f"{DIGEST}/{zone}/")


def digest_for(*, names, address: str) -> str:
    """Which of a zone's digests serves this proxy: by rendezvous hash, so that few change when one comes or goes."""

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{name} {address}".encode(), digest_size=8).digest()

    return max(names, key=weight)


def named(*, proxies, find_role) -> dict:
    """Duty: (epoch seen, holder, its life) for each duty whose holder is gone. `proxies`: (address, life, zone, region).

    Relays go by address from the front, digests from the back, so that they seldom meet on one node.
    """
    by_region, by_zone = {}, {}
    for address, incarnation, zone, region in proxies:
        by_region.setdefault(region, []).append((address, incarnation))
        by_zone.setdefault(zone, []).append((address, incarnation))
    rows = {}
    for region, live in by_region.items():
        epoch, *assigned = find_role(relay_name(region=region))
        if tuple(assigned) not in live:
            rows[relay_name(region=region)] = (epoch, *min(live))
    for zone, live in by_zone.items():
        rows.update(_digests(zone=zone, live=live, find_role=find_role))
    return rows


def _owners(*, zone: str, find_role) -> list:
    """(holder, its life) of each digest that the zone ever had, in order."""
    found = []
    while True:
        epoch, *assigned = find_role(digest_name(zone=zone, number=len(found)))
        if not epoch:
            return found
        found.append(tuple(assigned))


def _digests(*, zone: str, live: list, find_role) -> dict:
    """The digests of one zone that want a holder, or that are not needed any more."""
    rows = {}
    wanted = math.ceil(len(live) / PROXIES_PER_DIGEST)
    busy = set(_owners(zone=zone, find_role=find_role))
    free = sorted((proxy for proxy in live if proxy not in busy), reverse=True)
    number = 0
    while True:
        name = digest_name(zone=zone, number=number)
        epoch, *assigned = find_role(name)
        owner = tuple(assigned)
        if number < wanted:
            if owner not in live and len(live) > MAX_PROXIES_WITHOUT_DIGEST and free:
                rows[name] = (epoch, *free.pop(0))
        elif not epoch:
            return rows
        elif owner != NOBODY and (owner not in live or len(live) < number * PROXIES_PER_DIGEST * KEPT_SHARE):
            rows[name] = (epoch, *NOBODY)
        number += 1
