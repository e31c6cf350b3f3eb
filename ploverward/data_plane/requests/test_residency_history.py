"""Random histories of faults and configuration changes, checked for data residency, on real sockets.

Regions fail or are overloaded, home regions change, zones are evacuated and relays fail over. The test then compares
the requests that the replicas received with the permitted regions and with the custody trails.
"""

import copy
import random
import re

import pytest

from ploverward.control_plane.audit import trail_audit
from ploverward.data_plane.relay import host
from ploverward.data_plane.relay import mirror
from ploverward.simulation import loopback
from ploverward.simulation import loopback_proxy
from ploverward.simulation import recording_connections

ZONES = {"za": "north", "zb": "south", "zc": "west"}


def ids(received):
    return re.findall(rb"X-Attempt-Id: (\w+)", received, re.I)


class RelayHarness:
    """The relay of the region south, mirrored by both proxies; a failover starts a new epoch with new generations."""

    def __init__(self, *, scenes):
        self.scenes = scenes
        self.epoch = 0
        self.views = []
        for scene in scenes:
            region = mirror.RegionMirror(now=scene.loop.now, trust_s=4.0)
            scene.chooser._regions["south"] = region
            scene.report_prefill = self.read
            self.views.append((recording_connections.RecordingLink(), region))
        self.fail_over()

    def fail_over(self):
        self.epoch += 1
        for link, region in self.views:
            region.mark_broken()
            link.clear()
        self.host = host.RelayHost(region="south", epoch=self.epoch, now=self.scenes[0].loop.now, suspicion_s=1.0)
        self.host.sync(
            services={"llm": {"models": ("m",), "cache_tokens": 1000}},
            replicas=[
                {"id": row["id"], "service": "llm", "region": ZONES[row["zone"]], "models": ["m"]}
                for row in self.scenes[0].rows
            ],
        )
        self.digest = recording_connections.RecordingLink()
        self.number = 1
        self.host.subscribe(self.digest, region="south")
        self.host.handle_aggregates(
            self.digest,
            recording_connections.aggregates_message(1, loads=[recording_connections.load_row("i2", ended=1)]),
        )
        for link, _region in self.views:
            self.host.subscribe(link, region="south")

    def read(self, *, replica, service, model, parts, salt):
        assert salt == model
        self.number += 1
        self.host.handle_aggregates(
            self.digest,
            recording_connections.aggregates_message(
                self.number, reads=[recording_connections.read_row(replica.id, *parts, service=service, model=model)]
            ),
        )

    def publish(self):
        self.host.tick()
        for link, region in self.views:
            for message in link.messages:
                region.handle_publication(message)
            link.clear()


