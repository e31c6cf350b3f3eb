"""ploverward tenants: limits of tenants, how they stand, which keys they have, by digest (docs/quotas.md 6)."""

import json

from ploverward.common import errors

PATH = "/ploverward/tenants"
DONE, MISSING = 0, 3


def run(*, core_client, as_json: bool, out) -> int:
    """Tells what each core node in reach reckons. 3 where one is out of reach or names no tenants."""
    answers, missed = core_client.all(path=PATH)
    responses = {address: body for address, (status, body) in answers.items() if status == 200}
    if not responses:
        raise errors.PloverwardError("no core node answers", step="tenants")
    if as_json:
        out(json.dumps({"told": responses, "unreachable": missed}, indent=2))
    else:
        for line in lines(responses=responses, missed=missed):
            out(line)
    has_tenants = any(body["tenants"] for body in responses.values())
    return DONE if has_tenants and not missed else MISSING


def lines(*, responses: dict, missed: dict) -> list:
    """One line a tenant; levels as the core nodes reckon them, the least of them first."""
    newest = max(responses.values(), key=lambda body: body["edition"])
    found = [f"edition {newest['edition']}, {newest['proxies']} proxies count, {len(responses)} core nodes answer"]
    for name, row in sorted(newest["tenants"].items()):
        found.append(
            f"{name}: {_limit(row)}; {_quota_status(name, responses)}; keys {', '.join(row['keys']) or 'none'}"
        )
    if not newest["tenants"]:
        found.append("no tenants: nobody needs a key")
    found += [f"{address}: out of reach: {why}" for address, why in sorted(missed.items())]
    return found


def _limit(row: dict) -> str:
    return f"{row['perS']:g} a second and {row['burst']:g} at once" if row["perS"] else "no limit"


def _quota_status(name: str, responses: dict) -> str:
    rows = [body["tenants"].get(name, {}) for body in responses.values()]
    levels = sorted(row["level"] for row in rows if "level" in row)
    if not levels:
        return "not counted"
    wanting = sum(bool(row.get("wantsCredits")) for row in rows)
    state = f", wants credits by {wanting} of {len(rows)}" if wanting else ""
    return f"left {levels[0]:g} to {levels[-1]:g}{state}"
