"""Emulated engines and their bulletin on loopback sockets, with faults from a timed script, in a process of their own.

    python -m lichenquay.testbed.emulator --conf WORLD --ledger FILE

prints one JSON line with the addresses when it listens, and begins its script when a line `START` comes on standard
input. The ledger has one JSON line for each thing that happened, with the monotonic clock's milliseconds.
"""

import json
import signal
import sys

import click
import numpy as np
from twisted.internet import reactor, stdio
from twisted.protocols.basic import LineReceiver

from lichenquay.config import lichenquay_pb2 as pb
from lichenquay.config.reader import read_file
from lichenquay.testbed.engine_host import EngineHost
from lichenquay.testbed.http_server import Host, now_ms


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

    def on_message(self, line, verb, path, headers, body):
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
        return {
            "uid": e.uid,
            "endpoint": e.address,
            "az": e.zone,
            "model": "std",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": e.boot_ms,
        }

    def write(self, kind, uid, ref, **facts):
        self.ledger.write(
            json.dumps({"ms": round(now_ms(), 3), "kind": kind, "engine": uid, "ref": ref, **facts}) + "\n"
        )

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

    def connectionLost(self, reason):  # who started it is gone
        if reactor.running:
            reactor.stop()


@click.command()
@click.option("--conf", required=True, type=click.Path())
@click.option("--ledger", required=True, type=click.Path())
def main(conf, ledger):
    with open(ledger, "w", buffering=1) as file:
        lab = Lab(read_file(conf), file)
        signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(reactor.stop))
        print(
            json.dumps(
                {
                    "bulletin": lab.bulletin.address,
                    "known": lab.bulletin.known(),
                    "engines": [e.address for e in lab.engines],
                }
            ),
            flush=True,
        )
        stdio.StandardIO(Orders(lab))
        reactor.run(installSignalHandlers=False)
    sys.exit(0)


if __name__ == "__main__":
    main()
