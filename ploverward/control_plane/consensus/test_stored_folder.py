"""Compatibility tests: the code reads and continues the data that an earlier version of it stored.

The stored data is in golden/stored and golden/kept.tar.gz, its expected content in golden/expected.json. Three core
nodes of the simulation (ploverward/simulation/control_plane) wrote the folders to a real disk: 10.0.0.1 and 10.0.0.2
from the first start, 10.0.0.4 as a learner that took the place of 10.0.0.3.

Only the first part of this file uses names of the code. The tests use names as stored, so that a rename in the code
changes little here and nothing in golden/.
"""

import copy
import json
import pathlib
import shutil
import tarfile
import zlib

import pytest

from ploverward.command_line import keep
from ploverward.control_plane.configuration import evacuations
from ploverward.control_plane.configuration import order_archive
from ploverward.control_plane.configuration import orders as configuration_orders
from ploverward.control_plane.consensus import acceptor as acceptors
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import ballots
from ploverward.control_plane.consensus import disk as disks
from ploverward.control_plane.consensus import log_records
from ploverward.control_plane.rollouts import orders as rollout_orders
from ploverward.control_plane.rollouts import state
from ploverward.simulation.control_plane import machines
from ploverward.simulation.control_plane import platform_model
from ploverward.simulation.control_plane import simulated_clock
from ploverward.simulation.control_plane import simulated_http
from ploverward.simulation.control_plane import simulated_network
from ploverward.simulation.control_plane import simulated_runtime

GOLDEN = pathlib.Path(__file__).parent / "golden"
LIMIT_BYTES = 512 * 1024
LOG, NEW = "register.log", "register.new"  # file names as stored
HEADER_SIZE = 8  # of a record, in bytes: length and CRC-32, both big-endian
CONFIGURATION, EVACUATION, ROLLOUTS = "/ploverward/configuration", "/ploverward/evacuation", "/ploverward/rollouts"


# Helpers that use names of the code.
class Disk(disks.Disk):
    """The real disk of a machine in the simulation; writes are complete immediately."""

    def finish_batch(self) -> float:
        return 0.0

    def finish_now(self) -> None:
        pass

    def kill(self) -> None:
        pass


def open_storage(folder):
    return acceptor_storage.AcceptorStorage(disk=disks.Disk(folder=str(folder)), limit_bytes=LIMIT_BYTES)


def pack_record(rows) -> bytes:
    return log_records.pack_rows(log_records.unflatten(row) for row in rows)


def split_records(data: bytes) -> list:
    """Returns the rows and the bytes of each record, and checks that the whole file consists of valid records."""
    found = []
    while data:
        size = HEADER_SIZE + int.from_bytes(data[:4], "big")
        rows, taken = log_records.read_rows(data[:size])
        assert taken == size
        found.append(([log_records.flatten(row) for row in rows], data[:size]))
        data = data[size:]
    return found


def unpack_value(value: bytes) -> dict:
    members, payload = ballots.unpack(value)
    member_sets = ballots.member_sets(value)
    previous = member_sets[0] if len(member_sets) > 1 else ()
    return {
        "members": list(members),
        "payload": payload,
        "previous": list(previous),
        "moved_at": ballots.moved_at(value),
    }


def pack_value(entry: dict) -> bytes:
    move = {"previous": entry["previous"], "moved_at": entry["moved_at"]} if entry["previous"] else {}
    return ballots.pack(members=entry["members"], payload=entry["payload"], **move)


def load_folder(folder) -> dict:
    """Returns the state that a node loads from the folder at its start, through the storage and the acceptor."""
    image = open_storage(folder).load()
    acceptor = acceptors.Acceptor(incarnation=image.incarnation, rows=image.rows)
    rows = {}
    for name in sorted(acceptor.states):
        promised, accepted, rev, value = acceptor.get(name)
        rows[name] = {"promised": list(promised), "accepted": list(accepted), "rev": rev, **unpack_value(value)}
    return {"incarnation": image.incarnation, "first_set": list(image.first_set), "registers": rows}


