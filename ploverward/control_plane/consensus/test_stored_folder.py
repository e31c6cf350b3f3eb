"""The code starts from what an earlier state of it stored: golden/stored, golden/kept.tar.gz and golden/expected.json.

Three core nodes of the model world (ploverward/simulation/control_plane) wrote the folders to the real disk: 10.0.0.1
and 10.0.0.2 from the first start, 10.0.0.4 as a learner that took the place of 10.0.0.3. Names of the code are used
in the first part of this file only; the rest speaks of stored names, so a rename of the code changes little here and
nothing in golden/.
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
LOG, NEW = "register.log", "register.new"  # as stored
HEAD_SIZE = 8  # of a record: length and CRC-32, both big-endian
CONFIGURATION, EVACUATION, ROLLOUTS = "/ploverward/configuration", "/ploverward/evacuation", "/ploverward/rollouts"


# Names of the code.
class Disk(disks.Disk):
    """The real disk of a machine of the model world: what is written is there at once."""

    def finish_batch(self) -> float:
        return 0.0

    def finish_now(self) -> None:
        pass

    def kill(self) -> None:
        pass


def open_store(folder):
    return acceptor_storage.AcceptorStorage(disk=disks.Disk(folder=str(folder)), limit_bytes=LIMIT_BYTES)


def pack_record(rows) -> bytes:
    return log_records.pack_rows(log_records.unflatten(row) for row in rows)


def records_of(data: bytes) -> list:
    """(rows, bytes) of each record; the whole file has to be read."""
    found = []
    while data:
        size = HEAD_SIZE + int.from_bytes(data[:4], "big")
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


def pack_value(about: dict) -> bytes:
    move = {"previous": about["previous"], "moved_at": about["moved_at"]} if about["previous"] else {}
    return ballots.pack(members=about["members"], payload=about["payload"], **move)


def held_by(folder) -> dict:
    """What a start finds in the folder, by way of the store and the acceptor."""
    image = open_store(folder).load()
    acceptor = acceptors.Acceptor(incarnation=image.incarnation, rows=image.rows)
    rows = {}
    for name in sorted(acceptor.states):
        promised, accepted, rev, value = acceptor.get(name)
        rows[name] = {"promised": list(promised), "accepted": list(accepted), "rev": rev, **unpack_value(value)}
    return {"incarnation": image.incarnation, "first_set": list(image.first_set), "registers": rows}


def configured(history) -> tuple:
    """The payload of the configuration and all marks, after these orders without an archive."""
    payload = None
    for row in history:
        order = configuration_orders.read(method=row["method"], base=row["base"], data=row["data"].encode())
        if order.method == "PATCH":
            order = configuration_orders.merge_patch(order=order, base_body=payload["body"])
        payload, _said = configuration_orders.edit_for(order=order, archived=0)(payload)
    return json.loads(json.dumps(payload)), payload["recent"]


def archived(rows) -> dict:
    return order_archive.edit_for(rows=rows)(None)[0]


def evacuated(history) -> dict:
    payload = None
    for row in history:
        edit = evacuations.edit_for(zone=row["zone"], is_evacuated=row["method"] == "POST", is_late=lambda: False)
        payload, _said = edit(payload)
    return payload


def rewritten_rollouts(payload: dict) -> dict:
    """The payload after each row was read and written again."""
    written = None
    for name, rollout in state.rollouts_of(payload).items():
        written = state.with_rollout(written, service=name, rollout=rollout)
    return json.loads(json.dumps(written))


def ordered_rollout(payload, data: bytes) -> dict:
    order = rollout_orders.read(data=data)
    return json.loads(json.dumps(rollout_orders.edit_for(order=order, is_late=lambda: False)(payload)[0]))


def keeper_of(folder):
    return keep.ConfigurationRepository(folder=str(folder))


class Site:
    """Core nodes of the model world whose disks are the folders `folder`/HOST."""

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
            on_stop=lambda machine, process: self.failures.append(f"{machine.host} ended by itself"),
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
        """(status, body, ETag) of one call; 0 where it was not answered within a second."""
        told = []
        self.caller.call(
            host=host,
            port=machines.CONTROL_PORT,
            method=method,
            target=target,
            headers=(("If-Match", str(base)),) if base is not None else (),
            body=body,
            limit_s=1.2,
            done=told.append,
        )
        while not told:
            self.run(0.01)
        if told[0] is None:
            return 0, None, ""
        status, headers, data = told[0]
        return status, json.loads(data) if data else None, headers.get("etag", "")

    def core_set(self, host: str) -> list:
        return list(self.cores[host].membership.chosen_members)

    def duties(self, host: str) -> dict:
        return self.cores[host].role_table.table


# Tests.
def expected() -> dict:
    return json.loads((GOLDEN / "expected.json").read_text(encoding="utf-8"))


EXPECTED = expected()
HOSTS = sorted(EXPECTED["nodes"])
each_node = pytest.mark.parametrize("host", HOSTS)


@pytest.fixture
def stored(tmp_path):
    folder = tmp_path / "stored"
    shutil.copytree(GOLDEN / "stored", folder)
    return folder


def newest() -> dict:
    """Register: its newest row in any folder."""
    rows = {}
    for node in EXPECTED["nodes"].values():
        for name, row in node["registers"].items():
            if name not in rows or row["accepted"] > rows[name]["accepted"]:
                rows[name] = row
    return rows


@each_node
def test_each_register_is_read_as_it_was_stored(stored, host):
    wanted = EXPECTED["nodes"][host]
    found = held_by(stored / host)
    assert found["incarnation"] == wanted["incarnation"] and found["first_set"] == wanted["first_set"]
    assert set(found["registers"]) == {"spec", "evac", "rollouts", "duty", "orders", "cores"}
    for name, row in wanted["registers"].items():
        assert found["registers"][name] == row, name
    assert found == {key: wanted[key] for key in found}


@each_node
def test_the_fixture_has_a_whole_image_and_a_tail(host):
    records = records_of((GOLDEN / "stored" / host / LOG).read_bytes())
    assert len(records) == EXPECTED["nodes"][host]["records"] > 10
    names = [row[0] for row in records[0][0]]
    assert names[0] == "\x00identity" and sorted(names[1:]) == sorted(newest())
    rows = [row for tail, _data in records[1:] for row in tail]
    assert any(row[6] for row in rows) and any(not row[6] for row in rows)


@each_node
def test_each_record_is_written_today_with_the_same_bytes(host):
    for rows, data in records_of((GOLDEN / "stored" / host / LOG).read_bytes()):
        assert pack_record(rows) == data
        for row in rows:
            if row[6]:
                # The length of what zlib makes may differ with its version, so the text is compared.
                assert zlib.decompress(pack_value(unpack_value(row[6]))) == zlib.decompress(row[6])


@pytest.mark.parametrize("kind", sorted(EXPECTED["records"]))
def test_one_record_of_each_kind_has_the_stored_bytes(kind):
    about = EXPECTED["records"][kind]
    rows = tuple((*row[:6], bytes.fromhex(row[6])) for row in about["rows"])
    assert pack_record(rows).hex() == about["hex"]
    assert records_of(bytes.fromhex(about["hex"])) == [(list(rows), bytes.fromhex(about["hex"]))]


@pytest.mark.parametrize("kind", sorted(EXPECTED["values"]))
def test_one_value_of_each_kind_has_the_stored_text(kind):
    about = EXPECTED["values"][kind]
    assert zlib.decompress(pack_value(about["value"])).decode() == about["text"]
    assert unpack_value(bytes.fromhex(about["hex"])) == about["value"]


@each_node
def test_a_first_write_of_the_image_has_the_stored_format(stored, tmp_path, host):
    """What a start writes before it tells anything: one record, identity first, then a row a register."""
    image = open_store(stored / host).load()
    other = tmp_path / "other"
    other.mkdir()
    open_store(other).write(rows=(), image=image)
    assert [path.name for path in other.iterdir()] == [LOG]
    (record,) = records_of((other / LOG).read_bytes())
    wanted = EXPECTED["nodes"][host]
    identity = ("\x00identity", 0, wanted["incarnation"], 0, " ".join(wanted["first_set"]), 0, b"")
    assert record[0][0] == identity and len(record[0]) == 1 + len(wanted["registers"])
    assert held_by(other) == held_by(stored / host)


def test_the_same_orders_make_the_same_values():
    rows = newest()
    payload, marks = configured(EXPECTED["history"])
    held = rows["spec"]["payload"]
    assert (held["edition"], held["body"]) == (payload["edition"], payload["body"])
    assert list(held) == list(payload)
    assert len(held["recent"]) >= 64 and held["recent"] == marks[-len(held["recent"]) :]
    through = rows["orders"]["payload"]["through"]
    assert rows["orders"]["payload"] == archived([row for row in marks if row[0] <= through])
    assert rows["evac"]["payload"] == evacuated(EXPECTED["evacuations"])
    assert rewritten_rollouts(rows["rollouts"]["payload"]) == rows["rollouts"]["payload"]
    about = EXPECTED["rollout"]
    assert ordered_rollout(about["before"], about["data"].encode()) == about["after"]


def only_archived() -> list:
    """Orders of the history whose marks stand in no configuration of any folder."""
    recent = {
        edition for node in EXPECTED["nodes"].values() for edition, _ in node["registers"]["spec"]["payload"]["recent"]
    }
    return [row for row in EXPECTED["history"] if row["edition"] not in recent]


def check_answers(site, *, edition: int, body: dict) -> None:
    """Every node answers with this configuration, and as stored with the rest; stored orders are acknowledged."""
    rows = newest()
    for host in HOSTS:
        status, told, tag = site.call(host, "GET", CONFIGURATION)
        assert (status, told, tag) == (200, body, f'"{edition}"')
        assert site.call(host, "GET", EVACUATION)[:2] == (200, {"zones": rows["evac"]["payload"]["zones"]})
        status, told, _tag = site.call(host, "GET", ROLLOUTS)
        stored = rows["rollouts"]["payload"]["services"]
        assert status == 200 and set(told["rollouts"]) == set(stored)
        assert all(told["rollouts"][name]["targetEdition"] == row["target"] for name, row in stored.items())
        assert all(told["rollouts"][name]["number"] == row["number"] for name, row in stored.items())
        assert site.core_set(host) == rows["cores"]["members"] == HOSTS
        archived_orders, history = only_archived(), EXPECTED["history"]
        assert len(archived_orders) >= 64
        for row in (*archived_orders[:2], archived_orders[-1], history[-64], history[-1]):
            told = site.call(host, row["method"], CONFIGURATION, body=row["data"].encode(), base=row["base"])
            assert told[0] == 200, row
        changed = history[0]["data"].encode() + b" "
        assert site.call(host, history[0]["method"], CONFIGURATION, body=changed, base=history[0]["base"])[0] == 412


def started(folder, *, seed: int) -> Site:
    site = Site(folder=folder, seed=seed)
    for host in HOSTS:
        site.start(host, seeds=HOSTS)
    site.run(8.0)
    return site


def test_core_nodes_start_from_the_stored_folders(stored):
    rows = newest()
    body = rows["spec"]["payload"]["body"]
    edition = rows["spec"]["payload"]["edition"]
    site = started(stored, seed=1)
    check_answers(site, edition=edition, body=body)
    stored_duties = rows["duty"]["payload"]
    assert all(set(stored_duties) <= set(site.duties(host)) for host in HOSTS)
    assert all(site.duties(host)[name][0] >= row[0] for host in HOSTS for name, row in stored_duties.items())

    # What is written on top is read by a second start.
    data = json.dumps({**body, "edition": edition + 5}).encode()
    assert site.call(HOSTS[1], "PUT", CONFIGURATION, body=data, base=edition)[0] == 200
    site.run(3.0)
    for host in HOSTS:
        site.stop(host)
    assert site.failures == []
    for host in HOSTS:
        before, after = EXPECTED["nodes"][host], held_by(stored / host)
        assert (after["incarnation"], after["first_set"]) == (before["incarnation"], before["first_set"])
        for name, row in before["registers"].items():
            assert after["registers"][name]["promised"] >= row["promised"]
            assert after["registers"][name]["accepted"] >= row["accepted"]
            assert after["registers"][name]["members"] == rows["cores"]["members"]
        for old, _data in records_of((stored / host / LOG).read_bytes()):
            assert pack_record(old) == _data
    again = started(stored, seed=2)
    check_answers(again, edition=edition + 5, body={**body, "edition": edition + 5})
    assert again.call(HOSTS[0], "PUT", CONFIGURATION, body=data, base=edition)[0] == 200
    assert again.failures == []


@each_node
def test_a_torn_tail_is_cut(stored, tmp_path, host):
    path = stored / host / LOG
    data = path.read_bytes()
    records = records_of(data)
    last = len(records[-1][1])
    for cut in (1, last // 2, last - 1):
        path.write_bytes(data[: len(data) - cut])
        whole = tmp_path / f"whole-{cut}"
        whole.mkdir()
        (whole / LOG).write_bytes(data[: len(data) - last])
        assert held_by(stored / host) == held_by(whole)
    path.write_bytes(data + records[-1][1][: last // 2])
    assert held_by(stored / host)["registers"] == EXPECTED["nodes"][host]["registers"]


def test_a_core_node_starts_from_a_torn_tail_and_a_new_file_that_was_left(stored):
    """The process ended in the midst of an append on one node, and before a rename on another."""
    with (stored / HOSTS[0] / LOG).open("ab") as handle:
        handle.write(b"\x00\x00\x01\x00\x12\x34")
    (stored / HOSTS[1] / NEW).write_bytes(b"\x00\x00\x00\x20half")
    site = started(stored, seed=3)
    payload = newest()["spec"]["payload"]
    check_answers(site, edition=payload["edition"], body=payload["body"])
    assert not (stored / HOSTS[1] / NEW).exists()
    records_of((stored / HOSTS[0] / LOG).read_bytes())
    assert site.failures == []


def test_the_kept_configurations_are_read_and_gone_on_with(tmp_path):
    with tarfile.open(GOLDEN / "kept.tar.gz") as packed:
        packed.extractall(tmp_path, filter="data")
    wanted = EXPECTED["kept"]
    folder = tmp_path / "kept"
    assert (folder / "configuration.json").read_text(encoding="utf-8") == wanted["text"]
    repository = keeper_of(folder)
    assert [list(row) for row in repository.log()] == wanted["log"]
    for edition, body in wanted["shown"].items():
        assert repository.show(edition=int(edition)) == body
    last = copy.deepcopy(wanted["given"][-1])
    assert repository.keep(body=last) is None
    last["edition"] += 1
    assert repository.keep(body=last)
    repository.close()
    again = keeper_of(folder)
    assert [edition for edition, _commit in again.log()] == [last["edition"], *(row[0] for row in wanted["log"])]
    again.close()


def test_the_same_configuration_is_kept_with_the_same_text(tmp_path):
    repository = keeper_of(tmp_path / "kept")
    for body in EXPECTED["kept"]["given"]:
        repository.keep(body=body)
    repository.close()
    assert (tmp_path / "kept" / "configuration.json").read_text(encoding="utf-8") == EXPECTED["kept"]["text"]
