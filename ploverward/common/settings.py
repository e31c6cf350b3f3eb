"""The settings file of a node: lines of `a.b=value`, valid in full or not taken (docs/operations.md, "Settings").

Unknown fields are skipped, so that a file may serve nodes of two versions. The bounds are the only timing that can be
set; each time-out in the program is a share of one of them.
"""

import dataclasses
import os

from ploverward.common import errors

PATH_VARIABLE = "PLOVERWARD_NODE_FILE"  # the environment's variable that names the file
BOUND_NAMES = ("contactMs", "receiptMs", "drainMs", "graceS", "applyMs", "evacuateMs")  # required, and above 0
MAX_PORT = 65535
DEFAULT_USAGE_WINDOW_S = 5.0
DEFAULT_USAGE_LATE_S = 10.0
USAGE_DUTY = "metering"  # among `platform_duties`
BATCH_DEPLOYMENT = "batch"  # a kind of deployment with stores
DEFAULT_MEMORY_MB = 256.0
DEFAULT_FILE_HANDLES = 1024.0
DEFAULT_CLOUD_CALLS_PER_S = 10.0

Address = tuple[str, int]
FileSignature = tuple[int, int, int]  # time of the last change in nanoseconds, size in bytes, inode


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """One valid settings file.

    Attributes:
        node: The node's name.
        ip: The address that peers reach it at.
        zone: Where it runs.
        region: The zone's region.
        zones: Region by zone, of all zones.
        bindings: Address by name, of the interfaces that are published.
        inner_ports: The first and the last port for connections between nodes.
        seeds: Core nodes that a starting node asks first.
        first_start: Whether the seeds may found the core set, should no disk have one.
        data_dir: The folder of a core node's files; empty for proxies.
        memory_mb: Memory of the machine, in MiB.
        handles: Limit of open files.
        disk_mb: Size of the disk in MiB; 0 where it is not known.
        cloud_address: Where the platform's API is.
        cloud_per_s: How many calls a second the platform's API takes.
        cloud_lag_s: How much older than its answer the platform's list may be, in seconds.
        bounds: Number by name, in the unit at the name's end.
        raw: Each field's text, also of unknown ones.
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
        """Returns a bound in its own unit, or `default` where the file does not state it."""
        return float(self.bounds.get(name, default))

    def bound_s(self, *, name: str, default: float = 0.0) -> float:
        """Returns a bound that is stated in milliseconds, in seconds; `default` is in milliseconds."""
        return self.bound(name=name, default=default) / 1000.0

    @property
    def tolerated_machines(self) -> int:
        """How many counted machines may be lost at once; a minority of the seeds where the settings do not say."""
        configured = self.raw.get("tolerate.machines", "")
        return int(configured) if configured.isdigit() else (len(self.seeds) - 1) // 2

    @property
    def deployment(self) -> str:
        """The kind of deployment; empty where the file does not name one."""
        return self.raw.get("deployment", "")

    @property
    def platform_duties(self) -> frozenset[str]:
        """The calls to the platform that one node at a time makes, by the names of the settings; often none."""
        return frozenset(self.raw.get("cloudApi.duties", "").split(",")) - {""}

    @property
    def usage_window_s(self) -> float:
        """Length of a window of the reports of use."""
        return self.bound(name="usageWindowS", default=DEFAULT_USAGE_WINDOW_S)

    @property
    def usage_late_s(self) -> float:
        """When the report of a window is due after its end."""
        return self.bound(name="usageLateS", default=DEFAULT_USAGE_LATE_S)

    @property
    def core_port(self) -> int:
        """The port at which core nodes take connections of other nodes."""
        return self.inner_ports[0]

    @property
    def proxy_port(self) -> int:
        """The port at which proxies take connections of other nodes."""
        return self.inner_ports[0] + 1


def parse_address(*, text: str, field: str) -> Address:
    """Reads `ADDRESS:PORT`.

    Args:
        text: What was given.
        field: The field or flag that it was given by, for the error.

    Raises:
        SettingsError: It is no address.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise errors.SettingsError(f"{field}: '{text}' is not an ADDRESS:PORT", step="settings")
    return (host, int(port))


