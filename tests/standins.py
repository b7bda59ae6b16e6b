"""What the tests play against: a fake front for the controller, and for the real front engines, a bulletin and
clients on loopback. They check the rules after every step."""
import heapq
import json
import time
from types import SimpleNamespace

from twisted.internet import reactor
from twisted.internet.protocol import ClientCreator, Factory, Protocol

from lichenquay.admission import interface as io
from lichenquay.admission.controller import Controller
from lichenquay.front import frames
from lichenquay.front.service import Service


def group(name="report", effect=io.READ_ONLY, **more):
    facts = dict(target_ms=2000.0, stretch=2.0, timeout_ms=10000.0, value=5.0, late_value=0.3, threads=2)
    return io.ResourceGroup(name, effect, **{**facts, **more})


def quick(**more):
    return group("status", threads=1, target_ms=500.0, timeout_ms=2500.0, value=1.0, **more)


def engine(name, place="a", kind="k", cell=0, started=None, cores=8.0, memory=16000.0):
    return io.Engine(name, place, kind, cell, io.LISTED, 1.0, started, cores, memory)


class FakeDoor:
    """Keeps what the controller was told and asked, as the rules judge it."""

    def __init__(self, groups, engines, tenants=(), fronts=2, seed=7, on_request=False, **figures):
        self.now_ms, self.timers, self.n = 1000.0, [], 0
        self.queries, self.subs, self.done, self.cancelled, self.logs, self.lines = [], [], {}, [], [], []
        self.told, self.key_free, self.probes, self.ranks, self.watched = {}, {}, [], [], 0
        self.licence = io.Licence(figures.get("most", 4), figures.get("cancel", True), figures.get("probe", True),
                                  False, 500.0)
        self.rules = io.Safeguards(20.0, 250.0, 0.3, 15000.0, 3.0, 1500.0, figures.get("rest", 300.0),
                                   figures.get("free"), figures.get("share", 0.0), figures.get("window", 0.0), 10000.0)
        self.make = figures.get("make") or io.EngineMake(True, True, 0.4, "queue", 500.0, True, ("active",), "answers")
        self.fronts, self.engines = fronts, list(engines)
        self.sharers = fronts if figures.get("number") is None else 1      # of a cold engine's budget, at least
        self.c = Controller(self, io.Gateway("a", fronts, seed, 5.0, on_request, figures.get("number")), list(groups), list(tenants),
                            self.licence, self.rules, self.make)
        self.c.list_news(self.engines, True)

    # the door

    def submit(self, q, e, patience_ms):
        g, may = q.group, [s for s in q.submissions if s.ending not in io.NEVER_RAN]
        assert not q.over and q.id not in self.done, "rule 1: sent after its end"
        assert not any(s.ending is None for s in q.submissions), "two submissions out"
        assert len(q.submissions) < self.licence.most_submissions
        assert g.effect != io.MUTATING or not may, "rule 2: mutating sent again"
        if g.effect == io.TOKENED and may:
            where = {"all": lambda x: 0, "zone": lambda x: x.place, "cell": lambda x: x.cell}[g.dedup]
            assert all(where(s.engine) == where(e) and self.now_ms - s.sent_ms < g.memory_window_ms for s in may), "rule 2"
        assert e.state == io.LISTED, "rule 3"
        assert (not g.places or e.place in g.places) and (not g.kinds or e.kind in g.kinds), "rule 6"
        if g.in_order and q.key:
            ahead = [x for x in self.lines if x.key == q.key and x.group.in_order and x.id < q.id]
            assert all(x.over and all(s.ending for s in x.submissions) for x in ahead), "rule 5: out of turn"
            assert self.now_ms >= self.key_free.get((q.key, q.id), self.key_free.get(q.key, 0.0)), "rule 5: no rest"
        sub = io.Submission(q, len(q.submissions), e, self.now_ms)
        q.submissions.append(sub)
        self.subs.append(sub)
        r = self.rules
        if sub.number and r.further_free is not None:
            since = self.now_ms - r.further_window_ms
            further = sum(1 for s in self.subs if s.number and s.sent_ms > since)
            taken = sum(1 for x in self.queries if x.arrived_ms > since)
            assert further <= r.further_free + r.further_share * taken, "rule 7"
        if e.started_ms is not None and self.now_ms - e.started_ms < r.cold_ms:
            sent = sum(s.query.work_ms for s in self.subs if s.engine is e
                       and s.sent_ms >= max(self.told.get(e, 0.0), self.now_ms - r.cold_window_ms))
            assert sent <= r.cold_multiple * self.warm(e) * 0.85 * e.cores * r.cold_window_ms / self.sharers, "rule 4"
        return sub

    def warm(self, e):
        age = (self.now_ms - e.started_ms) / self.rules.cold_ms
        return self.rules.cold_share + (1 - self.rules.cold_share) * min(1.0, age)

    def end(self, q, how):
        assert not q.over and q.id not in self.done, "rule 1: two answers"
        assert self.now_ms <= q.ends_ms + self.rules.answer_slack_ms, "rule 1: late"
        q.over, self.done[q.id] = True, how

    def defer(self, q, pause_ms):
        g = q.group
        may = [s for s in q.submissions if s.ending not in io.NEVER_RAN]
        assert g.effect == io.READ_ONLY or not may or (g.effect == io.TOKENED and g.dedup == "all"), "rule 2: deferred"
        assert 0 <= pause_ms <= self.licence.longest_pause_ms
        self.end(q, "deferred")

    def kill(self, q):
        self.end(q, "killed")

    def allot(self, q, memory_mb, priority):
        assert memory_mb >= 0 and 0 <= priority <= 3
        self.ranks.append((q.id, memory_mb, priority))

    def cancel(self, sub):
        assert self.licence.cancel
        self.cancelled.append(sub)

    def wake(self, at_ms, call):
        self.n += 1
        heapq.heappush(self.timers, (max(at_ms, self.now_ms + 5.0), self.n, call))

    def probe(self, e):
        assert self.licence.probe
        self.probes.append(e)

    def watch_list(self):
        self.watched += 1

    def log(self, text):
        self.logs.append(text)

    # the world

    def take(self, g, work=200.0, memory=100.0, ttl=None, **more):
        q = io.Query(len(self.queries) + 1, g, self.now_ms, self.now_ms + (ttl or g.timeout_ms), work_ms=work,
                     memory_mb=memory, **more)
        self.queries.append(q)
        self.lines.append(q)
        self.c.take(q)
        return q

    def answer(self, sub, ending, report=None, cost=None):
        q = sub.query
        sub.ending = ending
        if ending == io.FINISHED and not q.over:
            self.end(q, "finished")
        if ending in (io.TIMED_OUT, io.RESET, io.CANCELLED) and q.group.in_order:
            self.key_free[q.key] = self.now_ms + self.rules.order_rest_ms
            self.key_free[q.key, q.id] = 0.0        # the rest does not delay the query whose turn it is
        self.c.answered(sub, self.now_ms - sub.sent_ms, cost, report)

    def until(self, at_ms):
        while self.timers and self.timers[0][0] <= at_ms:
            at, _, call = heapq.heappop(self.timers)
            self.now_ms = max(self.now_ms, at)
            call()
            self.overdue()
        self.now_ms = max(self.now_ms, at_ms)

    def overdue(self):
        for q in self.queries:
            assert q.over or self.now_ms <= q.ends_ms + self.rules.answer_slack_ms, "rule 1: no answer in time"
        self.queries = [q for q in self.queries if not q.over or q.arrived_ms > self.now_ms - 30000]

    def out(self):
        return [s for s in self.subs if s.ending is None]


