"""Golden blobs: rows and JSON inside frames, hashes on which nodes must agree, and the acceptor's file.

`golden/blobs.json` holds blobs as the code packed them at commit 0abe51d. Never regenerate it from the current code:
nodes of different versions run side by side, and data on disks outlives the version that wrote it. An entry has the kind
of the blob, the value that was encoded, and the blob as hex; "decoded" is the decoded value, if there is a decoder.

Compressed blobs have an entry "text": different builds of zlib may compress the same text to different bytes, so the
decompressed text is compared. The old compressed bytes must still be decoded.
"""

import dataclasses
import json
import pathlib
import time
import types
import unittest.mock
import zlib

import pytest

from ploverward.common import rollout_evidence
from ploverward.common import tenant_usage
from ploverward.control_plane.audit import trail_store
from ploverward.control_plane.cluster import singleton_role_table
from ploverward.control_plane.cluster import singleton_roles
from ploverward.control_plane.configuration import evacuations
from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import catch_up
from ploverward.control_plane.consensus import log_records
from ploverward.control_plane.consensus import register_names
from ploverward.control_plane.discovery import platform_replicas
from ploverward.control_plane.distribution import endpoint_list
from ploverward.control_plane.rollouts import leases
from ploverward.control_plane.rollouts import state
from ploverward.data_plane.adapter_cache import adapter_counts
from ploverward.data_plane.adapter_cache import count_table
from ploverward.data_plane.relay import cuckoo_filter
from ploverward.data_plane.relay import hub
from ploverward.data_plane.relay import load_feed
from ploverward.data_plane.relay import pool_mirror
from ploverward.data_plane.relay import resolution
from ploverward.data_plane.requests import custody_trails
from ploverward.transport import messages
from ploverward.transport import row_codec

GOLDEN = pathlib.Path(__file__).parent / "golden"


# Encoders and decoders of each kind. Only this part uses names of the code. Values are positional, as in the fixture;
# classes of the code are created and read by field name, so that the tests detect a changed order of fields.


def _json_bytes(value) -> bytes:
    """Returns a register's value or a row of the endpoint list as JSON text, with its keys in their order."""
    return json.dumps(value, separators=(",", ":")).encode()


def _pack_struct(shape):
    return lambda value: b"".join(shape.pack(*row) for row in value)


def _read_struct(shape):
    return lambda data: row_codec.rows(shape=shape, data=data)


def _pack_reads(value) -> bytes:
    return b"".join(
        row_codec.pack_read(replica=replica, region=region, domain=domain, parts=parts)
        for replica, region, domain, parts in value
    )


def _read_reads(data: bytes) -> list:
    found = []
    for region, read in row_codec.split_reads(data=data):
        replica, domain, parts = row_codec.unpack_read(data=read)
        found.append((replica, region, domain, parts))
    return found


def _pack_loads(value) -> bytes:
    """Packs load rows as the relay does: numbers that are too large are clamped to the largest allowed."""
    return b"".join(
        load_feed.Load(running=running, tokens=unread, suspect_count=marks, flags=flags).pack(key)
        for key, running, unread, marks, flags in value
    )


def _pack_usage(value) -> bytes:
    return tenant_usage.pack_usage(
        [tenant_usage.Usage(tenant=tenant, demand=demand, admitted=admitted) for tenant, demand, admitted in value]
    )


def _pack_credits(value) -> bytes:
    return tenant_usage.pack_credits([tenant_usage.Credit(tenant=tenant, tokens=tokens) for tenant, tokens in value])


def _read_usage(data: bytes) -> list:
    return [(row.tenant, row.demand, row.admitted) for row in tenant_usage.unpack_usage(data)]


def _read_credits(data: bytes) -> list:
    return [(row.tenant, row.tokens) for row in tenant_usage.unpack_credits(data)]


def _pack_evidence(value) -> bytes:
    reports = []
    for service, number, step, age_s, sent, sent_new, in_flight_old, rows in value:
        tallies = {}
        for route, is_new, group, ended, failed, broken, first_chunk_times, chunk_intervals in rows:
            tally = rollout_evidence.Tally(ended=ended, failed=failed, broken=broken)
            tally.first_chunk_times.update(dict(first_chunk_times))
            tally.chunk_intervals.update(dict(chunk_intervals))
            tallies[rollout_evidence.TallyKey(route=route, is_new=is_new, group=group)] = tally
        reports.append(
            rollout_evidence.Report(
                service=service,
                number=number,
                step=step,
                age_s=age_s,
                sent=sent,
                sent_new=sent_new,
                in_flight_old=in_flight_old,
                tallies=tallies,
            )
        )
    return rollout_evidence.pack(reports)


