"""Types of what the replicated registers store, and of the edits that change it.

A payload is what JSON gives for a register's value. Each register has one module that knows the keys in its payload:
`orders`, `order_archive` and `evacuations` in this folder, `ploverward.control_plane.rollouts.state` for roll-outs.
"""

import collections.abc
import typing

Payload: typing.TypeAlias = collections.abc.Mapping[str, typing.Any] | None  # None: the register was never written

# Makes the new payload of the present one, and a result for the caller of the change. An edit that changes nothing
# returns the payload it got. It may run several times for one change, so it has to recognise its own earlier work.
Edit: typing.TypeAlias = collections.abc.Callable[[Payload], tuple[Payload, typing.Any]]
