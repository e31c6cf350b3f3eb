"""Compares a proxy's own responses and the heads that it sends to replicas with a golden file.

The golden file is ploverward/command_line/golden/proxy_answers.json.
"""

import json
import pathlib
import re
import types

import pytest

from ploverward.common import tenant_usage
from ploverward.data_plane.quotas import test_tenant_admission
from ploverward.data_plane.requests import http_front_end
from ploverward.simulation import loopback
from ploverward.simulation import request_scene

FOLDER = pathlib.Path(__file__).parent / "golden"
ANSWERS = json.loads((FOLDER / "proxy_answers.json").read_text(encoding="utf-8"))
PLAYER = b"Authorization: Bearer key-of-players\r\n"
NOT_RUN = b"X-Not-Run: 1\r\n"
CLOCKED = re.compile(r"(?<=x-time-left-ms: )\d+")


# This section refers to names inside the program.


def plain(script=request_scene.respond_ok, zone="za"):
    return request_scene.Scene(script, zones=[zone])


def with_tenants(**about):
    return test_tenant_admission.scene_of(**about)


def over_quota():
    scene = with_tenants()
    credit = tenant_usage.Credit(tenant_usage.tenant_key("players"), 0.0)
    scene.proxy.quota_allowance.record(core="k", sent_at=scene.loop.now() + 61.0, proxy_count=1, credits=[credit])
    return scene


def not_serving():
    scene = plain()
    scene.proxy.is_serving = False
    return scene


def draining():
    scene = plain()
    scene.proxy.drain_window.begin()
    scene.loop.skip(seconds=7.0)
    return scene


def resetting(number, received):
    return ["reset"] if request_scene.is_complete(received) else None


def rejecting_as_not_run(number, received):
    request_id = request_scene.request_id(received)
    return (
        [request_scene.answer(request_id, status=b"503 Full", more=NOT_RUN)]
        if request_scene.is_complete(received)
        else None
    )


def misdirected(number, received):
    request_id = request_scene.request_id(received)
    return (
        [request_scene.answer(request_id, status=b"421 Another", more=NOT_RUN)]
        if request_scene.is_complete(received)
        else None
    )


def streaming(number, received):
    if not request_scene.is_complete(received):
        return None
    return [request_scene.head(request_scene.request_id(received)) + request_scene.event(1) + request_scene.LAST_CHUNK]


def ready(*, is_serving: bool, is_draining: bool, target: str) -> int:
    """Returns the status of the readiness listener's response."""
    statuses = []
    request = types.SimpleNamespace(target=target.encode(), reply=lambda *, status: statuses.append(status))
    front_end = http_front_end.HttpFrontEnd(
        loop=None,
        settings=None,
        contact_s=1.0,
        limits=None,
        is_serving=lambda: is_serving,
        is_draining=lambda: is_draining,
        make_handler=None,
    )
    front_end._handle_health_check(request)
    return statuses[0]


CASES = {
    "200": (plain, {"lead": "safe"}),
    "200 of a stream": (lambda: plain(streaming), {"lead": "resume", "end": request_scene.LAST_CHUNK}),
    "200 for a tenant": (
        with_tenants,
        {"lead": "resume", "more": b"Authorization: Bearer key-of-clerks\r\nX-Sender: other\r\n"},
    ),
    "400 time left": (plain, {"lead": "safe", "left": b"soon"}),
    "401 no key": (with_tenants, {"lead": "safe"}),
    "401 unknown key": (with_tenants, {"lead": "safe", "more": b"Authorization: Bearer nobody\r\n"}),
    "404 no route": (plain, {"lead": "nothing"}),
    "429 quota": (over_quota, {"lead": "safe", "more": PLAYER}),
    "502 reset": (lambda: plain(resetting), {"lead": "unsafe"}),
    "503 not serving": (not_serving, {"lead": "safe"}),
    "503 leaving": (draining, {"lead": "safe"}),
    "503 behind on keys": (
        lambda: with_tenants(age_s=3.0),
        {"lead": "safe", "more": b"Authorization: Bearer nobody\r\n"},
    ),
    "503 promise of the replica": (lambda: plain(rejecting_as_not_run), {"lead": "once", "left": b"300"}),
    "503 after 421": (lambda: plain(misdirected), {"lead": "once", "left": b"300"}),
    "503 no replica at home": (plain, {"lead": "home"}),
    "504": (lambda: plain(lambda number, received: None), {"lead": "once", "left": b"200"}),
}
RAW = {
    "400 two lengths": "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
    "400 no HTTP": "\x00garbage\r\n\r\n",
    "413": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 999999\r\n\r\n",
    "431": "GET / HTTP/1.1\r\nHost: h\r\nX: " + "a" * 9000 + "\r\n\r\n",
}


# From here on, only published interfaces are used.


def normalized_lines(head: bytes) -> list:
    """Returns the lines of a head, with names in lower case and clock-dependent values replaced by N."""
    first, *rows = head.partition(b"\r\n\r\n")[0].decode().split("\r\n")
    lowered = [name.lower() + colon + value for name, colon, value in (row.partition(":") for row in rows)]
    return [first, *sorted(CLOCKED.sub("N", row) for row in lowered if not row.startswith("host:"))]


def send(scene, *, lead: str, left: bytes = b"3000", more: bytes = b"") -> None:
    scene.number += 1
    scene.client.send(
        b"POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d\r\nX-Model: m\r\nX-Token-Count: 30,8\r\n"
        b"X-Prompt-Lead: aa:10,b1:20\r\nX-Time-Left-Ms: %s\r\n%sContent-Length: 4\r\n\r\nbody"
        % (lead.encode(), scene.number, left, more)
    )


def run_case(name: str) -> dict:
    """Returns the head that the client gets, the last head that a replica got, and the names of the trail's fields."""
    make, about = CASES[name]
    about = dict(about)
    scene = make()
    end = about.pop("end", b"\r\n\r\n")
    send(scene, **about)
    assert scene.until(end)
    received = [bytes(received) for peer in scene.peers for received in peer.received if received]
    sent = received[-1][received[-1].rindex(b"POST ") :] if received else b""
    result = {"client": normalized_lines(scene.client.got), "replica": normalized_lines(sent) if sent else []}
    trails = scene.proxy.trails()
    result["trail"] = sorted(trails[-1]) if trails else []
    result["goes"] = sorted(trails[-1]["goes"][-1]) if trails and trails[-1]["goes"] else []
    return result


def send_raw(name: str) -> list:
    scene = plain()
    scene.client.send(RAW[name].encode("latin-1"))
    assert loopback.until(scene.loop, lambda: scene.client.is_closed)
    return normalized_lines(scene.client.got)


@pytest.mark.parametrize("name", CASES)
def test_proxy_responses_and_forwarded_heads_match_the_golden_file(name):
    assert run_case(name) == ANSWERS["answers"][name]


@pytest.mark.parametrize("name", RAW)
def test_malformed_request_gets_the_published_response(name):
    assert send_raw(name) == ANSWERS["raw"][name]


def test_each_golden_response_has_a_case():
    assert set(ANSWERS["answers"]) == set(CASES) and set(ANSWERS["raw"]) == set(RAW)


@pytest.mark.parametrize("row", ANSWERS["ready"])
def test_readiness_status_matches_the_golden_file(row):
    status = ready(is_serving=row["is_serving"], is_draining=row["is_leaving"], target=row["target"])
    assert status == row["status"]
