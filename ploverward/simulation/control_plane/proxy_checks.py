"""The check that proxies install an acknowledged configuration in time (docs/simulate.md)."""

from __future__ import annotations

from ploverward.simulation.control_plane import fault_log
from ploverward.simulation.control_plane import fleet as fleets
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import order_model
from ploverward.simulation.control_plane import proxies
from ploverward.simulation.control_plane import recorder as recorders
from ploverward.simulation.control_plane import simulated_network


class ProxyChecks:
    """Checks the proxies `applyMs` after each acknowledgement of a configuration."""

    def __init__(
        self,
        *,
        network: simulated_network.Network,
        recorder: recorders.Recorder,
        fleet: fleets.Fleet,
        faults: fault_log.FaultLog,
        contact_s: float,
    ) -> None:
        """Creates the check, which skips proxies that started less than `contact_s` ago."""
        self._network = network
        self._clock = network.clock
        self._recorder = recorder
        self._fleet = fleet
        self._faults = faults
        self._contact_s = contact_s
        self._apply_s = machines.BOUNDS["applyMs"] / 1000

    def check_later(self, order: order_model.Order) -> None:
        """Schedules the check that proxies have the acknowledged configuration `applyMs` from now.

        Only proxies without a fault are checked, and only if no fault of the core begins or ends meanwhile.
        """
        edge_count = len(self._faults.edges)
        waiting = {host: self._proxy(host) for host in self._fleet.proxy_hosts if self._is_calm(host)}

        def check() -> None:
            if len(self._faults.edges) != edge_count or not self._faults.is_calm():
                return
            for host, proxy in waiting.items():
                if proxy is not None and proxy is self._proxy(host) and self._is_calm(host):
                    self._check_edition(proxy, order)

        self._clock.later(delay=self._apply_s, callback=check)

    def _check_edition(self, proxy: proxies.Proxy, order: order_model.Order) -> None:
        if proxy.edition < order.edition:
            self._recorder.add_finding(
                "applied in time", f"{proxy.host} has edition {proxy.edition}, {order.edition} was acknowledged"
            )

    def _proxy(self, host: str) -> proxies.Proxy | None:
        return self._network.machines[host].proxy

    def _is_calm(self, host: str) -> bool:
        process = self._network.machines[host].process
        if process is None or not process.is_alive or self._clock.time - process.begun_at < self._contact_s:
            return False
        return self._faults.is_proxy_calm(host)
