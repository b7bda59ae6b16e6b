"""What the cases of the second review share: stand-ins by the operators' pages, and the gateway's process.

Needs the standard library alone. A case writes what was sent, answered and run to its record.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
POLL_S = 0.25  # PROTOCOL: an engine answers a poll within this time
FORGET_S = 2.0  # PROTOCOL: a query ends that has not been asked for in this time
LATE_S = 0.5  # STANDING: an answer later than this after the request's time is lost
SERVED, REFUSED, FAILED = 0, 14, 2
HEADER = struct.Struct("<IBI")
STATEMENT = b"select id, n, v from sales_17.orders"


def settings(classes, **changes):
    """Returns the settings of a small deployment, with these classes."""
    rules = {
        "answer_slack_us": 20000,
        "stop_sending_within_us": 250000,
        "start_capacity": 0.3,
        "ramp_time_us": 8000000,
        "overload_factor": 3.0,
        "fall_us": 1500000,
    }
    rules.update(changes.get("rules", {}))
    return {
        "seed": 1,
        "resolution_us": 5000,
        "replicas_of_me": 1,
        "my_zone": "a",
        "kinds": ["std-8"],
        "over_share_worth": 0.05,
        "classes": classes,
        "tenants": [{"name": "acme", "share": 1.0, "allowance_per_s": 1000.0}],
        "limits": {
            "most_tries": 6,
            "cancel": True,
            "keepalive_us": 15000000,
            "connect_timeout_us": 250000,
        },
        "rules": rules,
        "report": {"how": "answers", "columns": ["active"]},
        "family_info": {
            "width_by_class": [1] * len(classes),
            "loads": [False] * len(classes),
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


class Record:
    """The record of a case, written at its end: what was sent, answered and run."""

    def __init__(self, folder):
        """Starts an empty record in the folder of a case."""
        self.path = Path(folder) / "record.txt"
        self.began = time.time()
        self.lines = []

    def __call__(self, text):
        """Adds a line with the time since the start."""
        self.lines.append(f"{time.time() - self.began:9.3f} {text}")

    def close(self):
        """Writes the record."""
        self.path.write_text("\n".join(self.lines) + "\n")


async def _read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    verb, path, _ = first.split(" ")
    fields = {}
    for line in rest:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return verb, path, fields, body


def _encode_reply(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} x"]
    lines += [f"{name}: {value}" for name, value in fields]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """A server of one call at a time on each connection; subclasses answer a call in `answer`."""

    def __init__(self, record):
        """Starts closed."""
        self.record = record
        self.port = 0
        self.server = None
        self.tasks = set()

    async def open(self):
        """Listens on a free port."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await _read_request(reader)
                writer.write(await self.answer(*request))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def close(self):
        """Closes the port and all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Bulletin(Server):
    """The bulletin, as PROTOCOL says: numbered events, and polls that wait for a later one."""

    def __init__(self, record):
        """Starts without events."""
        super().__init__(record)
        self.items = []
        self.changed = asyncio.Event()

    def tell(self, targets, whole=False):
        """Puts a change of the list into the bulletin."""
        number = len(self.items) + 1
        self.items.append({"no": number, "roster": {"rev": number, "all": whole, "targets": targets}})
        self.record(f"bulletin: event {number} whole={whole} {[(t['uid'], t['state']) for t in targets]}")
        self.changed.set()
        self.changed = asyncio.Event()

    def news(self, after=0):
        """Returns the events after a number, in the form of `known`."""
        return {"no": len(self.items), "items": self.items[after:]}

    async def answer(self, verb, path, fields, body):
        """Answers a poll."""
        query = dict(pair.split("=") for pair in path.partition("?")[2].split("&"))
        after = int(query["after"])
        if len(self.items) <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(query["patience"]) / 1000)
        return _encode_reply(200, (), json.dumps(self.news(after)).encode())


class Run:
    """A query at an engine."""

    def __init__(self, ref, fields, body, now_s):
        """Starts with the call that brought it."""
        self.ref = ref
        self.fields = fields
        self.body = body
        self.began_s = now_s
        self.asked_s = now_s
        self.ended_s = None
        self.status = None  # the end: 200, 500, 503 or 'given up', 'forgotten'
        self.over = asyncio.Event()


class Engine(Server):
    """A query engine, as PROTOCOL says. `plan(run)` returns (seconds, status): how a query goes there."""

    numbers = itertools.count(1)

    def __init__(self, record, plan, zone="a"):
        """Starts without queries."""
        super().__init__(record)
        self.uid = f"s-{next(Engine.numbers):08x}"
        self.plan = plan
        self.zone = zone
        self.runs = {}
        self.history = []

    def target(self, state="SERVING", boot_ms=0):
        """Returns the engine's entry in the list."""
        return {
            "uid": self.uid,
            "endpoint": f"{HOST}:{self.port}",
            "state": state,
            "az": self.zone,
            "model": "std-8",
            "pod_group": 1,
            "capacity_hint": 8,
            "boot_ms": boot_ms,
        }

    async def answer(self, verb, path, fields, body):
        """Answers a call for a query."""
        parts = path.strip("/").split("/")
        if verb == "POST":
            ref = fields["x-hop-id"]
            run = self.runs.get(ref)
            if run is None:
                run = Run(ref, fields, body, time.time())
                self.runs[ref] = run
                self.history.append(run)
                self.record(f"engine {self.uid}: begins {ref} sort={fields.get('x-sort')}")
                task = asyncio.ensure_future(self._carry_out(run))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            return await self._news(run)
        run = self.runs.get(parts[1])
        if verb == "DELETE":
            if run is None:
                return _encode_reply(500)
            self._end(run, "given up")
            return _encode_reply(204)
        if run is None:
            return _encode_reply(500)
        run.asked_s = time.time()
        if verb == "PUT":
            return _encode_reply(204)
        if parts[2] == "0":
            return await self._news(run)
        return _encode_reply(500)

    async def _news(self, run):
        if run.status is None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(run.over.wait(), POLL_S)
        active = sum(each.status is None for each in self.runs.values())
        report = ("X-Report", f"inflight:{active}")
        if run.status is None:
            return _encode_reply(202, (report,))
        if run.status == 200:
            rows = f"{run.ref}\t{self.uid}\t1\n".encode()
            cost = (("X-Parts", 1), ("X-Cpu-Ms", 20), ("X-Mem-Used", 16), report)
            return _encode_reply(200, cost, rows)
        if run.status == 503:
            return _encode_reply(503, (("X-No-Effect", "1"), report))
        return _encode_reply(500, (report,))

    async def _carry_out(self, run):
        seconds, status = self.plan(run)
        while run.status is None:
            now_s = time.time()
            if now_s >= run.began_s + seconds:
                self._end(run, status)
            elif now_s > run.asked_s + FORGET_S:
                self._end(run, "forgotten")
            else:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(run.over.wait(), min(0.1, run.began_s + seconds - now_s))
        if run.status == 200:
            while time.time() <= run.asked_s + FORGET_S:
                await asyncio.sleep(0.5)
            self.runs.pop(run.ref, None)

    def _end(self, run, status):
        if run.status is None:
            run.status = status
            run.ended_s = time.time()
            run.over.set()
            self.record(f"engine {self.uid}: ends {run.ref} {status}")
            if status in ("given up", "forgotten"):
                self.runs.pop(run.ref, None)


