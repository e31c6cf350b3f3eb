"""The status that a proxy returns to readiness checks."""

import pytest

from ploverward.data_plane.requests import http_front_end

READY = http_front_end.READINESS_PATH


@pytest.mark.parametrize(
    "target, is_serving, is_draining, status",
    [
        (READY, True, False, 200),
        (READY + b"?check=1", True, False, 200),
        (READY, False, False, 503),
        (READY, True, True, 503),  # from SIGTERM on, so that clients go to other nodes before a request is rejected
        (READY, False, True, 503),
        (READY + b"/", True, False, 503),
        (b"/", True, False, 503),
    ],
)
def test_readiness_is_200_only_while_serving_and_not_draining(target, is_serving, is_draining, status):
    actual = http_front_end.readiness_status(target=target, is_serving=is_serving, is_draining=is_draining)
    assert actual == status
