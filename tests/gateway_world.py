"""The real front in this process between stand-ins and clients on loopback. They check the rules after every step."""

import json
import time
from types import SimpleNamespace

from loopback import PAGES, StandInBulletin, StandInEngine, until, wait
from twisted.internet import reactor
from twisted.internet.protocol import ClientCreator, Protocol

from lichenquay.gateway import frames
from lichenquay.gateway.service import Service

SETTINGS = {
    "seed": 1,
    "resolution_us": 5000,
    "replicas_of_me": 1,
    "my_zone": "a",
    "kinds": ["k"],
    "over_share_worth": 0.1,
    "classes": [
        {
            "name": "status",
            "effect": "safe",
            "aim_us": 500000,
            "deadline_us": 2500000,
            "aim_stretch": 1.5,
            "worth": 1,
        },
        {
            "name": "report",
            "effect": "safe",
            "aim_us": 1000000,
            "deadline_us": 4000000,
            "aim_stretch": 2.5,
            "worth": 20,
        },
        {"name": "manifest", "effect": "unsafe", "aim_us": 1000000, "deadline_us": 4000000, "worth": 30},
    ],
    "tenants": [{"name": "acme", "share": 1.0, "allowance_per_s": 50.0}],
    "limits": {"most_tries": 6, "cancel": True, "keepalive_us": 15000000, "connect_timeout_us": 250000},
    "rules": {
        "answer_slack_us": 20000,
        "stop_sending_within_us": 250000,
        "start_capacity": 0.3,
        "ramp_time_us": 8000000,
        "overload_factor": 3.0,
        "fall_us": 1500000,
    },
    "report": {"how": "answers", "columns": ["active"]},
    "family_info": {
        "width_by_class": [1, 3, 2],
        "loads": [False, False, True],
        "size_cores": [8],
        "memory_by_kind_mb": [16384.0],
        "most_grant": 0.4,
        "progress_pace_us": 500000,
        "says_cost": True,
        "takes_grants": True,
        "ranks_heeded": True,
        "out_of_memory": "queue",
    },
}
STATEMENT = b"select id, n, 'from x_9.t' from sales_17.orders -- y_3.z"
BROKEN = []  # rules that were seen broken: what fails inside the reactor fails no test by itself
RESULT = b"".join(PAGES)


class StandInClient(Protocol):
    """One client's connection: what it was answered, by stream; a second answer fails at once."""

    def __init__(self):
        self.reader, self.answers, self.told, self.closed, self.streams = (
            frames.FrameReader(),
            {},
            [],
            False,
            0,
        )

    def dataReceived(self, data):
        for kind, stream, payload in self.reader.feed(data):
            if kind == frames.FrameType.ANSWER:
                if stream and stream in self.answers:
                    BROKEN.append("rule 1: two answers")
                fields, body = frames.read_fields(payload[1:])
                self.answers[stream] = (payload[0], bytes(body), time.time())
            else:
                self.told.append((kind, stream, bytes(payload)))

    def connectionLost(self, reason):
        self.closed = True

    def ask(self, group="status", ref=None, allow=2000, statement=STATEMENT, **fields):
        self.streams += 1
        ref = ref or f"{id(self) % 2**32:08x}{self.streams:08x}"
        fields = {
            "service": group,
            "ref": ref,
            "allow": str(allow),
            "project": "acme",
            "effort": "20.0",
            "memory": "96",
            **fields,
        }
        pairs = [(n, v) for n, v in fields.items() if v is not None and n != "twice"]
        pairs += [("ref", ref)] if "twice" in fields else []
        self.transport.write(
            frames.encode_frame(frames.FrameType.QUERY, self.streams, frames.encode_fields(pairs), statement)
        )
        return self.streams


def reactor_for(world):
    """The reactor as a service sees it: one that ends with its world, not with the tests."""
    until(lambda: True)
    return SimpleNamespace(
        callLater=reactor.callLater,
        connectTCP=reactor.connectTCP,
        listenTCP=reactor.listenTCP,
        adoptStreamConnection=reactor.adoptStreamConnection,
        seconds=reactor.seconds,
        callFromThread=reactor.callFromThread,
        stop=world.end,
        callWhenRunning=lambda call: call(),
    )


class World:
    """Engines, a bulletin and the front between them and the clients, all in this process."""

    def __init__(self, tmp_path, engines=2, sockets=200, start=True):
        self.out, self.may = set(), {}  # attempts out, by ref; those that may have run
        self.drained = {}  # engines, since when it is told that they drain
        BROKEN.clear()
        self.engines = [StandInEngine(self, f"s-{i}") for i in range(engines)]
        self.bulletin = StandInBulletin()
        self.bulletin.add(*(e.row() for e in self.engines), whole=True)
        self.path = tmp_path / "config.json"
        self.config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "bulletin": self.bulletin.address,
            "known": json.loads(self.bulletin.told(0)),
            "settings": SETTINGS,
        }
        self.path.write_text(json.dumps(self.config))
        self.clients, self.ended = [], False
        if start:
            self.start()
            until(lambda: self.service.discovery.is_confirmed)

    def start(self):
        self.service = Service(reactor_for(self), {"BALANCER_CONFIG": str(self.path)})
        until(lambda: True)
        self.service.start()
        self.port = self.service.clients.listener.port.getHost().port

    def end(self):
        self.ended = True

    def sent(self, engine, headers, way):
        """An attempt came whole to an engine: rules 2 and 3."""
        ref = headers["X-Hop-Id"]
        if ref in self.out:
            BROKEN.append("rule 2: two attempts out")
        if headers["X-Sort"] == "manifest" and ref in self.may:
            BROKEN.append("rule 2: mutating sent again")
        if self.drained.get(engine, time.monotonic()) < time.monotonic() - 0.3:
            BROKEN.append("rule 3: sent after a drain was told")
        if way != "full":
            self.may[ref] = engine
        self.out.add(ref)

    def client(self):
        got = []
        ClientCreator(reactor, StandInClient).connectTCP("127.0.0.1", self.port).addCallback(got.append)
        until(lambda: got)
        self.clients.append(got[0])
        return got[0]

    def hold(self):
        """A report that an engine holds, and takes its time over: its client, its stream, its engine."""
        client, ways = self.client(), ["hold"]
        for e in self.engines:
            e.ways = ways
        stream = client.ask("report", allow=4000)
        until(lambda: any(e.news > 1 for e in self.engines))
        return client, stream, next(e for e in self.engines if e.posts)

    def posts(self):
        return sum(len(e.posts) for e in self.engines)

    def tell(self, engine, state):
        if state == "SERVING":
            self.drained.pop(engine, None)
        else:
            self.drained.setdefault(engine, time.monotonic())
        self.bulletin.add(engine.row(state))

    def close(self):
        for client in self.clients:
            client.transport.abortConnection()
        if hasattr(self, "service"):
            self.service.discovery_factory.stopped = True
            if self.service.clients.listener.port:
                self.service.clients.listener.port.stopListening()
            for line in list(self.service.engines.connections):
                line.abort()
        for thing in (*self.engines, self.bulletin):
            for line in list(thing.lines):
                line.transport.abortConnection()
            thing.port.stopListening()
        wait(0.05)
        assert not BROKEN, BROKEN


def answered(client, stream, seconds=5.0):
    until(lambda: stream in client.answers, seconds)
    return client.answers[stream][:2]
