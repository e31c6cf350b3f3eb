"""Chosen register values that several components of a core node act on (docs/register.md)."""

from ploverward.control_plane.configuration import evacuations


class InstalledState:
    """The newest chosen configuration and evacuations, as far as this node knows.

    Attributes:
        configuration: The body of the newest chosen configuration, or None if none is known.
        evacuated_zones: The zones that operators have evacuated.
    """

    def __init__(self) -> None:
        self.configuration: dict | None = None
        self.evacuated_zones: set[str] = set()

    @property
    def has_tenants(self) -> bool:
        """Whether the configuration defines tenants."""
        return (self.configuration or {}).get("senders") is not None

    def install_configuration(self, payload: dict | None) -> None:
        """Installs a chosen value of the configuration register."""
        self.configuration = payload["body"] if payload else None

    def install_evacuations(self, payload: dict | None) -> None:
        """Installs a chosen value of the evacuations register."""
        self.evacuated_zones = evacuations.zones_of(payload)
