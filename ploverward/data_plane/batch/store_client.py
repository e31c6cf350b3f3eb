"""Calls of a proxy to stores: one connection a store, numbered requests, a time-out for each (docs/batch.md 2).

A call to the owner of a tenant's jobs goes on at whichever store owns them next: all calls may be repeated. What is not
known of the attempts before the last one is told with its outcome.
"""

from __future__ import annotations

import functools
import itertools
import typing
from collections.abc import Callable
from collections.abc import Mapping

from ploverward.common import batch_partitions
from ploverward.transport import event_loop
from ploverward.transport import messages
from ploverward.transport import peer_connection
from ploverward.transport.batch_messages import Outcome

RETRY_S = 0.1  # from an attempt that came to nothing to the next one
ATTEMPT_TIMEOUT_S = 0.9

Done = Callable[[typing.Any], object]  # called with the reply, or with None where none came in time
OwnerDone = Callable[[typing.Any, bool], object]  # the same, and whether an earlier attempt may have done something
MakeMessage = Callable[[int], tuple]  # number: message


class _Call(typing.NamedTuple):
    address: str
    done: Done
    timer: event_loop.Timer


class StoreClient:
    """Knows the stores of each partition, and calls them.

    Args:
        loop: The event loop.
        port: At which stores listen.
        peer_timeout_s: A connection on which nothing arrives for so long is closed.
        on_up: Called with the address of a store that can be called from now on, or owns more than before.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        port: int,
        peer_timeout_s: float,
        on_up: Callable[[str], object] = lambda _address: None,
    ) -> None:
        self._loop = loop
        self._port = port
        self._peer_timeout_s = peer_timeout_s
        self._primaries: dict[int, str] = {}
        self._on_up = on_up
        self._connectors: dict[str, peer_connection.Connector] = {}
        self._calls: dict[int, _Call] = {}
        self._numbers = itertools.count(1)

    def update_roles(self, roles: Mapping[str, typing.Sequence]) -> None:
        """The owners of singleton roles changed."""
        before = dict(self._primaries)
        for partition in range(batch_partitions.PARTITIONS):
            self._primaries[partition] = batch_partitions.owners_of(partition=partition, roles=roles).primary
        wanted = {address for address in self._primaries.values() if address}
        for address in wanted - self._connectors.keys():
            self._connectors[address] = peer_connection.Connector(
                loop=self._loop,
                address=(address, self._port),
                on_up=functools.partial(self._handle_up, address),
                on_message=self._handle_message,
                on_end=functools.partial(self._handle_end, address),
                peer_timeout_s=self._peer_timeout_s,
            )
        for address in self._connectors.keys() - wanted:
            self._connectors.pop(address).stop()
        for address in {owner for number, owner in self._primaries.items() if owner != before.get(number)}:
            if self.is_reachable(address):
                self._on_up(address)

    def _handle_up(self, address: str, _connection: peer_connection.PeerConnection) -> None:
        self._on_up(address)

    def primaries(self) -> list[str]:
        """Returns the stores that are primary of a partition."""
        return sorted(self._connectors)

    def primary_of(self, tenant: str) -> str:
        """Returns the store that owns a tenant's jobs; empty where there is none yet."""
        return self._primaries.get(batch_partitions.partition_of(tenant), "")

    def call(self, *, address: str, make_message: MakeMessage, timeout_s: float, done: Done) -> None:
        """Calls a store.

        Args:
            address: Of the store.
            make_message: Makes the message with the number that its reply is known by.
            timeout_s: After which nobody waits any more.
            done: Called once with the reply, or with None: then it is not known what became of the call.
        """
        connector = self._connectors.get(address)
        connection = connector.link if connector is not None else None
        if connection is None or not connection.is_up:
            self._loop.call_soon_threadsafe(callback=lambda: done(None))
            return
        number = next(self._numbers)
        timer = self._loop.after(delay=timeout_s, callback=lambda: self._finish(number, None))
        self._calls[number] = _Call(address, done, timer)
        connection.send(make_message(number))

    def call_owner(self, *, tenant: str, make_message: MakeMessage, timeout_s: float, done: OwnerDone) -> None:
        """Calls the owner of a tenant's jobs, again and again until it answers.

        Args:
            tenant: Whose jobs.
            make_message: Makes the message with the number that its reply is known by.
            timeout_s: After which no further attempt is made.
            done: Called once with the reply, None where no owner answered, and whether an attempt may have done
                something.
        """
        until = self._loop.now() + timeout_s
        self._attempt(tenant, make_message, until, done, is_uncertain=False)

    def _attempt(
        self, tenant: str, make_message: MakeMessage, until: float, done: OwnerDone, *, is_uncertain: bool
    ) -> None:
        address = self.primary_of(tenant)
        was_reachable = self.is_reachable(address)

        def handle(reply: typing.Any) -> None:  # noqa: ANN401  # a reply with an outcome
            outcome = reply.outcome if reply is not None else None
            if outcome is not None and outcome not in (Outcome.NOT_OWNER, Outcome.NOT_KNOWN):
                done(reply, is_uncertain)
                return
            may_have_done = is_uncertain or outcome == Outcome.NOT_KNOWN or (reply is None and was_reachable)
            if self._loop.now() + RETRY_S >= until:
                done(None, may_have_done)
                return
            self._loop.after(
                delay=RETRY_S,
                callback=lambda: self._attempt(tenant, make_message, until, done, is_uncertain=may_have_done),
            )

        timeout_s = min(ATTEMPT_TIMEOUT_S, until - self._loop.now())
        self.call(address=address, make_message=make_message, timeout_s=timeout_s, done=handle)

    def is_reachable(self, address: str) -> bool:
        """Whether a call to the store would be sent now."""
        connector = self._connectors.get(address)
        return connector is not None and connector.link is not None and connector.link.is_up

    def send_heartbeats(self) -> None:
        """To be called at each heartbeat interval."""
        for connector in self._connectors.values():
            if connector.link is not None and connector.link.is_up:
                connector.link.keep_alive()

    def _handle_message(self, _connection: peer_connection.PeerConnection, message: tuple) -> None:
        number = getattr(message, "number", None)
        if number is not None and not isinstance(message, messages.KeepAlive):
            self._finish(number, message)

    def _handle_end(self, address: str, _connection: peer_connection.PeerConnection, _reason: str) -> None:
        for number in [number for number, call in self._calls.items() if call.address == address]:
            self._finish(number, None)

    def _finish(self, number: int, reply: tuple | None) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            self._loop.cancel(timer=call.timer)
            call.done(reply)
