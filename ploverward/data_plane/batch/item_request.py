"""Requests for items of batch jobs: there is no client, the response is collected in memory (docs/batch.md 4).

`make_request` creates a request that a request handler processes like that of a client; `ResponseCollector` takes the
place of the client's connection.
"""

from __future__ import annotations

import binascii
import json
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import h11

from ploverward.transport import batch_messages
from ploverward.transport import http_request

INCOMPLETE = 0  # reported instead of an HTTP status if the response did not complete


class ResponseCollector:
    """Collects one response; implements `http_request.ResponseWriter`.

    Args:
        on_end: Called once with the HTTP status, or `INCOMPLETE`, and the body.
    """

    def __init__(self, *, on_end: Callable[[int, bytes], object]) -> None:
        self._on_end: Callable[[int, bytes], object] | None = on_end
        self._status = INCOMPLETE
        self._body = bytearray()

    def is_answering(self, _request: http_request.Request) -> bool:
        """Returns whether the response is still being written."""
        return self._on_end is not None

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool) -> None:
        """Records the status of the response."""
        self._status = status

    def send(self, event: Any) -> None:  # noqa: ANN401  # any event of h11
        """Collects a part of the body."""
        if isinstance(event, h11.Data):
            self._body += event.data

    def finish(self) -> None:
        """Completes the response."""
        self._end(self._status)

    def abort_response(self) -> None:
        """Ends the response as incomplete."""
        self._end(INCOMPLETE)

    def drop(self) -> None:
        """Ends the response as incomplete, as if a client had disconnected."""
        self._end(INCOMPLETE)

    def queued(self) -> int:
        """Returns the number of bytes waiting to be sent, which is always 0."""
        return 0

    def _end(self, status: int) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(status, bytes(self._body))


def make_request(
    *, item: batch_messages.LeasedItem, host: str, now: float, on_end: Callable[[int, bytes], object]
) -> http_request.Request:
    """Creates the request for an item.

    Args:
        item: The item as leased from the store.
        host: Host of the item's route.
        now: Time of the event loop's clock, in seconds.
        on_end: Called once with the HTTP status, or `INCOMPLETE`, and the body of the response.
    """
    headers = [(b"host", host.encode()), (b"x-attempt-id", item.item.encode())]
    headers += [(name.lower().encode(), value.encode("latin-1", "replace")) for name, value in _headers(item)]
    request = http_request.Request(
        http_connection=ResponseCollector(on_end=on_end),
        method=b"POST",
        target=item.path.encode(),
        headers=headers,
        begun_at=now,
    )
    request.body = binascii.a2b_base64(item.parcel)
    return request


def _headers(item: batch_messages.LeasedItem) -> list[tuple[str, str]]:
    return list(json.loads(item.headers).items())


def extract_event_data(stream: bytes) -> bytes:
    """Returns the data lines of all events of an event stream, in order and separated by line feeds."""
    lines = (line for line in stream.splitlines() if line.startswith(b"data:"))
    return b"\n".join(line[5:].removeprefix(b" ") for line in lines)
