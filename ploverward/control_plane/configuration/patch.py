"""Merging of a PATCH into a configuration: named items are added, replaced or withdrawn (docs/orders.md 6).

The object of a PATCH is `{"edition", "upsert": {section: items}, "withdraw": {section: names}}`. The result is not
validated here but by `schema.check`.
"""

import typing

from ploverward.common import errors

EDITION = "edition"
UPSERT = "upsert"
WITHDRAW = "withdraw"
LIMITS = "limits"  # the only section that is an object
LIST_SECTIONS = ("routes", "destinations", "senders")

Json: typing.TypeAlias = dict[str, typing.Any]


def merge(*, body: Json, patch: Json) -> Json:
    """Returns the complete configuration after a patch. Neither argument is changed.

    Args:
        body: The configuration that the patch builds on; empty before the first one.
        patch: The JSON object in the call's body.

    Raises:
        InvalidConfigurationError: The patch is malformed, or withdraws an item that does not exist.
    """
    upsert = _sections_of(patch, UPSERT)
    withdraw = _sections_of(patch, WITHDRAW)
    merged = dict(body)
    for name in sorted(set(upsert) | set(withdraw)):
        if name == LIMITS:
            merged[LIMITS] = _merged_limits(body=body, upsert=upsert, withdraw=withdraw)
        elif name in LIST_SECTIONS:
            merged[name] = _merged_list(name=name, body=body, upsert=upsert, withdraw=withdraw)
        else:
            raise errors.InvalidConfigurationError("not a part that can be changed", field_path=name)
    merged[EDITION] = patch.get(EDITION)
    return merged


def _sections_of(patch: Json, name: str) -> Json:
    """Returns the sections that the operation `name` ("upsert" or "withdraw") of the patch changes."""
    sections = patch.get(name)
    if sections is None:
        return {}
    if not isinstance(sections, dict):
        raise errors.InvalidConfigurationError("not an object of lists", field_path=name)
    return sections


def _merged_limits(*, body: Json, upsert: Json, withdraw: Json) -> Json:
    if LIMITS in withdraw:
        raise errors.InvalidConfigurationError("limits can't be withdrawn", field_path=f"{WITHDRAW}.{LIMITS}")
    new = upsert[LIMITS]
    if not isinstance(new, dict):
        raise errors.InvalidConfigurationError("not an object", field_path=f"{UPSERT}.{LIMITS}")
    existing = body.get(LIMITS)
    return {**(existing if isinstance(existing, dict) else {}), **new}


def _merged_list(*, name: str, body: Json, upsert: Json, withdraw: Json) -> list[Json]:
    items = _items_by_name(_list_of(upsert, name, field_path=f"{UPSERT}.{name}"), field_path=f"{UPSERT}.{name}")
    withdrawn = _list_of(withdraw, name, field_path=f"{WITHDRAW}.{name}")
    existing = body.get(name)
    merged = _items_by_name(existing if isinstance(existing, list) else [], field_path=name)
    for index, key in enumerate(withdrawn):
        field_path = f"{WITHDRAW}.{name}.{index}"
        if not isinstance(key, str):
            raise errors.InvalidConfigurationError("not a name", field_path=field_path)
        if key not in merged:
            raise errors.InvalidConfigurationError(f"no item '{key}' to withdraw", field_path=field_path)
        del merged[key]
    merged.update(items)
    return list(merged.values())


def _list_of(sections: Json, name: str, *, field_path: str) -> list[typing.Any]:
    items = sections.get(name)
    if items is None:
        return []
    if not isinstance(items, list):
        raise errors.InvalidConfigurationError("not a list", field_path=field_path)
    return items


def _items_by_name(items: list[typing.Any], *, field_path: str) -> dict[str, Json]:
    items_by_name: dict[str, Json] = {}
    for index, item in enumerate(items):
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise errors.InvalidConfigurationError("an item without a name", field_path=f"{field_path}.{index}")
        if item["name"] in items_by_name:
            raise errors.InvalidConfigurationError(
                f"'{item['name']}' stands twice", field_path=f"{field_path}.{index}.name"
            )
        items_by_name[item["name"]] = item
    return items_by_name
