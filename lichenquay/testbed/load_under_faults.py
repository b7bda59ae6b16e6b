"""A measure_flood: depot clients that open a connection for each manifest, first in calm, then amid a flood, in one run."""

import json
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import numpy as np

from lichenquay.config.testbed_settings import read_testbed
from lichenquay.gateway import frames
from lichenquay.load.child import child_environment
from lichenquay.load.task import Task, encode_statement
from lichenquay.testbed.audit import audit, read_ledger
from lichenquay.testbed.world import World

ALLOWED_MS = 4000
KNOWN = "127.90.0.0/16"


class Depot:
    """Known clients: `rate` manifests a second, each on a connection of its own, in threads; times from the intended send."""

    def __init__(self, target, rate):
        host, _, port = target.rpartition(":")
        self.address, self.rate, self.rows, self.lock, self.sent = (
            (host, int(port)),
            rate,
            [],
            threading.Lock(),
            0,
        )
        self.source = "127.90.1.%d"

    def play(self, name, seconds):
        begun, threads = time.monotonic() + 0.1, []
        for i in range(int(seconds * self.rate)):
            at = begun + i / self.rate
            time.sleep(max(0.0, at - time.monotonic()))
            self.sent += 1
            threads.append(threading.Thread(target=self.one, args=(name, self.sent, at), daemon=True))
            threads[-1].start()
        for thread in threads:
            thread.join(ALLOWED_MS / 1000 + 3)

    def one(self, name, number, at):
        ref = f"d{number:015x}"
        task = Task(ref, "manifest", 30.0, 16.0, 1, 1, str(1 + number % 40))
        fields = frames.encode_fields(
            [
                ("service", "manifest"),
                ("ref", ref),
                ("allow", str(ALLOWED_MS)),
                ("project", "north"),
                ("effort", "30"),
                ("memory", "16"),
            ]
        )
        code, answers, body, sent = -1, 0, b"", float("nan")
        try:
            with socket.socket() as line:
                line.settimeout(ALLOWED_MS / 1000 + 1)
                line.bind((self.source % (2 + number % 200), 0))
                line.connect(self.address)
                line.sendall(frames.encode_frame(frames.FrameType.QUERY, 1, fields, encode_statement(task)))
                sent, reader = time.monotonic(), frames.FrameReader()
                while not answers:
                    data = line.recv(65536)
                    if not data:
                        break
                    for kind, stream, payload in reader.feed(data):
                        if kind == frames.FrameType.ANSWER and stream == 1:
                            answers, code = answers + 1, payload[0]
                            body = bytes(frames.read_fields(payload[1:])[1])
        except OSError:
            pass
        done = time.monotonic()
        odd = code == 0 and body.count(ref.encode()) != task.rows
        with self.lock:
            self.rows.append(
                {
                    "name": name,
                    "ref": ref,
                    "group": "manifest",
                    "at": at,
                    "sent": sent,
                    "took": (done - at) * 1000,
                    "code": code,
                    "answers": answers,
                    "odd": odd,
                }
            )

    def columns(self):
        r = self.rows
        return {
            "ref": [x["ref"] for x in r],
            "group": [x["group"] for x in r],
            "answers": [x["answers"] for x in r],
            "left": [False] * len(r),
            "code": [x["code"] for x in r],
            "odd": [x["odd"] for x in r],
            "sent_ms": [x["sent"] * 1000 for x in r],
            "answered_ms": [x["at"] * 1000 + x["took"] if x["answers"] else float("nan") for x in r],
            "allowed": [ALLOWED_MS] * len(r),
        }


def quantile(values, q):
    return round(float(np.percentile(values, q)), 2) if len(values) else None


def measure_flood(
    out, seconds=10.0, connections=1500, addresses=1, sockets=400, rate=20.0, gate=True, processes=4
):
    """Figures of a calm and a flooded part of `seconds` each. `gate`: with known clients and their reserve, else without."""
    rules = f'gate {{ known: "{KNOWN}" reserve: 40 most_queries: 32 address {{ connections: 32 queries: 12 }} prefix {{ connections: 96 queries: 24 per_s: 20 burst: 40 }} lag_ms: 50 }}'
    lab = read_testbed(
        f"front {{ sockets: {sockets} memory_mb: 192 {rules if gate else ''} }} engines {{ cores: 8 most_open: 256 }}"
    )
    out = Path(out)
    with World(lab, out) as world:
        world.start_script()
        depot = Depot(world.addresses[0], rate)
        idle = world.cpu_s()
        depot.play("calm", seconds)
        calm = (world.cpu_s() - idle) / max(1, len(depot.rows))
        before, begun = world.cpu_s(), time.monotonic()
        flooders = [
            subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "lichenquay.testbed.flood",
                    world.addresses[0],
                    str(seconds + 1),
                    str(connections // processes),
                    str(addresses),
                    str(i),
                ],
                env=child_environment(),
                text=True,
                stdout=subprocess.PIPE,
                start_new_session=True,
            )
            for i in range(processes)
        ]
        time.sleep(1.0)
        depot.play("flood", seconds)
        told = [json.loads(f.communicate(timeout=20)[0] or "{}") for f in flooders]
        used, took = world.cpu_s() - before, time.monotonic() - begun
        peak, code = world.peak_mb(), world.leave()
    rows = {name: [x for x in depot.rows if x["name"] == name] for name in ("calm", "flood")}
    refused = np.concatenate([np.array(t.get("refused_ms", [])) for t in told]) if told else np.array([])
    findings = audit(depot.columns(), read_ledger(world.ledger), lab)
    done = [x["took"] for x in rows["flood"] if x["code"] == 0]
    total = {
        k: sum(t.get(k, 0) for t in told) for k in sorted({k for t in told for k in t if k != "refused_ms"})
    }
    served = len(rows["flood"]) + total.get("code 0", 0)
    turned = total.get("told and closed", 0) + total.get("closed without a word", 0)
    spent = max(0.0, used - calm * served) / max(1, turned)
    return {
        "query_cpu_ms": round(1000 * calm, 3),
        "refusal_cpu_ms": round(1000 * spent, 3),
        "depot_asked": len(rows["flood"]),
        "depot_finished": len(done),
        "depot_p99_ms": quantile(done, 99),
        "depot_p50_ms": quantile(done, 50),
        "calm_finished": sum(x["code"] == 0 for x in rows["calm"]),
        "calm_p99_ms": quantile([x["took"] for x in rows["calm"] if x["code"] == 0], 99),
        "calm_p50_ms": quantile([x["took"] for x in rows["calm"] if x["code"] == 0], 50),
        "refusals": len(refused),
        "refusal_p50_ms": quantile(refused, 50),
        "refusal_p99_ms": quantile(refused, 99),
        "flood": total,
        "silent": sum(x["answers"] == 0 for x in depot.rows),
        "front_cpu_s": round(used, 2),
        "front_cpu_share": round(used / took, 3),
        "front_memory_mb": round(peak, 1),
        "front_exit": code,
        "connections": connections,
        "addresses": addresses,
        "sockets": sockets,
        "gate": gate,
        "broken_rules": [f"{c}: {n} ({'; '.join(map(str, s))})" for c, n, s in findings],
    }
