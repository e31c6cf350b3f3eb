"""Settings file of a node: lines of the form `a.b=value` (docs/operations.md, "Settings").

A file is used only if it is valid as a whole. Unknown fields are ignored, so that one file can serve nodes of two
versions. The bounds are the only configurable timing; each timeout in the program is a share of one of them.
"""

import dataclasses
import os

from ploverward.common import errors

PATH_VARIABLE = "PLOVERWARD_NODE_FILE"  # environment variable with the path of the file
BOUND_NAMES = ("contactMs", "receiptMs", "drainMs", "graceS", "applyMs", "evacuateMs")  # required, and above 0
MAX_PORT = 65535
DEFAULT_USAGE_WINDOW_S = 5.0
DEFAULT_USAGE_LATE_S = 10.0
USAGE_DUTY = "metering"  # name of the usage reports in `platform_duties`
BATCH_DEPLOYMENT = "batch"  # kind of deployment that has stores
DEFAULT_MEMORY_MB = 256.0
DEFAULT_FILE_HANDLES = 1024.0
DEFAULT_CLOUD_CALLS_PER_S = 10.0

Address = tuple[str, int]
FileSignature = tuple[int, int, int]  # modification time in nanoseconds, size in bytes, inode


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Content of a valid settings file.

    Attributes:
        node: Name of the node.
        ip: Address at which peers reach the node.
        zone: Zone that the node runs in.
        region: Region of the zone.
        zones: The region of each zone, by name of the zone.
        bindings: Addresses of the published interfaces, by name.
        inner_ports: First and last port for connections between nodes.
        seeds: Addresses of the core nodes that a starting node contacts first.
        first_start: Whether the seeds may create the core set if no disk has one.
        data_dir: Folder for the files of a core node; empty for proxies.
        memory_mb: Memory of the machine in MiB.
        handles: Maximum number of open files.
        disk_mb: Size of the disk in MiB; 0 if unknown.
        cloud_address: Address of the platform's API.
        cloud_per_s: Maximum rate of calls to the platform's API, per second.
        cloud_lag_s: Maximum age in seconds of the platform's list when it is returned.
        bounds: Value of each bound by name, in the unit that the name ends with.
        raw: Text of each field, including unknown ones.
    """

    node: str
    ip: str
    zone: str
    region: str
    zones: dict[str, str]
    bindings: dict[str, Address]
    inner_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    first_start: bool
    data_dir: str
    memory_mb: float
    handles: int
    disk_mb: float
    cloud_address: str
    cloud_per_s: float
    cloud_lag_s: float
    bounds: dict[str, float]
    raw: dict[str, str]

    def bound(self, *, name: str, default: float = 0.0) -> float:
        """Returns a bound in the unit of its name, or `default` if the file does not state it."""
        return float(self.bounds.get(name, default))

    def bound_s(self, *, name: str, default: float = 0.0) -> float:
        """Returns a bound that is stated in milliseconds, converted to seconds; `default` is in milliseconds, too."""
        return self.bound(name=name, default=default) / 1000.0

    @property
    def tolerated_machines(self) -> int:
        """Number of counted machines that may fail at once; by default the largest minority of the seeds."""
        configured = self.raw.get("tolerate.machines", "")
        return int(configured) if configured.isdigit() else (len(self.seeds) - 1) // 2

    @property
    def deployment(self) -> str:
        """Kind of deployment; empty if the file does not name one."""
        return self.raw.get("deployment", "")

    @property
    def platform_duties(self) -> frozenset[str]:
        """Names of the platform calls that only one node at a time makes; often none."""
        return frozenset(self.raw.get("cloudApi.duties", "").split(",")) - {""}

    @property
    def usage_window_s(self) -> float:
        """Length of a window of the usage reports, in seconds."""
        return self.bound(name="usageWindowS", default=DEFAULT_USAGE_WINDOW_S)

    @property
    def usage_late_s(self) -> float:
        """Time after the end of a window at which its usage report is due, in seconds."""
        return self.bound(name="usageLateS", default=DEFAULT_USAGE_LATE_S)

    @property
    def core_port(self) -> int:
        """Port on which core nodes accept connections of other nodes."""
        return self.inner_ports[0]

    @property
    def proxy_port(self) -> int:
        """Port on which proxies accept connections of other nodes."""
        return self.inner_ports[0] + 1


def parse_address(*, text: str, field: str) -> Address:
    """Parses an address of the form `ADDRESS:PORT`.

    Args:
        text: Text to parse.
        field: Field or flag that contains the text; named in the error.

    Raises:
        SettingsError: The text is not an address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise errors.SettingsError(f"{field}: '{text}' is not an ADDRESS:PORT", step="settings")
    return (host, int(port))


def parse_lines(*, text: str) -> dict[str, str]:
    """Splits text into fields without checking their values; ignores empty lines and those that begin with '#'.

    Raises:
        SettingsError: A line contains no '='.
    """
    fields = {}
    for number, raw_line in enumerate(text.splitlines(), 1):
        line = raw_line.strip()
        if not line or line.startswith("#"):
            continue
        name, equals, value = line.partition("=")
        if not equals:
            raise errors.SettingsError(f"line {number}: no '=' in '{line}'", step="settings")
        fields[name.strip()] = value.strip()
    return fields


