"""The types of the payloads of replicated registers, and of the edits that change them.

A payload is the decoded JSON of a register's value. For each register a single module knows the keys of its payload:
`orders`, `order_archive` and `evacuations` in this folder, `ploverward.control_plane.rollouts.state` for roll-outs.
"""

import collections.abc
import typing

Payload: typing.TypeAlias = collections.abc.Mapping[str, typing.Any] | None  # None: the register was never written

# Maps the current payload to the new one and a result for the caller. An edit that changes nothing returns the payload
# that it received. It may run several times for one change, so it has to recognise that it has taken effect already.
Edit: typing.TypeAlias = collections.abc.Callable[[Payload], tuple[Payload, typing.Any]]
