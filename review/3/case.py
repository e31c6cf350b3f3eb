"""Case 3: the operator withdraws the route of lots, and lots that were accepted on it answer 404 and are not ended."""

from __future__ import annotations

import os
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import client
from harness import lots

HERE = pathlib.Path(__file__).resolve().parent
DONE, OPEN = 0, 1  # tenants: the lot of one is complete and was read, that of the other is not
READ_S = 15.0  # for which the lots are read after the change: well above applyMs, settleMs and contactMs
SLOW_S = 4.0  # a replica works on each item of the open lot for so long


def work_s(request_id: str) -> float:
    """Returns for how long a replica works on an item: longer on those of the open lot."""
    return SLOW_S if request_id.startswith(f"{OPEN:04x}") else 0.05


def main() -> int:
    """Returns 1 if a machine answered 404 for an accepted lot, 0 if none did, 2 if the case could not run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory(prefix="review-3-") as folder:
        case = lots.LotCase(folder=pathlib.Path(folder), record_path=HERE / "record.txt", tenants=2)
        try:
            for replica in case.replicas:
                replica.answer_s = work_s
            if not case.start() or not case.hand_in(DONE):
                return 2
            if not client.until(lambda: case.is_read_whole(DONE), seconds=15) or not case.hand_in(OPEN):
                return 2
            withdrawn = {"routes": [lots.LOT_ROUTE["name"]]} if has_trouble else {}
            patch = {"edition": 2, "upsert": {"routes": [lots.STREAM_ROUTE]}, "withdraw": withdrawn}
            headers = {"If-Match": "1"}
            if case.operator.order("PATCH", "/ploverward/configuration", body=patch, headers=headers).status != 200:
                return 2
            time.sleep(3.0)  # applyMs, and settleMs since each lot was accepted
            end = case.record.now() + READ_S
            unknown = 0
            while case.record.now() < end:
                unknown += sum(case.read(tenant).status == 404 for tenant in (DONE, OPEN))
                time.sleep(0.5)
            case.record.write(f"{unknown} reads of accepted lots were answered with 404")
            return 1 if unknown else 0
        finally:
            case.fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
