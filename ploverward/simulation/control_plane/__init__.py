"""Simulation of the control plane (docs/simulate.md): real core nodes on simulated clocks, links and disks.

- Runs: `scenario` (one run and its parts), `fleet` (machines), `operators`, `order_sender`, `order_model`, `proxies`.
- Faults: `faults` (kinds and schedule), `machine_faults`, `link_faults`, `outside_faults`, `fault_scene`,
  `fault_log`.
- Checks: `value_checks`, `share_checks`, `proxy_checks`, `isolation_probes` during a run, `checks` after it; findings
  go to `recorder`. `mutants` and `mutant_patches` show that the checks find seeded bugs.
- Environment of a node: `machines`, `simulated_runtime`, `simulated_clock`, `simulated_disk`, `simulated_network`,
  `simulated_peers`, `simulated_http`, `platform_model`.
"""
