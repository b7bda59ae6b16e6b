"""A bad client sends 40 requests at once, each with a long quoted name, while usual clients ask."""

import asyncio
import time
from pathlib import Path

import world_2 as world

FOLDER = Path(__file__).resolve().parent

CLASSES = [
    {"name": "status", "effect": "safe", "aim_us": 500000, "deadline_us": 2500000, "worth": 1},
    {"name": "report", "effect": "safe", "aim_us": 3000000, "deadline_us": 15000000, "worth": 20},
]
MEMORY_MB = 80  # service/LATER.md: 32 to 192 MB
REQUESTS_AT_ONCE = 40  # on two connections
FRAME_BYTES = 262_144  # PROTOCOL: the length of a frame at most
QUOTED = b"a" * (FRAME_BYTES - 300)
STATEMENT = b'select id, "' + QUOTED + b'" from sales_17.orders'


async def case(record, has_trouble):
    """Returns the broken rules."""
    bulletin = world.Bulletin(record)
    await bulletin.open()
    engines = [world.Engine(record, lambda run: (0.2, 200)) for _ in range(3)]
    for engine in engines:
        await engine.open()
    bulletin.tell([engine.target() for engine in engines], whole=True)
    gateway = world.Gateway(record, world.settings(CLASSES), bulletin, memory_mb=MEMORY_MB, sockets=544)
    requests = []
    others = []
    try:
        gateway.start()
        await gateway.until_ready()
        platform = asyncio.ensure_future(gateway.hold_to_limit())
        clients = [await world.Client(record, f"c{number}").open(gateway.port) for number in range(4)]
        began_s = time.time()
        has_sent = False
        while time.time() < began_s + 8:
            if has_trouble and not has_sent and time.time() > began_s + 3:
                has_sent = True
                for name in ("bad-1", "bad-2"):
                    others.append(await world.Client(record, name).open(gateway.port))
                    for _ in range(REQUESTS_AT_ONCE // 2):
                        others[-1].ask("report", 15000, statement=STATEMENT)
            for client in clients:
                if not client.is_closed:
                    requests.append(client.ask("status", 2000, effort="200.0"))
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)
        now_s = time.time()
        code = gateway.process.poll()
        if code is None:
            record(f"gateway: has held {gateway.memory_mb():.0f} MB at most")
        platform.cancel()
    finally:
        gateway.stop()
    lost = [request for request in requests if request.is_lost(now_s)]
    broken = []
    if gateway.killed_mb:
        broken.append(f"crash: killed for memory, {gateway.killed_mb:.0f} MB of {MEMORY_MB}")
    elif code is not None:
        broken.append(f"crash: exit code {code}")
    if lost:
        broken.append(f"{len(lost)} of {len(requests)} requests of usual clients were never answered")
    return broken


if __name__ == "__main__":
    world.run_case(FOLDER, case)
