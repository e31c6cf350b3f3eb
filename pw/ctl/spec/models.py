"""What an operator's configuration must be (design 5). Unknown fields are kept as they came."""

import hashlib
import json

import pydantic

from pw.base import problems

RECENT_KEPT = 48


class _Open(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow")


class Portion(_Open):
    destination: str
    share: float = pydantic.Field(ge=0)


class Route(_Open):
    name: str = pydantic.Field(min_length=1)
    host: str = pydantic.Field(min_length=1)
    pathLead: str = pydantic.Field(pattern=r"^/(.*/)?$")
    kind: str = pydantic.Field(pattern=r"^(retry_safe|retry_unsafe|streaming)$")
    expiryMs: float = pydantic.Field(gt=0)
    targetMs: float = pydantic.Field(default=0, ge=0)
    urgency: int = 0
    tries: int = pydantic.Field(default=1, ge=1)
    sticky: bool = False
    resume: bool = False
    gapTargetMs: float = 0
    homeRegions: list[str] = []
    destination: str | None = None
    apportion: list[Portion] | None = None

    def portions(self) -> list:
        if self.apportion is not None:
            return [(part.destination, part.share) for part in self.apportion]
        return [(self.destination, 1.0)] if self.destination else []


class Destination(_Open):
    name: str = pydantic.Field(min_length=1)
    health: str = "/health"
    maxConns: int = pydantic.Field(default=64, ge=1)
    warmupS: float = pydantic.Field(default=0, ge=0)
    warmupPerS: float = pydantic.Field(default=0, ge=0)


class Limits(_Open):
    labelBytes: int = pydantic.Field(default=16384, ge=256)
    parcelBytes: int = pydantic.Field(default=4194304, ge=0)
    labelMs: float = pydantic.Field(default=3000, gt=0)
    idleMs: float = pydantic.Field(default=15000, gt=0)


class Spec(_Open):
    edition: int = pydantic.Field(ge=1)
    routes: list[Route]
    destinations: list[Destination]
    limits: Limits = Limits()


def read_json(*, data: bytes) -> dict:
    try:
        body = json.loads(data)
    except (ValueError, UnicodeDecodeError) as fault:
        raise problems.SpecProblem(f"not readable as JSON: {fault}", place="body") from None
    if not isinstance(body, dict):
        raise problems.SpecProblem("not an object", place="body")
    return body


def check(*, body: dict) -> Spec:
    try:
        spec = Spec.model_validate(body)
    except pydantic.ValidationError as fault:
        first = fault.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        raise problems.SpecProblem(first["msg"], place=place) from None
    names = set()
    for index, destination in enumerate(spec.destinations):
        if destination.name in names:
            raise problems.SpecProblem(f"'{destination.name}' stands twice", place=f"destinations.{index}.name")
        names.add(destination.name)
    places = {}
    route_names = set()
    for index, route in enumerate(spec.routes):
        if route.name in route_names:
            raise problems.SpecProblem(f"'{route.name}' stands twice", place=f"routes.{index}.name")
        route_names.add(route.name)
        key = (route.host.lower(), route.pathLead)
        if key in places:
            raise problems.SpecProblem(f"same host and prefix as '{places[key]}'", place=f"routes.{index}.pathLead")
        places[key] = route.name
        portions = route.portions()
        if not portions:
            raise problems.SpecProblem("no destination", place=f"routes.{index}.destination")
        for name, _share in portions:
            if name not in names:
                raise problems.SpecProblem(f"unknown destination '{name}'", place=f"routes.{index}.destination")
        if sum(share for _name, share in portions) <= 0:
            raise problems.SpecProblem("the shares sum to 0", place=f"routes.{index}.apportion")
    return spec


def merge(*, body: dict, patch: dict) -> dict:
    """A PATCH: items added, replaced by name, or withdrawn by name."""
    merged = dict(body)
    upsert = patch.get("upsert") or {}
    withdraw = patch.get("withdraw") or {}
    if not isinstance(upsert, dict) or not isinstance(withdraw, dict):
        raise problems.SpecProblem("upsert and withdraw are objects of lists", place="upsert")
    for part in set(upsert) | set(withdraw):
        if part == "limits" and isinstance(upsert.get("limits"), dict):
            merged["limits"] = {**merged.get("limits", {}), **upsert["limits"]}
            continue
        items = upsert.get(part) or []
        gone = withdraw.get(part) or []
        if part not in ("routes", "destinations") or not isinstance(items, list) or not isinstance(gone, list):
            raise problems.SpecProblem("not a list of named items", place=part)
        table = {item["name"]: item for item in merged.get(part, [])}
        for name in gone:
            if name not in table:
                raise problems.SpecProblem(f"no item '{name}' to withdraw", place=f"withdraw.{part}")
            del table[name]
        for item in items:
            if not isinstance(item, dict) or not isinstance(item.get("name"), str):
                raise problems.SpecProblem("an item without a name", place=f"upsert.{part}")
            table[item["name"]] = item
        merged[part] = list(table.values())
    merged["edition"] = patch.get("edition")
    return merged


def digest(*, method: str, base: int, data: bytes) -> str:
    return hashlib.sha256(b"%s %d " % (method.encode(), base) + data).hexdigest()[:20]


def edit_for(*, method: str, base: int, data: bytes, body: dict):
    """The edit of the spec register for one operator call. Raises inside the round where it can't be taken."""
    mark = digest(method=method, base=base, data=data)

    def edit(payload):
        current = payload["edition"] if payload else 0
        if payload and any(known == mark for _edition, known in payload["recent"]):
            return payload, "known"
        if base != current:
            raise problems.StaleBase(current=current)
        whole = merge(body=payload["body"] if payload else {}, patch=body) if method == "PATCH" else body
        spec = check(body=whole)
        if spec.edition <= current:
            raise problems.SpecProblem(f"{spec.edition} is not above {current}", place="edition")
        recent = (payload["recent"] if payload else []) + [[spec.edition, mark]]
        return {"edition": spec.edition, "body": whole, "recent": recent[-RECENT_KEPT:]}, "taken"

    return edit
