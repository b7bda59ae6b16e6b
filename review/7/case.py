"""Bad clients take hundreds of requests back at once, again and again, while usual clients ask."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import world_2 as world

FOLDER = Path(__file__).resolve().parent

CLASSES = [
    {"name": "status", "effect": "safe", "aim_us": 500000, "deadline_us": 2500000, "worth": 1},
    {"name": "manifest", "effect": "unsafe", "aim_us": 3000000, "deadline_us": 25000000, "worth": 30},
]
MEMORY_MB = 80  # service/LATER.md: 32 to 192 MB
CONNECTIONS = 16
PAUSE_S = 0.15
SECONDS = 40


def _plan(run):
    return (0.05, 200) if run.fields["x-sort"] == "status" else (5.0, 200)


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
    try:
        gateway.start()
        await gateway.until_ready()
        platform = asyncio.ensure_future(gateway.hold_to_limit())
        clients = [await world.Client(record, f"c{number}").open(gateway.port) for number in range(4)]
        began_s = noted_s = time.time()
        while time.time() < began_s + SECONDS + 3 and gateway.process.poll() is None:
            if has_trouble and flood is None and time.time() > began_s + 2:
                record(f"bad clients: {CONNECTIONS} connections, 32 requests each, again and again")
                arguments = [str(value) for value in (gateway.port, CONNECTIONS, PAUSE_S, SECONDS)]
                flood = subprocess.Popen([sys.executable, str(FOLDER / "bad_clients.py"), *arguments])
            if time.time() > noted_s + 2:
                noted_s = time.time()
                record(f"gateway: has held {gateway.memory_mb():.0f} MB")
            for client in clients:
                if not client.is_closed:
                    requests.append(client.ask("status", 2000))
            await asyncio.sleep(0.25)
        await asyncio.sleep(3)
        now_s = time.time()
        code = gateway.process.poll()
        platform.cancel()
    finally:
        if flood is not None:
            flood.kill()
            flood.wait()
        gateway.stop()
    lost = [request for request in requests if request.is_lost(now_s)]
    broken = []
    if gateway.killed_mb:
        broken.append(f"crash: killed for memory, {gateway.killed_mb:.0f} MB of {MEMORY_MB}")
    elif code is not None:
        broken.append(f"crash: exit code {code}")
    if broken:
        record(f"{len(lost)} of {len(requests)} requests of usual clients were never answered")
    return broken


if __name__ == "__main__":
    world.run_case(FOLDER, case)
