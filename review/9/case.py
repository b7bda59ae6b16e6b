"""Usual clients send requests of 100 KB while bad clients send hundreds of requests at once."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import world_2 as world

FOLDER = Path(__file__).resolve().parent

CLASSES = [
    {"name": "manifest", "effect": "unsafe", "aim_us": 3000000, "deadline_us": 8000000, "worth": 30},
    {"name": "report", "effect": "safe", "aim_us": 3000000, "deadline_us": 15000000, "worth": 20},
]
MEMORY_MB = 80  # service/LATER.md: 32 to 192 MB
CONNECTIONS = 30
STATEMENT = b"insert into sales_17.orders values ('" + b"x" * 100_000 + b"')"


def _plan(run):
    return (0.1, 200) if run.fields["x-sort"] == "manifest" else (4.0, 200)


async def case(record, has_trouble):
    """Returns the broken rules."""
    bulletin = world.Bulletin(record)
    await bulletin.open()
    engines = [world.Engine(record, _plan) for _ in range(3)]
    for engine in engines:
        await engine.open()
    bulletin.tell([engine.target() for engine in engines], whole=True)
    gateway = world.Gateway(record, world.settings(CLASSES), bulletin, memory_mb=MEMORY_MB, sockets=544)
    requests = []
    flood = None
    opened = 0
    clients = []
    try:
        gateway.start()
        await gateway.until_ready()
        began_s = time.time()
        while time.time() < began_s + 15:
            if has_trouble and flood is None and time.time() > began_s + 2:
                record(f"bad clients: {CONNECTIONS} connections, 32 requests of 30 KB each, again and again")
                arguments = [str(value) for value in (gateway.port, CONNECTIONS, 11)]
                flood = subprocess.Popen([sys.executable, str(FOLDER / "bad_clients.py"), *arguments])
            clients = [client for client in clients if not client.is_closed]
            while len(clients) < 8:
                opened += 1
                clients.append(await world.Client(record, f"c{opened}").open(gateway.port))
            for client in clients:
                if not client.is_closed and not client.notices:
                    requests.append(client.ask("manifest", 4000, statement=STATEMENT))
                    requests[-1].is_first = not client.answers
            await asyncio.sleep(0.3)
        await asyncio.sleep(5)
        now_s = time.time()
    finally:
        if flood is not None:
            flood.kill()
            flood.wait()
        gateway.stop()
    # LATER excuses the first request on a connection that the gateway closes: only later ones count.
    lost = [request for request in requests if request.is_lost(now_s) and not request.is_first]
    for request in lost:
        end = "its connection was closed" if request.is_cut else "no answer in time"
        record(f"lost: {request.ref}, not the first on its connection: {end}")
    if lost:
        return [f"rule 1: {len(lost)} of {len(requests)} requests of usual clients got no answer"]
    return []


if __name__ == "__main__":
    world.run_case(FOLDER, case)
