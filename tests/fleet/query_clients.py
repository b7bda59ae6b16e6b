"""Engines of ours, and terminals that ask fronts at a rate: a thread each, blocking sockets, every answer kept."""

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
    """A context: emulated engines and their bulletin; `world`: settings of the laboratory."""

    def __init__(self, path, world):
        self.path, self.lab = Path(path), read_testbed(world)
        self.settings = platform_settings(self.lab)

    def __enter__(self):
        self.ledger = self.path / "engines.jsonl"
        self.process = start_emulator(self.lab, self.path, self.ledger)
        self.told = json.loads(read_line(self.process, 15.0))
        return self

    def __exit__(self, *_):
        self.process.terminate()
        self.process.wait(6)
        self.process.stdin.close()
        self.process.stdout.close()

    def runs(self):
        """{ref: times that it came to an engine}."""
        out = {}
        for line in self.ledger.read_text().splitlines():
            said = json.loads(line)
            if said["kind"] == "post":
                out[said["ref"]] = out.get(said["ref"], 0) + 1
        return out


class Terminal(threading.Thread):
    """Asks one front, `rate` a second by chance; comes back by itself when the connection breaks. `answers`: {ref: [code, ...]}."""

    def __init__(self, port, tenant, rate, group="status", work_ms=12.0, allow_ms=1500, seed=1):
        super().__init__(daemon=True)
        self.port, self.tenant, self.rate, self.group, self.work_ms, self.allow_ms = (
            port,
            tenant,
            rate,
            group,
            work_ms,
            allow_ms,
        )
        self.chance, self.stopped, self.lock = (
            random.Random(f"{seed}:{tenant}:{port}"),
            threading.Event(),
            threading.Lock(),
        )
        self.asked, self.answers, self.lost, self.socket, self.refs = {}, {}, set(), None, {}

    def run(self):
        due = time.monotonic()
        while not self.stopped.is_set():
            due += self.chance.expovariate(self.rate)
            self.stopped.wait(max(0.0, due - time.monotonic()))
            if not self.stopped.is_set():
                self.ask()
        end = time.monotonic() + self.allow_ms / 1000 + 0.5
        while time.monotonic() < end and any(
            r not in self.answers and r not in self.lost for r in self.asked
        ):
            time.sleep(0.02)
        if self.socket:
            self.socket.close()

    def ask(self):
        if self.socket is None or len(self.refs) > 24:
            self.connect()
            if self.socket is None:
                return
        ref, self.stream = f"{self.chance.getrandbits(64):016x}", self.stream + 1
        fields = {
            "service": self.group,
            "ref": ref,
            "allow": str(self.allow_ms),
            "project": self.tenant,
            "effort": f"{self.work_ms:.1f}",
            "memory": "16",
        }
        statement = encode_statement(Task(ref, self.group, self.work_ms, 16.0, tables="3"))
        with self.lock:
            self.asked[ref], self.refs[self.stream] = time.monotonic(), ref
        try:
            self.socket.sendall(
                frames.encode_frame(
                    frames.FrameType.QUERY, self.stream, frames.encode_fields(fields.items()), statement
                )
            )
        except OSError:
            self.broke(self.socket)

    def connect(self):
        try:
            s = socket.create_connection(("127.0.0.1", self.port), 1)
        except OSError:
            return
        s.settimeout(None)
        self.socket, self.stream, self.refs = s, 0, {}
        threading.Thread(target=self.read, args=(s, self.refs), daemon=True).start()

    def read(self, s, refs):
        reader = frames.FrameReader()
        try:
            while data := s.recv(65_536):
                for kind, stream, payload in reader.feed(data):
                    if kind == frames.FrameType.ANSWER and stream in refs:
                        with self.lock:
                            self.answers.setdefault(refs[stream], []).append(payload[0])
                    elif kind == frames.FrameType.GO_AWAY and self.socket is s:
                        self.socket = None
        except OSError:
            pass
        with self.lock:
            self.lost |= {r for r in refs.values() if r not in self.answers}
        if self.socket is s:
            self.socket = None

    def broke(self, s):
        if self.socket is s:
            self.socket = None

    def codes(self):
        """How many answers of each code; and that none came twice."""
        assert all(len(a) == 1 for a in self.answers.values()), "answered twice"
        got = [a[0] for a in self.answers.values()]
        return {c: got.count(c) for c in set(got)}
