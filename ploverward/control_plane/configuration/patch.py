"""Merges a PATCH into a configuration: named items are added, replaced or withdrawn (docs/orders.md 6).

The object of a PATCH is `{"edition", "upsert": {section: items}, "withdraw": {section: names}}`. The result is not
checked here; `schema.check` does that.
"""

import typing

from ploverward.common import errors

EDITION = "edition"
UPSERT = "upsert"
WITHDRAW = "withdraw"
LIMITS = "limits"  # the one section that is an object
LIST_SECTIONS = ("routes", "destinations", "senders")

Json: typing.TypeAlias = dict[str, typing.Any]


def merge(*, body: Json, patch: Json) -> Json:
    """The complete configuration that a patch makes of another one. Neither argument is changed.

    Args:
        body: the configuration that the patch builds on; empty where there is none yet.
        patch: the object in the call's body.

    Raises:
        InvalidConfigurationError: the patch has another shape, or withdraws what is not there.
    """
    upsert = _operation(patch, UPSERT)
    withdraw = _operation(patch, WITHDRAW)
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


def _operation(patch: Json, name: str) -> Json:
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
    items = _named_items(_list(upsert, name, field_path=f"{UPSERT}.{name}"), field_path=f"{UPSERT}.{name}")
    withdrawn = _list(withdraw, name, field_path=f"{WITHDRAW}.{name}")
    existing = body.get(name)
    table = _named_items(existing if isinstance(existing, list) else [], field_path=name)
    for index, key in enumerate(withdrawn):
        field_path = f"{WITHDRAW}.{name}.{index}"
        if not isinstance(key, str):
            raise errors.InvalidConfigurationError("not a name", field_path=field_path)
        if key not in table:
            raise errors.InvalidConfigurationError(f"no item '{key}' to withdraw", field_path=field_path)
        del table[key]
    table.update(items)
    return list(table.values())


def _list(sections: Json, name: str, *, field_path: str) -> list[typing.Any]:
    items = sections.get(name)
    if items is None:
        return []
    if not isinstance(items, list):
        raise errors.InvalidConfigurationError("not a list", field_path=field_path)
    return items


def _named_items(items: list[typing.Any], *, field_path: str) -> dict[str, Json]:
    table: dict[str, Json] = {}
    for index, item in enumerate(items):
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise errors.InvalidConfigurationError("an item without a name", field_path=f"{field_path}.{index}")
        if item["name"] in table:
            raise errors.InvalidConfigurationError(
                f"'{item['name']}' stands twice", field_path=f"{field_path}.{index}.name"
            )
        table[item["name"]] = item
    return table
