"""Checks that the real and the simulated loop and connections conform to the interfaces."""

import inspect
import socket

import pytest

from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_peers
from ploverward.transport import event_loop
from ploverward.transport import interfaces
from ploverward.transport import peer_connection


def methods(interface) -> dict:
    return {name: value for name, value in vars(interface).items() if inspect.isfunction(value) and name[0] != "_"}


def parameters(function) -> list:
    return [(each.name, each.kind) for each in inspect.signature(function).parameters.values()]


@pytest.mark.parametrize(
    "interface, implementation",
    [
        (interfaces.Loop, event_loop.Loop),
        (interfaces.Loop, simulated_clock.Loop),
        (interfaces.Connection, peer_connection.PeerConnection),
        (interfaces.Connection, simulated_peers.PeerConnection),
    ],
)
def test_implementations_have_the_parameters_of_the_interface(interface, implementation):
    assert methods(interface)
    for name, function in methods(interface).items():
        assert parameters(getattr(implementation, name)) == parameters(function), name


def test_connection_and_loop_satisfy_their_protocols():
    loop = event_loop.Loop()
    with (
        peer_connection.listen(address=("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as first,
    ):
        first.setblocking(False)
        link = peer_connection.PeerConnection(
            loop=loop, sock=first, on_message=None, on_end=lambda _link, _reason: None, peer_timeout_s=5.0
        )
        assert isinstance(link, interfaces.Connection)
        assert isinstance(loop, interfaces.Loop)
        assert link.is_open and link.is_up and not link.has_received
        link.close(reason="over")
        assert not link.is_open and not link.is_up
