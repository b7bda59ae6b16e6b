"""The same lateness under a load of a class in order: the next load of its key overtakes it.

A second check beside the case; it is run by itself, with `review/8/run.sh order`.
"""

import asyncio
import time
from pathlib import Path

import world_2 as world
from case import LATE_S, Engine

FOLDER = Path(__file__).resolve().parent

CLASSES = [
    {"name": "lookup", "effect": "safe", "aim_us": 500000, "deadline_us": 2500000, "worth": 1},
    {
        "name": "day-load",
        "effect": "unsafe",
        "serial_by_key": True,
        "aim_us": 4000000,
        "deadline_us": 20000000,
        "worth": 12,
    },
]
ROUNDS = 5


async def case(record, has_trouble):
    """Returns the broken rules."""
    bulletin = world.Bulletin(record)
    await bulletin.open()
    engine = Engine(record, lambda run: (0.2, 200))
    await engine.open()
    bulletin.tell([engine.target()], whole=True)
    settings = world.settings(CLASSES, rules={"order_pause_us": 500000})
    settings["limits"]["keepalive_us"] = 2000000
    gateway = world.Gateway(record, settings, bulletin)
    pairs = []
    try:
        gateway.start()
        await gateway.until_ready()
        for number in range(ROUNDS):
            client = await world.Client(record, f"c{number}").open(gateway.port)
            other = await world.Client(record, f"d{number}").open(gateway.port)
            for is_second in (False, True):  # connections to the engine, idle and then in use
                lookups = [client.ask("lookup", 2000, effort="200.0") for _ in range(8)]
                await asyncio.sleep(0.02)
                if is_second:
                    engine.late_until_s = time.time() + LATE_S if has_trouble else 0.0
                    first = client.ask("day-load", 16000, lookup=f"key-{number}", effort="200.0")
                    await asyncio.sleep(0.1)
                    second = other.ask("day-load", 16000, lookup=f"key-{number}", effort="200.0")
                for request in lookups:
                    await request.done.wait()
                await asyncio.sleep(0.05)
            pairs.append((first, second))
            await asyncio.sleep(4.5)
            client.close()
            other.close()
    finally:
        record(
            f"engine {engine.uid}: {engine.connections} connections, {engine.late_connections} of them late"
        )
        gateway.stop()
    began_s = {run.ref: run.began_s for run in engine.history}
    broken = []
    for first, second in pairs:
        if {first.ref, second.ref} <= set(began_s) and began_s[second.ref] < began_s[first.ref]:
            broken.append(f"rule 5: {second.ref} was sent and run before {first.ref}, taken 100 ms earlier")
    return broken


if __name__ == "__main__":
    world.run_case(FOLDER, case)