def apply_configuration_orders(history) -> tuple:
    """Applies these orders without an archive; returns the configuration's payload and the marks of all orders."""
    payload = None
    for row in history:
        order = configuration_orders.read(method=row["method"], base=row["base"], data=row["data"].encode())
        if order.method == "PATCH":
            order = configuration_orders.merge_patch(order=order, base_body=payload["body"])
        payload, _result = configuration_orders.edit_for(order=order, archived=0)(payload)
    return json.loads(json.dumps(payload)), payload["recent"]


def archive_orders(rows) -> dict:
    return order_archive.edit_for(rows=rows)(None)[0]


def apply_evacuation_orders(history) -> dict:
    payload = None
    for row in history:
        edit = evacuations.edit_for(zone=row["zone"], is_evacuated=row["method"] == "POST", is_late=lambda: False)
        payload, _result = edit(payload)
    return payload


def rewrite_rollouts(payload: dict) -> dict:
    """Returns the payload after each roll-out in it was decoded and encoded again."""
    written = None
    for name, rollout in state.rollouts_of(payload).items():
        written = state.with_rollout(written, service=name, rollout=rollout)
    return json.loads(json.dumps(written))


def apply_rollout_order(payload, data: bytes) -> dict:
    order = rollout_orders.read(data=data)
    return json.loads(json.dumps(rollout_orders.edit_for(order=order, is_late=lambda: False)(payload)[0]))


def open_repository(folder):
    return keep.ConfigurationRepository(folder=str(folder))


class CoreCluster:
    """Core nodes of the simulation whose disks are the real folders `folder`/HOST."""

    def __init__(self, *, folder, seed: int):
        self.folder = pathlib.Path(folder)
        self.clock = simulated_clock.Clock(seed=seed)
        self.network = simulated_network.Network(clock=self.clock)
        self.platform = platform_model.Platform()
        self.caller = simulated_http.Caller(network=self.network, host="operator")
        self.cores = {}
        self.failures = []

    def _machine(self, host: str):
        region = machines.REGIONS[int(host.rpartition(".")[2]) % len(machines.REGIONS)]
        machine = machines.Machine(clock=self.clock, host=host, region=region)
        self.network.machines[host] = machine
        return machine

    def _settings(self, machine, *, seeds, is_first: bool):
        return machines.settings(
            host=machine.host,
            region=machine.region,
            seeds=tuple(seeds),
            is_first=is_first,
            tolerated=1,
        )

    def start(self, host: str, *, seeds, is_first=False) -> None:
        machine = self._machine(host)
        (self.folder / host).mkdir(exist_ok=True)
        machine.disk = Disk(folder=str(self.folder / host))
        running = simulated_runtime.start_core(
            network=self.network,
            machine=machine,
            platform=self.platform,
            node_settings=self._settings(machine, seeds=seeds, is_first=is_first),
            on_failure=lambda _process, text: self.failures.append(text),
            on_stop=lambda machine, process: self.failures.append(f"{machine.host} stopped unexpectedly"),
            watcher=lambda core: None,
        )
        assert self.failures == []
        self.cores[host] = running.core

    def stop(self, host: str) -> None:
        machines.stop(machine=self.network.machines[host])
        self.cores.pop(host, None)

    def run(self, span_s: float) -> None:
        self.clock.run(until=self.clock.time + span_s)

    def call(self, host: str, method: str, target: str, *, body=b"", base=None) -> tuple:
        """Returns status, body and ETag of one call; the status is 0 if there is no reply within 1.2 s."""
        replies = []
        self.caller.call(
            host=host,
            port=machines.CONTROL_PORT,
            method=method,
            target=target,
            headers=(("If-Match", str(base)),) if base is not None else (),
            body=body,
            limit_s=1.2,
            done=replies.append,
        )
        while not replies:
            self.run(0.01)
        if replies[0] is None:
            return 0, None, ""
        status, headers, data = replies[0]
        return status, json.loads(data) if data else None, headers.get("etag", "")

    def core_set(self, host: str) -> list:
        return list(self.cores[host].membership.chosen_members)

    def duties(self, host: str) -> dict:
        return self.cores[host].role_table.table


