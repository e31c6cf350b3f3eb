"""HTTP calls of clients and of the operator, each on a new connection."""

from __future__ import annotations

import base64
import http.client
import json
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from harness import records

SILENT = 0  # in place of a status: no complete answer came


class Answer(NamedTuple):
    """An answer; the status is `SILENT` if there was none."""

    status: int
    body: bytes

    @property
    def json(self) -> Any:  # noqa: ANN401  # any JSON value
        """The body, parsed as JSON."""
        return json.loads(self.body)


def call(
    record: records.Record,
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> Answer:
    """Sends one request and returns the answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        answer = Answer(response.status, response.read())
    except (OSError, http.client.HTTPException) as error:
        answer = Answer(SILENT, type(error).__name__.encode())
    finally:
        connection.close()
    record.write(f"{method} {path} at {address} -> {answer.status or 'none'} {answer.body[:160]!r}")
    return answer


def until(condition: Callable[[], object], *, seconds: float, pause_s: float = 0.3) -> bool:
    """Tries until a condition holds; returns whether it did in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(pause_s)
    return False


class Operator:
    """The operator: sends orders to core nodes in turn until one has a clear answer.

    Args:
        record: The record of the case.
        addresses: The `control` addresses.
    """

    def __init__(self, record: records.Record, addresses: list[str]) -> None:
        self._record = record
        self._addresses = addresses

    def order(
        self,
        method: str,
        path: str,
        *,
        body: object = None,
        headers: dict[str, str] | None = None,
        seconds: float = 20.0,
    ) -> Answer:
        """Sends an order, follows redirects, and sends it again elsewhere while there is no clear answer."""
        data = b"" if body is None else json.dumps(body).encode()
        end = time.monotonic() + seconds
        answer = Answer(SILENT, b"")
        while time.monotonic() < end:
            for address in self._addresses:
                answer = call(
                    self._record,
                    address,
                    method,
                    path,
                    headers={"Content-Type": "application/json", **(headers or {})},
                    body=data,
                    timeout_s=1.0,
                )
                if 200 <= answer.status < 300 or 400 <= answer.status < 500:
                    return answer
                time.sleep(0.2)
        return answer


def batch_item(item_id: str, path: str, *, size: int = 20) -> dict[str, Any]:
    """Returns an item of a lot, with a body of this many bytes."""
    return {
        "id": item_id,
        "path": path,
        "envelope": {"X-Model": "m", "X-Token-Count": "9,1", "X-Prompt-Lead": f"aa:5,{item_id[:8]}:4"},
        "parcel": base64.b64encode(item_id.encode().ljust(size, b".")).decode(),
        "tokens": 10,
    }
