"""What a configuration must be, and what a resent or raced call gets."""

import copy
import json

import pytest

from ploverward.common import errors
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.configuration import parser
from ploverward.control_plane.configuration import patch as patchs
from ploverward.control_plane.configuration import schema

GOOD = {
    "edition": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h",
            "pathLead": "/a/",
            "kind": "streaming",
            "expiryMs": 4000,
            "tries": 1,
            "apportion": [{"destination": "d1", "share": 90}, {"destination": "d2", "share": 10}],
            "unknown": {"kept": 1},
        },
        {"name": "r2", "host": "h", "pathLead": "/a/b/", "kind": "retry_safe", "expiryMs": 3000, "destination": "d2"},
    ],
    "destinations": [{"name": "d1", "maxConns": 10}, {"name": "d2", "maxConns": 10}],
    "limits": {"labelBytes": 16384},
}


def changed(path, value):
    body = copy.deepcopy(GOOD)
    field_path = body
    for key in path[:-1]:
        field_path = field_path[key]
    if value is None:
        del field_path[path[-1]]
    else:
        field_path[path[-1]] = value
    return body


@pytest.mark.parametrize(
    "body, field_path",
    [
        (changed(("routes", 1, "destination"), "nowhere"), "routes.1.destination"),
        (changed(("routes", 1, "pathLead"), "/a/"), "routes.1.pathLead"),
        (changed(("routes", 1, "pathLead"), "/a"), "routes.1.pathLead"),
        (changed(("routes", 0, "apportion"), [{"destination": "d1", "share": 0}]), "routes.0.apportion"),
        (changed(("routes", 0, "expiryMs"), 0), "routes.0.expiryMs"),
        (changed(("routes", 0, "kind"), "odd"), "routes.0.kind"),
        (changed(("routes",), None), "routes"),
        (changed(("edition",), None), "edition"),
        (changed(("destinations", 1, "name"), "d1"), "destinations.1.name"),
    ],
)
def test_check_names_field_of_invalid_configuration(body, field_path):
    with pytest.raises(errors.InvalidConfigurationError) as outcome:
        schema.check(body=body)
    assert outcome.value.field_path == field_path


@pytest.mark.parametrize("data", [b"", b"{", b"[]", json.dumps(GOOD).encode()[:-30], b"\xff\xfe"])
def test_read_json_rejects_unreadable_body(data):
    with pytest.raises(errors.InvalidConfigurationError):
        parser.read_json(data=data)


def take(payload, *, base, body, method="PUT"):
    data = json.dumps(body).encode()
    order = orders.read(method=method, base=base, data=data)
    return orders.edit_for(order=order, archived=0)(payload)


def test_edit_recognises_resent_order_after_newer_one():
    first, outcome = take(None, base=0, body=GOOD)
    assert outcome == "taken" and first["body"] == GOOD
    newer, outcome = take(first, base=7, body=changed(("edition",), 9))
    assert outcome == "taken" and newer["edition"] == 9
    assert take(newer, base=0, body=GOOD) == (newer, "known")


def test_edit_rejects_wrong_base_and_edition_that_does_not_rise():
    first, _outcome = take(None, base=0, body=GOOD)
    with pytest.raises(errors.StaleVersionError):
        take(first, base=3, body=changed(("edition",), 9))
    with pytest.raises(errors.InvalidConfigurationError) as outcome:
        take(first, base=7, body=changed(("edition",), 6))
    assert outcome.value.field_path == "edition"


def test_patch_adds_replaces_and_withdraws_items():
    first, _outcome = take(None, base=0, body=GOOD)
    patch = {
        "edition": 8,
        "upsert": {
            "routes": [{**GOOD["routes"][1], "expiryMs": 1}, {**GOOD["routes"][1], "name": "r3", "pathLead": "/c/"}]
        },
        "withdraw": {"routes": ["r1"]},
    }
    new, outcome = take(first, base=7, body=patch, method="PATCH")
    assert outcome == "taken"
    assert [(row["name"], row["expiryMs"]) for row in new["body"]["routes"]] == [("r2", 1), ("r3", 3000)]
    assert new["body"]["limits"] == GOOD["limits"]
    with pytest.raises(errors.InvalidConfigurationError):
        take(first, base=7, body={"edition": 8, "withdraw": {"destinations": ["d2"]}}, method="PATCH")
    with pytest.raises(errors.InvalidConfigurationError):
        take(first, base=7, body={"edition": 8, "withdraw": {"routes": ["nobody"]}}, method="PATCH")


def test_check_accepts_400_routes():
    body = changed(
        ("routes",),
        [
            {
                "name": f"r{number}",
                "host": "h",
                "pathLead": f"/p{number}/",
                "kind": "retry_safe",
                "expiryMs": 10,
                "destination": "d1",
            }
            for number in range(400)
        ],
    )
    assert len(schema.check(body=body).routes) == 400


def with_tenants(*senders):
    return schema.check(body={"edition": 1, "routes": [], "destinations": [], "senders": list(senders)})


def test_check_reads_tenants():
    senders = with_tenants({"name": "a", "apiKeys": ["k", "l"], "perS": 2}, {"name": "b", "apiKeys": ["m"]}).tenants
    assert [(tenant.name, len(tenant.api_keys)) for tenant in senders] == [("a", 2), ("b", 1)]


@pytest.mark.parametrize(
    "senders, field_path",
    [
        (({"name": "a", "apiKeys": ["secret"]}, {"name": "b", "apiKeys": ["secret"]}), "senders.1.apiKeys.0"),
        (({"name": "a"}, {"name": "a"}), "senders.1.name"),
        (({"name": ""},), "senders.0.name"),
        (({"name": "a", "perS": -1},), "senders.0.perS"),
        (({"name": "a", "perS": "9"},), "senders.0.perS"),
        (({"name": "a", "apiKeys": [7]},), "senders.0.apiKeys.0"),
        (({"apiKeys": ["secret"]},), "senders.0.name"),
    ],
)
def test_check_names_field_of_invalid_tenant_and_never_a_key(senders, field_path):
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        with_tenants(*senders)
    assert caught.value.field_path == field_path and "secret" not in str(caught.value)


def test_check_rejects_patch_that_gives_key_to_second_tenant():
    body = {"edition": 1, "routes": [], "destinations": [], "senders": [{"name": "a", "apiKeys": ["secret"]}]}
    merged = patchs.merge(
        body=body, patch={"edition": 2, "upsert": {"senders": [{"name": "b", "apiKeys": ["secret"]}]}}
    )
    with pytest.raises(errors.InvalidConfigurationError):
        schema.check(body=merged)
    freed = patchs.merge(body=body, patch={"edition": 2, "withdraw": {"senders": ["a"]}})
    assert schema.check(body=freed).tenants == []


@pytest.mark.parametrize("kind, is_valid", [("batch", True), ("streaming", True), ("Batch", False), ("", False)])
def test_route_accepts_batch_and_known_request_kinds_only(kind, is_valid):
    route = {"name": "r", "host": "h", "pathLead": "/r/", "kind": kind, "expiryMs": 5, "destination": "d"}
    if is_valid:
        assert schema.validate(schema.Route, route).kind == kind
    else:
        with pytest.raises(errors.InvalidConfigurationError):
            schema.validate(schema.Route, route)
