"""Case 2: a result whose length arrives spoilt is passed on without its last rows, as 'served'."""

import asyncio
import random
import sys
from pathlib import Path

from clients import SERVED, Client
from record import TROUBLE, Record, run_case
from servers import Engine, Task
from world import World

ROWS = 12
CLIENTS = 12
REQUESTS = 150  # of each client
SPOILT_SHARE = 0.2


def result_of(ref: str) -> bytes:
    """Returns the result of a query: each row has the number of all rows."""
    return b"".join(f"{ref}\t{number}\tof {ROWS}\n".encode() for number in range(ROWS))


class SpoiltLengthEngine(Engine):
    """An engine of whose good answers some arrive with a length that doesn't fit.

    It gives the answer again to the next poll, unspoilt.
    """

    def __init__(self, uid: str, record: Record):
        """Creates an engine that does not listen yet."""
        super().__init__(uid, record, lambda group, statement: 0.01, lambda ref, statement: [result_of(ref)])
        self.rng = random.Random(uid)
        self.answered: set[str] = set()

    def length_of(self, task: Task) -> int:
        """Returns the length that the answer says: at random too short for a share of the first answers."""
        length = len(task.rows[0])
        if not TROUBLE or task.ref in self.answered or self.rng.random() >= SPOILT_SHARE:
            return length
        spoilt = self.rng.randrange(1, length)
        self.record(f"engine {self.uid}: ref={task.ref} says length {spoilt} in place of {length}")
        return spoilt

    async def answer_result(self, writer, task: Task) -> None:
        """Writes the answer with all rows, whatever length it says, in one piece."""
        length = self.length_of(task)
        self.answered.add(task.ref)
        head = f"HTTP/1.1 200 OK\r\nX-Parts: 1\r\nContent-Length: {length}\r\n\r\n"
        writer.write(head.encode() + task.rows[0])
        await writer.drain()


async def ask(record: Record, client: Client) -> None:
    """Sends requests one after the other, and checks each answer."""
    for _ in range(REQUESTS):
        request = client.send(client.make("lookup", 5000))
        while request.code is None and not client.is_closed:
            await asyncio.sleep(0.002)
        if request.code == SERVED and request.body != result_of(request.ref):
            rows = request.body.count(b"\n")
            record.rule_broken(f"ref={request.ref} was 'served' with {rows} of its {ROWS} rows")


async def case(record: Record) -> None:
    """Plays the case."""
    world = World(record, SpoiltLengthEngine)
    try:
        await world.start()
        clients = [await world.client(f"c-{number}") for number in range(CLIENTS)]
        await asyncio.gather(*(ask(record, client) for client in clients))
        codes = [request.code for client in clients for request in client.requests.values()]
        record(f"answers by code: { ({code: codes.count(code) for code in set(codes)}) }")
    finally:
        world.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
