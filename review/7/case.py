"""Usual clients ask while a few bad clients send valid frames with long statements."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import world_2 as world

FOLDER = Path(__file__).resolve().parent

CLASSES = [
    {"name": "status", "effect": "safe", "aim_us": 500000, "deadline_us": 2500000, "worth": 1},
    {"name": "report", "effect": "safe", "aim_us": 3000000, "deadline_us": 15000000, "worth": 20},
]
BAD_CONNECTIONS = 100
REQUESTS_AT_ONCE = 1  # on each


async def case(record, has_trouble):
    """Returns the broken rules."""
    bulletin = world.Bulletin(record)
    await bulletin.open()
    engines = [world.Engine(record, lambda run: (0.05, 200)) for _ in range(3)]
    for engine in engines:
        await engine.open()
    bulletin.tell([engine.target() for engine in engines], whole=True)
    gateway = world.Gateway(record, world.settings(CLASSES), bulletin)
    flood = None
    requests = []
    try:
        gateway.start()
        await gateway.until_ready()
        clients = [await world.Client(record, f"c{number}").open(gateway.port) for number in range(4)]
        began_s = time.time()
        while time.time() < began_s + 20:
            if has_trouble and flood is None and time.time() > began_s + 3:
                record(f"bad clients: {BAD_CONNECTIONS} connections, {REQUESTS_AT_ONCE} requests each")
                command = [sys.executable, str(FOLDER / "bad_clients.py"), str(gateway.port)]
                flood = subprocess.Popen([*command, str(BAD_CONNECTIONS), str(REQUESTS_AT_ONCE)])
            for client in clients:
                if not client.is_closed:
                    requests.append(client.ask("status", 2000))
            await asyncio.sleep(0.25)
        await asyncio.sleep(12)
        now_s = time.time()
        record(f"gateway: memory at most {gateway.memory_mb():.0f} MB, exit code {gateway.process.poll()}")
    finally:
        if flood is not None:
            flood.kill()
            flood.wait()
        gateway.stop()
    lost = [request for request in requests if request.is_lost(now_s)]
    for request in lost:
        after = "never" if request.answered_s is None else f"{request.answered_s - request.sent_s:.2f} s"
        record(f"lost: {request.ref} answered after {after}, allowed {request.allow_ms} ms")
    if lost:
        return [f"rule 1: {len(lost)} of {len(requests)} requests of usual clients got no answer in time"]
    return []


if __name__ == "__main__":
    world.run_case(FOLDER, case)