def _read_evidence(data: bytes) -> list:
    return [
        (
            report.service,
            report.number,
            report.step,
            report.age_s,
            report.sent,
            report.sent_new,
            report.in_flight_old,
            [
                (
                    key.route,
                    key.is_new,
                    key.group,
                    tally.ended,
                    tally.failed,
                    tally.broken,
                    sorted(tally.first_chunk_times.items()),
                    sorted(tally.chunk_intervals.items()),
                )
                for key, tally in report.tallies.items()
            ],
        )
        for report in rollout_evidence.unpack(data)
    ]


def _pack_leases(value) -> bytes:
    return leases.pack(
        [
            leases.CanaryLease(service=service, number=number, step=step, share=share, replicas=tuple(replicas))
            for service, number, step, share, replicas in value
        ]
    )


def _read_leases(data: bytes) -> list:
    return [(lease.service, lease.number, lease.step, lease.share, lease.replicas) for lease in leases.unpack(data)]


def _pack_trail(value) -> bytes:
    """Packs the trail of a request: its id, the proxy, times, route and model, and a row for each attempt."""
    request_id, node, zone, region, incarnation, times, request_facts, first_homes, status, attempts, chain = value
    arrived_s, begun_s, now_s = times
    route, service, model, edition = request_facts
    proxy = types.SimpleNamespace(
        settings=types.SimpleNamespace(node=node, zone=zone, region=region),
        incarnation=incarnation,
        loop=types.SimpleNamespace(now=lambda: now_s),
        routes=types.SimpleNamespace(edition=edition),
    )
    handler = types.SimpleNamespace(
        request_id=request_id,
        request=types.SimpleNamespace(begun_at=begun_s),
        facts=types.SimpleNamespace(
            service=service,
            model=types.SimpleNamespace(name=model),
            first_homes=first_homes,
            prompt=types.SimpleNamespace(chain=chain),
        ),
        edition=edition,
        custody=[],
    )
    for replica, replica_zone, permitted, sent_s, is_resumption in attempts:
        attempt = types.SimpleNamespace(
            replica=types.SimpleNamespace(id=replica, zone=replica_zone), permitted=permitted, sent_at=sent_s
        )
        handler.custody.append(
            custody_trails.begin_row(attempt=attempt, begun_at=begun_s, is_resumption=is_resumption, context=proxy)
        )
    batches = custody_trails.TrailBatches(max_trails=1)
    with unittest.mock.patch.object(time, "time", return_value=arrived_s + now_s - begun_s):
        trail = custody_trails.build_trail(
            handler=handler, route=types.SimpleNamespace(name=route), context=proxy, status=status
        )
        batches.add(trail)
    [(_number, _is_last, [(_id, data)])] = batches.drain()
    return data


def _read_trail(data: bytes) -> list:
    """Returns the trail as operators receive it from a core node."""
    kept = trail_store.TrailStore(now=lambda: 0.0, retention_s=1.0, max_trails=1)
    kept.record(
        messages.CustodyTrails(
            node="node", incarnation="life", number=0, is_last=False, trails=(messages.CustodyTrail("id", data),)
        )
    )
    return kept.find("id")


def _pack_counts(value) -> bytes:
    """Packs adapter counts of arrivals.

    Each row of `value` is (service, model, adapter, replica id, route, adapters that the replica has loaded, seconds
    waited, latency target).
    """
    clock = [0.0]
    counter = adapter_counts.AdapterCounter(now=lambda: clock[0], window_s=1e9, trust_s=1e-9)
    for service, model, adapter, replica_id, route, held, wait_s, target_s in value:
        adapters = None if held is None else {tuple(pair): 0.0 for pair in held}
        replica = types.SimpleNamespace(id=replica_id, service=service, adapters=adapters)
        arrival = counter.note_sent(
            replica=replica, service=service, model=model, adapter=adapter, route=route, target_s=target_s
        )
        clock[0] += wait_s
        counter.note_run(arrival)
        clock[0] += 1.0
    [(_window, _number, data)] = counter.report()
    return data


