"""The operators' target, from their page: sizes only, no constant of any code."""

import typing


class Target(typing.NamedTuple):
    """Sizes, and limits of what a node may use for control."""

    proxies: int = 330
    replicas: int = 920
    regions: int = 5
    zones: int = 12
    requests_s: int = 15000
    cores: int = 6  # core nodes
    changes_day: int = 4100  # of the configuration
    restarts_day: int = 172
    cpu_part: float = 0.017  # of a core
    memory_mb: int = 128
    bytes_s: int = 8000


TARGET = Target()