def encode_fields(fields):
    """Encodes fields as the start of a payload."""
    parts = [bytes([len(fields)])]
    for name, value in fields.items():
        name, value = name.encode(), str(value).encode()
        parts += [bytes([len(name)]), name, struct.pack("<H", len(value)), value]
    return b"".join(parts)


def encode_frame(kind, stream, payload=b""):
    """Encodes a frame."""
    return HEADER.pack(5 + len(payload), kind, stream) + payload


def new_ref():
    """Returns a new id of a request."""
    return f"{random.getrandbits(64):016x}"


def encode_request(stream, service, allow, ref=None, statement=STATEMENT, **fields):
    """Encodes a request of the tenant `acme`."""
    values = {"service": service, "ref": ref or new_ref(), "allow": allow, "project": "acme"}
    values.update({"effort": "20.0", "memory": "16", **fields})
    return encode_frame(2, stream, encode_fields(values) + statement)


class Request:
    """A request of a usual client, and what came of it."""

    def __init__(self, ref, service, allow_ms):
        """Starts unsent."""
        self.ref = ref
        self.service = service
        self.allow_ms = allow_ms
        self.sent_s = None  # when its last byte was written
        self.answered_s = None
        self.code = None
        self.body = b""
        self.is_cut = False  # its connection ended without an answer
        self.is_first = False  # no request was answered on its connection before
        self.done = asyncio.Event()

    def is_lost(self, now_s):
        """Returns whether the first rule was broken: no answer half a second after the request's time."""
        if self.sent_s is None:
            return False
        end_s = self.answered_s or (now_s if not self.is_cut else float("inf"))
        return end_s > self.sent_s + self.allow_ms / 1000 + LATE_S


