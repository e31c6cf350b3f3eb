"""Checks a complete history of orders against the chain of chosen configurations.

Each rule checked here corresponds to one line of the requirements in docs/orders.md.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any


@dataclasses.dataclass(slots=True)
class SentOrder:
    """An order as its operator sees it.

    Attributes:
        method: "PUT" or "PATCH".
        base: Edition that it is based on.
        order_id: Identifier derived from its content.
        begun: Simulated time in seconds at which it was first sent.
        ended: Simulated time in seconds at which a clear answer arrived; None if none did.
        status: Status of that answer.
        is_again: Whether the same order was answered before and is sent again.
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
    """A read of the configuration.

    Attributes:
        begun: Simulated time in seconds at which it was sent.
        ended: Simulated time in seconds at which it was answered.
        edition: Edition in the answer; 0 if there is no configuration.
        body: Configuration in the answer; None if there is none.
    """

    begun: float
    ended: float
    edition: int
    body: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class ChosenConfiguration:
    """A configuration of the chain.

    Attributes:
        base: Edition that it is based on.
        edition: Its own edition.
        order_id: Identifier of the order that created it.
        body: Its content; None if it is known only from the recent orders of a later configuration.
    """

    base: int
    edition: int
    order_id: str
    body: dict[str, Any] | None


def violations(
    *, sent: Sequence[SentOrder], read: Sequence[ConfigurationRead], chosen: Sequence[ChosenConfiguration]
) -> list[str]:
    """Returns the violated rules as lines of text; empty for a correct history.

    Args:
        sent: All orders.
        read: All reads of the configuration.
        chosen: All chosen configurations, in any order.
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
