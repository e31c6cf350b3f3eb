"""Tests of the parser, the validation, patches and edits on arbitrary input.

Any input is either accepted or rejected with an `InvalidConfigurationError` that names the field; an order on another
edition may also be rejected with a `StaleVersionError`. No argument is changed and no other exception is raised.
"""

import copy
import json

import hypothesis
import pytest
from hypothesis import strategies

from ploverward.common import errors
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.configuration import parser
from ploverward.control_plane.configuration import patch as configuration_patch
from ploverward.control_plane.configuration import schema
from ploverward.control_plane.configuration import test_schema
from ploverward.simulation import order_costs

VALID_BODY = test_schema.VALID_BODY
STORED_PAYLOAD = {"edition": VALID_BODY["edition"], "body": VALID_BODY, "recent": [[VALID_BODY["edition"], "0" * 20]]}
PROPERTY_TEST = hypothesis.settings(max_examples=150, deadline=None, derandomize=True)

SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.integers(min_value=-(10**400), max_value=10**400),
    strategies.floats(),
    strategies.text(max_size=4),
)
FIELD_NAMES = strategies.sampled_from(
    ["edition", "routes", "destinations", "limits", "name", "host", "pathLead", "kind", "expiryMs", "apportion"]
    + ["destination", "share", "upsert", "withdraw", "r1", "r2", "d1", "labelBytes", "homeRegions", "tries"]
)
VALUES = strategies.recursive(
    SCALARS | FIELD_NAMES,
    lambda inner: strategies.lists(inner, max_size=3) | strategies.dictionaries(FIELD_NAMES, inner, max_size=4),
    max_leaves=12,
)
OBJECTS = strategies.dictionaries(FIELD_NAMES, VALUES, max_size=5)


def paths_of(body, path=()):
    """Returns the path of each value inside a body, and of the body itself."""
    found = [path]
    if isinstance(body, dict):
        for key in body:
            found += paths_of(body[key], (*path, key))
    elif isinstance(body, list):
        for index, item in enumerate(body):
            found += paths_of(item, (*path, index))
    return found


PATHS = [path for path in paths_of(VALID_BODY) if path]


def with_value(body, path, value):
    changed = copy.deepcopy(body)
    container = changed
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return changed


def result_or_rejection(callback):
    """Returns the result of the callback, or None if it raised an error that names a field."""
    try:
        return callback()
    except errors.InvalidConfigurationError as error:
        assert error.text and error.field_path
        return None


def rejected_field(callback) -> str:
    """Returns the path of the field for which the callback raises an error."""
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        callback()
    return caught.value.field_path


@PROPERTY_TEST
@hypothesis.given(data=strategies.binary(max_size=60) | strategies.text(max_size=60).map(lambda text: text.encode()))
def test_read_json_returns_object_or_names_field_for_any_bytes(data):
    body = result_or_rejection(lambda: parser.read_json(data=data))
    assert body is None or isinstance(body, dict)


@PROPERTY_TEST
@hypothesis.given(body=VALUES)
def test_read_json_result_can_be_encoded_again(body):
    data = json.dumps(body).encode()
    read = result_or_rejection(lambda: parser.read_json(data=data))
    if read is not None:
        assert json.loads(json.dumps(read, allow_nan=False)) == read


@PROPERTY_TEST
@hypothesis.given(kept_length=strategies.integers(min_value=0, max_value=len(json.dumps(VALID_BODY)) - 1))
def test_read_json_rejects_truncated_body(kept_length):
    assert rejected_field(lambda: parser.read_json(data=json.dumps(VALID_BODY).encode()[:kept_length])) == "body"


@PROPERTY_TEST
@hypothesis.given(path=strategies.sampled_from(PATHS), value=VALUES)
def test_check_accepts_or_rejects_any_value_and_leaves_body_unchanged(path, value):
    body = with_value(VALID_BODY, path, value)
    before = copy.deepcopy(body)
    result_or_rejection(lambda: schema.check(body=body))
    assert repr(body) == repr(before)


@PROPERTY_TEST
@hypothesis.given(body=OBJECTS, patch=OBJECTS)
def test_merge_accepts_or_rejects_any_patch_and_leaves_arguments_unchanged(body, patch):
    before = copy.deepcopy((body, patch))
    result_or_rejection(lambda: configuration_patch.merge(body=body, patch=patch))
    assert repr((body, patch)) == repr(before)


@PROPERTY_TEST
@hypothesis.given(
    method=strategies.sampled_from(["PUT", "PATCH"]),
    base=strategies.sampled_from([0, 3, 7, 10**18]),
    body=OBJECTS
    | strategies.tuples(strategies.sampled_from(PATHS), VALUES).map(lambda at: with_value(VALID_BODY, *at)),
    stored_payload=strategies.sampled_from([None, STORED_PAYLOAD]),
)
def test_edit_accepts_or_rejects_any_order_and_leaves_payload_unchanged(method, base, body, stored_payload):
    before = copy.deepcopy(stored_payload)

    def callback():
        order = orders.read(method=method, base=base, data=json.dumps(body).encode())
        return orders.edit_for(order=order, archived=0)(stored_payload)

    try:
        new, outcome = callback()
    except (errors.InvalidConfigurationError, errors.StaleVersionError):
        new, outcome = stored_payload, None
    assert stored_payload == before
    if outcome == orders.Outcome.ACCEPTED:
        assert new["edition"] > base and schema.check(body=new["body"]).edition == new["edition"]
        assert json.loads(json.dumps(new, allow_nan=False)) == new


