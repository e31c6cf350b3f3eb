"""An item of a job as a request without a client: its answer is gathered in memory (docs/batch.md 4).

`ItemRequest` takes the place of a client's request for the code that serves requests; `AnswerSink` that of the client's
connection.
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

BROKEN_OFF = 0  # in place of a status: the answer did not come to its end


class AnswerSink:
    """Gathers one answer.

    Args:
        on_end: Called once with the status, or `BROKEN_OFF`, and the body.
    """

    def __init__(self, *, on_end: Callable[[int, bytes], object]) -> None:
        self._on_end: Callable[[int, bytes], object] | None = on_end
        self._status = BROKEN_OFF
        self._body = bytearray()

    def is_answering(self, _request: http_request.Request) -> bool:
        """Whether what is written still counts."""
        return self._on_end is not None

    def start(self, *, status: int, headers: Iterable[tuple[bytes, bytes]], is_last: bool) -> None:
        """The head of the answer."""
        self._status = status

    def send(self, event: Any) -> None:  # noqa: ANN401  # any event of h11
        """A part of the body."""
        if isinstance(event, h11.Data):
            self._body += event.data

    def finish(self) -> None:
        """The answer is complete."""
        self._end(self._status)

    def abort_response(self) -> None:
        """The answer is broken off."""
        self._end(BROKEN_OFF)

    def drop(self) -> None:
        """As if the client had left: there is none."""
        self._end(BROKEN_OFF)

    def queued(self) -> int:
        """Bytes that wait to be sent: none ever."""
        return 0

    def _end(self, status: int) -> None:
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(status, bytes(self._body))


def make_request(
    *, item: batch_messages.PulledItem, host: str, now: float, on_end: Callable[[int, bytes], object]
) -> http_request.Request:
    """Makes the request of an item.

    Args:
        item: As the store gave it.
        host: Of its route.
        now: The loop's clock, in seconds.
        on_end: Called once with the status, or `BROKEN_OFF`, and the body of its answer.
    """
    headers = [(b"host", host.encode()), (b"x-attempt-id", item.item.encode())]
    headers += [(name.lower().encode(), value.encode("latin-1", "replace")) for name, value in _headers(item)]
    request = http_request.Request(
        http_connection=AnswerSink(on_end=on_end),
        method=b"POST",
        target=item.path.encode(),
        headers=headers,
        begun_at=now,
    )
    request.body = binascii.a2b_base64(item.parcel)
    return request


def _headers(item: batch_messages.PulledItem) -> list[tuple[str, str]]:
    return list(json.loads(item.headers).items())


def text_of(stream: bytes) -> bytes:
    """Returns the data of all events of a stream in order, parted by line feeds."""
    lines = (line for line in stream.splitlines() if line.startswith(b"data:"))
    return b"\n".join(line[5:].removeprefix(b" ") for line in lines)
