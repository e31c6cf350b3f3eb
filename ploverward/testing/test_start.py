"""Tests that a starting node loads no libraries that only calls or other roles need, which would delay each start."""

import subprocess
import sys

import pytest

LIST_MODULES = "import sys, {module}; print(*sorted(name for name in sys.modules if '.' not in name))"


def loaded_modules(module):
    done = subprocess.run(
        [sys.executable, "-c", LIST_MODULES.format(module=module)], capture_output=True, text=True, check=True
    )
    return set(done.stdout.split())


@pytest.mark.parametrize(
    "module, kept_out",
    [
        ("ploverward.control_plane.core_node", {"pydantic", "dulwich"}),
        ("ploverward.data_plane.proxy_node", {"pydantic", "dulwich", "werkzeug", "pycurl", "email", "ssl"}),
        ("ploverward.store.store_node", {"pydantic", "dulwich", "werkzeug"}),
    ],
)
def test_node_start_does_not_load_unneeded_libraries(module, kept_out):
    assert not loaded_modules(module) & kept_out