def test_read_json_rejects_too_many_values_before_it_parses(monkeypatch):
    """Guards against a body that keeps all threads of a core node waiting for the parser of JSON."""
    monkeypatch.setattr(parser.json, "loads", lambda *_arguments, **_named: pytest.fail("the body was parsed"))
    with pytest.raises(errors.InvalidConfigurationError) as caught:
        parser.read_json(data=b'{"routes":[' + b"[]," * 1_000_000 + b"[]]}")
    assert caught.value.field_path == parser.BODY_PATH


@pytest.mark.parametrize("routes", [2_000, 8_000])
def test_read_json_accepts_configuration_of_many_routes(routes):
    body = order_costs.make_configuration(routes=routes, edition=7)
    assert parser.read_json(data=json.dumps(body).encode()) == body


@pytest.mark.parametrize(
    "data, field_path",
    [
        (b'{"edition":7,"edition":8}', "edition"),
        (b'{"routes":[{"name":"a","name":"b"}]}', "name"),
        (b'{"edition":NaN}', "body"),
        (b'{"edition":Infinity}', "body"),
        (b'{"expiryMs":1e999}', "body"),
        (b'{"edition":' + b"9" * 5000 + b"}", "body"),
        (b'{"a":' * 70 + b"1" + b"}" * 70, "body"),
        (b"[" * 100_000, "body"),
        (b'{"a":"\xff"}', "body"),
        ('{"a":1}'.encode("utf-16"), "body"),
        (b'\xef\xbb\xbf{"a":1}', "body"),
        (b'{"a":"\\ud800"}', "body"),
        (b"7", "body"),
        (b"null", "body"),
    ],
)
def test_read_json_names_field_of_ambiguous_json(data, field_path):
    assert rejected_field(lambda: parser.read_json(data=data)) == field_path


@pytest.mark.parametrize(
    "path, value, field_path",
    [
        (("edition",), "7", "edition"),
        (("edition",), True, "edition"),
        (("edition",), 0, "edition"),
        (("edition",), -3, "edition"),
        (("edition",), 2**63, "edition"),
        (("edition",), 10**400, "edition"),
        (("routes",), {}, "routes"),
        (("routes", 0), 7, "routes.0"),
        (("routes", 1, "expiryMs"), 0, "routes.1.expiryMs"),
        (("routes", 1, "expiryMs"), "3000", "routes.1.expiryMs"),
        (("routes", 1, "expiryMs"), 10**400, "routes.1.expiryMs"),
        (("routes", 1, "tries"), True, "routes.1.tries"),
        (("routes", 0, "apportion", 1, "share"), -1, "routes.0.apportion.1.share"),
        (("destinations",), None, "destinations"),
        (("destinations", 0, "name"), "", "destinations.0.name"),
        (("limits",), 3, "limits"),
        (("limits", "labelBytes"), "many", "limits.labelBytes"),
    ],
)
def test_check_names_field_of_wrong_value(path, value, field_path):
    assert rejected_field(lambda: schema.check(body=with_value(VALID_BODY, path, value))) == field_path


@pytest.mark.parametrize(
    "patch, field_path",
    [
        ({"upsert": []}, "upsert"),
        ({"upsert": 0}, "upsert"),
        ({"withdraw": "routes"}, "withdraw"),
        ({"upsert": {"routes": {}}}, "upsert.routes"),
        ({"upsert": {"routes": [7]}}, "upsert.routes.0"),
        ({"upsert": {"routes": [{"host": "h"}]}}, "upsert.routes.0"),
        ({"upsert": {"routes": [{"name": 3}]}}, "upsert.routes.0"),
        ({"upsert": {"routes": [{"name": "n"}, {"name": "n"}]}}, "upsert.routes.1.name"),
        ({"upsert": {"limits": 5}}, "upsert.limits"),
        ({"upsert": {"others": []}}, "others"),
        ({"withdraw": {"limits": {}}}, "withdraw.limits"),
        ({"withdraw": {"routes": "r1"}}, "withdraw.routes"),
        ({"withdraw": {"routes": [{}]}}, "withdraw.routes.0"),
        ({"withdraw": {"routes": ["r1", "r1"]}}, "withdraw.routes.1"),
        ({"withdraw": {"routes": ["nobody"]}}, "withdraw.routes.0"),
    ],
)
def test_merge_names_field_of_malformed_patch(patch, field_path):
    assert (
        rejected_field(lambda: configuration_patch.merge(body=VALID_BODY, patch={"edition": 8, **patch})) == field_path
    )


def test_merge_rejects_stored_body_with_unnamed_item():
    body = with_value(VALID_BODY, ("routes", 1), {"host": "h"})
    patch = {"edition": 8, "upsert": {"routes": [VALID_BODY["routes"][0]]}}
    assert rejected_field(lambda: configuration_patch.merge(body=body, patch=patch)) == "routes.1"
