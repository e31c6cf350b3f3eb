"""Tests that the simulated disk keeps, loses and tears the data that a real disk may."""

import pytest

from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_disk


def write(disk, clock, *, name, data, size_before) -> None:
    disk.append(name=name, data=data, size_before=size_before)
    clock.run(until=clock.time + disk.finish_batch() + 0.001)


def test_synced_data_survives_power_loss():
    for seed in range(20):
        clock = simulated_clock.Clock(seed=seed)
        disk = simulated_disk.Disk(clock=clock)
        write(disk, clock, name="f", data=b"first", size_before=0)
        disk.append(name="f", data=b"second", size_before=5)
        disk.finish_batch()
        disk.lose_power()
        content = disk.read(name="f")
        assert content.startswith(b"first") and b"firstsecond".startswith(content)


def test_killed_write_may_be_kept_lost_or_torn():
    seen = set()
    for seed in range(60):
        clock = simulated_clock.Clock(seed=seed)
        disk = simulated_disk.Disk(clock=clock)
        write(disk, clock, name="f", data=b"ab", size_before=0)
        disk.append(name="f", data=b"cdef", size_before=2)
        disk.finish_batch()
        disk.kill()
        seen.add(disk.read(name="f"))
    assert b"ab" in seen and b"abcdef" in seen and len(seen) > 2


def test_replaced_file_has_old_or_new_content_after_power_loss():
    seen = set()
    for seed in range(60):
        clock = simulated_clock.Clock(seed=seed)
        disk = simulated_disk.Disk(clock=clock)
        write(disk, clock, name="f", data=b"old", size_before=0)
        disk.replace(name="f", new_name="g", data=b"new")
        disk.finish_batch()
        disk.lose_power()
        seen.add(disk.read(name="f"))
    assert seen == {b"old", b"new"}


@pytest.mark.parametrize("fault", ["refuse", "refuse_late", "full"])
def test_append_to_faulty_disk_raises_os_error(fault):
    disk = simulated_disk.Disk(clock=simulated_clock.Clock(seed=1))
    disk.fault = fault
    with pytest.raises(OSError):
        disk.append(name="f", data=b"x", size_before=0)
    assert not disk.durable
