"""Histories on real sockets: regions are lost, cut and overrun, homes change, zones go out; what the replicas heard is
then compared, by a look of its own, with the permitted regions and with the custody trails."""

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


def ids(heard):
    return re.findall(rb"X-Attempt-Id: (\w+)", heard, re.I)


class Relay:
    """The relay of the south as both proxies mirror it, with its failover: a new epoch, new generations."""

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
        for wire, region in self.views:
            region.fail()
            wire.clear()
        self.host = host.Host(region="south", epoch=self.epoch, now=self.scenes[0].loop.now, suspicion_s=1.0)
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
        for wire, _region in self.views:
            self.host.subscribe(wire, region="south")

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
        for wire, region in self.views:
            for message in wire.messages:
                region.handle_publication(message)
            wire.clear()


@pytest.mark.parametrize("seed", range(12))
def test_requests_stay_in_permitted_regions_and_trails_list_all_recipients(seed):
    chance = random.Random(seed)
    loop = loopback.new_loop()
    state = {zone: "well" for zone in ZONES}

    def script_of(zone):
        def script(number, heard):
            if heard.count(b"\r\n\r\nbody") < len(ids(heard)):
                return None
            if state[zone] == "lost":
                return ["reset"]
            if state[zone] == "dark":
                return None
            which = ids(heard)[-1]
            if state[zone] == "full" and chance.random() < 0.6:
                return [b"HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" % which]
            first = int((re.findall(rb"Last-Event-Id: (\d+)", heard.rpartition(b"POST")[2], re.I) or [b"0"])[0]) + 1
            out = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: p\r\nTransfer-Encoding: chunked\r\n\r\n" % which
            for nth in range(first, 4):
                text = b"id: %d\ndata: t%d\n\n" % (nth, nth)
                out += b"%x\r\n%s\r\n" % (len(text), text)
                if chance.random() < 0.15:
                    return [out, "close"]
            return [out + b"0\r\n\r\n"]

        return script

    zones = ["za", "za", "zb", "zb", "zc"]
    peers = [loopback.Peer(loop=loop, script=script_of(zone)) for zone in zones]
    scenes = [
        loopback_proxy.LoopbackProxy(loop=loop, peers=list(zip(peers, zones, strict=False))) for _ in range(2)
    ]  # two entry proxies
    relay = Relay(scenes=scenes)
    configuration = copy.deepcopy(loopback_proxy.CONFIGURATION)
    home = next(route for route in configuration["routes"] if route["name"] == "home")
    bound = {}  # request id: the regions that every configuration around it permits
    homes = ("south",)
    number = 0
    for step in range(18):
        callback = chance.random() if step else 1.0  # the first requests find all well
        if callback < 0.25:
            state[chance.choice(list(ZONES))] = chance.choice(("well", "well", "lost", "dark", "full"))
        elif callback < 0.4:
            # Homes change in mid-flight: both the older and the newer ones bind from here on.
            homes = chance.choice((("south",), ("north", "south"), ("north",), ("south", "west")))
            home["homeRegions"] = list(homes)
            configuration["edition"] += 1
            for scene in scenes:
                scene.configure(copy.deepcopy(configuration))
        elif callback < 0.5:
            out = chance.sample(("za", "zb"), chance.randint(0, 1))
            for scene in scenes:
                scene.table.install_evacuations(out)
        elif callback < 0.6:
            clearing = chance.sample(["i0", "i2", "i4"], 1)
            for scene in scenes:
                scene.table.install_list(scene.list_rows(clearing=clearing))
        elif callback < 0.7:
            relay.fail_over()
        relay.publish()
        clients = []
        for _ in range(chance.choice((1, 1, 4))):
            number += 1
            lead = chance.choice(("home", "home", "resume")) if step else "home"
            # Clients move: any request may come in at either proxy.
            client = loopback.Client(loop=loop, address=chance.choice(scenes).address)
            clients.append(client)
            client.send(
                b"POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d\r\nX-Model: m\r\nX-Token-Count: 30,8\r\n"
                b"X-Prompt-Lead: aa:10,b%d:20\r\nX-Time-Left-Ms: 300\r\nContent-Length: 4\r\n\r\nbody"
                % (lead.encode(), number, number)
            )
            if lead == "home":
                bound[b"a%d" % number] = set(homes)
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

    assert all(region.pools and region.epoch == relay.epoch for _wire, region in relay.views)

    heard = {}
    for index, (peer, zone) in enumerate(zip(peers, zones, strict=False)):
        for data in peer.heard:
            for which in ids(data):
                heard.setdefault(which, set()).add((f"i{index}", zone))
    assert len(heard) > 5
    for which, places in heard.items():
        for _replica, zone in places:
            assert which not in bound or ZONES[zone] in bound[which], (which, zone, bound[which])

    trails = [trail for scene in scenes for trail in scene.trails()]
    assert trail_audit.summary(trails=trails, coverage=[], zones=ZONES)["outside"] == []
    sent = {
        trail["id"].encode(): {
            (attempt["replica"], attempt["zone"]) for attempt in trail["goes"] if attempt["end"] != "not sent"
        }
        for trail in trails
    }
    for which, places in heard.items():
        assert places <= sent[which]

    homed = next(
        trail for trail in trails if trail["homes"] and any(attempt["end"] != "not sent" for attempt in trail["goes"])
    )
    planted = copy.deepcopy(homed)
    next(attempt for attempt in planted["goes"] if attempt["end"] != "not sent")["zone"] = next(
        zone for zone, region in ZONES.items() if region not in planted["homes"]
    )
    assert trail_audit.summary(trails=[planted], coverage=[], zones=ZONES)["outside"]
