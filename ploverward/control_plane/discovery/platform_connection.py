"""Requests to the platform, by pycurl's multi interface on the event loop (design 3).

libcurl requests sockets and a timer to wait for; the loop reports their events by `socket_action`. Results are
delivered by a command of the loop, never from inside a call of libcurl, which must not be entered again.
"""

import collections.abc
import dataclasses
import functools
import io
import selectors
import typing

import pycurl

from ploverward.common import errors
from ploverward.transport import event_loop


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformResponse:
    """The outcome of a request.

    Attributes:
        status: the HTTP status; 0 where there is none.
        body: the body.
        error: why there is no complete answer, else None.
    """

    status: int = 0
    body: bytes = b""
    error: Exception | None = None


class Connection(typing.Protocol):
    """What sends requests to the platform; simulations put another one in its place."""

    def get(self, *, url: str, timeout_s: float, done: collections.abc.Callable[[PlatformResponse], None]) -> None:
        """Sends a GET and calls `done` once, at the latest after `timeout_s` seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Transfer:
    body: io.BytesIO
    done: collections.abc.Callable[[PlatformResponse], None]


class PlatformConnection:
    """Sends requests.

    Args:
        loop: the event loop.
    """

    def __init__(self, *, loop: event_loop.Loop) -> None:
        self._loop = loop
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._timer: event_loop.Timer | None = None
        self._watched: set[int] = set()  # sockets
        self._transfers: dict[pycurl.Curl, _Transfer] = {}

    def get(self, *, url: str, timeout_s: float, done: collections.abc.Callable[[PlatformResponse], None]) -> None:
        """Sends a GET.

        Args:
            url: the URL.
            timeout_s: seconds until the request is given up.
            done: called once with the outcome.
        """
        curl = pycurl.Curl()
        curl.setopt(pycurl.HTTPHEADER, ["Accept: application/json"])
        self._begin(curl, url=url, timeout_s=timeout_s, done=done)

    def post(
        self,
        *,
        url: str,
        headers: collections.abc.Iterable[str],
        body: bytes,
        timeout_s: float,
        done: collections.abc.Callable[[PlatformResponse], None],
    ) -> None:
        """Sends a POST, once: on a connection of its own, as libcurl would send it again on one that was reused.

        Args:
            url: the URL.
            headers: further headers, each as a line.
            body: JSON.
            timeout_s: seconds until the request is given up.
            done: called once with the outcome.
        """
        curl = pycurl.Curl()
        curl.setopt(pycurl.HTTPHEADER, ["Accept: application/json", "Content-Type: application/json", *headers])
        curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        self._begin(curl, url=url, timeout_s=timeout_s, done=done)

    def _begin(
        self,
        curl: pycurl.Curl,
        *,
        url: str,
        timeout_s: float,
        done: collections.abc.Callable[[PlatformResponse], None],
    ) -> None:
        body = io.BytesIO()
        limit_ms = int(timeout_s * 1000)
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TIMEOUT_MS, limit_ms)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, limit_ms)
        curl.setopt(pycurl.WRITEFUNCTION, body.write)
        self._transfers[curl] = _Transfer(body=body, done=done)
        self._multi.add_handle(curl)
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _on_socket(self, what: int, sock: int, _multi: object, _data: object) -> None:
        """Called by libcurl with the events of a socket that it waits for."""
        if what == pycurl.POLL_REMOVE:
            if sock in self._watched:
                self._watched.remove(sock)
                self._loop.unwatch(sock=sock)
            return
        mask = 0
        if what in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_READ
        if what in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= selectors.EVENT_WRITE
        watch = self._loop.rewatch if sock in self._watched else self._loop.watch
        watch(sock=sock, mask=mask, callback=functools.partial(self._on_ready, sock))
        self._watched.add(sock)

    def _on_ready(self, sock: int, ready: int) -> None:
        bits = 0
        if ready & selectors.EVENT_READ:
            bits |= pycurl.CSELECT_IN
        if ready & selectors.EVENT_WRITE:
            bits |= pycurl.CSELECT_OUT
        self._act(sock, bits)

    def _on_timer(self, wait_ms: int) -> None:
        """Called by libcurl with the delay of its timer; -1: no timer."""
        self._loop.cancel(timer=self._timer)
        self._timer = None
        if wait_ms >= 0:
            self._timer = self._loop.after(delay=wait_ms / 1000.0, callback=lambda: self._act(pycurl.SOCKET_TIMEOUT, 0))

    def _act(self, sock: int, bits: int) -> None:
        self._multi.socket_action(sock, bits)
        _queued, succeeded, failed = self._multi.info_read()
        for curl in succeeded:
            self._end(curl, None)
        for curl, _code, text in failed:
            self._end(curl, errors.PloverwardError(text, step="call", peer=curl.getinfo(pycurl.EFFECTIVE_URL)))

    def _end(self, curl: pycurl.Curl, error: Exception | None) -> None:
        transfer = self._transfers.pop(curl)
        response = PlatformResponse(
            status=curl.getinfo(pycurl.RESPONSE_CODE), body=transfer.body.getvalue(), error=error
        )
        self._multi.remove_handle(curl)
        curl.close()
        self._loop.command(callback=lambda: transfer.done(response))
