"""Each probe of the capacity model still runs against the code that it measures (docs/CAPACITY.md)."""

import pytest

from ploverward.simulation import capacity_probes

SMALL = 60  # replicas, members or rows


@pytest.mark.parametrize("probe", capacity_probes.PROBES, ids=lambda probe: probe.name)
def test_a_probe_measures_something(probe):
    assert probe.measure(SMALL) * probe.scale > 0
