"""Tests requests to the platform over real sockets."""

import http.server
import socket
import threading

import pytest

from ploverward.control_plane.discovery import platform_connection
from ploverward.transport import event_loop

TIMEOUT_S = 2.0


class Handler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        body = self.path.encode() * 20000
        self.send_response(200 if self.headers["Accept"] == "application/json" else 406)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_about):
        pass


@pytest.fixture
def address():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield f"127.0.0.1:{server.server_port}"
    server.shutdown()
    server.server_close()


def responses_of(*urls, timeout_s=TIMEOUT_S):
    """Sends all requests at once and returns their responses."""
    loop = event_loop.Loop()
    connection = platform_connection.PlatformConnection(loop=loop)
    responses = {}

    def done(url, response):
        responses[url] = response
        if len(responses) == len(urls):
            loop.stop()

    for url in urls:
        connection.get(url=url, timeout_s=timeout_s, done=lambda response, url=url: done(url, response))
    loop.after(delay=3 * TIMEOUT_S, callback=loop.stop)
    loop.run()
    return [responses[url] for url in urls]


def test_concurrent_requests_get_their_own_bodies(address):
    first, second = responses_of(f"http://{address}/first", f"http://{address}/second")
    assert (first.status, first.error, first.body) == (200, None, b"/first" * 20000)
    assert (second.status, second.error, second.body) == (200, None, b"/second" * 20000)


def test_request_without_answer_fails_after_timeout():
    with socket.create_server(("127.0.0.1", 0)) as silent:
        (response,) = responses_of(f"http://127.0.0.1:{silent.getsockname()[1]}/replicas", timeout_s=0.2)
    assert response.error is not None and response.status == 0


def test_refused_connection_is_reported_as_error():
    with socket.create_server(("127.0.0.1", 0)) as closed:
        port = closed.getsockname()[1]
    (response,) = responses_of(f"http://127.0.0.1:{port}/replicas")
    assert response.error is not None and response.body == b""
