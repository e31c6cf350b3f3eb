"""Nodes of the model checker: handles requests and answers to a catch-up.

A node is a `StateComponent` with two acceptors: its state in memory and the state on its disk. Components are never
changed, so the result of each request is cached.
"""

import collections.abc
import typing

from ploverward.control_plane.consensus.acceptor import Acceptor
from ploverward.control_plane.consensus.catch_up import LearnerCatchUp
from ploverward.control_plane.consensus.catch_up import Stage
from ploverward.simulation.model_checker import product
from ploverward.simulation.model_checker.live_objects import canonical_form
from ploverward.simulation.model_checker.live_objects import clone
from ploverward.simulation.model_checker.product import REGISTER
from ploverward.simulation.model_checker.product import Answer
from ploverward.simulation.model_checker.product import Request
from ploverward.simulation.model_checker.product import acceptor_form
from ploverward.simulation.model_checker.product import answer_catch_up
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.state import NodeState
from ploverward.simulation.model_checker.state import StateComponent
from ploverward.transport import messages

Node = StateComponent[NodeState]


class CatchUpResult(typing.NamedTuple):
    """The result of one more answer to a catch-up."""

    source: Node  # the node that answered; it may have promised a fence
    node: Node | None  # the node that caught up; None: its catch-up continues
    catch_up: StateComponent[LearnerCatchUp]


class Nodes:
    """Builds the nodes of one scenario and computes their answers.

    Args:
        scenario: the scenario to explore.
        acceptor_type: the class of all acceptors; any class but `Acceptor` is a seeded bug.
    """

    def __init__(self, *, scenario: Scenario, acceptor_type: type[Acceptor]) -> None:
        self.scenario = scenario
        self._acceptor_type = acceptor_type
        self._ids: dict[collections.abc.Hashable, int] = {}  # number of each canonical form of a node or catch-up
        # By the keys of the catch-up and of the answering node, and their names.
        self._catch_up_results: dict[tuple, CatchUpResult] = {}
        self._accepts: dict[tuple, bool] = {}  # (node, accept): whether the node would accept it
        # (node, request): the node after the request, and its answer.
        self._answers: dict[tuple, tuple[Node, Answer]] = {}

    def _intern(self, form_of_node: collections.abc.Hashable) -> int:
        return self._ids.setdefault(form_of_node, len(self._ids))

    def node(self, current: Acceptor, durable: Acceptor | None = None) -> Node:
        """Returns a node as a state component.

        Args:
            current: the acceptor in memory.
            durable: the acceptor on disk, if it is older.
        """
        durable = durable or current
        return StateComponent(
            NodeState(current, durable), self._intern((acceptor_form(current), acceptor_form(durable)))
        )

    def make_acceptor(self, incarnation: str) -> Acceptor:
        """Returns an acceptor that has promised and accepted nothing; with an empty incarnation it is a learner."""
        return self._acceptor_type(incarnation=incarnation)

    def copy_acceptor(self, old: Acceptor) -> Acceptor:
        """Returns a copy that may be changed."""
        new = product.copy_acceptor(old)
        new.__class__ = self._acceptor_type
        return new

    def handle_request(self, node: Node, message: Request) -> tuple[Node, Answer]:
        """Returns the node after a request, with its whole state on disk, and its answer."""
        cache_key = (node.key, message)
        if cache_key not in self._answers:
            acceptor, answer = self.handle_in_memory(node.live.current, message)
            self._answers[cache_key] = (self.node(acceptor), answer)
        return self._answers[cache_key]

    def handle_in_memory(self, current: Acceptor, message: Request) -> tuple[Acceptor, Answer]:
        """Returns the acceptor after a request, in memory only, and its answer."""
        acceptor = self.copy_acceptor(current)
        answer: Answer
        if isinstance(message, messages.Prepare):
            answer = acceptor.prepare(message).reply
        elif isinstance(message, messages.Accept):
            answer = acceptor.accept(message).reply
        else:
            answer = acceptor.quorum_read(message)
        return acceptor, answer

    def apply_catch_up_reply(
        self, catch_up: StateComponent[LearnerCatchUp], source: Node, own: str, other: str
    ) -> CatchUpResult:
        """Returns the result of one more answer to a catch-up.

        Args:
            catch_up: of the wiped node.
            source: the node that answers.
            own: name of the wiped node.
            other: name of the node that answers.
        """
        cache_key = (catch_up.key, source.key, own, other)
        if cache_key not in self._catch_up_results:
            self._catch_up_results[cache_key] = self._apply_catch_up_reply(catch_up, source, own, other)
        return self._catch_up_results[cache_key]

    def _apply_catch_up_reply(
        self, old: StateComponent[LearnerCatchUp], source: Node, own: str, other: str
    ) -> CatchUpResult:
        catch_up = clone(old.live, {})
        request = catch_up.request()
        answering = self.copy_acceptor(source.live.current)
        rows = answer_catch_up(answering, request)
        catch_up.handle(member=other, number=request.number, first_set=self.scenario.members, rows=rows)
        if catch_up.stage is not Stage.DONE:
            return CatchUpResult(source=self.node(answering), node=None, catch_up=self.catch_up_component(catch_up))
        acceptor = self.make_acceptor("")
        acceptor.catch_up(incarnation=f"{own}2", states=tuple(catch_up.replies.values()))
        return CatchUpResult(source=self.node(answering), node=self.node(acceptor), catch_up=old)

    def catch_up_component(self, catch_up: LearnerCatchUp) -> StateComponent[LearnerCatchUp]:
        """Returns a catch-up as a state component."""
        return StateComponent(catch_up, self._intern(("refill", canonical_form(catch_up, {}))))

    def would_accept(self, node: Node, message: messages.Accept) -> bool:
        """Returns whether the node would accept this request and has not accepted it already."""
        cache_key = (node.key, message)
        if cache_key not in self._accepts:
            current = node.live.current
            is_promiser = current.incarnation == message.incarnation or self._acceptor_type is not Acceptor
            state = current.get(REGISTER)
            self._accepts[cache_key] = (
                is_promiser and message.ballot >= state.promised and message.ballot != state.accepted
            )
        return self._accepts[cache_key]