# Tests.
def load_expected() -> dict:
    return json.loads((GOLDEN / "expected.json").read_text(encoding="utf-8"))


EXPECTED = load_expected()
HOSTS = sorted(EXPECTED["nodes"])
each_node = pytest.mark.parametrize("host", HOSTS)


@pytest.fixture
def stored(tmp_path):
    folder = tmp_path / "stored"
    shutil.copytree(GOLDEN / "stored", folder)
    return folder


def newest_rows() -> dict:
    """Returns the newest row of each register in any folder, by register."""
    rows = {}
    for node in EXPECTED["nodes"].values():
        for name, row in node["registers"].items():
            if name not in rows or row["accepted"] > rows[name]["accepted"]:
                rows[name] = row
    return rows


@each_node
def test_stored_registers_are_read_unchanged(stored, host):
    expected = EXPECTED["nodes"][host]
    found = load_folder(stored / host)
    assert found["incarnation"] == expected["incarnation"] and found["first_set"] == expected["first_set"]
    assert set(found["registers"]) == {"spec", "evac", "rollouts", "duty", "orders", "cores"}
    for name, row in expected["registers"].items():
        assert found["registers"][name] == row, name
    assert found == {key: expected[key] for key in found}


@each_node
def test_fixture_contains_a_full_image_and_appended_records(host):
    records = split_records((GOLDEN / "stored" / host / LOG).read_bytes())
    assert len(records) == EXPECTED["nodes"][host]["records"] > 10
    names = [row[0] for row in records[0][0]]
    assert names[0] == "\x00identity" and sorted(names[1:]) == sorted(newest_rows())
    rows = [row for tail, _data in records[1:] for row in tail]
    assert any(row[6] for row in rows) and any(not row[6] for row in rows)


@each_node
def test_stored_records_are_rewritten_with_the_same_bytes(host):
    for rows, data in split_records((GOLDEN / "stored" / host / LOG).read_bytes()):
        assert pack_record(rows) == data
        for row in rows:
            if row[6]:
                # The compressed bytes may differ between versions of zlib, so the decompressed text is compared.
                assert zlib.decompress(pack_value(unpack_value(row[6]))) == zlib.decompress(row[6])


@pytest.mark.parametrize("kind", sorted(EXPECTED["records"]))
def test_one_record_of_each_kind_has_the_stored_bytes(kind):
    entry = EXPECTED["records"][kind]
    rows = tuple((*row[:6], bytes.fromhex(row[6])) for row in entry["rows"])
    assert pack_record(rows).hex() == entry["hex"]
    assert split_records(bytes.fromhex(entry["hex"])) == [(list(rows), bytes.fromhex(entry["hex"]))]


@pytest.mark.parametrize("kind", sorted(EXPECTED["values"]))
def test_one_value_of_each_kind_has_the_stored_text(kind):
    entry = EXPECTED["values"][kind]
    assert zlib.decompress(pack_value(entry["value"])).decode() == entry["text"]
    assert unpack_value(bytes.fromhex(entry["hex"])) == entry["value"]


@each_node
def test_first_write_of_an_image_has_the_stored_format(stored, tmp_path, host):
    """Before a process sends any state, it writes one record: the identity, then one row per register."""
    image = open_storage(stored / host).load()
    other = tmp_path / "other"
    other.mkdir()
    open_storage(other).write(rows=(), image=image)
    assert [path.name for path in other.iterdir()] == [LOG]
    (record,) = split_records((other / LOG).read_bytes())
    expected = EXPECTED["nodes"][host]
    identity = ("\x00identity", 0, expected["incarnation"], 0, " ".join(expected["first_set"]), 0, b"")
    assert record[0][0] == identity and len(record[0]) == 1 + len(expected["registers"])
    assert load_folder(other) == load_folder(stored / host)