def _read_counts(data: bytes) -> list:
    body = count_table.read(data=data)
    return [body["rows"], body["over"]]


def _pack_list(value) -> bytes:
    rows, read_at = value
    return endpoint_list.from_rows(rows=rows, read_at=read_at).pack()


def _read_list(data: bytes) -> list:
    unpacked = endpoint_list.unpack_list(data)
    return [unpacked.sorted_rows(), unpacked.read_at]


def _pack_list_change(value) -> bytes:
    rows, removed, read_at, is_same_clock = value
    return endpoint_list.EndpointListDelta(
        rows=tuple(rows), removed=tuple(removed), read_at=read_at, is_same_clock=is_same_clock
    ).pack()


def _read_list_change(data: bytes) -> list:
    change = endpoint_list.unpack_delta(data)
    return [change.rows, change.removed, change.read_at, change.is_same_clock]


def _pack_register_value(value) -> bytes:
    members, payload, *move = value
    previous, moved_at = move or ((), ballots.NEVER)
    return ballots.pack(members=members, payload=payload, previous=previous, moved_at=moved_at)


def _read_register_value(data: bytes) -> list:
    members, payload = ballots.unpack(data)
    *former, _members = ballots.member_sets(data)
    assert ballots.members_of(data) == members
    return [members, payload, *((former[0], ballots.moved_at(data)) if former else ())]


class _Disk:
    """In-memory replacement of the acceptor's folder, with a single file."""

    def __init__(self, data: bytes | None = None):
        self.data = data

    def read(self, *, name: str):
        assert name == "register.log"
        return self.data

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        assert name == "register.log"
        self.data = self.data[:size_before] + data

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        assert (name, new_name) == ("register.log", "register.new")
        self.data = data


def _rows(flat_rows) -> tuple:
    return tuple(log_records.unflatten(row) for row in flat_rows)


def _pack_acceptor_file(value) -> bytes:
    """Returns the content of the file after a complete write and one append."""
    incarnation, first_set, rows, appended = value
    disk = _Disk()
    storage = acceptor_storage.AcceptorStorage(disk=disk, limit_bytes=1 << 20)
    for changed in ((), appended):
        image = acceptor_storage.AcceptorImage(incarnation=incarnation, first_set=tuple(first_set), rows=_rows(rows))
        storage.write(rows=_rows(changed), image=image)
    return disk.data


def _read_acceptor_file(data: bytes) -> list:
    image = acceptor_storage.AcceptorStorage(disk=_Disk(data), limit_bytes=1 << 20).load()
    return [image.incarnation, image.first_set, tuple(log_records.flatten(row) for row in image.rows)]


def _pack_buckets(value) -> bytes:
    """Packs the bucket rows of a cut: all buckets that are not empty, with versions from 1 on."""
    words, bucket_count, puts = value
    pool_filter = cuckoo_filter.Filter(bucket_count=bucket_count, words=words)
    for full_hash, bits in puts:
        assert pool_filter.put(full_hash=full_hash, bits=bits)
    empty_image = cuckoo_filter.empty_image(words=words)
    images = [pool_filter.image(index) for index in range(bucket_count)]
    return b"".join(
        hub.ROW.pack(index, index + 1) + image for index, image in enumerate(images) if image != empty_image
    )


def _read_buckets(data: bytes, *, value) -> list:
    """Returns the owners that a mirror finds for each hash after it has installed the cut."""
    words, bucket_count, puts = value
    mirror = pool_mirror.PoolMirror(name="pool", service="service", model="model", generation=1)
    mirror.install_cut(bucket_count=bucket_count, words=words, data=data)
    found = [
        (full_hash, cuckoo_filter.find_in_images(images=mirror.buckets, words=words, full_hash=full_hash))
        for full_hash, _bits in puts
    ]
    return [words, bucket_count, found]


def _pack_chain(value) -> bytes:
    model, parts = value
    return b"".join(full_hash for full_hash, _tokens in cuckoo_filter.chain(model=model, parts=parts))


def _pack_configuration(value) -> bytes:
    current, edition, body, order_id = value
    candidate = orders.Candidate(base=orders.edition_of(current), edition=edition, body=body)
    order = orders.Order(method="PUT", base=candidate.base, order_id=order_id, body=body, candidate=candidate)
    payload, _outcome = orders.edit_for(order=order, archived=0)(current)
    return _json_bytes(payload)