class _FieldReader:
    """Converts fields to their types; its methods raise a `SettingsError` that names the field."""

    def __init__(self, fields: dict[str, str]) -> None:
        self._fields = fields

    def text(self, name: str, *, default: str | None = None) -> str:
        """Returns the text of a field; a field without a default must be present and not empty."""
        if default is not None:
            return self._fields.get(name, default)
        if self._fields.get(name, "") == "":
            raise errors.SettingsError(f"{name}: missing", step="settings")
        return self._fields[name]

    def number(self, name: str, *, default: float | None = None) -> float:
        """Returns a field as a number, or `default` if the field is missing or empty."""
        value = self._fields.get(name, "")
        if value == "" and default is not None:
            return default
        try:
            return float(self.text(name))
        except ValueError:
            raise errors.SettingsError(f"{name}: '{value}' is not a number", step="settings") from None

    def flag(self, name: str) -> bool:
        """Returns a field that is `true` or `false`; False if it is missing."""
        value = self._fields.get(name, "false").lower()
        if value not in ("true", "false"):
            raise errors.SettingsError(f"{name}: '{value}' is neither true nor false", step="settings")
        return value == "true"

    def with_prefix(self, prefix: str) -> dict[str, str]:
        """Returns the fields whose names begin with `prefix`, by name without the prefix."""
        return {name.removeprefix(prefix): value for name, value in self._fields.items() if name.startswith(prefix)}

    def port_range(self, name: str) -> tuple[int, int]:
        """Returns the first and the last port of a field of the form `FIRST,LAST`."""
        ports = self.text(name).split(",")
        if len(ports) != 2 or not all(port.strip().isdigit() for port in ports) or int(ports[0]) >= int(ports[1]):
            raise errors.SettingsError(f"{name}: needs FIRST,LAST", step="settings")
        return (int(ports[0]), int(ports[1]))

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Returns a field that is a list of addresses separated by commas."""
        parts = (part.strip() for part in self.text(name).split(","))
        return tuple(parse_address(text=part, field=name) for part in parts if part)

    def bounds(self) -> dict[str, float]:
        """Returns all bounds as numbers (true is 1, false 0); those of `BOUND_NAMES` must be above 0."""
        found = {}
        for name, value in self.with_prefix("bounds.").items():
            is_flag = value in ("true", "false")
            found[name] = float(value == "true") if is_flag else self.number(f"bounds.{name}")
        if self._fields.get("deployment") == BATCH_DEPLOYMENT:
            # In this deployment nothing is evacuated, and operators do not state a time for its acknowledgement.
            found.setdefault("evacuateMs", found.get("receiptMs", 0.0))
        for name in BOUND_NAMES:
            if found.get(name, 0.0) <= 0.0:
                raise errors.SettingsError(f"bounds.{name}: missing or not above 0", step="settings")
        return found


def parse_settings(*, text: str) -> Settings:
    """Parses and checks the text of a settings file.

    Raises:
        SettingsError: A field is missing or malformed; the text names the first such field.
    """
    fields = parse_lines(text=text)
    reader = _FieldReader(fields)
    inner_ports = reader.port_range("innerPortRange")
    seeds = reader.addresses("seedNodes")
    bindings = {
        name: parse_address(text=value, field=f"bindings.{name}")
        for name, value in reader.with_prefix("bindings.").items()
    }
    bounds = reader.bounds()
    return Settings(
        node=reader.text("node"),
        ip=reader.text("ip"),
        zone=reader.text("zone"),
        region=reader.text("region"),
        zones=reader.with_prefix("zones."),
        bindings=bindings,
        inner_ports=inner_ports,
        seeds=seeds,
        first_start=reader.flag("firstStart"),
        data_dir=reader.text("dataDir", default=""),
        memory_mb=reader.number("limits.memoryMb", default=DEFAULT_MEMORY_MB),
        handles=int(reader.number("limits.fileHandles", default=DEFAULT_FILE_HANDLES)),
        disk_mb=reader.number("limits.diskMb", default=0.0),
        cloud_address=reader.text("cloudApi.address"),
        cloud_per_s=reader.number("cloudApi.perS", default=DEFAULT_CLOUD_CALLS_PER_S),
        cloud_lag_s=reader.number("cloudApi.lagMs", default=0.0) / 1000.0,
        bounds=bounds,
        raw=fields,
    )


def path() -> str:
    """Returns the path of this process's settings file.

    Raises:
        SettingsError: The environment variable is not set.
    """
    value = os.environ.get(PATH_VARIABLE, "")
    if not value:
        raise errors.SettingsError(f"{PATH_VARIABLE} is not set", step="settings")
    return value


def load() -> Settings:
    """Reads this process's settings file.

    Raises:
        SettingsError: The file can't be read, or a field is missing or malformed.
    """
    name = path()
    try:
        with open(name, encoding="utf-8") as handle:
            text = handle.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{name}: {error}", step="settings") from None
    return parse_settings(text=text)


class FileWatch:
    """Detects changes of the settings file, for platforms that send no signal when they replace it."""

    def __init__(self) -> None:
        self._signature = self._read_signature()

    def _read_signature(self) -> FileSignature | None:
        try:
            status = os.stat(path())
        except OSError:
            return None
        return (status.st_mtime_ns, status.st_size, status.st_ino)

    def is_changed(self) -> bool:
        """Returns whether the file has changed since the last call; an unreadable file counts as unchanged."""
        signature = self._read_signature()
        if signature is None or signature == self._signature:
            return False
        self._signature = signature
        return True
