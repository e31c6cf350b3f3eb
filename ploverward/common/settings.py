"""The settings file: lines of a.b=value, read whole or not at all (design 9)."""

import dataclasses
import os

from ploverward.common import errors

PATH_VARIABLE = "PLOVERWARD_NODE_FILE"
BOUND_NAMES = ("contactMs", "receiptMs", "drainMs", "graceS", "applyMs", "evacuateMs")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    node: str
    ip: str
    zone: str
    region: str
    zones: dict
    bindings: dict
    inner_ports: tuple
    seeds: tuple
    first_start: bool
    data_dir: str
    memory_mb: float
    handles: int
    disk_mb: float
    cloud_address: str
    cloud_per_s: float
    cloud_lag_s: float
    bounds: dict
    raw: dict

    def bound(self, *, name: str, default: float = 0.0) -> float:
        return float(self.bounds.get(name, default))

    def bound_s(self, *, name: str, default: float = 0.0) -> float:
        """A bound stated in milliseconds, in seconds."""
        return self.bound(name=name, default=default) / 1000.0

    @property
    def tolerated_machines(self) -> int:
        """How many counted machines may be lost at once; a minority of the seeds where the settings do not say."""
        configured = self.raw.get("tolerate.machines", "")
        return int(configured) if configured.isdigit() else (len(self.seeds) - 1) // 2

    @property
    def core_port(self) -> int:
        return self.inner_ports[0]

    @property
    def proxy_port(self) -> int:
        return self.inner_ports[0] + 1


def parse_address(*, text: str, field: str) -> tuple:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise errors.SettingsError(f"{field}: '{text}' is not an ADDRESS:PORT", step="settings")
    return (host, int(port))


def parse_lines(*, text: str) -> dict:
    fields = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        name, equals, value = line.partition("=")
        if not equals:
            raise errors.SettingsError(f"line {number}: no '=' in '{line}'", step="settings")
        fields[name.strip()] = value.strip()
    return fields


def check(*, text: str) -> Settings:
    fields = parse_lines(text=text)

    def require(name):
        if fields.get(name, "") == "":
            raise errors.SettingsError(f"{name}: missing", step="settings")
        return fields[name]

    def number(name, default=None):
        value = fields.get(name, "")
        if value == "" and default is not None:
            return default
        try:
            return float(require(name))
        except ValueError:
            raise errors.SettingsError(f"{name}: '{value}' is not a number", step="settings") from None

    def parse_flag(name):
        value = fields.get(name, "false").lower()
        if value not in ("true", "false"):
            raise errors.SettingsError(f"{name}: '{value}' is neither true nor false", step="settings")
        return value == "true"

    ports = require("innerPortRange").split(",")
    if len(ports) != 2 or not all(port.strip().isdigit() for port in ports) or int(ports[0]) >= int(ports[1]):
        raise errors.SettingsError("innerPortRange: needs FIRST,LAST", step="settings")
    seeds = tuple(
        parse_address(text=part.strip(), field="seedNodes") for part in require("seedNodes").split(",") if part.strip()
    )
    bindings = {}
    for name, value in fields.items():
        if name.startswith("bindings."):
            bindings[name[len("bindings.") :]] = parse_address(text=value, field=name)
    bounds = {}
    for name in fields:
        if name.startswith("bounds."):
            value = fields[name]
            bounds[name[len("bounds.") :]] = float(value == "true") if value in ("true", "false") else number(name)
    for name in BOUND_NAMES:
        if bounds.get(name, 0.0) <= 0.0:
            raise errors.SettingsError(f"bounds.{name}: missing or not above 0", step="settings")
    zones = {name[len("zones.") :]: value for name, value in fields.items() if name.startswith("zones.")}
    return Settings(
        node=require("node"),
        ip=require("ip"),
        zone=require("zone"),
        region=require("region"),
        zones=zones,
        bindings=bindings,
        inner_ports=(int(ports[0]), int(ports[1])),
        seeds=seeds,
        first_start=parse_flag("firstStart"),
        data_dir=fields.get("dataDir", ""),
        memory_mb=number("limits.memoryMb", 256.0),
        handles=int(number("limits.fileHandles", 1024.0)),
        disk_mb=number("limits.diskMb", 0.0),
        cloud_address=require("cloudApi.address"),
        cloud_per_s=number("cloudApi.perS", 10.0),
        cloud_lag_s=number("cloudApi.lagMs", 0.0) / 1000.0,
        bounds=bounds,
        raw=fields,
    )


def path() -> str:
    value = os.environ.get(PATH_VARIABLE, "")
    if not value:
        raise errors.SettingsError(f"{PATH_VARIABLE} is not set", step="settings")
    return value


class FileWatch:
    """Whether the settings file was changed since the last look, with or without a signal."""

    def __init__(self):
        self._signature = self._look()

    def _look(self):
        try:
            found = os.stat(path())
        except OSError:
            return None
        return (found.st_mtime_ns, found.st_size, found.st_ino)

    def is_changed(self) -> bool:
        signature = self._look()
        if signature is None or signature == self._signature:
            return False
        self._signature = signature
        return True


def load() -> Settings:
    name = path()
    try:
        with open(name, encoding="utf-8") as handle:
            text = handle.read()
    except (OSError, UnicodeDecodeError) as fault:
        raise errors.SettingsError(f"{name}: {fault}", step="settings") from None
    return check(text=text)
