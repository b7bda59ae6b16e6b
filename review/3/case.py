"""Case 3: hundreds of requests with long statements at once stop the gateway for all its clients."""

import asyncio
import sys
import time
from pathlib import Path

from clients import Client
from record import TROUBLE, Record, run_case
from world import World

BURST_CLIENTS = 60  # PROTOCOL: clients hold a third of the descriptor limit at most, 85 here
BURST_REQUESTS = 10  # of each; PROTOCOL: a connection carries up to 32 open requests
FRAME_BYTES = 65_536  # of a request of the burst; PROTOCOL: 262,144 at most
USUAL_CLIENTS = 6
USUAL_EVERY_S = 0.25
PLAY_S = 25.0
DEADLINE_US = 2_500_000  # next/2/LATER.md: `status` is given up after 2.5 s; a try after 80 to 100% of that
ALLOW_MS = 2000.0


def long_statement(size: int) -> bytes:
    """Returns a generated statement that reads a table of the schema `staging`."""
    return (b"select id from staging.orders where " + b"(a=b)or" * size)[: size - 1] + b"1"


def send_burst(record: Record, clients: list[Client]) -> None:
    """Sends all requests of the burst at once."""
    for client in clients:
        for _ in range(BURST_REQUESTS):
            overhead = len(client.make("report", 25_000, b"").frame)
            client.requests.popitem()
            client.write(client.make("report", 25_000, long_statement(FRAME_BYTES - overhead)).frame)
    record(f"burst: {len(clients) * BURST_REQUESTS} requests of {FRAME_BYTES} bytes handed over")


async def send_usual(client: Client, until_s: float) -> None:
    """Sends a short request now and then, as long as the connection is open."""
    while time.monotonic() < until_s and not client.is_closed:
        client.send(client.make("lookup", ALLOW_MS, b"select id from sales_17.orders"))
        await asyncio.sleep(USUAL_EVERY_S)


async def case(record: Record) -> None:
    """Plays the case."""
    world = World(record)
    world.gateway.config["settings"]["classes"][0]["deadline_us"] = DEADLINE_US
    try:
        await world.start()
        usual = [await world.client(f"usual-{number}") for number in range(USUAL_CLIENTS)]
        burst = []
        until_s = time.monotonic() + PLAY_S
        sending = asyncio.gather(*(send_usual(client, until_s) for client in usual))
        await asyncio.sleep(2.0)
        if TROUBLE:
            burst = [await world.client(f"burst-{number}") for number in range(BURST_CLIENTS)]
            send_burst(record, burst)
        await sending
        await asyncio.sleep(ALLOW_MS / 1000 + 4.0)
        for client in usual:
            for request in client.requests.values():
                loss = request.find_loss()
                if loss:
                    record.rule_broken(f"client {client.name}: lost {request.describe()}: {loss}")
        codes = [each.code for client in burst for each in client.requests.values()]
        record(f"answers to the burst by code: { ({code: codes.count(code) for code in set(codes)}) }")
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
