"""Bad clients: many requests at once, and the same again as soon as they are turned away."""

import select
import socket
import sys
import time

import world_2 as world

OPEN_REQUESTS = 32  # PROTOCOL: on a connection
STATEMENT = b"select id from sales_17.orders --" + b"x" * 30_000


class BadClient:
    """One connection, which keeps as many requests open as it may."""

    def __init__(self, port):
        """Connects, with all requests ready to be sent."""
        self.sock = socket.create_connection((world.HOST, port))
        self.sock.setblocking(False)
        self.stream = 0
        self.unsent = b""
        self.unread = b""
        for _ in range(OPEN_REQUESTS):
            self.ask()

    def ask(self):
        """Adds a request to what is to be sent."""
        self.stream += 1
        self.unsent += world.encode_request(self.stream, "report", 15000, statement=STATEMENT)

    def write(self):
        """Sends what the kernel takes."""
        self.unsent = self.unsent[self.sock.send(self.unsent) :]

    def read(self):
        """Reads answers; returns whether the connection is still open."""
        data = self.sock.recv(65536)
        self.unread += data
        while len(self.unread) >= 4:
            end = 4 + int.from_bytes(self.unread[:4], "little")
            if len(self.unread) < end:
                break
            if self.unread[4] == 4 and self.unread[5:9] != b"\0\0\0\0":
                self.ask()
            self.unread = self.unread[end:]
        return bool(data)


def main(port, connections, seconds):
    """Runs the bad clients; one whose connection ends opens another."""
    clients = {}
    until_s = time.time() + seconds
    while time.time() < until_s:
        while len(clients) < connections:
            client = BadClient(port)
            clients[client.sock] = client
        senders = [sock for sock, client in clients.items() if client.unsent]
        readable, writable, _ = select.select(list(clients), senders, [], 0.2)
        for sock in {*readable, *writable}:
            client = clients[sock]
            try:
                if sock in writable:
                    client.write()
                if sock in readable and not client.read():
                    raise ConnectionError("closed")
            except BlockingIOError:
                continue
            except OSError:
                sock.close()
                del clients[sock]


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]))
