"""API keys and quotas of requests: the tenant of a key, the headers that the replica receives, and rejections."""

import types

import pytest

from ploverward.common import tenant_usage
from ploverward.data_plane.quotas import credential_freshness
from ploverward.data_plane.quotas import tenant_directory
from ploverward.data_plane.requests import admission_filters
from ploverward.data_plane.requests import route_table
from ploverward.simulation import loopback_proxy
from ploverward.simulation import request_scene

KEYS = {"clerks": "key-of-clerks", "players": "key-of-players"}
TENANTS = [
    {"name": "clerks", "apiKeys": ["old-key", KEYS["clerks"]], "urgency": 3, "homeRegions": ["south"]},
    {"name": "players", "apiKeys": [KEYS["players"]], "perS": 1, "burst": 1},
]
BODY = {**loopback_proxy.CONFIGURATION, "senders": TENANTS}


def scene_of(*, body=BODY, age_s=0.0, **bounds):
    scene = request_scene.Scene(request_scene.respond_ok, request_scene.respond_ok, zones=["za", "zb"])
    scene.proxy.routes = route_table.Routes(body=body)
    scene.proxy.quota_allowance.install(body)
    scene.proxy.quota_allowance.record(core="k", sent_at=scene.loop.now() + 60.0, proxy_count=1, credits=[])
    scene.proxy.configuration_age = age_s
    if bounds:
        scene.proxy.settings.bounds.update(bounds)
        scene.proxy.credential_freshness = credential_freshness.CredentialFreshness.from_settings(scene.proxy.settings)
    return scene


def send_request(scene, *, key=None, more=b"", route_name="safe"):
    """Sends one request; returns its status and the bytes that all replicas have received."""
    scene.client.got = b""
    authorization = b"" if key is None else b"Authorization: Bearer %s\r\n" % key.encode()
    scene.request(route_name, more=authorization + more)
    assert scene.until(b"HTTP/1.1 ")
    scene.until(b"\r\n\r\n")
    received = b"".join(bytes(received) for peer in scene.peers for received in peer.received)
    return int(scene.client.got.split()[1]), received


@pytest.mark.parametrize("key", [KEYS["clerks"], "old-key", KEYS["players"]])
def test_replica_receives_the_tenant_name_but_not_the_key(key):
    scene = scene_of()
    status, received = send_request(scene, key=key, more=b"X-Sender: somebody-else\r\n")
    name = b"players" if key == KEYS["players"] else b"clerks"
    assert status == 200 and received.lower().count(b"x-sender:") == 1 and b"x-sender: " + name in received.lower()
    assert key.encode() not in received and b"uthorization" not in received


@pytest.mark.parametrize(
    "more",
    [
        b"",
        b"Authorization: Bearer nobody\r\n",
        b"Authorization: Basic a2V5\r\n",
        b"Authorization: Bearer\r\n",
        b"Authorization: Bearer " + b"x" * 2000 + b"\r\n",
        b"Authorization: Bearer \xff\xfe\r\n",
        b"Authorization: Bearer old-key\r\nAuthorization: Bearer nobody\r\n",
        b"X-Sender: clerks\r\n",
    ],
)
def test_request_without_a_known_key_is_refused_with_401(more):
    status, received = send_request(scene_of(), more=more)
    assert status == 401 and not received


def test_unknown_key_gets_503_while_the_configuration_may_be_stale():
    status, received = send_request(scene_of(age_s=3.0), key="nobody")
    assert status == 503 and not received
    assert send_request(scene_of(age_s=3.0))[0] == 401  # a request without a key is rejected by any configuration


def test_keyless_route_forwards_neither_key_nor_tenant():
    routes = [{**row, "keyless": True} for row in BODY["routes"]]
    scene = scene_of(body={**BODY, "routes": routes})
    status, received = send_request(scene, key="nobody", more=b"X-Sender: clerks\r\n")
    assert status == 200 and b"nobody" not in received and b"x-sender" not in received.lower()


def test_without_tenants_the_authorization_header_is_forwarded():
    scene = scene_of(body=loopback_proxy.CONFIGURATION)
    status, received = send_request(scene, key="anything")
    assert status == 200 and b"anything" in received