def parse_lines(*, text: str) -> dict[str, str]:
    """Reads fields without judging their values; empty lines and those that begin with '#' are skipped.

    Raises:
        SettingsError: A line has no '='.
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
    """Reads values of the fields by their types; raises `SettingsError` with the field's name."""

    def __init__(self, fields: dict[str, str]) -> None:
        self._fields = fields

    def text(self, name: str, *, default: str | None = None) -> str:
        """Returns a field's text; without a default it must be there and not be empty."""
        if default is not None:
            return self._fields.get(name, default)
        if self._fields.get(name, "") == "":
            raise errors.SettingsError(f"{name}: missing", step="settings")
        return self._fields[name]

    def number(self, name: str, *, default: float | None = None) -> float:
        """Returns a field's number, or `default` where the field is missing or empty."""
        value = self._fields.get(name, "")
        if value == "" and default is not None:
            return default
        try:
            return float(self.text(name))
        except ValueError:
            raise errors.SettingsError(f"{name}: '{value}' is not a number", step="settings") from None

    def flag(self, name: str) -> bool:
        """Returns a field that is `true` or `false`; false where it is missing."""
        value = self._fields.get(name, "false").lower()
        if value not in ("true", "false"):
            raise errors.SettingsError(f"{name}: '{value}' is neither true nor false", step="settings")
        return value == "true"

    def below(self, prefix: str) -> dict[str, str]:
        """Returns the fields whose names begin with `prefix`, by the rest of their names."""
        return {name.removeprefix(prefix): value for name, value in self._fields.items() if name.startswith(prefix)}

    def port_range(self, name: str) -> tuple[int, int]:
        """Returns the first and the last port of `FIRST,LAST`."""
        ports = self.text(name).split(",")
        if len(ports) != 2 or not all(port.strip().isdigit() for port in ports) or int(ports[0]) >= int(ports[1]):
            raise errors.SettingsError(f"{name}: needs FIRST,LAST", step="settings")
        return (int(ports[0]), int(ports[1]))

    def addresses(self, name: str) -> tuple[Address, ...]:
        """Returns a list of addresses that are parted by commas."""
        parts = (part.strip() for part in self.text(name).split(","))
        return tuple(parse_address(text=part, field=name) for part in parts if part)

    def bounds(self) -> dict[str, float]:
        """Returns all bounds as numbers (true is 1, false 0); those of `BOUND_NAMES` must be above 0."""
        found = {}
        for name, value in self.below("bounds.").items():
            is_flag = value in ("true", "false")
            found[name] = float(value == "true") if is_flag else self.number(f"bounds.{name}")
        if self._fields.get("deployment") == BATCH_DEPLOYMENT:
            # Its operators evacuate nothing, and do not say how soon that would have to be acknowledged.
            found.setdefault("evacuateMs", found.get("receiptMs", 0.0))
        for name in BOUND_NAMES:
            if found.get(name, 0.0) <= 0.0:
                raise errors.SettingsError(f"bounds.{name}: missing or not above 0", step="settings")
        return found


def check(*, text: str) -> Settings:
    """Reads the text of a settings file.

    Raises:
        SettingsError: A field is missing or malformed; the text names the first one found.
    """
    fields = parse_lines(text=text)
    reader = _FieldReader(fields)
    inner_ports = reader.port_range("innerPortRange")
    seeds = reader.addresses("seedNodes")
    bindings = {
        name: parse_address(text=value, field=f"bindings.{name}") for name, value in reader.below("bindings.").items()
    }
    bounds = reader.bounds()
    return Settings(
        node=reader.text("node"),
        ip=reader.text("ip"),
        zone=reader.text("zone"),
        region=reader.text("region"),
        zones=reader.below("zones."),
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
        SettingsError: The environment does not name one.
    """
    value = os.environ.get(PATH_VARIABLE, "")
    if not value:
        raise errors.SettingsError(f"{PATH_VARIABLE} is not set", step="settings")
    return value


def load() -> Settings:
    """Reads this process's settings file.

    Raises:
        SettingsError: It can't be read, or a field is missing or malformed.
    """
    name = path()
    try:
        with open(name, encoding="utf-8") as handle:
            text = handle.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{name}: {error}", step="settings") from None
    return check(text=text)


class FileWatch:
    """Finds out whether the settings file was changed, for platforms that send no signal when they replace it."""

    def __init__(self) -> None:
        self._signature = self._read_signature()

    def _read_signature(self) -> FileSignature | None:
        try:
            found = os.stat(path())
        except OSError:
            return None
        return (found.st_mtime_ns, found.st_size, found.st_ino)

    def is_changed(self) -> bool:
        """Whether the file differs from what it was at the last call; one that can't be read counts as unchanged."""
        signature = self._read_signature()
        if signature is None or signature == self._signature:
            return False
        self._signature = signature
        return True
