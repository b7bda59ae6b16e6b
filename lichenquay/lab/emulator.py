"""Emulated engines and their bulletin on loopback sockets, with faults from a timed script, in a process of their own.

    python -m lichenquay.lab.emulator --conf WORLD --ledger FILE

prints one JSON line with the addresses when it listens, and begins its script when a line `START` comes on standard
input. The ledger has one JSON line for each thing that happened, with the monotonic clock's milliseconds.
"""
import json
import signal
import sys
import time

import click
import h11
import numpy as np
from twisted.internet import reactor, stdio
from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.basic import LineReceiver

from lichenquay.conf import lichenquay_pb2 as pb
from lichenquay.conf.read import read_file
from lichenquay.lab import engine as model

NEWS_MS, KEPT_MS, PAGE = 250.0, 2000.0, 6000    # PROTOCOL: wait for news; a query that is not asked for; bytes of a page
SPOILT = (b"no answer at all\r\n\r\n", b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 9\r\n\r\n1\ta",
          b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 3000000000\r\n\r\nxxxx")


def now_ms():
    return time.monotonic() * 1000


class HttpLine(Protocol):
    """One connection: whole calls go to `host.heard(line, verb, path, headers, body)`, one at a time."""

    def __init__(self, host):
        self.host, self.http, self.request, self.body = host, h11.Connection(h11.SERVER), None, b""

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.host.lines.add(self)

    def connectionLost(self, reason):
        self.host.lines.discard(self)

    def dataReceived(self, data):
        try:
            self.http.receive_data(data)
            self.read()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def read(self):
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.request, self.body = event, b""
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                headers = {n.decode(): v.decode("latin-1") for n, v in self.request.headers}
                self.host.heard(self, self.request.method.decode(), self.request.target.decode(), headers, self.body)
            else:
                return

    def answer(self, status, headers=(), body=b""):
        if not self.transport.connected or self.http.our_state is not h11.SEND_RESPONSE:
            return
        headers = [*headers, *([] if status == 204 else [("Content-Length", str(len(body)))])]
        data = self.http.send(h11.Response(status_code=status, headers=headers, reason=b"-"))
        if body:
            data += self.http.send(h11.Data(data=body))
        self.transport.write(data + self.http.send(h11.EndOfMessage()))
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
            self.read()
        else:
            self.transport.loseConnection()


class Host(Factory):
    """Something that listens on loopback."""
    noisy = False

    def __init__(self, port=0):
        self.lines = set()
        self.port = reactor.listenTCP(port, self, interface="127.0.0.1", backlog=1024)
        self.address = f"127.0.0.1:{self.port.getHost().port}"

    def buildProtocol(self, address):
        return HttpLine(self)

    def close(self):
        """As a process that dies: its connections are reset."""
        for line in list(self.lines):
            line.transport.abortConnection()
        return self.port.stopListening()


class EngineHost(Host):
    """An engine's process: the emulated engine, the calls that wait for its news, and its faults."""

    def __init__(self, lab, uid, zone, figures, chance, port=0, cold=False):
        super().__init__(port)
        self.lab, self.uid, self.zone, self.chance = lab, uid, zone, chance
        self.boot_ms = time.time() * 1000 if cold else 0
        self.engine = model.Engine(uid, figures, now_ms() if cold else None, self.tell)
        self.waiting, self.timer, self.dead, self.still, self.held = {}, None, False, 0, []
        self.shares = {}                # of answers that are reset, spoilt or lost
        self.engine.advance(now_ms())

    def tell(self, kind, ref, **facts):
        self.lab.write(kind, self.uid, ref, **facts)
        if kind == "fell":
            reactor.callLater(0, self.die)

    # calls

    def heard(self, line, verb, path, headers, body):
        if verb == "POST":
            self.lab.write("post", self.uid, headers.get("x-hop-id", ""), group=headers.get("x-sort", ""))
        if self.still:
            return self.held.append((line, verb, path, headers, body))
        self.handle(line, verb, path, headers, body)

    def handle(self, line, verb, path, headers, body):
        if self.dead:
            return
        if self.strikes(pb.Fault.RESET):
            if self.chance.random() < 0.5:          # read all the same
                self.dispatch(None, verb, path, headers, body)
            elif verb == "POST":
                self.lab.write("unread", self.uid, headers.get("x-hop-id", ""))
            return line.transport.abortConnection()
        self.dispatch(line, verb, path, headers, body)

    def dispatch(self, line, verb, path, headers, body):
        now, e = now_ms(), self.engine
        self.ended(e.advance(now))
        try:
            if verb == "POST":
                ref = headers["x-hop-id"]
                task = model.task_of(ref, headers["x-sort"], body, float(headers.get("x-mem-limit", 0)),
                                     int(headers.get("x-nice", 1)))
                told = e.start(now, task)
                if told == model.FULL:
                    self.lab.write("full", self.uid, ref)
                    return self.send(line, 503, [("X-No-Effect", "1")])
                task = e.tasks[ref]
                return self.news(line, task, now)
            ref, _, page = path.removeprefix("/o/").partition("/")
            task, number = e.tasks.get(ref), int(page or 0)
        except (KeyError, ValueError):
            if verb == "POST":
                self.lab.write("unread", self.uid, headers.get("x-hop-id", ""))
            return self.send(line, 500)
        if task is None:
            return self.send(line, 204 if verb == "DELETE" else 500)
        if verb == "DELETE":
            self.lab.write("given up", self.uid, ref)
            e.forget(task)
            self.wake(task)
            self.send(line, 204)
        elif verb == "PUT":
            e.rank(now, ref, int(body or b"1"))
            self.send(line, 204)
        elif number:
            self.page(line, task, number, now)
        else:
            self.news(line, task, now)
        self.plan()

    def news(self, line, task, now):
        task.keeps_until_ms = now + KEPT_MS
        if task.ending == model.RUNNING and line is not None:
            note = self.engine.note_of(now, task)
            if note:
                self.tell_note(line, note)
            else:
                late = reactor.callLater(NEWS_MS / 1000 - 0.005, self.no_news, task, line)
                self.waiting.setdefault(task, []).append((line, late))
        elif task.ending != model.RUNNING:
            self.end(line, task)
        self.plan()

    def no_news(self, task, line):
        self.waiting[task] = [x for x in self.waiting.get(task, []) if x[0] is not line]
        self.engine.advance(now_ms())
        note = self.engine.note_of(now_ms(), task)
        self.tell_note(line, note)

    def tell_note(self, line, note):
        self.send(line, 202, [("X-Tell", note[0]), ("X-Amount", str(note[1]))] if note else [])

    def pages(self, task):
        pages, size = [b""], 0
        for row in model.rows_of(task, self.uid):
            if len(pages[-1]) + len(row) > PAGE:
                pages.append(b"")
            pages[-1] += row
        return pages

    def end(self, line, task):
        if task.ending != model.FINISHED:
            return self.send(line, 500)
        pages = self.pages(task)
        report = ";".join(f"{n}:{v}" for n, v in self.engine.report().items())
        self.send(line, 200, [("X-Parts", str(len(pages))), ("X-Cpu-Ms", f"{task.whole_ms:.2f}"),
                              ("X-Mem-Used", f"{task.memory_mb:.1f}"), ("X-Report", report)], pages[0])

    def page(self, line, task, number, now):
        task.keeps_until_ms = now + KEPT_MS
        pages = self.pages(task) if task.ending == model.FINISHED else []
        if number >= len(pages):
            return self.send(line, 500)
        self.send(line, 200, [("X-Part-No", str(number))], pages[number])

    def send(self, line, status, headers=(), body=b""):
        if line is None:
            return
        if status == 200 and self.strikes(pb.Fault.SPOIL):
            line.transport.write(SPOILT[self.chance.integers(len(SPOILT))])
        elif not self.strikes(pb.Fault.LOSE):
            line.answer(status, headers, body)

    def strikes(self, kind):
        share = self.shares.get(kind, 0.0)
        return share > 0 and self.chance.random() < share

    # time

    def plan(self):
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        ahead = self.engine.next_ms() - now_ms()
        self.timer = reactor.callLater(max(0.0, min(ahead, 1000.0)) / 1000, self.tick) if not self.dead else None

    def tick(self):
        if self.still or self.dead:
            return
        self.ended(self.engine.advance(now_ms()))
        self.plan()

    def ended(self, tasks):
        for task in tasks:
            self.wake(task)

    def wake(self, task):
        for line, late in self.waiting.pop(task, []):
            if late.active():
                late.cancel()
            self.end(line, task)

    # faults

    def stop(self):
        """It stands still: its work too."""
        self.still += 1
        self.engine.advance(now_ms())

    def go_on(self, newest_first=True):
        self.still -= 1
        if not self.still:
            self.engine.now = now_ms()          # nothing was worked on meanwhile
            held, self.held = self.held, []
            for call in held[::-1] if newest_first else held:
                self.handle(*call)
            self.plan()

    def die(self):
        if not self.dead:
            self.dead = True
            self.lab.write("died", self.uid, "")
            self.close()


class Bulletin(Host):
    """The list as numbered events, told late or not at all where the script says so."""

    def __init__(self, lab):
        super().__init__()
        self.lab, self.items, self.waiting, self.late_ms, self.shut = lab, [], [], 0.0, False

    def add(self, rows, whole=False):
        reactor.callLater(self.late_ms / 1000, self.tell, {"roster": {"all": whole, "targets": rows}})

    def tell(self, item):
        if self.shut:
            return reactor.callLater(0.05, self.tell, item)
        item["no"] = item["roster"]["rev"] = len(self.items) + 1
        self.items.append(item)
        for row in item["roster"]["targets"]:
            self.lab.write("told", row["uid"], "", state=row["state"])
        waiting, self.waiting = self.waiting, []
        for line, after, late in waiting:
            if late.active():
                late.cancel()
            self.give(line, after)

    def give(self, line, after):
        line.answer(200, (), json.dumps(self.known(after)).encode())

    def known(self, after=0):
        return {"no": len(self.items), "items": self.items[after:]}

    def heard(self, line, verb, path, headers, body):
        said = dict(x.partition("=")[::2] for x in path.partition("?")[2].split("&"))
        try:
            after, patience = int(said["after"]), min(5000.0, float(said.get("patience", 0)))
        except (KeyError, ValueError):
            return line.answer(400)
        if after < len(self.items):
            return self.give(line, after)
        self.waiting.append((line, after, reactor.callLater(patience / 1000, self.give_up, line)))

    def give_up(self, line):
        after = next((a for x, a, _ in self.waiting if x is line), len(self.items))
        self.waiting = [x for x in self.waiting if x[0] is not line]
        self.give(line, after)


class Lab:
    """All of it, and the script."""

    def __init__(self, conf, ledger):
        self.conf, self.ledger, self.cuts = conf, ledger, {}
        seeds = np.random.SeedSequence([conf.seed, 1])
        self.seeds, self.made = seeds, 0
        self.bulletin = Bulletin(self)
        zones = list(conf.engines.zones) or ["a"]
        self.engines = [self.make(zones[i % len(zones)]) for i in range(conf.engines.count)]
        self.bulletin.tell({"roster": {"all": True, "targets": [self.row(e) for e in self.engines]}})

    def make(self, zone, port=0, cold=False):
        self.made += 1
        chance = np.random.default_rng(self.seeds.spawn(1)[0])
        return EngineHost(self, f"e-{self.made:04d}", zone, self.conf.engines, chance, port, cold)

    def row(self, e, state="SERVING"):
        return {"uid": e.uid, "endpoint": e.address, "az": e.zone, "model": "std", "pod_group": 0, "state": state,
                "capacity_hint": 1, "boot_ms": e.boot_ms}

    def write(self, kind, uid, ref, **facts):
        self.ledger.write(json.dumps({"ms": round(now_ms(), 3), "kind": kind, "engine": uid, "ref": ref, **facts}) + "\n")

    def start(self):
        for fault in self.conf.faults:
            reactor.callLater(fault.at_ms / 1000, self.fault, fault)

    def later(self, ms, call, *what):
        reactor.callLater(ms / 1000, call, *what)

    def fault(self, f):
        kinds, e = pb.Fault, self.engines[f.engine]
        self.write("fault", e.uid, "", fault=kinds.Kind.Name(f.kind))
        if f.kind in (kinds.HANG, kinds.PAUSE):
            e.stop()
            self.later(f.for_ms, e.go_on, f.kind == kinds.PAUSE)
        elif f.kind == kinds.ZONE_CUT:
            for x in [x for x in self.engines if x.zone == f.zone and not x.dead]:
                x.stop()
                self.later(f.for_ms, x.go_on, False)
        elif f.kind == kinds.SLOW:
            self.pace(e, f.amount)
            self.later(f.for_ms, self.pace, e, 1.0)
        elif f.kind in (kinds.RESET, kinds.SPOIL, kinds.LOSE):
            e.shares[f.kind] = f.amount
            self.later(f.for_ms, e.shares.pop, f.kind, None)
        elif f.kind == kinds.DRAIN:
            self.bulletin.add([self.row(e, "DRAINING")])
            self.later(f.for_ms, self.gone, e)
        elif f.kind == kinds.DIE:
            e.die()
            if f.for_ms:
                self.later(f.for_ms, self.bulletin.add, [self.row(e, "DELETED")])
        elif f.kind == kinds.SUCCEED:
            port = int(e.address.rpartition(":")[2])
            e.dead = True
            self.write("died", e.uid, "")
            e.close().addCallback(lambda _: self.succeed(f.engine, e, port))
        elif f.kind == kinds.BULLETIN_LATE:
            self.bulletin.late_ms = f.amount
            self.later(f.for_ms, setattr, self.bulletin, "late_ms", 0.0)
        elif f.kind == kinds.BULLETIN_HELD:
            self.bulletin.shut = True
            self.later(f.for_ms, setattr, self.bulletin, "shut", False)

    def pace(self, e, pace):
        e.engine.advance(now_ms())
        e.engine.pace = pace
        e.plan()

    def gone(self, e):
        e.die()
        self.bulletin.add([self.row(e, "DELETED")])

    def succeed(self, index, old, port):
        new = self.engines[index] = self.make(old.zone, port, cold=True)
        self.write("cold", new.uid, "")
        self.bulletin.add([self.row(old, "DELETED"), self.row(new)])


class Orders(LineReceiver):
    delimiter = b"\n"

    def __init__(self, lab):
        self.lab = lab

    def lineReceived(self, line):
        if line.strip() == b"START":
            self.lab.start()

    def connectionLost(self, reason):       # who started it is gone
        if reactor.running:
            reactor.stop()


@click.command()
@click.option("--conf", required=True, type=click.Path())
@click.option("--ledger", required=True, type=click.Path())
def main(conf, ledger):
    with open(ledger, "w", buffering=1) as file:
        lab = Lab(read_file(conf), file)
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
        print(json.dumps({"bulletin": lab.bulletin.address, "known": lab.bulletin.known(),
                          "engines": [e.address for e in lab.engines]}), flush=True)
        stdio.StandardIO(Orders(lab))
        reactor.run(installSignalHandlers=False)
    sys.exit(0)


if __name__ == "__main__":
    main()
