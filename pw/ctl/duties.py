"""Which proxies hold the duties of regions and zones: the first live one in an agreed order (design 4, docs/digest.md 4)."""

FEW = 3  # a zone of so few proxies has no digest: each is its own


def named(*, proxies, duty) -> dict:
    """Duty: (epoch seen, holder, its life) for each duty whose holder is gone. `proxies`: (address, life, zone, region).

    Relays go by address from the front, digests from the back, so that they seldom meet on one node.
    """
    by_region, by_zone = {}, {}
    for address, life, zone, region in proxies:
        by_region.setdefault(region, []).append((address, life))
        by_zone.setdefault(zone, []).append((address, life))
    rows = {}
    for region, live in by_region.items():
        epoch, *held = duty(f"relay/{region}")
        if tuple(held) not in live:
            rows[f"relay/{region}"] = (epoch, *min(live))
    for zone, live in by_zone.items():
        epoch, *held = duty(f"digest/{zone}")
        if tuple(held) not in live and len(live) > FEW:
            rows[f"digest/{zone}"] = (epoch, *max(live))
    return rows
