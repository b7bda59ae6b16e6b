"""Bad clients: many requests at once, with statements as long as a frame may be."""

import select
import socket
import sys
import time

import world_2 as world

STATEMENT = b"select " + b"(" * 261_000


def main(port, connections, requests):
    """Sends the requests on all connections at full speed, and reads what comes."""
    waiting = {}
    for _ in range(connections):
        sock = socket.create_connection((world.HOST, port))
        sock.setblocking(False)
        frames = [world.encode_request(n + 1, "report", 15000, statement=STATEMENT) for n in range(requests)]
        waiting[sock] = memoryview(b"".join(frames))
    until_s = time.time() + 60
    while waiting and time.time() < until_s:
        senders = [sock for sock, data in waiting.items() if data]
        readable, writable, _ = select.select(list(waiting), senders, [], 1)
        for sock in readable:
            try:
                if not sock.recv(65536):
                    del waiting[sock]
            except OSError:
                waiting.pop(sock, None)
        for sock in writable:
            if sock in waiting:
                try:
                    waiting[sock] = waiting[sock][sock.send(waiting[sock]) :]
                except OSError:
                    waiting.pop(sock, None)


if __name__ == "__main__":
    main(*map(int, sys.argv[1:4]))
