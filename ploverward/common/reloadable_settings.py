"""Current settings of a node, which can be reloaded while it runs (docs/operations.md)."""

import logging
from collections.abc import Callable

from ploverward.common import errors
from ploverward.common import settings

_log = logging.getLogger(__name__)


class ReloadableSettings:
    """Settings of a process that can be reloaded.

    Args:
        initial: The settings that the process was started with.
        load: Reads the settings file; raises `SettingsError` if it is invalid.
        file_watch: Detects changes of the file; None if the file is not checked for changes.

    Attributes:
        current: The current settings; an invalid file leaves them unchanged.
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
        """Reads the settings file again; logs an error and keeps the current settings if it is invalid."""
        try:
            self.current = self._load()
        except errors.SettingsError as error:
            _log.error("settings_rejected", extra={"fault": str(error)})

    def reload_if_changed(self) -> bool:
        """Reads the settings file again if it has changed, for operators that do not send a signal.

        Returns:
            Whether the file has changed.
        """
        is_changed = self._file_watch is not None and self._file_watch.is_changed()
        if is_changed:
            self.reload()
        return is_changed