# stand-ins on loopback for the real front

SETTINGS = {
    "seed": 1, "resolution_us": 5000, "replicas_of_me": 1, "my_zone": "a", "kinds": ["k"], "over_share_worth": 0.1,
    "classes": [
        {"name": "status", "effect": "safe", "aim_us": 500000, "deadline_us": 2500000, "aim_stretch": 1.5, "worth": 1},
        {"name": "report", "effect": "safe", "aim_us": 1000000, "deadline_us": 4000000, "aim_stretch": 2.5, "worth": 20},
        {"name": "manifest", "effect": "unsafe", "aim_us": 1000000, "deadline_us": 4000000, "worth": 30}],
    "tenants": [{"name": "acme", "share": 1.0, "allowance_per_s": 50.0}],
    "limits": {"most_tries": 6, "cancel": True, "keepalive_us": 15000000, "connect_timeout_us": 250000},
    "rules": {"answer_slack_us": 20000, "stop_sending_within_us": 250000, "start_capacity": 0.3, "ramp_time_us": 8000000,
              "overload_factor": 3.0, "fall_us": 1500000},
    "report": {"how": "answers", "columns": ["active"]},
    "family_info": {"width_by_class": [1, 3, 2], "loads": [False, False, True], "size_cores": [8],
                    "memory_by_kind_mb": [16384.0], "most_grant": 0.4, "progress_pace_us": 500000, "says_cost": True,
                    "takes_grants": True, "ranks_heeded": True, "out_of_memory": "queue"}}
