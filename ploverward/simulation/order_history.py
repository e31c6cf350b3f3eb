"""Checks a history of orders after the fact, against the chain of configurations that were chosen.

docs/orders.md states what must be true; each rule here is one line of it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any


@dataclasses.dataclass(slots=True)
class SentOrder:
    """One order as its operator sees it.

    Attributes:
        method: "PUT" or "PATCH".
        base: The edition that it builds on.
        order_id: Identifies its content.
        begun: When it was first sent, by the simulated time in seconds.
        ended: When it had a clear answer; None: it has none.
        status: Of that answer.
        is_again: Whether the same order was ended before and is sent again.
    """

    method: str
    base: int
    order_id: str
    begun: float
    ended: float | None = None
    status: int | None = None
    is_again: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """One reading of the configuration.

    Attributes:
        begun: When, by the simulated time in seconds.
        ended: When it was answered.
        edition: That was read; 0: there is none.
        body: The configuration; None: there is none.
    """

    begun: float
    ended: float
    edition: int
    body: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenConfiguration:
    """One configuration of the chain.

    Attributes:
        base: The edition that it builds on.
        edition: Its own.
        order_id: The order that made it.
        body: What it contains; None: only a later one names it.
    """

    base: int
    edition: int
    order_id: str
    body: dict[str, Any] | None


def violations(
    *, sent: Sequence[SentOrder], read: Sequence[ConfigurationRead], chosen: Sequence[ChosenConfiguration]
) -> list[str]:
    """Returns what is wrong, as lines of text; nothing where no rule is broken.

    Args:
        sent: All orders.
        read: All readings.
        chosen: All configurations that were chosen, in any order.
    """
    by_order_id = {row.order_id: row for row in chosen}
    confirmed = [order for order in sent if order.status == 200]
    return [
        *_chain_violations(chosen),
        *_confirmed_violations(confirmed, by_order_id),
        *_refused_violations(sent, by_order_id),
        *_read_violations(read, confirmed, by_order_id),
    ]


def _chain_violations(chosen: Sequence[ChosenConfiguration]) -> list[str]:
    found = []
    bases: dict[int, str] = {}
    for row in chosen:
        if row.edition <= row.base:
            found.append(f"version {row.edition} stands on {row.base}")
        if bases.setdefault(row.base, row.order_id) != row.order_id:
            found.append(f"two orders were taken on {row.base}")
    return found


def _confirmed_violations(confirmed: Sequence[SentOrder], by_order_id: Mapping[str, ChosenConfiguration]) -> list[str]:
    found = []
    bases: dict[int, str] = {}
    for order in confirmed:
        if order.order_id not in by_order_id:
            found.append(f"an order on {order.base} was confirmed and never taken")
        if bases.setdefault(order.base, order.order_id) != order.order_id:
            found.append(f"two orders were confirmed on {order.base}")
    return found


def _refused_violations(sent: Sequence[SentOrder], by_order_id: Mapping[str, ChosenConfiguration]) -> list[str]:
    found = []
    for order in sent:
        if order.status not in (None, 200) and order.order_id in by_order_id:
            again = " again" if order.is_again else ""
            found.append(f"an order on {order.base} was taken, sent{again} and refused with {order.status}")
    return found


def _read_violations(
    read: Sequence[ConfigurationRead],
    confirmed: Sequence[SentOrder],
    by_order_id: Mapping[str, ChosenConfiguration],
) -> list[str]:
    found = []
    bodies = {row.edition: row.body for row in by_order_id.values()}
    for reading in read:
        acknowledged = [
            by_order_id[order.order_id].edition
            for order in confirmed
            if order.order_id in by_order_id and order.ended is not None and order.ended < reading.begun
        ]
        newest = max(acknowledged, default=0)
        if reading.edition < newest:
            found.append(f"read back {reading.edition} after {newest} was acknowledged")
        if reading.body != bodies.get(reading.edition):
            found.append(f"version {reading.edition} reads back otherwise than it was taken")
    return found