@pytest.mark.parametrize("strict, age_s, expected_status", [(1.0, 4.0, 200), (1.0, 4.9, 503), (0.0, 60.0, 200)])
def test_strict_revocation_refuses_keys_when_the_configuration_is_too_old(strict, age_s, expected_status):
    scene = scene_of(age_s=age_s, revocationStrict=strict, revokeMs=5000.0)
    assert send_request(scene, key=KEYS["clerks"])[0] == expected_status


def test_isolated_proxy_accepts_keys_until_the_age_limit_and_again_after_contact():
    """The configuration's age counts from the last request to a core node that was answered.

    While the configuration may be out of date, an unknown key gets 503, which permits a retry, instead of 401. Once it
    is older still, a known key gets 503 too.
    """
    scene = scene_of(revocationStrict=1.0, revokeMs=5000.0)
    freshness = credential_freshness.ConfigurationFreshness(now=scene.loop.now)
    scene.proxy.configuration_age_s = lambda: freshness.age_s(version=BODY["edition"])
    freshness.record(core="k", version=BODY["edition"], sent_at=scene.loop.now(), age_s=0.0)
    scene.proxy.quota_allowance.record(core="k", sent_at=scene.loop.now() + 600.0, proxy_count=1, credits=[])
    statuses = []
    for skipped_s in (0.0, 3.0, 1.9, 30.0):
        scene.loop.skip(seconds=skipped_s)
        statuses.append((send_request(scene, key=KEYS["clerks"])[0], send_request(scene, key="unknown")[0]))
    freshness.record(core="k", version=BODY["edition"], sent_at=scene.loop.now() - 0.1, age_s=0.2)
    statuses.append((send_request(scene, key=KEYS["clerks"])[0], send_request(scene, key="unknown")[0]))
    assert statuses == [(200, 401), (200, 503), (503, 503), (503, 503), (200, 401)]


def test_tenant_priority_and_home_regions_are_applied():
    status, received = send_request(scene_of(), key=KEYS["clerks"], route_name="resume")
    assert status == 200 and b"x-urgency: 3" in received.lower()
    scene = scene_of()
    assert send_request(scene, key=KEYS["clerks"])[0] == 200
    assert not scene.peers[0].received and scene.peers[1].received  # the first replica is in the region north


def test_request_over_quota_gets_429_with_retry_after():
    scene = scene_of()
    quota_allowance = scene.proxy.quota_allowance
    assert send_request(scene, key=KEYS["players"])[0] == 200  # not scarce: admitted without a credit
    key = tenant_usage.tenant_key("players")
    quota_allowance.record(
        core="k", sent_at=scene.loop.now() + 61.0, proxy_count=1, credits=[tenant_usage.Credit(key, 1.0)]
    )
    assert [send_request(scene, key=KEYS["players"])[0] for _index in range(2)] == [200, 429]
    assert b"Retry-After: " in scene.client.got
    assert send_request(scene, key=KEYS["clerks"])[0] == 200  # the quota of another tenant does not apply


def test_revoked_key_is_refused_when_a_request_is_readmitted():
    scene = scene_of()
    request = types.SimpleNamespace(headers=[(b"authorization", b"Bearer old-key")])
    route = scene.proxy.routes.find(host="h", target=b"/safe/x")
    assert (
        admission_filters.authenticate_tenant(request=request, is_keyless=route.is_keyless, context=scene.proxy).name
        == "clerks"
    )
    remaining = [{**TENANTS[0], "apiKeys": [KEYS["clerks"]]}, TENANTS[1]]
    scene.proxy.routes = route_table.Routes(body={**BODY, "senders": remaining})
    rejection = admission_filters.authenticate_tenant(request=request, is_keyless=route.is_keyless, context=scene.proxy)
    assert isinstance(rejection, admission_filters.Rejection) and rejection.status == 401


def test_key_digests_differ_between_directories():
    first, second = (tenant_directory.build_tenant_directory(BODY) for _index in range(2))
    assert first.find(b"old-key").name == "clerks" and first.find(b"old") is None
    assert not set(first._by_digest) & set(second._by_digest)
