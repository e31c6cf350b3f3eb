"""Routes of the configuration in force: by host and longest prefix (design 7)."""

from ploverward.data_plane.quotas import tenant_admission


class Route:
    def __init__(self, *, body: dict):
        self.name = body["name"]
        self.kind = body["kind"]
        self.expiry_s = float(body["expiryMs"]) / 1000.0
        self.target_s = float(body.get("targetMs") or 0) / 1000.0
        self.gap_s = float(body.get("gapTargetMs") or 0) / 1000.0
        self.priority = int(body.get("urgency") or 0)
        self.tries = int(body.get("tries") or 1)
        self.is_keyless = bool(body.get("keyless"))
        self.is_sticky = bool(body.get("sticky"))
        self.is_stream = self.kind == "streaming"
        self.is_resumable = bool(body.get("resume"))
        self.is_idempotent = self.kind == "retry_safe" or (self.is_stream and self.is_resumable)
        self.homes = tuple(body.get("homeRegions") or ())
        if body.get("apportion") is not None:
            self.portions = [(part["destination"], float(part["share"])) for part in body["apportion"]]
        else:
            self.portions = [(body["destination"], 1.0)]

    def pick(self, chance: float) -> str:
        left = chance * sum(share for _name, share in self.portions)
        for name, share in self.portions:
            left -= share
            if left < 0:
                return name
        return [name for name, share in self.portions if share > 0][-1]


class Routes:
    def __init__(self, *, body=None):
        self.edition = body["edition"] if body else 0
        self.tenant_directory = tenant_admission.tenant_directory_of(body)  # None: nobody needs a key
        self._hosts = {}
        for row in (body or {}).get("routes", ()):
            self._hosts.setdefault(row["host"].lower(), {})[row["pathLead"]] = Route(body=row)

    def homes(self) -> dict:
        """Route name: its home regions."""
        return {route.name: route.homes for table in self._hosts.values() for route in table.values()}

    def tenant_homes(self) -> dict:
        """Tenant: its home regions."""
        named = self.tenant_directory.by_name if self.tenant_directory is not None else {}
        return {name: tenant.homes for name, tenant in named.items()}

    def find(self, *, host: str, target: bytes):
        prefixes = self._hosts.get(host.lower()) or self._hosts.get(host.lower().rpartition(":")[0])
        if not prefixes:
            return None
        path = target.decode("latin-1").partition("?")[0]
        if path.startswith("http://"):
            path = "/" + path[7:].partition("/")[2]
        end = len(path)
        while end >= 0:
            slash_offset = path.rfind("/", 0, end)
            if slash_offset < 0:
                return None
            route = prefixes.get(path[: slash_offset + 1])
            if route is not None:
                return route
            end = slash_offset
        return None


def _names(value) -> list:
    return [name for name in value if isinstance(name, str)] if isinstance(value, list) else []


def services(*, body: dict) -> dict:
    table = {}
    for row in body.get("destinations", ()):
        engine = row.get("engine") or {}
        table[row["name"]] = {
            "health": row.get("health", "/health"),
            "max_conns": int(row.get("maxConns") or 64),
            "warmup_s": float(row.get("warmupS") or 0),
            "warmup_per_s": float(row.get("warmupPerS") or 0),
            "cache_tokens": int(engine.get("cacheTokens") or 0),
            "berths": int(engine.get("berths") or 0),
            "models": tuple(model["name"] for model in engine.get("models") or ()),
            "adapters": tuple(
                (model["name"], name) for model in engine.get("models") or () for name in _names(model.get("adapters"))
            ),
        }
    return table
