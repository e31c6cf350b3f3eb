"""The exception tree. Every problem carries the step and the peer at which it arose (design 2)."""


class PloverwardError(Exception):
    def __init__(self, text: str, *, step: str = "", peer: str = ""):
        super().__init__(text)
        self.text = text
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.peer) if part)
        return f"{self.text} [{where}]" if where else self.text


class SettingsError(PloverwardError):
    pass


class FrameError(PloverwardError):
    pass


class StorageError(PloverwardError):
    pass


class QuorumUnavailableError(PloverwardError):
    """No majority answered in time."""


class InvalidConfigurationError(PloverwardError):
    """A configuration that can't be in force; `place` names the field."""

    def __init__(self, text: str, *, field_path: str = "", step: str = "check", peer: str = ""):
        super().__init__(text, step=step, peer=peer)
        self.field_path = field_path


class RolloutInProgressError(PloverwardError):
    """Another roll-out of the service is not done; `target` is its version."""

    def __init__(self, *, target: str, step: str = "roll-out", peer: str = ""):
        super().__init__(f"a roll-out to {target} is under way", step=step, peer=peer)
        self.target = target


class StaleVersionError(PloverwardError):
    """The change was built on another version than the current one."""

    def __init__(self, *, current: int, step: str = "change", peer: str = ""):
        super().__init__(f"current edition is {current}", step=step, peer=peer)
        self.current = current
