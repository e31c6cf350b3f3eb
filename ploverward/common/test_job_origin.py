"""Origin of a batch job in its stored body."""

import json

import pytest

from ploverward.common import job_origin

ORIGIN = job_origin.JobOrigin("h.example", "/lots/", 2**40)
JOB = {"requests": [{"id": "größe"}]}


@pytest.mark.parametrize("encoding", ["utf-8", "utf-8-sig", "utf-16", "utf-32-be"])
def test_origin_is_read_back_and_the_other_fields_stay(encoding):
    body = job_origin.append_origin(f" {json.dumps(JOB, ensure_ascii=False)}\r\n ".encode(encoding), ORIGIN)
    fields = json.loads(body)
    assert job_origin.origin_of(fields) == ORIGIN
    assert fields["requests"] == JOB["requests"]


def test_origin_overrides_a_field_of_the_client():
    """Guards against a client that has its items run on a route of another host."""
    body = json.dumps({"origin": {"host": "other", "prefix": "/", "edition": 0}, **JOB}).encode()
    assert job_origin.origin_of(json.loads(job_origin.append_origin(body, ORIGIN))) == ORIGIN


@pytest.mark.parametrize("value", [None, [], "h", {}, {"host": "h"}, {"host": 1, "prefix": "/", "edition": 1}])
def test_job_without_a_valid_origin_has_an_unknown_one(value):
    assert job_origin.origin_of({**JOB, "origin": value}) == job_origin.UNKNOWN_ORIGIN
    assert job_origin.origin_of(JOB) == job_origin.UNKNOWN_ORIGIN


def test_unknown_origins_are_not_the_same_place():
    assert not job_origin.is_same_place(job_origin.UNKNOWN_ORIGIN, job_origin.UNKNOWN_ORIGIN)
    assert job_origin.is_same_place(ORIGIN, ORIGIN._replace(edition=1))
    assert not job_origin.is_same_place(ORIGIN, ORIGIN._replace(prefix="/else/"))
