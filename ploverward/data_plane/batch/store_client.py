"""The proxy's client for stores: one connection to each, numbered calls, a timeout for each call (docs/batch.md 2).

A call to the owner of a tenant's jobs is retried, at the next owner if they are moved; every call may be repeated
safely. The callback also learns whether an earlier attempt may have taken effect.
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

RETRY_DELAY_S = 0.1  # between a failed attempt and the next one
ATTEMPT_TIMEOUT_S = 0.9

ReplyCallback = Callable[[typing.Any], object]  # argument: the reply; None if none arrived in time
# Arguments: the reply, and whether an earlier attempt may have taken effect.
OwnerReplyCallback = Callable[[typing.Any, bool], object]
MakeMessage = Callable[[int], tuple]  # returns the message with this number


class _PendingCall(typing.NamedTuple):
    address: str
    done: ReplyCallback
    timer: event_loop.Timer


class StoreClient:
    """Keeps connections to the primaries of all partitions and sends calls to them.

    Args:
        loop: The event loop.
        port: The port that stores listen on.
        peer_timeout_s: Seconds without received data after which a connection is closed.
        handshake: Identifies this proxy on each new connection; stores answer with their own, and send `LeasedItems`
            to proxies that send one.
        on_up: Called with the address of a store for each new connection, while it is still connecting, and of a
            reachable store that became primary of further partitions.
    """

    def __init__(
        self,
        *,
        loop: event_loop.Loop,
        port: int,
        peer_timeout_s: float,
        handshake: messages.Handshake,
        on_up: Callable[[str], object] = lambda _address: None,
    ) -> None:
        self._loop = loop
        self._port = port
        self._peer_timeout_s = peer_timeout_s
        self._handshake = handshake
        self._primaries: dict[int, str] = {}
        self._on_up = on_up
        self._connectors: dict[str, peer_connection.Connector] = {}
        self._calls: dict[int, _PendingCall] = {}
        self._numbers = itertools.count(1)
        self._replied_without_handshake: set[peer_connection.PeerConnection] = set()

    def update_roles(self, roles: Mapping[str, typing.Sequence]) -> None:
        """Reads the primary of each partition from the register of singleton roles and adjusts the connections."""
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

    def _handle_up(self, address: str, connection: peer_connection.PeerConnection) -> None:
        connection.send(self._handshake)
        self._on_up(address)

    def primaries(self) -> list[str]:
        """Returns the addresses of the stores that are primary of any partition."""
        return sorted(self._connectors)

    def primary_of(self, tenant: str) -> str:
        """Returns the address of the store that owns a tenant's jobs; empty if there is none yet."""
        return self._primaries.get(batch_partitions.partition_of(tenant), "")

    def call(self, *, address: str, make_message: MakeMessage, timeout_s: float, done: ReplyCallback) -> None:
        """Sends a call to a store.

        Args:
            address: Address of the store.
            make_message: Creates the message with the number by which its reply is identified.
            timeout_s: Seconds to wait for the reply.
            done: Called once with the reply, or with None if there is none; the call may have taken effect even so.
        """
        connector = self._connectors.get(address)
        connection = connector.link if connector is not None else None
        if connection is None or not connection.is_up:
            self._loop.call_soon_threadsafe(callback=lambda: done(None))
            return
        number = next(self._numbers)
        timer = self._loop.after(delay=timeout_s, callback=lambda: self._finish(number, None))
        self._calls[number] = _PendingCall(address, done, timer)
        connection.send(make_message(number))

    def call_owner(self, *, tenant: str, make_message: MakeMessage, timeout_s: float, done: OwnerReplyCallback) -> None:
        """Sends a call to the owner of a tenant's jobs, and repeats it until an owner replies.

        Args:
            tenant: Name of the tenant.
            make_message: Creates the message with the number by which its reply is identified.
            timeout_s: Seconds after which no further attempt is made.
            done: Called once with the reply, or None if no owner replied, and with whether an attempt without a
                conclusive reply may have taken effect.
        """
        until = self._loop.now() + timeout_s
        self._attempt(tenant, make_message, until, done, is_uncertain=False)

    def _attempt(
        self, tenant: str, make_message: MakeMessage, until: float, done: OwnerReplyCallback, *, is_uncertain: bool
    ) -> None:
        address = self.primary_of(tenant)
        was_reachable = self.is_reachable(address)

        def handle(reply: typing.Any) -> None:  # noqa: ANN401  # a reply with an outcome
            outcome = reply.outcome if reply is not None else None
            if outcome is not None and outcome not in (Outcome.NOT_OWNER, Outcome.NOT_KNOWN):
                done(reply, is_uncertain)
                return
            may_have_taken_effect = is_uncertain or outcome == Outcome.NOT_KNOWN or (reply is None and was_reachable)
            if self._loop.now() + RETRY_DELAY_S >= until:
                done(None, may_have_taken_effect)
                return
            self._loop.after(
                delay=RETRY_DELAY_S,
                callback=lambda: self._attempt(tenant, make_message, until, done, is_uncertain=may_have_taken_effect),
            )

        timeout_s = min(ATTEMPT_TIMEOUT_S, until - self._loop.now())
        self.call(address=address, make_message=make_message, timeout_s=timeout_s, done=handle)

    def is_reachable(self, address: str) -> bool:
        """Returns whether a call to the store would be sent now."""
        connector = self._connectors.get(address)
        return connector is not None and connector.link is not None and connector.link.is_up

    def counts_failed_attempts(self, address: str) -> bool | None:
        """Returns whether the store counts each failed attempt; None while that is not known.

        It does if it answers this proxy's handshake with its own. That comes before its reply to any call, as the
        handshake was sent before: a store that replied without one is of an earlier version. Time tells nothing, as a
        store that does count may be stopped for a while, or its connection may take long to be established.
        """
        connector = self._connectors.get(address)
        connection = connector.link if connector is not None else None
        if connection is None or not connection.is_up:
            return None
        if connection.hello is not None:
            return True
        return False if connection in self._replied_without_handshake else None

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to each store; to be called at each heartbeat interval."""
        for connector in self._connectors.values():
            if connector.link is not None and connector.link.is_up:
                connector.link.keep_alive()

    def _handle_message(self, connection: peer_connection.PeerConnection, message: tuple) -> None:
        if isinstance(message, messages.Handshake):
            connection.hello = message
            return
        number = getattr(message, "number", None)
        if number is not None and not isinstance(message, messages.KeepAlive):
            if connection.hello is None:
                self._replied_without_handshake.add(connection)
            self._finish(number, message)

    def _handle_end(self, address: str, connection: peer_connection.PeerConnection, _reason: str) -> None:
        self._replied_without_handshake.discard(connection)
        for number in [number for number, call in self._calls.items() if call.address == address]:
            self._finish(number, None)

    def _finish(self, number: int, reply: tuple | None) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            self._loop.cancel(timer=call.timer)
            call.done(reply)
