"""Emulated engines, and clients that send queries at a rate: a thread each, with blocking sockets, which keep
every answer.
"""

import json
import random
import socket
import threading
import time
from pathlib import Path

from lichenquay.config.testbed_settings import read_testbed
from lichenquay.gateway import frames
from lichenquay.load.child import read_line
from lichenquay.load.task import Task, encode_statement
from lichenquay.testbed.world import platform_settings, start_emulator


class Engines:
    """A context with emulated engines and their endpoint list; `world` is the testbed's settings as text."""

    def __init__(self, path, world):
        """Reads the settings."""
        self.path, self.testbed = Path(path), read_testbed(world)
        self.settings = platform_settings(self.testbed)

    def __enter__(self):
        """Starts the emulator and reads its addresses."""
        self.ledger = self.path / "engines.jsonl"
        self.process = start_emulator(self.testbed, self.path, self.ledger)
        self.emulator_info = json.loads(read_line(self.process, 15.0))
        return self

    def __exit__(self, *_):
        """Ends the emulator."""
        self.process.terminate()
        self.process.wait(6)
        self.process.stdin.close()
        self.process.stdout.close()

    def runs(self):
        """Returns {ref: how often the query was submitted to an engine}."""
        counts = {}
        for line in self.ledger.read_text().splitlines():
            event = json.loads(line)
            if event["kind"] == "post":
                counts[event["ref"]] = counts.get(event["ref"], 0) + 1
        return counts


class QueryClient(threading.Thread):
    """Sends queries to one gateway at random times, `rate` a second on average, and reconnects. `answers` is
    {ref: [code, ...]}, `sent_s` {ref: time}; `lost_refs` are queries whose connection ended first.
    """

    def __init__(self, port, tenant, rate, group="status", work_ms=12.0, timeout_ms=1500, seed=1):
        """The arguments determine the random times and query ids."""
        super().__init__(daemon=True)
        self.port, self.tenant, self.rate, self.group = port, tenant, rate, group
        self.work_ms, self.timeout_ms = work_ms, timeout_ms
        self.rng = random.Random(f"{seed}:{tenant}:{port}")
        self.stopped, self.lock = threading.Event(), threading.Lock()
        self.sent_s, self.answers, self.lost_refs = {}, {}, set()
        self.socket, self.refs_by_stream = None, {}

    def run(self):
        """Sends queries until stopped, then waits for the answers that are due."""
        due_s = time.monotonic()
        while not self.stopped.is_set():
            due_s += self.rng.expovariate(self.rate)
            self.stopped.wait(max(0.0, due_s - time.monotonic()))
            if not self.stopped.is_set():
                self.send_query()
        deadline_s = time.monotonic() + self.timeout_ms / 1000 + 0.5
        while time.monotonic() < deadline_s and any(
            ref not in self.answers and ref not in self.lost_refs for ref in self.sent_s
        ):
            time.sleep(0.02)
        if self.socket:
            self.socket.close()

    def send_query(self):
        """Sends a query, on a new connection after every 25 queries."""
        if self.socket is None or len(self.refs_by_stream) > 24:
            self.connect()
            if self.socket is None:
                return
        ref, self.stream = f"{self.rng.getrandbits(64):016x}", self.stream + 1
        fields = {
            "service": self.group,
            "ref": ref,
            "allow": str(self.timeout_ms),
            "project": self.tenant,
            "effort": f"{self.work_ms:.1f}",
            "memory": "16",
        }
        statement = encode_statement(Task(ref, self.group, self.work_ms, 16.0, tables="3"))
        with self.lock:
            self.sent_s[ref], self.refs_by_stream[self.stream] = time.monotonic(), ref
        try:
            self.socket.sendall(
                frames.encode_frame(
                    frames.FrameType.QUERY, self.stream, frames.encode_fields(fields.items()), statement
                )
            )
        except OSError:
            self.drop_connection(self.socket)

    def connect(self):
        """Opens a connection and a thread that reads it; a failure leaves no connection."""
        try:
            connection = socket.create_connection(("127.0.0.1", self.port), 1)
        except OSError:
            return
        connection.settimeout(None)
        self.socket, self.stream, self.refs_by_stream = connection, 0, {}
        threading.Thread(target=self.read, args=(connection, self.refs_by_stream), daemon=True).start()

    def read(self, connection, refs):
        """Records the answers on a connection until it ends."""
        reader = frames.FrameReader()
        try:
            while data := connection.recv(65_536):
                for kind, stream, payload in reader.feed(data):
                    if kind == frames.FrameType.ANSWER and stream in refs:
                        with self.lock:
                            self.answers.setdefault(refs[stream], []).append(payload[0])
                    elif kind == frames.FrameType.GO_AWAY and self.socket is connection:
                        self.socket = None
        except OSError:
            pass
        with self.lock:
            self.lost_refs |= {ref for ref in refs.values() if ref not in self.answers}
        if self.socket is connection:
            self.socket = None

    def drop_connection(self, connection):
        """Stops the use of a connection."""
        if self.socket is connection:
            self.socket = None

    def codes(self):
        """Returns {answer code: count}; fails if a query was answered twice."""
        assert all(len(codes_of_query) == 1 for codes_of_query in self.answers.values()), "answered twice"
        codes = [codes_of_query[0] for codes_of_query in self.answers.values()]
        return {code: codes.count(code) for code in set(codes)}
