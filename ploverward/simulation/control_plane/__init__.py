"""The model world of the control plane (docs/simulate.md): real core nodes under simulated time, links and disks."""
