"""What a request, or one more answer to a catch-up, does to a node of the model checker.

A node is a `StateComponent` with two acceptors: what it knows, and what its disk holds. Parts are never changed, so what
comes of a request is kept and used again.
"""

from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import catch_up as catch_ups
from ploverward.simulation.model_checker import product
from ploverward.simulation.model_checker.live_objects import clone
from ploverward.simulation.model_checker.live_objects import form
from ploverward.simulation.model_checker.product import REGISTER
from ploverward.simulation.model_checker.product import acceptor_form
from ploverward.simulation.model_checker.product import answer_catch_up
from ploverward.simulation.model_checker.scenario import Scenario
from ploverward.simulation.model_checker.state import StateComponent
from ploverward.transport import messages


class Nodes:
    """Builds nodes of one scenario and lets them answer."""

    def __init__(self, *, scenario: Scenario, acceptor_type: type):
        self.scenario = scenario
        self._acceptor_type = acceptor_type
        self._ids = {}  # canonical form of a node or catch-up: its number
        self._gathered = {}  # (catch-up, answering node): what comes of one more answer
        self._takes = {}  # (part, accept): whether the node would accept it
        self._asked = {}  # (part, request): the node after it, and its answer

    def _intern(self, key) -> int:
        return self._ids.setdefault(key, len(self._ids))

    def gather(self, part: StateComponent, source: StateComponent, own: str, other: str) -> tuple:
        """(the node that answered, whether the catch-up is done, the emptied node or its catch-up)."""
        slot = (part.key, source.key, own, other)
        if slot not in self._gathered:
            self._gathered[slot] = self._gather(part, source, own, other)
        return self._gathered[slot]

    def node(self, current, safe=None) -> StateComponent:
        """`safe` is what the disk holds where that is older than what the node knows."""
        safe = safe or current
        return StateComponent((current, safe), self._intern((acceptor_form(current), acceptor_form(safe))))

    def make_acceptor(self, incarnation: str):
        return self._acceptor_type(incarnation=incarnation)

    def copy_acceptor(self, old):
        new = product.copy_acceptor(old)
        new.__class__ = self._acceptor_type
        return new

    def answer(self, part: StateComponent, message: tuple) -> tuple:
        """The node after a request, all of it safe on its disk, and its answer."""
        slot = (part.key, message)
        if slot not in self._asked:
            acceptor, answer = self.apply(part.live[0], message)
            self._asked[slot] = (self.node(acceptor), answer)
        return self._asked[slot]

    def apply(self, current, message: tuple) -> tuple:
        acceptor = self.copy_acceptor(current)
        if isinstance(message, messages.Prepare):
            answer = acceptor.prepare(message)[0]
        elif isinstance(message, messages.Accept):
            answer = acceptor.accept(message)[0]
        else:
            answer = acceptor.quorum_read(message)
        return acceptor, answer

    def _gather(self, part: StateComponent, source: StateComponent, own: str, other: str) -> tuple:
        """(the node that answered, whether the refill is done, the emptied node or its refill)."""
        catch_up = clone(part.live, {})
        request = catch_up.request()
        answering = self.copy_acceptor(source.live[0])
        rows = answer_catch_up(answering, request)
        catch_up.handle(member=other, number=request.number, first_set=self.scenario.members, rows=rows)
        if catch_up.stage != catch_ups.Stage.DONE:
            return self.node(answering), False, self.catch_up_part(catch_up)
        acceptor = self.make_acceptor("")
        acceptor.catch_up(incarnation=f"{own}2", states=tuple(catch_up.answers.values()))
        return self.node(answering), True, self.node(acceptor)

    def catch_up_part(self, catch_up) -> StateComponent:
        return StateComponent(catch_up, self._intern(("refill", form(catch_up, {}))))

    def would_accept(self, part: StateComponent, message: tuple) -> bool:
        """Whether the node would accept this, and does not hold it already."""
        slot = (part.key, message)
        if slot not in self._takes:
            current = part.live[0]
            is_promiser = current.incarnation == message.incarnation or self._acceptor_type is not acceptors.Acceptor
            promised, accepted = current.get(REGISTER)[:2]
            ballot = message.ballot
            self._takes[slot] = is_promiser and ballot >= promised and ballot != accepted
        return self._takes[slot]
