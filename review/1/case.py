"""Case 1: a store that loses its disk while it is emptied is reported as emptied although it holds copies again."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import client
from harness import lots
from harness import nodes

HERE = pathlib.Path(__file__).resolve().parent
TENANTS = 40  # enough that each pair of stores shares the lots of some
DOWN_S = 1.0  # for which a store that lost its disk is down
OVER_S = 10  # the operator's time for emptying the store
READ_S = 40.0  # for the last reads: recoverS, and more than as long again


def lose_disks(case: lots.LotCase, stores: list[nodes.Node]) -> None:
    """Takes the power and the disks of stores, which come back empty after `DOWN_S`."""
    for store in stores:
        case.fleet.signal(store, signal.SIGKILL)
    for store in stores:
        case.fleet.wipe(store)
    time.sleep(DOWN_S)
    for store in stores:
        case.fleet.start(store)


def empty_and_remove(case: lots.LotCase, store: nodes.Node, *, has_trouble: bool) -> bool:
    """Has a store emptied and takes it away; returns whether the core said that it is emptied.

    With trouble, the store loses its disk right after the order was acknowledged.
    """
    path = f"/ploverward/retire/{store.name}"
    if case.operator.order("POST", path, body={"overS": OVER_S}).status != 200:
        return False
    ordered_at = case.record.now()
    if has_trouble:
        lose_disks(case, [store])
    time.sleep(max(0.0, ordered_at + OVER_S - case.record.now()))

    def is_delivered() -> bool:
        answer = case.operator.order("GET", path)
        return answer.status == 200 and answer.json["condition"] == "delivered"

    if not client.until(is_delivered, seconds=25):
        return False
    case.fleet.signal(store, signal.SIGKILL)
    case.fleet.wipe(store)
    case.record.write(f"{store.name} was taken away")
    return True


def main() -> int:
    """Returns 1 if an accepted lot was lost, 0 if none was, 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="review-1-") as folder:
        case = lots.LotCase(folder=pathlib.Path(folder), record_path=HERE / "record.txt", tenants=TENANTS)
        try:
            is_ready = case.start() and all(case.hand_in(tenant) for tenant in range(TENANTS))
            if not is_ready or not all(
                client.until(lambda tenant=tenant: case.is_read_whole(tenant), seconds=15) for tenant in range(TENANTS)
            ):
                case.record.write("the deployment did not serve: the case could not run")
                return 2
            *others, retired = case.fleet.by_role("store")
            if not empty_and_remove(case, retired, has_trouble=has_trouble):
                case.record.write("the store was not reported as emptied")
                return 0 if has_trouble else 2
            lose_disks(case, others[:2])
            lost = [lots.lot_of(tenant) for tenant in case.unread_lots(seconds=READ_S)]
            case.record.write(f"{len(lost)} of {TENANTS} accepted lots can't be read: {lost}")
            return 1 if lost else 0
        finally:
            case.fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