def test_orders_produce_the_stored_payloads():
    rows = newest_rows()
    payload, marks = apply_configuration_orders(EXPECTED["history"])
    held = rows["spec"]["payload"]
    assert (held["edition"], held["body"]) == (payload["edition"], payload["body"])
    assert list(held) == list(payload)
    assert len(held["recent"]) >= 64 and held["recent"] == marks[-len(held["recent"]) :]
    through = rows["orders"]["payload"]["through"]
    assert rows["orders"]["payload"] == archive_orders([row for row in marks if row[0] <= through])
    assert rows["evac"]["payload"] == apply_evacuation_orders(EXPECTED["evacuations"])
    assert rewrite_rollouts(rows["rollouts"]["payload"]) == rows["rollouts"]["payload"]
    entry = EXPECTED["rollout"]
    assert apply_rollout_order(entry["before"], entry["data"].encode()) == entry["after"]


def archived_only_orders() -> list:
    """Returns the orders of the history whose marks are in no configuration register of any folder."""
    recent = {
        edition for node in EXPECTED["nodes"].values() for edition, _ in node["registers"]["spec"]["payload"]["recent"]
    }
    return [row for row in EXPECTED["history"] if row["edition"] not in recent]


def assert_api_serves(cluster, *, edition: int, body: dict) -> None:
    """Checks that every node serves this configuration and the other stored state.

    Stored orders that are sent again are acknowledged, also those that are only in the archive; an order with other
    bytes and an outdated base gets 412.
    """
    rows = newest_rows()
    for host in HOSTS:
        status, reply, tag = cluster.call(host, "GET", CONFIGURATION)
        assert (status, reply, tag) == (200, body, f'"{edition}"')
        assert cluster.call(host, "GET", EVACUATION)[:2] == (200, {"zones": rows["evac"]["payload"]["zones"]})
        status, reply, _tag = cluster.call(host, "GET", ROLLOUTS)
        stored = rows["rollouts"]["payload"]["services"]
        assert status == 200 and set(reply["rollouts"]) == set(stored)
        assert all(reply["rollouts"][name]["targetEdition"] == row["target"] for name, row in stored.items())
        assert all(reply["rollouts"][name]["number"] == row["number"] for name, row in stored.items())
        assert cluster.core_set(host) == rows["cores"]["members"] == HOSTS
        archived_orders, history = archived_only_orders(), EXPECTED["history"]
        assert len(archived_orders) >= 64
        for row in (*archived_orders[:2], archived_orders[-1], history[-64], history[-1]):
            reply = cluster.call(host, row["method"], CONFIGURATION, body=row["data"].encode(), base=row["base"])
            assert reply[0] == 200, row
        changed = history[0]["data"].encode() + b" "
        assert cluster.call(host, history[0]["method"], CONFIGURATION, body=changed, base=history[0]["base"])[0] == 412


def start_cluster(folder, *, seed: int) -> CoreCluster:
    cluster = CoreCluster(folder=folder, seed=seed)
    for host in HOSTS:
        cluster.start(host, seeds=HOSTS)
    cluster.run(8.0)
    return cluster


