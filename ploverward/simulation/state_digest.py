"""Digests of the code that a simulation runs, which identify the code behind reported counts of runs."""

import hashlib
import pathlib
from collections.abc import Iterable

PACKAGE = pathlib.Path(__file__).parents[1]
DIGEST_BYTES = 6


def digest(paths: Iterable[str]) -> str:
    """Returns a digest of all modules below these paths except tests; changes elsewhere do not affect it.

    Args:
        paths: Files and folders, relative to the package.

    Raises:
        FileNotFoundError: One of the paths does not exist.
    """
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for module in sorted({module for path in paths for module in _modules(PACKAGE / path)}):
        found.update(module.relative_to(PACKAGE).as_posix().encode() + b"\0")
        found.update(module.read_bytes() + b"\0")
    return found.hexdigest()


def _modules(path: pathlib.Path) -> list[pathlib.Path]:
    if not path.exists():
        raise FileNotFoundError(path)
    modules = [path] if path.is_file() else path.rglob("*.py")
    return [module for module in modules if not module.name.startswith("test_")]
