"""Adapter counts and custody trails that proxies report, for operators (docs/pins.md, docs/residency.md)."""

import json


from pw.ctl.adapters import ledger as adapter_ledgers
from pw.ctl.custody import ledger as ledgers


CUSTODY_CONTACTS = 720  # trails are kept for so many contactMs: an hour, at 5 s


class AdaptersMixin:
    """What the proxies counted of adapters, for operators (docs/pins.md)."""

    def start_adapters(self) -> None:
        self.adapters = adapter_ledgers.Ledger(now=self.loop.now, window_s=self.contact_s * 6)

    def _get_adapters(self, ask, _request) -> None:
        held = self.desk.get("list")
        listed = json.loads(held[2])["replicas"] if held is not None else []
        self._json(
            ask,
            200,
            {
                "node": self.settings.node,
                "window_s": self.contact_s * 6,
                "windows": self.adapters.rows(),
                "malformed": self.adapters.malformed,
                "malformed_replicas": [row["id"] for row in listed if row.get("is_malformed")],
                "zones": self.settings.zones,
                "replicas": [
                    {
                        "id": row["id"],
                        "service": row["service"],
                        "zone": row["zone"],
                        "region": self.settings.zones.get(row["zone"], ""),
                        "is_clearing": row["is_clearing"],
                        "models": row["models"],
                        "adapters": row.get("adapters", []),
                    }
                    for row in listed
                ],
                "proxies": [
                    {"address": peer.address, "life": peer.life, "zone": peer.zone}
                    for peer in self.proxies(is_listed=False)
                ],
            },
        )


class CustodyMixin:
    """Custody trails, for operators (design 10, docs/residency.md)."""

    def start_custody(self) -> None:
        self.ledger = ledgers.Ledger(
            now=self.loop.now, keep_s=self.contact_s * CUSTODY_CONTACTS, most=int(self.settings.memory_mb * 60)
        )
        self._kept_asked = {}
        self._kept_number = 0

    def _get_trail(self, ask, _request, ask_id: str) -> None:
        trails = self.ledger.find(ask_id)
        if not trails:
            self._json(ask, 404, {"error": f"no trail of '{ask_id}' here", "node": self.settings.node})
            return
        waiting = [trail for trail in trails if trail["parts"]]
        if not waiting or not self.proxies():
            self._json(ask, 200, {"node": self.settings.node, "trails": trails, "kept_known": not waiting})
            return
        trail = waiting[-1]

        def done(rows):
            self.loop.cancel(timer=timer)
            if rows is not None:
                trail["kept"] = rows
            self._json(ask, 200, {"node": self.settings.node, "trails": trails, "kept_known": rows is not None})

        self._kept_number += 1
        number = self._kept_number
        self._kept_asked[number] = done
        timer = self.loop.after(
            delay=self.receipt_s / 12, act=lambda: done(None) if self._kept_asked.pop(number, None) else None
        )
        self.proxies()[0].link.send(
            (
                "keeps",
                number,
                trail["service"],
                trail["model"],
                tuple((bytes.fromhex(part),) for part in trail["parts"]),
            )
        )

    def _get_trails(self, ask, request) -> None:
        after = request.args.get("after", "0")
        rows, last, has_more = self.ledger.page(after=int(after) if after.isdigit() else 0, most=500)
        live_lives = {peer.life for peer in self.proxies(is_listed=False)}
        live = {key for key in self.ledger.lives if key[1] in live_lives}
        self._json(
            ask,
            200,
            {
                "node": self.settings.node,
                "trails": rows,
                "last": last,
                "has_more": has_more,
                "coverage": self.ledger.coverage(live=live),
                "zones": self.settings.zones,
                "keep_s": self.contact_s * CUSTODY_CONTACTS,
            },
        )