@pytest.mark.parametrize("seed", range(12))
def test_requests_stay_in_permitted_regions_and_trails_list_all_recipients(seed):
    rng = random.Random(seed)
    loop = loopback.new_loop()
    zone_states = {zone: "healthy" for zone in ZONES}

    def script_of(zone):
        def script(number, received):
            if received.count(b"\r\n\r\nbody") < len(ids(received)):
                return None
            if zone_states[zone] == "resetting":
                return ["reset"]
            if zone_states[zone] == "silent":
                return None
            request_id = ids(received)[-1]
            if zone_states[zone] == "overloaded" and rng.random() < 0.6:
                return [
                    b"HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" % request_id
                ]
            first = int((re.findall(rb"Last-Event-Id: (\d+)", received.rpartition(b"POST")[2], re.I) or [b"0"])[0]) + 1
            response = (
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nTransfer-Encoding: chunked\r\n\r\n"
                % request_id
            )
            for event_number in range(first, 4):
                text = b"id: %d\ndata: t%d\n\n" % (event_number, event_number)
                response += b"%x\r\n%s\r\n" % (len(text), text)
                if rng.random() < 0.15:
                    return [response, "close"]
            return [response + b"0\r\n\r\n"]

        return script

    zones = ["za", "za", "zb", "zb", "zc"]
    peers = [loopback.ScriptedServer(loop=loop, script=script_of(zone)) for zone in zones]
    scenes = [
        loopback_proxy.LoopbackProxy(loop=loop, peers=list(zip(peers, zones, strict=False))) for _ in range(2)
    ]  # two entry proxies
    relay = RelayHarness(scenes=scenes)
    configuration = copy.deepcopy(loopback_proxy.CONFIGURATION)
    home_route = next(route for route in configuration["routes"] if route["name"] == "home")
    permitted_regions = {}  # by request id: the home regions in force when the request was sent
    homes = ("south",)
    number = 0
    for step in range(18):
        draw = rng.random() if step else 1.0  # the first requests meet no fault
        if draw < 0.25:
            zone_states[rng.choice(list(ZONES))] = rng.choice(
                ("healthy", "healthy", "resetting", "silent", "overloaded")
            )
        elif draw < 0.4:
            # Home regions change while the history runs; from here on both the old and the new ones apply.
            homes = rng.choice((("south",), ("north", "south"), ("north",), ("south", "west")))
            home_route["homeRegions"] = list(homes)
            configuration["edition"] += 1
            for scene in scenes:
                scene.configure(copy.deepcopy(configuration))
        elif draw < 0.5:
            evacuated = rng.sample(("za", "zb"), rng.randint(0, 1))
            for scene in scenes:
                scene.table.install_evacuations(evacuated)
        elif draw < 0.6:
            clearing = rng.sample(["i0", "i2", "i4"], 1)
            for scene in scenes:
                scene.table.install_list(scene.list_rows(clearing=clearing))
        elif draw < 0.7:
            relay.fail_over()
        relay.publish()
        clients = []
        for _ in range(rng.choice((1, 1, 4))):
            number += 1
            route_name = rng.choice(("home", "home", "resume")) if step else "home"
            # A client may send any request to either proxy.
            client = loopback.Client(loop=loop, address=rng.choice(scenes).address)
            clients.append(client)
            client.send(
                b"POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d\r\nX-Model: m\r\nX-Token-Count: 30,8\r\n"
                b"X-Prompt-Lead: aa:10,b%d:20\r\nX-Time-Left-Ms: 300\r\nContent-Length: 4\r\n\r\nbody"
                % (route_name.encode(), number, number)
            )
            if route_name == "home":
                permitted_regions[b"a%d" % number] = set(homes)
        assert loopback.until(
            loop,
            lambda clients=clients: (
                not any(scene.handlers for scene in scenes)
                and all(
                    client.is_closed or client.got.endswith(b"0\r\n\r\n") or b"HTTP/1.1 50" in client.got
                    for client in clients
                )
            ),
        )
        for client in clients:
            if not client.is_closed:
                loop.unwatch(sock=client.sock)
            client.sock.close()

    assert all(region.pools and region.epoch == relay.epoch for _link, region in relay.views)

    received = {}
    for index, (peer, zone) in enumerate(zip(peers, zones, strict=False)):
        for data in peer.received:
            for request_id in ids(data):
                received.setdefault(request_id, set()).add((f"i{index}", zone))
    assert len(received) > 5
    for request_id, recipients in received.items():
        for _replica, zone in recipients:
            assert request_id not in permitted_regions or ZONES[zone] in permitted_regions[request_id], (
                request_id,
                zone,
                permitted_regions[request_id],
            )

    trails = [trail for scene in scenes for trail in scene.trails()]
    assert trail_audit.summary(trails=trails, coverage=[], zones=ZONES)["outside"] == []
    sent = {
        trail["id"].encode(): {
            (attempt["replica"], attempt["zone"]) for attempt in trail["goes"] if attempt["end"] != "not sent"
        }
        for trail in trails
    }
    for request_id, recipients in received.items():
        assert recipients <= sent[request_id]

    restricted_trail = next(
        trail for trail in trails if trail["homes"] and any(attempt["end"] != "not sent" for attempt in trail["goes"])
    )
    outside_trail = copy.deepcopy(restricted_trail)
    next(attempt for attempt in outside_trail["goes"] if attempt["end"] != "not sent")["zone"] = next(
        zone for zone, region in ZONES.items() if region not in outside_trail["homes"]
    )
    assert trail_audit.summary(trails=[outside_trail], coverage=[], zones=ZONES)["outside"]
