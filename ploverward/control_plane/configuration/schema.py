"""What an operator's configuration must be (design 5). Unknown fields are kept as they came."""

import typing

import pydantic

from ploverward.common import errors

MAX_EDITION = 2**63 - 1


def _number(value):
    """Text and truth values are not numbers, although Python would take them for some."""
    if isinstance(value, (str, bool)):
        raise ValueError("not a number")
    return value


Integer = typing.Annotated[int, pydantic.BeforeValidator(_number)]
Number = typing.Annotated[float, pydantic.BeforeValidator(_number)]


class _Open(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="allow")


class Portion(_Open):
    destination: str
    share: Number = pydantic.Field(ge=0)


class Route(_Open):
    name: str = pydantic.Field(min_length=1)
    host: str = pydantic.Field(min_length=1)
    pathLead: str = pydantic.Field(pattern=r"^/(.*/)?$")
    kind: str = pydantic.Field(pattern=r"^(retry_safe|retry_unsafe|streaming)$")
    expiryMs: Number = pydantic.Field(gt=0)
    targetMs: Number = pydantic.Field(default=0, ge=0)
    urgency: Integer = 0
    tries: Integer = pydantic.Field(default=1, ge=1)
    sticky: bool = False
    keyless: bool = False
    resume: bool = False
    gapTargetMs: Number = 0
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
    maxConns: Integer = pydantic.Field(default=64, ge=1)
    warmupS: Number = pydantic.Field(default=0, ge=0)
    warmupPerS: Number = pydantic.Field(default=0, ge=0)


class Tenant(_Open):
    """A tenant: who may ask, and how much."""

    name: str = pydantic.Field(min_length=1)
    apiKeys: list[typing.Annotated[str, pydantic.Field(min_length=1)]] = []
    urgency: Integer | None = None
    perS: Number = pydantic.Field(default=0, ge=0)
    burst: Number = pydantic.Field(default=0, ge=0)
    homeRegions: list[str] = []


class Limits(_Open):
    labelBytes: Integer = pydantic.Field(default=16384, ge=256)
    parcelBytes: Integer = pydantic.Field(default=4194304, ge=0)
    labelMs: Number = pydantic.Field(default=3000, gt=0)
    idleMs: Number = pydantic.Field(default=15000, gt=0)


class Configuration(_Open):
    edition: Integer = pydantic.Field(ge=1, le=MAX_EDITION, strict=True)
    routes: list[Route]
    destinations: list[Destination]
    limits: Limits = Limits()
    senders: list[Tenant] | None = None


def validated(model: type, body: dict):
    """`body` as this pydantic model. Raises InvalidConfiguration with the place of the first fault."""
    try:
        return model.model_validate(body)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field_path = ".".join(str(part) for part in first["loc"])
        raise errors.InvalidConfigurationError(first["msg"], field_path=field_path) from None


def check(*, body: dict) -> Configuration:
    """A whole configuration. Raises InvalidConfiguration, and nothing else."""
    configuration = validated(Configuration, body)
    names = set()
    for index, destination in enumerate(configuration.destinations):
        if destination.name in names:
            raise errors.InvalidConfigurationError(
                f"'{destination.name}' stands twice", field_path=f"destinations.{index}.name"
            )
        names.add(destination.name)
    places = {}
    route_names = set()
    for index, route in enumerate(configuration.routes):
        if route.name in route_names:
            raise errors.InvalidConfigurationError(f"'{route.name}' stands twice", field_path=f"routes.{index}.name")
        route_names.add(route.name)
        key = (route.host.lower(), route.pathLead)
        if key in places:
            raise errors.InvalidConfigurationError(
                f"same host and prefix as '{places[key]}'", field_path=f"routes.{index}.pathLead"
            )
        places[key] = route.name
        portions = route.portions()
        if not portions:
            raise errors.InvalidConfigurationError("no destination", field_path=f"routes.{index}.destination")
        for name, _share in portions:
            if name not in names:
                raise errors.InvalidConfigurationError(
                    f"unknown destination '{name}'", field_path=f"routes.{index}.destination"
                )
        if sum(share for _name, share in portions) <= 0:
            raise errors.InvalidConfigurationError("the shares sum to 0", field_path=f"routes.{index}.apportion")
    _check_tenants(configuration.senders or ())
    return configuration


def _check_tenants(senders) -> None:
    """Names and keys stand once. What is said of a key never repeats it."""
    names, tenant_by_key = set(), {}
    for index, tenant in enumerate(senders):
        if tenant.name in names:
            raise errors.InvalidConfigurationError(f"'{tenant.name}' stands twice", field_path=f"senders.{index}.name")
        names.add(tenant.name)
        for number, key in enumerate(tenant.apiKeys):
            if tenant_by_key.setdefault(key, tenant.name) != tenant.name:
                raise errors.InvalidConfigurationError(
                    f"the key is held by '{tenant_by_key[key]}' too", field_path=f"senders.{index}.apiKeys.{number}"
                )
