"""The chosen register values that several parts of a core node act on (docs/register.md)."""

from ploverward.control_plane.configuration import evacuations


class InstalledState:
    """The newest chosen configuration and evacuations, as far as this node knows.

    Attributes:
        configuration: The body of the configuration in force, or None before there is one.
        evacuated_zones: Zones that operators evacuated.
    """

    def __init__(self) -> None:
        self.configuration: dict | None = None
        self.evacuated_zones: set[str] = set()

    @property
    def has_tenants(self) -> bool:
        """Whether the configuration names tenants."""
        return (self.configuration or {}).get("senders") is not None

    def install_configuration(self, payload: dict | None) -> None:
        """Installs a chosen value of the configuration's register."""
        self.configuration = payload["body"] if payload else None

    def install_evacuations(self, payload: dict | None) -> None:
        """Installs a chosen value of the evacuations' register."""
        self.evacuated_zones = evacuations.zones_of(payload)
