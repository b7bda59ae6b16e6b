"""A gateway in this process with stand-ins for engines, discovery and clients, which check its rules."""

import json
import time
from types import SimpleNamespace

from loopback import PAGES, StandInDiscovery, StandInEngine, until, wait
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
BROKEN_RULES = []  # violations found so far: an exception inside the reactor would not fail the test
RESULT = b"".join(PAGES)
TENANT = "acme"
MAX_SEND_AFTER_DRAIN_S = 0.3  # an attempt that arrives this long after its engine's drain breaks a rule


class StandInClient(Protocol):
    """One client's connection.

    answers: (code, body, Unix time) by stream.
    notices: frames other than answers, as (type, stream, payload).
    """

    def __init__(self):
        """Starts without answers and notices."""
        self.reader = frames.FrameReader()
        self.answers = {}
        self.notices = []
        self.is_closed = False
        self.last_stream = 0

    def dataReceived(self, data):
        """Records answers and notices; a second answer to a request breaks rule 1."""
        for frame in self.reader.feed(data):
            if frame.type != frames.FrameType.ANSWER:
                self.notices.append((frame.type, frame.stream, bytes(frame.payload)))
                continue
            if frame.stream and frame.stream in self.answers:
                BROKEN_RULES.append("rule 1: two answers")
            _, body = frames.read_fields(frame.payload[1:])
            self.answers[frame.stream] = (frame.payload[0], bytes(body), time.time())

    def connectionLost(self, reason):
        """Records that the connection was closed."""
        self.is_closed = True

    def ask(self, group="status", ref=None, allow=2000, statement=STATEMENT, **fields):
        """Sends a request and returns its stream.

        fields: by wire name; None omits a field, and `twice` repeats the field `ref`.
        """
        self.last_stream += 1
        ref = ref or f"{id(self) % 2**32:08x}{self.last_stream:08x}"
        has_repeated_field = fields.pop("twice", False)
        values = {
            "service": group,
            "ref": ref,
            "allow": str(allow),
            "project": TENANT,
            "effort": "20.0",
            "memory": "96",
            **fields,
        }
        pairs = [(name, value) for name, value in values.items() if value is not None]
        if has_repeated_field:
            pairs.append(("ref", ref))
        payload = frames.encode_fields(pairs)
        self.transport.write(
            frames.encode_frame(frames.FrameType.QUERY, self.last_stream, payload, statement)
        )
        return self.last_stream


def reactor_for(world):
    """Returns the reactor for a service, whose `stop` ends the world instead of the tests' reactor."""
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
    """Engines, a discovery service, clients and the gateway between them, all in this process.

    in_flight: request ids of attempts that are running.
    may_have_run: the engine of each attempt that may have run, by request id.
    drained: when an engine's drain was announced, in seconds, by engine.
    """

    def __init__(self, tmp_path, engines=2, sockets=200, start=True):
        """Writes the configuration, with `sockets` as descriptor limit, and if `start` starts the gateway."""
        self.in_flight = set()
        self.may_have_run = {}
        self.drained = {}
        BROKEN_RULES.clear()
        self.engines = [StandInEngine(self, f"s-{i}") for i in range(engines)]
        self.discovery = StandInDiscovery()
        self.discovery.add_event(*(engine.row() for engine in self.engines), whole=True)
        self.path = tmp_path / "config.json"
        self.config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "bulletin": self.discovery.address,
            "known": json.loads(self.discovery.events_after(0)),
            "settings": SETTINGS,
        }
        self.path.write_text(json.dumps(self.config))
        self.clients = []
        self.ended = False
        if start:
            self.start()
            until(lambda: self.service.discovery.is_confirmed)

    def start(self):
        """Starts the gateway on the configuration file."""
        self.service = Service(reactor_for(self), {"BALANCER_CONFIG": str(self.path)})
        until(lambda: True)
        self.service.start()
        self.port = self.service.clients.listener.port.getHost().port

    def end(self):
        """Records that the gateway has ended."""
        self.ended = True

    def on_attempt(self, engine, headers, behaviour):
        """Checks rules 2 and 3 for an attempt that has arrived at an engine."""
        request_id = headers["X-Hop-Id"]
        if request_id in self.in_flight:
            BROKEN_RULES.append("rule 2: two attempts in flight")
        if headers["X-Sort"] == "manifest" and request_id in self.may_have_run:
            BROKEN_RULES.append("rule 2: non-idempotent query run again")
        now_s = time.monotonic()
        if self.drained.get(engine, now_s) < now_s - MAX_SEND_AFTER_DRAIN_S:
            BROKEN_RULES.append("rule 3: sent after a drain was announced")
        if behaviour != "full":
            self.may_have_run[request_id] = engine
        self.in_flight.add(request_id)

    def client(self):
        """Opens and returns a client's connection."""
        connected = []
        creator = ClientCreator(reactor, StandInClient)
        creator.connectTCP("127.0.0.1", self.port).addCallback(connected.append)
        until(lambda: connected)
        self.clients.append(connected[0])
        return connected[0]

    def hold(self, allow=4000):
        """Sends a report query that its engine does not finish; returns its client, stream and engine."""
        client = self.client()
        behaviours = ["hold"]
        for engine in self.engines:
            engine.behaviours = behaviours
        stream = client.ask("report", allow=allow)
        until(lambda: any(engine.polls > 1 for engine in self.engines))
        return client, stream, next(engine for engine in self.engines if engine.posts)

    def posts(self):
        """Returns how many attempts have arrived at the engines."""
        return sum(len(engine.posts) for engine in self.engines)

    def announce(self, engine, state):
        """Announces an engine's state, by its wire name, through the discovery service."""
        if state == "SERVING":
            self.drained.pop(engine, None)
        else:
            self.drained.setdefault(engine, time.monotonic())
        self.discovery.add_event(engine.row(state))

    def close(self):
        """Closes all connections and ports; fails if a rule was broken."""
        for client in self.clients:
            client.transport.abortConnection()
        if hasattr(self, "service"):
            self.service.endpoint_watch.stop()
            if self.service.clients.listener.port:
                self.service.clients.listener.port.stopListening()
            for connection in list(self.service.engines.connections):
                connection.abort()
        for stand_in in (*self.engines, self.discovery):
            for connection in list(stand_in.connections):
                connection.transport.abortConnection()
            stand_in.port.stopListening()
        wait(0.05)
        assert not BROKEN_RULES, BROKEN_RULES


def start_with_settings(make_world, settings, **options):
    """Returns a world whose gateway has these deployment settings and a confirmed endpoint list."""
    world = make_world(start=False, **options)
    world.path.write_text(json.dumps({**world.config, "settings": settings}))
    world.start()
    until(lambda: world.service.discovery.is_confirmed)
    return world


def start_with_long_deadlines(make_world, **options):
    """Returns a world whose clients may wait for 8 s: longer than a call on a new connection may matter."""
    settings = json.loads(json.dumps(SETTINGS))
    for group in settings["classes"]:
        group["deadline_us"] = 8_000_000
    return start_with_settings(make_world, settings, **options)


def answered(client, stream, timeout_s=5.0):
    """Waits for the answer to a request; returns its code and body."""
    until(lambda: stream in client.answers, timeout_s)
    return client.answers[stream][:2]
