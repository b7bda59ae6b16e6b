"""A connection to an engine comes up 1.4 s late, while it carries the call that starts a query."""

import asyncio
import socket
import time
from pathlib import Path

import world_2 as world

FOLDER = Path(__file__).resolve().parent

CLASSES = [
    {"name": "lookup", "effect": "safe", "aim_us": 500000, "deadline_us": 2500000, "worth": 1},
    {"name": "report", "effect": "safe", "aim_us": 2000000, "deadline_us": 20000000, "worth": 10},
]
ROUNDS = 6
LATE_S = 1.4  # STANDING: up to 1.5 s, for a third of the connections
WORK_S = {"lookup": 0.2, "report": 1.2}


class Engine(world.Engine):
    """An engine that accepts connections itself, and is late with it until `late_until_s`."""

    def __init__(self, record, plan):
        """Starts without connections."""
        super().__init__(record, plan)
        self.late_until_s = 0.0
        self.connections = 0
        self.late_connections = 0
        self.listener = None

    async def open(self):
        """Listens on a free port."""
        self.listener = socket.create_server((world.HOST, 0), backlog=512)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.tasks.add(asyncio.ensure_future(self._accept()))

    async def _accept(self):
        was_late = False
        while True:
            if time.time() < self.late_until_s and 3 * (self.late_connections + 1) <= self.connections:
                was_late = True
                await asyncio.sleep(0.005)
                continue
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                was_late = False
                await asyncio.sleep(0.001)
                continue
            self.connections += 1
            if was_late:
                self.late_connections += 1
                self.record(f"engine {self.uid}: connection {self.connections} has come up late")
            reader, writer = await asyncio.open_connection(sock=sock)
            self.tasks.add(asyncio.ensure_future(self._serve(reader, writer)))


async def _round(record, gateway, engines, number, has_trouble):
    """Sends lookups, then a report while all connections to engines are in use; returns the report."""
    client = await world.Client(record, f"c{number}").open(gateway.port)
    for count in (18, 30):
        lookups = [client.ask("lookup", 2000, effort="200.0") for _ in range(count)]
        await asyncio.sleep(0.1)
        if count == 30:
            for engine in engines:
                engine.late_until_s = time.time() + LATE_S if has_trouble else 0.0
            report = client.ask("report", 16000, effort="1200.0")
        await asyncio.gather(*(request.done.wait() for request in lookups))
        await asyncio.sleep(0.05)
    await report.done.wait()
    await asyncio.sleep(3)  # idle connections to engines are closed meanwhile
    client.close()
    return report


async def case(record, has_trouble):
    """Returns the broken rules."""
    bulletin = world.Bulletin(record)
    await bulletin.open()
    engines = [Engine(record, lambda run: (WORK_S[run.fields["x-sort"]], 200)) for _ in range(3)]
    for engine in engines:
        await engine.open()
    bulletin.tell([engine.target() for engine in engines], whole=True)
    settings = world.settings(CLASSES)
    settings["limits"].update(most_tries=4, keepalive_us=4000000)
    settings["family_info"].update(progress_pace_us=0, ranks_heeded=False, says_cost=False)
    gateway = world.Gateway(record, settings, bulletin)
    try:
        gateway.start()
        await gateway.until_ready()
        for number in range(ROUNDS):
            await _round(record, gateway, engines, number, has_trouble)
    finally:
        for engine in engines:
            record(f"engine {engine.uid}: {engine.late_connections} of {engine.connections} connections late")
        gateway.stop()
    runs = {}
    for engine in engines:
        for run in engine.history:
            runs.setdefault(run.ref, []).append((run.began_s, run.ended_s, engine.uid, run.status))
    broken = []
    for ref, attempts in runs.items():
        attempts.sort()
        for earlier, later in zip(attempts, attempts[1:], strict=False):
            both_s = min(earlier[1], later[1]) - later[0]
            if both_s > 0.05:
                where = f"{earlier[2]} ({earlier[3]}) and {later[2]} ({later[3]})"
                broken.append(f"rule 2: {ref} was out twice for {both_s * 1000:.0f} ms, at {where}")
    return broken


if __name__ == "__main__":
    world.run_case(FOLDER, case)
