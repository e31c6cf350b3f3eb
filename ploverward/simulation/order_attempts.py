"""Calls of operators, which try node after node and follow redirects until a clear answer arrives (docs/orders.md)."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from ploverward.simulation import order_nodes
from ploverward.simulation import simulated_world

CALLER_TIMEOUT_S = 1.0  # the operator tries another node if no answer arrives in this time
MAX_REDIRECTS = 2
FIRST_PAUSE_S, MAX_PAUSE_S, PAUSE_GROWTH = 0.1, 1.0, 1.5  # pause before the next node is tried

OnEnded = Callable[[int | None, Any], object]  # (status, body); both are None if there was no clear answer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorCall:
    """The request of a call; the fields are those of `order_nodes.Call`."""

    method: str
    target: str
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Attempt:
    """One request sent to one node; compared by identity."""

    redirects: int
    begun: float


class OrderAttempts:
    """A call of an operator, retried until it has a clear answer or its time limit has passed.

    Attributes:
        max_response_s: Longest time that a node took to answer, in seconds.
    """

    def __init__(
        self,
        *,
        world: simulated_world.World,
        nodes: Mapping[str, order_nodes.Node],
        name: str,
        call: OperatorCall,
        limit_s: float,
        done: OnEnded,
    ) -> None:
        """Sends the call to a random node.

        Args:
            world: Simulated time and network.
            nodes: Core nodes by address.
            name: Name of the operator in the network.
            call: The request.
            limit_s: Time in seconds after which no further node is tried.
            done: Called once with the outcome.
        """
        self.max_response_s = 0.0
        self._world = world
        self._nodes = nodes
        self._name = name
        self._call = call
        self._deadline = world.now() + limit_s
        self._done: OnEnded | None = done
        self._pause_s = FIRST_PAUSE_S
        self._current: _Attempt | None = None
        self._try_any_node()

    def _try_any_node(self) -> None:
        if self._done is None:
            return
        if self._world.now() >= self._deadline:
            self._end(None, None)
            return
        self._try(self._world.chance.choice(sorted(self._nodes)), redirects=0)

    def _try(self, host: str, *, redirects: int) -> None:
        attempt = self._current = _Attempt(redirects, self._world.now())
        node = self._nodes[host]

        def handle_answer(status: int, body: Any, address: str) -> None:  # noqa: ANN401  # any JSON
            self._world.send(host, self._name, lambda: self._handle_answer(attempt, status, body, address))

        def arrive() -> None:
            if node.is_up:
                call = self._call
                node.handle_call(
                    order_nodes.Call(
                        method=call.method,
                        target=call.target,
                        body=call.body,
                        headers=call.headers,
                        on_answer=handle_answer,
                    )
                )

        self._world.send(self._name, host, arrive)
        self._world.later(CALLER_TIMEOUT_S, lambda: self._fail() if self._current is attempt else None)

    def _handle_answer(self, attempt: _Attempt, status: int, body: Any, address: str) -> None:  # noqa: ANN401
        if self._current is not attempt:
            return  # the operator has moved on to another node
        self.max_response_s = max(self.max_response_s, self._world.now() - attempt.begun)
        if status == 307 and attempt.redirects < MAX_REDIRECTS:
            self._try(address, redirects=attempt.redirects + 1)
        elif status == 307 or status >= 500:
            self._fail()
        else:
            self._end(status, body)

    def _fail(self) -> None:
        self._current = None
        self._pause_s = min(self._pause_s * PAUSE_GROWTH, MAX_PAUSE_S)
        self._world.later(self._pause_s, self._try_any_node)

    def _end(self, status: int | None, body: Any) -> None:  # noqa: ANN401
        done, self._done = self._done, None
        self._current = None
        if done is not None:
            done(status, body)