def test_core_nodes_start_from_the_stored_folders(stored):
    rows = newest_rows()
    body = rows["spec"]["payload"]["body"]
    edition = rows["spec"]["payload"]["edition"]
    cluster = start_cluster(stored, seed=1)
    assert_api_serves(cluster, edition=edition, body=body)
    stored_duties = rows["duty"]["payload"]
    assert all(set(stored_duties) <= set(cluster.duties(host)) for host in HOSTS)
    assert all(cluster.duties(host)[name][0] >= row[0] for host in HOSTS for name, row in stored_duties.items())

    # A second start reads what is written now in addition to the stored state.
    data = json.dumps({**body, "edition": edition + 5}).encode()
    assert cluster.call(HOSTS[1], "PUT", CONFIGURATION, body=data, base=edition)[0] == 200
    cluster.run(3.0)
    for host in HOSTS:
        cluster.stop(host)
    assert cluster.failures == []
    for host in HOSTS:
        before, after = EXPECTED["nodes"][host], load_folder(stored / host)
        assert (after["incarnation"], after["first_set"]) == (before["incarnation"], before["first_set"])
        for name, row in before["registers"].items():
            assert after["registers"][name]["promised"] >= row["promised"]
            assert after["registers"][name]["accepted"] >= row["accepted"]
            assert after["registers"][name]["members"] == rows["cores"]["members"]
        for record_rows, record_bytes in split_records((stored / host / LOG).read_bytes()):
            assert pack_record(record_rows) == record_bytes
    restarted = start_cluster(stored, seed=2)
    assert_api_serves(restarted, edition=edition + 5, body={**body, "edition": edition + 5})
    assert restarted.call(HOSTS[0], "PUT", CONFIGURATION, body=data, base=edition)[0] == 200
    assert restarted.failures == []


@each_node
def test_torn_tail_is_ignored_on_load(stored, tmp_path, host):
    path = stored / host / LOG
    data = path.read_bytes()
    records = split_records(data)
    last = len(records[-1][1])
    for cut in (1, last // 2, last - 1):
        path.write_bytes(data[: len(data) - cut])
        whole = tmp_path / f"whole-{cut}"
        whole.mkdir()
        (whole / LOG).write_bytes(data[: len(data) - last])
        assert load_folder(stored / host) == load_folder(whole)
    path.write_bytes(data + records[-1][1][: last // 2])
    assert load_folder(stored / host)["registers"] == EXPECTED["nodes"][host]["registers"]


def test_core_nodes_start_with_a_torn_tail_and_a_leftover_new_file(stored):
    """The process ended during an append on one node, and before the rename of a rewritten file on another."""
    with (stored / HOSTS[0] / LOG).open("ab") as handle:
        handle.write(b"\x00\x00\x01\x00\x12\x34")
    (stored / HOSTS[1] / NEW).write_bytes(b"\x00\x00\x00\x20half")
    cluster = start_cluster(stored, seed=3)
    payload = newest_rows()["spec"]["payload"]
    assert_api_serves(cluster, edition=payload["edition"], body=payload["body"])
    assert not (stored / HOSTS[1] / NEW).exists()
    split_records((stored / HOSTS[0] / LOG).read_bytes())
    assert cluster.failures == []


def test_kept_configurations_are_read_and_extended(tmp_path):
    with tarfile.open(GOLDEN / "kept.tar.gz") as packed:
        packed.extractall(tmp_path, filter="data")
    expected = EXPECTED["kept"]
    folder = tmp_path / "kept"
    assert (folder / "configuration.json").read_text(encoding="utf-8") == expected["text"]
    repository = open_repository(folder)
    assert [list(row) for row in repository.log()] == expected["log"]
    for edition, body in expected["shown"].items():
        assert repository.show(edition=int(edition)) == body
    last = copy.deepcopy(expected["given"][-1])
    assert repository.keep(body=last) is None
    last["edition"] += 1
    assert repository.keep(body=last)
    repository.close()
    reopened = open_repository(folder)
    assert [edition for edition, _commit in reopened.log()] == [last["edition"], *(row[0] for row in expected["log"])]
    reopened.close()


def test_kept_configuration_has_the_stored_text(tmp_path):
    repository = open_repository(tmp_path / "kept")
    for body in EXPECTED["kept"]["given"]:
        repository.keep(body=body)
    repository.close()
    assert (tmp_path / "kept" / "configuration.json").read_text(encoding="utf-8") == EXPECTED["kept"]["text"]