STATEMENT = b"select id, n, 'from x_9.t' from sales_17.orders -- y_3.z"
BROKEN = []         # rules that were seen broken: what fails inside the reactor fails no test by itself
SPOILT = {
    "garbled": b"no answer at all\r\n\r\n", "short": b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 7\r\n\r\n1\ta\tb\n2\tc",
    "endless head": b"HTTP/1.1 200 OK\r\n" + b"X-Odd: 1\r\n" * 3000, "no length": b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\n\r\n1\ta\tb\n",
    "huge": b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 50_000,
    "another page": b"HTTP/1.1 200 OK\r\nX-Part-No: 1\r\nContent-Length: 6\r\n\r\n1\ta\tb\n",
    "another call": b"HTTP/1.1 204 X\r\n\r\n", "two lengths": b"HTTP/1.1 503 X\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
    "waits": b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 7\r\n\r\n1\ta"}
PAGES = [b"1\ta\tb\n2\tc\td\n", b"3\te\tf\n", b"4\t\xc3\xa9\t\n"]


def until(done, seconds=5.0):
    """Runs the reactor until something is so."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    end = time.monotonic() + seconds
    while not done():
        assert time.monotonic() < end, "it did not happen in time"
        reactor.iterate(0.01)


def wait(seconds):
    end = time.monotonic() + seconds
    until(lambda: time.monotonic() >= end, seconds + 1)


class HttpLine(Protocol):
    """One connection to a stand-in that speaks HTTP: calls go to `owner.heard(line, verb, path, headers, body)`."""

    def __init__(self, owner):
        self.owner, self.got = owner, b""

    def connectionMade(self):
        self.owner.lines.add(self)
        self.owner.met += 1
        if self.owner.slams:
            self.transport.abortConnection()

    def connectionLost(self, reason):
        self.owner.lines.discard(self)

    def dataReceived(self, data):
        self.got += data
        while b"\r\n\r\n" in self.got:
            head, _, rest = self.got.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines)
            size = int(headers.get("Content-Length", 0))
            if len(rest) < size:
                return
            self.got = rest[size:]
            verb, path, _ = first.split(" ")
            self.owner.heard(self, verb, path, headers, rest[:size])

    def answer(self, status, headers=(), body=b""):
        lines = [f"HTTP/1.1 {status} X"] + [f"{n}: {v}" for n, v in headers]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        self.transport.write("\r\n".join(lines + ["", ""]).encode() + body)


class StandIn(Factory):
    """Something that listens and speaks HTTP."""
    noisy = False

    def __init__(self):
        self.lines, self.met, self.slams = set(), 0, False
        self.port = reactor.listenTCP(0, self, interface="127.0.0.1")
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, address):
        return HttpLine(self)


class StandInEngine(StandIn):
    """An engine. `ways` says, submission after submission, what it does; then it answers in full."""

    def __init__(self, world, uid):
        super().__init__()
        self.world, self.uid, self.ways, self.runs = world, uid, [], {}
        self.posts, self.deletes, self.ranks, self.news, self.mute = [], [], [], 0, False
        self.still, self.held = False, []       # it stands still, and what has come meanwhile

    def heard(self, line, verb, path, headers, body):
        if self.mute:
            return
        if self.still:
            return self.held.append((line, verb, path, headers, body))
        if verb == "POST":
            way = self.ways.pop(0) if self.ways else "ok"
            self.posts.append((headers, body))
            self.world.sent(self, headers, way)
            if way.startswith("unread"):    # it has come whole, and is read only later; "cut": its connection ends at once
                reactor.callLater(0.02 if "cut" in way else 0.4, self.read, line, headers["X-Hop-Id"])
                return line.transport.abortConnection() if "cut" in way else None
            self.runs[headers["X-Hop-Id"]] = way
            return line.answer(202) if way == "drop" else self.start(line, headers["X-Hop-Id"], way)
        ref, _, page = path[len("/o/"):].partition("/")
        if verb == "DELETE":
            self.deletes.append(ref)
            if self.runs.pop(ref, None):        # what it has not read yet it cannot give up
                self.world.out.discard(ref)
            return line.answer(204)
        if verb == "PUT":
            self.ranks.append((ref, body))
            return line.answer(204)
        self.news += 1
        if ref not in self.runs:
            return line.answer(500)
        if page != "0":
            return self.page(line, ref, int(page))
        self.start(line, ref, self.runs[ref])

    def read(self, line, ref):
        self.runs[ref] = "slow"
        self.start(line, ref, "slow")

    def stand_still(self, seconds):
        """It takes what comes, and reads it afterwards, the newest first."""
        self.still = True
        reactor.callLater(seconds, self.go_on)

    def go_on(self):
        self.still, held, self.held = False, self.held[::-1], []
        for call in held:
            self.heard(*call)

    def start(self, line, ref, way):
        if way == "slow":       # it runs for 0.1 s; what waits for its news is answered then
            self.runs[ref] = "slower"
            reactor.callLater(0.1, lambda: self.runs.get(ref) == "slower" and self.runs.update({ref: "ok"}))
        if way in ("slow", "slower"):
            return reactor.callLater(0.03, lambda: line.answer(202))
        if way == "later":          # not yet, for 0.05 s; then its news is its end
            self.runs[ref] = "ok"
            return reactor.callLater(0.05, lambda: line.answer(202))
        if way == "copied late":    # its own rows; a copy of the answer follows after a connection's rest
            self.world.out.discard(ref)
            self.runs[ref] = "ok"
            said = [("X-Parts", 1), ("X-Cpu-Ms", "3.5"), ("X-Mem-Used", "8")], ref.encode() + b"\tx\ty\n"
            reactor.callLater(0.065, lambda: line.transport.connected and line.answer(200, *said))
            return line.answer(200, *said)
        if way == "full":
            self.world.out.discard(ref)
            return line.answer(503, [("X-No-Effect", "1")])
        if way in ("error", "odd"):
            self.world.out.discard(ref)
            return line.answer(500 if way == "error" else 418)
        if way == "reset":          # it was not read, for all that anyone can tell
            self.world.out.discard(ref)
            self.runs.pop(ref)
            return line.transport.abortConnection()
        if way in SPOILT:           # once: a good answer, spoilt on its way
            self.runs[ref] = "ok"
            return line.transport.write(SPOILT[way])
        if way == "noise":
            return line.transport.write(b"no answer at all\r\n\r\n")
        if way == "hold":
            return reactor.callLater(0.05, lambda: line.answer(202, [("X-Tell", "share"), ("X-Amount", "0.5")]))
        if way in ("drop", "drop post", "silent"):      # once: the answer breaks off, or never comes
            self.runs[ref] = "ok"
            return None if way == "silent" else line.transport.abortConnection()
        self.world.out.discard(ref)
        if way == "more":           # a good answer, with more than belongs to it
            line.transport.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        line.answer(200, [("X-Parts", len(PAGES)), ("X-Cpu-Ms", "12.5"), ("X-Mem-Used", "64"),
                          ("X-Report", "inflight:7;odd")], PAGES[0])
        if way == "more":
            line.answer(200, [("X-Parts", 1)], b"9\tx\ty\n")

    def page(self, line, ref, n):
        way = self.runs[ref]
        if way == "lost page":
            return line.answer(500)
        if way == "drop page":
            self.runs[ref] = "ok"
            return line.transport.abortConnection()
        if way == "copies" and line.transport.connected:    # a copy of this answer follows a moment later
            reactor.callLater(0.005, lambda: line.answer(200, [("X-Parts", 1)], b"9\tx\ty\n"))
        line.answer(200, [("X-Part-No", n if way != "wrong page" else n + 1)], PAGES[n] * (9000 if way == "long" else 1))

    def row(self, state="SERVING"):
        return {"uid": self.uid, "endpoint": self.address, "az": "a", "model": "k", "pod_group": 0, "state": state,
                "capacity_hint": 1, "boot_ms": 0}

    def stop(self):
        for line in list(self.lines):
            line.transport.abortConnection()
        return self.port.stopListening()


class StandInBulletin(StandIn):
    def __init__(self):
        super().__init__()
        self.events, self.waiting, self.garbage, self.calls, self.mute = [], [], None, 0, False

    def heard(self, line, verb, path, headers, body):
        self.calls += 1
        after, patience = (int(x.partition("=")[2]) for x in path.partition("?")[2].split("&"))
        if self.mute:
            return
        if self.garbage:
            return line.answer(200, (), self.garbage)
        if after < len(self.events):
            return line.answer(200, (), self.told(after))
        self.waiting.append((line, after))
        reactor.callLater(patience / 1000, self.patience_ends, line, after)

    def patience_ends(self, line, after):
        if (line, after) in self.waiting:
            self.waiting.remove((line, after))
            line.answer(200, (), self.told(after))

    def told(self, after):
        return json.dumps({"no": len(self.events), "items": self.events[after:]}).encode()

    def add(self, *rows, whole=False):
        no = len(self.events) + 1
        self.events.append({"no": no, "roster": {"rev": no, "all": whole, "targets": list(rows)}})
        waiting, self.waiting = self.waiting, []
        for line, after in waiting:
            line.answer(200, (), self.told(after))


class StandInClient(Protocol):
    """One client's connection: what it was answered, by stream; a second answer fails at once."""

    def __init__(self):
        self.reader, self.answers, self.told, self.closed, self.streams = frames.FrameReader(), {}, [], False, 0

    def dataReceived(self, data):
        for kind, stream, payload in self.reader.feed(data):
            if kind == frames.ANSWER:
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
        ref = ref or f"{id(self) % 2 ** 32:08x}{self.streams:08x}"
        fields = {"service": group, "ref": ref, "allow": str(allow), "project": "acme", "effort": "20.0",
                  "memory": "96", **fields}
        pairs = [(n, v) for n, v in fields.items() if v is not None and n != "twice"]
        pairs += [("ref", ref)] if "twice" in fields else []
        self.transport.write(frames.frame(frames.QUERY, self.streams, frames.write_fields(pairs), statement))
        return self.streams


def reactor_for(world):
    """The reactor as a service sees it: one that ends with its world, not with the tests."""
    until(lambda: True)
    return SimpleNamespace(callLater=reactor.callLater, connectTCP=reactor.connectTCP, listenTCP=reactor.listenTCP,
                           adoptStreamConnection=reactor.adoptStreamConnection, seconds=reactor.seconds, callFromThread=reactor.callFromThread, stop=world.end,
                           callWhenRunning=lambda call: call())


class World:
    """Engines, a bulletin and the front between them and the clients, all in this process."""

    def __init__(self, tmp_path, engines=2, sockets=200, start=True):
        self.out, self.may = set(), {}      # submissions out, by ref; those that may have run
        self.drained = {}                   # engines, since when it is told that they drain
        BROKEN.clear()
        self.engines = [StandInEngine(self, f"s-{i}") for i in range(engines)]
        self.bulletin = StandInBulletin()
        self.bulletin.add(*(e.row() for e in self.engines), whole=True)
        self.path = tmp_path / "config.json"
        self.config = {"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                       "bulletin": self.bulletin.address, "known": json.loads(self.bulletin.told(0)),
                       "settings": SETTINGS}
        self.path.write_text(json.dumps(self.config))
        self.clients, self.ended = [], False
        if start:
            self.start()
            until(lambda: self.service.bulletin.answered)

    def start(self):
        self.service = Service(reactor_for(self), {"BALANCER_CONFIG": str(self.path)})
        until(lambda: True)
        self.service.start()
        self.port = self.service.clients.port.getHost().port

    def end(self):
        self.ended = True

    def sent(self, engine, headers, way):
        """A submission came whole to an engine: rules 2 and 3."""
        ref = headers["X-Hop-Id"]
        if ref in self.out:
            BROKEN.append("rule 2: two submissions out")
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
            self.service.following.stopped = True
            if self.service.clients.port:
                self.service.clients.port.stopListening()
            for line in list(self.service.engines.lines):
                line.drop()
        for thing in (*self.engines, self.bulletin):
            for line in list(thing.lines):
                line.transport.abortConnection()
            thing.port.stopListening()
        wait(0.05)
        assert not BROKEN, BROKEN
