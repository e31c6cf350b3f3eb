"""Sends HTTP requests to the platform, with the multi interface of pycurl on the event loop (design 3).

libcurl names the sockets and the timer to wait for, and the event loop passes their events to `socket_action`. Results
are delivered by `call_soon_threadsafe` of the loop and never from inside a call of libcurl, as libcurl is not
reentrant.
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
        status: the HTTP status, or 0 if there is none.
        body: the body of the response.
        error: the reason why there is no complete response, or None.
    """

    status: int = 0
    body: bytes = b""
    error: Exception | None = None


class Connection(typing.Protocol):
    """The interface of a connection to the platform, which simulations implement too."""

    def get(self, *, url: str, timeout_s: float, done: collections.abc.Callable[[PlatformResponse], None]) -> None:
        """Sends a GET request and calls `done` once, after `timeout_s` seconds at the latest."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Transfer:
    body: io.BytesIO
    done: collections.abc.Callable[[PlatformResponse], None]


class PlatformConnection:
    """Sends requests to the platform through libcurl.

    Args:
        loop: the event loop.
    """

    def __init__(self, *, loop: event_loop.Loop) -> None:
        self._loop = loop
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._timer: event_loop.Timer | None = None
        self._watched: set[int] = set()  # descriptors of the sockets that the loop watches
        self._transfers: dict[pycurl.Curl, _Transfer] = {}

    def get(self, *, url: str, timeout_s: float, done: collections.abc.Callable[[PlatformResponse], None]) -> None:
        """Sends a GET request.

        Args:
            url: the URL.
            timeout_s: timeout of the request in seconds.
            done: called once with the response or the error.
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
        """Sends a POST request only once.

        It uses a new connection, as libcurl would repeat a request that fails on a reused one.

        Args:
            url: the URL.
            headers: additional headers, each as a "Name: value" line.
            body: the JSON text.
            timeout_s: timeout of the request in seconds.
            done: called once with the response or the error.
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
        timeout_ms = int(timeout_s * 1000)
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
        curl.setopt(pycurl.WRITEFUNCTION, body.write)
        self._transfers[curl] = _Transfer(body=body, done=done)
        self._multi.add_handle(curl)
        self._perform_action(pycurl.SOCKET_TIMEOUT, 0)

    def _on_socket(self, what: int, sock: int, _multi: object, _data: object) -> None:
        """Watches a socket for the events that libcurl waits for; called by libcurl."""
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
        event_bits = 0
        if ready & selectors.EVENT_READ:
            event_bits |= pycurl.CSELECT_IN
        if ready & selectors.EVENT_WRITE:
            event_bits |= pycurl.CSELECT_OUT
        self._perform_action(sock, event_bits)

    def _on_timer(self, wait_ms: int) -> None:
        """Sets the timer that libcurl waits for, or cancels it if `wait_ms` is -1; called by libcurl."""
        self._loop.cancel(timer=self._timer)
        self._timer = None
        if wait_ms >= 0:
            self._timer = self._loop.after(
                delay=wait_ms / 1000.0, callback=lambda: self._perform_action(pycurl.SOCKET_TIMEOUT, 0)
            )

    def _perform_action(self, sock: int, event_bits: int) -> None:
        self._multi.socket_action(sock, event_bits)
        _queued, succeeded, failed = self._multi.info_read()
        for curl in succeeded:
            self._finish(curl, None)
        for curl, _code, text in failed:
            self._finish(curl, errors.PloverwardError(text, step="call", peer=curl.getinfo(pycurl.EFFECTIVE_URL)))

    def _finish(self, curl: pycurl.Curl, error: Exception | None) -> None:
        transfer = self._transfers.pop(curl)
        response = PlatformResponse(
            status=curl.getinfo(pycurl.RESPONSE_CODE), body=transfer.body.getvalue(), error=error
        )
        self._multi.remove_handle(curl)
        curl.close()
        self._loop.call_soon_threadsafe(callback=lambda: transfer.done(response))
