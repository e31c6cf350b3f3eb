"""Tests of a proxy's connections to core nodes: delivery of the proxy's state."""

from ploverward.data_plane.control_client import core_connections
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.transport import messages
from ploverward.transport import peer_connection

NOT_READY = messages.NodeState(is_ready=False, is_draining=False)
READY = messages.NodeState(is_ready=True, is_draining=False)


def test_send_state_reaches_core_nodes_with_pending_connections():
    loop = loopback.new_loop()
    received = []
    with peer_connection.listen(address=(loopback.own_address(host=7), 0)) as listener:
        host, port = listener.getsockname()
        connections = core_connections.CoreConnections(
            loop=loop,
            settings=lambda: loopback_proxy.settings(seeds=((host, 1),), inner_ports=(port, port)),
            incarnation="one",
            peer_timeout_s=2.0,
            node_state=lambda: NOT_READY,
            on_message=lambda _host, _connection, _message: None,
            on_end=lambda _host, _connection: None,
        )
        connections.connect()
        assert not list(connections.established_connections())
        connections.send_state(READY)
        assert loopback.until(loop, lambda: list(connections.established_connections()))
        accepted, _address = listener.accept()
        accepted.setblocking(False)
        core = peer_connection.PeerConnection(
            loop=loop,
            sock=accepted,
            on_message=lambda _connection, message: received.append(message),
            on_end=lambda _connection, _reason: None,
            peer_timeout_s=2.0,
        )
        assert loopback.until(loop, lambda: len(received) >= 3)
        assert received[1:] == [NOT_READY, READY]
        core.close()
        connections.stop()
