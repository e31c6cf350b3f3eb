"""Stores the usage report that is agreed on before it is first sent, so that every owner of the duty sends the same.

The report is a row of the singleton-roles register: the number of the window, and the tallies as compressed JSON. The
report of a window is agreed on only after the platform accepted the previous one, so one row is enough
(docs/platform-duties.md 3).
"""

from __future__ import annotations

import base64
import json
import typing
import zlib
from collections.abc import Mapping

from ploverward.common import errors
from ploverward.control_plane.usage import usage_table

ROLE = "usage"  # key of the row in the register


class UsageReport(typing.NamedTuple):
    """A usage report of one window.

    Attributes:
        window: Number of the window.
        tallies: Number of requests of each tenant.
    """

    window: int
    tallies: usage_table.Tallies


def agreed_report(roles: Mapping[str, typing.Sequence]) -> UsageReport | None:
    """Returns the newest agreed report, or None if there is none yet.

    Raises:
        StorageError: The row cannot be decoded.
    """
    row = roles.get(ROLE)
    if row is None:
        return None
    window, packed, _unused = row
    try:
        tallies = json.loads(zlib.decompress(base64.b85decode(packed)))
    except (ValueError, zlib.error) as error:
        raise errors.StorageError(f"usage report of window {window} cannot be decoded: {error}", step="read") from error
    return UsageReport(window, tallies)


def with_report(roles: Mapping[str, typing.Sequence], report: UsageReport) -> dict[str, typing.Sequence]:
    """Returns the register with this report, or an unchanged copy if it has one of the same or a later window."""
    known = agreed_report(roles)
    if known is not None and known.window >= report.window:
        return {**roles}
    text = json.dumps(report.tallies, separators=(",", ":"), sort_keys=True)
    return {**roles, ROLE: [report.window, base64.b85encode(zlib.compress(text.encode())).decode(), ""]}
