"""Checks a history of orders after the fact, against the chain of configurations that were chosen.

docs/orders.md states what holds; each rule here is one line of it.
"""

import dataclasses


@dataclasses.dataclass
class SentOrder:
    """One order as its operator sees it: sent from `begun`, ended with a status or with None for no clear answer."""

    method: str
    base: int
    order_id: str
    begun: float
    ended: float | None = None
    status: int | None = None
    is_again: bool = False  # sent again after it was ended


@dataclasses.dataclass(frozen=True)
class ConfigurationRead:
    """One reading of the configuration."""

    begun: float
    ended: float
    edition: int
    body: dict | None


@dataclasses.dataclass(frozen=True)
class ChosenConfiguration:
    """One configuration of the chain: the order that made it, on which version, and what it holds."""

    base: int
    edition: int
    order_id: str
    body: dict


def faults(*, sent, read, chosen) -> list:
    """`chosen`: all configurations that were chosen, in any order. What is wrong, as lines of text; [] if nothing."""
    found = []
    taken = {row.order_id: row for row in chosen}
    found += _chain_faults(chosen)
    confirmed = [order for order in sent if order.status == 200]
    bases = {}
    for order in confirmed:
        if order.order_id not in taken:
            found.append(f"an order on {order.base} was confirmed and never taken")
        other = bases.setdefault(order.base, order.order_id)
        if other != order.order_id:
            found.append(f"two orders were confirmed on {order.base}")
    for order in sent:
        if order.status is None or order.status == 200:
            continue
        if order.order_id in taken:
            again = " again" if order.is_again else ""
            found.append(f"an order on {order.base} was taken, sent{again} and refused with {order.status}")
    found += _read_faults(read, confirmed, taken)
    return found


def _chain_faults(chosen) -> list:
    found = []
    bases = {}
    for row in chosen:
        if row.edition <= row.base:
            found.append(f"version {row.edition} stands on {row.base}")
        if bases.setdefault(row.base, row.order_id) != row.order_id:
            found.append(f"two orders were taken on {row.base}")
    return found


def _read_faults(read, confirmed, taken) -> list:
    found = []
    bodies = {row.edition: row.body for row in taken.values()}
    for reading in read:
        acknowledged = [
            taken[order.order_id].edition
            for order in confirmed
            if order.order_id in taken and order.ended < reading.begun
        ]
        newest = max(acknowledged, default=0)
        if reading.edition < newest:
            found.append(f"read back {reading.edition} after {newest} was acknowledged")
        if reading.body != bodies.get(reading.edition):
            found.append(f"version {reading.edition} reads back otherwise than it was taken")
    return found
