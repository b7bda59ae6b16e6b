"""Bad clients: hundreds of requests at once, all of them taken back at once a moment later, and again."""

import contextlib
import socket
import sys
import time

import world_2 as world

OPEN_REQUESTS = 32  # PROTOCOL: on a connection


def main(port, connections, pause_s, seconds):
    """Sends requests on all connections, takes all of them back after a pause, and reads what comes."""
    socks = [socket.create_connection((world.HOST, port)) for _ in range(connections)]
    until_s = time.time() + seconds
    first = 1
    while time.time() < until_s:
        streams = range(first, first + OPEN_REQUESTS)
        for sock in socks:
            sock.sendall(b"".join(world.encode_request(stream, "manifest", 25000) for stream in streams))
        time.sleep(pause_s)
        for sock in socks:
            sock.sendall(b"".join(world.encode_frame(8, stream) for stream in streams))
            with contextlib.suppress(BlockingIOError):
                sock.recv(1 << 20, socket.MSG_DONTWAIT)
        first += OPEN_REQUESTS


if __name__ == "__main__":
    with contextlib.suppress(ConnectionError):  # the gateway has ended
        main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4]))
