"""Exceptions of this package: one hierarchy, with a class for each outcome that a caller can act on.

Callers distinguish errors by class and attributes, never by text. Texts are for people: tools print them, and the
operator API returns them.
"""


class PloverwardError(Exception):
    """Base class of all errors that this package raises deliberately.

    Catch it only where all such errors are handled alike: the command line prints it and exits, the operator API
    responds with 503. Any other exception is a bug.

    Args:
        text: Description of the error for people, without a full stop.
        step: The operation that failed: a verb of the command line, a call, or a stage of the start.
        peer: The object of the operation: an address, a folder, a zone or a service.

    Attributes:
        text: As given; `str()` of the error appends `[step peer]` if they are known.
        step: As given.
        peer: As given.
    """

    def __init__(self, text: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(text)
        self.text = text
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = " ".join(part for part in (self.step, self.peer) if part)
        return f"{self.text} [{where}]" if where else self.text


class SettingsError(PloverwardError):
    """The settings file, or an address in its format, is missing or malformed; the text begins with the field.

    Raised by `common.settings`. A starting node exits with 2; a running node keeps its current settings.
    """


class FrameError(PloverwardError):
    """Bytes from a peer are not a valid frame, or a frame's content contradicts the frames before it.

    Raised by the codecs and by the consumers of a stream. The connection is closed and established again, as a stream
    of frames can't be decoded any further after an error.
    """


class StorageError(PloverwardError):
    """A stored file is damaged before its end; a torn end is normal after a power failure and no error.

    Raised by the stores of a core node at startup. The node fetches its state from its peers again before it votes.
    """


class TallyMergeError(PloverwardError):
    """Received adds or a snapshot of tallies do not continue the state of this node.

    Raised where tallies are merged or sent. Nothing was changed; the connection is closed, and both sides start again
    by exchanging their positions.
    """


class QuorumUnavailableError(PloverwardError):
    """No majority of the core set answered in time; it is unknown whether the order takes effect.

    Raised by operations that wait for a majority. The caller repeats the same order, as orders are idempotent.
    """


class InvalidConfigurationError(PloverwardError):
    """A configuration, or a patch of one, is invalid and can't be applied.

    Raised by the checks of `control_plane.configuration`. The caller has to correct the field; a retry fails again.

    Args:
        text: What is wrong with the field.
        field_path: Path of the field: names and list positions joined with full stops.
        step: As in `PloverwardError`.
        peer: As in `PloverwardError`.

    Attributes:
        field_path: As given; called `place` in responses of the operator API.
    """

    def __init__(self, text: str, *, field_path: str = "", step: str = "check", peer: str = "") -> None:
        super().__init__(text, step=step, peer=peer)
        self.field_path = field_path


class RolloutInProgressError(PloverwardError):
    """Another roll-out of the service is not finished.

    Raised when a roll-out is ordered. The caller waits for its end (`ploverward rollout watch`), or orders the same
    target again, which changes nothing.

    Args:
        target: Target version of the roll-out in progress.
        step: As in `PloverwardError`.
        peer: The service.

    Attributes:
        target: As given.
    """

    def __init__(self, *, target: str, step: str = "roll-out", peer: str = "") -> None:
        super().__init__(f"a roll-out to {target} is under way", step=step, peer=peer)
        self.target = target


class StaleVersionError(PloverwardError):
    """A change was based on another edition than the current one.

    Raised when a conditional change is applied to its register. The caller reads the current value, merges its change
    and sends it again.

    Args:
        current: The current edition.
        step: As in `PloverwardError`.
        peer: As in `PloverwardError`.

    Attributes:
        current: As given.
    """

    def __init__(self, *, current: int, step: str = "change", peer: str = "") -> None:
        super().__init__(f"current edition is {current}", step=step, peer=peer)
        self.current = current


class TooFewStoresError(PloverwardError):
    """The retirement of a store would leave stores in too few zones for all copies of a partition.

    Raised when the order is applied to its register; nothing is changed. The caller adds a store first.
    """


class CoreUnreachableError(PloverwardError):
    """A core node gave no conclusive response to a tool: no connection, a timeout, or status 307, 408, 429 or 5xx.

    Raised by `command_line.core_client`, with the node's address as `peer`. The tool tries another core node; an order
    may have taken effect.
    """


class UnexpectedAnswerError(PloverwardError):
    """A core node responded to a read call of a tool with a conclusive status other than 200.

    Raised by verbs of the command line, which exit with 2.

    Args:
        status: The HTTP status.
        step: The verb of the command line.

    Attributes:
        status: As given.
    """

    def __init__(self, *, status: int, step: str) -> None:
        super().__init__(f"the core answers {status}", step=step)
        self.status = status


class InvalidArgumentError(PloverwardError):
    """An argument or flag of the command line is unknown or out of range.

    Raised by verbs before they do anything; the command exits with 2.
    """


class InsufficientDataError(PloverwardError):
    """Data that a tool needs could not be read, and a partial result would mislead.

    Raised by verbs that only read; the command exits with 2. Retry when more core nodes are reachable.
    """


class KeptEditionError(PloverwardError):
    """A repository of configurations does not have the edition, or already has one that is as new.

    Raised by `command_line.keep`, with the folder as `peer`. Nothing was written.
    """