def _pack_archive(value) -> bytes:
    current, rows = value
    payload, _result = order_archive.edit_for(rows=rows)(current)
    return _json_bytes(payload)


def _pack_evacuations(value) -> bytes:
    current, zone, is_evacuated = value
    payload, _result = evacuations.edit_for(zone=zone, is_evacuated=is_evacuated, is_late=lambda: False)(current)
    return _json_bytes(payload)


def _pack_singleton_roles(value) -> bytes:
    current, rows = value
    edits = []
    table = singleton_role_table.SingletonRoleTable(change=lambda *, name, edit, done: edits.append(edit(current)))
    table.acquire(rows={name: row for name, *row in rows})
    [(payload, _result)] = edits
    return _json_bytes(payload)


def _pack_rollouts(value) -> bytes:
    """Packs roll-outs.

    Each row of `value` is (service, admitted, refused, target, seconds, stage, number, step, age, reason, records,
    is settled).
    """
    payload = None
    for service, *fields, records_of_steps, is_settled in value:
        admitted, refused, target, over_s, stage, number, step, age_s, reason = fields
        row = state.Rollout(
            admitted=tuple(admitted),
            refused=tuple(refused),
            target=target,
            over_s=over_s,
            stage=state.Stage(stage),
            number=number,
            step=step,
            age_s=age_s,
            reason=reason,
            record=tuple(
                dataclasses.asdict(
                    state.Evidence(
                        stage=step_stage,
                        age_s=step_age_s,
                        reason=step_reason,
                        sent=sent,
                        sent_new=sent_new,
                        routes=routes,
                    )
                )
                for step_stage, step_age_s, step_reason, sent, sent_new, routes in records_of_steps
            ),
            is_settled=is_settled,
        )
        payload = state.with_rollout(payload, service=service, rollout=row)
    return _json_bytes(payload)


def _read_rollouts(data: bytes) -> list:
    return [
        (
            *(service, row.admitted, row.refused, row.target, row.over_s, str(row.stage), row.number, row.step),
            *(row.age_s, row.reason, [tuple(known.values()) for known in row.record], row.is_settled),
        )
        for service, row in state.rollouts_of(json.loads(data)).items()
    ]


def _pack_names(_value) -> bytes:
    """Packs names that are sent or stored: registers (also topics), rows that are no registers, singleton roles."""
    return _json_bytes(
        {
            "registers": register_names.REGISTERS,
            "floored": register_names.MINIMUM_VERSION_REGISTERS,
            "list": endpoint_list.TOPIC,
            "first set": log_records.flatten(catch_up.first_set_row(("a", "b")))[:6],
            "identity": acceptor_storage.IDENTITY,
            "watch": singleton_roles.COORDINATOR,
            "relay": singleton_roles.relay_name(region="r"),
            "digests": [singleton_roles.digest_name(zone="z"), singleton_roles.digest_name(zone="z", number=2)],
        }
    )


@dataclasses.dataclass(frozen=True)
class Codec:
    """Encoder and decoder of one kind of blob."""

    encode: object  # value to bytes
    decode: object = None  # bytes to value; None for hashes and other one-way encodings
    takes_value: bool = False  # whether `decode` also receives the original value
    is_compressed: bool = False


