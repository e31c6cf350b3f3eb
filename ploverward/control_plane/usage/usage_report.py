"""The report that is being made: agreed on before it is first sent, and sent unchanged by whoever owns the duty.

It is a row of the register of singleton roles: the window's number, and the tallies as compressed JSON. A window is
agreed on only once the report of the one before was accepted, so there is one row (docs/platform-duties.md 3).
"""

from __future__ import annotations

import base64
import json
import typing
import zlib
from collections.abc import Mapping

from ploverward.common import errors
from ploverward.control_plane.usage import usage_table

ROLE = "usage"


class UsageReport(typing.NamedTuple):
    """A report.

    Attributes:
        window: Number of the window.
        tallies: Requests by tenant.
    """

    window: int
    tallies: usage_table.Tallies


def report_of(roles: Mapping[str, typing.Sequence]) -> UsageReport | None:
    """Returns the newest report that was agreed on, None before the first.

    Raises:
        StorageError: The row can't be read.
    """
    row = roles.get(ROLE)
    if row is None:
        return None
    window, packed, _unused = row
    try:
        tallies = json.loads(zlib.decompress(base64.b85decode(packed)))
    except (ValueError, zlib.error) as error:
        raise errors.StorageError(f"usage of window {window}: {error}", step="read") from error
    return UsageReport(window, tallies)


def with_report(roles: Mapping[str, typing.Sequence], report: UsageReport) -> dict[str, typing.Sequence]:
    """Returns the register with a report, unchanged where it has one of the same window or a later one."""
    known = report_of(roles)
    if known is not None and known.window >= report.window:
        return {**roles}
    text = json.dumps(report.tallies, separators=(",", ":"), sort_keys=True)
    return {**roles, ROLE: [report.window, base64.b85encode(zlib.compress(text.encode())).decode(), ""]}
