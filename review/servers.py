"""Stand-ins for engines and the discovery service, as PROTOCOL describes them; standard library alone."""

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

from record import HOST, Record, free_port

POLL_S = 0.25  # PROTOCOL: an engine answers a poll after this time, if there is nothing else to say
FORGETS_AFTER_S = 2.0  # PROTOCOL: an engine drops a query that nobody has asked for in this time


@dataclass
class Task:
    """An attempt that an engine knows."""

    ref: str
    group: str
    rows: list[bytes]  # pages
    ends_s: float
    asked_s: float
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Engine:
    """An engine.

    Each query runs for `duration_s(group, statement)`, and has the pages `rows_of(ref, statement)`.
    """

    def __init__(
        self,
        uid: str,
        record: Record,
        duration_s: Callable[[str, bytes], float] = lambda group, statement: 0.05,
        rows_of: Callable[[str, bytes], list[bytes]] | None = None,
        keepalive_s: float = 15.0,
    ):
        """Creates an engine that does not listen yet."""
        self.uid = uid
        self.record = record
        self.duration_s = duration_s
        self.rows_of = rows_of or (lambda ref, statement: [f"{ref}\t{uid}\tdone\n".encode()])
        self.keepalive_s = keepalive_s
        self.port = free_port()
        self.tasks: dict[str, Task] = {}
        self.attempts: list[tuple[float, str, str]] = []  # (time, ref, group) of each POST that came whole
        self.server = None

    @property
    def address(self) -> str:
        """The engine's address in the endpoint list."""
        return f"{HOST}:{self.port}"

    def row(self, state: str = "SERVING") -> dict:
        """Returns the engine's entry in the endpoint list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "a",
            "model": "k",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1,
            "boot_ms": 0,
        }

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 20)

    async def _serve(self, reader, writer):
        try:
            while True:
                call = await asyncio.wait_for(read_http(reader), self.keepalive_s)
                if call is None:
                    break
                verb, path, headers, body = call
                await self._answer(writer, verb, path, headers, body)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, verb, path, headers, body):
        if verb == "POST":
            ref = headers["x-hop-id"]
            self.attempts.append((time.monotonic(), ref, headers["x-sort"]))
            self.record(
                f"engine {self.uid}: POST ref={ref} class={headers['x-sort']} budget={headers['x-budget']}"
            )
            duration_s = self.duration_s(headers["x-sort"], body)
            rows = self.rows_of(ref, body)
            now_s = time.monotonic()
            self.tasks[ref] = Task(ref, headers["x-sort"], rows, now_s + duration_s, now_s)
            await self._answer_poll(writer, self.tasks[ref])
            return
        ref, _, page = path.removeprefix("/o/").partition("/")
        task = self.tasks.get(ref)
        if task is not None and time.monotonic() - task.asked_s > FORGETS_AFTER_S:
            self.record(f"engine {self.uid}: forgot ref={ref}")
            del self.tasks[ref]
            task = None
        if verb == "DELETE":
            self.record(f"engine {self.uid}: DELETE ref={ref} known={task is not None}")
            self.tasks.pop(ref, None)
            await send_http(writer, 204)
        elif verb == "PUT":
            await send_http(writer, 204)
        elif task is None:
            await send_http(writer, 500)
        elif page == "0":
            await self._answer_poll(writer, task)
        else:
            task.asked_s = time.monotonic()
            if int(page) < len(task.rows):
                await send_http(writer, 200, {"X-Part-No": page}, task.rows[int(page)])
            else:
                await send_http(writer, 500)

    async def _answer_poll(self, writer, task):
        """Answers with the end of the query, or after the poll's time that it is not over."""
        task.asked_s = time.monotonic()
        left_s = task.ends_s - task.asked_s
        await asyncio.sleep(max(0.0, min(POLL_S, left_s)))
        task.asked_s = time.monotonic()
        if self.tasks.get(task.ref) is not task:
            await send_http(writer, 500)
        elif time.monotonic() >= task.ends_s:
            if not task.ended.is_set():
                task.ended.set()
                self.record(f"engine {self.uid}: ran ref={task.ref}")
            await self.answer_result(writer, task)
        else:
            await send_http(writer, 202, {"X-Tell": "share", "X-Amount": "0.5"})

    async def answer_result(self, writer, task: Task) -> None:
        """Writes the good end of a query: its first page, and the number of all pages."""
        await send_http(writer, 200, {"X-Parts": str(len(task.rows))}, task.rows[0])

    def close(self) -> None:
        """Stops to listen."""
        if self.server is not None:
            self.server.close()


async def read_http(reader):
    """Returns (verb, path, headers, body) of the next request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    verb, path, _ = first_line.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return verb, path, headers, body


async def send_http(writer, status: int, headers: dict[str, str] | None = None, body: bytes = b"") -> None:
    """Writes a reply; a 204 has no length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in (headers or {}).items())]
    if status != 204:
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
    await writer.drain()


# The discovery service


class Bulletin:
    """The discovery service: answers long polls with the numbered changes of the endpoint list."""

    def __init__(self, record: Record):
        """Starts without events."""
        self.record = record
        self.port = free_port()
        self.events: list[dict] = []
        self.changed = asyncio.Event()
        self.server = None

    @property
    def address(self) -> str:
        """The address that the configuration names."""
        return f"{HOST}:{self.port}"

    def add(self, rows: list[dict], whole: bool = False) -> None:
        """Adds an event and answers the open polls."""
        number = len(self.events) + 1
        self.events.append({"no": number, "roster": {"rev": number, "all": whole, "targets": rows}})
        listed = [(row["uid"], row["state"]) for row in rows]
        self.record(f"bulletin: event {number} whole={whole} {listed}")
        self.changed.set()
        self.changed = asyncio.Event()

    def after(self, number: int) -> dict:
        """Returns the answer to a poll for the events after `number`."""
        return {"no": len(self.events), "items": self.events[number:]}

    async def start(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def _serve(self, reader, writer):
        try:
            while (call := await read_http(reader)) is not None:
                query = dict(pair.split("=") for pair in call[1].partition("?")[2].split("&"))
                after, patience_s = int(query["after"]), int(query["patience"]) / 1000
                if after >= len(self.events):
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), patience_s)
                await send_http(writer, 200, {}, json.dumps(self.after(after)).encode())
        except ConnectionError:
            pass
        finally:
            writer.close()

    def close(self) -> None:
        """Stops to listen."""
        if self.server is not None:
            self.server.close()
