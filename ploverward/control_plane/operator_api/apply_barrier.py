"""A barrier that delays the acknowledgement of a chosen change until proxies have applied it (docs/orders.md 5).

An acknowledgement waits until all connected proxies have applied the change, but not beyond its time limit: a chosen
change can't be lost, so a proxy that does not answer must not delay the operator.
"""

import dataclasses
import http
import typing

from ploverward.common.identifiers import Version
from ploverward.control_plane.operator_api.dependencies import ListProxies
from ploverward.control_plane.operator_api.dependencies import Publisher
from ploverward.control_plane.operator_api.pending_response import PendingResponse


class AcknowledgementBody(typing.TypedDict):
    """The body of an acknowledgement: the version of the register that contains the change."""

    serial: int


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    topic: str
    number: int  # the version's number
    response: PendingResponse


class ApplyBarrier:
    """Delays acknowledgements until the connected proxies have applied the change.

    Args:
        publisher: tracks which versions each proxy has acknowledged.
        proxies: lists the connected proxies.
    """

    def __init__(self, *, publisher: Publisher, proxies: ListProxies) -> None:
        self._publisher = publisher
        self._proxies = proxies
        self._waiters: list[_Waiter] = []

    def wait(self, *, response: PendingResponse, topic: str, number: int, until: float) -> None:
        """Acknowledges a change once all connected proxies have applied it, or when the time limit is reached.

        Args:
            response: the pending response, which becomes the acknowledgement.
            topic: the topic that distributes the register; it has the register's name.
            number: the version of the register that contains the change.
            until: the latest time of the acknowledgement, in seconds on the loop's clock.
        """
        if response.is_claimed:
            return
        waiter = _Waiter(topic=topic, number=number, response=response)
        response.extend(until=until, on_timeout=lambda _response: self._acknowledge(waiter))
        self._waiters.append(waiter)
        self.check()

    def check(self) -> None:
        """Acknowledges the changes that all connected proxies have applied.

        To be called when a proxy has acknowledged a version or has disconnected.
        """
        for waiter in list(self._waiters):
            connections = [proxy.connection for proxy in self._proxies(serving_only=False)]
            version = Version(epoch=0, number=waiter.number)
            if not self._publisher.lagging_connections(topic=waiter.topic, version=version, connections=connections):
                self._acknowledge(waiter)

    def _acknowledge(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        call = waiter.response.claim()
        if call is not None:
            call.answer(status=http.HTTPStatus.OK, body=AcknowledgementBody(serial=waiter.number))
