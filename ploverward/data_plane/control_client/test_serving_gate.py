"""Tests of the serving gate: when it opens, and that it stays open without contact to core nodes."""

import pytest

from ploverward.common.identifiers import Version
from ploverward.data_plane.control_client import serving_gate
from ploverward.transport import messages

MEMBERS = ("a", "b", "c")
COMPLETE = {"spec": Version(0, 1), "list": Version(1, 1), "cores": Version(0, 1)}


def minimum_versions(**revisions):
    rows = tuple(messages.RegisterRevision(register=name, revision=number) for name, number in revisions.items())
    return messages.MinimumVersions(revisions=rows)


def test_gate_stays_closed_until_newest_revision_of_majority_is_installed():
    gate = serving_gate.ServingGate()
    versions = {"spec": Version(0, 4), "evac": Version(0, 1), "list": Version(1, 1), "cores": Version(0, 1)}
    gate.handle_minimum_versions("a", minimum_versions(spec=4, evac=1))
    assert not gate.open_if_ready(members=MEMBERS, versions=versions) and not gate.is_open
    gate.handle_minimum_versions("b", minimum_versions(spec=5, evac=1))  # revision 5 may have been acknowledged
    assert not gate.open_if_ready(members=MEMBERS, versions=versions) and not gate.is_open
    versions["spec"] = Version(0, 5)
    assert gate.open_if_ready(members=MEMBERS, versions=versions) and gate.is_open
    assert not gate.open_if_ready(members=MEMBERS, versions=versions) and gate.is_open  # reported only once


@pytest.mark.parametrize("missing", COMPLETE)
def test_gate_stays_closed_while_a_required_topic_is_missing(missing):
    gate = serving_gate.ServingGate()
    for host in MEMBERS:
        gate.handle_minimum_versions(host, minimum_versions())
    versions = {topic: version for topic, version in COMPLETE.items() if topic != missing}
    assert not gate.open_if_ready(members=MEMBERS, versions=versions) and not gate.is_open
    assert gate.open_if_ready(members=MEMBERS, versions=COMPLETE)


def test_open_gate_stays_open_when_proxy_is_isolated():
    gate = serving_gate.ServingGate()
    for host in ("a", "b"):
        gate.handle_minimum_versions(host, minimum_versions(spec=1))
    assert gate.open_if_ready(members=MEMBERS, versions=COMPLETE)
    gate.open_if_ready(members=("x", "y", "z"), versions={})
    assert gate.is_open
