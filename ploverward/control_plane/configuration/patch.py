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
            raise errors.InvalidConfiguration("not a part that can be changed", place=name)
    merged["edition"] = patch.get("edition")
    return merged


def _part(patch: dict, name: str) -> dict:
    part = patch.get(name)
    if part is None:
        return {}
    if not isinstance(part, dict):
        raise errors.InvalidConfiguration("not an object of lists", place=name)
    return part


def _merged_limits(*, body: dict, upsert: dict, withdraw: dict) -> dict:
    if LIMITS in withdraw:
        raise errors.InvalidConfiguration("limits can't be withdrawn", place=f"withdraw.{LIMITS}")
    new = upsert[LIMITS]
    if not isinstance(new, dict):
        raise errors.InvalidConfiguration("not an object", place=f"upsert.{LIMITS}")
    held = body.get(LIMITS)
    return {**(held if isinstance(held, dict) else {}), **new}


def _merged_list(*, name: str, body: dict, upsert: dict, withdraw: dict) -> list:
    items = _named_items(_list(upsert, name, place=f"upsert.{name}"), place=f"upsert.{name}")
    gone = _list(withdraw, name, place=f"withdraw.{name}")
    held = body.get(name)
    table = _named_items(held if isinstance(held, list) else [], place=name)
    for index, key in enumerate(gone):
        if not isinstance(key, str):
            raise errors.InvalidConfiguration("not a name", place=f"withdraw.{name}.{index}")
        if key not in table:
            raise errors.InvalidConfiguration(f"no item '{key}' to withdraw", place=f"withdraw.{name}.{index}")
        del table[key]
    table.update(items)
    return list(table.values())


def _list(part: dict, name: str, *, place: str) -> list:
    items = part.get(name)
    if items is None:
        return []
    if not isinstance(items, list):
        raise errors.InvalidConfiguration("not a list", place=place)
    return items


def _named_items(items: list, *, place: str) -> dict:
    table = {}
    for index, item in enumerate(items):
        if not isinstance(item, dict) or not isinstance(item.get("name"), str):
            raise errors.InvalidConfiguration("an item without a name", place=f"{place}.{index}")
        if item["name"] in table:
            raise errors.InvalidConfiguration(f"'{item['name']}' stands twice", place=f"{place}.{index}.name")
        table[item["name"]] = item
    return table