class Client:
    """One connection of a usual client."""

    def __init__(self, record, name):
        """Starts unconnected."""
        self.record = record
        self.name = name
        self.requests = {}
        self.answers = 0
        self.notices = 0  # frames that belong to no request
        self.readiness = None
        self.last_stream = 0
        self.is_closed = False
        self.task = None

    async def open(self, port):
        """Connects."""
        self.reader, self.writer = await asyncio.open_connection(HOST, port)
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self._read())
        return self

    def ask(self, service, allow_ms, **fields):
        """Sends a request; returns it."""
        self.last_stream += 1
        request = Request(fields.pop("ref", None) or new_ref(), service, allow_ms)
        self.requests[self.last_stream] = request
        self.writer.write(encode_request(self.last_stream, service, allow_ms, request.ref, **fields))
        request.sent_s = time.time()
        self.record(f"client {self.name}: sends {request.ref} {service} allow={allow_ms}")
        return request

    async def is_ready(self):
        """Asks whether the gateway is ready."""
        self.last_stream += 1
        self.readiness = asyncio.get_running_loop().create_future()
        self.writer.write(encode_frame(16, self.last_stream, b"\0"))
        return await self.readiness == 0

    async def _read(self):
        try:
            while True:
                length, kind, stream = HEADER.unpack(await self.reader.readexactly(HEADER.size))
                payload = await self.reader.readexactly(length - 5)
                self._on_frame(kind, stream, payload)
        except (OSError, EOFError):
            pass
        self.is_closed = True
        if self.readiness is not None and not self.readiness.done():
            self.readiness.set_result(1)
        for request in self.requests.values():
            if request.code is None:
                request.is_cut = True
                request.done.set()
                self.record(f"client {self.name}: connection ended under {request.ref}")

    def _on_frame(self, kind, stream, payload):
        if kind == 32:
            self.readiness.set_result(payload[0])
        elif kind == 4 and stream in self.requests:
            request = self.requests[stream]
            self.answers += 1
            request.code = payload[0]
            request.answered_s = time.time()
            request.body = payload[2:]
            request.done.set()
            took_ms = (request.answered_s - request.sent_s) * 1000
            self.record(
                f"client {self.name}: answer {request.ref} code={request.code} after {took_ms:.0f} ms"
            )
        else:
            self.notices += 1
            self.record(f"client {self.name}: frame type={kind} stream={stream} {bytes(payload[2:60])!r}")

    def close(self):
        """Closes the connection."""
        if self.task is not None:
            self.task.cancel()
            self.writer.close()


class Gateway:
    """The gateway's process, started by the `run` command of the deploy file."""

    def __init__(self, record, settings, bulletin, memory_mb=192, sockets=1024):
        """Writes the configuration; the folder and the process go with `stop`."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            self.port = probe.getsockname()[1]
        self.config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "bulletin": f"{HOST}:{bulletin.port}",
            "known": bulletin.news(),
            "settings": settings,
        }
        self.process = None
        self.killed_mb = 0.0  # set if the process was killed for memory

    def start(self):
        """Starts the process."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "BALANCER_NAME": "n1",
            "BALANCER_LISTEN": self.config["listen"],
            "BALANCER_CONFIG": str(path),
            "TMPDIR": str(self.folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.log = (self.folder / "log.txt").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            start_new_session=True,
        )
        self.record(f"gateway: started, limits {self.config['limits']}")

    async def until_ready(self, timeout_s=30):
        """Waits until the gateway says that it is ready. Errors: TimeoutError."""
        until_s = time.time() + timeout_s
        while time.time() < until_s:
            client = Client(lambda text: None, "readiness")
            with contextlib.suppress(OSError):
                await client.open(self.port)
                is_ready = await asyncio.wait_for(client.is_ready(), 3)
                client.close()
                if is_ready:
                    self.record("gateway: ready")
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError("the gateway is not ready")

    def memory_mb(self):
        """Returns the most memory that the process has held, in MB, without the files that it maps."""
        sizes = {}
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            name, _, value = line.partition(":")
            if name in ("VmHWM", "RssFile"):
                sizes[name] = int(value.split()[0]) / 1024
        return sizes.get("VmHWM", 0.0) - sizes.get("RssFile", 0.0)

    async def hold_to_limit(self):
        """Kills the process once it has held more than its limit, as the platform does."""
        limit_mb = self.config["limits"]["memory_mb"]
        while self.process.poll() is None:
            held_mb = self.memory_mb()
            if held_mb > limit_mb:
                self.killed_mb = held_mb
                self.record(
                    f"platform: the gateway has held {held_mb:.0f} MB, over its {limit_mb} MB; killed"
                )
                self.process.kill()
                return
            await asyncio.sleep(0.02)

    def signal(self, number):
        """Sends a signal to the process."""
        self.record(f"gateway: gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        """Ends the process, notes the last lines of its log, and removes the folder."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGUSR1)
                time.sleep(0.3)
                self.process.kill()
            self.process.wait()
            self.log.close()
            for line in (self.folder / "log.txt").read_text(errors="replace").splitlines()[-60:]:
                self.record(f"gateway's log: {line}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs `case(record, has_trouble)`, which returns the broken rules; exits as the review asks."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"trouble={has_trouble}")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, has_trouble), 110))
    except Exception as error:  # the case couldn't run
        record(f"could not run: {error!r}")
        record.close()
        print(f"could not run: {error!r}")
        sys.exit(2)
    for text in broken or ["the rule held"]:
        record(f"verdict: {text}")
        print(text)
    record.close()
    sys.exit(1 if broken else 0)
