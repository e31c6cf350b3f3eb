"""The handlers of calls on the replicated registers (docs/orders.md).

The calls concern the configuration, evacuations, roll-outs and, in deployments with stores, their retirement.
"""

import collections.abc

from ploverward.control_plane.cluster import store_directory
from ploverward.control_plane.configuration.register_payloads import Payload
from ploverward.control_plane.operator_api.apply_barrier import ApplyBarrier
from ploverward.control_plane.operator_api.call_lifecycle import CallLifecycle
from ploverward.control_plane.operator_api.configuration_handlers import ConfigurationHandlers
from ploverward.control_plane.operator_api.configuration_rounds import ConfigurationRounds
from ploverward.control_plane.operator_api.dependencies import Json
from ploverward.control_plane.operator_api.dependencies import Registers
from ploverward.control_plane.operator_api.evacuation_handlers import EvacuationHandlers
from ploverward.control_plane.operator_api.order_archiver import OrderArchiver
from ploverward.control_plane.operator_api.redirector import Redirector
from ploverward.control_plane.operator_api.retire_handlers import RetireHandlers
from ploverward.control_plane.operator_api.rollout_handlers import RolloutHandlers
from ploverward.control_plane.operator_api.router import Rule
from ploverward.transport.interfaces import Loop


class OrderApi:
    """Creates and connects the handlers; simulations run it without the rest of a node.

    Attributes:
        rounds: the consensus rounds of orders on the configuration.
        rollouts: the handlers of roll-outs.

    Args:
        loop: the event loop.
        registers: the replicated registers.
        apply_barrier: sends acknowledgements once the proxies have applied a change.
        redirector: chooses the node to which a call is redirected.
        configuration: returns the newest configuration that this node knows to be chosen, or None.
        zones: returns the zones of the settings in force.
        receipt_s: `receiptMs` of the settings, in seconds.
        is_voting: returns whether this node has the registers' values and votes.
        has_majority_contact: returns whether this node is in contact with a majority of the voting nodes.
        stores: the stores that this node knows; None in a deployment without stores.
        copies: the number of stores that hold each partition of the batch tier.
    """

    def __init__(
        self,
        *,
        loop: Loop,
        registers: Registers,
        apply_barrier: ApplyBarrier,
        redirector: Redirector,
        configuration: collections.abc.Callable[[], Json | None],
        zones: collections.abc.Callable[[], collections.abc.Container[str]],
        receipt_s: float,
        is_voting: collections.abc.Callable[[], bool],
        has_majority_contact: collections.abc.Callable[[], bool],
        stores: store_directory.StoreDirectory | None = None,
        copies: int = 1,
    ) -> None:
        self._lifecycle = CallLifecycle(
            loop=loop,
            registers=registers,
            apply_barrier=apply_barrier,
            redirector=redirector,
            receipt_s=receipt_s,
            is_voting=is_voting,
            has_majority_contact=has_majority_contact,
        )
        self._archiver = OrderArchiver(registers=registers)
        self.rounds = ConfigurationRounds(
            loop=loop,
            registers=registers,
            lifecycle=self._lifecycle,
            archiver=self._archiver,
            configuration=configuration,
        )
        self._configuration = ConfigurationHandlers(lifecycle=self._lifecycle, rounds=self.rounds)
        self._evacuations = EvacuationHandlers(lifecycle=self._lifecycle, zones=zones)
        self.rollouts = RolloutHandlers(lifecycle=self._lifecycle, configuration=configuration)
        self._retirements = RetireHandlers(lifecycle=self._lifecycle, stores=stores, copies=copies) if stores else None

    def rules(self) -> list[Rule]:
        """Returns the routing rules of the calls that are handled here."""
        retirements = self._retirements.rules() if self._retirements is not None else []
        return [*self._configuration.rules(), *self._evacuations.rules(), *self.rollouts.rules(), *retirements]

    def learn_archive(self, payload: Payload) -> None:
        """Records a chosen value of the archive register."""
        self._archiver.learn(payload)

    def shut_down(self) -> None:
        """Redirects all further calls. Calls in progress are still answered, unless the process ends first."""
        self._lifecycle.shut_down()
