"""Stand-ins for the platform, the engines and the clients of gateways, on loopback and the real clock.

Each follows the operators' pages (PROTOCOL, DEPLOY). They run in one process, beside the gateways that the
deploy file's command starts. `Record` keeps what was sent, run and answered; `Check` judges it.
"""

import asyncio
import contextlib
import json
import os
import re
import secrets
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FORGET_S = 2.0  # PROTOCOL: an engine drops a query that has not been asked for in 2 s
HOLD_S = 0.25  # PROTOCOL: a call for news is answered after 250 ms at the latest
PROGRESS_S = 0.5
PAGE_BYTES = 6000
SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer
LATE_S = 0.5  # FLEET: an answer up to half a second after the request's time only earns nothing
SERVED, REFUSED, FAILED = 0, 14, 2
RUN_PATTERN = re.compile(rb"/\* run (\d+) rows (\d+) \*/")

SETTINGS = {
    "seed": 1,
    "resolution_us": 5000,
    "replicas_of_me": 1,
    "slot_no": 0,
    "my_zone": "east",
    "failure_domains": ["east", "west"],
    "kinds": ["std-8"],
    "registry_mode": "pushed",
    "over_share_worth": 0.05,
    "weight_source": "nominal",
    "classes": [
        {
            "name": "status",
            "effect": "safe",
            "group": "all",
            "aim_us": 500000,
            "deadline_us": 2500000,
            "aim_stretch": 1.5,
            "worth": 1,
            "late_worth": 0.1,
        },
        {
            "name": "report",
            "effect": "safe",
            "group": "all",
            "aim_us": 3000000,
            "deadline_us": 15000000,
            "aim_stretch": 2.5,
            "worth": 20,
            "late_worth": 0.3,
        },
        {
            "name": "manifest",
            "effect": "unsafe",
            "group": "all",
            "aim_us": 3000000,
            "deadline_us": 25000000,
            "aim_stretch": 3,
            "worth": 30,
            "late_worth": 0.6,
        },
    ],
    "tenants": [{"name": "khan-uul-hotel", "share": 1.0, "allowance_per_s": 500.0}],
    "limits": {
        "most_tries": 6,
        "cancel": True,
        "keepalive_us": 15000000,
        "connect_timeout_us": 250000,
        "retry_after": False,
        "second_copies": False,
        "may_probe": False,
    },
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
        "loads": [False, False, False],
        "yields_to_loads": [False, False, False],
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


def free_port(host="127.0.0.1"):
    """Returns a port of `host` that is free now."""
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()[1]


class Record:
    """What happened, in order; written to a file at the end."""

    def __init__(self):
        """Starts empty."""
        self.events = []
        self.started_s = time.time()

    def add(self, what, **facts):
        """Adds an event of now."""
        self.events.append((time.time(), what, facts))

    def of(self, what):
        """Returns the events of one kind, as (time, facts)."""
        return [(at_s, facts) for at_s, kind, facts in self.events if kind == what]

    def write(self, path):
        """Writes all events, one a line, with their time in ms since the start."""
        lines = []
        for at_s, what, facts in self.events:
            text = " ".join(f"{name}={value}" for name, value in facts.items())
            lines.append(f"{1000 * (at_s - self.started_s):10.1f} {what} {text}")
        Path(path).write_text("\n".join(lines) + "\n", encoding="utf-8")


@dataclass
class Run:
    """One query at one engine."""

    ref: str
    group: str
    rows: int
    began_s: float
    ends_s: float
    asked_s: float
    is_over: bool = False
    noted_s: float = 0.0
    pages: list = field(default_factory=list)
    over: asyncio.Event = field(default_factory=asyncio.Event)


class Engine:
    """A query engine.

    max_connections: it refuses connections beyond these; None: it takes all.
    resets: called with each whole request; it returns whether its connection is reset under it.
    """

    def __init__(self, record, uid, host="127.0.0.1", zone="east", kind="std-8", cell=0):
        """Creates an engine that does not listen yet."""
        self.record = record
        self.uid = uid
        self.host = host
        self.port = free_port(host)
        self.zone = zone
        self.kind = kind
        self.cell = cell
        self.runs = {}
        self.writers = set()
        self.server = None
        self.max_connections = None
        self.resets = lambda verb, ref: False
        self.is_ended = False
        self.awake = asyncio.Event()  # while it is not set, calls are taken and left unread
        self.awake.set()
        self.spoils = lambda status: ""  # how a reply is spoilt; "": it is not

    @property
    def address(self):
        """The address, as the bulletin names it."""
        return f"{self.host}:{self.port}"

    def row(self, state="SERVING", boot_ms=0):
        """Returns the engine's entry in the bulletin."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": self.zone,
            "model": self.kind,
            "pod_group": self.cell,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": boot_ms,
        }

    async def start(self):
        """Starts to listen."""
        self.is_ended = False
        await self._listen()
        self.keeper = asyncio.create_task(self._keep())

    async def _listen(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=1024, reuse_address=True
        )

    async def stop(self):
        """Ends the process: resets its connections and refuses new ones."""
        self.is_ended = True
        self.keeper.cancel()
        if self.server:
            self.server.close()
            self.server = None
        for run in list(self.runs.values()):
            self._end(run, "died")
        self.runs.clear()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _keep(self):
        while True:
            await asyncio.sleep(0.01)
            now_s = time.time()
            for run in list(self.runs.values()):
                if not self.awake.is_set():
                    continue
                if now_s > run.asked_s + FORGET_S:
                    self._end(run, "forgotten")
                    self.runs.pop(run.ref, None)
                elif not run.is_over and now_s >= run.ends_s:
                    self._end(run, "ok")

    def _end(self, run, how):
        if not run.is_over:
            run.is_over = True
            run.over.set()
            self.record.add("end", engine=self.uid, ref=run.ref, how=how)

    async def _update_listener(self):
        if self.is_ended or self.max_connections is None:
            return
        if len(self.writers) >= self.max_connections and self.server is not None:
            self.server.close()
            self.server = None
        elif len(self.writers) < self.max_connections and self.server is None:
            with contextlib.suppress(OSError):
                await self._listen()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        await self._update_listener()
        writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")[:-2]
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.awake.wait()
                verb, path, _ = first.split(" ")
                await self._on_request(writer, verb, path, headers, body)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.LimitOverrunError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.transport.abort()
            await self._update_listener()

    async def _on_request(self, writer, verb, path, headers, body):
        ref = headers.get("x-hop-id", "") if verb == "POST" else path.split("/")[2]
        is_reset = self.resets(verb, ref)
        run = self._post(ref, headers, body) if verb == "POST" else self.runs.get(ref)
        if is_reset:
            self.record.add("reset", engine=self.uid, verb=verb, ref=ref)
            writer.transport.abort()
            raise ConnectionResetError
        if verb == "POST":
            await self._news(writer, run)
        elif verb == "GET":
            page = int(path.split("/")[3])
            if run is None:
                self._answer(writer, 500)
            elif page:
                self._page(writer, run, page)
            else:
                run.asked_s = time.time()
                await self._news(writer, run)
        elif verb == "DELETE":
            self.record.add("delete", engine=self.uid, ref=ref)
            if run is not None:
                self._end(run, "deleted")
                self.runs.pop(ref, None)
            self._answer(writer, 204)
        else:
            self._answer(writer, 204 if run is not None else 500)

    def _post(self, ref, headers, body):
        run = self.runs.get(ref)
        if run is not None:
            run.asked_s = time.time()
            self.record.add("repeat", engine=self.uid, ref=ref)
            return run
        match = RUN_PATTERN.search(body)
        run_ms, rows = (int(match.group(1)), int(match.group(2))) if match else (20, 1)
        now_s = time.time()
        run = Run(ref, headers["x-sort"], rows, now_s, now_s + run_ms / 1000, now_s, noted_s=now_s)
        run.pages = self._pages(run)
        self.runs[ref] = run
        key = headers.get("x-thing", "")
        self.record.add(
            "start", engine=self.uid, ref=ref, group=run.group, key=key, token=headers.get("x-replay-key", "")
        )
        return run

    def _pages(self, run):
        pages = [b""]
        for number in range(run.rows):
            row = f"{run.ref}\t{number}\t{self.uid}\n".encode()
            if len(pages[-1]) + len(row) > PAGE_BYTES:
                pages.append(b"")
            pages[-1] += row
        return pages

    async def _news(self, writer, run):
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(run.over.wait(), HOLD_S)
        if run.is_over and self.runs.get(run.ref) is run:
            extra = [("X-Parts", len(run.pages)), ("X-Cpu-Ms", "20.0"), ("X-Mem-Used", "16")]
            self._answer(writer, 200, extra, run.pages[0])
        elif run.is_over:
            self._answer(writer, 500)
        else:
            extra = []
            if time.time() - run.noted_s >= PROGRESS_S:
                run.noted_s = time.time()
                share = (run.noted_s - run.began_s) / max(0.001, run.ends_s - run.began_s)
                extra = [("X-Tell", "share"), ("X-Amount", f"{min(0.99, share):.3f}")]
            self._answer(writer, 202, extra)

    def _page(self, writer, run, page):
        run.asked_s = time.time()
        if not run.is_over or page >= len(run.pages):
            self._answer(writer, 500)
        else:
            self._answer(writer, 200, [("X-Part-No", page)], run.pages[page])

    def _answer(self, writer, status, headers=(), body=b""):
        inflight = sum(not run.is_over for run in self.runs.values())
        lines = [f"HTTP/1.1 {status} X", f"X-Report: inflight:{inflight}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if status != 204:
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        self._write(writer, data, self.spoils(status))

    def _write(self, writer, data, fault):
        """Writes a reply, or what is left of it after a fault on the way."""
        loop = asyncio.get_running_loop()
        if fault:
            self.record.add("spoilt", engine=self.uid, fault=fault, reply=data[9:12])
        if fault == "noise":
            writer.write(secrets.token_bytes(40) + b"\r\n\r\n")
        elif fault == "cut":
            writer.write(data[: len(data) // 2])
            loop.call_later(0.002, writer.transport.abort)
        elif fault == "stop":
            writer.write(data[: len(data) // 2])
        elif fault == "huge":
            writer.write(b"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 9000)
        elif fault == "endless":
            writer.write(b"HTTP/1.1 200 OK\r\n" + b"X-Odd: 1\r\n" * 3000)
        elif fault == "late":
            loop.call_later(0.4, writer.write, data)
        elif fault == "twice":
            writer.write(data)
            loop.call_later(0.004, writer.write, data)
        elif fault == "interim":
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n" + data)
        elif fault == "noise after":
            writer.write(data + b"\x00\x01junk")
        elif fault != "never":
            writer.write(data)


class Bulletin:
    """The discovery service: answers at once with later events, else after the wait."""

    def __init__(self, record, host="127.0.0.1"):
        """Creates a service that does not listen yet."""
        self.record = record
        self.host = host
        self.port = free_port(host)
        self.items = []
        self.changed = asyncio.Condition()
        self.writers = set()
        self.server = None

    @property
    def address(self):
        """Its address."""
        return f"{self.host}:{self.port}"

    @property
    def number(self):
        """The number of the last event."""
        return len(self.items)

    def known(self):
        """Returns all events so far, in the form of `known`."""
        return {"no": self.number, "items": list(self.items)}

    async def tell(self, rows, whole=False):
        """Adds an event."""
        number = self.number + 1
        roster = {"rev": number, "all": whole, "targets": rows}
        self.items.append({"no": number, "roster": roster})
        self.record.add("told", number=number, rows=[(row["uid"], row["state"]) for row in rows])
        async with self.changed:
            self.changed.notify_all()

    async def start(self):
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, self.host, self.port, reuse_address=True)

    async def stop(self):
        """Refuses connections and closes the open ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1].decode()
                after, patience = (int(part.partition("=")[2]) for part in path.partition("?")[2].split("&"))
                with contextlib.suppress(asyncio.TimeoutError):
                    async with self.changed:
                        await asyncio.wait_for(
                            self.changed.wait_for(lambda after=after: self.number > after),
                            min(patience, 5000) / 1000,
                        )
                body = json.dumps({"no": self.number, "items": self.items[after:]}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


@dataclass
class Request:
    """One request of a client, and what came back."""

    ref: str
    stream: int
    group: str
    allow_ms: float
    sent_s: float = 0.0
    written_s: float | None = None  # when its last byte was seen to be written, if its connection was up
    answers: list = field(default_factory=list)  # (time, code, body)
    gone_s: float | None = None  # when its client cancelled it or left
    lost_s: float | None = None  # when its connection ended without an answer
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def code(self):
        """The code of its first answer, or None."""
        return self.answers[0][1] if self.answers else None


def encode_request(request, body, fields):
    """Returns the bytes of a request frame."""
    payload = bytes([len(fields)])
    for name, value in fields.items():
        value = str(value).encode()
        payload += bytes([len(name)]) + name.encode() + struct.pack("<H", len(value)) + value
    payload += body
    return struct.pack("<IBI", 5 + len(payload), 2, request.stream) + payload


class Client:
    """One connection of a client to a gateway."""

    def __init__(self, record, requests):
        """Takes the list to which its requests are added."""
        self.record = record
        self.requests = requests
        self.open = {}
        self.all = {}
        self.last_stream = 0
        self.step = 1
        self.is_going_away = False
        self.notices = []  # answers on stream 0
        self.ready = None
        self.closed = asyncio.Event()
        self.is_left = False

    async def connect(self, address, local_host=None):
        """Connects to a gateway."""
        host, _, port = address.rpartition(":")
        local = (local_host, 0) if local_host else None
        self.reader, self.writer = await asyncio.open_connection(host, int(port), local_addr=local)
        self.writer.transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.create_task(self._read())
        return self

    def ask(
        self, group="status", run_ms=20, rows=1, allow_ms=2000, body=None, tenant="khan-uul-hotel", **more
    ):
        """Sends a request and returns it."""
        self.last_stream += self.step
        request = Request(secrets.token_hex(8), self.last_stream, group, allow_ms)
        if body is None:
            body = b"select id from sales_17.orders /* run %d rows %d */" % (run_ms, rows)
        fields = {
            "service": group,
            "ref": request.ref,
            "allow": allow_ms,
            "project": tenant,
            "effort": float(run_ms),
            "memory": 16,
            **more,
        }
        self.open[request.stream] = self.all[request.stream] = request
        self.requests.append(request)
        self.writer.write(encode_request(request, body, fields))
        request.sent_s = time.time()
        self.record.add("request", ref=request.ref, group=group, allow=allow_ms, size=len(body), **more)
        return request

    async def written(self, timeout_s=5.0):
        """Waits until all requests are written to the socket, and notes it for them.

        A request that was not written before the gateway told of an error or closed does not count as taken.
        """
        end_s = time.time() + timeout_s
        while self.writer.transport.get_write_buffer_size() and time.time() < end_s:
            await asyncio.sleep(0.001)
        transport = self.writer.transport
        if (
            transport.get_write_buffer_size()
            or transport.is_closing()
            or self.notices
            or self.closed.is_set()
        ):
            return
        for request in self.all.values():
            if request.written_s is None:
                request.written_s = time.time()
                self.record.add("written", ref=request.ref)

    def cancel(self, request):
        """Sends that nobody waits for a request any more."""
        if self.open.pop(request.stream, None) is not None:
            self.writer.write(struct.pack("<IBI", 5, 8, request.stream))
            request.gone_s = time.time()
            self.record.add("cancel", ref=request.ref)
            request.done.set()

    def leave(self):
        """Closes the connection, whatever is open on it."""
        for request in self.open.values():
            request.gone_s = time.time()
            self.record.add("left", ref=request.ref)
            request.done.set()
        self.open = {}
        self.is_left = True
        self.writer.close()

    async def is_ready(self, timeout_s=1.0):
        """Asks whether the gateway is ready."""
        self.ready = asyncio.get_running_loop().create_future()
        self.writer.write(struct.pack("<IBIB", 6, 16, 0, 0))
        return await asyncio.wait_for(self.ready, timeout_s)

    async def _read(self):
        try:
            while True:
                length, kind, stream = struct.unpack("<IBI", await self.reader.readexactly(9))
                payload = await self.reader.readexactly(length - 5)
                self._on_frame(kind, stream, payload)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for request in self.open.values():
                request.lost_s = time.time()
                self.record.add("lost", ref=request.ref)
                request.done.set()
            self.open = {}
            self.closed.set()
            self.writer.transport.abort()

    def _on_frame(self, kind, stream, payload):
        if kind == 32:
            if self.ready and not self.ready.done():
                self.ready.set_result(payload[0] == 0)
        elif kind == 64:
            self.is_going_away = True
        elif kind == 4 and stream == 0:
            self.notices.append(payload)
            self.record.add("notice", code=payload[0], text=payload[2:60])
        elif kind == 4:
            request = self.all[stream]
            request.answers.append((time.time(), payload[0], payload[2:]))
            self.open.pop(stream, None)
            size = len(payload) - 2
            self.record.add("answer", ref=request.ref, code=payload[0], bytes=size, text=payload[2:40])
            request.done.set()


class Caller:
    """A client program: keeps connections to one gateway, and closes one that was idle for 4 s."""

    IDLE_S = 4.0  # PROTOCOL

    def __init__(self, world, gateway, connections=1):
        """Creates a program that keeps up to `connections` in use."""
        self.world = world
        self.gateway = gateway
        self.clients = [None] * connections
        self.used_s = [0.0] * connections

    async def ask(self, *arguments, **options):
        """Sends a request on one of its connections, or on a new one."""
        number = secrets.randbelow(len(self.clients))
        client = self.clients[number]
        is_idle = time.time() - self.used_s[number] > self.IDLE_S
        if client is not None and is_idle and not client.open:
            client.leave()
        if client is None or client.closed.is_set() or client.is_going_away or client.is_left:
            client = await self.world.client(self.gateway)
            self.clients[number] = client
        self.used_s[number] = time.time()
        return client.ask(*arguments, **options)


class Gateway:
    """A gateway, started by the deploy file's command as a process of its own."""

    def __init__(
        self, record, name, bulletin, settings, folder, host="127.0.0.1", sockets=1024, memory_mb=192
    ):
        """Writes its configuration."""
        self.record = record
        self.name = name
        self.address = f"{host}:{free_port(host)}"
        self.folder = Path(folder) / name
        self.folder.mkdir(parents=True, exist_ok=True)
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.settings = settings
        self.bulletin = bulletin
        self.process = None
        self.log = None

    def write_config(self, bulletin=None):
        """Writes the configuration file, with the address of a bulletin, in place of an older one."""
        self.bulletin = bulletin or self.bulletin
        config = {
            "name": self.name,
            "listen": self.address,
            "seed": secrets.token_hex(8),
            "limits": self.limits,
            "bulletin": self.bulletin.address,
            "known": self.bulletin.known(),
            "settings": self.settings,
        }
        path = self.folder / "config.json"
        new = self.folder / "config.new"
        new.write_text(json.dumps(config), encoding="utf-8")
        new.replace(path)
        return path

    async def start(self, timeout_s=15.0):
        """Starts the process and waits until it is ready."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            **os.environ,
            "BALANCER_NAME": self.name,
            "BALANCER_LISTEN": self.address,
            "BALANCER_CONFIG": str(self.write_config()),
            "TMPDIR": str(temporary),
        }
        for name in ("LICHENQUAY_SETTINGS", "PYTHONPATH"):
            environment.pop(name, None)
        self.log = self.folder / "log.txt"
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add("gateway", name=self.name, state="started", pid=self.process.pid)
        deadline_s = time.time() + timeout_s
        while time.time() < deadline_s:
            await asyncio.sleep(0.05)
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                client = await Client(Record(), []).connect(self.address)
                is_ready = await client.is_ready()
                client.leave()
                if is_ready:
                    self.record.add("gateway", name=self.name, state="ready")
                    return self
        raise RuntimeError(f"{self.name} is not ready")

    def signal(self, number):
        """Sends a signal."""
        self.record.add("signal", name=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    def counters(self):
        """Returns the log so far."""
        return self.log.read_text(encoding="utf-8", errors="replace")

    async def stop(self, timeout_s=6.0):
        """Ends the process: SIGTERM, then SIGKILL."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        deadline_s = time.time() + timeout_s
        while self.process.poll() is None and time.time() < deadline_s:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class World:
    """Everything of one case. Use: `async with World() as world`."""

    def __init__(self):
        """Creates an empty world."""
        self.record = Record()
        self.requests = []
        self.engines = []
        self.gateways = []
        self.clients = []
        self.lag_s = 0.0
        self.bulletin = Bulletin(self.record)
        self.folder = tempfile.TemporaryDirectory()

    async def __aenter__(self):
        """Starts the bulletin."""
        await self.bulletin.start()
        self.lag_task = asyncio.create_task(self._watch_lag())
        return self

    async def _watch_lag(self):
        """Notes how late the stand-ins themselves are, as that must not count against a gateway."""
        while True:
            due_s = time.time() + 0.01
            await asyncio.sleep(0.01)
            self.lag_s = max(self.lag_s, time.time() - due_s)

    async def __aexit__(self, *_):
        """Ends all processes and stand-ins."""
        self.lag_task.cancel()
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.signal(signal.SIGCONT)
                gateway.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(0.1)
        await asyncio.gather(*(gateway.stop() for gateway in self.gateways))
        self.logs = {gateway.name: gateway.counters() for gateway in self.gateways if gateway.log}
        for engine in self.engines:
            await engine.stop()
        await self.bulletin.stop()
        self.folder.cleanup()

    async def add_engines(self, count, **facts):
        """Adds and starts engines; the bulletin tells the whole list."""
        for _ in range(count):
            engine = Engine(self.record, f"s-{secrets.token_hex(4)}", **facts)
            await engine.start()
            self.engines.append(engine)
        await self.bulletin.tell([engine.row() for engine in self.engines], whole=True)

    async def add_gateway(self, name, settings=SETTINGS, **options):
        """Adds a gateway and waits until it is ready."""
        gateway = Gateway(self.record, name, self.bulletin, settings, self.folder.name, **options)
        self.gateways.append(gateway)
        return await gateway.start()

    async def client(self, gateway, **options):
        """Returns a client that is connected to a gateway."""
        client = await Client(self.record, self.requests).connect(gateway.address, **options)
        client.gateway_name = gateway.name
        self.clients.append(client)
        return client


def runs_of(record):
    """Returns, by request, its runs as (engine, begin, end, how); the end is None while it runs."""
    runs = {}
    for at_s, what, facts in record.events:
        if what == "start":
            runs.setdefault(facts["ref"], []).append([facts["engine"], at_s, None, ""])
        elif what == "end":
            for run in runs.get(facts["ref"], ()):
                if run[0] == facts["engine"] and run[2] is None:
                    run[2], run[3] = at_s, facts["how"]
    return runs


def breaks_of(record, requests, slack_s=SLACK_S):
    """Returns the breaks of the rules on lost and repeated requests, as texts."""
    breaks = []
    runs = runs_of(record)
    for request in requests:
        due_s = request.sent_s + request.allow_ms / 1000
        tries = runs.get(request.ref, [])
        if request.gone_s is None:
            if not request.answers:
                breaks.append(f"lost: {request.ref} {request.group} has no answer")
            elif request.answers[0][0] > due_s + LATE_S + slack_s:
                late_ms = 1000 * (request.answers[0][0] - due_s)
                breaks.append(f"late: {request.ref} {request.group} answered {late_ms:.0f} ms after its time")
        else:
            for engine, began_s, _, _ in tries:
                if began_s > request.gone_s + 0.1 + slack_s:
                    after_ms = 1000 * (began_s - request.gone_s)
                    breaks.append(
                        f"gone: {request.ref} began at {engine} {after_ms:.0f} ms after its client left"
                    )
        if len(request.answers) > 1:
            breaks.append(f"twice answered: {request.ref}")
        if request.answers and request.answers[0][1] == SERVED:
            rows = request.answers[0][2].splitlines()
            if not all(row.startswith(request.ref.encode() + b"\t") for row in rows):
                breaks.append(f"foreign: {request.ref}")
        if request.group == "manifest" and len(tries) > 1:
            breaks.append(f"run twice: {request.ref} {[run[0] for run in tries]}")
        for number, first in enumerate(tries):
            for second in tries[number + 1 :]:
                first_end_s = first[2] or time.time()
                together_s = min(first_end_s, second[2] or time.time()) - second[1]
                if together_s > slack_s:
                    breaks.append(
                        f"two at once: {request.ref} {request.group} on {first[0]} and {second[0]} "
                        f"for {1000 * together_s:.0f} ms ({first[3]}, {second[3]})"
                    )
    return breaks


def run_case(case, folder, timeout_s=112.0):
    """Runs `case(world, has_trouble)`, which returns breaks as texts; writes the record and exits."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World()

    async def run():
        async with world:
            return await case(world, has_trouble)

    try:
        breaks = asyncio.run(asyncio.wait_for(run(), timeout_s))
    except Exception as error:  # whatever it is, the case could not run
        world.record.add("could not run", error=repr(error))
        world.record.write(Path(folder) / "record.txt")
        print(f"could not run: {error!r}")
        raise SystemExit(2) from None
    for text in breaks:
        world.record.add("BROKEN", text=text)
    lag_ms = round(1000 * world.lag_s)
    world.record.add("verdict", breaks=len(breaks), trouble=has_trouble, lag_of_the_stand_ins_ms=lag_ms)
    world.record.write(Path(folder) / "record.txt")
    for text in breaks[:10]:
        print(text)
    print(f"{len(breaks)} breaks; trouble: {has_trouble}")
    raise SystemExit(1 if breaks else 0)


class Platform:
    """The platform's watch over a gateway's memory: it kills a gateway that is over its limit (DEPLOY).

    Only anonymous memory of the process counts here: no files, no socket buffers.
    """

    def __init__(self, record, gateway):
        """Creates a watch that does nothing until `watch` runs."""
        self.record = record
        self.gateway = gateway
        self.peak_mb = 0.0
        self.is_killed = False

    async def watch(self):
        """Looks every 10 ms, until the process is killed or ended."""
        process = self.gateway.process
        while process.poll() is None:
            with contextlib.suppress(OSError, AttributeError):
                status = Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
                self.peak_mb = max(self.peak_mb, int(re.search(r"RssAnon:\s+(\d+)", status).group(1)) / 1024)
            if self.peak_mb > self.gateway.limits["memory_mb"]:
                self.is_killed = True
                self.record.add("killed for memory", name=self.gateway.name, mb=round(self.peak_mb, 1))
                process.kill()
                return
            await asyncio.sleep(0.01)
