"""Measures known clients with a connection for each query, first alone, then during a flood, in one run."""

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
KNOWN_PREFIX = "127.90.0.0/16"


class KnownClients:
    """Sends `rate` manifest queries a second, each on a connection and thread of its own, and records each
    query. Latencies count from the intended send.
    """

    def __init__(self, target, rate):
        """`target` is ADDRESS:PORT, `rate` in queries a second."""
        host, _, port = target.rpartition(":")
        self.address, self.rate, self.records = (host, int(port)), rate, []
        self.lock, self.queries_sent = threading.Lock(), 0
        self.source = "127.90.1.%d"

    def run_phase(self, name, seconds):
        """Sends queries for `seconds` and waits for their ends; `name` marks the records of the phase."""
        started_s, threads = time.monotonic() + 0.1, []
        for number in range(int(seconds * self.rate)):
            intended_s = started_s + number / self.rate
            time.sleep(max(0.0, intended_s - time.monotonic()))
            self.queries_sent += 1
            threads.append(
                threading.Thread(
                    target=self.run_query, args=(name, self.queries_sent, intended_s), daemon=True
                )
            )
            threads[-1].start()
        for thread in threads:
            thread.join(ALLOWED_MS / 1000 + 3)

    def run_query(self, name, number, intended_s):
        """Sends one query and appends its record."""
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
        code, answers, body, sent_s = -1, 0, b"", float("nan")
        try:
            with socket.socket() as connection:
                connection.settimeout(ALLOWED_MS / 1000 + 1)
                connection.bind((self.source % (2 + number % 200), 0))
                connection.connect(self.address)
                connection.sendall(
                    frames.encode_frame(frames.FrameType.QUERY, 1, fields, encode_statement(task))
                )
                sent_s, reader = time.monotonic(), frames.FrameReader()
                while not answers:
                    data = connection.recv(65536)
                    if not data:
                        break
                    for kind, stream, payload in reader.feed(data):
                        if kind == frames.FrameType.ANSWER and stream == 1:
                            answers, code = answers + 1, payload[0]
                            body = bytes(frames.read_fields(payload[1:])[1])
        except OSError:
            pass
        ended_s = time.monotonic()
        has_wrong_rows = code == 0 and body.count(ref.encode()) != task.rows
        with self.lock:
            self.records.append(
                {
                    "name": name,
                    "ref": ref,
                    "group": "manifest",
                    "intended_s": intended_s,
                    "sent_s": sent_s,
                    "latency_ms": (ended_s - intended_s) * 1000,
                    "code": code,
                    "answers": answers,
                    "odd": has_wrong_rows,
                }
            )

    def columns(self):
        """Returns the records as the columns that the audit reads."""
        records = self.records
        return {
            "ref": [record["ref"] for record in records],
            "group": [record["group"] for record in records],
            "answers": [record["answers"] for record in records],
            "left": [False] * len(records),
            "code": [record["code"] for record in records],
            "odd": [record["odd"] for record in records],
            "sent_ms": [record["sent_s"] * 1000 for record in records],
            "answered_ms": [
                record["intended_s"] * 1000 + record["latency_ms"] if record["answers"] else float("nan")
                for record in records
            ],
            "allowed": [ALLOWED_MS] * len(records),
        }


def quantile(values, percent):
    """Returns a percentile (0 to 100), rounded to two digits; None of no values."""
    return round(float(np.percentile(values, percent)), 2) if len(values) else None


def measure_flood(
    out, seconds=10.0, connections=1500, addresses=1, sockets=400, rate=20.0, gate=True, processes=4
):
    """Returns the figures of a phase without and one with the flood, of `seconds` each. `gate`: whether known
    clients, their reserve and the caps are set.
    """
    gate_settings = (
        f'gate {{ known: "{KNOWN_PREFIX}" reserve: 40 most_queries: 32 '
        "address { connections: 32 queries: 12 } "
        "prefix { connections: 96 queries: 24 per_s: 20 burst: 40 } lag_ms: 50 }"
    )
    testbed = read_testbed(
        f"front {{ sockets: {sockets} memory_mb: 192 {gate_settings if gate else ''} }} "
        "engines { cores: 8 most_open: 256 }"
    )
    out = Path(out)
    with World(testbed, out) as world:
        world.start_script()
        clients = KnownClients(world.addresses[0], rate)
        cpu_before_calm_s = world.cpu_s()
        clients.run_phase("calm", seconds)
        query_cpu_s = (world.cpu_s() - cpu_before_calm_s) / max(1, len(clients.records))
        cpu_before_flood_s, started_s = world.cpu_s(), time.monotonic()
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
                    str(number),
                ],
                env=child_environment(),
                text=True,
                stdout=subprocess.PIPE,
                start_new_session=True,
            )
            for number in range(processes)
        ]
        time.sleep(1.0)
        clients.run_phase("flood", seconds)
        flood_reports = [json.loads(flooder.communicate(timeout=20)[0] or "{}") for flooder in flooders]
        used_cpu_s, elapsed_s = world.cpu_s() - cpu_before_flood_s, time.monotonic() - started_s
        peak, code = world.peak_mb(), world.leave()
    rows = {
        name: [record for record in clients.records if record["name"] == name] for name in ("calm", "flood")
    }
    rejection_ms = (
        np.concatenate([np.array(report.get("refused_ms", [])) for report in flood_reports])
        if flood_reports
        else np.array([])
    )
    findings = audit(clients.columns(), read_ledger(world.ledger), testbed)
    latencies_ms = [record["latency_ms"] for record in rows["flood"] if record["code"] == 0]
    flood_counts = {
        name: sum(report.get(name, 0) for report in flood_reports)
        for name in sorted({name for report in flood_reports for name in report if name != "refused_ms"})
    }
    served = len(rows["flood"]) + flood_counts.get("code 0", 0)
    rejections = flood_counts.get("told and closed", 0) + flood_counts.get("closed without a word", 0)
    rejection_cpu_s = max(0.0, used_cpu_s - query_cpu_s * served) / max(1, rejections)
    return {
        "query_cpu_ms": round(1000 * query_cpu_s, 3),
        "refusal_cpu_ms": round(1000 * rejection_cpu_s, 3),
        "depot_asked": len(rows["flood"]),
        "depot_finished": len(latencies_ms),
        "depot_p99_ms": quantile(latencies_ms, 99),
        "depot_p50_ms": quantile(latencies_ms, 50),
        "calm_finished": sum(record["code"] == 0 for record in rows["calm"]),
        "calm_p99_ms": quantile([record["latency_ms"] for record in rows["calm"] if record["code"] == 0], 99),
        "calm_p50_ms": quantile([record["latency_ms"] for record in rows["calm"] if record["code"] == 0], 50),
        "refusals": len(rejection_ms),
        "refusal_p50_ms": quantile(rejection_ms, 50),
        "refusal_p99_ms": quantile(rejection_ms, 99),
        "flood": flood_counts,
        "silent": sum(record["answers"] == 0 for record in clients.records),
        "front_cpu_s": round(used_cpu_s, 2),
        "front_cpu_share": round(used_cpu_s / elapsed_s, 3),
        "front_memory_mb": round(peak, 1),
        "front_exit": code,
        "connections": connections,
        "addresses": addresses,
        "sockets": sockets,
        "gate": gate,
        "broken_rules": [
            f"{check}: {count} ({'; '.join(map(str, examples))})" for check, count, examples in findings
        ],
    }
