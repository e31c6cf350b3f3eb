"""Calls that read and change the replicated registers: configuration, evacuations and roll-outs (docs/orders.md)."""

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
    """Wires the handlers of the three registers; simulations run it without the rest of a node.

    Attributes:
        rounds: the rounds of orders for the configuration.
        rollouts: the handlers of roll-outs.

    Args:
        loop: the event loop.
        registers: the replicated registers.
        apply_barrier: gives acknowledgements once proxies have applied a change.
        redirector: names other nodes.
        configuration: the newest configuration that this node knows to be chosen, or None.
        zones: the zones of the settings in force.
        receipt_s: `receiptMs` of the settings, in seconds.
        is_voting: whether this node knows the registers and votes.
        has_majority_contact: whether it is in contact with a majority.
        stores: the stores that this node knows; None: a deployment without any.
        copies: on how many stores a partition of the batch tier is.
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
        """The calls that are handled here."""
        retirements = self._retirements.rules() if self._retirements is not None else []
        return [*self._configuration.rules(), *self._evacuations.rules(), *self.rollouts.rules(), *retirements]

    def learn_archive(self, payload: Payload) -> None:
        """Records a chosen value of the archive's register."""
        self._archiver.learn(payload)

    def shut_down(self) -> None:
        """Forwards new calls from now on; calls in progress get their answers, or none where the process ends first."""
        self._lifecycle.shut_down()