CODECS = {
    "reported rows": Codec(_pack_struct(row_codec.REPORTED_LOAD_ROW), _read_struct(row_codec.REPORTED_LOAD_ROW)),
    "load rows": Codec(_pack_loads, _read_struct(row_codec.LOAD_ROW)),
    "lane rows": Codec(_pack_struct(row_codec.OWNER_BIT_ROW), _read_struct(row_codec.OWNER_BIT_ROW)),
    "replica keys": Codec(b"".join, lambda data: row_codec.keys(data=data)),
    "reads": Codec(_pack_reads, _read_reads),
    "replica key": Codec(row_codec.replica_key),
    "tenant usage": Codec(_pack_usage, _read_usage),
    "tenant credits": Codec(_pack_credits, _read_credits),
    "tenant key": Codec(tenant_usage.tenant_key),
    "key digest": Codec(lambda value: tenant_usage.key_digest(value).encode()),
    "evidence": Codec(_pack_evidence, _read_evidence, is_compressed=True),
    "evidence group": Codec(lambda value: bytes([rollout_evidence.group_of(value)])),
    "evidence bucket": Codec(lambda value: bytes(rollout_evidence.bucket_of(ratio) for ratio in value)),
    "leases": Codec(_pack_leases, _read_leases),
    "custody trail": Codec(_pack_trail, _read_trail),
    "adapter counts": Codec(_pack_counts, _read_counts),
    "platform row": Codec(lambda value: _json_bytes(platform_replicas.read_row(platform_replica=value))),
    "replica list": Codec(_pack_list, _read_list, is_compressed=True),
    "replica list change": Codec(_pack_list_change, _read_list_change, is_compressed=True),
    "register value": Codec(_pack_register_value, _read_register_value, is_compressed=True),
    "acceptor file": Codec(_pack_acceptor_file, _read_acceptor_file),
    "buckets": Codec(_pack_buckets, _read_buckets, takes_value=True),
    "wide slot": Codec(
        lambda value: cuckoo_filter.encode_wide_value(count=value[0], tags=value[1]).to_bytes(13, "big"),
        lambda data: cuckoo_filter.decode_wide_value(int.from_bytes(data, "big")),
    ),
    "prompt chain": Codec(_pack_chain),
    "pool domain": Codec(lambda value: bytes.fromhex(resolution.domain_id(service=value[0], model=value[1]))),
    "order mark": Codec(lambda value: orders.compute_order_id(method=value[0], base=value[1], data=value[2]).encode()),
    "configuration payload": Codec(_pack_configuration),
    "archive payload": Codec(_pack_archive),
    "evacuations payload": Codec(_pack_evacuations),
    "duties payload": Codec(_pack_singleton_roles),
    "roll-outs payload": Codec(_pack_rollouts, _read_rollouts),
    "digest for a proxy": Codec(lambda value: singleton_roles.digest_for(names=value[0], address=value[1]).encode()),
    "names": Codec(_pack_names),
}

# The code below does not depend on names of the code under test.


def _from_json(value):
    """Returns a value from its form in the fixture: bytes are {"hex": ...}."""
    if isinstance(value, dict):
        if value.keys() == {"hex"}:
            return bytes.fromhex(value["hex"])
        return {name: _from_json(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_from_json(item) for item in value]
    return value


def _to_json(value):
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, dict):
        return {name: _to_json(item) for name, item in value.items()}
    if isinstance(value, (list, tuple)):
        return [_to_json(item) for item in value]
    return value


def _encode(entry: dict) -> bytes:
    return CODECS[entry["kind"]].encode(_from_json(entry["value"]))


def _decode(entry: dict):
    codec = CODECS[entry["kind"]]
    arguments = {"value": _from_json(entry["value"])} if codec.takes_value else {}
    return _to_json(codec.decode(bytes.fromhex(entry["blob"]), **arguments))


ENTRIES = json.loads((GOLDEN / "blobs.json").read_text(encoding="utf-8"))
IDS = [f"{index}-{entry['kind']}" for index, entry in enumerate(ENTRIES)]
DECODABLE = [index for index, entry in enumerate(ENTRIES) if "decoded" in entry]


@pytest.mark.parametrize("entry", ENTRIES, ids=IDS)
def test_the_value_is_encoded_to_the_golden_blob(entry):
    blob = _encode(entry)
    if "text" in entry:
        assert zlib.decompress(blob).decode() == entry["text"]
        assert zlib.decompress(bytes.fromhex(entry["blob"])).decode() == entry["text"]
    else:
        assert blob.hex() == entry["blob"]


@pytest.mark.parametrize("entry", [ENTRIES[index] for index in DECODABLE], ids=[IDS[index] for index in DECODABLE])
def test_the_golden_blob_is_decoded_to_its_value(entry):
    # Compared as JSON text, in which 1, 1.0 and true differ, and so do orders of keys.
    assert json.dumps(_decode(entry)) == json.dumps(entry["decoded"])


def test_every_codec_has_golden_blobs_and_decoded_values_if_it_has_a_decoder():
    assert {entry["kind"] for entry in ENTRIES} == CODECS.keys()
    for entry in ENTRIES:
        codec = CODECS[entry["kind"]]
        assert ("decoded" in entry) == (codec.decode is not None)
        assert ("text" in entry) == codec.is_compressed
