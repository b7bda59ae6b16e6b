"""One process of the load generator. It sends what it is told when it is told, whatever comes back, and keeps for each
query when it was meant to go, when it went, and what was answered.

    python -m lichenquay.load.worker JOB

JOB is a JSON file. READY is printed once all connections are up; `START SECONDS` (of the monotonic clock) begins the
run, `STOP` ends its sending; DONE is printed when what it kept has been written.
"""

import gc
import json
import os
import resource
import signal
import sys
import time
from collections import deque

import numpy as np
import pyarrow as pa
from hdrh.histogram import HdrHistogram
from pyarrow import parquet
from twisted.internet import reactor, stdio
from twisted.protocols.basic import LineReceiver

from lichenquay.gateway import frames
from lichenquay.load.client_connection import RECORDED, STREAMS, Ask, LineFactory
from lichenquay.load.task import Task

GRACE_MS = 400.0  # after its allowance a query without an answer counts as silent
TICK_S = 0.001
MOST_US = 120_000_000  # of the histograms


class Worker:
    def __init__(self, job):
        self.job, self.lines, self.next = job, {}, 0
        self.groups = {g["name"]: g for g in job["groups"]}
        self.plan = np.load(job["plan"], allow_pickle=False)
        self.asks, self.waiting, self.begun_s, self.stopped = [], {}, None, False
        self.strange = self.told = self.refused = self.lost_lines = 0
        self.chance = np.random.default_rng(job["seed"])
        self.lag = HdrHistogram(1, MOST_US, 3)
        self.latency = {g: HdrHistogram(1, MOST_US, 3) for g in ("all", *self.groups)}
        self.cpu = 0.0

    def now_ms(self):
        return (time.monotonic() - self.begun_s) * 1000 if self.begun_s is not None else 0.0

    # connections

    def start(self):
        for address in self.job["addresses"]:
            self.connect(address)

    def connect(self, address):
        if not self.stopped:
            host, _, port = self.job["target"].rpartition(":")
            reactor.connectTCP(
                host, int(port), LineFactory(self, address), timeout=5, bindAddress=(address, 0)
            )

    def connected(self, line):
        self.lines.setdefault(line.address, []).append(line)
        if self.begun_s is None and sum(map(len, self.lines.values())) == len(self.job["addresses"]):
            self.say("READY")
        self.more(line)

    def replace(self, line):
        """The front takes no more on it: what is open is still answered, the next go on a new one."""
        if line in self.lines.get(line.address, ()):
            self.lines[line.address].remove(line)
            self.connect(line.address)

    def lost(self, line):
        for ask in line.open.values():
            ask.cut = True
        self.lost_lines += bool(line.open)
        line.open.clear()
        self.replace(line)

    # queries

    def begin(self, begun_s):
        self.begun_s = begun_s
        self.at = self.plan["at_ms"].tolist()
        self.columns = {n: self.plan[n].tolist() for n in self.plan.files}
        gc.collect()
        gc.freeze()
        self.cpu = time.process_time()
        if self.job["closed"]:
            for line in [x for lines in self.lines.values() for x in lines]:
                self.pace(line)
        self.tick()

    def query(self, i):
        c = self.columns
        group = self.groups[c["group"][i]]
        ref = f"{self.job['number'] + 1:04x}{self.job['run']:04x}{len(self.asks):08x}"
        task = Task(
            ref,
            group["name"],
            c["work_ms"][i],
            c["memory_mb"][i],
            group["threads"],
            group["rows"],
            str(c["tables"][i]),
            group["load"],
        )
        ask = Ask(
            ref=ref,
            group=group["name"],
            tenant=c["tenant"][i],
            at_ms=c["at_ms"][i],
            task=task,
            address=self.job["all_addresses"][c["address"][i] % len(self.job["all_addresses"])],
            effort=c["effort_ms"][i],
            claim=c["claim_mb"][i],
            allowed=int(group["timeout_ms"]),
            leave_ms=c["leave_ms"][i],
        )
        self.asks.append(ask)
        return ask

    def tick(self):
        now, at = self.now_ms(), self.at
        if not self.job["closed"]:
            while self.next < len(at) and at[self.next] <= now and not self.stopped:
                ask = self.query(self.next)
                self.next += 1
                self.send(ask)
        done = self.stopped or (self.next >= len(at) and not self.job["closed"]) or now > self.job["ends_ms"]
        if done and (
            not self.is_open()
            or now > self.job["ends_ms"] + self.job["longest_ms"] + GRACE_MS
            or self.stopped
            and now > self.stopped_ms + 1000
        ):
            return self.end()
        reactor.callLater(TICK_S, self.tick)

    def is_open(self):
        return (
            any(x.open for lines in self.lines.values() for x in lines)
            or any(self.waiting.values())
            or any(
                a.answers == 0 and not (a.cut or a.left) and a.sent_ms == a.sent_ms for a in self.asks[-4096:]
            )
        )

    def send(self, ask):
        now = self.now_ms()
        ask.reached_ms = now
        self.lag.record_value(max(1, int((now - ask.at_ms) * 1000)))
        address = (
            ask.address
            if ask.address in self.lines
            else self.job["addresses"][len(self.asks) % len(self.job["addresses"])]
        )
        ask.address = address
        free = [x for x in self.lines.get(address, ()) if len(x.open) < STREAMS]
        if not free:
            ask.waited = True  # its clock runs
            self.waiting.setdefault(address, deque()).append(ask)
            return
        self.put(min(free, key=lambda x: len(x.open)), ask)

    def put(self, line, ask):
        ask.sent_ms = self.now_ms()
        line.ask(ask)
        if ask.leave_ms < ask.allowed:
            reactor.callLater(ask.leave_ms / 1000, self.leave, ask)

    def leave(self, ask):
        if ask.line.open.pop(ask.stream, None) is not None:
            ask.left = True
            ask.line.old[ask.stream] = ask
            ask.line.transport.write(frames.encode_frame(frames.FrameType.CANCEL, ask.stream))

    def more(self, line):
        waiting = self.waiting.get(line.address)
        while (
            waiting
            and len(line.open) < STREAMS
            and not line.told
            and line in self.lines.get(line.address, ())
        ):
            self.put(line, waiting.popleft())

    def answered(self, ask, payload, now):
        ask.answers, ask.answered_ms, ask.code = 1, now, payload[0]
        us = max(1, min(MOST_US, int((now - ask.at_ms) * 1000)))
        self.latency["all"].record_value(us)
        self.latency[ask.group].record_value(us)
        if ask.code == frames.AnswerCode.COMPLETED and self.job["rows"]:
            body = bytes(frames.read_fields(payload[1:])[1])
            ask.odd = body.count(b"\n") != ask.task.rows or body.count(ask.ref.encode()) != ask.task.rows
        if ask.code == frames.AnswerCode.REJECTED and ask.tries < self.job["repeats"] and not self.stopped:
            reactor.callLater(self.chance.uniform(0.02, 0.2), self.again, ask)
        if self.job["closed"]:
            self.pace(ask.line)

    def again(self, old):
        """A client's own repeat: a new query, meant to go now."""
        ask = Ask(
            ref=f"{self.job['number'] + 1:04x}{self.job['run']:04x}{len(self.asks):08x}",
            group=old.group,
            tenant=old.tenant,
            address=old.address,
            at_ms=self.now_ms(),
            task=old.task,
            effort=old.effort,
            claim=old.claim,
            allowed=old.allowed,
            leave_ms=float("inf"),
        )
        ask.task.ref, ask.tries = ask.ref, old.tries + 1
        self.asks.append(ask)
        self.send(ask)

    def pace(self, line):
        """Closed loop: the next query of a connection goes when its time has come and the last one is answered; what was
        missed meanwhile is left out, and time counts from the sending. This is what hides a stall."""
        now, step = self.now_ms(), self.job["step_ms"]
        if self.stopped or now > self.job["ends_ms"]:
            return
        due = max(now, getattr(line, "due", self.chance.uniform(0, step)))
        line.due = due + step
        reactor.callLater(max(0.0, due - now) / 1000, self.closed, line)

    def closed(self, line):
        if not self.stopped and self.now_ms() <= self.job["ends_ms"] and line.transport.connected:
            ask = self.query(self.next % len(self.at))
            self.next += 1
            ask.at_ms = ask.reached_ms = self.now_ms()
            self.put(line, ask)

    # the end

    def stop(self):
        if not self.stopped:
            self.stopped, self.stopped_ms = True, self.now_ms()
            if self.begun_s is None:
                self.end()

    def end(self):
        self.stopped = True
        cpu = time.process_time() - self.cpu
        table = pa.table({n: pa.array([getattr(a, n) for a in self.asks], self.kind(n)) for n in RECORDED})
        out = self.job["out"]
        parquet.write_table(table, out + ".parquet.part")
        os.replace(out + ".parquet.part", out + ".parquet")
        with open(out + ".json.part", "w", encoding="utf-8") as file:
            json.dump(
                {
                    "strange": self.strange,
                    "told": self.told,
                    "refused": self.refused,
                    "lost_lines": self.lost_lines,
                    "cpu_s": cpu,
                    "seconds": self.now_ms() / 1000,
                    "lag": self.lag.encode().decode(),
                    "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
                    "latency": {n: h.encode().decode() for n, h in self.latency.items()},
                },
                file,
            )
        os.replace(out + ".json.part", out + ".json")
        self.say("DONE")
        reactor.stop()

    @staticmethod
    def kind(name):
        if name in ("ref", "group", "tenant", "address"):
            return pa.string()
        if name.endswith("_ms"):
            return pa.float64()
        return pa.bool_() if name in ("odd", "left", "cut", "waited") else pa.int64()

    def say(self, what):
        print(what, flush=True)


class Orders(LineReceiver):
    delimiter = b"\n"

    def __init__(self, worker):
        self.worker = worker

    def lineReceived(self, line):
        what, _, rest = line.decode().partition(" ")
        if what == "START":
            reactor.callLater(max(0.0, float(rest) - time.monotonic()), self.worker.begin, float(rest))
        elif what == "STOP":
            self.worker.stop()

    def connectionLost(self, reason):  # who started it is gone
        self.worker.stop()


def main():
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # its parent says when to stop
    with open(sys.argv[1], encoding="utf-8") as file:
        worker = Worker(json.load(file))
    stdio.StandardIO(Orders(worker))
    reactor.callWhenRunning(worker.start)
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
