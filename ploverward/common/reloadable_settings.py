"""The settings in force, and how newer ones replace them while a node runs (docs/operations.md)."""

import logging
from collections.abc import Callable

from ploverward.common import errors
from ploverward.common import settings

_log = logging.getLogger(__name__)


class ReloadableSettings:
    """The settings of one process.

    Args:
        initial: The settings with which the process was started.
        load: Reads the settings file; raises `SettingsError` where it is not valid.
        file_watch: Finds out whether the file was changed; None: nobody looks.

    Attributes:
        current: The settings in force; a file that is not valid leaves them as they are.
    """

    def __init__(
        self,
        *,
        initial: settings.Settings,
        load: Callable[[], settings.Settings] = settings.load,
        file_watch: settings.FileWatch | None = None,
    ) -> None:
        self._load = load
        self._file_watch = file_watch
        self.current = initial

    def reload(self) -> None:
        """Reads the settings file again."""
        try:
            self.current = self._load()
        except errors.SettingsError as error:
            _log.error("settings_rejected", extra={"fault": str(error)})

    def reload_if_changed(self) -> bool:
        """Reads the settings file again where it was changed, for operators that send no signal.

        Returns:
            Whether it was changed.
        """
        is_changed = self._file_watch is not None and self._file_watch.is_changed()
        if is_changed:
            self.reload()
        return is_changed
