"""Tests of validation, patches and tenants, and of edits for orders that are repeated or have lost a race."""

import copy
import json

import pytest

from ploverward.common import errors
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.configuration import parser
from ploverward.control_plane.configuration import patch as configuration_patch
from ploverward.control_plane.configuration import schema

VALID_BODY = {
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


def with_value(path, value):
    """Returns the valid body with another value at the path; None removes the field."""
    body = copy.deepcopy(VALID_BODY)
    container = body
    for key in path[:-1]:
        container = container[key]
    if value is None:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return body


@pytest.mark.parametrize(
    "body, field_path",
    [
        (with_value(("routes", 1, "destination"), "nowhere"), "routes.1.destination"),
        (with_value(("routes", 1, "pathLead"), "/a/"), "routes.1.pathLead"),
        (with_value(("routes", 1, "pathLead"), "/a"), "routes.1.pathLead"),
        (with_value(("routes", 0, "apportion"), [{"destination": "d1", "share": 0}]), "routes.0.apportion"),
        (with_value(("routes", 0, "expiryMs"), 0), "routes.0.expiryMs"),
        (with_value(("routes", 0, "kind"), "odd"), "routes.0.kind"),
        (with_value(("routes",), None), "routes"),
        (with_value(("edition",), None), "edition"),
        (with_value(("destinations", 1, "name"), "d1"), "destinations.1.name"),
    ],
)
def test_check_names_field_of_invalid_configuration(body, field_path):
    with pytest.raises(errors.InvalidConfigurationError) as outcome:
        schema.check(body=body)
    assert outcome.value.field_path == field_path


@pytest.mark.parametrize("data", [b"", b"{", b"[]", json.dumps(VALID_BODY).encode()[:-30], b"\xff\xfe"])
def test_read_json_rejects_unreadable_body(data):
    with pytest.raises(errors.InvalidConfigurationError):
        parser.read_json(data=data)


def apply_order(payload, *, base, body, method="PUT"):
    data = json.dumps(body).encode()
    order = orders.read(method=method, base=base, data=data)
    return orders.edit_for(order=order, archived=0)(payload)


def test_edit_recognises_resent_order_after_newer_one():
    first, outcome = apply_order(None, base=0, body=VALID_BODY)
    assert outcome == "taken" and first["body"] == VALID_BODY
    newer, outcome = apply_order(first, base=7, body=with_value(("edition",), 9))
    assert outcome == "taken" and newer["edition"] == 9
    assert apply_order(newer, base=0, body=VALID_BODY) == (newer, "known")


def test_edit_rejects_wrong_base_and_edition_that_does_not_rise():
    first, _outcome = apply_order(None, base=0, body=VALID_BODY)
    with pytest.raises(errors.StaleVersionError):
        apply_order(first, base=3, body=with_value(("edition",), 9))
    with pytest.raises(errors.InvalidConfigurationError) as outcome:
        apply_order(first, base=7, body=with_value(("edition",), 6))
    assert outcome.value.field_path == "edition"


def test_patch_adds_replaces_and_withdraws_items():
    first, _outcome = apply_order(None, base=0, body=VALID_BODY)
    patch = {
        "edition": 8,
        "upsert": {
            "routes": [
                {**VALID_BODY["routes"][1], "expiryMs": 1},
                {**VALID_BODY["routes"][1], "name": "r3", "pathLead": "/c/"},
            ]
        },
        "withdraw": {"routes": ["r1"]},
    }
    new, outcome = apply_order(first, base=7, body=patch, method="PATCH")
    assert outcome == "taken"
    assert [(row["name"], row["expiryMs"]) for row in new["body"]["routes"]] == [("r2", 1), ("r3", 3000)]
    assert new["body"]["limits"] == VALID_BODY["limits"]
    with pytest.raises(errors.InvalidConfigurationError):
        apply_order(first, base=7, body={"edition": 8, "withdraw": {"destinations": ["d2"]}}, method="PATCH")
    with pytest.raises(errors.InvalidConfigurationError):
        apply_order(first, base=7, body={"edition": 8, "withdraw": {"routes": ["nobody"]}}, method="PATCH")


def test_check_accepts_400_routes():
    """Orders with 260 routes have to be validated in time to be acknowledged; this test does not assert a time."""
    body = with_value(
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


def check_tenants(*senders):
    return schema.check(body={"edition": 1, "routes": [], "destinations": [], "senders": list(senders)})


def test_check_reads_tenants():
    senders = check_tenants({"name": "a", "apiKeys": ["k", "l"], "perS": 2}, {"name": "b", "apiKeys": ["m"]}).tenants
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
        check_tenants(*senders)
    assert caught.value.field_path == field_path and "secret" not in str(caught.value)


def test_check_rejects_patch_that_gives_key_to_second_tenant():
    body = {"edition": 1, "routes": [], "destinations": [], "senders": [{"name": "a", "apiKeys": ["secret"]}]}
    merged = configuration_patch.merge(
        body=body, patch={"edition": 2, "upsert": {"senders": [{"name": "b", "apiKeys": ["secret"]}]}}
    )
    with pytest.raises(errors.InvalidConfigurationError):
        schema.check(body=merged)
    freed = configuration_patch.merge(body=body, patch={"edition": 2, "withdraw": {"senders": ["a"]}})
    assert schema.check(body=freed).tenants == []


@pytest.mark.parametrize("kind, is_valid", [("batch", True), ("streaming", True), ("Batch", False), ("", False)])
def test_route_accepts_batch_and_known_request_kinds_only(kind, is_valid):
    route = {"name": "r", "host": "h", "pathLead": "/r/", "kind": kind, "expiryMs": 5, "destination": "d"}
    if is_valid:
        assert schema.validate(schema.Route, route).kind == kind
    else:
        with pytest.raises(errors.InvalidConfigurationError):
            schema.validate(schema.Route, route)
