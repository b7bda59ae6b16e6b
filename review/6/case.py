"""Bad clients send hundreds of valid requests at once, twice; the gateway is killed for memory."""

import asyncio
import contextlib
import time
from pathlib import Path

import world_2 as world

FOLDER = Path(__file__).resolve().parent

CLASSES = [
    {"name": "status", "effect": "safe", "aim_us": 500000, "deadline_us": 2500000, "worth": 1},
    {"name": "report", "effect": "safe", "aim_us": 3000000, "deadline_us": 15000000, "worth": 20},
]
MEMORY_MB = 192  # DEPLOY: on scored days the limit is no more
ENGINES = 30
BAD_CONNECTIONS = 10
OPEN_REQUESTS = 32  # PROTOCOL: on a connection
STATEMENT_BYTES = 260_000  # PROTOCOL: a frame has 262,144 bytes at most
ROW = b"(17,'linen bag',2)"
INSERT = b"insert into sales_17.orders values "
STATEMENT = INSERT + b",".join([ROW] * ((STATEMENT_BYTES - len(INSERT)) // (len(ROW) + 1)))
LONG_S = 1.0  # that an engine takes for such a statement; the request's effort says so
SHORT_S = 0.2
WAVE_S = 4.0
LOAD_S = 14.0


async def send_at_once(record, gateway, others):
    """Sends a wave, as many requests on each connection as it may carry; adds its clients to `others`."""
    for number in range(BAD_CONNECTIONS):
        client = await world.Client(record, f"bad-{number}").open(gateway.port)
        others.append(client)
        for _ in range(OPEN_REQUESTS):
            client.ask("report", 9000, statement=STATEMENT, effort=f"{LONG_S * 1000:.0f}")


async def case(record, has_trouble):
    """Returns the broken rules."""
    bulletin = world.Bulletin(record)
    await bulletin.open()

    def plan(run):
        return (LONG_S if len(run.body) > len(world.STATEMENT) else SHORT_S), 200

    engines = [world.Engine(record, plan) for _ in range(ENGINES)]
    for engine in engines:
        await engine.open()
    bulletin.tell([engine.target() for engine in engines], whole=True)
    gateway = world.Gateway(record, world.settings(CLASSES), bulletin, memory_mb=MEMORY_MB)
    requests = []
    others = []
    try:
        gateway.start()
        await gateway.until_ready()
        platform = asyncio.ensure_future(gateway.hold_to_limit())
        clients = [await world.Client(record, f"c{number}").open(gateway.port) for number in range(4)]
        began_s = time.time()
        next_wave_s = began_s + 2
        while time.time() < began_s + LOAD_S and gateway.process.poll() is None:
            if has_trouble and time.time() > next_wave_s:
                next_wave_s += WAVE_S
                with contextlib.suppress(OSError):  # the gateway has been killed
                    await send_at_once(record, gateway, others)
            for client in clients:
                if not client.is_closed:
                    requests.append(client.ask("status", 2000, effort=f"{SHORT_S * 1000:.0f}"))
            await asyncio.sleep(0.1)
        await asyncio.sleep(3)
        code = gateway.process.poll()
        if code is None:
            record(f"gateway: has held {gateway.memory_mb():.0f} MB at most")
        platform.cancel()
    finally:
        gateway.stop()
        for client in others:
            client.close()
    if gateway.killed_mb:
        unanswered = sum(request.is_cut for request in requests)
        record(f"usual clients: {unanswered} of {len(requests)} requests were open when it was killed")
        return [f"crash: killed for memory, {gateway.killed_mb:.0f} MB of {MEMORY_MB}"]
    return [] if code is None else [f"crash: exit code {code}"]


if __name__ == "__main__":
    world.run_case(FOLDER, case)
