"""How an operator calls: node after node, along redirects, until there is a clear answer (docs/orders.md)."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

from ploverward.simulation import order_nodes
from ploverward.simulation import simulated_world

CALLER_TIMEOUT_S = 1.0  # without an answer the operator goes to another node
MAX_REDIRECTS = 2
FIRST_PAUSE_S, MAX_PAUSE_S, PAUSE_GROWTH = 0.1, 1.0, 1.5  # before the next node

OnEnded = Callable[[int | None, Any], object]  # (status, body), or None twice where there is no clear answer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperatorCall:
    """What an operator calls: arguments as of `order_nodes.Call`."""

    method: str
    target: str
    body: bytes = b""
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Attempt:
    """One sending to one node; compared by identity."""

    redirects: int
    begun: float


class OrderAttempts:
    """One call of an operator, until it has a clear answer or its time is over.

    Attributes:
        slowest_s: The longest time that a node took to answer.
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
        """Sends the call to a node.

        Args:
            world: Time and network.
            nodes: By address.
            name: The operator's, as the network knows it.
            call: What is sent.
            limit_s: After so long no further node is tried.
            done: Called once.
        """
        self.slowest_s = 0.0
        self._world = world
        self._nodes = nodes
        self._name = name
        self._call = call
        self._until = world.now() + limit_s
        self._done: OnEnded | None = done
        self._pause_s = FIRST_PAUSE_S
        self._current: _Attempt | None = None
        self._try_any_node()

    def _try_any_node(self) -> None:
        if self._done is None:
            return
        if self._world.now() >= self._until:
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
            return  # the operator went on to another node meanwhile
        self.slowest_s = max(self.slowest_s, self._world.now() - attempt.begun)
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
