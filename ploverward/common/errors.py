"""The errors of this package: one tree, a class for each outcome that a caller can act on.

Callers tell errors apart by their class and attributes, never by their text. Texts are for people: tools print them,
and the operators' interfaces answer with them.
"""


class PloverwardError(Exception):
    """The root of all errors that this package raises on purpose.

    Catch it only where every such error ends alike: the command line prints it and exits, the operators' interface
    answers 503. Any other exception is a fault of the software.

    Args:
        text: What went wrong, for people, without a full stop.
        step: What was being done: a verb of the command line, a call, or a stage of the start.
        peer: With whom or about what: an address, a folder, a zone or a service.

    Attributes:
        text: As given; `str()` of the error adds `[step peer]` where they are known.
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
    """The settings file, or an address given in its form, is missing or malformed; the text begins with the field.

    Raised by `common.settings`. A node that starts exits with 2; one that runs keeps the settings that it has.
    """


class FrameError(PloverwardError):
    """Bytes from a peer are no valid frame, or a frame's content does not fit what came before.

    Raised by the codecs and by those who follow a stream. The connection is closed and made anew: a stream of frames
    can't be read on after an error.
    """


class StorageError(PloverwardError):
    """A stored file is damaged other than at its end, where a loss of power may tear it.

    Raised by the stores of a core node at their start. The node learns its state anew from its peers before it votes.
    """


class TallyMergeError(PloverwardError):
    """Adds or a snapshot of tallies do not follow what this node has.

    Raised where they are merged or sent. Nothing was changed; the connection is closed, and both sides begin anew with
    their positions.
    """


class QuorumUnavailableError(PloverwardError):
    """No majority of the core set answered in time; whether the order takes effect is not known.

    Raised by what waits for a majority. The caller sends the same order again: orders are idempotent.
    """


class InvalidConfigurationError(PloverwardError):
    """A configuration, or a patch of one, that can't come into force.

    Raised by the checks of `control_plane.configuration`. The caller corrects the field; sent again it fails alike.

    Args:
        text: What is wrong with the field.
        field_path: The field, by names and list positions joined with full stops.
        step: As in `PloverwardError`.
        peer: As in `PloverwardError`.

    Attributes:
        field_path: As given; the interface's answer calls it `place`.
    """

    def __init__(self, text: str, *, field_path: str = "", step: str = "check", peer: str = "") -> None:
        super().__init__(text, step=step, peer=peer)
        self.field_path = field_path


class RolloutInProgressError(PloverwardError):
    """Another roll-out of the service is not finished.

    Raised where a roll-out is ordered. The caller waits for its end (`ploverward rollout watch`), or orders the same
    target again, which changes nothing.

    Args:
        target: The version that the roll-out under way leads to.
        step: As in `PloverwardError`.
        peer: The service.

    Attributes:
        target: As given.
    """

    def __init__(self, *, target: str, step: str = "roll-out", peer: str = "") -> None:
        super().__init__(f"a roll-out to {target} is under way", step=step, peer=peer)
        self.target = target


class StaleVersionError(PloverwardError):
    """The change was built on another version than the current one.

    Raised where a conditional change meets its register. The caller reads, merges and sends again.

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


class CoreUnreachableError(PloverwardError):
    """A core node gave no clear answer to an operators' tool: no connection, no answer in time, 307, 408, 429 or 5xx.

    Raised by `command_line.core_client`, with the node's address as `peer`. The tool tries another core node; an order
    may have taken effect.
    """


class UnexpectedAnswerError(PloverwardError):
    """A core node answered a tool's reading call with a clear status other than 200.

    Raised by verbs of the command line, which end with 2.

    Args:
        status: The HTTP status.
        step: The verb.

    Attributes:
        status: As given.
    """

    def __init__(self, *, status: int, step: str) -> None:
        super().__init__(f"the core answers {status}", step=step)
        self.status = status


class InvalidArgumentError(PloverwardError):
    """An argument or flag of the command line names something unknown, or is out of its range.

    Raised by verbs before anything is done; the command ends with 2.
    """


class InsufficientDataError(PloverwardError):
    """What a tool would need for its answer could not be read, and a part of it would mislead.

    Raised by verbs that only read; the command ends with 2. Try again once more core nodes are in reach.
    """


class KeptEditionError(PloverwardError):
    """A repository of configurations has no such edition, or already has one that is as new.

    Raised by `command_line.keep`, with the folder as `peer`. Nothing was written.
    """
