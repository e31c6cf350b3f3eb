"""A PATCH of the configuration: named items are added, replaced or withdrawn."""

from ploverward.common import errors

LIMITS = "limits"
LISTS = ("routes", "destinations", "senders")


def merge(*, body: dict, patch: dict) -> dict:
    """The whole configuration that `patch` makes of `body`. Both stay as they are."""
    upsert = _part(patch, "upsert")
    withdraw = _part(patch, "withdraw")
    merged = dict(body)
    for name in sorted(set(upsert) | set(withdraw)):
        if name == LIMITS:
            merged[LIMITS] = _merged_limits(body=body, upsert=upsert, withdraw=withdraw)
        elif name in LISTS:
            merged[name] = _merged_list(name=name, body=body, upsert=upsert, withdraw=withdraw)
        else:
            raise errors.InvalidConfigurationError("not a part that can be changed", field_path=name)
    merged["edition"] = patch.get("edition")
    return merged


def _part(patch: dict, name: str) -> dict:
    part = patch.get(name)
    if part is None:
        return {}
    if not isinstance(part, dict):
        raise errors.InvalidConfigurationError("not an object of lists", field_path=name)
    return part


def _merged_limits(*, body: dict, upsert: dict, withdraw: dict) -> dict:
    if LIMITS in withdraw:
        raise errors.InvalidConfigurationError("limits can't be withdrawn", field_path=f"withdraw.{LIMITS}")
    new = upsert[LIMITS]
    if not isinstance(new, dict):
        raise errors.InvalidConfigurationError("not an object", field_path=f"upsert.{LIMITS}")
    existing = body.get(LIMITS)
    return {**(existing if isinstance(existing, dict) else {}), **new}


def _merged_list(*, name: str, body: dict, upsert: dict, withdraw: dict) -> list:
    items = _named_items(_list(upsert, name, field_path=f"upsert.{name}"), field_path=f"upsert.{name}")
    gone = _list(withdraw, name, field_path=f"withdraw.{name}")
    existing = body.get(name)
    table = _named_items(existing if isinstance(existing, list) else [], field_path=name)
    for index, key in enumerate(gone):
        if not isinstance(key, str):
            raise errors.InvalidConfigurationError("not a name", field_path=f"withdraw.{name}.{index}")
        if key not in table:
            raise errors.InvalidConfigurationError(
                f"no item '{key}' to withdraw", field_path=f"withdraw.{name}.{index}"
            )
        del table[key]
    table.update(items)
    return list(table.values())


def _list(part: dict, name: str, *, field_path: str) -> list:
    items = part.get(name)
    if items is None:
        return []
    if not isinstance(items, list):
        raise errors.InvalidConfigurationError("not a list", field_path=field_path)
    return items


def _named_items(items: list, *, field_path: str) -> dict:
    table = {}
    for index, item in enumerate(items):
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise errors.InvalidConfigurationError("an item without a name", field_path=f"{field_path}.{index}")
        if item["name"] in table:
            raise errors.InvalidConfigurationError(
                f"'{item['name']}' stands twice", field_path=f"{field_path}.{index}.name"
            )
        table[item["name"]] = item
    return table
